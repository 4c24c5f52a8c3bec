//! The client's side of the mesh: routes a client's call, dispatches it to a target,
//! retries it where that is allowed, and answers the client.

mod access_log;
mod admit;
mod attempt;
mod dispatch;
mod outgoing;
mod pick;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_http1::RequestHead;
use filbert_platform::headers::CallHeaders;
use filbert_policy::call_limits::AnswerDeadline;
use filbert_policy::fair_share::OrganisationShare;
use filbert_policy::identity::CallIdentity;
use filbert_policy::organisations::keys::OrganisationRule;
use filbert_policy::planned_stop::{retry_after_restart, usual_call_time};
use filbert_policy::routing::{RouteIndex, RouteRule};
use filbert_policy::run_times::RunTime;
use rand::Rng;

use crate::answer_buffer::BufferShare;
use crate::body::{AnswerBody, CallBody};
use crate::messages::AnswerHead;
use crate::state::MeshShared;
use crate::stop::StopPhase;
use access_log::AccessLogEntry;
use admit::{admit, CallDeadlines};
use dispatch::{CallDispatch, CallProgress};
use outgoing::estimate_soft_deadline;

/// Time subtracted from a client's timeout for the network between the client
/// and this daemon. The client starts its timeout before this daemon reads the
/// call, and must receive the answer before the timeout expires. The one-way
/// delay of the farthest clients is 8 ms.
const CLIENT_NETWORK_MARGIN: Duration = Duration::from_millis(20);
/// Time after which a client should retry if the daemon has no configuration yet,
/// or if a call's deadline passed while no attempt was in progress and none may
/// have run the call.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Run time of a call that is assumed while none is known.
const UNKNOWN_RUN_TIME: Duration = Duration::from_millis(300);

const UNAUTHORIZED: u16 = 401;
const NOT_FOUND: u16 = 404;
const TOO_MANY_REQUESTS: u16 = 429;
const BAD_GATEWAY: u16 = 502;
const SERVICE_UNAVAILABLE: u16 = 503;
const GATEWAY_TIMEOUT: u16 = 504;
/// Lowest status code of an answer that counts as a failure of the target.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// A client's call.
#[derive(Debug)]
pub struct ClientCall {
    /// Request line and headers.
    pub head: RequestHead,
    /// The platform's headers, decoded.
    pub headers: CallHeaders,
    /// Identity of the call, the same for every retry by the client.
    pub identity: CallIdentity,
    /// The call's body.
    pub body: CallBody,
    /// Time at which the head was read.
    pub received: Instant,
    /// The organisation that the call's API key belongs to; `None` until the call
    /// is admitted and for calls that belong to no organisation.
    pub organisation: Option<Arc<OrganisationRule>>,
}

impl ClientCall {
    /// Name of the organisation that the call is counted for.
    #[must_use]
    pub fn organisation_name(&self) -> Option<&str> {
        self.organisation
            .as_ref()
            .map(|organisation| organisation.name.as_str())
    }
}

/// An answer of the target to a client's call.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Status and headers.
    pub head: AnswerHead,
    /// The body, of which the first part has been read.
    pub body: AnswerBody,
    /// The organisation that the call belongs to.
    pub organisation: Option<OrganisationShare>,
    /// Deadline of the answer.
    pub deadline: AnswerDeadline,
}

/// The answer to a client's call.
#[derive(Debug)]
pub enum ClientAnswer {
    /// An answer of the target.
    Target(TargetAnswer),
    /// A local reply of this daemon, without a body.
    Local {
        /// Status code.
        status: u16,
        /// Time after which the client should retry, if any.
        retry_after: Option<Duration>,
    },
}

impl ClientAnswer {
    /// Whether the answer tells the client that the call did not run.
    fn reports_not_executed(&self) -> bool {
        matches!(self, ClientAnswer::Local { status, .. } if *status == SERVICE_UNAVAILABLE)
    }

    /// Memory that the answer takes until it is written, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        match self {
            ClientAnswer::Target(answer) => {
                answer.head.lines.len() as u64 + answer.body.held_bytes()
            }
            ClientAnswer::Local { .. } => 0,
        }
    }

    /// What the answer holds of the buffer for answers; `None` if it is not buffered.
    #[must_use]
    pub fn buffer_share(&self) -> Option<Rc<BufferShare>> {
        match self {
            ClientAnswer::Target(answer) => answer.body.buffer_share(),
            ClientAnswer::Local { .. } => None,
        }
    }

    /// Creates a local reply without a retry time.
    #[must_use]
    pub fn local(status: u16) -> ClientAnswer {
        ClientAnswer::Local {
            status,
            retry_after: None,
        }
    }
}

/// Refuses a call that would prolong a planned stop, or could not be answered before it ends
/// the process, and writes its access log line. Returns `None` if the call may run.
pub fn refuse_while_stopping(shared: &Rc<MeshShared>, call: &ClientCall) -> Option<ClientAnswer> {
    let time_to_accept = shared.stop.time_to_accept(shared.clock.now())?;
    let index = shared.current_index();
    let route = index.lookup(&call.headers.host, &call.head.target)?;
    let time_left = time_left(route, &call.headers);
    if usual_time(shared, route, time_left) <= time_to_accept {
        return None;
    }
    let mut log_entry = AccessLogEntry::new(call, index.number());
    log_entry.route.clone_from(&route.name);
    log_entry.reason = "stopping";
    let jitter = rand::rng().random::<f64>();
    let answer = service_unavailable(retry_after_restart(time_to_accept, time_left, jitter));
    log_entry.write(shared, &answer);
    Some(answer)
}

/// Returns the time after which a call is usually answered that may take `time_left`.
fn usual_time(shared: &MeshShared, route: &RouteRule, time_left: Duration) -> Duration {
    let run_time = shared
        .expected_run_time(&route.name)
        .unwrap_or(RunTime::exponential(UNKNOWN_RUN_TIME));
    usual_call_time(time_left, run_time)
}

/// Returns the time that a client has for the body of a call: as long as the call may take.
/// A call without a route is answered at once; its body may take as long as a client may be
/// idle.
pub fn body_time(shared: &MeshShared, head: &RequestHead, headers: &CallHeaders) -> Duration {
    let index = shared.current_index();
    index
        .lookup(&headers.host, &head.target)
        .map_or(index.limits().idle_timeout, |route| {
            time_left(route, headers)
        })
}

/// Returns the longest time that a call may take.
fn time_left(route: &RouteRule, headers: &CallHeaders) -> Duration {
    headers.time_left.map_or(route.timeout, |time_left| {
        time_left
            .saturating_sub(CLIENT_NETWORK_MARGIN)
            .min(route.timeout)
    })
}

/// Runs a client's call, writes its access log line and returns the answer.
pub async fn handle_call(shared: &Rc<MeshShared>, call: ClientCall) -> ClientAnswer {
    let index = shared.current_index();
    let mut log_entry = AccessLogEntry::new(&call, index.number());
    let answer = if !shared.is_serving() {
        log_entry.reason = "not_serving";
        service_unavailable(NOT_READY_RETRY_AFTER)
    } else if let Some(route) = index.lookup(&call.headers.host, &call.head.target) {
        handle_routed_call(shared, &index, route, call, &mut log_entry).await
    } else {
        log_entry.reason = "no_route";
        ClientAnswer::local(NOT_FOUND)
    };
    log_entry.write(shared, &answer);
    answer
}

async fn handle_routed_call(
    shared: &Rc<MeshShared>,
    index: &RouteIndex,
    route: &RouteRule,
    mut call: ClientCall,
    log_entry: &mut AccessLogEntry,
) -> ClientAnswer {
    let time_left = time_left(route, &call.headers);
    let usual_time = usual_time(shared, route, time_left);
    shared.stop.record_expected_end(call.received + usual_time);
    let deadlines = CallDeadlines {
        soft: estimate_soft_deadline(shared, route, &call),
        hard: call.received + time_left,
    };
    log_entry.route.clone_from(&route.name);
    let token = match admit(shared, index, route, &mut call, deadlines, log_entry).await {
        Ok(token) => token,
        Err(answer) => return answer,
    };
    let progress = CallProgress::default();
    let dispatch = CallDispatch::new(shared, route, call, deadlines, &progress, log_entry);
    let answer = tokio::select! {
        biased;
        answer = dispatch.run() => Some(answer),
        () = tokio::time::sleep_until(deadlines.hard.into()) => None,
        // The process ends: each call is answered as far as its outcome is known.
        () = shared.stop.reached(StopPhase::Ending) => None,
    };
    let answer = match answer {
        Some(answer) => answer,
        None if progress.may_have_run.get() || progress.in_attempt.get() => {
            log_entry.reason = "time_up";
            ClientAnswer::local(GATEWAY_TIMEOUT)
        }
        None => {
            log_entry.reason = "no_time_left";
            service_unavailable(NOT_READY_RETRY_AFTER)
        }
    };
    if let (Some(token), true) = (token, answer.reports_not_executed()) {
        token.refund();
    }
    answer
}

fn service_unavailable(retry_after: Duration) -> ClientAnswer {
    ClientAnswer::Local {
        status: SERVICE_UNAVAILABLE,
        retry_after: Some(retry_after),
    }
}
