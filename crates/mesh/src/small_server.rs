//! What the daemon's small listeners share: readiness, the target's reports,
//! metrics. Calls have their own way ([`crate::ingress`]).

use std::future::Future;
use std::time::Duration;

use filbert_http1::{BodyDecoder, MessageReader, RequestHead};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::sockets;

/// Longest head and body of a request to a small listener, in bytes.
const MAX_HEAD: usize = 8 * 1024;
const MAX_BODY: usize = 64 * 1024;
/// How long a connection may be open: whoever asks often opens the next one.
const LONGEST: Duration = Duration::from_mins(1);
/// Pause after a failed accept, so that running out of descriptors does not
/// turn into a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes connections until the process ends and serves each in a task.
pub async fn accept_loop<F>(
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

fn answer_bytes(answer: &SimpleResponse, keep_alive: bool) -> Vec<u8> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n{}",
        answer.status,
        reason_phrase(answer.status),
        answer.content_type,
        answer.body.len(),
        answer.body
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

/// What a small listener answers.
pub struct SimpleResponse {
    /// The status.
    pub status: u16,
    /// The type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: String,
}

impl SimpleResponse {
    /// An answer without a body.
    #[must_use]
    pub fn status(status: u16) -> SimpleResponse {
        SimpleResponse {
            status,
            content_type: "text/plain",
            body: String::new(),
        }
    }
}

/// Answers the requests of one connection until it ends.
pub async fn serve_requests(
    stream: TcpStream,
    answer: impl Fn(&RequestHead, &[u8]) -> SimpleResponse,
) {
    sockets::set_socket_options(&stream);
    // Whoever asks comes again; the end of one connection says nothing.
    let _ = tokio::time::timeout(LONGEST, serve_each(stream, answer)).await;
}

async fn serve_each(
    stream: TcpStream,
    answer: impl Fn(&RequestHead, &[u8]) -> SimpleResponse,
) -> Result<(), ()> {
    let (read, mut write) = stream.into_split();
    let mut reader = MessageReader::new(read);
    while let Some(raw) = reader.read_head(MAX_HEAD).await.map_err(|_| ())? {
        let head = RequestHead::parse(&raw).map_err(|_| ())?;
        let mut body = Vec::new();
        let mut decoder = BodyDecoder::new(head.framing);
        while let Some(piece) = reader.read_body_data(&mut decoder).await.map_err(|_| ())? {
            body.extend_from_slice(&piece);
            if body.len() > MAX_BODY {
                return Err(());
            }
        }
        let bytes = answer_bytes(&answer(&head, &body), head.keep_alive);
        write.write_all(&bytes).await.map_err(|_| ())?;
        if !head.keep_alive {
            break;
        }
    }
    Ok(())
}
