//! Connection pool for the local target, and the HTTP exchange of one call.

use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbert_http1::{BodyDecoder, BodyEncoder, BodyFraming, MessageReader, ResponseHead};
use filbert_platform::headers::{self, ResponseKind, StatedLoad, TargetStatement};
use filbert_policy::clock::Clock;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::body::{BodyTruncated, CallBody};
use crate::gate::RunPermit;
use crate::messages::CallHead;
use crate::sockets;

/// Timeout for connecting to the target. A live target, which is on this host,
/// accepts a connection within a few milliseconds. Also the maximum time for reading
/// the rest of a rejection's body.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum length in bytes of the head of a response.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;
/// Idle timeout of a connection if the target states none in `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Margin by which a connection is closed before the idle timeout that the target
/// states. A call sent just as the target closes the connection would be lost, without
/// the daemon knowing whether it ran.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1200);
/// Maximum number of idle connections in the pool, besides those in use. Reuse saves
/// the handshake of a new connection.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Lowest status code of an answer that counts as a failure of the target.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

#[derive(Debug)]
struct TargetConnection {
    reader: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    idle_since: Instant,
    idle_timeout: Duration,
}

impl TargetConnection {
    /// Returns whether the connection is open and has no unread bytes.
    ///
    /// Unread bytes are an answer without a request, which would be taken for the
    /// answer to the next call. A call sent on a closed connection would be lost.
    fn is_usable(&mut self) -> bool {
        if self.reader.has_buffered_bytes() {
            return false;
        }
        let half: &OwnedReadHalf = self.reader.stream();
        let stream: &tokio::net::TcpStream = half.as_ref();
        let mut byte = [MaybeUninit::uninit(); 1];
        match SockRef::from(stream).peek(&mut byte) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }
}

/// Pool of idle connections to the local target.
#[derive(Debug, Default)]
pub struct TargetConnectionPool {
    idle: RefCell<Vec<TargetConnection>>,
}

/// How the exchange of a call with the target ended.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// The connection could not be opened: the target did not see the call.
    NotConnected(io::Error),
    /// The target stated that it did not run the call.
    Rejected(TargetRejection),
    /// The call may have been sent, and has no usable answer; with the reason.
    Lost(&'static str),
    /// The connection was lost after it was opened and before an answer to the call
    /// came; with the reason.
    ConnectionLost(&'static str),
    /// The target answered, with success or with failure.
    Answer(ResponseHead, Box<RunBody>),
}

/// What a target states in an answer that rejects a call.
#[derive(Clone, Copy, Debug)]
pub struct TargetRejection {
    /// The target's load, if stated.
    pub load: Option<StatedLoad>,
    /// The calls that the target still accepts.
    pub statement: TargetStatement,
}

/// Parameters of an exchange, besides the call.
pub struct ExchangeParams<'a> {
    /// Address at which the target listens.
    pub address: SocketAddr,
    /// Id of the instance that may run the call.
    pub instance_id: &'a str,
    /// Time until the call's deadline.
    pub time_to_deadline: Duration,
    /// The call's slot, which is freed when the run has ended.
    pub permit: RunPermit,
}

impl TargetConnectionPool {
    /// Closes all idle connections, for example after the target was replaced or
    /// went down.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes the most recently used idle connection that is still usable. It is the
    /// one least likely to have been dropped by the target or a device in between.
    fn take_idle(&self, now: Instant) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| now < connection.idle_since + connection.idle_timeout);
        while let Some(mut connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, or closes it if it is not usable or the
    /// pool is full.
    fn put_back(&self, mut connection: TargetConnection, now: Instant) {
        connection.idle_since = now;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && connection.is_usable() {
            idle.push(connection);
        }
    }

    /// Takes an idle connection, or opens one if there is none.
    ///
    /// # Errors
    /// The error of the connect.
    async fn acquire(
        &self,
        address: SocketAddr,
        clock: &dyn Clock,
    ) -> io::Result<TargetConnection> {
        match self.take_idle(clock.now()) {
            Some(idle) => Ok(idle),
            None => TargetConnectionPool::open(address, clock).await,
        }
    }

    /// Checks that the target accepts a new connection. The connection goes to the
    /// pool, in place of the one whose loss made the check necessary.
    ///
    /// # Errors
    /// The error of the connect.
    pub async fn check_accepts(
        &self,
        address: SocketAddr,
        clock: &Rc<dyn Clock>,
    ) -> io::Result<()> {
        let fresh = TargetConnectionPool::open(address, clock.as_ref()).await?;
        self.put_back(fresh, clock.now());
        Ok(())
    }

    async fn open(address: SocketAddr, clock: &dyn Clock) -> io::Result<TargetConnection> {
        let (read, write) = sockets::connect(address, CONNECT_TIMEOUT)
            .await?
            .into_split();
        Ok(TargetConnection {
            reader: MessageReader::new(read),
            writer: write,
            idle_since: clock.now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }

    /// Sends a call and waits for the head of its answer. The body is still to be
    /// read from the returned [`RunBody`].
    pub async fn exchange(
        self: &Rc<Self>,
        call: &CallHead,
        body: CallBody,
        params: ExchangeParams<'_>,
        clock: &Rc<dyn Clock>,
    ) -> ExchangeOutcome {
        let mut connection = match self.acquire(params.address, clock.as_ref()).await {
            Ok(connection) => connection,
            Err(error) => return ExchangeOutcome::NotConnected(error),
        };
        let encoder = BodyEncoder::new(call.body_framing());
        let request_head = encode_request_head(call, &encoder.header_line(), &params);
        let mut is_sent = false;
        let answer = {
            let TargetConnection { reader, writer, .. } = &mut connection;
            let send = send_request(writer, request_head, body, encoder);
            tokio::pin!(send);
            let receive = read_response_head(reader, call);
            tokio::pin!(receive);
            loop {
                tokio::select! {
                    biased;
                    result = &mut send, if !is_sent => match result {
                        Ok(()) => is_sent = true,
                        Err(outcome) => break Err(outcome),
                    },
                    answer = &mut receive => break answer,
                }
            }
        };
        let head = match answer {
            Ok(head) => head,
            Err(outcome) => return outcome,
        };
        if let Some(idle_timeout) = headers::read_keep_alive(&head.fields) {
            connection.idle_timeout = idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
        }
        let decoder = BodyDecoder::new(head.framing);
        let run = Box::new(RunBody {
            // If the answer came before the request body was fully sent, the target
            // still expects the rest of that body on this connection.
            is_reusable: is_sent && head.keep_alive,
            connection: Some(connection),
            decoder,
            pool: Rc::clone(self),
            clock: Rc::clone(clock),
            permit: Some(params.permit),
            is_failure: head.status >= MIN_SERVER_ERROR_STATUS,
        });
        match headers::classify_response(&head, &call.id) {
            ResponseKind::Valid => ExchangeOutcome::Answer(head, run),
            ResponseKind::NotRun => {
                let rejection = TargetRejection {
                    load: headers::read_load(&head.fields),
                    statement: headers::read_target_statement(&head),
                };
                run.drain_in_background();
                ExchangeOutcome::Rejected(rejection)
            }
            ResponseKind::Invalid | ResponseKind::Mismatched => ExchangeOutcome::Lost("spoiled"),
        }
    }
}

/// Encodes the request head up to the line that states the body's framing.
fn encode_request_head(
    call: &CallHead,
    framing_line: &str,
    params: &ExchangeParams<'_>,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(call.lines.len() + 256);
    bytes.extend_from_slice(call.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(call.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    bytes.extend_from_slice(&call.lines);
    bytes.extend_from_slice(
        headers::attempt_header_lines(params.time_to_deadline, params.instance_id).as_bytes(),
    );
    bytes.extend_from_slice(framing_line.as_bytes());
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Sends a request: `head`, then the body as it is received.
async fn send_request(
    writer: &mut OwnedWriteHalf,
    mut head: Vec<u8>,
    body: CallBody,
    mut encoder: BodyEncoder,
) -> Result<(), ExchangeOutcome> {
    let failed = |_| ExchangeOutcome::ConnectionLost("write failed");
    let mismatch = |_| ExchangeOutcome::Lost("call body of another length than stated");
    let mut source = match body {
        CallBody::Whole(whole) => {
            head.extend_from_slice(&encoder.encode(whole).map_err(mismatch)?);
            head.extend_from_slice(encoder.finish().map_err(mismatch)?);
            return writer.write_all(&head).await.map_err(failed);
        }
        CallBody::Streamed(source) => source,
    };
    writer.write_all(&head).await.map_err(failed)?;
    while let Some(data) = source
        .next()
        .await
        .map_err(|_| ExchangeOutcome::Lost("call body broken off"))?
    {
        let framed = encoder.encode(data).map_err(mismatch)?;
        writer.write_all(&framed).await.map_err(failed)?;
    }
    let end = encoder.finish().map_err(mismatch)?;
    writer.write_all(end).await.map_err(failed)
}

/// Reads the response head that answers `call`. Skips interim responses (1xx) and
/// complete responses to other calls.
async fn read_response_head(
    reader: &mut MessageReader<OwnedReadHalf>,
    call: &CallHead,
) -> Result<ResponseHead, ExchangeOutcome> {
    loop {
        let raw = match reader.read_head(MAX_RESPONSE_HEAD_BYTES).await {
            Ok(Some(raw)) => raw,
            Ok(None) => return Err(ExchangeOutcome::ConnectionLost("closed without an answer")),
            Err(_) => {
                return Err(ExchangeOutcome::ConnectionLost(
                    "broken off before an answer",
                ))
            }
        };
        let head = ResponseHead::parse(&raw, call.method == "HEAD")
            .map_err(|_| ExchangeOutcome::Lost("bytes that are no answer"))?;
        if (100..200).contains(&head.status) {
            continue;
        }
        if headers::classify_response(&head, &call.id) != ResponseKind::Mismatched {
            return Ok(head);
        }
        if head.framing == BodyFraming::UntilClose {
            return Err(ExchangeOutcome::ConnectionLost(
                "closed with another call's answer",
            ));
        }
        let mut decoder = BodyDecoder::new(head.framing);
        while reader
            .read_body_data(&mut decoder)
            .await
            .map_err(|_| {
                ExchangeOutcome::ConnectionLost("broken off inside another call's answer")
            })?
            .is_some()
        {}
    }
}

/// The body of an answer, read from the target as it arrives. Dropping a `RunBody`
/// before the end of the body closes the connection, which makes the target abandon
/// the run.
pub struct RunBody {
    connection: Option<TargetConnection>,
    decoder: BodyDecoder,
    /// Whether the connection may go back to the pool after the body.
    is_reusable: bool,
    pool: Rc<TargetConnectionPool>,
    clock: Rc<dyn Clock>,
    permit: Option<RunPermit>,
    /// Whether the answer has a failure status.
    is_failure: bool,
}

impl std::fmt::Debug for RunBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("RunBody")
            .field("reusable", &self.is_reusable)
            .finish_non_exhaustive()
    }
}

impl RunBody {
    /// Reads the next data; `None` at the end of the body. The run ends with the body,
    /// as successful unless the answer has a failure status.
    ///
    /// # Errors
    /// [`BodyTruncated`] if the connection was lost before the end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyTruncated> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        match connection.reader.read_body_data(&mut self.decoder).await {
            Ok(Some(data)) => Ok(Some(data)),
            Ok(None) => {
                self.finish();
                Ok(None)
            }
            Err(_) => {
                self.connection = None;
                if let Some(permit) = self.permit.take() {
                    permit.end_truncated();
                }
                Err(BodyTruncated)
            }
        }
    }

    /// Returns the connection to the pool and ends the run.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            if self.is_reusable {
                self.pool.put_back(connection, self.clock.now());
            }
        }
        if let Some(permit) = self.permit.take() {
            if !self.is_failure {
                permit.end_successful();
            }
        }
    }

    /// Frees the slot, then reads the body of a rejection to its end in the
    /// background, so that the connection can be reused. A body that takes longer
    /// than `CONNECT_TIMEOUT` is dropped with its connection.
    fn drain_in_background(mut self: Box<Self>) {
        self.permit = None;
        tokio::task::spawn_local(async move {
            let drain = async { while let Ok(Some(_)) = self.next().await {} };
            let _ = tokio::time::timeout(CONNECT_TIMEOUT, drain).await;
        });
    }
}
