//! Stand-in targets: the users' back ends (Co-op quoting and ordering,
//! artwork and stock; Authority booking and documents). Each announces itself
//! to the daemon on its host, reports its load, and records every execution of
//! a call that changes something, so tests can count them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fault_proxy::FaultProxy;
use crate::serving::{silent_rocket_config, wait_until_listening};
use filbert_store::TargetAnnouncement;
use rocket::data::{Data, ToByteUnit};
use rocket::http::{Header, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::Json;
use rocket::{get, post, routes, State};
use serde::{Deserialize, Serialize};

/// How often a target re-announces itself and its load.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// How long a mute target holds a call: longer than any test waits.
const MUTE_TIME: Duration = Duration::from_secs(45);

/// One execution of a call that changes something (`POST`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// The target that ran it.
    pub target: String,
    /// The call's path.
    pub path: String,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// The caller's request id, if it came.
    pub request_id: Option<String>,
    /// The call's body as text.
    pub body: String,
}

/// Every execution on every target of one test or demo run.
#[derive(Default)]
pub struct ExecutionLog {
    records: Mutex<Vec<ExecutionRecord>>,
    reached: Mutex<BTreeSet<String>>,
}

impl ExecutionLog {
    /// A copy of the records so far.
    pub fn records(&self) -> Vec<ExecutionRecord> {
        self.records
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    /// Whether a call with this request id has reached any target.
    pub fn has_received(&self, request_id: &str) -> bool {
        self.reached_ids().contains(request_id)
    }

    fn reached_ids(&self) -> std::sync::MutexGuard<'_, BTreeSet<String>> {
        self.reached
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn note_reached(&self, request_id: Option<&String>) {
        if let Some(request_id) = request_id {
            self.reached_ids().insert(request_id.clone());
        }
    }

    fn push(&self, record: ExecutionRecord) {
        self.records
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .push(record);
    }
}

/// The answer a stand-in target gives: enough for a caller to check that the
/// answer is its own and whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetAnswer {
    /// The service that answered.
    pub service: String,
    /// The target's address.
    pub target: String,
    /// The path called.
    pub path: String,
    /// The caller's request id echoed back.
    pub request_id: Option<String>,
    /// The call's body echoed back.
    pub body: String,
}

/// How a stand-in target treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetMode {
    /// Runs them.
    #[default]
    Normal,
    /// Declines them all as not run, as when shedding load.
    ShedsLoad,
    /// Fails them all at once, while its reports look idle and well.
    Fails,
    /// Runs them and never answers.
    NeverResponds,
}

struct TargetState {
    service: String,
    address: String,
    delay: Duration,
    mode: Mutex<TargetMode>,
    in_flight: AtomicU32,
    served: AtomicU32,
    misdirected: AtomicU32,
    log: Arc<ExecutionLog>,
}

/// Headers a stand-in target reads from a call.
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

/// A target's answer with its load, or its refusal of a call it did not run.
#[derive(rocket::response::Responder)]
enum TargetReply {
    Answer(Json<TargetAnswer>, Header<'static>),
    Declined((Status, &'static str), Header<'static>),
    Misdirected((Status, &'static str)),
    Failed(Status),
}

impl TargetState {
    fn mode(&self) -> TargetMode {
        // The mode is one value, so a poisoned lock is still usable.
        *self
            .mode
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The refusal of a call that must not run here, if it must not.
    fn refusal(&self, headers: &CallHeaders) -> Option<TargetReply> {
        self.log.note_reached(headers.request_id.as_ref());
        let meant = headers.service.as_ref();
        if meant.is_some_and(|service| *service != self.service) {
            self.misdirected.fetch_add(1, Ordering::SeqCst);
            let status = Status::new(421);
            return Some(TargetReply::Misdirected((
                status,
                "another service is meant",
            )));
        }
        match self.mode() {
            TargetMode::Normal | TargetMode::NeverResponds => None,
            TargetMode::Fails => Some(TargetReply::Failed(Status::InternalServerError)),
            TargetMode::ShedsLoad => Some(TargetReply::Declined(
                (Status::ServiceUnavailable, "shedding load"),
                Header::new("x-filbert-outcome", "not-run"),
            )),
        }
    }

    async fn serve(
        &self,
        path: &std::path::Path,
        headers: CallHeaders,
        body: String,
    ) -> TargetReply {
        self.served.fetch_add(1, Ordering::SeqCst);
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let delay = self.delay + Duration::from_millis(headers.delay_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.mode() == TargetMode::NeverResponds {
            tokio::time::sleep(MUTE_TIME).await;
        }
        let load = self.in_flight.fetch_sub(1, Ordering::SeqCst) - 1;
        let answer = TargetAnswer {
            service: self.service.clone(),
            target: self.address.clone(),
            path: format!("/{}", path.to_string_lossy()),
            request_id: headers.request_id,
            body,
        };
        TargetReply::Answer(
            Json(answer),
            Header::new("x-filbert-load", load.to_string()),
        )
    }
}

#[get("/<path..>")]
async fn read_call(
    state: &State<Arc<TargetState>>,
    path: PathBuf,
    headers: CallHeaders,
) -> TargetReply {
    match state.refusal(&headers) {
        Some(refusal) => refusal,
        None => state.serve(&path, headers, String::new()).await,
    }
}

#[post("/<path..>", data = "<data>")]
async fn write_call(
    state: &State<Arc<TargetState>>,
    path: PathBuf,
    headers: CallHeaders,
    data: Data<'_>,
) -> Result<TargetReply, Status> {
    if let Some(refusal) = state.refusal(&headers) {
        return Ok(refusal);
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
    state.log.push(record);
    Ok(state.serve(&path, headers, body).await)
}

/// Settings of one stand-in target.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// The service it serves.
    pub service: String,
    /// Admin URL of the daemon on its host, such as `http://127.0.0.1:7101`.
    pub daemon_admin_url: String,
    /// Time it takes to answer each call.
    pub delay: Duration,
}

/// A running stand-in target.
pub struct TargetHandle {
    /// Its address, `127.0.0.1:PORT`.
    pub address: String,
    state: Arc<TargetState>,
    leaving: Arc<AtomicBool>,
    shutdown: rocket::Shutdown,
    announcer: tokio::task::JoinHandle<()>,
}

impl TargetHandle {
    /// Starts a target on a free loopback port and begins announcing it.
    ///
    /// # Panics
    /// When the server cannot start.
    pub async fn start(spec: &TargetSpec, log: Arc<ExecutionLog>) -> TargetHandle {
        let listen = SocketAddr::from(([127, 0, 0, 1], crate::ports::free_port()));
        Self::start_at(spec, listen, listen, log).await
    }

    /// Starts a target behind a pipe, whose address it announces as its own.
    ///
    /// # Panics
    /// When the server or the pipe cannot start.
    pub async fn start_behind_fault_proxy(
        spec: &TargetSpec,
        log: Arc<ExecutionLog>,
    ) -> (TargetHandle, FaultProxy) {
        let listen = SocketAddr::from(([127, 0, 0, 1], crate::ports::free_port()));
        let fault_proxy = FaultProxy::start(listen).await;
        let handle = Self::start_at(spec, listen, fault_proxy.address, log).await;
        (handle, fault_proxy)
    }

    async fn start_at(
        spec: &TargetSpec,
        listen: SocketAddr,
        shown: SocketAddr,
        log: Arc<ExecutionLog>,
    ) -> TargetHandle {
        let port = listen.port();
        let address = shown.to_string();
        let state = Arc::new(TargetState {
            service: spec.service.clone(),
            address: address.clone(),
            delay: spec.delay,
            mode: Mutex::new(TargetMode::Normal),
            in_flight: AtomicU32::new(0),
            served: AtomicU32::new(0),
            misdirected: AtomicU32::new(0),
            log,
        });
        let ignited = rocket::custom(silent_rocket_config(port))
            .manage(Arc::clone(&state))
            .mount("/", routes![read_call, write_call])
            .ignite()
            .await
            .expect("a stand-in target ignites");
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

    /// The service it serves.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.state.service
    }

    /// Sets how it treats calls from now on.
    pub fn set_mode(&self, mode: TargetMode) {
        *self
            .state
            .mode
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = mode;
    }

    /// Calls it has taken on so far.
    #[must_use]
    pub fn served(&self) -> u32 {
        self.state.served.load(Ordering::SeqCst)
    }

    /// Calls meant for another service that it has declined so far.
    #[must_use]
    pub fn misdirected(&self) -> u32 {
        self.state.misdirected.load(Ordering::SeqCst)
    }

    /// Announces that it is leaving; it keeps serving calls already sent.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Stops serving and announcing at once, as a crash would.
    pub fn stop(self) {
        self.announcer.abort();
        self.shutdown.notify();
    }
}

async fn announce_loop(
    daemon_admin_url: String,
    state: Arc<TargetState>,
    leaving: Arc<AtomicBool>,
) {
    let http = reqwest::Client::new();
    let url = format!("{daemon_admin_url}/announce");
    let mut was_leaving = false;
    loop {
        let now_leaving = leaving.load(Ordering::SeqCst);
        let announcement = TargetAnnouncement {
            service: state.service.clone(),
            address: state.address.clone(),
            load: state.in_flight.load(Ordering::SeqCst),
            leaving: now_leaving,
        };
        // A daemon that is down or restarting misses announcements; the next
        // one, a period later, repeats the whole state, so nothing is lost.
        let _ = http
            .post(&url)
            .json(&announcement)
            .timeout(ANNOUNCE_INTERVAL)
            .send()
            .await;
        if now_leaving && !was_leaving {
            was_leaving = true;
            continue;
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
