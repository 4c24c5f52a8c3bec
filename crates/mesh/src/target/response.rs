//! Reads the head of the answer to a call.

use filbert_http1::{BodyDecoder, BodyFraming, MessageReader, ReadError, ResponseHead};
use filbert_platform::headers::{self, ResponseKind};
use filbert_policy::call_limits::OverheadLimits;
use tokio::net::tcp::OwnedReadHalf;

use super::ExchangeOutcome;
use crate::messages::CallHead;

/// Reads the response head that answers `call`. Skips interim responses (1xx) and
/// complete responses to other calls, within `limits` on all of them together.
pub(super) async fn read_response_head(
    reader: &mut MessageReader<OwnedReadHalf>,
    call: &CallHead,
    limits: OverheadLimits,
) -> Result<ResponseHead, ExchangeOutcome> {
    let mut head_bytes_left = limits.answer_heads();
    let mut other_bytes_left = limits.other_answers();
    loop {
        let raw = match reader.read_head(head_bytes_left).await {
            Ok(Some(raw)) => raw,
            Err(ReadError::HeadTooLong) => {
                return Err(ExchangeOutcome::Lost("heads beyond the limit"))
            }
            Ok(None) => return Err(ExchangeOutcome::ConnectionLost("closed without an answer")),
            Err(_) => {
                return Err(ExchangeOutcome::ConnectionLost(
                    "broken off before an answer",
                ))
            }
        };
        head_bytes_left = head_bytes_left.saturating_sub(raw.len());
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
        let mut decoder = BodyDecoder::new(head.framing).with_max_overhead(limits.framing());
        while let Some(data) = reader.read_body_data(&mut decoder).await.map_err(|_| {
            ExchangeOutcome::ConnectionLost("broken off inside another call's answer")
        })? {
            other_bytes_left =
                other_bytes_left
                    .checked_sub(data.len())
                    .ok_or(ExchangeOutcome::Lost(
                        "other calls' answers beyond the limit",
                    ))?;
        }
    }
}
