//! Keyed calls, that is, calls with an idempotency key on a route whose calls
//! must run at most once. A keyed call is claimed before it is sent, its answer
//! is recorded, and a repeated call is answered from the record.

use std::hash::Hasher;

use filbert_tree::RouteEntry;
use twox_hash::XxHash64;

use super::answer::{ProxyAnswer, REPLAYED};
use super::attempt::{run_call, ForwardedCall};
use super::call_result::CallResult;
use super::claim::{ClaimOutcome, ClaimState, HeldClaim, RecordedAnswer, MAX_KEY_BYTES};
use super::{ProxyShared, LOOKUP_HEADER, LOOKUP_PREFIX, OUTCOME_HEADER, REQUEST_ID_HEADER};
use crate::counters::CallOutcome;

/// Sends a keyed call if it can be claimed; otherwise answers the call from its
/// record or with the reason why it was not sent.
pub(super) async fn run_keyed_call(
    shared: &ProxyShared,
    route: &RouteEntry,
    call: &ForwardedCall,
    member: &str,
    key: &str,
) -> CallResult {
    let request_id = &call.request_id;
    if !is_valid_key(key) {
        let text =
            format!("the idempotency key must be 1 to {MAX_KEY_BYTES} visible ASCII characters");
        return refused_call(ProxyAnswer::local(400, request_id, &text));
    }
    match shared
        .claim_store
        .claim(member, key, digest_call(call))
        .await
    {
        ClaimOutcome::Held(claim) => {
            let mut result = run_call(shared, route, call).await;
            record_outcome(shared, claim, &result);
            if result.outcome == CallOutcome::Unknown {
                result.answer = with_lookup_header(result.answer, key);
            }
            result
        }
        ClaimOutcome::Done(recorded) => CallResult {
            answer: replay(&recorded, request_id),
            outcome: CallOutcome::Replayed,
        },
        ClaimOutcome::InDoubt => {
            let text = "a call with this key may have run; its outcome is not known yet";
            let answer = ProxyAnswer::unknown(request_id, text);
            CallResult {
                answer: with_lookup_header(answer, key),
                outcome: CallOutcome::Unknown,
            }
        }
        ClaimOutcome::KeyReused => {
            let text = "this idempotency key was used for a different call";
            refused_call(ProxyAnswer::local(422, request_id, text))
        }
        ClaimOutcome::Unavailable => CallResult {
            answer: ProxyAnswer::not_run(request_id, "the call could not be claimed; not sent"),
            outcome: CallOutcome::NotRun,
        },
    }
}

/// Answers `GET /_filbert/calls/KEY` with the recorded outcome of the keyed call.
pub(super) async fn look_up_outcome(
    shared: &ProxyShared,
    member: &str,
    key: &str,
    request_id: &str,
) -> ProxyAnswer {
    match shared.claim_store.look_up_state(member, key).await {
        Ok(None | Some(ClaimState::NotRun)) => {
            ProxyAnswer::local(404, request_id, "no call with this key has run")
        }
        Ok(Some(ClaimState::Sent)) => {
            let text = "a call with this key may have run; its outcome is not known yet";
            with_lookup_header(ProxyAnswer::unknown(request_id, text), key)
        }
        Ok(Some(ClaimState::Done(recorded))) => replay(&recorded, request_id),
        Err(_) => ProxyAnswer::local(503, request_id, "the platform does not answer")
            .with_header("retry-after", "1"),
    }
}

fn refused_call(answer: ProxyAnswer) -> CallResult {
    CallResult {
        answer,
        outcome: CallOutcome::Refused,
    }
}

fn with_lookup_header(answer: ProxyAnswer, key: &str) -> ProxyAnswer {
    answer.with_header(LOOKUP_HEADER, &format!("{LOOKUP_PREFIX}{key}"))
}

fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns a digest of the call's method, path, query and body, by which a key
/// that is reused for a different call is detected.
fn digest_call(call: &ForwardedCall) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(call.method.as_str().as_bytes());
    hasher.write(call.path_and_query.as_bytes());
    hasher.write(&[0]);
    hasher.write(&call.body);
    hasher.finish()
}

fn record_outcome(shared: &ProxyShared, claim: HeldClaim, result: &CallResult) {
    let state = match result.outcome {
        CallOutcome::Answered | CallOutcome::Failed => {
            let answer = &result.answer;
            let recorded =
                RecordedAnswer::new(answer.status, answer.header("content-type"), &answer.body);
            ClaimState::Done(recorded)
        }
        CallOutcome::NotRun => ClaimState::NotRun,
        // The state stays `Sent`: the call may have run and must not run again.
        CallOutcome::Unknown | CallOutcome::Replayed | CallOutcome::Refused => return,
    };
    shared.claim_store.record_state(claim, state);
}

fn replay(recorded: &RecordedAnswer, request_id: &str) -> ProxyAnswer {
    let Some(body) = &recorded.body else {
        let text = format!(
            "this call ran, with status {}; its answer was too large to keep",
            recorded.status
        );
        return ProxyAnswer::local(409, request_id, &text).with_header(OUTCOME_HEADER, REPLAYED);
    };
    let answer = ProxyAnswer {
        status: recorded.status,
        headers: vec![(REQUEST_ID_HEADER.to_owned(), request_id.to_owned())],
        body: body.clone(),
        is_local: false,
    };
    let answer = answer.with_header(OUTCOME_HEADER, REPLAYED);
    match &recorded.content_type {
        Some(content_type) => answer.with_header("content-type", content_type),
        None => answer,
    }
}
