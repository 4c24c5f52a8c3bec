//! Starts the daemon's tasks and runs them until a planned stop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use filbert_platform::store::StoreClient;
use filbert_policy::budget::RetryBudget;
use filbert_policy::clock::{Clock, SystemClock};
use filbert_policy::weights::WeightedRoundRobin;
use tokio::net::TcpListener;

use crate::egress::EgressPacer;
use crate::gate::Gate;
use crate::logging::LogRateLimiter;
use crate::members::MemberTable;
use crate::metrics::MeshMetrics;
use crate::organisations::OrganisationState;
use crate::peers::PeerTable;
use crate::quarantine::{self, SharedQuarantine};
use crate::return_times::ReturnTimes;
use crate::rollouts::{self, RolloutTable};
use crate::settings::MeshSettings;
use crate::state::MeshShared;
use crate::stop::StopState;
use crate::versions::{self, VersionState};
use crate::zone_load::{self, ZoneLoadState};
use crate::{
    control, feeds, ingress, metrics, organisations, plan, ready, reload, rows, serve_peers,
    shutdowns, sockets, status, stop,
};

/// Why the daemon ended other than by a planned stop.
#[derive(Debug)]
pub enum MeshError {
    /// The daemon could not listen on an address.
    Listen,
    /// A signal handler could not be installed.
    Signals,
}

impl fmt::Display for MeshError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MeshError::Listen => "could not start listening",
            MeshError::Signals => "could not install signal handlers",
        })
    }
}

impl std::error::Error for MeshError {}

/// Timeout of requests to the store. Its responses take 4 ms, or about a hundred times as
/// long when it is slow. A lost response is noticed after this time.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Listening sockets of the daemon.
struct Listeners {
    calls: TcpListener,
    peers: TcpListener,
    ready: TcpListener,
    control: TcpListener,
    metrics: Option<TcpListener>,
}

/// Listens on `address`. `port` names its use in the error report.
fn bind(port: &'static str, address: SocketAddr) -> Result<TcpListener, Report<MeshError>> {
    sockets::listen(address)
        .change_context(MeshError::Listen)
        .attach(format!("{port} port {address}"))
}

/// Runs the daemon with `settings` until a planned stop. Changes of the settings file at
/// `path` are applied while the daemon runs.
///
/// # Errors
/// [`MeshError`] if the daemon cannot listen on an address or install a signal handler.
pub async fn run(settings: MeshSettings, path: PathBuf) -> Result<(), Report<MeshError>> {
    let listeners = Listeners {
        calls: bind("calls", settings.listen.calls)?,
        peers: bind("peers", settings.listen.peers)?,
        ready: bind("ready", settings.listen.ready)?,
        control: bind("control", settings.listen.control)?,
        metrics: settings
            .listen
            .metrics
            .map(|address| bind("metrics", address))
            .transpose()?,
    };
    log::info!(
        "event=started host={} zone={} service={} calls={} peers={}",
        settings.id,
        settings.zone,
        settings.service,
        settings.listen.calls,
        settings.listen.peers
    );
    let shared = build(settings);
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async move {
            start(&shared, listeners, path);
            stop::drain_on_signal(shared)
                .await
                .change_context(MeshError::Signals)
        })
        .await
}

/// Creates the state that the daemon's tasks share.
fn build(settings: MeshSettings) -> Rc<MeshShared> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let now = clock.now();
    let metrics = Rc::new(MeshMetrics::new());
    let egress = EgressPacer::new(settings.link.mbps, Rc::clone(&clock));
    let quarantine = SharedQuarantine::new(Rc::clone(&metrics), Rc::clone(&clock));
    let rollouts = RolloutTable::new(Rc::clone(&metrics), Rc::clone(&clock));
    let gate = Gate::new(
        &settings,
        Rc::clone(&quarantine),
        Rc::clone(&rollouts),
        Rc::clone(&metrics),
        Rc::clone(&egress),
        Rc::clone(&clock),
    );
    let organisations = OrganisationState::new(&settings, Rc::clone(&clock));
    Rc::new(MeshShared {
        store: StoreClient::new(&settings.store, STORE_TIMEOUT, Arc::new(SystemClock)),
        retry_budget: RefCell::new(RetryBudget::new(settings.retry_budget_limits(), now)),
        settings: RefCell::new(Rc::new(settings)),
        versions: VersionState::default(),
        members: MemberTable::default(),
        peers: PeerTable::default(),
        egress,
        gate,
        quarantine,
        rollouts,
        organisations,
        return_times: ReturnTimes::default(),
        zone_load: ZoneLoadState::default(),
        weighted_round_robin: RefCell::new(WeightedRoundRobin::default()),
        route_stats: RefCell::new(HashMap::new()),
        metrics,
        log_limiter: LogRateLimiter::new(now),
        store_returned: tokio::sync::Notify::new(),
        store_era: Cell::new(None),
        stop: StopState::default(),
        seed: rand::random(),
        clock,
    })
}

/// Starts the daemon's tasks on the current `LocalSet`.
fn start(shared: &Rc<MeshShared>, listeners: Listeners, path: PathBuf) {
    let spawn = |task: std::pin::Pin<Box<dyn Future<Output = ()>>>| {
        tokio::task::spawn_local(task);
    };
    spawn(Box::pin(control::serve(
        Rc::clone(shared),
        listeners.control,
    )));
    spawn(Box::pin(ready::serve(Rc::clone(shared), listeners.ready)));
    spawn(Box::pin(ingress::serve(Rc::clone(shared), listeners.calls)));
    spawn(Box::pin(serve_peers::serve(
        Rc::clone(shared),
        listeners.peers,
    )));
    spawn(Box::pin(Rc::clone(&shared.gate).run_queue_expiry()));
    spawn(Box::pin(status::send_updates(Rc::clone(shared))));
    spawn(Box::pin(quarantine::send_updates(Rc::clone(shared))));
    spawn(Box::pin(rollouts::replication::send_updates(Rc::clone(
        shared,
    ))));
    spawn(Box::pin(rollouts::replication::apply_stages_to_gate(
        Rc::clone(shared),
    )));
    spawn(Box::pin(rollouts::replication::report_run_counts(
        Rc::clone(shared),
    )));
    spawn(Box::pin(rollouts::decide::decide_stages(Rc::clone(shared))));
    spawn(Box::pin(rollouts::row_writer::run_rollout_writer(
        Rc::clone(shared),
    )));
    spawn(Box::pin(
        organisations::pools::leases::maintain_pool_leases(Rc::clone(shared)),
    ));
    spawn(Box::pin(zone_load::share_load(Rc::clone(shared))));
    spawn(Box::pin(plan::maintain_link_plan(Rc::clone(shared))));
    spawn(Box::pin(rows::maintain_own_row(Rc::clone(shared))));
    spawn(Box::pin(rows::run_row_writer(Rc::clone(shared))));
    spawn(Box::pin(shutdowns::restore::restore_shutdowns(Rc::clone(
        shared,
    ))));
    spawn(Box::pin(shutdowns::expiry::remove_expired_rows(Rc::clone(
        shared,
    ))));
    spawn(Box::pin(versions::announce_oversized_versions(Rc::clone(
        shared,
    ))));
    spawn(Box::pin(feeds::watch_configuration(Rc::clone(shared))));
    spawn(Box::pin(feeds::watch_members(Rc::clone(shared))));
    if let Some(listener) = listeners.metrics {
        spawn(Box::pin(metrics::serve(Rc::clone(shared), listener)));
    }
    let shared = Rc::clone(shared);
    spawn(Box::pin(async move {
        if let Err(error) = reload::watch_settings_file(shared, path).await {
            log::error!("event=reload_unwatched error=\"{error}\"");
        }
    }));
}
