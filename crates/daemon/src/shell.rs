//! The I/O shell around the reducer: a timer and the admin edge feed events
//! in, and each effect becomes a platform call, a swap, or a log line.

use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use error_stack::{Report, ResultExt};
use filbert_platform::{CurrentPointer, PlatformClient, RowExpect, TableKey, TargetRecord};
use filbert_tree::VersionCodec;
use rocket::config::Shutdown;
use tokio::sync::mpsc;

use crate::admin::{self, AdminShared};
use crate::clock::{Clock, SystemClock};
use crate::control::{
    ControlEffect, ControlEvent, ControlSettings, ControlState, PlatformStep, StateChange,
    StatusView,
};
use crate::counters::DaemonCounters;
use crate::proxy::{AppliedConfig, ProxyHandler, ProxyShared};
use crate::settings::DaemonSettings;

/// Why the daemon stopped other than by a planned stop.
#[derive(Debug)]
pub enum DaemonError {
    /// A listener could not be started.
    Listen,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DaemonError::Listen => formatter.write_str("could not start listening"),
        }
    }
}

impl std::error::Error for DaemonError {}

/// Capacity of the control event queue.
const EVENT_QUEUE: usize = 1024;

/// Runs the daemon until a planned stop (SIGTERM or Ctrl-C), which lets
/// calls in flight finish within the grace period.
///
/// # Errors
/// [`DaemonError::Listen`] when the proxy or admin port cannot be bound.
pub async fn run(settings: DaemonSettings) -> Result<(), Report<DaemonError>> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let counters = Arc::new(DaemonCounters::new());
    let proxy = Arc::new(ProxyShared::new(Arc::clone(&counters)));
    let status = Arc::new(ArcSwap::from_pointee(StatusView::default()));
    let (events_tx, events_rx) = mpsc::channel(EVENT_QUEUE);
    let platform = PlatformClient::new(&settings.platform, settings.timeouts.platform());
    let control = ControlState::new(ControlSettings {
        id: settings.id.clone(),
        zone: settings.zone.clone(),
        target_expiry: settings.timeouts.target_expiry(),
        refresh: std::time::Duration::from_secs(1),
    });
    let runner = ControlRunner {
        platform,
        zone: settings.zone.clone(),
        proxy: Arc::clone(&proxy),
        status: Arc::clone(&status),
        events: events_tx.clone(),
    };
    tokio::spawn(runner.run(
        control,
        events_rx,
        Arc::clone(&clock),
        settings.timeouts.poll(),
    ));

    let admin_shared = AdminShared {
        events: events_tx,
        status,
        counters,
        clock,
    };
    let proxy_server = rocket::custom(server_config(&settings, settings.proxy_listen))
        .mount("/", ProxyHandler::routes(proxy));
    let admin_server = rocket::custom(server_config(&settings, settings.admin_listen))
        .manage(admin_shared)
        .mount("/", admin::routes());
    log::info!(
        "event=started id={} zone={} proxy={} admin={}",
        settings.id,
        settings.zone,
        settings.proxy_listen,
        settings.admin_listen
    );
    let (proxy_done, admin_done) = tokio::join!(proxy_server.launch(), admin_server.launch());
    proxy_done.change_context(DaemonError::Listen)?;
    admin_done.change_context(DaemonError::Listen)?;
    log::info!("event=stopped id={}", settings.id);
    Ok(())
}

fn server_config(settings: &DaemonSettings, listen: std::net::SocketAddr) -> rocket::Config {
    let grace =
        u32::try_from(settings.timeouts.shutdown_grace_ms.div_ceil(1000)).unwrap_or(u32::MAX);
    rocket::Config {
        address: listen.ip(),
        port: listen.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown: Shutdown {
            grace,
            mercy: 1,
            ..Shutdown::default()
        },
        ..rocket::Config::release_default()
    }
}

/// Carries out effects. Platform calls run as their own tasks and report
/// back as events, so a slow platform never stalls the reducer.
struct ControlRunner {
    platform: PlatformClient,
    zone: String,
    proxy: Arc<ProxyShared>,
    status: Arc<ArcSwap<StatusView>>,
    events: mpsc::Sender<ControlEvent>,
}

impl ControlRunner {
    async fn run(
        self,
        mut control: ControlState,
        mut events: mpsc::Receiver<ControlEvent>,
        clock: Arc<dyn Clock>,
        poll: std::time::Duration,
    ) {
        let mut ticks = tokio::time::interval(poll);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => ControlEvent::Tick { wall_ms: clock.wall_ms() },
                received = events.recv() => match received {
                    Some(event) => event,
                    None => return,
                },
            };
            for effect in control.step(event) {
                self.execute(effect);
            }
            self.status.store(Arc::new(control.view()));
        }
    }

    fn execute(&self, effect: ControlEffect) {
        match effect {
            ControlEffect::ReadCurrent => self.spawn_read_current(),
            ControlEffect::FetchVersion { number, object } => self.spawn_fetch(number, object),
            ControlEffect::ReadTargets => self.spawn_read_targets(),
            ControlEffect::Apply { number, table } => {
                let table = Arc::unwrap_or_clone(table);
                self.proxy
                    .config
                    .store(Arc::new(AppliedConfig { number, table }));
            }
            ControlEffect::ShowTargets { targets } => self.proxy.targets.store(targets),
            ControlEffect::WriteTarget { record } => {
                let key = TableKey::target(&record.zone, &record.service, &record.address);
                self.spawn_write(key, serde_json::to_value(record).unwrap_or_default());
            }
            ControlEffect::Report { status } => {
                let key = TableKey::daemon(&status.zone, &status.id);
                self.spawn_write(key, serde_json::to_value(status).unwrap_or_default());
            }
            ControlEffect::Note { change } => self.note(&change),
        }
    }

    fn note(&self, change: &StateChange) {
        match change {
            StateChange::Applied { bytes, .. } => {
                self.proxy.counters.version_applied();
                self.proxy.counters.control_bytes(*bytes);
            }
            StateChange::Rejected { .. } => self.proxy.counters.version_rejected(),
            StateChange::PlatformLost { .. } => self.proxy.counters.platform_failure(),
            _ => {}
        }
        log::info!("{change}");
    }

    fn spawn_read_current(&self) {
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = match platform.get(TableKey::CURRENT).await {
                Ok(None) => ControlEvent::CurrentRead {
                    number: 0,
                    object: String::new(),
                },
                Ok(Some(row)) => match serde_json::from_value::<CurrentPointer>(row.value) {
                    Ok(pointer) => ControlEvent::CurrentRead {
                        number: pointer.number,
                        object: pointer.object,
                    },
                    Err(_) => ControlEvent::PlatformFailed {
                        step: PlatformStep::ReadCurrent,
                    },
                },
                Err(_) => ControlEvent::PlatformFailed {
                    step: PlatformStep::ReadCurrent,
                },
            };
            let _ = events.send(event).await;
        });
    }

    fn spawn_fetch(&self, number: u64, object: String) {
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let failed = ControlEvent::PlatformFailed {
                step: PlatformStep::FetchVersion,
            };
            let event = match platform.get_object(&object).await {
                Ok(Some(bytes)) => match VersionCodec::decode(&bytes) {
                    Ok(record) => ControlEvent::VersionFetched {
                        record: Arc::new(record),
                        bytes: bytes.len(),
                    },
                    Err(reason) => {
                        log::warn!("event=version_undecodable version={number} reason={reason:?}");
                        failed
                    }
                },
                Ok(None) | Err(_) => failed,
            };
            let _ = events.send(event).await;
        });
    }

    fn spawn_read_targets(&self) {
        let platform = self.platform.clone();
        let events = self.events.clone();
        let prefix = TableKey::zone_targets(&self.zone);
        tokio::spawn(async move {
            let event = match platform.scan(&prefix).await {
                Ok(rows) => ControlEvent::TargetsRead {
                    records: rows
                        .into_iter()
                        .filter_map(|row| serde_json::from_value::<TargetRecord>(row.value).ok())
                        .collect(),
                },
                Err(_) => ControlEvent::PlatformFailed {
                    step: PlatformStep::ReadTargets,
                },
            };
            let _ = events.send(event).await;
        });
    }

    fn spawn_write(&self, key: String, value: serde_json::Value) {
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            // Status and target rows are rewritten whole every refresh, so a
            // write lost here is repaired by the next one.
            if platform.put(&key, RowExpect::Any, value).await.is_err() {
                let _ = events
                    .send(ControlEvent::PlatformFailed {
                        step: PlatformStep::Write,
                    })
                    .await;
            }
        });
    }
}
