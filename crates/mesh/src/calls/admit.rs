//! Whether a call's organisation may make it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_platform::headers;
use filbert_policy::routing::{RouteIndex, RouteRule};
use rand::Rng;

use super::story::CallStory;
use super::{refuse, ClientAnswer, ClientCall, NOT_ALLOWED, TOO_MANY};
use crate::organisations::tokens::TokenHold;
use crate::organisations::CallHolder;
use crate::state::MeshShared;

/// When to come back to a daemon that does not know whether a key still holds.
const KEYS_AGAIN: Duration = Duration::from_millis(500);
/// Part of the time until there are tokens again over which callers return.
const SPREAD: f64 = 0.5;

/// Notes whose `call` is and takes the right to run it, where that is counted.
///
/// # Errors
/// The answer to a call that may not run.
pub(super) async fn admit(
    shared: &Rc<MeshShared>,
    index: &RouteIndex,
    route: &RouteRule,
    call: &mut ClientCall,
    limit: Instant,
    story: &mut CallStory,
) -> Result<Option<TokenHold>, ClientAnswer> {
    let key = headers::read_api_key(&call.head);
    let desk = &shared.organisations;
    let holder = match desk.holder(index, route, key) {
        CallHolder::Nobody => return Ok(None),
        CallHolder::Organisation(holder) => holder,
        CallHolder::Unknown => {
            shared.metrics.record_key_check("unknown");
            story.reason = "unknown_key";
            return Err(ClientAnswer::own(NOT_ALLOWED));
        }
        CallHolder::Stale => {
            shared.metrics.record_key_check("out_of_date");
            story.reason = "keys_out_of_date";
            return Err(refuse(KEYS_AGAIN));
        }
    };
    story.organisation.clone_from(&holder.name);
    let token = if route.is_public {
        None
    } else {
        match shared.take_token(&holder, limit).await {
            Ok(token) => token,
            Err(next_token_in) => {
                shared.metrics.record_key_check("over_quota");
                desk.counts.over_quota(&holder.name);
                story.reason = "over_quota";
                return Err(over_quota(next_token_in));
            }
        }
    };
    shared.metrics.record_key_check("allowed");
    desk.counts.allowed(&holder.name);
    call.holder = Some(holder);
    Ok(token)
}

fn over_quota(next_token_in: Duration) -> ClientAnswer {
    let later = 1.0 + SPREAD * rand::rng().random::<f64>();
    ClientAnswer::Own {
        status: TOO_MANY,
        come_back: Some(next_token_in.mul_f64(later)),
    }
}
