//! A target of our own store's mesh that answers with given bytes.

#![allow(dead_code)] // Each test binary uses only some of the helpers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use filbert_standin::target::ANNOUNCE_INTERVAL;
use filbert_store::TargetAnnouncement;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// What follows the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawEnd {
    /// The connection stays open.
    Open,
    /// The direction to the caller is closed, and the call is read to its end.
    Closed,
    /// The connection is reset, though the call is not read to its end.
    Reset,
    /// The last [`REPEATED_BYTES`] bytes are sent again and again.
    Repeated,
}

/// Number of bytes at the end of an answer that are repeated.
pub const REPEATED_BYTES: usize = 10_000;

/// A target that announces itself as one of `quoting`.
pub struct RawTarget {
    answer: Arc<Mutex<(Vec<u8>, RawEnd)>>,
    _tasks: JoinSet<()>,
}

impl RawTarget {
    /// Starts a target, and announces it at the daemon's `admin_url`.
    pub async fn start(admin_url: &str) -> RawTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let answer = Arc::new(Mutex::new((Vec::new(), RawEnd::Open)));
        let mut tasks = JoinSet::new();
        let shared_answer = Arc::clone(&answer);
        tasks.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&shared_answer)));
            }
        });
        tasks.spawn(announce(format!("{admin_url}/announce"), address));
        RawTarget {
            answer,
            _tasks: tasks,
        }
    }

    /// Sets the answer to each call from now on.
    pub fn set_answer(&self, bytes: Vec<u8>, end: RawEnd) {
        *self.answer.lock().expect("not poisoned") = (bytes, end);
    }
}

async fn announce(url: String, address: SocketAddr) {
    let http = filbert_standin::http::direct_client();
    let announcement = TargetAnnouncement {
        service: "quoting".to_owned(),
        address: address.to_string(),
        load: 0,
        leaving: false,
    };
    loop {
        // The next one repeats it.
        let _ = http.post(&url).json(&announcement).send().await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Answers each head that arrives at once.
async fn serve(mut stream: TcpStream, answer: Arc<Mutex<(Vec<u8>, RawEnd)>>) {
    let mut received = Vec::new();
    let mut part = [0; 4096];
    loop {
        match stream.read(&mut part).await {
            Ok(bytes) if bytes > 0 => received.extend_from_slice(&part[..bytes]),
            _ => return,
        }
        if !received.windows(4).any(|window| window == b"\r\n\r\n") {
            continue;
        }
        received.clear();
        let (bytes, end) = answer.lock().expect("not poisoned").clone();
        // The caller may have left.
        let _ = stream.write_all(&bytes).await;
        match end {
            RawEnd::Open => {}
            RawEnd::Repeated => {
                let repeated = &bytes[bytes.len() - REPEATED_BYTES..];
                while stream.write_all(repeated).await.is_ok() {}
                return;
            }
            RawEnd::Closed => {
                let _ = stream.shutdown().await;
                while stream.read(&mut part).await.is_ok_and(|bytes| bytes > 0) {}
                return;
            }
            RawEnd::Reset => {
                let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return linger.expect("the option can be set");
            }
        }
    }
}
