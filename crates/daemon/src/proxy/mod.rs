//! The proxy: takes a caller's call, finds its route in the version in force,
//! picks a target of the route's service in this zone, forwards the call and
//! returns the target's whole answer.
//!
//! Answers the daemon makes itself say what happened to the call in the
//! `x-filbert-outcome` header: `not-run` (503 with `Retry-After`: the call
//! certainly did not run), `unknown` (504: it may have run) or `replayed`
//! (it ran before; its recorded answer).

mod answer;
mod attempt;
mod claim;
mod keyed;
pub mod policy;

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use filbert_store::PlatformClient;
use filbert_tree::{RouteEntry, RouteTable};
use rocket::data::{Data, ToByteUnit};
use rocket::http::Method;
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};

use crate::clock::Clock;
use crate::counters::DaemonCounters;
use crate::limits::RetryBudget;
use crate::targets::{TargetBoard, ZoneTargets};
pub use answer::{ProxyAnswer, RETRY_AFTER_SECONDS};
use attempt::CallParts;
pub use claim::{ClaimBook, ClaimOutcome, ClaimState, HeldClaim, KeptAnswer};

/// Header naming the caller's member (customer).
pub const MEMBER_HEADER: &str = "x-filbert-member";
/// Header carrying the call's request id, echoed to targets and callers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header the daemon sets on answers it makes itself; a target sets it to
/// `not-run` on an answer to a call it did not run.
pub const OUTCOME_HEADER: &str = "x-filbert-outcome";
/// Header telling a target which service is meant.
pub const SERVICE_HEADER: &str = "x-filbert-service";
/// Header giving the milliseconds the caller will wait for its answer.
pub const DEADLINE_HEADER: &str = "x-filbert-deadline-ms";
/// Header naming where the outcome of a keyed call can be looked up.
pub const LOOKUP_HEADER: &str = "x-filbert-lookup";
/// Path under which keyed calls can be looked up.
pub const LOOKUP_PREFIX: &str = "/_filbert/calls/";
/// Header carrying the key of a call that must run at most once.
const KEY_HEADER: &str = "idempotency-key";
/// Largest call body the proxy forwards.
const BODY_LIMIT_MIB: u64 = 8;
/// Headers passed from caller to target.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "accept", KEY_HEADER];
/// Time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection to a target is probed.
const KEEPALIVE: Duration = Duration::from_secs(2);
/// Probes a target may leave unanswered.
const KEEPALIVE_PROBES: u32 = 2;
/// Idle connections kept per target.
const IDLE_CONNECTIONS: usize = 8;

/// The version in force, as the proxy reads it.
#[derive(Debug, Default)]
pub struct AppliedConfig {
    /// Its number (0 before the first).
    pub number: u64,
    /// Its compiled routes.
    pub table: Arc<RouteTable>,
}

/// What the proxy shares with the control loop.
pub struct ProxyShared {
    /// The version in force, swapped whole.
    pub config: ArcSwap<AppliedConfig>,
    /// The zone's targets, swapped whole.
    pub targets: ArcSwap<ZoneTargets>,
    /// What this proxy knows of each target from its own calls.
    pub board: Arc<TargetBoard>,
    /// Counters.
    pub counters: Arc<DaemonCounters>,
    retries: RetryBudget,
    claims: ClaimBook,
    clock: Arc<dyn Clock>,
    connections: TargetConnections,
}

/// How calls reach targets.
struct TargetConnections {
    /// Keeps connections open for the next call.
    kept: reqwest::Client,
    /// Opens a connection for each call.
    fresh: reqwest::Client,
}

impl TargetConnections {
    fn new() -> TargetConnections {
        let builder = || {
            reqwest::Client::builder()
                .connect_timeout(CONNECT_TIMEOUT)
                .redirect(reqwest::redirect::Policy::none())
        };
        // Guards against kept connections that went silent for good: idle
        // ones are probed and dropped, so that few calls meet one.
        let kept = builder()
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .tcp_keepalive(KEEPALIVE)
            .tcp_keepalive_interval(KEEPALIVE)
            .tcp_keepalive_retries(KEEPALIVE_PROBES);
        let fresh = builder().pool_max_idle_per_host(0);
        let build = |builder: reqwest::ClientBuilder| {
            builder
                .build()
                .expect("an HTTP client without TLS always builds")
        };
        TargetConnections {
            kept: build(kept),
            fresh: build(fresh),
        }
    }
}

impl ProxyShared {
    /// A proxy with nothing applied yet.
    ///
    /// # Panics
    /// When the TLS-less HTTP clients cannot be built.
    #[must_use]
    pub fn new(
        counters: Arc<DaemonCounters>,
        platform: PlatformClient,
        clock: Arc<dyn Clock>,
    ) -> ProxyShared {
        ProxyShared {
            config: ArcSwap::from_pointee(AppliedConfig::default()),
            targets: ArcSwap::from_pointee(ZoneTargets::default()),
            board: Arc::new(TargetBoard::default()),
            counters,
            retries: RetryBudget::default(),
            claims: ClaimBook::new(platform),
            clock,
            connections: TargetConnections::new(),
        }
    }
}

/// The rocket handler that proxies every method and path.
#[derive(Clone)]
pub struct ProxyHandler {
    shared: Arc<ProxyShared>,
}

impl ProxyHandler {
    /// Routes for every method the proxy forwards.
    #[must_use]
    pub fn routes(shared: Arc<ProxyShared>) -> Vec<Route> {
        let handler = ProxyHandler { shared };
        [
            Method::Get,
            Method::Post,
            Method::Put,
            Method::Delete,
            Method::Patch,
        ]
        .into_iter()
        .map(|method| Route::new(method, "/<path..>", handler.clone()))
        .collect()
    }
}

#[rocket::async_trait]
impl Handler for ProxyHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let answer = forward(&self.shared, request, data).await;
        Outcome::from(request, answer)
    }
}

async fn forward(shared: &ProxyShared, request: &Request<'_>, data: Data<'_>) -> ProxyAnswer {
    let header = |name: &str| request.headers().get_one(name);
    let request_id = header(REQUEST_ID_HEADER).map_or_else(new_request_id, str::to_owned);
    let Some(member) = header(MEMBER_HEADER) else {
        return ProxyAnswer::own(400, &request_id, "missing x-filbert-member header");
    };
    let path = request.uri().path().as_str();
    if let Some(key) = path.strip_prefix(LOOKUP_PREFIX) {
        return keyed::look_up(shared, member, key, &request_id).await;
    }
    let config = shared.config.load_full();
    if config.number == 0 {
        return ProxyAnswer::not_run(&request_id, "no settings version in force yet");
    }
    let Some(route) = config.table.lookup(member, path) else {
        return ProxyAnswer::own(404, &request_id, "no route for this member and path");
    };
    let Ok(body) = data.open(BODY_LIMIT_MIB.mebibytes()).into_bytes().await else {
        return ProxyAnswer::own(400, &request_id, "call body unreadable");
    };
    if !body.is_complete() {
        return ProxyAnswer::own(413, &request_id, "call body too large");
    }
    let call = CallParts {
        method: request.method(),
        path_and_query: request.uri().to_string(),
        headers: FORWARDED_HEADERS
            .iter()
            .filter_map(|name| Some((*name, header(name)?.to_owned())))
            .collect(),
        body: body.into_inner(),
        request_id,
        deadline: shared.clock.now() + call_time(route, header(DEADLINE_HEADER)),
    };
    let result = match header(KEY_HEADER) {
        Some(key) if route.settings.at_most_once => {
            keyed::run_keyed(shared, route, &call, member, key).await
        }
        _ => attempt::run_call(shared, route, &call).await,
    };
    shared.counters.record_call(&route.service, result.outcome);
    result.answer
}

fn new_request_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Time a call may take: the route's timeout, or what the caller will wait if
/// that is shorter.
fn call_time(route: &RouteEntry, deadline_ms: Option<&str>) -> Duration {
    deadline_ms
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis)
        .map_or(route.settings.timeout, |wait| {
            wait.min(route.settings.timeout)
        })
}
