//! Answers whether the daemon is ready, and what the small listeners share.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use filbert_http1::{MessageReader, RequestHead};
use filbert_platform::READY_PATH;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::sockets;
use crate::state::MeshShared;

/// Longest head of a readiness check, in bytes.
const MAX_HEAD: usize = 8 * 1024;
/// Pause after a failed accept, so that running out of descriptors does not
/// turn into a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long a connection that checks readiness may be idle.
const IDLE: Duration = Duration::from_secs(30);

/// Takes connections until the process ends and serves each in a task.
pub async fn accept_for_ever<F>(
    port: &'static str,
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed port={port} error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A short answer with a body.
#[must_use]
pub fn answer_bytes(status: u16, content_type: &str, body: &str, keep_alive: bool) -> Vec<u8> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n{body}",
        reason_phrase(status),
        body.len()
    )
    .into_bytes()
}

/// The usual phrase of a status.
#[must_use]
pub fn reason_phrase(status: u16) -> &'static str {
    http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown")
}

/// Answers readiness checks until the process ends.
pub async fn serve(shared: Rc<MeshShared>, listener: TcpListener) {
    accept_for_ever("ready", listener, |stream| {
        let shared = Rc::clone(&shared);
        async move {
            // Whoever asks comes again; the end of one connection says nothing.
            let _ = tokio::time::timeout(IDLE, serve_check(shared, stream)).await;
        }
    })
    .await;
}

async fn serve_check(shared: Rc<MeshShared>, stream: TcpStream) -> Result<(), ()> {
    sockets::watch_silence(&stream);
    let (read, mut write) = stream.into_split();
    let mut reader = MessageReader::new(read);
    while let Some(raw) = reader.read_head(MAX_HEAD).await.map_err(|_| ())? {
        let head = RequestHead::parse(&raw).map_err(|_| ())?;
        let status = if head.target.starts_with(READY_PATH) {
            readiness(&shared)
        } else {
            404
        };
        let answer = answer_bytes(status, "text/plain", "", head.keep_alive);
        write.write_all(&answer).await.map_err(|_| ())?;
        if !head.keep_alive {
            break;
        }
    }
    Ok(())
}

fn readiness(shared: &MeshShared) -> u16 {
    if shared.stop.is_stopping() {
        shared.stop.count_miss();
        return 503;
    }
    if shared.is_serving() {
        200
    } else {
        503
    }
}
