//! The listening side of links: runs other daemons' calls at the target on this host,
//! and serves their news streams ([`news`]).

mod news;

use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use filbert_policy::call_limits::AnswerDeadline;
use filbert_policy::client_budget::{FIRST_MESSAGE_TIMEOUT_STEP, FIRST_MESSAGE_TIMEOUT_STEPS};
use filbert_policy::fair_share::OrganisationShare;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use crate::body::{buffer_ended, next_data, AnswerBody, BodySource, CallBody, LinkBody};
use crate::clients::ClientTable;
use crate::connection_limit::{ConnectionLimit, UsageCell};
use crate::links::{connection_window, LinkError, CALL_STREAM_WINDOW, MAX_CONCURRENT_STREAMS};
use crate::messages::{decode_next, encode, CallHead, ReplyHead};
use crate::sockets;
use crate::state::MeshShared;
use crate::stop::ActiveCallGuard;
use news::{news_path, serve_news};

/// Maximum number of streams of a link that a peer has cancelled before this daemon has
/// looked at them. Beyond it, the link ends with all its calls. A host that stands still
/// finds as many as its peer sent meanwhile: 2,000 are those of several seconds.
const MAX_CANCELLED_UNSEEN_STREAMS: usize = 2_000;
/// Maximum size of a call body that is read whole before the call runs, in bytes.
/// Larger bodies are streamed to the target.
const MAX_WHOLE_BODY_BYTES: u64 = 64 * 1024;
/// Maximum number of body bytes for which HTTP/2 capacity is reserved at a time.
const SEND_CHUNK_BYTES: usize = 64 * 1024;
/// Maximum number of answer bytes sent before the pacer decides again which
/// answer goes next.
const PACED_CHUNK_BYTES: usize = 16 * 1024;
/// Time from the opening of a call's stream within which its head must have come. The caller's
/// daemon sends both together.
const CALL_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which the daemon that dials a link completes the handshake. A host that stands
/// still for a moment may take longer than the dialing side usually waits.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept. Without it, running out of file descriptors would
/// turn the accept loop into a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links from other daemons until the process ends.
pub async fn serve(shared: Rc<MeshShared>, clients: Rc<ClientTable>, listener: TcpListener) {
    let pending_links = ConnectionLimit::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = Rc::clone(&shared);
                let usage = UsageCell::opened(shared.clock.now());
                let link_usage = usage.clone();
                let task = tokio::task::spawn_local(async move {
                    if let Err(error) = serve_link(shared, link_usage, stream).await {
                        log::debug!("event=incoming_link_ended reason=\"{error}\"");
                    }
                });
                pending_links.release_active();
                let max = clients.limits().pending_links;
                pending_links.add(max, usage, task.abort_handle());
            }
            Err(error) => {
                log::warn!("event=accept_failed port=peers error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns when the first message of a link should have come.
async fn await_first_message_timeout() {
    for _ in 0..FIRST_MESSAGE_TIMEOUT_STEPS {
        tokio::time::sleep(FIRST_MESSAGE_TIMEOUT_STEP).await;
    }
}

/// Availability zone of the daemon that dialed a link, once it has said so.
type CallerZone = Rc<RefCell<Option<String>>>;

async fn serve_link(
    shared: Rc<MeshShared>,
    usage: UsageCell,
    stream: TcpStream,
) -> Result<(), LinkError> {
    sockets::set_socket_options(&stream);
    let caller_zone = CallerZone::default();
    let handshake = h2::server::Builder::new()
        .initial_window_size(CALL_STREAM_WINDOW)
        .initial_connection_window_size(connection_window(CALL_STREAM_WINDOW))
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_concurrent_reset_streams(64)
        .max_pending_accept_reset_streams(MAX_CANCELLED_UNSEEN_STREAMS)
        .handshake(stream);
    let mut connection = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| LinkError::ConnectFailed)??;
    let mut hello_timeout = pin!(await_first_message_timeout());
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = connection.accept() => accepted,
            () = &mut hello_timeout, if !usage.is_active() => {
                if usage.is_active() {
                    continue;
                }
                return Err(LinkError::ConnectFailed);
            }
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, respond) = accepted?;
        let shared = Rc::clone(&shared);
        let caller_zone = Rc::clone(&caller_zone);
        if request.uri().path() == news_path() {
            let usage = usage.clone();
            tokio::task::spawn_local(async move {
                let served = serve_news(shared, request, respond, caller_zone, usage);
                if let Err(error) = served.await {
                    log::debug!("event=news_ended reason=\"{error}\"");
                }
            });
        } else {
            if let Some(zone) = caller_zone.borrow().as_deref() {
                shared.count_received_call(zone);
            }
            tokio::task::spawn_local(async move {
                if let Err(error) = serve_call(shared, request, respond).await {
                    log::debug!("event=peer_call_ended reason=\"{error}\"");
                }
            });
        }
    }
}

async fn serve_call(
    shared: Rc<MeshShared>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let _active_call = ActiveCallGuard::new(&shared);
    let mut incoming = request.into_body();
    let mut buffer = BytesMut::new();
    let head = read_call_head(&mut incoming, &mut buffer);
    let mut call = tokio::time::timeout(CALL_HEAD_TIMEOUT, head)
        .await
        .unwrap_or(Err(LinkError::Closed))?;
    let received_at = shared.clock.now();
    if let Some(time_to_exit) = shared.stop.time_to_exit(received_at) {
        call.shorten_deadlines(time_to_exit);
    }
    let deadline = received_at + Duration::from_micros(call.deadline_us);
    let organisation = call.organisation;
    let work = async {
        let body = read_body(&call, incoming, buffer);
        let body = tokio::time::timeout_at(deadline.into(), body)
            .await
            .unwrap_or(Err(LinkError::Closed))?;
        // The gate counts the deadlines from now on.
        call.count_elapsed(shared.clock.now().saturating_duration_since(received_at));
        let link = shared.gate.link_time(&call);
        let reservation = shared.egress.reserve(call.answer_bytes);
        let done = shared.gate.run(&call, body, link).await;
        drop(reservation);
        Ok::<_, LinkError>(done)
    };
    // A call is cancelled when its caller has left: the caller's daemon resets the
    // stream, and dropping `work` closes the connection to the target. The reset is
    // polled first. On a host that stalled for a moment, or behind a full link, a call
    // and its reset are read together, and the target would otherwise be sent calls
    // that nobody waits for, as it was with 8 of 16 such calls.
    let (reply, body) = tokio::select! {
        biased;
        _ = poll_fn(|context| respond.poll_reset(context)) => return Err(LinkError::Closed),
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
        let transfer = AnswerTransfer {
            length,
            deadline,
            organisation,
        };
        let idle_timeout = shared.current_index().limits().idle_timeout;
        let until = body.send_until(AnswerDeadline::new(deadline), idle_timeout);
        let ended = buffer_ended(body.buffer_share());
        let sent = send_body(&shared, &mut outgoing, body, transfer);
        let sent = tokio::time::timeout_at(until.into(), sent);
        tokio::select! {
            sent = sent => sent.unwrap_or(Err(LinkError::Closed))?,
            // Dropping the stream resets it: the answer does not look complete.
            () = ended => return Err(LinkError::Closed),
        }
    }
    Ok(())
}

async fn read_call_head(
    incoming: &mut RecvStream,
    buffer: &mut BytesMut,
) -> Result<CallHead, LinkError> {
    loop {
        if let Some(call) = decode_next(buffer).map_err(|_| LinkError::InvalidMessage)? {
            return Ok(call);
        }
        match next_data(incoming).await {
            Some(data) => buffer.extend_from_slice(&data?),
            None => return Err(LinkError::Closed),
        }
    }
}

async fn read_body(
    call: &CallHead,
    mut incoming: RecvStream,
    mut buffer: BytesMut,
) -> Result<CallBody, LinkError> {
    if !call.has_body {
        return Ok(CallBody::Whole(Bytes::new()));
    }
    if call
        .body_length
        .is_none_or(|length| length > MAX_WHOLE_BODY_BYTES)
    {
        let rest = LinkBody::new(incoming, buffer);
        return Ok(CallBody::Streamed(BodySource::Link(rest)));
    }
    while let Some(data) = next_data(&mut incoming).await {
        buffer.extend_from_slice(&data?);
    }
    if call.body_length == Some(buffer.len() as u64) {
        Ok(CallBody::Whole(buffer.freeze()))
    } else {
        Err(LinkError::Closed)
    }
}

/// What the pacer needs to know of an answer's body.
struct AnswerTransfer {
    /// Length of the body, in bytes; `None` if not known in advance.
    length: Option<u64>,
    /// Deadline of the call.
    deadline: Instant,
    /// The organisation that the call belongs to.
    organisation: Option<OrganisationShare>,
}

async fn send_body(
    shared: &MeshShared,
    outgoing: &mut SendStream<Bytes>,
    mut body: AnswerBody,
    transfer: AnswerTransfer,
) -> Result<(), LinkError> {
    let mut sent = 0;
    loop {
        let piece = tokio::select! {
            piece = body.next() => piece,
            _ = poll_fn(|context| outgoing.poll_reset(context)) => return Err(LinkError::Closed),
        };
        let piece = match piece {
            Ok(Some(piece)) => piece,
            Ok(None) => {
                outgoing.send_data(Bytes::new(), true)?;
                return Ok(());
            }
            Err(_) => return Err(reset_cut_body(outgoing)),
        };
        let bytes = piece.len() as u64;
        let remaining = transfer.length.unwrap_or(0).saturating_sub(sent);
        tokio::select! {
            biased;
            sent = send_piece(shared, outgoing, piece, remaining, &transfer) => sent?,
            // The caller's daemon may have given no window for a while.
            _ = body.cut() => return Err(reset_cut_body(outgoing)),
        }
        sent += bytes;
    }
}

/// Resets the stream of an answer that is cut. Otherwise the caller's daemon could take it for
/// a complete one.
fn reset_cut_body(outgoing: &mut SendStream<Bytes>) -> LinkError {
    outgoing.send_reset(h2::Reason::INTERNAL_ERROR);
    LinkError::Closed
}

/// Sends a piece of an answer's body of which `remaining` bytes are left, paced.
async fn send_piece(
    shared: &MeshShared,
    outgoing: &mut SendStream<Bytes>,
    mut piece: Bytes,
    mut remaining: u64,
    transfer: &AnswerTransfer,
) -> Result<(), LinkError> {
    while !piece.is_empty() {
        let chunk = piece.split_to(piece.len().min(PACED_CHUNK_BYTES));
        let bytes = chunk.len() as u64;
        let left = remaining.max(bytes);
        let pace = shared
            .egress
            .pace(bytes, left, transfer.deadline, transfer.organisation);
        pace.await;
        remaining = remaining.saturating_sub(bytes);
        send_body_data(outgoing, chunk).await?;
    }
    Ok(())
}

/// Sends body data as fast as the receiver's flow-control window allows, so that a
/// slow receiver takes little memory on this host.
///
/// # Errors
/// [`LinkError`] if the stream or its connection has ended.
pub async fn send_body_data(
    outgoing: &mut SendStream<Bytes>,
    mut data: Bytes,
) -> Result<(), LinkError> {
    while !data.is_empty() {
        outgoing.reserve_capacity(data.len().min(SEND_CHUNK_BYTES));
        let granted = poll_fn(|context| outgoing.poll_capacity(context))
            .await
            .ok_or(LinkError::Closed)??;
        let chunk = data.split_to(granted.min(data.len()));
        outgoing.send_data(chunk, false)?;
    }
    Ok(())
}
