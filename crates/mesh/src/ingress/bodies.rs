//! Reads the bodies of clients' calls: short bodies completely, long ones as a
//! stream.

use std::time::{Duration, Instant};

use bytes::Bytes;
use filbert_http1::{BodyDecoder, BodyFraming, ReadError, RequestHead};
use filbert_platform::headers;
use filbert_policy::client_budget::{call_bytes, CallSize};
use filbert_policy::identity::{CallIdentity, IdentityParts};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::client_io::ClientReader;
use super::{ReadEnd, BAD_REQUEST, REQUEST_TIMEOUT};
use crate::body::{BodySource, CallBody};

/// Maximum length in bytes of a body that is read completely before its call is
/// dispatched. A call with such a body can be sent again.
const MAX_REPLAYABLE_BODY_BYTES: u64 = 64 * 1024;
/// Number of buffers of a longer body that are read ahead of the call's attempt.
const BODY_CHANNEL_CAPACITY: usize = 4;

/// Memory of a streamed body: the prefix, the buffers of the channel, and that of the
/// reader, in bytes.
const STREAMED_BODY_BYTES: u64 = 192 * 1024;

/// Interval at which it is checked whether a client has left whose body is not read.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size of a call with a head of `head_bytes`, and the memory to charge for it before its body
/// is read.
pub(super) fn expected_call(head_bytes: usize, framing: BodyFraming) -> (CallSize, u64) {
    match framing.length() {
        Some(length) if length <= MAX_REPLAYABLE_BODY_BYTES => {
            (CallSize::Short, call_bytes(head_bytes, length))
        }
        _ => {
            let bytes = call_bytes(head_bytes, 0) + STREAMED_BODY_BYTES;
            (CallSize::Long, bytes)
        }
    }
}

async fn read_complete(
    reader: &mut ClientReader,
    decoder: &mut BodyDecoder,
) -> Result<Bytes, ReadEnd> {
    let mut body = Vec::new();
    loop {
        match reader.read_body_data(decoder).await {
            Ok(Some(data)) => body.extend_from_slice(&data),
            Ok(None) => return Ok(Bytes::from(body)),
            Err(ReadError::Body(filbert_http1::BodyError::BadChunk)) => {
                return Err(ReadEnd::CloseAfterAnswers(Some(BAD_REQUEST)))
            }
            Err(_) => return Err(ReadEnd::Disconnected),
        }
    }
}

/// Prefix of a streamed body that was read but not sent yet, and the sender for the
/// prefix and all later data.
pub(super) type UnsentBody = (Bytes, mpsc::Sender<Bytes>);

/// Reads a body as far as is needed before its call is dispatched: completely if
/// possible within [`MAX_REPLAYABLE_BODY_BYTES`]. A longer body is returned as
/// streamed, with its unsent prefix; the caller then has to pass the prefix to
/// [`forward_body`], which sends it and the rest. Waits for the client until `until`.
///
/// # Errors
/// The reason why the body cannot be read.
pub(super) async fn read_body(
    reader: &mut ClientReader,
    decoder: &mut BodyDecoder,
    framing: BodyFraming,
    until: Instant,
) -> Result<(CallBody, Option<UnsentBody>), ReadEnd> {
    let body = async {
        match framing {
            BodyFraming::Length(length) if length <= MAX_REPLAYABLE_BODY_BYTES => {
                let body = read_complete(reader, decoder).await?;
                Ok((CallBody::Whole(body), None))
            }
            _ => read_prefix(reader, decoder).await,
        }
    };
    if matches!(framing, BodyFraming::Empty | BodyFraming::UntilClose) {
        return Ok((CallBody::Whole(Bytes::new()), None));
    }
    tokio::time::timeout_at(until.into(), body)
        .await
        .unwrap_or(Err(ReadEnd::CloseAfterAnswers(Some(REQUEST_TIMEOUT))))
}

/// Computes the identity of a call. Of the body, it covers the bytes read so far and
/// the length, if known.
pub(super) fn call_identity(
    head: &RequestHead,
    host: &str,
    body: &CallBody,
    unsent: Option<&UnsentBody>,
) -> CallIdentity {
    let (body_prefix, body_length) = match (body, unsent) {
        (CallBody::Whole(body), _) => (&body[..], Some(body.len() as u64)),
        (CallBody::Streamed(_), Some((prefix, _))) => (&prefix[..], head.framing.length()),
        (CallBody::Streamed(_), None) => (&[][..], head.framing.length()),
    };
    CallIdentity::of(&IdentityParts {
        method: &head.method,
        host,
        target: &head.target,
        caller: &headers::caller_credentials(head),
        body_prefix,
        body_length,
    })
}

/// Reads a body up to [`MAX_REPLAYABLE_BODY_BYTES`]. A body that ends within this
/// length is returned complete, a longer one as streamed, with its unsent prefix.
async fn read_prefix(
    reader: &mut ClientReader,
    decoder: &mut BodyDecoder,
) -> Result<(CallBody, Option<UnsentBody>), ReadEnd> {
    let mut prefix = Vec::new();
    while (prefix.len() as u64) < MAX_REPLAYABLE_BODY_BYTES {
        match reader.read_body_data(decoder).await {
            Ok(Some(data)) => prefix.extend_from_slice(&data),
            Ok(None) => return Ok((CallBody::Whole(Bytes::from(prefix)), None)),
            Err(ReadError::Body(filbert_http1::BodyError::BadChunk)) => {
                return Err(ReadEnd::CloseAfterAnswers(Some(BAD_REQUEST)))
            }
            Err(_) => return Err(ReadEnd::Disconnected),
        }
    }
    let (sender, receiver) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    let body = CallBody::Streamed(BodySource::Client(receiver));
    Ok((body, Some((Bytes::from(prefix), sender))))
}

/// Sends the prefix and the rest of a body to the call's attempt. Empty data marks
/// the end of the body; a channel that closes without it marks a truncated body. Goes on
/// until `until` at most.
///
/// # Errors
/// [`ReadEnd::Disconnected`] if the client has left, or the body cannot be read or exceeds
/// `max_bytes`; [`ReadEnd::CloseAfterAnswers`] if the time is over.
pub(super) async fn forward_body(
    reader: &mut ClientReader,
    decoder: &mut BodyDecoder,
    (prefix, sender): UnsentBody,
    max_bytes: u64,
    until: Instant,
) -> Result<(), ReadEnd> {
    let forward = forward_rest(reader, decoder, prefix, &sender, max_bytes);
    tokio::time::timeout_at(until.into(), forward)
        .await
        .unwrap_or(Err(ReadEnd::CloseAfterAnswers(None)))
}

async fn forward_rest(
    reader: &mut ClientReader,
    decoder: &mut BodyDecoder,
    prefix: Bytes,
    sender: &mpsc::Sender<Bytes>,
    max_bytes: u64,
) -> Result<(), ReadEnd> {
    let mut total_bytes = prefix.len() as u64;
    // The receiver is closed if the call is answered before its body was sent. The
    // rest of the body is then read and discarded, so that the next call on the
    // connection can be read.
    let mut is_receiver_open = send_to_attempt(reader, sender, prefix).await?;
    loop {
        match reader.read_body_data(decoder).await {
            Ok(Some(data)) => {
                total_bytes += data.len() as u64;
                if total_bytes > max_bytes {
                    return Err(ReadEnd::Disconnected);
                }
                if is_receiver_open {
                    is_receiver_open = send_to_attempt(reader, sender, data).await?;
                }
            }
            Ok(None) => {
                if is_receiver_open {
                    // It is no failure if the receiver is already closed.
                    send_to_attempt(reader, sender, Bytes::new()).await?;
                }
                return Ok(());
            }
            Err(_) => return Err(ReadEnd::Disconnected),
        }
    }
}

/// Sends data of a body to the call's attempt, which may still wait for a slot. Returns
/// whether the attempt takes it.
///
/// # Errors
/// [`ReadEnd::Disconnected`] if the client leaves meanwhile. Nothing is read then that would
/// show it, and a target would run a call that nobody waits for.
async fn send_to_attempt(
    reader: &mut ClientReader,
    sender: &mpsc::Sender<Bytes>,
    data: Bytes,
) -> Result<bool, ReadEnd> {
    tokio::select! {
        biased;
        sent = sender.send(data) => Ok(sent.is_ok()),
        () = wait_for_disconnect(reader.stream(), DISCONNECT_POLL_INTERVAL) => {
            Err(ReadEnd::Disconnected)
        }
    }
}

/// Waits until the client has closed its side, though unread input may be ahead of that.
/// Checks it at each `interval`.
pub(super) async fn wait_for_disconnect(stream: &TcpStream, interval: Duration) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => {}
            _ => return,
        }
        tokio::time::sleep(interval).await;
    }
}
