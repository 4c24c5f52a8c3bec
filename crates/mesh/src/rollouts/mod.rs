//! Roll-outs as this daemon knows them: the book of notes, which calls and
//! gates keep to, and the counters that verdicts rest on.
//!
//! [`news`] is what daemons tell each other, [`spread`] how it travels,
//! [`decide`] and [`record`] are the work of the daemons that ask the store for
//! the fleet.

pub mod decide;
mod entry;
pub mod news;
pub mod record;
pub mod row;
pub mod spread;
pub mod tally;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use filbert_policy::clock::Clock;
use filbert_policy::rollout::record::{
    OrderId, RolloutRecord, RolloutStage, StageReason, VersionPreference,
};
use tokio::sync::Notify;

use crate::metrics::MeshMetrics;
use entry::RecordUpdate;
pub use entry::RolloutEntry;
use row::RolloutRow;
use tally::{GateTally, HeardTallies};

/// The book that the daemon's parts share.
pub struct RolloutBook {
    entries: RefCell<BTreeMap<String, RolloutEntry>>,
    clock: Rc<dyn Clock>,
    metrics: Rc<MeshMetrics>,
    /// The counters of the gate here.
    pub own: GateTally,
    /// Counters of other gates.
    pub heard: HeardTallies,
    /// Services whose entry changed and has to be told.
    untold: RefCell<Vec<String>>,
    /// Wakes whoever tells.
    has_untold: Notify,
    /// Wakes whoever keeps the rows.
    pub has_unwritten: Notify,
    /// Wakes the gate here: a stage changed.
    pub stage_changed: Notify,
    /// Wakes whoever works only while roll-outs run.
    has_news: Notify,
    /// Orders that wait until the rows were read.
    waiting: RefCell<BTreeMap<String, RolloutRecord>>,
    /// Whether the rows were read since this daemon started, and since the store
    /// last came back from an older copy.
    has_read_rows: Cell<bool>,
    /// Whether any roll-out was ever heard of: most daemons never do.
    is_used: Cell<bool>,
}

impl RolloutBook {
    /// An empty book.
    #[must_use]
    pub fn new(metrics: Rc<MeshMetrics>, clock: Rc<dyn Clock>) -> Rc<RolloutBook> {
        Rc::new(RolloutBook {
            entries: RefCell::default(),
            clock,
            metrics,
            own: GateTally::default(),
            heard: HeardTallies::default(),
            untold: RefCell::default(),
            has_untold: Notify::new(),
            has_unwritten: Notify::new(),
            stage_changed: Notify::new(),
            has_news: Notify::new(),
            waiting: RefCell::default(),
            has_read_rows: Cell::new(false),
            is_used: Cell::new(false),
        })
    }

    /// The services with an entry.
    #[must_use]
    pub fn services(&self) -> Vec<String> {
        self.entries.borrow().keys().cloned().collect()
    }

    /// What is known of the roll-out of `service`.
    #[must_use]
    pub fn entry(&self, service: &str) -> Option<RolloutEntry> {
        if !self.is_used.get() {
            return None;
        }
        self.entries.borrow().get(service).cloned()
    }

    /// The targets that the call `id` to `service` may go to; `None` without a
    /// roll-out.
    #[must_use]
    pub fn version_preference(&self, service: &str, id: &str) -> Option<CallPreference> {
        if !self.is_used.get() {
            return None;
        }
        let entries = self.entries.borrow();
        let entry = entries.get(service)?;
        Some(CallPreference {
            version_preference: entry
                .record
                .version_preference(id, entry.is_fresh(self.clock.now())),
            to: entry.record.to.clone(),
        })
    }

    /// Whether a target of `service` that runs `software` takes calls on `host`.
    #[must_use]
    pub fn admits(&self, service: &str, software: &str, host: &str) -> bool {
        if !self.is_used.get() {
            return true;
        }
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(service) else {
            return true;
        };
        let record = &entry.record;
        let is_on_trial =
            software == record.to && matches!(record.stage, RolloutStage::Trial { .. });
        let is_left_out = is_on_trial
            && !record.canaries.is_empty()
            && !record.canaries.iter().any(|canary| canary == host);
        !is_left_out && record.admits(software, entry.is_fresh(self.clock.now()))
    }

    /// Whether the runs of `service` are counted.
    #[must_use]
    pub fn is_watching(&self, service: &str) -> bool {
        self.is_used.get()
            && self
                .entries
                .borrow()
                .get(service)
                .is_some_and(RolloutEntry::is_live)
    }

    /// Whether any roll-out has not come to its end.
    #[must_use]
    pub fn has_live(&self) -> bool {
        self.is_used.get() && self.entries.borrow().values().any(RolloutEntry::is_live)
    }

    /// Waits until a roll-out runs; at once while one does.
    pub async fn until_live(&self) {
        self.until(|| self.has_live()).await;
    }

    /// Waits until any roll-out was heard of.
    pub async fn until_used(&self) {
        self.until(|| self.is_used.get()).await;
    }

    async fn until(&self, holds: impl Fn() -> bool) {
        loop {
            let news = self.has_news.notified();
            if holds() {
                return;
            }
            news.await;
        }
    }

    /// Hosts whose targets are tried now: every daemon links to them.
    #[must_use]
    pub fn canaries(&self) -> Vec<String> {
        let entries = self.entries.borrow();
        let live = entries.values().filter(|entry| entry.is_live());
        live.flat_map(|entry| entry.record.canaries.clone())
            .collect()
    }

    /// Takes an order that was read from the store.
    ///
    /// Guards against an order that is begun again: it lies in the store for
    /// ever, also after its end. Until the rows of roll-outs were read it waits.
    pub fn take_order(&self, order: RolloutRecord) {
        if !self.has_read_rows.get() {
            let service = order.service.clone();
            self.waiting.borrow_mut().insert(service, order);
            return;
        }
        if let Some(entry) = self.entry(&order.service) {
            if entry.record.is_same_order(&order) {
                // Read again, or written again after the store came back.
                let rebound = RolloutRecord {
                    order: entry.record.order.max(order.order),
                    ..entry.record.clone()
                };
                let elapsed = self.clock.now().saturating_duration_since(entry.ordered);
                self.merge(&rebound, elapsed, entry.confirmed, "order");
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

    /// Notes that all rows of roll-outs were read.
    pub fn rows_were_read(&self) {
        self.has_read_rows.set(true);
        for order in self.waiting.take().into_values() {
            self.take_order(order);
        }
    }

    /// Takes the row of a roll-out, as it stands in the store since `version`.
    pub fn take_row(&self, stored: &RolloutRow, version: u64, elapsed: Duration) {
        let record = &stored.record;
        self.merge(record, elapsed, Duration::ZERO, "store");
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&record.service) else {
            return;
        };
        entry.row_at = version;
        // An older copy may show a roll-out that has ended since as under way.
        let is_behind = entry.record.stage.is_final() && !record.stage.is_final();
        entry.is_recorded = entry.record.is_same_order(record) && !is_behind;
        entry.recorded_step = record.step;
        if record.stage.is_final() && !stored.evidence.is_empty() {
            entry.evidence.clone_from(&stored.evidence);
        }
        if !entry.is_recorded {
            self.has_unwritten.notify_one();
        }
    }

    /// Notes that there is no row of `service`.
    pub fn row_is_missing(&self, service: &str) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(service) {
            entry.row_at = 0;
            entry.is_recorded = false;
        }
        self.has_unwritten.notify_one();
    }

    /// Has the end of the old version written.
    pub fn want_completion(&self, service: &str, reason: StageReason) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(service) {
            entry.completes = Some(reason);
        }
        self.has_unwritten.notify_one();
    }

    /// The services of which there is news to tell, as soon as there are some.
    pub async fn next_untold(&self) -> Vec<String> {
        loop {
            let mut services = self.untold.take();
            if !services.is_empty() {
                services.sort_unstable();
                services.dedup();
                return services;
            }
            self.has_untold.notified().await;
        }
    }

    /// Takes a note, told `elapsed` after its order and confirmed `confirmed`
    /// after it; what is news is told on.
    pub fn merge(
        &self,
        record: &RolloutRecord,
        elapsed: Duration,
        confirmed: Duration,
        from: &str,
    ) {
        self.is_used.set(true);
        let now = self.clock.now();
        let is_news = {
            let mut entries = self.entries.borrow_mut();
            if let Some(entry) = entries.get_mut(&record.service) {
                entry.merge(record, elapsed, confirmed, now)
            } else {
                let entry = RolloutEntry::new(record, elapsed, confirmed, now);
                entries.insert(record.service.clone(), entry);
                RecordUpdate::Stage
            }
        };
        match is_news {
            RecordUpdate::None => return,
            RecordUpdate::Confirmed => {}
            RecordUpdate::Stage => self.say_stage(record, from),
        }
        self.untold.borrow_mut().push(record.service.clone());
        self.has_untold.notify_one();
    }

    fn say_stage(&self, record: &RolloutRecord, from: &str) {
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
        self.has_news.notify_waiters();
        if !record.is_written {
            self.has_unwritten.notify_one();
        }
    }

    /// Takes the next stage that this daemon decided.
    pub fn decide(
        &self,
        service: &str,
        stage: RolloutStage,
        reason: StageReason,
        terms: DecisionTerms,
    ) {
        let Some(entry) = self.entry(service) else {
            return;
        };
        let mut record = entry.record.next(stage, reason, &terms.decided_by);
        if let Some(canaries) = terms.canaries {
            record.canaries = canaries;
        }
        let elapsed = self.clock.now().saturating_duration_since(entry.ordered);
        self.merge(&record, elapsed, elapsed, "here");
    }

    /// Confirms the stage of `service`: a decider holds to it.
    pub fn confirm(&self, service: &str) {
        if let Some(entry) = self.entry(service) {
            let elapsed = self.clock.now().saturating_duration_since(entry.ordered);
            self.merge(&entry.record, elapsed, elapsed, "here");
        }
    }

    /// Notes what a verdict rests on.
    pub fn set_evidence(&self, service: &str, evidence: String) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(service) {
            entry.evidence = evidence;
        }
    }

    /// Forgets what the store held: it came back from an older copy.
    pub fn store_came_back(&self) {
        self.has_read_rows.set(false);
        for entry in self.entries.borrow_mut().values_mut() {
            entry.row_at = 0;
            entry.is_recorded = false;
        }
    }

    /// The order in force for `service` with its step, for those who wait for
    /// this daemon to know it.
    #[must_use]
    pub fn known_step(&self, service: &str) -> Option<(OrderId, u32)> {
        let entry = self.entry(service)?;
        Some((entry.record.order, entry.record.step))
    }
}

/// What a decision carries beside its stage.
pub struct DecisionTerms {
    /// This host's name.
    pub decided_by: String,
    /// Hosts that are tried, where that changes.
    pub canaries: Option<Vec<String>>,
}

/// The targets that one call may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPreference {
    /// Which.
    pub version_preference: VersionPreference,
    /// The new version.
    pub to: String,
}

/// The stage as metrics name it.
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
