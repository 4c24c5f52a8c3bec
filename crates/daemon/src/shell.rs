//! Starts the control loop and the servers of the daemon, and shuts the daemon down
//! gracefully on SIGTERM or SIGINT.

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

use crate::admin::{self, AdminState};
use crate::allocator::return_large_blocks;
use crate::clients::reaper::end_spare_connections;
use crate::clients::ClientConnections;
use crate::clock::{Clock, SystemClock};
use crate::control::{ControlEvent, ControlSettings, ControlState, StatusView};
use crate::counters::DaemonCounters;
use crate::links::{serve_peers, KeepaliveSettings, PeerSenders};
use crate::platform_calls::PlatformCalls;
use crate::proxy::{ProxyHandler, ProxyShared};
use crate::runner::ControlRunner;
use crate::settings::DaemonSettings;

/// Why the daemon stopped, if not by a graceful shutdown.
#[derive(Debug)]
pub enum DaemonError {
    /// A server could not be started or failed.
    Listen,
    /// The signal handlers could not be installed.
    Signal,
    /// The control loop panicked.
    Control,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DaemonError::Listen => formatter.write_str("could not start listening"),
            DaemonError::Signal => formatter.write_str("could not install signal handlers"),
            DaemonError::Control => formatter.write_str("the control loop stopped"),
        }
    }
}

impl std::error::Error for DaemonError {}

/// Maximum number of connections to the admin port, of targets and operators.
const MAX_ADMIN_CONNECTIONS: usize = 64;
/// Maximum number of events that wait for the control loop.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// Maximum interval between ticks of the reducer. It is short compared to the poll
/// interval, because a poll that is due just after a tick waits for the next one.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between the end of the servers and the end of the process, in which the release
/// of the lease and the goodbye messages are sent.
const GOODBYE_SEND_TIME: Duration = Duration::from_millis(150);

/// Runs the daemon until it has shut down gracefully, on SIGTERM or SIGINT. Calls in
/// progress may finish within the grace period.
///
/// # Errors
/// Returns [`DaemonError::Listen`] if the proxy, admin or relay port cannot be bound or a
/// server fails, [`DaemonError::Signal`] if the signal handlers cannot be installed, and
/// [`DaemonError::Control`] if the control loop panics.
pub async fn run(settings: DaemonSettings) -> Result<(), Report<DaemonError>> {
    return_large_blocks();
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let counters = Arc::new(DaemonCounters::new());
    let platform = PlatformClient::new(&settings.platform, settings.timeouts.platform_timeout());
    let proxy = Arc::new(ProxyShared::new(
        Arc::clone(&counters),
        platform.clone(),
        settings.proxy_listen.port(),
        Arc::clone(&clock),
    ));
    tokio::spawn(end_spare_connections(
        Arc::clone(&proxy.clients),
        settings.proxy_listen.port(),
    ));
    let admin_connections =
        ClientConnections::with_uncounted_calls(MAX_ADMIN_CONNECTIONS, Arc::clone(&clock));
    tokio::spawn(end_spare_connections(
        Arc::new(admin_connections),
        settings.admin_listen.port(),
    ));
    let status = Arc::new(ArcSwap::from_pointee(StatusView::default()));
    let (events, received) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let peers = PeerSenders::default();
    let listener = TcpListener::bind(settings.relay_listen)
        .await
        .change_context(DaemonError::Listen)
        .attach(format!("relay port {}", settings.relay_listen))?;
    tokio::spawn(serve_peers(
        listener,
        proxy.clients.max_pending_links(),
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
            skipped_targets: Arc::default(),
        },
        proxy: Arc::clone(&proxy),
        status: Arc::clone(&status),
        peers,
        events: events.clone(),
        keepalive: KeepaliveSettings {
            interval: settings.relay.ping_interval(),
            timeout: settings.relay.ping_timeout(),
        },
        clock: Arc::clone(&clock),
        relay_queues: HashMap::new(),
    };
    let control = ControlState::new(
        ControlSettings::from_daemon_settings(&settings, new_incarnation(clock.as_ref())),
        clock.reading(),
    );
    let tick_interval = settings.timeouts.poll_interval().min(MAX_TICK_INTERVAL);
    let control_loop = tokio::spawn(runner.run(control, received, tick_interval));
    let admin_state = AdminState {
        events: events.clone(),
        status,
        counters,
    };
    // Ends the process if the control loop ends, so that the host restarts it.
    // Otherwise the daemon would go on proxying calls but never get another version.
    tokio::select! {
        served = serve(&settings, proxy, admin_state, events) => served,
        _ = control_loop => Err(Report::new(DaemonError::Control)),
    }
}

/// Runs the proxy and admin servers until a graceful shutdown is complete.
async fn serve(
    settings: &DaemonSettings,
    proxy: Arc<ProxyShared>,
    admin_state: AdminState,
    events: mpsc::Sender<ControlEvent>,
) -> Result<(), Report<DaemonError>> {
    let notify_control_loop = AdHoc::on_shutdown("notify the control loop", move |_| {
        Box::pin(async move {
            let _ = events.send(ControlEvent::Stopping).await;
        })
    });
    let proxy_server = rocket::custom(server_config(settings, settings.proxy_listen))
        .attach(notify_control_loop)
        .mount("/", ProxyHandler::routes(proxy));
    let admin_server = rocket::custom(server_config(settings, settings.admin_listen))
        .manage(admin_state)
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
    let mut sigterm = signal(SignalKind::terminate()).change_context(DaemonError::Signal)?;
    let mut sigint = signal(SignalKind::interrupt()).change_context(DaemonError::Signal)?;
    let mut servers = pin!(async { tokio::join!(proxy_server.launch(), admin_server.launch()) });
    // Notifies the servers of the shutdown from the task that polls them, so that they
    // always see the notification before their accept loop ends. If another thread
    // notifies a server while it accepts a connection, the server takes the end of its
    // accept loop for the end of the server and aborts all calls in progress: some 1 of
    // 200 shutdowns under load failed with "shutdown failed" within a few milliseconds.
    let (proxy_result, admin_result) = tokio::select! {
        results = &mut servers => results,
        () = async {
            tokio::select! {
                _ = sigterm.recv() => {}
                _ = sigint.recv() => {}
            }
        } => {
            stop_proxy.notify();
            stop_admin.notify();
            servers.await
        }
    };
    proxy_result.change_context(DaemonError::Listen)?;
    admin_result.change_context(DaemonError::Listen)?;
    tokio::time::sleep(GOODBYE_SEND_TIME).await;
    log::info!("event=stopped id={}", settings.id);
    Ok(())
}

/// Returns a number that distinguishes this start of the daemon from earlier ones. It is
/// made of the wall-clock time in milliseconds and random bits.
fn new_incarnation(clock: &dyn Clock) -> u64 {
    let started_ms = clock.reading().wall_ms();
    (started_ms << 20) ^ u64::from(rand::random::<u32>())
}

/// Returns the configuration of a server that listens at `listen`. The grace period is
/// rounded up to whole seconds, since Rocket takes no fractions.
fn server_config(settings: &DaemonSettings, listen: SocketAddr) -> rocket::Config {
    let grace =
        u32::try_from(settings.timeouts.shutdown_grace_ms.div_ceil(1000)).unwrap_or(u32::MAX);
    rocket::Config {
        address: listen.ip(),
        port: listen.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        // [`serve`] handles the signals.
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
