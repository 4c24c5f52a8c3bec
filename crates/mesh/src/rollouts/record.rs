//! Agrees on roll-outs in the store: that one was begun, how far it is, and how
//! it ended.
//!
//! Each is written under the condition that the row is as this daemon knows
//! it, together with what the operator reads. Of two daemons that decide one is
//! turned away, and takes over what stands there.

use std::rc::Rc;
use std::time::Duration;

use filbert_platform::rollouts::{self, RolloutState};
use filbert_platform::store::{RowCondition, RowEdit, StoreRow, TransactionOutcome};
use filbert_policy::rollout::record::{OrderId, RolloutRecord, RolloutStage};
use filbert_policy::store_access::backoff_delay;
use rand::Rng;

use super::row::{key_of, RolloutRow};
use super::RolloutEntry;
use crate::rows::HOSTS_TABLE;
use crate::state::MeshShared;

/// How often rows are looked at though nobody asked for it: a daemon may have
/// come to ask the store for the fleet meanwhile.
const LOOK_EVERY: Duration = Duration::from_secs(1);

impl MeshShared {
    /// Takes a row of the operator's table.
    pub fn take_rollout_order(&self, row: &StoreRow) {
        let Some(order) = rollouts::decode_order(row) else {
            return;
        };
        let id = OrderId {
            era: self.store.era(),
            version: row.version,
        };
        let record = RolloutRecord::ordered(&order.service, &order.to, order.allowed, id);
        self.rollouts.take_order(record);
    }

    /// Takes a row of the table of hosts that is a roll-out's.
    pub fn take_rollout_row(&self, row: &StoreRow) {
        let Some(stored) = RolloutRow::read(row) else {
            return;
        };
        let now = self.store.clock_at(self.clock.now());
        let elapsed = now.unwrap_or_default().saturating_sub(stored.ordered_at);
        self.rollouts.take_row(&stored, row.version, elapsed);
    }
}

/// Writes what is to be agreed, while this daemon asks the store for the fleet.
/// Runs for ever.
pub async fn keep_recorded(shared: Rc<MeshShared>) {
    let mut failures = 0;
    shared.rollouts.until_used().await;
    loop {
        let unwritten = shared.rollouts.has_unwritten.notified();
        let _ = tokio::time::timeout(LOOK_EVERY, unwritten).await;
        if !shared.members.is_source() {
            continue;
        }
        for service in shared.rollouts.services() {
            let due = shared.rollouts.entry(&service).and_then(|entry| {
                let record = record_to_write(&shared, &entry)?;
                Some((entry, record))
            });
            let Some((entry, record)) = due else {
                continue;
            };
            if write(&shared, &entry, record).await {
                failures = 0;
                continue;
            }
            failures += 1;
            let spread = rand::rng().random();
            tokio::time::sleep(backoff_delay(failures, shared.store_access(), spread)).await;
            shared.rollouts.has_unwritten.notify_one();
        }
    }
}

/// What is to be written of a roll-out, if anything is.
fn record_to_write(shared: &MeshShared, entry: &RolloutEntry) -> Option<RolloutRecord> {
    let record = &entry.record;
    if record.stage.is_final() {
        let is_due = !record.is_written || !entry.is_recorded;
        let written = RolloutRecord {
            is_written: true,
            ..record.clone()
        };
        return is_due.then_some(written);
    }
    if !entry.is_recorded {
        return Some(record.clone());
    }
    let host = shared.settings.borrow().id.clone();
    let Some(reason) = entry.completes else {
        // Operators see how far it is; whoever decided so writes it.
        let is_news = record.step > entry.recorded_step && record.decided_by == host;
        return is_news.then(|| record.clone());
    };
    let mut completed = record.next(RolloutStage::Completed, reason, &host);
    completed.is_written = true;
    Some(completed)
}

/// Writes `record`; false when the store did not say what became of it.
async fn write(shared: &MeshShared, entry: &RolloutEntry, record: RolloutRecord) -> bool {
    let era = shared.store.era();
    let now = shared.clock.now();
    let elapsed = now.saturating_duration_since(entry.ordered);
    let store_now = shared.store.clock_at(now).unwrap_or_default();
    let stored = RolloutRow {
        record,
        ordered_at: store_now.saturating_sub(elapsed),
        evidence: entry.evidence.clone(),
    };
    let service = entry.record.service.as_str();
    let (key, status_key) = (key_of(service), rollouts::status_key(service));
    let conditions = [RowCondition {
        table: HOSTS_TABLE,
        key: &key,
        version: entry.row_at,
    }];
    let edits = [
        RowEdit {
            table: HOSTS_TABLE,
            key: &key,
            value: Some(stored.value()),
        },
        RowEdit {
            table: rollouts::STATUS_TABLE,
            key: &status_key,
            value: Some(rollouts::status_value(
                state_of(stored.record.stage),
                &stored.record.to,
            )),
        },
    ];
    let end = shared.store.edit_rows_if(&conditions, &edits).await;
    if shared.store.era() != era {
        // What the write rested on is another store's: it is read anew.
        return false;
    }
    match end {
        Ok(TransactionOutcome::Committed { version }) => {
            shared.metrics.record_store_call("rollout", "answered");
            log::info!(
                "event=rollout_written service={service} to={} stage={:?} version={version} {}",
                stored.record.to,
                stored.record.stage,
                stored.evidence
            );
            shared.rollouts.take_row(&stored, version, elapsed);
            true
        }
        Ok(TransactionOutcome::Conflict(rows)) => {
            shared.metrics.record_store_call("rollout", "changed");
            log::info!(
                "event=rollout_row_changed service={service} expected={} found={:?}",
                entry.row_at,
                rows.iter().map(|row| row.version).collect::<Vec<_>>()
            );
            match rows.iter().find(|row| row.key == key) {
                Some(row) if row.value.is_some() => shared.take_rollout_row(row),
                _ => shared.rollouts.row_is_missing(service),
            }
            true
        }
        Err(report) => {
            shared.metrics.record_store_call("rollout", "failed");
            log::warn!(
                "event=rollout_unwritten service={service} stage={:?} error=\"{}\"",
                stored.record.stage,
                report.current_context()
            );
            false
        }
    }
}

fn state_of(stage: RolloutStage) -> RolloutState {
    match stage {
        RolloutStage::Trial { .. } | RolloutStage::Moved => RolloutState::Running,
        RolloutStage::RolledBack => RolloutState::RolledBack,
        RolloutStage::Completed => RolloutState::Completed,
    }
}
