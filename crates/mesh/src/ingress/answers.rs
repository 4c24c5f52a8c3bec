//! Writes answers to clients.

use std::future::Future;
use std::time::Duration;

use filbert_http1::{BodyEncoder, BodyFraming, LengthMismatch};
use filbert_platform::headers;

use super::client_io::ClientWriter;
use super::connection::CallInfo;
use crate::body::{buffer_ended, AnswerBody, BodyTruncated};
use crate::calls::{ClientAnswer, TargetAnswer};
use crate::egress::EgressPacer;
use crate::small_server::reason_phrase;
use crate::sockets::set_reset_on_close;

/// Why an answer was not written to its end. The connection is closed, so that the client
/// does not take the answer for complete.
#[derive(Debug)]
pub(super) enum AnswerFault {
    /// The client has disconnected.
    Disconnected,
    /// The target or its host broke the answer off, or it is spoiled.
    BrokenOff,
    /// The call's deadline passed before the target had sent all of it.
    AtDeadline,
    /// The client reads too slowly.
    ClientTooSlow,
    /// A planned stop has ended the process.
    ProcessEnded,
}

impl AnswerFault {
    /// Name of the fault in log lines.
    pub(super) fn label(&self) -> &'static str {
        match self {
            AnswerFault::Disconnected => "client_left",
            AnswerFault::BrokenOff => "broken_off",
            AnswerFault::AtDeadline => "time_up",
            AnswerFault::ClientTooSlow => "client_too_slow",
            AnswerFault::ProcessEnded => "process_ended",
        }
    }
}

impl From<std::io::Error> for AnswerFault {
    fn from(_: std::io::Error) -> AnswerFault {
        AnswerFault::Disconnected
    }
}

impl From<BodyTruncated> for AnswerFault {
    fn from(error: BodyTruncated) -> AnswerFault {
        match error {
            BodyTruncated::BrokenOff => AnswerFault::BrokenOff,
            BodyTruncated::AtDeadline => AnswerFault::AtDeadline,
        }
    }
}

/// Writes `answer` as the answer to `call`. Returns whether the connection must be closed
/// behind it: because the call says so, or because the close is what ends the answer's body.
///
/// The client may be idle for `idle_timeout`.
///
/// # Errors
/// Why the answer was not written to its end.
pub(super) async fn write_answer(
    egress: &EgressPacer,
    writer: &mut ClientWriter,
    call: &CallInfo,
    answer: ClientAnswer,
    idle_timeout: Duration,
) -> Result<bool, AnswerFault> {
    let framing = answer_framing(&answer, call.is_http11);
    let closes_connection = call.closes_connection || framing == BodyFraming::UntilClose;
    let connection_line = if closes_connection {
        "Connection: close\r\n"
    } else {
        ""
    };
    match answer {
        ClientAnswer::Local {
            status,
            retry_after,
        } => {
            let text = format!(
                "HTTP/1.1 {status} {}\r\n{}Content-Length: 0\r\n{connection_line}\r\n",
                reason_phrase(status),
                headers::local_reply_header_lines(&call.id, retry_after)
            );
            writer.write_all(text.as_bytes()).await?;
        }
        ClientAnswer::Target(answer) => {
            // The end of the connection is what ends such a body: whatever ends the connection
            // before must not look like it.
            let ends_with_connection = framing == BodyFraming::UntilClose;
            if ends_with_connection {
                set_reset_on_close(writer.stream(), true);
            }
            let until = answer.body.send_until(answer.deadline, idle_timeout);
            let ended = buffer_ended(answer.body.buffer_share());
            let sent = write_target_answer(egress, writer, answer, connection_line, framing);
            let sent = tokio::time::timeout_at(until.into(), sent);
            tokio::select! {
                sent = sent => sent.unwrap_or(Err(AnswerFault::ClientTooSlow))?,
                () = ended => return Err(AnswerFault::ClientTooSlow),
            }
            if ends_with_connection {
                set_reset_on_close(writer.stream(), false);
            }
        }
    }
    Ok(closes_connection)
}

/// Framing of the body of `answer` for a client that speaks HTTP/1.1 or an older version.
fn answer_framing(answer: &ClientAnswer, is_http11: bool) -> BodyFraming {
    let length = match answer {
        ClientAnswer::Local { .. } => Some(0),
        ClientAnswer::Target(TargetAnswer {
            head,
            body: AnswerBody::Whole(whole),
            ..
        }) => head.body_length.or(Some(whole.len() as u64)),
        ClientAnswer::Target(answer) => answer.head.body_length,
    };
    match length {
        Some(length) => BodyFraming::Length(length),
        None if is_http11 => BodyFraming::Chunked,
        None => BodyFraming::UntilClose,
    }
}

/// Time from the answer's first byte within which an answer to a client should be
/// sent; the pacer treats the answer as urgent when this time runs out. The call's
/// deadline does not apply here: it limits the time until the answer is returned to
/// this connection.
const CLIENT_SEND_TIME: Duration = Duration::from_secs(3);

async fn write_target_answer(
    egress: &EgressPacer,
    writer: &mut ClientWriter,
    answer: TargetAnswer,
    connection_line: &str,
    framing: BodyFraming,
) -> Result<(), AnswerFault> {
    let TargetAnswer {
        head,
        mut body,
        organisation,
        deadline,
    } = answer;
    let mut encoder = BodyEncoder::new(framing);
    let mut first_bytes = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
    first_bytes.extend_from_slice(&head.lines);
    first_bytes.extend_from_slice(encoder.header_line().as_bytes());
    first_bytes.extend_from_slice(connection_line.as_bytes());
    first_bytes.extend_from_slice(b"\r\n");
    if let AnswerBody::Whole(whole) = &mut body {
        let framed = encoder.encode(std::mem::take(whole));
        first_bytes.extend_from_slice(&framed.map_err(wrong_length)?);
    }
    // Answers to clients are paced too, as they leave over the same link as the
    // target's answers to other hosts. If the target sends long answers, both
    // compete for the link.
    let mut remaining = framing.length().unwrap_or(0);
    let due = egress.now() + CLIENT_SEND_TIME;
    let first = async {
        let bytes = first_bytes.len() as u64;
        egress.pace(bytes, remaining, due, organisation).await;
        writer.write_all(&first_bytes).await
    };
    unless_cut(&mut body, first).await??;
    loop {
        let receive_until = deadline.receive_until(egress.now());
        let next = tokio::time::timeout_at(receive_until.into(), body.next());
        let next = next.await.unwrap_or(Err(BodyTruncated::AtDeadline));
        let Some(data) = next? else {
            let end = encoder.finish().map_err(wrong_length)?;
            return Ok(writer.write_all(end).await?);
        };
        let bytes = data.len() as u64;
        let framed = encoder.encode(data).map_err(wrong_length)?;
        let send = async {
            let remaining = remaining.max(bytes);
            egress.pace(bytes, remaining, due, organisation).await;
            writer.write_all(&framed).await
        };
        unless_cut(&mut body, send).await??;
        remaining = remaining.saturating_sub(bytes);
    }
}

/// Takes `step` in sending `body`, which may take as long as the client likes.
///
/// # Errors
/// Why the body has ended early meanwhile. What is left of it is of no use to the client.
async fn unless_cut<T>(
    body: &mut AnswerBody,
    step: impl Future<Output = T>,
) -> Result<T, BodyTruncated> {
    tokio::select! {
        biased;
        done = step => Ok(done),
        error = body.cut() => Err(error),
    }
}

/// The error of an answer whose body has another length than its head states.
fn wrong_length(_: LengthMismatch) -> AnswerFault {
    AnswerFault::BrokenOff
}
