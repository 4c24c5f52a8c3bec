//! The HTTP proxy. It accepts calls, finds the route of each call in the
//! applied settings version, forwards the call to a target of the route's
//! service in this zone, and returns the target's answer once it is complete.
//!
//! When the daemon answers a valid call itself, the `x-filbert-outcome` header
//! says what happened to the call: `not-run` (503 with `Retry-After`: the call
//! certainly did not run), `unknown` (504: the call may have run) or `replayed`
//! (the call ran before, and the answer comes from its record). Calls that the
//! daemon refuses with a 400, 404, 413 or 422 status have no such header.

mod answer;
mod attempt;
mod body;
mod call_result;
mod claim;
mod keyed;
pub mod policy;
mod target_clients;

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use filbert_store::PlatformClient;
use filbert_tree::{RouteEntry, RouteTable};
use rocket::data::Data;
use rocket::http::Method;
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};

use crate::budget::RetryBudget;
use crate::clients::{ClientCall, ClientConnections};
use crate::clock::Clock;
use crate::counters::DaemonCounters;
use crate::targets::{TargetTable, ZoneTargets};
use answer::HeldAnswer;
pub use answer::{ProxyAnswer, RETRY_AFTER_SECONDS};
use attempt::ForwardedCall;
use body::read_body;
pub use claim::{ClaimOutcome, ClaimState, ClaimStore, HeldClaim, RecordedAnswer};
use target_clients::TargetClients;

/// Request header that names the member (customer) that the caller belongs to.
pub const MEMBER_HEADER: &str = "x-filbert-member";
/// Header with the call's request id, sent on to targets and returned to
/// callers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the outcome of a call. The daemon sets the header on its own
/// answers; a target sets `not-run` when it did not run the call.
pub const OUTCOME_HEADER: &str = "x-filbert-outcome";
/// Request header that tells a target which service the call is for.
pub const SERVICE_HEADER: &str = "x-filbert-service";
/// Request header with the time that the caller waits for an answer, in
/// milliseconds.
pub const DEADLINE_HEADER: &str = "x-filbert-deadline-ms";
/// Response header with the path at which the outcome of a call with an
/// idempotency key can be looked up.
pub const LOOKUP_HEADER: &str = "x-filbert-lookup";
/// Path prefix for looking up the outcome of a call by its idempotency key.
pub const LOOKUP_PREFIX: &str = "/_filbert/calls/";
/// Request header with the idempotency key of a call that must run at most
/// once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request headers that are forwarded to the target.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "accept", IDEMPOTENCY_KEY_HEADER];
/// The applied settings version, as the proxy reads it.
#[derive(Debug, Default)]
pub struct AppliedConfig {
    /// The version's number; 0 until the first version is applied.
    pub number: u64,
    /// The version's compiled routes.
    pub table: Arc<RouteTable>,
}

/// State of the proxy, of which the control loop replaces the settings version
/// and the targets.
pub struct ProxyShared {
    /// The applied settings version, replaced as a whole.
    pub config: ArcSwap<AppliedConfig>,
    /// The zone's targets, replaced as a whole.
    pub targets: ArcSwap<ZoneTargets>,
    /// The calls in flight, load and health that this proxy observed for each
    /// target.
    pub target_table: Arc<TargetTable>,
    /// The daemon's counters, to which the proxy adds call outcomes.
    pub counters: Arc<DaemonCounters>,
    /// Connections of clients.
    pub clients: Arc<ClientConnections>,
    /// Port at which the proxy listens.
    pub port: u16,
    retry_budget: RetryBudget,
    claim_store: ClaimStore,
    clock: Arc<dyn Clock>,
    target_clients: TargetClients,
}

impl ProxyShared {
    /// Creates the state of a proxy at `port` that has no settings version and no targets.
    ///
    /// # Panics
    /// If the HTTP clients, which use no TLS, cannot be built.
    #[must_use]
    pub fn new(
        counters: Arc<DaemonCounters>,
        platform: PlatformClient,
        port: u16,
        clock: Arc<dyn Clock>,
    ) -> ProxyShared {
        ProxyShared {
            clients: Arc::new(ClientConnections::new(Arc::clone(&clock))),
            port,
            config: ArcSwap::from_pointee(AppliedConfig::default()),
            targets: ArcSwap::from_pointee(ZoneTargets::default()),
            target_table: Arc::new(TargetTable::default()),
            counters,
            retry_budget: RetryBudget::default(),
            claim_store: ClaimStore::new(platform),
            clock,
            target_clients: TargetClients::new(),
        }
    }
}

/// The Rocket handler that forwards calls of every path.
#[derive(Clone)]
pub struct ProxyHandler {
    shared: Arc<ProxyShared>,
}

impl ProxyHandler {
    /// Returns a catch-all route for each method that the proxy forwards.
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
        let Some(peer) = request.remote() else {
            // The connection has ended.
            return Outcome::from(request, ProxyAnswer::local(400, "", "no peer"));
        };
        let (clients, port) = (&self.shared.clients, self.shared.port);
        let call = Arc::new(ClientCall::begin(clients, peer, port, head_bytes(request)));
        let pause = call.refusal_pause();
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let answer = forward(&self.shared, &call, request, data).await;
        call.record_refusal(answer.is_local);
        call.set_waiting(true);
        Outcome::from(request, HeldAnswer::new(answer, call))
    }
}

/// Length of a call's head, in bytes, but for spaces at places where any number may be.
fn head_bytes(request: &Request<'_>) -> usize {
    /// Bytes of the method, the version, and what separates them.
    const LINE_BYTES: usize = 24;
    /// Bytes between and behind a field's name and value.
    const FIELD_BYTES: usize = 4;
    let fields = request.headers().iter();
    let field_bytes = fields.map(|field| field.name().len() + field.value().len() + FIELD_BYTES);
    LINE_BYTES + request.uri().to_string().len() + field_bytes.sum::<usize>()
}

async fn forward(
    shared: &ProxyShared,
    client: &Arc<ClientCall>,
    request: &Request<'_>,
    data: Data<'_>,
) -> ProxyAnswer {
    let header = |name: &str| request.headers().get_one(name);
    let request_id = header(REQUEST_ID_HEADER).map_or_else(new_request_id, str::to_owned);
    let Some(member) = header(MEMBER_HEADER) else {
        return ProxyAnswer::local(400, &request_id, "missing x-filbert-member header");
    };
    let path = request.uri().path().as_str();
    if let Some(key) = path.strip_prefix(LOOKUP_PREFIX) {
        return keyed::look_up_outcome(shared, member, key, &request_id).await;
    }
    let config = shared.config.load_full();
    if config.number == 0 {
        return ProxyAnswer::not_run(&request_id, "no settings version in force yet");
    }
    let Some(route) = config.table.lookup(member, path) else {
        return ProxyAnswer::local(404, &request_id, "no route for this member and path");
    };
    let body = match read_body(request, data, client).await {
        Ok(body) => body,
        Err(fault) => return fault.answer(&request_id),
    };
    let call = ForwardedCall {
        method: request.method(),
        path_and_query: request.uri().to_string(),
        headers: FORWARDED_HEADERS
            .iter()
            .filter_map(|name| Some((*name, header(name)?.to_owned())))
            .collect(),
        body,
        client: Arc::clone(client),
        request_id,
        deadline: shared.clock.now() + call_timeout(route, header(DEADLINE_HEADER)),
    };
    let result = match header(IDEMPOTENCY_KEY_HEADER) {
        Some(key) if route.settings.at_most_once => {
            keyed::run_keyed_call(shared, route, &call, member, key).await
        }
        _ => attempt::run_call(shared, route, &call).await,
    };
    shared.counters.record_call(&route.service, result.outcome);
    result.answer
}

fn new_request_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Returns the time that a call may take: the route's timeout, or the time that
/// the caller waits if that is shorter. A malformed `deadline_ms` is ignored.
fn call_timeout(route: &RouteEntry, deadline_ms: Option<&str>) -> Duration {
    deadline_ms
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis)
        .map_or(route.settings.timeout, |wait| {
            wait.min(route.settings.timeout)
        })
}
