//! A client's call as the message that its attempts carry.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbert_platform::headers;
use filbert_policy::routing::RouteRule;

use super::ClientCall;
use crate::body::CallBody;
use crate::messages::{CallHead, UsualRun};
use crate::state::MeshShared;

/// Until when an answer is worth most, counted from the client's first try.
/// A client that does not say how long it waits has all of its aim.
pub(super) fn aim_of(shared: &MeshShared, route: &RouteRule, call: &ClientCall) -> Instant {
    let passed = call.headers.time_left.map_or(Duration::ZERO, |wait| {
        shared.record_client_timeout(&route.name, wait)
    });
    call.received + route.soft_deadline.saturating_sub(passed)
}

/// The call's message to `service`, and its body.
pub(super) fn into_message(
    shared: &MeshShared,
    route: &RouteRule,
    service: &str,
    call: ClientCall,
) -> (CallHead, CallBody) {
    let settings = Rc::clone(&shared.settings.borrow());
    let body_length = match &call.body {
        CallBody::Whole(body) => Some(body.len() as u64),
        CallBody::Pieces(_) => call.head.framing.length(),
    };
    let own_priority = call.holder.as_ref().and_then(|holder| holder.priority);
    let call_priority = own_priority.unwrap_or(route.priority);
    let head = CallHead {
        lines: headers::target_header_lines(&call.head, &settings.service, call.organisation()),
        id: call.headers.id,
        identity: call.identity,
        service: service.to_owned(),
        has_body: call.head.framing != filbert_http1::BodyFraming::Empty
            || body_length.is_some_and(|length| length > 0),
        method: call.head.method,
        target: call.head.target,
        body_length,
        left_us: 0,
        aim_us: 0,
        priority: call_priority,
        answer_bytes: shared.average_answer_bytes(&route.name),
        kind: route.name.clone(),
        usual_run: shared.usual_run(&route.name).map(UsualRun::from),
    };
    (head, call.body)
}

/// Gives each attempt its copy of a body, as long as there is one.
pub(super) struct BodyCopies {
    whole: Option<Bytes>,
    pieces: Option<CallBody>,
}

impl BodyCopies {
    pub(super) fn new(body: CallBody) -> BodyCopies {
        match body {
            CallBody::Whole(whole) => BodyCopies {
                whole: Some(whole),
                pieces: None,
            },
            pieces @ CallBody::Pieces(_) => BodyCopies {
                whole: None,
                pieces: Some(pieces),
            },
        }
    }

    /// Whether another attempt gets one too.
    pub(super) fn is_copyable(&self) -> bool {
        self.whole.is_some()
    }

    /// The body for the next attempt.
    pub(super) fn next(&mut self) -> CallBody {
        match (&self.whole, self.pieces.take()) {
            (_, Some(pieces)) => pieces,
            (Some(whole), None) => CallBody::Whole(whole.clone()),
            (None, None) => CallBody::Whole(Bytes::new()),
        }
    }
}
