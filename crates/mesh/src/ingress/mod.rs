//! Serves clients' connections: reads calls, runs pipelined calls concurrently and
//! writes the answers in the order of the calls.

mod answers;
mod bodies;
mod linger;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use filbert_http1::{BodyDecoder, FieldFault, HeadError, MessageReader, ReadError, RequestHead};
use filbert_platform::headers;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::calls::{self, ClientAnswer, ClientCall};
use crate::logging::LinePriority;
use crate::small_server::accept_loop;
use crate::sockets;
use crate::state::MeshShared;
use crate::stop::ActiveCallGuard;
use answers::write_answer;
use bodies::{call_identity, forward_body, read_body};
use linger::close_after_answers;

/// Maximum number of calls of one connection that are handled at the same time.
/// Further calls are not read until an answer has been written.
const MAX_PIPELINED_CALLS: usize = 16;
const BAD_REQUEST: u16 = 400;
const REQUEST_TIMEOUT: u16 = 408;
const CONTENT_TOO_LARGE: u16 = 413;
const HEADER_FIELDS_TOO_LARGE: u16 = 431;

/// Accepts and serves clients' connections until the process ends.
pub async fn serve(shared: Rc<MeshShared>, listener: TcpListener) {
    accept_loop("calls", listener, |stream| {
        serve_connection(Rc::clone(&shared), stream)
    })
    .await;
}

/// A call whose answer has not been written yet.
struct PendingAnswer {
    task: JoinHandle<ClientAnswer>,
    id: String,
    is_http11: bool,
    closes_connection: bool,
    _active_call_guard: ActiveCallGuard,
}

impl Drop for PendingAnswer {
    /// Aborts the task, which is still running only if the connection has ended
    /// before the answer was written.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// State shared by the reader and the writer of a connection.
struct ConnectionState {
    pending: RefCell<VecDeque<PendingAnswer>>,
    /// Wakes the writer when a call has been added or the input was closed.
    call_added: Notify,
    /// Wakes the reader when an answer has been written.
    answer_written: Notify,
    /// Time at which the last head was read or the last answer was written.
    last_active: std::cell::Cell<Instant>,
    /// Whether no further call will be read.
    is_input_closed: std::cell::Cell<bool>,
}

async fn serve_connection(shared: Rc<MeshShared>, stream: TcpStream) {
    let idle_timeout = shared.current_index().limits().idle_timeout;
    sockets::set_client_socket_options(&stream, idle_timeout);
    let (read, write) = stream.into_split();
    let state = ConnectionState {
        pending: RefCell::new(VecDeque::new()),
        call_added: Notify::new(),
        answer_written: Notify::new(),
        last_active: std::cell::Cell::new(shared.clock.now()),
        is_input_closed: std::cell::Cell::new(false),
    };
    let mut reader = MessageReader::new(read);
    let mut writer = write;
    let has_written_last_answer = tokio::select! {
        () = read_calls(&shared, &state, &mut reader) => false,
        result = write_answers(&shared, &state, &mut writer) => result.is_ok(),
    };
    // Aborts the calls that are still running: the client has disconnected, or
    // writing an answer failed.
    state.pending.borrow_mut().clear();
    if has_written_last_answer {
        close_after_answers(&shared, reader, writer).await;
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
async fn read_calls(
    shared: &Rc<MeshShared>,
    state: &ConnectionState,
    reader: &mut MessageReader<OwnedReadHalf>,
) {
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
        let answer = async move { ClientAnswer::local(status) };
        spawn_answer(shared, state, answer, String::new(), true, true);
    }
    state.is_input_closed.set(true);
    state.call_added.notify_one();
    // Further input is discarded; reading detects that the client disconnects.
    while let Ok(true) = reader.fill().await {
        reader.discard_buffered();
    }
}

/// Spawns the task that produces an answer, and queues the answer for the writer.
fn spawn_answer(
    shared: &Rc<MeshShared>,
    state: &ConnectionState,
    answer: impl std::future::Future<Output = ClientAnswer> + 'static,
    id: String,
    is_http11: bool,
    closes_connection: bool,
) {
    state.pending.borrow_mut().push_back(PendingAnswer {
        task: tokio::task::spawn_local(answer),
        id,
        is_http11,
        closes_connection,
        _active_call_guard: ActiveCallGuard::new(shared),
    });
    state.call_added.notify_one();
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
    reader: &mut MessageReader<OwnedReadHalf>,
) -> Result<bool, ReadEnd> {
    while state.pending.borrow().len() >= MAX_PIPELINED_CALLS {
        state.answer_written.notified().await;
    }
    wait_for_first_byte(shared, state, reader).await?;
    let limits = *shared.current_index().limits();
    let raw = match tokio::time::timeout(limits.head_timeout, reader.read_head(limits.head_bytes))
        .await
    {
        Ok(Ok(Some(raw))) => raw,
        Ok(Err(ReadError::HeadTooLong)) => {
            return Err(ReadEnd::CloseAfterAnswers(Some(HEADER_FIELDS_TOO_LARGE)))
        }
        Ok(Ok(None) | Err(_)) => return Err(ReadEnd::Disconnected),
        Err(_) => return Err(ReadEnd::CloseAfterAnswers(Some(REQUEST_TIMEOUT))),
    };
    let received = shared.clock.now();
    state.last_active.set(received);
    let head = match RequestHead::parse(&raw) {
        Ok(head) => head,
        Err(HeadError::Malformed | HeadError::AmbiguousLength) => {
            return Err(ReadEnd::CloseAfterAnswers(Some(BAD_REQUEST)))
        }
    };
    if let Some(fault) = headers::find_call_fault(&head) {
        log_refused(shared, &head, fault);
        return Err(ReadEnd::CloseAfterAnswers(Some(BAD_REQUEST)));
    }
    let length = head.framing.length();
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err(ReadEnd::CloseAfterAnswers(Some(CONTENT_TOO_LARGE)));
    }
    let call_headers = headers::read_call_headers(&head);
    let keep_alive = head.keep_alive;
    let is_http11 = head.is_http11;
    let framing = head.framing;
    let id = call_headers.id.clone();
    let mut decoder = BodyDecoder::new(framing);
    let (body, unsent) = read_body(reader, &mut decoder, framing).await?;
    let identity = call_identity(&head, &call_headers.host, &body, unsent.as_ref());
    let call = ClientCall {
        head,
        headers: call_headers,
        identity,
        body,
        received,
        organisation: None,
    };
    let shared_call = Rc::clone(shared);
    let answer = async move { calls::handle_call(&shared_call, call).await };
    spawn_answer(shared, state, answer, id, is_http11, !keep_alive);
    if let Some((prefix, body_sender)) = unsent {
        forward_body(
            reader,
            &mut decoder,
            prefix,
            &body_sender,
            limits.body_bytes,
        )
        .await?;
    }
    Ok(keep_alive)
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
/// [`ReadEnd`] if the connection was idle for too long, the daemon is stopping, or
/// the client disconnected.
async fn wait_for_first_byte(
    shared: &MeshShared,
    state: &ConnectionState,
    reader: &mut MessageReader<OwnedReadHalf>,
) -> Result<(), ReadEnd> {
    while !reader.has_buffered_bytes() {
        let is_busy = !state.pending.borrow().is_empty();
        if shared.stop.is_closing() && !is_busy {
            return Err(ReadEnd::CloseAfterAnswers(None));
        }
        let idle_timeout = shared.current_index().limits().idle_timeout;
        let idle_until = state.last_active.get() + idle_timeout;
        if !is_busy && shared.clock.now() >= idle_until {
            return Err(ReadEnd::CloseAfterAnswers(None));
        }
        tokio::select! {
            filled = reader.fill() => match filled {
                Ok(true) => {}
                Ok(false) | Err(_) => return Err(ReadEnd::Disconnected),
            },
            () = tokio::time::sleep_until(idle_until.into()), if !is_busy => {}
            () = state.answer_written.notified() => {}
            () = shared.stop.phase_changed.notified() => {}
        }
    }
    Ok(())
}

/// Writes answers in the order of their calls. Returns after the answer that closes
/// the connection, or after all pending answers once the input is closed.
///
/// # Errors
/// The error of a write, or of an answer's body that is truncated.
async fn write_answers(
    shared: &Rc<MeshShared>,
    state: &ConnectionState,
    writer: &mut OwnedWriteHalf,
) -> std::io::Result<()> {
    loop {
        let next_pending = state.pending.borrow_mut().pop_front();
        let Some(mut pending) = next_pending else {
            if state.is_input_closed.get() {
                return Ok(());
            }
            state.call_added.notified().await;
            continue;
        };
        let answer = match (&mut pending.task).await {
            Ok(answer) => answer,
            Err(error) => {
                log::error!(
                    "event=call_task_failed request={} error=\"{error}\"",
                    pending.id
                );
                ClientAnswer::local(502)
            }
        };
        let is_last_pending = state.pending.borrow().is_empty();
        let closes_connection =
            pending.closes_connection || (shared.stop.is_closing() && is_last_pending);
        let closes_connection =
            write_answer(&shared.egress, writer, &pending, answer, closes_connection).await?;
        state.last_active.set(shared.clock.now());
        state.answer_written.notify_one();
        if closes_connection {
            return Ok(());
        }
    }
}
