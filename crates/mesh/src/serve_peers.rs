//! The listening side of the links: other daemons' calls for the target here,
//! and the news they want.

use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use crate::body::{next_data, AnswerBody, CallBody, LinkBody, PieceSource};
use crate::links::{LinkError, CONNECTION_WINDOW, NEWS_PATH, STREAM_WINDOW};
use crate::messages::{encode, take, CallHead, LinkMessage, ReplyHead};
use crate::sockets;
use crate::state::MeshShared;

/// Streams that one other daemon may have open.
const MAX_STREAMS: u32 = 2_000;
/// Longest body that is read whole before its call is run, in bytes.
const WHOLE_BODY: u64 = 64 * 1024;
/// Bytes of an answer handed to a link at a time.
const PIECE: usize = 64 * 1024;
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

fn news_path() -> &'static str {
    NEWS_PATH.strip_prefix("http://peer").unwrap_or(NEWS_PATH)
}

async fn serve_news(
    shared: Rc<MeshShared>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let mut incoming = request.into_body();
    let mut outgoing = respond.send_response(Response::new(()), false)?;
    let (watcher, mut frames) = shared.peers.watch();
    outgoing.send_data(encode(&LinkMessage::Target(shared.gate.status())), false)?;
    let version = shared.index.borrow().number();
    outgoing.send_data(encode(&LinkMessage::InForce { version }), false)?;
    drop(watcher);
    let mut buffer = BytesMut::new();
    loop {
        while let Some(message) = take(&mut buffer).map_err(|_| LinkError::Frame)? {
            match message {
                LinkMessage::Hello { from, known, left } => {
                    for id in &left {
                        shared.gate.left_before(id);
                    }
                    heard_hello(&shared, from, known);
                }
                LinkMessage::WantVersion => {
                    let text = shared.version_text.borrow().to_vec();
                    outgoing.send_data(encode(&LinkMessage::Version { text }), false)?;
                }
                LinkMessage::Target(_)
                | LinkMessage::InForce { .. }
                | LinkMessage::Version { .. } => {}
            }
        }
        tokio::select! {
            data = next_data(&mut incoming) => match data {
                Some(Ok(piece)) => buffer.extend_from_slice(&piece),
                Some(Err(error)) => return Err(LinkError::Protocol(error)),
                None => return Ok(()),
            },
            frame = frames.recv() => match frame {
                Some(frame) => outgoing.send_data(frame, false)?,
                None => return Ok(()),
            },
        }
    }
}

/// A restarted daemon that cannot reach the store learns here whom to call.
fn heard_hello(
    shared: &Rc<MeshShared>,
    from: crate::messages::PeerAddress,
    known: Vec<crate::messages::PeerAddress>,
) {
    let id = from.id.clone();
    shared.learn_peer(from, "hello");
    for address in known {
        if shared.peers.get(&address.id).is_none() {
            shared.learn_peer(address, &id);
        }
    }
    shared.knows_members.set(true);
    // A peer that links here is up: no reason to wait out a pause in dialing it.
    if let Some(peer) = shared.peers.get(&id) {
        if peer.link.borrow().is_none() {
            peer.nudge.notify_one();
        }
    }
}

async fn serve_call(
    shared: Rc<MeshShared>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), LinkError> {
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
    let work = async {
        let body = read_body(&call, incoming, buffer).await?;
        Ok::<_, LinkError>(shared.gate.run(&call, body).await)
    };
    // Guards against work for a caller that has left: its daemon resets the
    // stream, and dropping the work closes the target's connection.
    let (reply, body) = tokio::select! {
        done = work => done?,
        _ = poll_fn(|context| respond.poll_reset(context)) => return Err(LinkError::Ended),
    };
    let mut outgoing = respond.send_response(Response::new(()), false)?;
    let has_body = matches!(reply, ReplyHead::Answer { .. });
    outgoing.send_data(encode(&reply), !has_body)?;
    if has_body {
        send_body(&mut outgoing, body).await?;
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

async fn send_body(
    outgoing: &mut SendStream<Bytes>,
    mut body: AnswerBody,
) -> Result<(), LinkError> {
    loop {
        let piece = tokio::select! {
            piece = body.next() => piece,
            _ = poll_fn(|context| outgoing.poll_reset(context)) => return Err(LinkError::Ended),
        };
        match piece {
            Ok(Some(piece)) => send_piece(outgoing, piece).await?,
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
