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
use tokio::sync::mpsc::UnboundedReceiver;

use crate::clients::ClientTable;
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
use crate::settings::store_move::{self, StoreMove};
use crate::settings::{reload, MeshSettings};
use crate::state::MeshShared;
use crate::stop::{StopSignals, StopState};
use crate::supervision::{log_panics, spawn_restartable, TaskSupervisor};
use crate::versions::{self, VersionState};
use crate::zone_load::{self, ZoneLoadState};
use crate::{
    control, feeds, ingress, metrics, organisations, plan, ready, rows, serve_peers, shutdowns,
    sockets, status, stop,
};

/// Why the daemon ended other than by a planned stop.
#[derive(Debug)]
pub enum MeshError {
    /// The daemon could not listen on an address.
    Listen,
    /// A signal handler could not be installed.
    Signals,
    /// A task panicked that cannot be started again.
    TaskLost,
}

impl fmt::Display for MeshError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MeshError::Listen => "could not start listening",
            MeshError::Signals => "could not install signal handlers",
            MeshError::TaskLost => "a task that the daemon cannot do without has ended",
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
/// [`MeshError`] if the daemon cannot listen on an address or install a signal handler, or
/// if a task is lost that it cannot do without.
pub async fn run(settings: MeshSettings, path: PathBuf) -> Result<(), Report<MeshError>> {
    log_panics();
    let stop_signals = StopSignals::install().change_context(MeshError::Signals)?;
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
            let mut lost_tasks = start(&shared, listeners, path);
            tokio::select! {
                () = stop::drain_on_signal(shared, stop_signals) => Ok(()),
                Some(task) = lost_tasks.recv() => {
                    Err(Report::new(MeshError::TaskLost).attach(task))
                }
            }
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
        store_move: StoreMove::default(),
        store_era: Cell::new(None),
        stop: StopState::default(),
        seed: rand::random(),
        clock,
    })
}

/// Starts the daemon's tasks on the current `LocalSet`. Returns the receiver of the names
/// of tasks that are lost for good.
fn start(
    shared: &Rc<MeshShared>,
    listeners: Listeners,
    path: PathBuf,
) -> UnboundedReceiver<&'static str> {
    let (supervisor, lost_tasks) = TaskSupervisor::new();
    let machine = shared.settings.borrow().machine.size();
    let clients = ClientTable::new(
        machine,
        Rc::clone(&shared.metrics),
        Rc::clone(&shared.clock),
    );
    start_listeners(shared, &clients, listeners, &supervisor);
    start_reports(shared);
    start_rollouts(shared);
    start_store_access(shared);
    restartable(shared, "link_plan", plan::maintain_link_plan);
    restartable(shared, "zone_load", zone_load::share_load);
    restartable(
        shared,
        "pool_leases",
        organisations::pools::leases::maintain_pool_leases,
    );
    restartable(shared, "store_address", store_move::follow_store_address);
    restartable(shared, "settings", move |shared| {
        watch_settings(shared, Rc::clone(&clients), path.clone())
    });
    lost_tasks
}

/// Starts a task that keeps all that must last in `shared`.
fn restartable<F>(
    shared: &Rc<MeshShared>,
    name: &'static str,
    task: impl Fn(Rc<MeshShared>) -> F + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    let shared = Rc::clone(shared);
    spawn_restartable(name, move || Box::pin(task(Rc::clone(&shared))));
}

fn start_listeners(
    shared: &Rc<MeshShared>,
    clients: &Rc<ClientTable>,
    listeners: Listeners,
    supervisor: &TaskSupervisor,
) {
    let shared = || Rc::clone(shared);
    supervisor.spawn_essential(
        "control",
        Box::pin(control::serve(shared(), listeners.control)),
    );
    supervisor.spawn_essential("ready", Box::pin(ready::serve(shared(), listeners.ready)));
    supervisor.spawn_essential(
        "calls",
        Box::pin(ingress::serve(
            shared(),
            Rc::clone(clients),
            listeners.calls,
        )),
    );
    supervisor.spawn_essential(
        "peers",
        Box::pin(serve_peers::serve(
            shared(),
            Rc::clone(clients),
            listeners.peers,
        )),
    );
    if let Some(listener) = listeners.metrics {
        supervisor.spawn_essential(
            "metrics",
            Box::pin(metrics::server::serve(
                shared(),
                Rc::clone(clients),
                listener,
            )),
        );
    }
}

/// Starts the tasks of the gate and those that tell other daemons of it.
fn start_reports(shared: &Rc<MeshShared>) {
    restartable(shared, "queue_expiry", |shared| {
        Rc::clone(&shared.gate).run_queue_expiry()
    });
    restartable(shared, "status", status::send_updates);
    restartable(shared, "quarantine", quarantine::send_updates);
}

fn start_rollouts(shared: &Rc<MeshShared>) {
    restartable(shared, "rollout_news", rollouts::replication::send_updates);
    restartable(
        shared,
        "rollout_stages",
        rollouts::replication::apply_stages_to_gate,
    );
    restartable(
        shared,
        "rollout_counts",
        rollouts::replication::report_run_counts,
    );
    restartable(shared, "rollout_decisions", rollouts::decide::decide_stages);
    restartable(
        shared,
        "rollout_rows",
        rollouts::row_writer::run_rollout_writer,
    );
}

/// Starts the tasks that read and write the store.
fn start_store_access(shared: &Rc<MeshShared>) {
    restartable(shared, "own_row", rows::maintain_own_row);
    restartable(shared, "row_writer", rows::run_row_writer);
    restartable(
        shared,
        "shutdown_rows",
        shutdowns::restore::restore_shutdowns,
    );
    restartable(
        shared,
        "shutdown_expiry",
        shutdowns::expiry::remove_expired_rows,
    );
    restartable(
        shared,
        "oversized_versions",
        versions::announce_oversized_versions,
    );
    restartable(shared, "configuration", feeds::watch_configuration);
    restartable(shared, "membership", feeds::watch_members);
}

async fn watch_settings(shared: Rc<MeshShared>, clients: Rc<ClientTable>, path: PathBuf) {
    if let Err(error) = reload::watch_settings_file(shared, clients, path).await {
        log::error!("event=reload_unwatched error=\"{error}\"");
    }
}
