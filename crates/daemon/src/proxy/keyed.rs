//! Calls that must run at most once and carry an idempotency key: claimed
//! before they are sent, recorded afterwards, answered from the record when
//! they come again.

use std::hash::Hasher;

use filbert_tree::RouteEntry;
use twox_hash::XxHash64;

use super::answer::{ProxyAnswer, REPLAYED};
use super::attempt::{run_call, CallParts, CallResult};
use super::claim::{ClaimOutcome, ClaimState, HeldClaim, KeptAnswer, KEY_LIMIT};
use super::{ProxyShared, LOOKUP_HEADER, LOOKUP_PREFIX, OUTCOME_HEADER, REQUEST_ID_HEADER};
use crate::counters::CallOutcome;

/// Runs a keyed call at most once.
pub(super) async fn run_keyed(
    shared: &ProxyShared,
    route: &RouteEntry,
    call: &CallParts,
    member: &str,
    key: &str,
) -> CallResult {
    let request_id = &call.request_id;
    if !is_usable_key(key) {
        let text = format!("the idempotency key must be 1 to {KEY_LIMIT} visible ASCII characters");
        return refused(ProxyAnswer::own(400, request_id, &text));
    }
    match shared.claims.claim(member, key, digest(call)).await {
        ClaimOutcome::Held(claim) => {
            let mut result = run_call(shared, route, call).await;
            settle(shared, claim, &result);
            if result.outcome == CallOutcome::Unknown {
                result.answer = with_lookup(result.answer, key);
            }
            result
        }
        ClaimOutcome::Done(kept) => CallResult {
            answer: replay(&kept, request_id),
            outcome: CallOutcome::Replayed,
        },
        ClaimOutcome::InDoubt => {
            let text = "a call with this key may have run; its outcome is not known yet";
            let answer = ProxyAnswer::unknown(request_id, text);
            CallResult {
                answer: with_lookup(answer, key),
                outcome: CallOutcome::Unknown,
            }
        }
        ClaimOutcome::OtherCall => {
            let text = "this idempotency key was used for a different call";
            refused(ProxyAnswer::own(422, request_id, text))
        }
        ClaimOutcome::Unavailable => CallResult {
            answer: ProxyAnswer::not_run(request_id, "the call could not be claimed; not sent"),
            outcome: CallOutcome::NotRun,
        },
    }
}

/// Answers `GET /_filbert/calls/KEY`: what is known of a keyed call.
pub(super) async fn look_up(
    shared: &ProxyShared,
    member: &str,
    key: &str,
    request_id: &str,
) -> ProxyAnswer {
    match shared.claims.look_up(member, key).await {
        Ok(None | Some(ClaimState::NotRun)) => {
            ProxyAnswer::own(404, request_id, "no call with this key has run")
        }
        Ok(Some(ClaimState::Sent)) => {
            let text = "a call with this key may have run; its outcome is not known yet";
            with_lookup(ProxyAnswer::unknown(request_id, text), key)
        }
        Ok(Some(ClaimState::Done(kept))) => replay(&kept, request_id),
        Err(_) => ProxyAnswer::own(503, request_id, "the platform does not answer")
            .with("retry-after", "1"),
    }
}

fn refused(answer: ProxyAnswer) -> CallResult {
    CallResult {
        answer,
        outcome: CallOutcome::Refused,
    }
}

fn with_lookup(answer: ProxyAnswer, key: &str) -> ProxyAnswer {
    answer.with(LOOKUP_HEADER, &format!("{LOOKUP_PREFIX}{key}"))
}

fn is_usable_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= KEY_LIMIT && key.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Identifies a call: the same key must come with the same call.
fn digest(call: &CallParts) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(call.method.as_str().as_bytes());
    hasher.write(call.path_and_query.as_bytes());
    hasher.write(&[0]);
    hasher.write(&call.body);
    hasher.finish()
}

fn settle(shared: &ProxyShared, claim: HeldClaim, result: &CallResult) {
    let state = match result.outcome {
        CallOutcome::Answered | CallOutcome::Failed => {
            let answer = &result.answer;
            let kept = KeptAnswer::new(answer.status, answer.header("content-type"), &answer.body);
            ClaimState::Done(kept)
        }
        CallOutcome::NotRun => ClaimState::NotRun,
        // Left as sent: whether it ran is not known, and it must not run again.
        CallOutcome::Unknown | CallOutcome::Replayed | CallOutcome::Refused => return,
    };
    shared.claims.settle(claim, state);
}

fn replay(kept: &KeptAnswer, request_id: &str) -> ProxyAnswer {
    let Some(body) = &kept.body else {
        let text = format!(
            "this call ran, with status {}; its answer was too large to keep",
            kept.status
        );
        return ProxyAnswer::own(409, request_id, &text).with(OUTCOME_HEADER, REPLAYED);
    };
    let answer = ProxyAnswer {
        status: kept.status,
        headers: vec![(REQUEST_ID_HEADER.to_owned(), request_id.to_owned())],
        body: body.clone(),
    };
    let answer = answer.with(OUTCOME_HEADER, REPLAYED);
    match &kept.content_type {
        Some(content_type) => answer.with("content-type", content_type),
        None => answer,
    }
}
