//! Connections to the target beside the daemon, and the exchange of one call
//! over one of them.

use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbert_http1::{BodyDecoder, BodyFraming, MessageReader, ResponseHead};
use filbert_platform::headers::{self, ResponseKind, StatedLoad};
use filbert_policy::clock::Clock;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::body::{BodyBroken, CallBody};
use crate::gate::RunPermit;
use crate::messages::CallHead;
use crate::sockets;

/// Time to connect to the target, which is on this host: a live one takes a
/// connection within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest head of an answer, in bytes.
const MAX_ANSWER_HEAD: usize = 64 * 1024;
/// How long an idle connection is kept when the target does not say.
const DEFAULT_KEEP: Duration = Duration::from_secs(5);
/// Given up before the target would: a call sent at that moment would meet
/// the target's close and might have run.
const KEEP_MARGIN: Duration = Duration::from_millis(1200);
/// Idle connections kept beyond the slots in use: new ones cost a handshake.
const MAX_IDLE: usize = 32;
/// From this status on an answer is the target's failure.
const FIRST_FAILURE: u16 = 500;

#[derive(Debug)]
struct TargetConnection {
    reader: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    idle_since: Instant,
    keep: Duration,
}

impl TargetConnection {
    /// Whether the connection is open and nothing came on it unasked.
    ///
    /// Guards against an answer nobody asked for being taken for the next
    /// call's, and against sending on a connection that the target has closed.
    fn is_clean(&mut self) -> bool {
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

/// The kept connections to one target.
#[derive(Debug, Default)]
pub struct TargetConnections {
    idle: RefCell<Vec<TargetConnection>>,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeEnd {
    /// No connection could be made: the target saw nothing.
    NotConnected(io::Error),
    /// The target said that it did not run the call.
    Rejected(Option<StatedLoad>),
    /// The call was sent and gave no usable answer.
    Lost(&'static str),
    /// The call was sent, and the connection ended before an answer.
    BrokenOff(&'static str),
    /// The target's answer.
    Answer(ResponseHead, Box<RunBody>),
}

/// What an exchange needs to know beside the call.
pub struct ExchangeTerms<'a> {
    /// Where the target listens.
    pub address: SocketAddr,
    /// The instance that may run the call.
    pub instance: &'a str,
    /// How long the caller still waits.
    pub left: Duration,
    /// Given back when the run has ended.
    pub permit: RunPermit,
}

impl TargetConnections {
    /// Drops all kept connections, as when another instance is in place.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// The connection used last that is still good. The last one is the least
    /// likely to have been forgotten by the target or by something between.
    fn take_idle(&self, now: Instant) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| now < connection.idle_since + connection.keep);
        while let Some(mut connection) = idle.pop() {
            if connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    fn put_back(&self, mut connection: TargetConnection, now: Instant) {
        connection.idle_since = now;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && connection.is_clean() {
            idle.push(connection);
        }
    }

    async fn connection(
        &self,
        address: SocketAddr,
        clock: &dyn Clock,
    ) -> io::Result<TargetConnection> {
        match self.take_idle(clock.now()) {
            Some(kept) => Ok(kept),
            None => TargetConnections::open(address, clock).await,
        }
    }

    /// Whether the target takes a new connection. It is kept: it replaces the
    /// one whose end raised the question.
    ///
    /// # Errors
    /// The connection's error.
    pub async fn check(&self, address: SocketAddr, clock: &Rc<dyn Clock>) -> io::Result<()> {
        let fresh = TargetConnections::open(address, clock.as_ref()).await?;
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
            keep: DEFAULT_KEEP,
        })
    }

    /// Sends a call and waits for the head of its answer.
    pub async fn exchange(
        self: &Rc<Self>,
        call: &CallHead,
        body: CallBody,
        terms: ExchangeTerms<'_>,
        clock: &Rc<dyn Clock>,
    ) -> ExchangeEnd {
        let mut connection = match self.connection(terms.address, clock.as_ref()).await {
            Ok(connection) => connection,
            Err(error) => return ExchangeEnd::NotConnected(error),
        };
        let start = request_bytes(call, &body, &terms);
        let mut is_sent = false;
        let answer = {
            let TargetConnection { reader, writer, .. } = &mut connection;
            let send = send_request(writer, start, body);
            tokio::pin!(send);
            let receive = read_answer(reader, call);
            tokio::pin!(receive);
            loop {
                tokio::select! {
                    biased;
                    done = &mut send, if !is_sent => match done {
                        Ok(()) => is_sent = true,
                        Err(end) => break Err(end),
                    },
                    answer = &mut receive => break answer,
                }
            }
        };
        let head = match answer {
            Ok(head) => head,
            Err(end) => return end,
        };
        if let Some(keep) = headers::read_keep_alive(&head.fields) {
            connection.keep = keep.saturating_sub(KEEP_MARGIN);
        }
        let decoder = BodyDecoder::new(head.framing);
        let run = Box::new(RunBody {
            // An answer that came before the body was sent leaves the
            // connection in the middle of that body.
            reusable: is_sent && head.keep_alive,
            connection: Some(connection),
            decoder,
            home: Rc::clone(self),
            clock: Rc::clone(clock),
            permit: Some(terms.permit),
            is_failure: head.status >= FIRST_FAILURE,
        });
        match headers::classify_response(&head, &call.id) {
            ResponseKind::Valid => ExchangeEnd::Answer(head, run),
            ResponseKind::NotRun => {
                let load = headers::read_load(&head.fields);
                run.drain_in_background();
                ExchangeEnd::Rejected(load)
            }
            ResponseKind::Invalid | ResponseKind::Mismatched => ExchangeEnd::Lost("spoiled"),
        }
    }
}

fn request_bytes(call: &CallHead, body: &CallBody, terms: &ExchangeTerms<'_>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(call.lines.len() + 256);
    bytes.extend_from_slice(call.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(call.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    bytes.extend_from_slice(&call.lines);
    bytes.extend_from_slice(headers::attempt_header_lines(terms.left, terms.instance).as_bytes());
    match (call.has_body, call.body_length, body) {
        (false, _, _) => {}
        (true, Some(length), _) => {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        (true, None, CallBody::Whole(whole)) => {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", whole.len()).as_bytes());
        }
        (true, None, CallBody::Pieces(_)) => {
            bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
        }
    }
    bytes.extend_from_slice(b"\r\n");
    if let CallBody::Whole(whole) = body {
        bytes.extend_from_slice(whole);
    }
    bytes
}

async fn send_request(
    writer: &mut OwnedWriteHalf,
    start: Vec<u8>,
    body: CallBody,
) -> Result<(), ExchangeEnd> {
    let is_chunked = start
        .windows(26)
        .any(|window| window == b"Transfer-Encoding: chunked");
    let failed = |_| ExchangeEnd::BrokenOff("write failed");
    writer.write_all(&start).await.map_err(failed)?;
    let CallBody::Pieces(mut pieces) = body else {
        return Ok(());
    };
    while let Some(piece) = pieces
        .next()
        .await
        .map_err(|_| ExchangeEnd::Lost("call body broken off"))?
    {
        let framed = if is_chunked {
            encode_chunk(&piece)
        } else {
            piece
        };
        writer.write_all(&framed).await.map_err(failed)?;
    }
    if is_chunked {
        writer.write_all(b"0\r\n\r\n").await.map_err(failed)?;
    }
    Ok(())
}

/// A piece of a body as one chunk.
#[must_use]
pub fn encode_chunk(piece: &[u8]) -> Bytes {
    let mut framed = format!("{:x}\r\n", piece.len()).into_bytes();
    framed.extend_from_slice(piece);
    framed.extend_from_slice(b"\r\n");
    Bytes::from(framed)
}

/// Reads heads until the one that answers `call`; answers that belong to
/// other calls are read past.
async fn read_answer(
    reader: &mut MessageReader<OwnedReadHalf>,
    call: &CallHead,
) -> Result<ResponseHead, ExchangeEnd> {
    loop {
        let raw = match reader.read_head(MAX_ANSWER_HEAD).await {
            Ok(Some(raw)) => raw,
            Ok(None) => return Err(ExchangeEnd::BrokenOff("closed without an answer")),
            Err(_) => return Err(ExchangeEnd::BrokenOff("broken off before an answer")),
        };
        let head = ResponseHead::parse(&raw, call.method == "HEAD")
            .map_err(|_| ExchangeEnd::Lost("bytes that are no answer"))?;
        if (100..200).contains(&head.status) {
            continue;
        }
        if headers::classify_response(&head, &call.id) != ResponseKind::Mismatched {
            return Ok(head);
        }
        if head.framing == BodyFraming::UntilClose {
            return Err(ExchangeEnd::BrokenOff("closed with another call's answer"));
        }
        let mut decoder = BodyDecoder::new(head.framing);
        while reader
            .read_body_data(&mut decoder)
            .await
            .map_err(|_| ExchangeEnd::BrokenOff("broken off inside another call's answer"))?
            .is_some()
        {}
    }
}

/// The body of an answer as it comes from the target. Dropping it before its
/// end closes the connection, which makes the target drop the run.
pub struct RunBody {
    connection: Option<TargetConnection>,
    decoder: BodyDecoder,
    reusable: bool,
    home: Rc<TargetConnections>,
    clock: Rc<dyn Clock>,
    permit: Option<RunPermit>,
    /// Whether the answer is the target's failure.
    is_failure: bool,
}

impl std::fmt::Debug for RunBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("RunBody")
            .field("reusable", &self.reusable)
            .finish_non_exhaustive()
    }
}

impl RunBody {
    /// The next piece; `None` at the end.
    ///
    /// # Errors
    /// [`BodyBroken`] when the target broke off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        match connection.reader.read_body_data(&mut self.decoder).await {
            Ok(Some(piece)) => Ok(Some(piece)),
            Ok(None) => {
                self.finish();
                Ok(None)
            }
            Err(_) => {
                self.connection = None;
                if let Some(permit) = self.permit.take() {
                    permit.broke_off();
                }
                Err(BodyBroken)
            }
        }
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            if self.reusable {
                self.home.put_back(connection, self.clock.now());
            }
        }
        if let Some(permit) = self.permit.take() {
            if !self.is_failure {
                permit.ended_well();
            }
        }
    }

    /// Reads a short body nobody wants to its end, so that the connection can
    /// be kept.
    fn drain_in_background(mut self: Box<Self>) {
        self.permit = None;
        tokio::task::spawn_local(async move {
            let drain = async { while let Ok(Some(_)) = self.next().await {} };
            let _ = tokio::time::timeout(CONNECT_TIMEOUT, drain).await;
        });
    }
}
