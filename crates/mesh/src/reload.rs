//! Takes over changes of the settings file, announced by SIGHUP or not.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};

use crate::settings::MeshSettings;
use crate::state::MeshShared;

/// How often the settings file is looked at.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Watches the settings file at `path`. Runs for ever.
///
/// # Errors
/// When the signal cannot be watched.
pub async fn watch_settings_file(shared: Rc<MeshShared>, path: PathBuf) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let ordered = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(LOOK_EVERY) => false,
        };
        let read = match std::fs::read_to_string(&path) {
            Ok(read) => read,
            Err(error) => {
                if ordered {
                    log::error!("event=reload_failed error=\"{error}\"");
                }
                continue;
            }
        };
        if read == text {
            if ordered {
                log::info!("event=reloaded changed=false");
            }
            continue;
        }
        match MeshSettings::parse(&read) {
            Ok(settings) => take_over(&shared, settings, ordered),
            // A file that is being written reads as half a file; what is in
            // force stays until a whole one is there.
            Err(report) => {
                log::error!("event=reload_failed error=\"{}\"", report.current_context());
            }
        }
        text = read;
    }
}

fn take_over(shared: &MeshShared, settings: MeshSettings, ordered: bool) {
    let before = Rc::clone(&shared.settings.borrow());
    if before.listen != settings.listen {
        log::warn!("event=reload_partial key=listen reason=\"takes a restart\"");
    }
    log::info!(
        "event=reloaded changed=true ordered={ordered} service={} target={}",
        settings.service,
        settings.target
    );
    shared.gate.set_terms(settings.target, &settings.times);
    shared.egress.set_rate(settings.link.mbps);
    shared.organisations.set_terms(&settings);
    let address = shared.own_address();
    *shared.settings.borrow_mut() = Rc::new(settings);
    shared.members.changed.notify_one();
    if shared.own_address() != address {
        shared.members.rows.miss_own();
    }
}
