//! Reading the bodies of clients' calls: short ones whole, long ones as they
//! come.

use bytes::Bytes;
use filbert_http1::{BodyDecoder, BodyFraming, MessageReader, ReadError, RequestHead};
use filbert_platform::headers;
use filbert_policy::identity::{CallIdentity, IdentityParts};
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;

use super::{ReadEnd, BAD_REQUEST};
use crate::body::{BodySource, CallBody};

/// Longest body that is read whole before its call is placed, in bytes. Such
/// a call can be sent again.
const WHOLE_BODY: u64 = 64 * 1024;
/// Pieces of a longer body read ahead.
const PIECES_AHEAD: usize = 4;

async fn read_whole(
    reader: &mut MessageReader<OwnedReadHalf>,
    decoder: &mut BodyDecoder,
) -> Result<Bytes, ReadEnd> {
    let mut whole = Vec::new();
    loop {
        match reader.read_body_data(decoder).await {
            Ok(Some(piece)) => whole.extend_from_slice(&piece),
            Ok(None) => return Ok(Bytes::from(whole)),
            Err(ReadError::Body(filbert_http1::BodyError::BadChunk)) => {
                return Err(ReadEnd::Last(Some(BAD_REQUEST)))
            }
            Err(_) => return Err(ReadEnd::Gone),
        }
    }
}

/// The start of a long body, and the way for the rest of it.
pub(super) type BodyRest = (Bytes, mpsc::Sender<Bytes>);

/// Reads a body as far as it is read before its call is placed: whole, unless it
/// is long. Of a long one, the way for the rest comes with it.
pub(super) async fn read_body(
    reader: &mut MessageReader<OwnedReadHalf>,
    decoder: &mut BodyDecoder,
    framing: BodyFraming,
) -> Result<(CallBody, Option<BodyRest>), ReadEnd> {
    match framing {
        BodyFraming::Empty | BodyFraming::UntilClose => Ok((CallBody::Whole(Bytes::new()), None)),
        BodyFraming::Length(length) if length <= WHOLE_BODY => {
            let whole = read_whole(reader, decoder).await?;
            Ok((CallBody::Whole(whole), None))
        }
        BodyFraming::Length(_) | BodyFraming::Chunked => read_start(reader, decoder).await,
    }
}

pub(super) fn identity_of(
    head: &RequestHead,
    host: &str,
    body: &CallBody,
    rest: Option<&BodyRest>,
) -> CallIdentity {
    let (body_prefix, body_length) = match (body, rest) {
        (CallBody::Whole(whole), _) => (&whole[..], Some(whole.len() as u64)),
        (CallBody::Streamed(_), Some((start, _))) => (&start[..], head.framing.length()),
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

/// Reads the start of a body that may be long. One that ends within the limit
/// is taken whole; of another, the start and the way for the rest are returned.
async fn read_start(
    reader: &mut MessageReader<OwnedReadHalf>,
    decoder: &mut BodyDecoder,
) -> Result<(CallBody, Option<BodyRest>), ReadEnd> {
    let mut start = Vec::new();
    while (start.len() as u64) < WHOLE_BODY {
        match reader.read_body_data(decoder).await {
            Ok(Some(piece)) => start.extend_from_slice(&piece),
            Ok(None) => return Ok((CallBody::Whole(Bytes::from(start)), None)),
            Err(ReadError::Body(filbert_http1::BodyError::BadChunk)) => {
                return Err(ReadEnd::Last(Some(BAD_REQUEST)))
            }
            Err(_) => return Err(ReadEnd::Gone),
        }
    }
    let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
    let pieces = CallBody::Streamed(BodySource::Client(receiver));
    Ok((pieces, Some((Bytes::from(start), sender))))
}

/// Hands the rest of a body on. An empty piece marks its end; a channel that
/// closes without one marks a body that was broken off.
pub(super) async fn pump_body(
    reader: &mut MessageReader<OwnedReadHalf>,
    decoder: &mut BodyDecoder,
    start: Bytes,
    pieces: &mpsc::Sender<Bytes>,
    most: u64,
) -> Result<(), ReadEnd> {
    let mut total = start.len() as u64;
    // A call that was answered early takes no more of its body; the rest is
    // read and dropped so that the next call is found.
    let mut is_wanted = pieces.send(start).await.is_ok();
    loop {
        match reader.read_body_data(decoder).await {
            Ok(Some(piece)) => {
                total += piece.len() as u64;
                if total > most {
                    return Err(ReadEnd::Gone);
                }
                if is_wanted {
                    is_wanted = pieces.send(piece).await.is_ok();
                }
            }
            Ok(None) => {
                if is_wanted {
                    // Nobody left to hear the end is no failure here.
                    let _ = pieces.send(Bytes::new()).await;
                }
                return Ok(());
            }
            Err(_) => return Err(ReadEnd::Gone),
        }
    }
}
