//! Admits calls by their organisation's API key and quota.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_platform::headers;
use filbert_policy::routing::{RouteIndex, RouteRule};
use rand::Rng;

use super::access_log::AccessLogEntry;
use super::{service_unavailable, ClientAnswer, ClientCall, TOO_MANY_REQUESTS, UNAUTHORIZED};
use crate::organisations::tokens::CallToken;
use crate::organisations::KeyHolder;
use crate::state::MeshShared;

/// Time after which a client should retry if this daemon's configuration is too
/// old to tell whether a key is still valid.
const STALE_KEYS_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum jitter on the retry time of calls over quota, as a fraction of the time
/// until the next token. It spreads the retries, which would otherwise arrive at
/// the same moment.
const QUOTA_RETRY_JITTER: f64 = 0.5;

/// Sets the organisation of `call` and takes a quota token for it, for which it may
/// wait until `deadline`. Returns `None` if the call needs no token: its route is
/// public, it belongs to no organisation, or its organisation has no quota.
///
/// # Errors
/// The answer to a call that is not admitted.
pub(super) async fn admit(
    shared: &Rc<MeshShared>,
    index: &RouteIndex,
    route: &RouteRule,
    call: &mut ClientCall,
    deadline: Instant,
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
        match shared.take_token(&organisation, deadline).await {
            Ok(token) => token,
            Err(next_token_in) => {
                shared.metrics.record_key_check("over_quota");
                organisations.counts.over_quota(&organisation.name);
                log_entry.reason = "over_quota";
                return Err(over_quota_answer(next_token_in));
            }
        }
    };
    shared.metrics.record_key_check("allowed");
    organisations.counts.allowed(&organisation.name);
    call.organisation = Some(organisation);
    Ok(token)
}

/// Creates the answer to a call over quota, with jitter on its retry time.
fn over_quota_answer(next_token_in: Duration) -> ClientAnswer {
    let jitter_factor = 1.0 + QUOTA_RETRY_JITTER * rand::rng().random::<f64>();
    ClientAnswer::Local {
        status: TOO_MANY_REQUESTS,
        retry_after: Some(next_token_in.mul_f64(jitter_factor)),
    }
}
