//! Canary roll-outs of software versions, as one daemon sees them.
//!
//! [`RolloutTable`] holds the newest record of each service's roll-out, which
//! routing and the gate obey. [`counters`] counts the outcomes of runs that
//! verdicts are based on. [`messages`] defines the messages that daemons exchange,
//! and [`replication`] sends them. The daemons that query the store for the fleet
//! also decide on stages ([`decide`]) and write them to the store ([`row_writer`]).

pub mod counters;
pub mod decide;
mod entry;
pub mod messages;
pub mod replication;
pub mod row;
pub mod row_writer;
mod selection;
mod unordered;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use filbert_policy::clock::Clock;
use filbert_policy::rollout::record::{OrderId, RolloutRecord, RolloutStage, StageReason};
use tokio::sync::Notify;

use crate::metrics::MeshMetrics;
use counters::{ReceivedReports, RunCounters};
use entry::RecordUpdate;
pub use entry::RolloutEntry;
use row::{service_of_key, RolloutRow};
use unordered::UnorderedRows;

/// The roll-outs of all services that this daemon knows of.
pub struct RolloutTable {
    entries: RefCell<BTreeMap<String, RolloutEntry>>,
    clock: Rc<dyn Clock>,
    metrics: Rc<MeshMetrics>,
    /// Outcomes of runs at this daemon's target.
    pub run_counters: RunCounters,
    /// Reports on targets: received ones and those of this daemon's own target.
    pub reports: ReceivedReports,
    /// Services whose entry changed and has not been sent to other daemons yet.
    unsent_services: RefCell<Vec<String>>,
    /// Wakes the task that sends changed entries.
    has_unsent: Notify,
    /// Wakes the task that writes rows to the store.
    pub has_unwritten: Notify,
    /// Signals that a stage changed, which may open or close the gate.
    pub stage_changed: Notify,
    /// Wakes tasks that wait for a roll-out to be known or to be live.
    rollouts_changed: Notify,
    /// Orders that are applied once the rows have been loaded, by service.
    deferred_orders: RefCell<BTreeMap<String, RolloutRecord>>,
    /// Rows whose orders have not been read.
    unordered_rows: UnorderedRows,
    /// Whether the rows were loaded since this daemon started, and since the store
    /// was last restored from an older copy.
    has_loaded_rows: Cell<bool>,
    /// Whether any roll-out was ever known. Most daemons never know one, and skip
    /// the look-ups on the path of each call.
    has_any: Cell<bool>,
}

impl RolloutTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(metrics: Rc<MeshMetrics>, clock: Rc<dyn Clock>) -> Rc<RolloutTable> {
        Rc::new(RolloutTable {
            entries: RefCell::default(),
            clock,
            metrics,
            run_counters: RunCounters::default(),
            reports: ReceivedReports::default(),
            unsent_services: RefCell::default(),
            has_unsent: Notify::new(),
            has_unwritten: Notify::new(),
            stage_changed: Notify::new(),
            rollouts_changed: Notify::new(),
            deferred_orders: RefCell::default(),
            unordered_rows: UnorderedRows::default(),
            has_loaded_rows: Cell::new(false),
            has_any: Cell::new(false),
        })
    }

    /// Returns the services that have an entry.
    #[must_use]
    pub fn services(&self) -> Vec<String> {
        self.entries.borrow().keys().cloned().collect()
    }

    /// Returns the entry of `service`; `None` if no roll-out of it is known.
    #[must_use]
    pub fn entry(&self, service: &str) -> Option<RolloutEntry> {
        if !self.has_any.get() {
            return None;
        }
        self.entries.borrow().get(service).cloned()
    }

    /// Whether any roll-out has not reached a final stage.
    #[must_use]
    pub fn has_any_live(&self) -> bool {
        self.has_any.get() && self.entries.borrow().values().any(RolloutEntry::is_live)
    }

    /// Waits until a roll-out is live; returns at once if one is.
    pub async fn wait_until_any_live(&self) {
        self.wait_until(|| self.has_any_live()).await;
    }

    /// Waits until any roll-out is known.
    pub async fn wait_until_any(&self) {
        self.wait_until(|| self.has_any.get()).await;
    }

    async fn wait_until(&self, holds: impl Fn() -> bool) {
        loop {
            let changed = self.rollouts_changed.notified();
            if holds() {
                return;
            }
            changed.await;
        }
    }

    /// Returns the canary hosts of all live roll-outs. Every daemon links to them.
    #[must_use]
    pub fn canaries(&self) -> Vec<String> {
        let entries = self.entries.borrow();
        let live = entries.values().filter(|entry| entry.is_live());
        live.flat_map(|entry| entry.record.canaries.clone())
            .collect()
    }

    /// Applies an order that was read from the store, or defers it until the rows of
    /// roll-outs have been loaded.
    ///
    /// An order remains in the store after its roll-out has ended. Without the rows,
    /// it would be started again.
    pub fn apply_order(&self, order: RolloutRecord) {
        if let Some(row) = self.unordered_rows.record_order(&order) {
            let waited = self.clock.now().saturating_duration_since(row.read_at);
            self.apply_row(&row.stored, row.version, row.elapsed + waited);
        }
        if !self.has_loaded_rows.get() {
            let service = order.service.clone();
            self.deferred_orders.borrow_mut().insert(service, order);
            return;
        }
        if let Some(entry) = self.entry(&order.service) {
            if entry.record.is_same_order(&order) {
                // The order was read again, or was written again after the store
                // was restored from an older copy and so has a new id.
                let renumbered = RolloutRecord {
                    order: entry.record.order.max(order.order),
                    ..entry.record.clone()
                };
                let elapsed = self.clock.now().saturating_duration_since(entry.ordered_at);
                self.merge(&renumbered, elapsed, entry.confirmed_after, "order");
                return;
            }
        }
        log::info!(
            "event=rollout_ordered service={} to={} allowed_ms={} order={}.{}",
            order.service,
            order.to,
            order.allowed.as_millis(),
            order.order.era,
            order.order.version
        );
        self.merge(&order, Duration::ZERO, Duration::ZERO, "order");
        self.has_unwritten.notify_one();
    }

    /// Marks the rows of all roll-outs as loaded, and applies the deferred orders.
    pub fn mark_rows_loaded(&self) {
        self.has_loaded_rows.set(true);
        for order in self.deferred_orders.take().into_values() {
            self.apply_order(order);
        }
    }

    /// Applies the row of a roll-out, which the store holds since its version
    /// `version`; `elapsed` is the time since the order.
    pub fn apply_row(&self, stored: &RolloutRow, version: u64, elapsed: Duration) {
        let record = &stored.record;
        self.merge(record, elapsed, Duration::ZERO, "store");
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&record.service) else {
            return;
        };
        entry.row_version = version;
        // After a restore from an older copy, the row may show a stage from before
        // the end of the roll-out.
        let is_behind = entry.record.stage.is_final() && !record.stage.is_final();
        entry.is_order_stored = entry.record.is_same_order(record) && !is_behind;
        entry.stored_step = record.step;
        if record.stage.is_final() && !stored.evidence.is_empty() {
            entry.evidence.clone_from(&stored.evidence);
        }
        if !entry.is_order_stored {
            self.has_unwritten.notify_one();
        }
    }

    /// Records that the store has no row for the roll-out of `service`, so that it
    /// is written.
    pub fn mark_row_missing(&self, service: &str) {
        self.rewrite_row(service, 0);
    }

    /// Has the row with `key` written again over one that cannot be read, which the store
    /// holds since its version `version`. Does nothing if no roll-out has such a row.
    pub fn replace_row(&self, key: &str, version: u64) {
        if let Some(service) = service_of_key(key) {
            self.rewrite_row(service, version);
        }
    }

    fn rewrite_row(&self, service: &str, row_version: u64) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(service) {
            entry.row_version = row_version;
            entry.is_order_stored = false;
        }
        self.has_unwritten.notify_one();
    }

    /// Has the completion of the roll-out written to the store, with `reason`. The
    /// stage changes once it is written.
    pub fn set_completion(&self, service: &str, reason: StageReason) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(service) {
            entry.completion_reason = Some(reason);
        }
        self.has_unwritten.notify_one();
    }

    /// Waits until there are changed entries that have not been sent, and returns their
    /// services.
    pub async fn next_unsent(&self) -> Vec<String> {
        loop {
            let mut services = self.unsent_services.take();
            if !services.is_empty() {
                services.sort_unstable();
                services.dedup();
                return services;
            }
            self.has_unsent.notified().await;
        }
    }

    /// Merges a record that was received from `from`, `elapsed` after its order, and
    /// was last confirmed `confirmed_after` after its order. If this changes the
    /// entry, the entry is sent to other daemons.
    pub fn merge(
        &self,
        record: &RolloutRecord,
        elapsed: Duration,
        confirmed_after: Duration,
        from: &str,
    ) {
        self.has_any.set(true);
        let now = self.clock.now();
        let is_news = {
            let mut entries = self.entries.borrow_mut();
            if let Some(entry) = entries.get_mut(&record.service) {
                entry.merge(record, elapsed, confirmed_after, now)
            } else {
                let entry = RolloutEntry::new(record, elapsed, confirmed_after, now);
                entries.insert(record.service.clone(), entry);
                RecordUpdate::Stage
            }
        };
        match is_news {
            RecordUpdate::None => return,
            RecordUpdate::Confirmed => {}
            RecordUpdate::Stage => self.log_stage(record, from),
        }
        self.unsent_services
            .borrow_mut()
            .push(record.service.clone());
        self.has_unsent.notify_one();
    }

    fn log_stage(&self, record: &RolloutRecord, from: &str) {
        log::info!(
            "event=rollout_stage service={} to={} order={}.{} step={} stage={:?} reason={:?} decided_by={} written={} canaries={:?} from={from}",
            record.service,
            record.to,
            record.order.era,
            record.order.version,
            record.step,
            record.stage,
            record.reason,
            record.decided_by,
            record.is_written,
            record.canaries
        );
        self.metrics
            .record_rollout_stage(&record.service, stage_label(record.stage));
        self.stage_changed.notify_one();
        self.rollouts_changed.notify_waiters();
        if !record.is_written {
            self.has_unwritten.notify_one();
        }
    }

    /// Enters the next stage, on which this daemon decided. Does nothing if no
    /// roll-out of `service` is known.
    pub fn enter_stage(
        &self,
        service: &str,
        stage: RolloutStage,
        reason: StageReason,
        decision: StageDecision,
    ) {
        let Some(entry) = self.entry(service) else {
            return;
        };
        let mut record = entry.record.next(stage, reason, &decision.decided_by);
        if let Some(canaries) = decision.canaries {
            record.canaries = canaries;
        }
        let elapsed = self.clock.now().saturating_duration_since(entry.ordered_at);
        self.merge(&record, elapsed, elapsed, "here");
    }

    /// Confirms the current stage of `service` on behalf of this deciding daemon.
    pub fn confirm(&self, service: &str) {
        if let Some(entry) = self.entry(service) {
            let elapsed = self.clock.now().saturating_duration_since(entry.ordered_at);
            self.merge(&entry.record, elapsed, elapsed, "here");
        }
    }

    /// Sets the text that describes the evidence for the verdict.
    pub fn set_evidence(&self, service: &str, evidence: String) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(service) {
            entry.evidence = evidence;
        }
    }

    /// Discards what is known of the rows: the store was restored from an older copy.
    pub fn reset_row_state(&self) {
        self.unordered_rows.forget_all();
        self.has_loaded_rows.set(false);
        for entry in self.entries.borrow_mut().values_mut() {
            entry.row_version = 0;
            entry.is_order_stored = false;
        }
    }

    /// Returns the order and step of the roll-out of `service` that this daemon
    /// knows. The deciding daemons wait for it to reach the current step.
    #[must_use]
    pub fn known_step(&self, service: &str) -> Option<(OrderId, u32)> {
        let entry = self.entry(service)?;
        Some((entry.record.order, entry.record.step))
    }
}

/// Details of a decision to enter a stage.
pub struct StageDecision {
    /// Name of the deciding daemon's host.
    pub decided_by: String,
    /// The new canary hosts; `None` if they stay the same.
    pub canaries: Option<Vec<String>>,
}

/// Returns the name of `stage` in metrics and in the output of `filbertctl`.
#[must_use]
pub fn stage_label(stage: RolloutStage) -> &'static str {
    match stage {
        RolloutStage::Trial { per_mille: 0 } => "waiting",
        RolloutStage::Trial { .. } => "trial",
        RolloutStage::Moved => "moved",
        RolloutStage::RolledBack => "rolled_back",
        RolloutStage::Completed => "completed",
    }
}
