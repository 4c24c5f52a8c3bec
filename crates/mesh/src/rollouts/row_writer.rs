//! Writes roll-outs to the store: their start, their progress and their end.
//!
//! Each write is conditional on the row's version that this daemon knows, and also
//! sets the status that the operator reads. If two deciding daemons write at once,
//! one of the writes fails, and its daemon applies the row that the other wrote.

use std::rc::Rc;
use std::time::Duration;

use filbert_platform::rollouts::{self, RolloutState};
use filbert_platform::store::{RowCondition, RowEdit, StoreRow, TransactionOutcome};
use filbert_policy::rollout::record::{OrderId, RolloutRecord, RolloutStage};
use filbert_policy::store_access::backoff_delay;
use rand::Rng;

use super::row::{rollout_row_key, RolloutRow};
use super::RolloutEntry;
use crate::codec::rows::RowError;
use crate::rows::HOSTS_TABLE;
use crate::state::MeshShared;

/// Interval at which entries are checked without a wake-up, as this daemon may have
/// started to query the store for the fleet since.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl MeshShared {
    /// Applies a row of the operator's table, if it is the order of a roll-out.
    pub fn apply_rollout_order(&self, row: &StoreRow) {
        let Some(order) = rollouts::decode_order(row) else {
            return;
        };
        let id = OrderId {
            era: self.store.era(),
            version: row.version,
        };
        let record = RolloutRecord::ordered(&order.service, &order.to, order.allowed, id);
        self.rollouts.apply_order(record);
    }

    /// Applies a row of the table of hosts that belongs to a roll-out.
    pub fn apply_rollout_row(&self, row: &StoreRow) {
        let decoded = RolloutRow::decode(row);
        let is_broken = matches!(decoded, Err(RowError::Unreadable(_)));
        let Some(stored) = self.read_row(row, |_| decoded.clone()) else {
            if is_broken {
                self.rollouts.replace_row(&row.key, row.version);
            }
            return;
        };
        let now = self.store.clock_at(self.clock.now());
        let elapsed = now.unwrap_or_default().saturating_sub(stored.ordered_at);
        self.rollouts.apply_read_row(stored, row.version, elapsed);
    }
}

/// Writes changed records to the store while this daemon queries the store for the
/// fleet. Retries failed writes with a backoff. Never returns.
pub async fn run_rollout_writer(shared: Rc<MeshShared>) {
    let mut failures = 0;
    shared.rollouts.wait_until_any().await;
    loop {
        let unwritten = shared.rollouts.has_unwritten.notified();
        let _ = tokio::time::timeout(CHECK_INTERVAL, unwritten).await;
        if !shared.members.is_source() {
            continue;
        }
        shared.rollouts.replace_foreign_rows();
        for service in shared.rollouts.services() {
            let due = shared.rollouts.entry(&service).and_then(|entry| {
                let record = record_to_write(&shared, &entry)?;
                Some((entry, record))
            });
            let Some((entry, record)) = due else {
                continue;
            };
            if write_row(&shared, &entry, record).await {
                failures = 0;
                continue;
            }
            failures += 1;
            let jitter = rand::rng().random();
            tokio::time::sleep(backoff_delay(failures, shared.store_access(), jitter)).await;
            shared.rollouts.has_unwritten.notify_one();
        }
    }
}

/// Returns the record to write for a roll-out; `None` if its row is up to date.
fn record_to_write(shared: &MeshShared, entry: &RolloutEntry) -> Option<RolloutRecord> {
    let record = &entry.record;
    if record.stage.is_final() {
        let is_due = !record.is_written || !entry.is_order_stored;
        let written = RolloutRecord {
            is_written: true,
            ..record.clone()
        };
        return is_due.then_some(written);
    }
    if !entry.is_order_stored {
        return Some(record.clone());
    }
    let host = shared.settings.borrow().id.clone();
    let Some(reason) = entry.completion_reason else {
        // Progress is written for operators, by the daemon that decided on the stage.
        let is_unstored_step = record.step > entry.stored_step && record.decided_by == host;
        return is_unstored_step.then(|| record.clone());
    };
    let mut completed = record.next(RolloutStage::Completed, reason, &host);
    completed.is_written = true;
    Some(completed)
}

/// Writes `record` to the store. Returns false if the outcome is unknown or no
/// longer applies, so that the write has to be tried again.
async fn write_row(shared: &MeshShared, entry: &RolloutEntry, record: RolloutRecord) -> bool {
    let era = shared.store.era();
    let now = shared.clock.now();
    let elapsed = now.saturating_duration_since(entry.ordered_at);
    let store_now = shared.store.clock_at(now).unwrap_or_default();
    let stored = RolloutRow {
        record,
        ordered_at: store_now.saturating_sub(elapsed),
        evidence: entry.evidence.clone(),
    };
    let service = entry.record.service.as_str();
    let (key, status_key) = (rollout_row_key(service), rollouts::status_key(service));
    let conditions = [RowCondition {
        table: HOSTS_TABLE,
        key: &key,
        version: entry.row_version,
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
                status_state(stored.record.stage),
                &stored.record.to,
            )),
        },
    ];
    let outcome = shared.store.edit_rows_if(&conditions, &edits).await;
    if shared.store.era() != era {
        // The store was restored meanwhile, so the condition referred to a row of
        // the previous era. The row is read again.
        return false;
    }
    match outcome {
        Ok(TransactionOutcome::Committed { version }) => {
            shared.metrics.record_store_call("rollout", "answered");
            log::info!(
                "event=rollout_written service={service} to={} stage={:?} version={version} {}",
                stored.record.to,
                stored.record.stage,
                stored.evidence
            );
            shared.rollouts.apply_row(&stored, version, elapsed);
            true
        }
        Ok(TransactionOutcome::Conflict(rows)) => {
            shared.metrics.record_store_call("rollout", "changed");
            log::info!(
                "event=rollout_row_changed service={service} expected={} found={:?}",
                entry.row_version,
                rows.iter().map(|row| row.version).collect::<Vec<_>>()
            );
            match rows.iter().find(|row| row.key == key) {
                Some(row) if row.value.is_some() => shared.apply_rollout_row(row),
                _ => shared.rollouts.mark_row_missing(service),
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

fn status_state(stage: RolloutStage) -> RolloutState {
    match stage {
        RolloutStage::Trial { .. } | RolloutStage::Moved => RolloutState::Running,
        RolloutStage::RolledBack => RolloutState::RolledBack,
        RolloutStage::Completed => RolloutState::Completed,
    }
}
