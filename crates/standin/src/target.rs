//! Stand-in targets: HTTP servers in place of the users' back ends (Co-op
//! quoting and ordering, artwork and stock; Authority booking and documents).
//! Each target announces itself and its load to the daemon on its host, and
//! records every `POST` that it executes, so that tests can count executions.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fault_proxy::FaultProxy;
use crate::rocket_server::{silent_rocket_config, wait_until_listening};
use filbert_store::TargetAnnouncement;
use rocket::data::{Data, ToByteUnit};
use rocket::http::{Header, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::Json;
use rocket::{get, post, routes, State};
use serde::{Deserialize, Serialize};

/// Time between a target's announcements of itself and its load; also the
/// timeout of one announcement.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Time that a target in [`TargetMode::NeverResponds`] holds a call before it
/// responds after all. Longer than any test waits.
const NO_RESPONSE_DURATION: Duration = Duration::from_secs(45);

/// One execution of a `POST` on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Announced address of the target that executed the call.
    pub target: String,
    /// Path of the call.
    pub path: String,
    /// `idempotency-key` header of the call, if present.
    pub idempotency_key: Option<String>,
    /// `x-request-id` header of the call, if present.
    pub request_id: Option<String>,
    /// Body of the call.
    pub body: String,
}

/// Executions on all targets of one test or demo run, and the request ids of all
/// calls that the targets received.
#[derive(Default)]
pub struct ExecutionLog {
    records: Mutex<Vec<ExecutionRecord>>,
    /// Request ids of all calls received, executed or not.
    received: Mutex<BTreeSet<String>>,
}

impl ExecutionLog {
    /// Returns a copy of the executions recorded so far, in order.
    pub fn records(&self) -> Vec<ExecutionRecord> {
        self.records
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    /// Whether any target received a call with this request id, including calls
    /// that the target rejected.
    pub fn has_received(&self, request_id: &str) -> bool {
        self.received_ids().contains(request_id)
    }

    fn received_ids(&self) -> std::sync::MutexGuard<'_, BTreeSet<String>> {
        self.received
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn record_received(&self, request_id: Option<&String>) {
        if let Some(request_id) = request_id {
            self.received_ids().insert(request_id.clone());
        }
    }

    fn push(&self, record: ExecutionRecord) {
        self.records
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .push(record);
    }
}

/// JSON body of a target's successful response. It echoes the call, so that a
/// caller can check that the response is complete and belongs to its call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetResponseBody {
    /// Service of the target.
    pub service: String,
    /// Announced address of the target.
    pub target: String,
    /// Path of the call.
    pub path: String,
    /// `x-request-id` header of the call, if present.
    pub request_id: Option<String>,
    /// Body of the call; empty for a `GET`.
    pub body: String,
}

/// How a stand-in target handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetMode {
    /// Executes calls and responds with success.
    #[default]
    Normal,
    /// Rejects all calls with status 503 and the outcome `not-run`, as an
    /// overloaded target does.
    ShedsLoad,
    /// Responds to all calls with status 500 at once, while its announcements
    /// report no load.
    Fails,
    /// Executes calls and sends no response for as long as any test waits.
    NeverResponds,
}

struct TargetState {
    service: String,
    /// Announced address of the target.
    address: String,
    /// Time from the receipt of a call to the response.
    delay: Duration,
    mode: Mutex<TargetMode>,
    /// Number of calls being executed: the load that the target reports.
    in_flight: AtomicU32,
    /// Number of calls that the target has started to execute.
    served: AtomicU32,
    /// Number of calls rejected because they were meant for another service.
    misdirected: AtomicU32,
    executions: Arc<ExecutionLog>,
}

/// Headers of a call, and its query parameter `delay_ms`: the additional time to
/// wait before the response, 0 if absent.
struct CallHeaders {
    request_id: Option<String>,
    idempotency_key: Option<String>,
    service: Option<String>,
    delay_ms: u64,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let header = |name: &str| request.headers().get_one(name).map(str::to_owned);
        Outcome::Success(CallHeaders {
            request_id: header("x-request-id"),
            idempotency_key: header("idempotency-key"),
            service: header("x-filbert-service"),
            delay_ms: request
                .query_value::<u64>("delay_ms")
                .and_then(Result::ok)
                .unwrap_or(0),
        })
    }
}

/// A target's response to a call: success with the target's load, or a rejection
/// or failure of a call that the target did not execute.
#[derive(rocket::response::Responder)]
enum TargetResponse {
    Success(Json<TargetResponseBody>, Header<'static>),
    Declined((Status, &'static str), Header<'static>),
    Misdirected((Status, &'static str)),
    Failed(Status),
}

impl TargetState {
    fn mode(&self) -> TargetMode {
        // The mode is a single value that no panic can leave half written, so
        // a poisoned lock is still usable.
        *self
            .mode
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records that the call was received. Returns the response to a call that
    /// this target must not execute, because it is meant for another service or
    /// because of the target's mode; `None` if the call is to be executed.
    fn rejection(&self, headers: &CallHeaders) -> Option<TargetResponse> {
        self.executions.record_received(headers.request_id.as_ref());
        let requested = headers.service.as_ref();
        if requested.is_some_and(|service| *service != self.service) {
            self.misdirected.fetch_add(1, Ordering::SeqCst);
            let status = Status::new(421);
            return Some(TargetResponse::Misdirected((
                status,
                "another service is meant",
            )));
        }
        match self.mode() {
            TargetMode::Normal | TargetMode::NeverResponds => None,
            TargetMode::Fails => Some(TargetResponse::Failed(Status::InternalServerError)),
            TargetMode::ShedsLoad => Some(TargetResponse::Declined(
                (Status::ServiceUnavailable, "shedding load"),
                Header::new("x-filbert-outcome", "not-run"),
            )),
        }
    }

    /// Waits for the delays of the target and of the call, then responds with
    /// success and the load that remains.
    async fn serve(
        &self,
        path: &std::path::Path,
        headers: CallHeaders,
        body: String,
    ) -> TargetResponse {
        self.served.fetch_add(1, Ordering::SeqCst);
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let delay = self.delay + Duration::from_millis(headers.delay_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.mode() == TargetMode::NeverResponds {
            tokio::time::sleep(NO_RESPONSE_DURATION).await;
        }
        let load = self.in_flight.fetch_sub(1, Ordering::SeqCst) - 1;
        let response_body = TargetResponseBody {
            service: self.service.clone(),
            target: self.address.clone(),
            path: format!("/{}", path.to_string_lossy()),
            request_id: headers.request_id,
            body,
        };
        TargetResponse::Success(
            Json(response_body),
            Header::new("x-filbert-load", load.to_string()),
        )
    }
}

#[get("/<path..>")]
async fn handle_get(
    state: &State<Arc<TargetState>>,
    path: PathBuf,
    headers: CallHeaders,
) -> TargetResponse {
    match state.rejection(&headers) {
        Some(rejection) => rejection,
        None => state.serve(&path, headers, String::new()).await,
    }
}

#[post("/<path..>", data = "<data>")]
async fn handle_post(
    state: &State<Arc<TargetState>>,
    path: PathBuf,
    headers: CallHeaders,
    data: Data<'_>,
) -> Result<TargetResponse, Status> {
    if let Some(rejection) = state.rejection(&headers) {
        return Ok(rejection);
    }
    let body = data
        .open(1.mebibytes())
        .into_string()
        .await
        .map_err(|_| Status::BadRequest)?
        .into_inner();
    let record = ExecutionRecord {
        target: state.address.clone(),
        path: format!("/{}", path.to_string_lossy()),
        idempotency_key: headers.idempotency_key.clone(),
        request_id: headers.request_id.clone(),
        body: body.clone(),
    };
    state.executions.push(record);
    Ok(state.serve(&path, headers, body).await)
}

/// Settings of a stand-in target.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Service that the target serves.
    pub service: String,
    /// Admin URL of the daemon on the target's host, such as
    /// `http://127.0.0.1:7101`.
    pub daemon_admin_url: String,
    /// Time from the receipt of a call to the response.
    pub delay: Duration,
}

/// A running stand-in target. Dropping the handle doesn't stop the target:
/// call [`TargetHandle::stop`].
pub struct TargetHandle {
    /// Announced address, `127.0.0.1:PORT`: the target's own, or that of the fault
    /// proxy in front of it.
    pub address: String,
    state: Arc<TargetState>,
    leaving: Arc<AtomicBool>,
    shutdown: rocket::Shutdown,
    announcer: tokio::task::JoinHandle<()>,
}

impl TargetHandle {
    /// Starts a target on a free loopback port and announces it to its daemon.
    ///
    /// # Panics
    /// When the server can't start.
    pub async fn start(spec: &TargetSpec, executions: Arc<ExecutionLog>) -> TargetHandle {
        let listen = SocketAddr::from(([127, 0, 0, 1], crate::ports::free_port()));
        Self::start_at(spec, listen, listen, executions).await
    }

    /// Starts a target and a fault proxy in front of it. The target announces the
    /// proxy's address instead of its own.
    ///
    /// # Panics
    /// When the target or the fault proxy can't start.
    pub async fn start_behind_fault_proxy(
        spec: &TargetSpec,
        executions: Arc<ExecutionLog>,
    ) -> (TargetHandle, FaultProxy) {
        let listen = SocketAddr::from(([127, 0, 0, 1], crate::ports::free_port()));
        let fault_proxy = FaultProxy::start(listen).await;
        let handle = Self::start_at(spec, listen, fault_proxy.address, executions).await;
        (handle, fault_proxy)
    }

    async fn start_at(
        spec: &TargetSpec,
        listen: SocketAddr,
        advertised: SocketAddr,
        executions: Arc<ExecutionLog>,
    ) -> TargetHandle {
        let port = listen.port();
        let address = advertised.to_string();
        let state = Arc::new(TargetState {
            service: spec.service.clone(),
            address: address.clone(),
            delay: spec.delay,
            mode: Mutex::new(TargetMode::Normal),
            in_flight: AtomicU32::new(0),
            served: AtomicU32::new(0),
            misdirected: AtomicU32::new(0),
            executions,
        });
        let ignited = rocket::custom(silent_rocket_config(port))
            .manage(Arc::clone(&state))
            .mount("/", routes![handle_get, handle_post])
            .ignite()
            .await
            .expect("failed to start a stand-in target");
        let shutdown = ignited.shutdown();
        tokio::spawn(ignited.launch());
        wait_until_listening(port).await;
        let leaving = Arc::new(AtomicBool::new(false));
        let announcer = tokio::spawn(announce_loop(
            spec.daemon_admin_url.clone(),
            Arc::clone(&state),
            Arc::clone(&leaving),
        ));
        TargetHandle {
            address,
            state,
            leaving,
            shutdown,
            announcer,
        }
    }

    /// Returns the service that the target serves.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.state.service
    }

    /// Sets how the target handles calls from now on.
    pub fn set_mode(&self, mode: TargetMode) {
        *self
            .state
            .mode
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = mode;
    }

    /// Returns the number of calls that the target has started to execute.
    #[must_use]
    pub fn served(&self) -> u32 {
        self.state.served.load(Ordering::SeqCst)
    }

    /// Returns the number of calls that the target rejected with status 421
    /// because they were meant for another service.
    #[must_use]
    pub fn misdirected(&self) -> u32 {
        self.state.misdirected.load(Ordering::SeqCst)
    }

    /// Makes the target announce that it is leaving, so that its daemon sends it
    /// no new calls. The target keeps serving the calls that it receives.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Shuts the server down and stops the announcements without announcing that
    /// the target is leaving, as after a crash.
    pub fn stop(self) {
        self.announcer.abort();
        self.shutdown.notify();
    }
}

/// Announces the target and its load every [`ANNOUNCE_INTERVAL`]. The first
/// announcement that the target is leaving is repeated without a pause.
async fn announce_loop(
    daemon_admin_url: String,
    state: Arc<TargetState>,
    leaving: Arc<AtomicBool>,
) {
    let http = crate::http::direct_client();
    let url = format!("{daemon_admin_url}/announce");
    let mut has_announced_leaving = false;
    loop {
        let is_leaving = leaving.load(Ordering::SeqCst);
        let announcement = TargetAnnouncement {
            service: state.service.clone(),
            address: state.address.clone(),
            load: state.in_flight.load(Ordering::SeqCst),
            leaving: is_leaving,
        };
        // A failed announcement needs no retry: a daemon that is down or
        // restarting misses it, and the next one repeats the whole state.
        let _ = http
            .post(&url)
            .json(&announcement)
            .timeout(ANNOUNCE_INTERVAL)
            .send()
            .await;
        if is_leaving && !has_announced_leaving {
            has_announced_leaving = true;
            continue;
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
