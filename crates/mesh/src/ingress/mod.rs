//! Serves clients' connections: reads calls, runs pipelined calls concurrently and
//! writes the answers in the order of the calls.

mod answers;
mod bodies;
mod client_io;
mod connection;
mod cut_answers;
mod linger;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbert_http1::{BodyDecoder, BodyFraming, FieldFault, HeadError, ReadError, RequestHead};
use filbert_platform::headers;
use filbert_policy::call_limits::OverheadLimits;
use filbert_policy::client_budget::{call_bytes, MemoryFull};
use filbert_policy::routing::ClientLimits;
use tokio::net::{TcpListener, TcpStream};

use crate::calls::{self, ClientAnswer, ClientCall};
use crate::clients::{ClientTable, ConnectionAccount};
use crate::logging::LinePriority;
use crate::small_server::{accept_loop, accept_waiting};
use crate::sockets;
use crate::state::MeshShared;
use crate::stop::StopPhase;
use answers::{write_answer, AnswerFault};
use bodies::{call_identity, expected_call, forward_body, read_body, wait_for_disconnect};
use client_io::{ClientReader, ClientWriter};
use connection::{CallInfo, ConnectionState};
use cut_answers::CutAnswerReport;
use linger::{close_after_answers, reset_cut_answer};

/// Maximum number of calls of one connection that are handled at the same time.
/// Further calls are not read until an answer has been written.
const MAX_PIPELINED_CALLS: usize = 16;
/// Memory of the buffer into which a message is read, in bytes.
const READ_BUFFER_BYTES: u64 = 16 * 1024;
/// Interval at which it is checked whether a client has left whose next call is not read.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a client should return whose call was refused for want of memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
const BAD_REQUEST: u16 = 400;
const REQUEST_TIMEOUT: u16 = 408;
const CONTENT_TOO_LARGE: u16 = 413;
const HEADER_FIELDS_TOO_LARGE: u16 = 431;
const SERVICE_UNAVAILABLE: u16 = 503;

/// Accepts and serves clients' connections until the last phase of a planned stop. Clients
/// that connect later are refused by the kernel.
pub async fn serve(shared: Rc<MeshShared>, clients: Rc<ClientTable>, listener: TcpListener) {
    let serve = |stream| serve_connection(Rc::clone(&shared), clients.add(), stream);
    let make_room = || {
        clients.end_one_for_room();
    };
    tokio::select! {
        () = accept_loop("calls", &listener, serve, make_room) => {}
        () = shared.stop.reached(StopPhase::Ending) => accept_waiting(&listener, serve).await,
    }
}

async fn serve_connection(
    shared: Rc<MeshShared>,
    account: Rc<ConnectionAccount>,
    stream: TcpStream,
) {
    let idle_timeout = shared.current_index().limits().idle_timeout;
    sockets::set_client_socket_options(&stream, idle_timeout);
    let (read, write) = stream.into_split();
    let state = ConnectionState::new(&shared);
    let mut reader = ClientReader::new(read, Rc::clone(&account));
    let mut writer = ClientWriter::new(write, Rc::clone(&account));
    let has_written_last_answer = tokio::select! {
        () = read_calls(&shared, &state, &mut reader) => false,
        result = write_answers(&shared, &state, &mut writer) => result.is_ok(),
        () = account.ended() => false,
    };
    state.abort_calls();
    if has_written_last_answer {
        tokio::select! {
            () = close_after_answers(&shared, reader, writer) => {}
            () = account.ended() => {}
        }
    } else {
        reset_cut_answer(&writer);
    }
}

/// Why no further call is read.
enum ReadEnd {
    /// The client disconnected, or its input cannot be read any further.
    Disconnected,
    /// The connection is closed after the pending answers and, if there is a status,
    /// after a local reply with this status.
    CloseAfterAnswers(Option<u16>),
}

/// Reads calls until no further call may follow, then discards input. Returns
/// when the client has disconnected or its input cannot be read any further.
async fn read_calls(shared: &Rc<MeshShared>, state: &ConnectionState, reader: &mut ClientReader) {
    let end = loop {
        match read_next_call(shared, state, reader).await {
            Ok(true) => {}
            Ok(false) => break ReadEnd::CloseAfterAnswers(None),
            Err(end) => break end,
        }
    };
    let ReadEnd::CloseAfterAnswers(status) = end else {
        return;
    };
    if let Some(status) = status {
        let unread_call = CallInfo {
            id: String::new(),
            is_http11: true,
            closes_connection: true,
        };
        state.spawn_answer(shared, unread_call, None, async move {
            ClientAnswer::local(status)
        });
    }
    state.close_input();
    // Reading detects that the client disconnects.
    reader.discard_input().await;
}

/// Reads one call and starts to handle it as soon as its head and the first part of
/// its body are read. Returns, after the end of the body, whether further calls may
/// follow on the connection.
///
/// # Errors
/// The reason why no further call is read.
async fn read_next_call(
    shared: &Rc<MeshShared>,
    state: &ConnectionState,
    reader: &mut ClientReader,
) -> Result<bool, ReadEnd> {
    wait_until_call_allowed(state, reader).await?;
    pause_after_refusals(shared, state, reader).await?;
    wait_for_first_byte(shared, state, reader).await?;
    let reading = reader.account().charge(READ_BUFFER_BYTES);
    let limits = *shared.current_index().limits();
    let (raw, head) = read_head(shared, reader, &limits).await?;
    let received = shared.clock.now();
    state.record_activity(received);
    let call_headers = headers::read_call_headers(&head);
    let keep_alive = head.keep_alive;
    let is_http11 = head.is_http11;
    let framing = head.framing;
    let id = call_headers.id.clone();
    let (size, bytes) = expected_call(raw.len(), framing);
    drop(reading);
    let Ok(charge) = reader.account().charge_call(size, bytes) else {
        refuse_for_memory(shared, state, id, is_http11);
        return Ok(false);
    };
    let charge = Rc::new(charge);
    let overhead_limits = OverheadLimits::new(limits.head_bytes);
    let mut decoder = BodyDecoder::new(framing).with_max_overhead(overhead_limits.framing());
    let body_time = match framing {
        BodyFraming::Empty => Duration::ZERO,
        _ => calls::body_time(shared, &head, &call_headers),
    };
    let until = received + body_time;
    let (body, unsent) = read_body(reader, &mut decoder, framing, until).await?;
    if unsent.is_none() {
        let body_bytes = body.buffered_bytes();
        charge.set(call_bytes(raw.len(), body_bytes));
    }
    let identity = call_identity(&head, &call_headers.host, &body, unsent.as_ref());
    let call = ClientCall {
        head,
        headers: call_headers,
        identity,
        body,
        received,
        organisation: None,
    };
    let mut call_info = CallInfo {
        id,
        is_http11,
        closes_connection: !keep_alive,
    };
    if let Some(refusal) = calls::refuse_while_stopping(shared, &call) {
        call_info.closes_connection = true;
        state.spawn_answer(shared, call_info, Some(charge), async move { refusal });
        return Ok(false);
    }
    let shared_call = Rc::clone(shared);
    let answer = async move { calls::handle_call(&shared_call, call).await };
    state.spawn_answer(shared, call_info, Some(charge), answer);
    if let Some(unsent) = unsent {
        forward_body(reader, &mut decoder, unsent, limits.body_bytes, until).await?;
    }
    Ok(keep_alive)
}

/// Reads the head of a call, as it was received and parsed.
///
/// # Errors
/// [`ReadEnd`] if it does not come whole and in time, or may not be served.
async fn read_head(
    shared: &MeshShared,
    reader: &mut ClientReader,
    limits: &ClientLimits,
) -> Result<(Bytes, RequestHead), ReadEnd> {
    let close = |status| ReadEnd::CloseAfterAnswers(Some(status));
    let read = reader.read_head(limits.head_bytes);
    let raw = match tokio::time::timeout(limits.head_timeout, read).await {
        Ok(Ok(Some(raw))) => raw,
        Ok(Err(ReadError::HeadTooLong)) => return Err(close(HEADER_FIELDS_TOO_LARGE)),
        Ok(Ok(None) | Err(_)) => return Err(ReadEnd::Disconnected),
        Err(_) => return Err(close(REQUEST_TIMEOUT)),
    };
    let head = match RequestHead::parse(&raw) {
        Ok(head) => head,
        Err(HeadError::Malformed | HeadError::AmbiguousLength) => return Err(close(BAD_REQUEST)),
    };
    if let Some(fault) = headers::find_call_fault(&head) {
        log_refused(shared, &head, fault);
        return Err(close(BAD_REQUEST));
    }
    let length = head.framing.length();
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err(close(CONTENT_TOO_LARGE));
    }
    Ok((raw, head))
}

/// Waits until the connection may read a further call: it has only so many in progress, and
/// fewer while the process holds much for all its clients.
///
/// # Errors
/// [`ReadEnd::Disconnected`] if the client has left meanwhile.
async fn wait_until_call_allowed(
    state: &ConnectionState,
    reader: &mut ClientReader,
) -> Result<(), ReadEnd> {
    while state.pending_count() >= MAX_PIPELINED_CALLS || !reader.account().allows_call() {
        tokio::select! {
            () = state.answer_written() => {}
            () = wait_for_disconnect(reader.stream(), DISCONNECT_POLL_INTERVAL) => {
                return Err(ReadEnd::Disconnected);
            }
        }
    }
    Ok(())
}

/// Leaves a call that was sent ahead unread for a while if the daemon has refused many calls of
/// the connection.
///
/// # Errors
/// [`ReadEnd::Disconnected`] if the client has left meanwhile.
async fn pause_after_refusals(
    shared: &MeshShared,
    state: &ConnectionState,
    reader: &mut ClientReader,
) -> Result<(), ReadEnd> {
    let pause = state.refusal_pause();
    if pause.is_zero() || !reader.has_buffered_bytes() {
        return Ok(());
    }
    tokio::select! {
        () = tokio::time::sleep(pause) => Ok(()),
        () = shared.stop.phase_changed() => Ok(()),
        () = wait_for_disconnect(reader.stream(), DISCONNECT_POLL_INTERVAL) => {
            Err(ReadEnd::Disconnected)
        }
    }
}

/// Refuses a call because too much memory is held for clients, and this connection holds
/// most of it.
fn refuse_for_memory(
    shared: &Rc<MeshShared>,
    state: &ConnectionState,
    id: String,
    is_http11: bool,
) {
    shared.metrics.record_ended_connection("refused");
    let now = shared.clock.now();
    if shared.log_limiter.allows(LinePriority::Notable, now) {
        log::info!("event=call_refused request={id:?} reason=\"{MemoryFull}\"");
    }
    let call_info = CallInfo {
        id,
        is_http11,
        closes_connection: true,
    };
    let refusal = ClientAnswer::Local {
        status: SERVICE_UNAVAILABLE,
        retry_after: Some(MEMORY_RETRY_AFTER),
    };
    state.spawn_answer(shared, call_info, None, async move { refusal });
}

/// Logs a call that is refused because of a header field.
fn log_refused(shared: &MeshShared, head: &RequestHead, fault: FieldFault<'_>) {
    let now = shared.clock.now();
    if shared.log_limiter.allows(LinePriority::Notable, now) {
        let id = headers::read_call_headers(head).id;
        log::info!("event=call_refused request={id:?} reason=\"{fault}\"");
    }
}

/// Waits for the first byte of a call.
///
/// # Errors
/// [`ReadEnd`] if the connection was idle for too long, a planned stop closes it behind the
/// calls that were read, or the client disconnected.
async fn wait_for_first_byte(
    shared: &MeshShared,
    state: &ConnectionState,
    reader: &mut ClientReader,
) -> Result<(), ReadEnd> {
    loop {
        if !state.reads_next_call(shared.stop.phase()) {
            return Err(ReadEnd::CloseAfterAnswers(None));
        }
        if reader.has_buffered_bytes() {
            return Ok(());
        }
        let is_idle = state.is_idle();
        let idle_timeout = shared.current_index().limits().idle_timeout;
        let idle_until = state.last_active() + idle_timeout;
        if is_idle && shared.clock.now() >= idle_until {
            return Err(ReadEnd::CloseAfterAnswers(None));
        }
        tokio::select! {
            filled = reader.fill_when_readable() => match filled {
                Ok(true) => {}
                Ok(false) | Err(_) => return Err(ReadEnd::Disconnected),
            },
            () = tokio::time::sleep_until(idle_until.into()), if is_idle => {}
            () = state.answer_written() => {}
            () = shared.stop.phase_changed() => {}
        }
    }
}

/// Writes answers in the order of their calls. Returns after the answer that closes
/// the connection, or after all pending answers once the input is closed.
///
/// # Errors
/// Why an answer was not written to its end.
async fn write_answers(
    shared: &Rc<MeshShared>,
    state: &ConnectionState,
    writer: &mut ClientWriter,
) -> Result<(), AnswerFault> {
    while let Some((pending, answer)) = state.next_answer().await {
        let idle_timeout = shared.current_index().limits().idle_timeout;
        state.record_refusal(matches!(answer, ClientAnswer::Local { .. }));
        writer.begin_answer();
        let report = CutAnswerReport::new(shared, &pending.call.id);
        let written = write_answer(&shared.egress, writer, &pending.call, answer, idle_timeout);
        let closes_connection = report.end(written.await)?;
        writer.finish_answer();
        state.finish_answer(shared.clock.now());
        if closes_connection {
            break;
        }
    }
    Ok(())
}
