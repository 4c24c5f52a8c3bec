//! The HTTP exchange of one call with the local target.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbert_http1::{BodyEncoder, ResponseHead};
use filbert_platform::headers::{self, ResponseKind, StatedLoad, TargetStatement};
use filbert_policy::call_limits::{AnswerDeadline, OverheadLimits};
use filbert_policy::clock::Clock;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::response::read_response_head;
use super::run_body::{RunBody, RunBodyParams};
use super::{TargetConnection, TargetConnectionPool};
use crate::body::CallBody;
use crate::gate::RunPermit;
use crate::messages::CallHead;

/// Margin by which a connection is closed before the idle timeout that the target
/// states. A call sent just as the target closes the connection would be lost, without
/// the daemon knowing whether it ran.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1200);

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
    /// Deadline of the answer.
    pub deadline: AnswerDeadline,
    /// Limits on what is read besides the answer's body.
    pub limits: OverheadLimits,
    /// The call's slot, which is freed when the run has ended.
    pub permit: RunPermit,
}

impl TargetConnectionPool {
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
        let mut send_fault = None;
        let answer = {
            let TargetConnection { reader, writer, .. } = &mut connection;
            let send = send_request(writer, request_head, body, encoder);
            tokio::pin!(send);
            let receive = read_response_head(reader, call, params.limits);
            tokio::pin!(receive);
            // A caller whose host stands still does not cancel its call.
            let expiry = tokio::time::sleep_until(params.deadline.slot_until().into());
            tokio::pin!(expiry);
            loop {
                tokio::select! {
                    biased;
                    result = &mut send, if !is_sent && send_fault.is_none() => match result {
                        Ok(()) => is_sent = true,
                        // A target that answers before it has read the whole call may close
                        // its connection, and the answer is there to be read.
                        Err(SendFault::Write(error)) => send_fault = Some(error.kind()),
                        Err(SendFault::Body(reason)) => break Err(ExchangeOutcome::Lost(reason)),
                    },
                    answer = &mut receive => {
                        break answer.map_err(|fault| match send_fault {
                            Some(_) => ExchangeOutcome::ConnectionLost("write failed"),
                            None => fault,
                        });
                    }
                    () = &mut expiry => break Err(ExchangeOutcome::Lost("no answer in time")),
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
        let run = RunBody::new(
            connection,
            &head,
            RunBodyParams {
                is_broken: send_fault.is_some_and(breaks_connection),
                // If the answer came before the request body was fully sent, the target
                // still expects the rest of that body on this connection.
                is_reusable: is_sent && head.keep_alive,
                pool: Rc::clone(self),
                clock: Rc::clone(clock),
                permit: params.permit,
                deadline: params.deadline,
                limits: params.limits,
            },
        );
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

/// Why a call was not sent to its end.
enum SendFault {
    /// Writing to the connection failed.
    Write(io::Error),
    /// The call's body cannot be sent; with the reason.
    Body(&'static str),
}

impl From<io::Error> for SendFault {
    fn from(error: io::Error) -> SendFault {
        SendFault::Write(error)
    }
}

/// Whether a write that failed like this shows that the connection was broken off, rather than
/// closed by the target. The kernel reports the error of a connection once, to whoever writes
/// or reads first; the reader would then take what it got for the whole of an answer that ends
/// with the connection.
fn breaks_connection(kind: io::ErrorKind) -> bool {
    kind != io::ErrorKind::BrokenPipe
}

/// Sends a request: `head`, then the body as it is received.
async fn send_request(
    writer: &mut OwnedWriteHalf,
    mut head: Vec<u8>,
    body: CallBody,
    mut encoder: BodyEncoder,
) -> Result<(), SendFault> {
    let mismatch = |_| SendFault::Body("call body of another length than stated");
    let mut source = match body {
        CallBody::Whole(whole) => {
            head.extend_from_slice(&encoder.encode(whole).map_err(mismatch)?);
            head.extend_from_slice(encoder.finish().map_err(mismatch)?);
            return Ok(writer.write_all(&head).await?);
        }
        CallBody::Streamed(source) => source,
    };
    writer.write_all(&head).await?;
    while let Some(data) = source
        .next()
        .await
        .map_err(|_| SendFault::Body("call body broken off"))?
    {
        let framed = encoder.encode(data).map_err(mismatch)?;
        writer.write_all(&framed).await?;
    }
    let end = encoder.finish().map_err(mismatch)?;
    Ok(writer.write_all(end).await?)
}
