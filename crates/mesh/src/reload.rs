//! Reloads the settings file when it has changed: at once on SIGHUP, otherwise within a
//! second.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};

use crate::settings::MeshSettings;
use crate::state::MeshShared;

/// Interval at which the settings file is read to detect changes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the settings file at `path` and applies its changes. Runs until the process
/// ends.
///
/// # Errors
/// If the handler for SIGHUP cannot be installed.
pub async fn watch_settings_file(shared: Rc<MeshShared>, path: PathBuf) -> std::io::Result<()> {
    let mut sighup = signal(SignalKind::hangup())?;
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
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
            Ok(settings) => apply_reload(&shared, settings, is_requested),
            // The file may be incomplete because it is being written. The old settings
            // stay in force until it is valid.
            Err(report) => {
                log::error!("event=reload_failed error=\"{}\"", report.current_context());
            }
        }
        text = new_text;
    }
}

/// Puts changed settings in force. Changes of `listen` take effect only after a restart.
fn apply_reload(shared: &MeshShared, settings: MeshSettings, is_requested: bool) {
    let old_settings = Rc::clone(&shared.settings.borrow());
    if old_settings.listen != settings.listen {
        log::warn!("event=reload_partial key=listen reason=\"takes a restart\"");
    }
    log::info!(
        "event=reloaded changed=true ordered={is_requested} service={} target={}",
        settings.service,
        settings.target
    );
    shared.gate.apply_settings(settings.target, &settings.times);
    shared.egress.set_rate(settings.link.mbps);
    shared.organisations.apply_settings(&settings);
    let old_address = shared.own_address();
    *shared.settings.borrow_mut() = Rc::new(settings);
    shared.members.changed.notify_one();
    if shared.own_address() != old_address {
        shared.members.rows.mark_own_unregistered();
    }
}
