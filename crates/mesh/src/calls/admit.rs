//! Admits calls by their organisation's API key and quota.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_platform::headers;
use filbert_policy::organisations::keys::OrganisationRule;
use filbert_policy::organisations::token_request::TokenRequest;
use filbert_policy::routing::{RouteIndex, RouteRule};
use filbert_policy::told_times::ToldTime;

use super::access_log::AccessLogEntry;
use super::outgoing::client_deadline;
use super::{service_unavailable, ClientAnswer, ClientCall, TOO_MANY_REQUESTS, UNAUTHORIZED};
use crate::organisations::tokens::CallToken;
use crate::organisations::KeyHolder;
use crate::state::MeshShared;

/// Time after which a client should retry if this daemon's configuration is too
/// old to tell whether a key is still valid.
const STALE_KEYS_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Times by which a call should and must be answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallDeadlines {
    /// Time after which an answer is worth less.
    pub(super) soft: Instant,
    /// Time after which an answer is worth nothing.
    pub(super) hard: Instant,
}

/// Sets the organisation of `call` and takes a quota token for it, for which it may
/// wait. Returns `None` if the call needs no token: its route is
/// public, it belongs to no organisation, or its organisation has no quota.
///
/// # Errors
/// The answer to a call that is not admitted.
pub(super) async fn admit(
    shared: &Rc<MeshShared>,
    index: &RouteIndex,
    route: &RouteRule,
    call: &mut ClientCall,
    deadlines: CallDeadlines,
    log_entry: &mut AccessLogEntry,
) -> Result<Option<CallToken>, ClientAnswer> {
    let api_key = headers::read_api_key(&call.head);
    let organisations = &shared.organisations;
    let organisation = match organisations.holder(index, route, api_key) {
        KeyHolder::Anonymous => return Ok(None),
        KeyHolder::Organisation(organisation) => organisation,
        KeyHolder::Unknown => {
            shared.metrics.record_key_check("unknown");
            log_entry.reason = "unknown_key";
            return Err(ClientAnswer::local(UNAUTHORIZED));
        }
        KeyHolder::Stale => {
            shared.metrics.record_key_check("out_of_date");
            log_entry.reason = "keys_out_of_date";
            return Err(service_unavailable(STALE_KEYS_RETRY_AFTER));
        }
    };
    log_entry.organisation.clone_from(&organisation.name);
    let token = if route.is_public {
        None
    } else {
        let request = token_request(shared, route, call, &organisation, deadlines);
        match shared.take_token(&organisation, &request).await {
            Ok(token) => token,
            Err(refusal) => {
                shared.metrics.record_key_check("over_quota");
                organisations.counts.over_quota(&organisation.name);
                shared.metrics.record_quota_refusal(refusal);
                log_entry.reason = "over_quota";
                log_entry.quota_refusal = Some(refusal);
                let name = &organisation.name;
                return Err(over_quota_answer(shared, route, call, name, &request));
            }
        }
    };
    shared.metrics.record_key_check("allowed");
    organisations.counts.allowed(&organisation.name);
    call.organisation = Some(organisation);
    Ok(token)
}

fn token_request(
    shared: &MeshShared,
    route: &RouteRule,
    call: &ClientCall,
    organisation: &OrganisationRule,
    deadlines: CallDeadlines,
) -> TokenRequest {
    let now = shared.clock.now();
    let return_times = &shared.return_times;
    // A soft deadline from an earlier try is more precise than the estimate.
    let known = return_times.soft_deadline(call.identity, client_deadline(route, call), now);
    TokenRequest {
        priority: organisation.priority.unwrap_or(route.priority),
        soft_deadline: known.map_or(deadlines.soft, |known| known.min(deadlines.soft)),
        deadline: deadlines.hard,
        run: shared.expected_run_time(&route.name).unwrap_or_default(),
        timing: return_times.timing(call.identity, now),
    }
}

/// Creates the answer to a call over quota. A call that came before the time that it was
/// told keeps that time.
fn over_quota_answer(
    shared: &MeshShared,
    route: &RouteRule,
    call: &ClientCall,
    organisation: &str,
    request: &TokenRequest,
) -> ClientAnswer {
    let now = shared.clock.now();
    let remaining = shared.return_times.remaining(call.identity, now);
    let reserve = || shared.organisations.reserve_retry(organisation, request);
    let retry_after = remaining.unwrap_or_else(reserve);
    let told = ToldTime {
        retry_at: now + retry_after,
        soft_deadline: request.soft_deadline,
        deadline: client_deadline(route, call),
    };
    shared.return_times.record_told(call.identity, told, now);
    ClientAnswer::Local {
        status: TOO_MANY_REQUESTS,
        retry_after: Some(retry_after),
    }
}
