//! A minimal HTTP/1.1 server for the daemon's auxiliary listeners: readiness, the
//! target's reports and metrics. [`crate::ingress`] serves calls; it shares the accept
//! loop.

use std::future::Future;
use std::time::{Duration, Instant};

use filbert_http1::{BodyDecoder, BodyFraming, MessageReader, RequestHead};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};

use crate::connection_limit::{ConnectionLimit, UsageCell};
use crate::sockets;

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a body that is read to its end and dropped, in bytes, so that its client
/// gets an answer.
const MAX_DROPPED_BYTES: usize = 1024 * 1024;
/// Status of a body that is longer than [`MAX_BODY_BYTES`].
const CONTENT_TOO_LARGE: u16 = 413;
/// Maximum lifetime of a connection. A client that sends requests regularly opens a
/// new one.
const MAX_CONNECTION_AGE: Duration = Duration::from_mins(1);
/// Maximum number of connections to an auxiliary port.
const MAX_AUXILIARY_CONNECTIONS: usize = 32;
/// Delay after a failed accept. Without it, running out of file descriptors would
/// turn the accept loop into a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the process ends, and serves each in a task of its own.
/// `port` names the listener in log lines. `make_room` is called when no connection can be
/// accepted, which usually means that the process has no descriptor left.
pub async fn accept_loop<F>(
    port: &'static str,
    listener: &TcpListener,
    serve: impl Fn(TcpStream) -> F,
    make_room: impl Fn(),
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
                make_room();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts connections to an auxiliary port until the process ends, and serves each in a task
/// of its own. `port` names the listener in log lines.
pub async fn accept_limited<F>(
    port: &'static str,
    listener: &TcpListener,
    serve: impl Fn(TcpStream, UsageCell) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let limit = ConnectionLimit::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let usage = UsageCell::opened(Instant::now());
                let task = tokio::task::spawn_local(serve(stream, usage.clone()));
                limit.add(MAX_AUXILIARY_CONNECTIONS, usage, task.abort_handle());
            }
            Err(error) => {
                log::warn!("event=accept_failed port={port} error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts and serves the connections that wait to be accepted, and no others.
pub async fn accept_waiting<F>(listener: &TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve(stream));
                }
                Err(_) => return,
            },
            () = std::future::ready(()) => return,
        }
    }
}

fn encode_response(response: &SimpleResponse, keep_alive: bool) -> Vec<u8> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n{}",
        response.status,
        reason_phrase(response.status),
        response.content_type,
        response.body.len(),
        response.body
    )
    .into_bytes()
}

/// The standard reason phrase of an HTTP status code; `Unknown` if it has none.
#[must_use]
pub fn reason_phrase(status: u16) -> &'static str {
    http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown")
}

/// Response of an auxiliary listener.
pub struct SimpleResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Response body.
    pub body: String,
}

impl SimpleResponse {
    /// Creates a response without a body.
    #[must_use]
    pub fn status(status: u16) -> SimpleResponse {
        SimpleResponse {
            status,
            content_type: "text/plain",
            body: String::new(),
        }
    }
}

/// Serves the requests of a connection until it ends or has reached its maximum
/// lifetime.
pub async fn serve_requests(
    stream: TcpStream,
    usage: UsageCell,
    respond: impl AsyncFn(&RequestHead, &[u8]) -> SimpleResponse,
) {
    sockets::set_socket_options(&stream);
    // How the connection ended does not matter: clients send their next request on a
    // new one.
    let _ = tokio::time::timeout(
        MAX_CONNECTION_AGE,
        serve_connection(stream, &usage, respond),
    )
    .await;
}

async fn serve_connection(
    stream: TcpStream,
    usage: &UsageCell,
    respond: impl AsyncFn(&RequestHead, &[u8]) -> SimpleResponse,
) -> Result<(), ()> {
    let (read, mut write) = stream.into_split();
    let mut reader = MessageReader::new(read);
    while let Some(raw) = reader.read_head(MAX_HEAD_BYTES).await.map_err(|_| ())? {
        usage.set_active();
        let head = RequestHead::parse(&raw).map_err(|_| ())?;
        let body = read_body(&mut reader, head.framing).await?;
        let response = match body {
            Some(body) => respond(&head, &body).await,
            None => SimpleResponse::status(CONTENT_TOO_LARGE),
        };
        let bytes = encode_response(&response, head.keep_alive);
        write.write_all(&bytes).await.map_err(|_| ())?;
        usage.set_idle(Instant::now());
        if !head.keep_alive {
            break;
        }
    }
    Ok(())
}

/// Reads a body; `None` if it is longer than [`MAX_BODY_BYTES`].
async fn read_body(
    reader: &mut MessageReader<OwnedReadHalf>,
    framing: BodyFraming,
) -> Result<Option<Vec<u8>>, ()> {
    let mut body = Vec::new();
    let mut length = 0;
    let mut decoder = BodyDecoder::new(framing);
    while let Some(data) = reader.read_body_data(&mut decoder).await.map_err(|_| ())? {
        length += data.len();
        if length > MAX_DROPPED_BYTES {
            return Err(());
        }
        if length <= MAX_BODY_BYTES {
            body.extend_from_slice(&data);
        }
    }
    Ok((length <= MAX_BODY_BYTES).then_some(body))
}
