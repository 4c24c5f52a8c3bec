//! Starts the daemon's parts, wires them together, and sees a planned stop
//! through.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use error_stack::{Report, ResultExt};
use filbert_store::PlatformClient;
use rocket::config::Shutdown;
use rocket::fairing::AdHoc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

use crate::admin::{self, AdminShared};
use crate::clock::{Clock, SystemClock};
use crate::control::{ControlEvent, ControlSettings, ControlState, StatusView};
use crate::counters::DaemonCounters;
use crate::links::{serve_peers, PeerSenders, PingTimes};
use crate::platform_calls::PlatformCalls;
use crate::proxy::{ProxyHandler, ProxyShared};
use crate::runner::ControlRunner;
use crate::settings::DaemonSettings;

/// Why the daemon stopped other than by a planned stop.
#[derive(Debug)]
pub enum DaemonError {
    /// A listener could not be started.
    Listen,
    /// The order to stop could not be watched for.
    Signal,
    /// The control loop broke an invariant and stopped.
    Control,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DaemonError::Listen => formatter.write_str("could not start listening"),
            DaemonError::Signal => formatter.write_str("could not watch for the order to stop"),
            DaemonError::Control => formatter.write_str("the control loop stopped"),
        }
    }
}

impl std::error::Error for DaemonError {}

/// Capacity of the control event queue.
const EVENT_QUEUE: usize = 1024;
/// Longest time between ticks of the reducer. Short against the poll interval:
/// a poll that just misses its tick waits for the next one.
const TICK: Duration = Duration::from_millis(50);
/// Time a planned stop gives the lease release and the farewells to leave.
const FAREWELL: Duration = Duration::from_millis(150);

/// Runs the daemon until a planned stop (SIGTERM or Ctrl-C), which lets
/// calls in flight finish within the grace period.
///
/// # Errors
/// [`DaemonError::Listen`] when the proxy, admin or relay port cannot be
/// bound; [`DaemonError::Signal`] when signals cannot be watched;
/// [`DaemonError::Control`] when the control loop panicked.
pub async fn run(settings: DaemonSettings) -> Result<(), Report<DaemonError>> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let counters = Arc::new(DaemonCounters::new());
    let platform = PlatformClient::new(&settings.platform, settings.timeouts.platform());
    let proxy = Arc::new(ProxyShared::new(
        Arc::clone(&counters),
        platform.clone(),
        Arc::clone(&clock),
    ));
    let status = Arc::new(ArcSwap::from_pointee(StatusView::default()));
    let (events, received) = mpsc::channel(EVENT_QUEUE);
    let peers = PeerSenders::default();
    let listener = TcpListener::bind(settings.relay_listen)
        .await
        .change_context(DaemonError::Listen)
        .attach(format!("relay port {}", settings.relay_listen))?;
    tokio::spawn(serve_peers(
        listener,
        peers.clone(),
        events.clone(),
        Arc::clone(&counters),
    ));
    let runner = ControlRunner {
        calls: PlatformCalls {
            platform,
            zone: settings.zone.clone(),
            events: events.clone(),
            counters: Arc::clone(&counters),
        },
        proxy: Arc::clone(&proxy),
        status: Arc::clone(&status),
        peers,
        events: events.clone(),
        pings: PingTimes {
            every: settings.relay.ping(),
            silence: settings.relay.silence(),
        },
        clock: Arc::clone(&clock),
        uplinks: HashMap::new(),
    };
    let control = ControlState::new(
        ControlSettings::from_daemon(&settings, incarnation(clock.as_ref())),
        clock.reading(),
    );
    let tick = settings.timeouts.poll_interval().min(TICK);
    let control_loop = tokio::spawn(runner.run(control, received, tick));
    let admin_shared = AdminShared {
        events: events.clone(),
        status,
        counters,
    };
    // Guards against a daemon that proxies on with a dead control loop (seen
    // as one proxy that never gets another version): without the loop the
    // process ends, and its host starts it anew.
    tokio::select! {
        served = serve(&settings, proxy, admin_shared, events) => served,
        _ = control_loop => Err(Report::new(DaemonError::Control)),
    }
}

/// Serves callers and operators until a planned stop is through.
async fn serve(
    settings: &DaemonSettings,
    proxy: Arc<ProxyShared>,
    admin_shared: AdminShared,
    events: mpsc::Sender<ControlEvent>,
) -> Result<(), Report<DaemonError>> {
    let stopping = AdHoc::on_shutdown("hand the relay over", move |_| {
        Box::pin(async move {
            let _ = events.send(ControlEvent::Stopping).await;
        })
    });
    let proxy_server = rocket::custom(server_config(settings, settings.proxy_listen))
        .attach(stopping)
        .mount("/", ProxyHandler::routes(proxy));
    let admin_server = rocket::custom(server_config(settings, settings.admin_listen))
        .manage(admin_shared)
        .mount("/", admin::routes());
    log::info!(
        "event=started id={} zone={} proxy={} admin={} relay={}",
        settings.id,
        settings.zone,
        settings.proxy_listen,
        settings.admin_listen,
        settings.relay_listen
    );
    let proxy_server = proxy_server
        .ignite()
        .await
        .change_context(DaemonError::Listen)?;
    let admin_server = admin_server
        .ignite()
        .await
        .change_context(DaemonError::Listen)?;
    let (stop_proxy, stop_admin) = (proxy_server.shutdown(), admin_server.shutdown());
    let mut ordered = signal(SignalKind::terminate()).change_context(DaemonError::Signal)?;
    let mut interrupted = signal(SignalKind::interrupt()).change_context(DaemonError::Signal)?;
    let mut serving = pin!(async { tokio::join!(proxy_server.launch(), admin_server.launch()) });
    // Guards against a stop that cuts every call under way (seen as "shutdown
    // failed" within a few milliseconds, in some 1 of 200 stops under load): a
    // server told to stop by another thread while it is taking a connection
    // takes the end of its accept loop for its own. Here it is told in its own
    // task, between two polls, and always sees the order first.
    let (proxy_done, admin_done) = tokio::select! {
        done = &mut serving => done,
        () = async {
            tokio::select! {
                _ = ordered.recv() => {}
                _ = interrupted.recv() => {}
            }
        } => {
            stop_proxy.notify();
            stop_admin.notify();
            serving.await
        }
    };
    proxy_done.change_context(DaemonError::Listen)?;
    admin_done.change_context(DaemonError::Listen)?;
    tokio::time::sleep(FAREWELL).await;
    log::info!("event=stopped id={}", settings.id);
    Ok(())
}

/// A number unique to this start of the daemon.
fn incarnation(clock: &dyn Clock) -> u64 {
    let started = clock.reading().wall_ms();
    (started << 20) ^ u64::from(rand::random::<u32>())
}

fn server_config(settings: &DaemonSettings, listen: SocketAddr) -> rocket::Config {
    let grace =
        u32::try_from(settings.timeouts.shutdown_grace_ms.div_ceil(1000)).unwrap_or(u32::MAX);
    rocket::Config {
        address: listen.ip(),
        port: listen.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        // The order to stop is watched for in [`serve`].
        shutdown: Shutdown {
            ctrlc: false,
            signals: HashSet::new(),
            grace,
            mercy: 1,
            ..Shutdown::default()
        },
        ..rocket::Config::release_default()
    }
}
