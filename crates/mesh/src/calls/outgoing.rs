//! Converts a client's call to the head and body that its attempts send.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbert_platform::headers;
use filbert_policy::fair_share::OrganisationShare;
use filbert_policy::routing::RouteRule;

use super::ClientCall;
use crate::body::CallBody;
use crate::messages::{CallHead, ExpectedRunTime};
use crate::state::MeshShared;

/// Estimates the soft deadline of a call. It counts from the client's first request,
/// of which `call` may be a retry: the time that has passed since is estimated from
/// the client's timeout. A call without a timeout is assumed not to be a retry. The
/// timeout is recorded once the call is admitted: refused calls come several times, and
/// would be taken for first tries.
pub(super) fn estimate_soft_deadline(
    shared: &MeshShared,
    route: &RouteRule,
    call: &ClientCall,
) -> Instant {
    let elapsed = call
        .headers
        .time_left
        .map_or(Duration::ZERO, |client_timeout| {
            shared.time_since_first_try(&route.name, client_timeout)
        });
    call.received + route.soft_deadline.saturating_sub(elapsed)
}

/// Returns the time at which the client of a call gives up.
pub(super) fn client_deadline(route: &RouteRule, call: &ClientCall) -> Instant {
    call.received + call.headers.time_left.unwrap_or(route.timeout)
}

/// Converts a call to the head that its attempts send to `service`, and its body.
/// Both deadlines in the head are 0; they have to be set for each attempt.
pub(super) fn into_call_parts(
    shared: &MeshShared,
    route: &RouteRule,
    service: &str,
    call: ClientCall,
) -> (CallHead, CallBody) {
    let settings = Rc::clone(&shared.settings.borrow());
    let body_length = match &call.body {
        CallBody::Whole(body) => Some(body.len() as u64),
        CallBody::Streamed(_) => call.head.framing.length(),
    };
    let organisation_priority = call
        .organisation
        .as_ref()
        .and_then(|organisation| organisation.priority);
    let call_priority = organisation_priority.unwrap_or(route.priority);
    let organisation = call.organisation.as_deref().map(OrganisationShare::of);
    let head = CallHead {
        lines: headers::target_header_lines(
            &call.head,
            &settings.service,
            call.organisation_name(),
        ),
        id: call.headers.id,
        identity: call.identity,
        service: service.to_owned(),
        has_body: call.head.framing != filbert_http1::BodyFraming::Empty
            || body_length.is_some_and(|length| length > 0),
        method: call.head.method,
        target: call.head.target,
        body_length,
        deadline_us: 0,
        soft_deadline_us: 0,
        priority: call_priority,
        answer_bytes: shared.average_answer_bytes(&route.name),
        kind: route.name.clone(),
        expected_run_time: shared
            .expected_run_time(&route.name)
            .map(ExpectedRunTime::from),
        organisation,
    };
    (head, call.body)
}

/// Provides each attempt with the call's body. Only a complete body can be
/// replayed; a streamed body is given to the first attempt only.
pub(super) struct ReplayBody {
    whole: Option<Bytes>,
    streamed: Option<CallBody>,
}

impl ReplayBody {
    pub(super) fn new(body: CallBody) -> ReplayBody {
        match body {
            CallBody::Whole(whole) => ReplayBody {
                whole: Some(whole),
                streamed: None,
            },
            streamed @ CallBody::Streamed(_) => ReplayBody {
                whole: None,
                streamed: Some(streamed),
            },
        }
    }

    /// Whether further attempts get the body too.
    pub(super) fn is_replayable(&self) -> bool {
        self.whole.is_some()
    }

    /// The body for the next attempt; empty if a streamed body was already given
    /// to an earlier attempt.
    pub(super) fn next(&mut self) -> CallBody {
        match (&self.whole, self.streamed.take()) {
            (_, Some(streamed)) => streamed,
            (Some(whole), None) => CallBody::Whole(whole.clone()),
            (None, None) => CallBody::Whole(Bytes::new()),
        }
    }
}
