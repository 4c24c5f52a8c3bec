//! Clients' connections: reads calls, several at once where a client sends
//! them so, and writes the answers in the order of the calls.

mod bodies;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_http1::{BodyDecoder, HeadError, MessageReader, ReadError, RequestHead};
use filbert_platform::headers;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::body::AnswerBody;
use crate::calls::{self, ClientAnswer, ClientCall};
use crate::egress::EgressPacer;
use crate::messages::AnswerHead;
use crate::small_server::{accept_for_ever, reason_phrase};
use crate::sockets;
use crate::state::MeshShared;
use crate::stop::ActiveCallGuard;
use crate::target::chunk;
use bodies::{identity_of, pump_body, read_body};

/// Calls of one connection in work at once; more stay unread.
const MOST_AT_ONCE: usize = 16;
/// How long a connection is read on after its last answer, so that the
/// client gets that answer and no reset.
const LINGER: Duration = Duration::from_millis(500);

const BAD_REQUEST: u16 = 400;
const REQUEST_TIMEOUT: u16 = 408;
const BODY_TOO_LONG: u16 = 413;
const HEAD_TOO_LONG: u16 = 431;

/// Takes clients' connections until the process ends.
pub async fn serve(shared: Rc<MeshShared>, listener: TcpListener) {
    accept_for_ever("calls", listener, |stream| {
        serve_connection(Rc::clone(&shared), stream)
    })
    .await;
}

/// A call whose answer is due.
struct DueAnswer {
    task: JoinHandle<ClientAnswer>,
    id: String,
    is_http11: bool,
    closes: bool,
    _active_call: ActiveCallGuard,
}

impl Drop for DueAnswer {
    /// Guards against work for a client that has left.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What the two halves of a connection share.
struct ConnectionState {
    due: RefCell<VecDeque<DueAnswer>>,
    /// Wakes the writer when a call was added.
    added: Notify,
    /// Wakes the reader when an answer was written.
    written: Notify,
    last_use: std::cell::Cell<Instant>,
    /// No further call will be read.
    is_last: std::cell::Cell<bool>,
}

async fn serve_connection(shared: Rc<MeshShared>, stream: TcpStream) {
    sockets::watch_silence(&stream);
    let (read, write) = stream.into_split();
    let state = ConnectionState {
        due: RefCell::new(VecDeque::new()),
        added: Notify::new(),
        written: Notify::new(),
        last_use: std::cell::Cell::new(shared.clock.now()),
        is_last: std::cell::Cell::new(false),
    };
    let mut reader = MessageReader::new(read);
    let mut writer = write;
    let is_closed_by_us = tokio::select! {
        () = read_calls(&shared, &state, &mut reader) => false,
        ended = write_answers(&shared, &state, &mut writer) => ended.is_ok(),
    };
    // Whatever is still in work is for a client that has left.
    state.due.borrow_mut().clear();
    if is_closed_by_us && writer.shutdown().await.is_ok() {
        let rest = async {
            while let Ok(true) = reader.fill().await {
                reader.discard_buffered();
            }
        };
        // Past the limit the client gets a reset at worst; its answer is out.
        let _ = tokio::time::timeout(LINGER, rest).await;
    }
}

/// Why no further call is read.
enum ReadEnd {
    /// The client has left.
    Gone,
    /// The connection ends behind the answers that are due, after one more
    /// of our own if there is a status.
    Last(Option<u16>),
}

/// Reads calls; returns when the client has left.
async fn read_calls(
    shared: &Rc<MeshShared>,
    state: &ConnectionState,
    reader: &mut MessageReader<OwnedReadHalf>,
) {
    let end = loop {
        match read_call(shared, state, reader).await {
            Ok(true) => {}
            Ok(false) => break ReadEnd::Last(None),
            Err(end) => break end,
        }
    };
    let ReadEnd::Last(status) = end else {
        return;
    };
    if let Some(status) = status {
        let answer = async move { ClientAnswer::own(status) };
        push_due(shared, state, answer, String::new(), true, true);
    }
    state.is_last.set(true);
    state.added.notify_one();
    // Only to notice that the client leaves.
    while let Ok(true) = reader.fill().await {
        reader.discard_buffered();
    }
}

fn push_due(
    shared: &Rc<MeshShared>,
    state: &ConnectionState,
    answer: impl std::future::Future<Output = ClientAnswer> + 'static,
    id: String,
    is_http11: bool,
    closes: bool,
) {
    state.due.borrow_mut().push_back(DueAnswer {
        task: tokio::task::spawn_local(answer),
        id,
        is_http11,
        closes,
        _active_call: ActiveCallGuard::new(shared),
    });
    state.added.notify_one();
}

/// Reads one call; false when it was the last.
async fn read_call(
    shared: &Rc<MeshShared>,
    state: &ConnectionState,
    reader: &mut MessageReader<OwnedReadHalf>,
) -> Result<bool, ReadEnd> {
    while state.due.borrow().len() >= MOST_AT_ONCE {
        state.written.notified().await;
    }
    await_first_byte(shared, state, reader).await?;
    let limits = *shared.current_index().limits();
    let raw = match tokio::time::timeout(limits.head_timeout, reader.read_head(limits.head_bytes))
        .await
    {
        Ok(Ok(Some(raw))) => raw,
        Ok(Err(ReadError::HeadTooLong)) => return Err(ReadEnd::Last(Some(HEAD_TOO_LONG))),
        Ok(Ok(None) | Err(_)) => return Err(ReadEnd::Gone),
        Err(_) => return Err(ReadEnd::Last(Some(REQUEST_TIMEOUT))),
    };
    let received = shared.clock.now();
    state.last_use.set(received);
    let head = match RequestHead::parse(&raw) {
        Ok(head) => head,
        Err(HeadError::Malformed | HeadError::AmbiguousLength) => {
            return Err(ReadEnd::Last(Some(BAD_REQUEST)))
        }
    };
    let length = head.framing.length();
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err(ReadEnd::Last(Some(BODY_TOO_LONG)));
    }
    let call_headers = headers::read_call(&head);
    let keep_alive = head.keep_alive;
    let is_http11 = head.is_http11;
    let framing = head.framing;
    let id = call_headers.id.clone();
    let mut decoder = BodyDecoder::new(framing);
    let (body, rest) = read_body(reader, &mut decoder, framing).await?;
    let identity = identity_of(&head, &call_headers.host, &body, rest.as_ref());
    let call = ClientCall {
        head,
        headers: call_headers,
        identity,
        body,
        received,
        holder: None,
    };
    let shared_call = Rc::clone(shared);
    let answer = async move { calls::answer(&shared_call, call).await };
    push_due(shared, state, answer, id, is_http11, !keep_alive);
    if let Some((start, pieces)) = rest {
        pump_body(reader, &mut decoder, start, &pieces, limits.body_bytes).await?;
    }
    Ok(keep_alive)
}

/// Waits for a call to begin, as long as a connection may be idle.
async fn await_first_byte(
    shared: &MeshShared,
    state: &ConnectionState,
    reader: &mut MessageReader<OwnedReadHalf>,
) -> Result<(), ReadEnd> {
    while !reader.has_buffered_bytes() {
        let is_busy = !state.due.borrow().is_empty();
        if shared.stop.is_closing() && !is_busy {
            return Err(ReadEnd::Last(None));
        }
        let idle = shared.current_index().limits().idle_timeout;
        let until = state.last_use.get() + idle;
        if !is_busy && shared.clock.now() >= until {
            return Err(ReadEnd::Last(None));
        }
        tokio::select! {
            filled = reader.fill() => match filled {
                Ok(true) => {}
                Ok(false) | Err(_) => return Err(ReadEnd::Gone),
            },
            () = tokio::time::sleep_until(until.into()), if !is_busy => {}
            () = state.written.notified() => {}
            () = shared.stop.phase_changed.notified() => {}
        }
    }
    Ok(())
}

/// Writes answers in the order of their calls; ends after the last.
async fn write_answers(
    shared: &Rc<MeshShared>,
    state: &ConnectionState,
    writer: &mut OwnedWriteHalf,
) -> std::io::Result<()> {
    loop {
        let front = state.due.borrow_mut().pop_front();
        let Some(mut due) = front else {
            if state.is_last.get() {
                return Ok(());
            }
            state.added.notified().await;
            continue;
        };
        let answer = match (&mut due.task).await {
            Ok(answer) => answer,
            Err(error) => {
                log::error!(
                    "event=call_task_failed request={} error=\"{error}\"",
                    due.id
                );
                ClientAnswer::own(502)
            }
        };
        let is_behind = state.due.borrow().is_empty();
        let closes = due.closes || (shared.stop.is_closing() && is_behind);
        write_answer(&shared.egress, writer, &due, answer, closes).await?;
        state.last_use.set(shared.clock.now());
        state.written.notify_one();
        if closes {
            return Ok(());
        }
    }
}

async fn write_answer(
    egress: &EgressPacer,
    writer: &mut OwnedWriteHalf,
    due: &DueAnswer,
    answer: ClientAnswer,
    closes: bool,
) -> std::io::Result<()> {
    let connection = if closes { "Connection: close\r\n" } else { "" };
    match answer {
        ClientAnswer::Own { status, come_back } => {
            let text = format!(
                "HTTP/1.1 {status} {}\r\n{}Content-Length: 0\r\n{connection}\r\n",
                reason_phrase(status),
                headers::local_reply_header_lines(&due.id, come_back)
            );
            writer.write_all(text.as_bytes()).await
        }
        ClientAnswer::Target(head, body) => {
            write_target_answer(egress, writer, &head, body, connection, due.is_http11).await
        }
    }
}

/// Time in which an answer is to leave for a client of this host, whose own
/// deadline was looked at before.
const CLIENTS_WAIT: Duration = Duration::from_secs(3);

async fn write_target_answer(
    egress: &EgressPacer,
    writer: &mut OwnedWriteHalf,
    head: &AnswerHead,
    mut body: AnswerBody,
    connection: &str,
    is_http11: bool,
) -> std::io::Result<()> {
    let length = match &body {
        AnswerBody::Whole(whole) => head.body_length.or(Some(whole.len() as u64)),
        _ => head.body_length,
    };
    let is_chunked = length.is_none() && is_http11;
    let framing = match length {
        Some(length) => format!("Content-Length: {length}\r\n"),
        None if is_chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        None => String::new(),
    };
    let mut start = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
    start.extend_from_slice(&head.lines);
    start.extend_from_slice(framing.as_bytes());
    start.extend_from_slice(connection.as_bytes());
    start.extend_from_slice(b"\r\n");
    if let AnswerBody::Whole(whole) = &mut body {
        start.extend_from_slice(&std::mem::take(whole));
    }
    // Clients' answers use the host's link too: those of a host beside a
    // target with long answers compete with what it sends to other hosts.
    let mut left = length.unwrap_or(0);
    let due = egress.now() + CLIENTS_WAIT;
    egress.pace(start.len() as u64, left, due).await;
    writer.write_all(&start).await?;
    loop {
        match body.next().await {
            Ok(Some(piece)) => {
                let bytes = piece.len() as u64;
                egress.pace(bytes, left.max(bytes), due).await;
                left = left.saturating_sub(bytes);
                if is_chunked {
                    writer.write_all(&chunk(&piece)).await?;
                } else {
                    writer.write_all(&piece).await?;
                }
            }
            Ok(None) if is_chunked => return writer.write_all(b"0\r\n\r\n").await,
            Ok(None) => return Ok(()),
            // The connection is closed without the body's end, so that the
            // client cannot take the answer for whole.
            Err(_) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
        }
    }
}
