//! The listening side of the links: other daemons' calls for the target here,
//! and the news they want.

use std::future::poll_fn;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use crate::body::{next_data, AnswerBody, CallBody, LinkBody, PieceSource};
use crate::links::{LinkError, CONNECTION_WINDOW, NEWS_PATH, STREAM_WINDOW};
use crate::messages::{
    encode, take, BadMessage, CallHead, LinkMessage, PeerAddress, ReplyHead, RowChange,
};
use crate::sockets;
use crate::state::MeshShared;
use crate::stop::CallMark;
use crate::versions::UntoldSteps;

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
    let mut buffer = BytesMut::new();
    let Some(LinkMessage::Hello { from, to, left }) =
        next_message(&mut incoming, &mut buffer).await?
    else {
        return Err(LinkError::Frame);
    };
    let own = shared.own_address();
    if to != own.id {
        log::info!("event=host_meant_not_here host={to} from={}", from.id);
        outgoing.send_data(encode(&LinkMessage::NotHere(own)), true)?;
        return Ok(());
    }
    let mut feed = shared.peers.watch(&from.zone);
    for key in &left {
        shared.gate.left_before(key);
    }
    for message in first_news(&shared, &from.zone) {
        outgoing.send_data(encode(&message), false)?;
    }
    heard_hello(&shared, from);
    loop {
        tokio::select! {
            message = next_message(&mut incoming, &mut buffer) => match message? {
                Some(LinkMessage::Follow) => {
                    feed.follows.set(true);
                    if shared.store_state().is_current() {
                        let sum = LinkMessage::MembersSum(shared.members_sum());
                        outgoing.send_data(encode(&sum), false)?;
                    }
                }
                Some(message) => {
                    if let Some(answer) = answer_to(&shared, message) {
                        outgoing.send_data(encode(&answer), false)?;
                    }
                }
                None => return Ok(()),
            },
            frame = feed.frames.recv() => match frame {
                Some(frame) => outgoing.send_data(frame, false)?,
                None => return Ok(()),
            },
        }
    }
}

/// The next message of a stream; `None` at its end. Loses nothing when it is
/// not waited out: what was read stays in `buffer`.
async fn next_message(
    incoming: &mut RecvStream,
    buffer: &mut BytesMut,
) -> Result<Option<LinkMessage>, LinkError> {
    loop {
        if let Some(message) = take(buffer).map_err(|_| LinkError::Frame)? {
            return Ok(Some(message));
        }
        match next_data(incoming).await {
            Some(piece) => buffer.extend_from_slice(&piece?),
            None => return Ok(None),
        }
    }
}

/// What a daemon of `zone` is told when it links here.
fn first_news(shared: &MeshShared, zone: &str) -> Vec<LinkMessage> {
    let store = shared.store_state();
    let mut news = vec![
        LinkMessage::Target(shared.gate.status()),
        LinkMessage::InForce {
            version: shared.versions.number(),
        },
    ];
    if store.is_current() && zone == shared.settings.borrow().zone {
        news.push(LinkMessage::MembersSum(shared.members_sum()));
    }
    news.push(LinkMessage::Store(store));
    news.extend(shared.quarantine.serious());
    news.extend(shared.all_rollouts());
    // A restarted daemon that cannot reach the store learns here whom to call.
    if !shared.members.is_known.get() {
        news.push(LinkMessage::WantMembers);
    }
    news
}

fn heard_hello(shared: &Rc<MeshShared>, from: PeerAddress) {
    let id = from.id.clone();
    shared.learn_host(from, "hello");
    // A peer that links here is up: no reason to wait out a pause in dialing it.
    if let Some(peer) = shared.peers.get(&id) {
        if peer.link.borrow().is_none() {
            peer.nudge.notify_one();
        }
    }
}

fn answer_to(shared: &Rc<MeshShared>, message: LinkMessage) -> Option<LinkMessage> {
    match message {
        LinkMessage::WantVersion { have, or_whole } => {
            let versions = &shared.versions;
            Some(match versions.steps_from(have) {
                Ok(steps) => LinkMessage::Steps { steps },
                Err(_) if or_whole => LinkMessage::Version {
                    deflated: versions.deflated().to_vec(),
                },
                Err(untold) => LinkMessage::NoSteps {
                    are_heavy: untold == UntoldSteps::Heavy,
                },
            })
        }
        LinkMessage::WantMembers => Some(shared.member_list()),
        LinkMessage::Members(list) if !shared.members.is_known.get() => {
            match list.unpack() {
                Ok(hosts) => shared.take_members(hosts, "hello"),
                Err(BadMessage) => log::error!("event=members_unreadable from=hello"),
            }
            None
        }
        LinkMessage::WantRow {
            change,
            is_passed_on,
        } => {
            if let RowChange::Write(address) = &change {
                shared.learn_host(address.clone(), "hello");
            }
            if is_passed_on {
                shared.members.rows.want(change);
            } else {
                shared.see_to_row(change, true);
            }
            None
        }
        LinkMessage::Suspects(calls) => {
            shared.quarantine.hear(&calls, "a daemon linked here");
            None
        }
        LinkMessage::Rollouts(news) => {
            shared.hear_rollouts(&news, "a daemon linked here");
            None
        }
        LinkMessage::Tallies(tallies) => {
            shared.hear_tallies(tallies);
            None
        }
        LinkMessage::Hello { .. }
        | LinkMessage::NotHere(_)
        | LinkMessage::Follow
        | LinkMessage::Members(_)
        | LinkMessage::MembersSum(_)
        | LinkMessage::HostsChanged(_)
        | LinkMessage::Store(_)
        | LinkMessage::HeavyVersion
        | LinkMessage::Target(_)
        | LinkMessage::InForce { .. }
        | LinkMessage::Steps { .. }
        | LinkMessage::NoSteps { .. }
        | LinkMessage::Version { .. } => None,
    }
}

async fn serve_call(
    shared: Rc<MeshShared>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let _mark = CallMark::new(&shared);
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
        let promise = shared.egress.promise(call.answer_bytes);
        let done = shared.gate.run(&call, body, link).await;
        drop(promise);
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
