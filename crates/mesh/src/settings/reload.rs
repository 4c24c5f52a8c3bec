//! Reloads the settings file when it has changed: at once on SIGHUP, otherwise within a
//! second.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};

use super::changes::{changed_keys, without_restart_keys, KeyEffect};
use super::MeshSettings;
use crate::clients::ClientTable;
use crate::state::MeshShared;

/// Interval at which the settings file is read to detect changes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the settings file at `path` and applies its changes. Runs until the process
/// ends.
///
/// # Errors
/// If the handler for SIGHUP cannot be installed.
pub async fn watch_settings_file(
    shared: Rc<MeshShared>,
    clients: Rc<ClientTable>,
    path: PathBuf,
) -> std::io::Result<()> {
    let mut sighup = signal(SignalKind::hangup())?;
    // Empty, so that a change between the start of the process and now is found.
    let mut text = String::new();
    loop {
        let is_requested = tokio::select! {
            _ = sighup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let new_text = match std::fs::read_to_string(&path) {
            Ok(new_text) => new_text,
            Err(error) => {
                if is_requested {
                    log::error!("event=reload_failed error=\"{error}\"");
                }
                continue;
            }
        };
        if new_text == text {
            if is_requested {
                log::info!("event=reloaded changed=false");
            }
            continue;
        }
        match MeshSettings::parse(&new_text) {
            Ok(settings) => apply_reload(&shared, &clients, settings, is_requested),
            // The file may be incomplete because it is being written. The old settings
            // stay in force until it is valid.
            Err(report) => {
                let file = path.display();
                let error = report.current_context();
                log::error!("event=reload_failed file={file} error=\"{error}\"");
            }
        }
        text = new_text;
    }
}

/// Puts changed settings in force, apart from the keys that take a restart.
fn apply_reload(
    shared: &MeshShared,
    clients: &ClientTable,
    settings: MeshSettings,
    is_requested: bool,
) {
    let old_settings = Rc::clone(&shared.settings.borrow());
    let changed_keys = changed_keys(&old_settings, &settings);
    for changed in &changed_keys {
        if changed.effect == KeyEffect::Restart {
            let key = changed.key;
            log::warn!("event=reload_partial key={key} reason=\"takes a restart\"");
        }
    }
    shared.metrics.set_unfollowed_keys(
        changed_keys
            .iter()
            .filter(|changed| changed.effect == KeyEffect::Restart)
            .count(),
    );
    let settings = without_restart_keys(&old_settings, settings);
    if settings == *old_settings {
        if is_requested && changed_keys.is_empty() {
            log::info!("event=reloaded changed=false");
        }
        return;
    }
    let names: Vec<&str> = changed_keys
        .iter()
        .filter(|changed| changed.effect != KeyEffect::Restart)
        .map(|changed| changed.key)
        .collect();
    log::info!(
        "event=reloaded changed=true ordered={is_requested} service={} target={} keys={}",
        settings.service,
        settings.target,
        names.join(",")
    );
    shared.gate.apply_settings(settings.target, &settings.times);
    shared.egress.set_rate(settings.link.mbps);
    clients.set_machine(settings.machine.size());
    shared.organisations.apply_settings(&settings);
    shared
        .retry_budget
        .borrow_mut()
        .set_limits(settings.retry_budget_limits(), shared.clock.now());
    let old_address = shared.own_address();
    *shared.settings.borrow_mut() = Rc::new(settings);
    shared.store_move.requested.notify_waiters();
    shared.members.changed.notify_one();
    if shared.own_address() != old_address {
        shared.members.rows.mark_own_unregistered();
    }
}
