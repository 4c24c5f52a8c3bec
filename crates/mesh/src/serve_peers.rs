//! The listening side of the links: other daemons' calls for the target here,
//! and the news they want ([`news`]).

mod news;

use std::future::poll_fn;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use crate::body::{next_data, AnswerBody, CallBody, LinkBody, PieceSource};
use crate::links::{LinkError, CONNECTION_WINDOW, STREAM_WINDOW};
use crate::messages::{encode, take, CallHead, ReplyHead};
use crate::sockets;
use crate::state::MeshShared;
use crate::stop::ActiveCallGuard;
use news::{news_path, serve_news};

/// Streams that one other daemon may have open.
const MAX_STREAMS: u32 = 2_000;
/// Longest body that is read whole before its call is run, in bytes.
const WHOLE_BODY: u64 = 64 * 1024;
/// Bytes of an answer handed to a link at a time.
const PIECE: usize = 64 * 1024;
/// Bytes of an answer that leave between two looks at what else wants to.
const PACED_PIECE: usize = 16 * 1024;
/// Pause after a failed accept, so that running out of descriptors does not
/// turn into a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes links from other daemons until the process ends.
pub async fn serve(shared: Rc<MeshShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = Rc::clone(&shared);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_link(shared, stream).await {
                        log::debug!("event=incoming_link_ended reason=\"{error}\"");
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed port=peers error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_link(shared: Rc<MeshShared>, stream: TcpStream) -> Result<(), LinkError> {
    sockets::watch_silence(&stream);
    let mut connection = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .max_concurrent_reset_streams(64)
        .handshake(stream)
        .await?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let shared = Rc::clone(&shared);
        if request.uri().path() == news_path() {
            tokio::task::spawn_local(async move {
                if let Err(error) = serve_news(shared, request, respond).await {
                    log::debug!("event=news_ended reason=\"{error}\"");
                }
            });
        } else {
            tokio::task::spawn_local(async move {
                if let Err(error) = serve_call(shared, request, respond).await {
                    log::debug!("event=peer_call_ended reason=\"{error}\"");
                }
            });
        }
    }
    Ok(())
}

async fn serve_call(
    shared: Rc<MeshShared>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let _active_call = ActiveCallGuard::new(&shared);
    let mut incoming = request.into_body();
    let mut buffer = BytesMut::new();
    let call: CallHead = loop {
        if let Some(call) = take(&mut buffer).map_err(|_| LinkError::Frame)? {
            break call;
        }
        match next_data(&mut incoming).await {
            Some(piece) => buffer.extend_from_slice(&piece?),
            None => return Err(LinkError::Ended),
        }
    };
    let due = shared.clock.now() + Duration::from_micros(call.left_us);
    let work = async {
        let body = read_body(&call, incoming, buffer).await?;
        let link = shared.gate.link_time(&call);
        let reservation = shared.egress.reserve(call.answer_bytes);
        let done = shared.gate.run(&call, body, link).await;
        drop(reservation);
        Ok::<_, LinkError>(done)
    };
    // Guards against work for a caller that has left: its daemon resets the
    // stream, and dropping the work closes the target's connection. Looked at
    // first: on a host that stood still for a moment, or behind a full link, a
    // call and its reset are read at once, and the target would be sent a call
    // that nobody waits for (8 of 16 such calls were).
    let (reply, body) = tokio::select! {
        biased;
        _ = poll_fn(|context| respond.poll_reset(context)) => return Err(LinkError::Ended),
        done = work => done?,
    };
    let mut outgoing = respond.send_response(Response::new(()), false)?;
    let has_body = matches!(reply, ReplyHead::Answer { .. });
    outgoing.send_data(encode(&reply), !has_body)?;
    if has_body {
        let length = match &reply {
            ReplyHead::Answer { head, .. } => head.body_length,
            _ => None,
        };
        let length = AnswerLength { length, due };
        send_body(&shared, &mut outgoing, body, length).await?;
    }
    Ok(())
}

async fn read_body(
    call: &CallHead,
    mut incoming: RecvStream,
    mut buffer: BytesMut,
) -> Result<CallBody, LinkError> {
    if !call.has_body {
        return Ok(CallBody::Whole(Bytes::new()));
    }
    if call.body_length.is_none_or(|length| length > WHOLE_BODY) {
        let rest = LinkBody::new(incoming, buffer);
        return Ok(CallBody::Pieces(PieceSource::Link(rest)));
    }
    while let Some(piece) = next_data(&mut incoming).await {
        buffer.extend_from_slice(&piece?);
    }
    if call.body_length == Some(buffer.len() as u64) {
        Ok(CallBody::Whole(buffer.freeze()))
    } else {
        Err(LinkError::Ended)
    }
}

/// What is known of a body that is to leave.
struct AnswerLength {
    /// Its length, where that is told ahead.
    length: Option<u64>,
    /// Until when its caller waits.
    due: Instant,
}

async fn send_body(
    shared: &MeshShared,
    outgoing: &mut SendStream<Bytes>,
    mut body: AnswerBody,
    AnswerLength { length, due }: AnswerLength,
) -> Result<(), LinkError> {
    let mut sent = 0;
    loop {
        let piece = tokio::select! {
            piece = body.next() => piece,
            _ = poll_fn(|context| outgoing.poll_reset(context)) => return Err(LinkError::Ended),
        };
        match piece {
            Ok(Some(mut piece)) => {
                while !piece.is_empty() {
                    let part = piece.split_to(piece.len().min(PACED_PIECE));
                    let bytes = part.len() as u64;
                    let left = length.unwrap_or(0).saturating_sub(sent).max(bytes);
                    shared.egress.pace(bytes, left, due).await;
                    sent += bytes;
                    send_piece(outgoing, part).await?;
                }
            }
            Ok(None) => {
                outgoing.send_data(Bytes::new(), true)?;
                return Ok(());
            }
            Err(_) => {
                // The caller's daemon must not take a cut answer for whole.
                outgoing.send_reset(h2::Reason::INTERNAL_ERROR);
                return Err(LinkError::Ended);
            }
        }
    }
}

/// Sends a piece as the other side's window allows, so that a slow reader
/// holds little memory here.
///
/// # Errors
/// [`LinkError`] when the stream or its connection ended.
pub async fn send_piece(
    outgoing: &mut SendStream<Bytes>,
    mut piece: Bytes,
) -> Result<(), LinkError> {
    while !piece.is_empty() {
        outgoing.reserve_capacity(piece.len().min(PIECE));
        let granted = poll_fn(|context| outgoing.poll_capacity(context))
            .await
            .ok_or(LinkError::Ended)??;
        let part = piece.split_to(granted.min(piece.len()));
        outgoing.send_data(part, false)?;
    }
    Ok(())
}
