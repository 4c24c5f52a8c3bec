//! The proxy: takes a caller's call, finds its route in the version in force,
//! picks a target of the route's service in this zone, forwards the call and
//! returns the target's whole answer.
//!
//! Answers the daemon makes itself say what happened to the call in the
//! `x-filbert-outcome` header: `not-run` (503 with `Retry-After`: the call
//! certainly reached no target) or `unknown` (504: it may have run).

use std::io::Cursor;
use std::sync::Arc;

use arc_swap::ArcSwap;
use filbert_tree::{RouteEntry, RouteTable};
use rocket::data::{Data, ToByteUnit};
use rocket::http::{Method, Status};
use rocket::request::Request;
use rocket::response::{self, Responder, Response};
use rocket::route::{Handler, Outcome, Route};

use crate::counters::{CallOutcome, DaemonCounters};
use crate::targets::{SlotTable, ZoneTargets};

/// Header naming the caller's member (customer).
pub const MEMBER_HEADER: &str = "x-filbert-member";
/// Header carrying the call's request id, echoed to targets and callers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header the daemon sets on answers it makes itself.
pub const OUTCOME_HEADER: &str = "x-filbert-outcome";
/// Seconds a caller should wait before asking again after a `not-run` answer.
pub const RETRY_AFTER_SECONDS: u32 = 1;
/// Largest call body the proxy forwards.
const BODY_LIMIT_MIB: u64 = 8;
/// Headers passed from caller to target.
const FORWARDED_HEADERS: [&str; 4] = [
    "content-type",
    "accept",
    "idempotency-key",
    REQUEST_ID_HEADER,
];

/// The version in force, as the proxy reads it.
#[derive(Debug, Default)]
pub struct AppliedConfig {
    /// Its number (0 before the first).
    pub number: u64,
    /// Its compiled routes.
    pub table: RouteTable,
}

/// What the proxy shares with the control loop.
pub struct ProxyShared {
    /// The version in force, swapped whole by the shell.
    pub config: ArcSwap<AppliedConfig>,
    /// The zone's targets, swapped whole by the shell.
    pub targets: ArcSwap<ZoneTargets>,
    /// Slots this proxy holds per target.
    pub slots: Arc<SlotTable>,
    /// Counters.
    pub counters: Arc<DaemonCounters>,
    http: reqwest::Client,
}

impl ProxyShared {
    /// A proxy with nothing applied yet.
    ///
    /// # Panics
    /// When the TLS-less HTTP client cannot be built.
    #[must_use]
    pub fn new(counters: Arc<DaemonCounters>) -> ProxyShared {
        let http = reqwest::Client::builder()
            .connect_timeout(std::time::Duration::from_millis(500))
            .build()
            .expect("an HTTP client without TLS always builds");
        ProxyShared {
            config: ArcSwap::from_pointee(AppliedConfig::default()),
            targets: ArcSwap::from_pointee(ZoneTargets::default()),
            slots: Arc::new(SlotTable::default()),
            counters,
            http,
        }
    }
}

/// An answer to a caller.
#[derive(Debug)]
pub struct ProxyAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl ProxyAnswer {
    fn own(status: u16, outcome: Option<&str>, request_id: &str, text: &str) -> ProxyAnswer {
        let mut headers = vec![
            (REQUEST_ID_HEADER.to_owned(), request_id.to_owned()),
            (
                "content-type".to_owned(),
                "text/plain; charset=utf-8".to_owned(),
            ),
        ];
        if let Some(outcome) = outcome {
            headers.push((OUTCOME_HEADER.to_owned(), outcome.to_owned()));
        }
        if outcome == Some("not-run") {
            headers.push(("retry-after".to_owned(), RETRY_AFTER_SECONDS.to_string()));
        }
        ProxyAnswer {
            status,
            headers,
            body: format!("{text}\n").into_bytes(),
        }
    }

    fn not_run(request_id: &str, text: &str) -> ProxyAnswer {
        Self::own(503, Some("not-run"), request_id, text)
    }
}

impl<'r> Responder<'r, 'static> for ProxyAnswer {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let mut builder = Response::build();
        builder.status(Status::new(self.status));
        for (name, value) in self.headers {
            builder.raw_header(name, value);
        }
        builder.sized_body(self.body.len(), Cursor::new(self.body));
        Ok(builder.finalize())
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
    let request_id = request
        .headers()
        .get_one(REQUEST_ID_HEADER)
        .map_or_else(|| format!("{:016x}", rand::random::<u64>()), str::to_owned);
    let Some(member) = request.headers().get_one(MEMBER_HEADER) else {
        return ProxyAnswer::own(400, None, &request_id, "missing x-filbert-member header");
    };
    let path = request.uri().path().as_str();
    let config = shared.config.load();
    let Some(route) = config.table.lookup(member, path) else {
        return ProxyAnswer::own(404, None, &request_id, "no route for this member and path");
    };
    let Ok(body) = data.open(BODY_LIMIT_MIB.mebibytes()).into_bytes().await else {
        return ProxyAnswer::own(400, None, &request_id, "call body unreadable or too large");
    };
    let call = CallParts {
        method: request.method(),
        path_and_query: request.uri().to_string(),
        headers: FORWARDED_HEADERS
            .iter()
            .filter(|name| **name != REQUEST_ID_HEADER)
            .filter_map(|name| {
                request
                    .headers()
                    .get_one(name)
                    .map(|value| (*name, value.to_owned()))
            })
            .collect(),
        body: body.into_inner(),
        request_id,
    };
    let answer = attempt(shared, route, &call).await;
    shared.counters.call(&route.service, answer.1);
    answer.0
}

/// The parts of a caller's call the proxy forwards.
struct CallParts {
    method: Method,
    path_and_query: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    request_id: String,
}

/// Tries targets until one answers, the call may have run, or the retries
/// are spent.
async fn attempt(
    shared: &ProxyShared,
    route: &RouteEntry,
    call: &CallParts,
) -> (ProxyAnswer, CallOutcome) {
    let mut tried: Vec<String> = Vec::new();
    let targets = shared.targets.load();
    loop {
        let Some((address, _slot)) = SlotTable::acquire(
            &shared.slots,
            &targets,
            &route.service,
            route.settings.slots_per_target,
            &tried,
        ) else {
            // No target can take the call now: it was sent nowhere, so it
            // certainly did not run. The caller is told at once, with when
            // to come back, rather than held until its deadline.
            let text = format!(
                "no target of service {} can take the call now",
                route.service
            );
            return (
                ProxyAnswer::not_run(&call.request_id, &text),
                CallOutcome::NotRun,
            );
        };
        match send(shared, route, call, &address).await {
            SendResult::Answered(answer) => {
                let outcome = if answer.status >= 500 {
                    CallOutcome::Failed
                } else {
                    CallOutcome::Answered
                };
                return (answer, outcome);
            }
            SendResult::NotConnected => {
                tried.push(address);
                let attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX);
                if attempts > route.settings.retries {
                    let text =
                        format!("could not connect to a target of service {}", route.service);
                    return (
                        ProxyAnswer::not_run(&call.request_id, &text),
                        CallOutcome::NotRun,
                    );
                }
            }
            SendResult::Unknown(reason) => {
                let text = format!("outcome unknown: {reason}; request id {}", call.request_id);
                return (
                    ProxyAnswer::own(504, Some("unknown"), &call.request_id, &text),
                    CallOutcome::Unknown,
                );
            }
        }
    }
}

enum SendResult {
    Answered(ProxyAnswer),
    /// The connection was never made, so the target never saw the call.
    NotConnected,
    /// The call may have reached the target.
    Unknown(String),
}

async fn send(
    shared: &ProxyShared,
    route: &RouteEntry,
    call: &CallParts,
    address: &str,
) -> SendResult {
    let method = reqwest::Method::from_bytes(call.method.as_str().as_bytes())
        .unwrap_or(reqwest::Method::GET);
    let mut outgoing = shared
        .http
        .request(method, format!("http://{address}{}", call.path_and_query))
        .timeout(route.settings.timeout)
        .header(REQUEST_ID_HEADER, &call.request_id)
        .body(call.body.clone());
    for (name, value) in &call.headers {
        outgoing = outgoing.header(*name, value);
    }
    let reply = match outgoing.send().await {
        Ok(reply) => reply,
        Err(error) if error.is_connect() => return SendResult::NotConnected,
        Err(error) => return SendResult::Unknown(error.to_string()),
    };
    let status = reply.status().as_u16();
    let content_type = reply
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    // The whole answer is read before anything goes back, so a caller never
    // gets a cut answer that looks complete.
    match reply.bytes().await {
        Ok(bytes) => {
            let mut headers = vec![
                (REQUEST_ID_HEADER.to_owned(), call.request_id.clone()),
                ("x-filbert-target".to_owned(), address.to_owned()),
            ];
            if let Some(content_type) = content_type {
                headers.push(("content-type".to_owned(), content_type));
            }
            SendResult::Answered(ProxyAnswer {
                status,
                headers,
                body: bytes.to_vec(),
            })
        }
        Err(error) => SendResult::Unknown(error.to_string()),
    }
}
