//! Removes the rows of targets that have ended long ago. Their hosts are mostly gone too.

use std::rc::Rc;
use std::time::Duration;

use super::row::{ShutdownRow, KEY_PREFIX};
use crate::messages::RowChange;
use crate::rows::HOSTS_TABLE;
use crate::state::MeshShared;

/// How often the daemons that access the store for the fleet look for expired rows.
const EXPIRY_INTERVAL: Duration = Duration::from_mins(10);

/// Removes expired rows while this daemon accesses the store for the fleet. Never returns.
pub async fn remove_expired_rows(shared: Rc<MeshShared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        if !shared.members.is_source() {
            continue;
        }
        // A failed read is made up for by the next one.
        let Ok(rows) = shared.store.read_prefix(HOSTS_TABLE, KEY_PREFIX).await else {
            shared.metrics.record_store_call("shutdown", "failed");
            continue;
        };
        shared.metrics.record_store_call("shutdown", "answered");
        let clock = shared.clock.reading();
        let expired = rows.iter().filter(|row| {
            let shutdown = shared.read_row(row, ShutdownRow::decode);
            shutdown.is_some_and(|shutdown| shutdown.is_expired(&clock))
        });
        for row in expired {
            let change = RowChange::Remove(row.key.clone());
            shared.members.rows.enqueue_change(change);
        }
    }
}
