//! Reads which shutdowns this host's daemon acknowledged before it was restarted.

use std::rc::Rc;
use std::time::Duration;

use filbert_platform::store::StoreRow;
use filbert_policy::instance::InstanceKey;
use rand::Rng;

use super::row::{host_prefix, ShutdownRow};
use crate::rows::HOSTS_TABLE;
use crate::state::MeshShared;

/// Delay after the first failed read; it doubles with each further one. Meanwhile a live
/// target gets calls by its second report.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum delay after a failed read: during a long outage, the reads of restarted daemons
/// must not add up.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Reads this host's rows once the target reports itself, unless all rows are read before.
/// Ends when they are known.
///
/// The first reports of the targets of a restarted fleet are spread over the interval of
/// the reports, and with them the calls to the store.
pub async fn restore_shutdowns(shared: Rc<MeshShared>) {
    let prefix = host_prefix(&shared.settings.borrow().id);
    let mut retry_delay = MIN_RETRY_DELAY;
    shared.gate.first_report().await;
    while !shared.gate.are_shutdowns_known() {
        match shared.store.read_prefix(HOSTS_TABLE, &prefix).await {
            Ok(rows) => {
                shared.metrics.record_store_call("shutdown", "answered");
                apply_shutdown_rows(&shared, &rows);
                return;
            }
            Err(report) => {
                shared.metrics.record_store_call("shutdown", "failed");
                let cause = report.current_context();
                log::warn!("event=shutdowns_unread error=\"{cause}\"");
            }
        }
        let jitter = rand::rng().random_range(0.7..1.0);
        tokio::select! {
            () = tokio::time::sleep(retry_delay.mul_f64(jitter)) => {}
            () = shared.store_returned.notified() => {}
        }
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Applies rows that were read after this process started: all rows of this host are
/// among them.
pub fn apply_shutdown_rows(shared: &MeshShared, rows: &[StoreRow]) {
    if shared.gate.are_shutdowns_known() {
        return;
    }
    let prefix = host_prefix(&shared.settings.borrow().id);
    let instances: Vec<InstanceKey> = rows
        .iter()
        .filter(|row| row.key.starts_with(&prefix))
        .filter_map(|row| shared.read_row(row, ShutdownRow::decode))
        .map(|row| row.instance)
        .collect();
    for instance in &instances {
        log::info!("event=shutdown_restored instance={instance}");
    }
    shared.gate.restore_shutdowns(&instances);
}
