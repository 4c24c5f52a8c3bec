//! Counts the outcomes of runs at this daemon's target, and keeps the reports that
//! other daemons send about theirs.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::clock::Clock;
use filbert_policy::rollout::slow_runs::RunCounts;

use super::messages::{KindCounts, TargetReport};
use super::RolloutTable;

/// Kinds of call that are counted separately. Further kinds are counted together,
/// as [`OTHER_KINDS`].
const MAX_KINDS: usize = 32;
/// Name under which the kinds beyond [`MAX_KINDS`] are counted.
const OTHER_KINDS: &str = "(other)";
/// Time after a target's first report in which run times do not count, as the
/// target may still be warming up.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// Longest name of a route in a report, in bytes.
const MAX_NAME_BYTES: usize = 512;
/// Maximum number of reports kept, for all services together.
const MAX_REPORTS: usize = 4_096;

/// Counters of the runs at this daemon's target, by kind of call.
#[derive(Default)]
pub struct RunCounters {
    kinds: RefCell<BTreeMap<String, RunCounts>>,
    sequence: Cell<u64>,
    warm_from: Cell<Option<Instant>>,
}

impl RunCounters {
    /// Clears the counters for another target, which sent its first report at `now`.
    pub fn reset_for_new_target(&self, now: Instant) {
        self.kinds.borrow_mut().clear();
        self.warm_from.set(Some(now + WARM_UP_TIME));
    }

    fn update(&self, kind: &str, update: impl FnOnce(&mut RunCounts)) {
        let mut kinds = self.kinds.borrow_mut();
        let is_full = kinds.len() >= MAX_KINDS && !kinds.contains_key(kind);
        let kind = if is_full { OTHER_KINDS } else { kind };
        if !kinds.contains_key(kind) {
            kinds.insert(kind.to_owned(), RunCounts::default());
        }
        if let Some(counts) = kinds.get_mut(kind) {
            update(counts);
        }
    }

    fn is_warm(&self, now: Instant) -> bool {
        self.warm_from.get().is_none_or(|from| now >= from)
    }

    /// Returns a sequence number, which grows with each snapshot, and the counters.
    #[must_use]
    pub fn snapshot(&self) -> (u64, Vec<KindCounts>) {
        self.sequence.set(self.sequence.get() + 1);
        let kinds = self.kinds.borrow();
        let kind_counts = kinds.iter().map(|(kind, counts)| KindCounts {
            kind: kind.clone(),
            runs: counts.clone(),
        });
        (self.sequence.get(), kind_counts.collect())
    }
}

/// Outcome of a run, as far as it reflects on the target's software.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedOutcome {
    /// The target sent a whole answer that is no failure.
    Success,
    /// The target failed to run the call.
    Failure,
    /// The outcome does not reflect on the software: the target was not reached,
    /// rejected the call, or ended.
    NotCounted,
}

/// Counts one run when it ends, or when it is dropped because its caller left.
///
/// The time until a run was dropped is kept as well. Otherwise a slow version would
/// look good: callers abandon its slowest runs, and none of these would count.
pub struct RunObservation {
    rollouts: Rc<RolloutTable>,
    clock: Rc<dyn Clock>,
    kind: String,
    started_at: Instant,
    is_ended: bool,
}

impl RunObservation {
    /// Observes a run of `kind` that begins now.
    #[must_use]
    pub fn new(rollouts: &Rc<RolloutTable>, clock: &Rc<dyn Clock>, kind: &str) -> RunObservation {
        RunObservation {
            rollouts: Rc::clone(rollouts),
            clock: Rc::clone(clock),
            kind: kind.to_owned(),
            started_at: clock.now(),
            is_ended: false,
        }
    }

    /// Time since the start of the run; `None` while the target may be warming up.
    fn run_time(&self) -> Option<Duration> {
        let now = self.clock.now();
        let is_warm = self.rollouts.run_counters.is_warm(now);
        is_warm.then(|| now.saturating_duration_since(self.started_at))
    }

    /// Counts the run by its `outcome`.
    pub fn end(mut self, outcome: CountedOutcome) {
        self.is_ended = true;
        if outcome == CountedOutcome::NotCounted {
            return;
        }
        let run_time = self.run_time();
        self.rollouts.run_counters.update(&self.kind, |counts| {
            counts.ended += 1;
            match (outcome, run_time) {
                (CountedOutcome::Failure, _) => counts.failed += 1,
                (_, Some(took)) => counts.completed.record(took),
                (_, None) => {}
            }
        });
    }
}

impl Drop for RunObservation {
    fn drop(&mut self) {
        let (false, Some(took)) = (self.is_ended, self.run_time()) else {
            return;
        };
        let counters = &self.rollouts.run_counters;
        counters.update(&self.kind, |counts| counts.abandoned.record(took));
    }
}

/// A report on a target, with the time at which it arrived.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The report.
    pub report: TargetReport,
    /// Time at which the report arrived.
    pub received_at: Instant,
}

/// The newest report on each target, by host.
#[derive(Default)]
pub struct ReceivedReports {
    by_host: RefCell<BTreeMap<String, ReceivedReport>>,
    /// Hosts whose newest report has not been forwarded yet.
    unforwarded: RefCell<BTreeSet<String>>,
}

impl ReceivedReports {
    /// Records a report that arrives at `now`. Ignores it if a newer one of the same
    /// incarnation is known, if it is of another host and `MAX_REPORTS` are kept, or if its
    /// counts cannot be evaluated.
    pub fn record(&self, report: TargetReport, now: Instant) {
        let is_readable =
            |kind: &KindCounts| kind.kind.len() <= MAX_NAME_BYTES && kind.runs.is_valid();
        if report.kinds.len() > MAX_KINDS + 1 || !report.kinds.iter().all(is_readable) {
            log::warn!("event=target_report_ignored host={:?}", report.host);
            return;
        }
        let mut by_host = self.by_host.borrow_mut();
        if let Some(known) = by_host.get(&report.host) {
            let is_older = known.report.incarnation == report.incarnation
                && known.report.sequence >= report.sequence;
            if is_older {
                return;
            }
        } else if by_host.len() >= MAX_REPORTS {
            return;
        }
        let host = report.host.clone();
        by_host.insert(
            host.clone(),
            ReceivedReport {
                report,
                received_at: now,
            },
        );
        self.unforwarded.borrow_mut().insert(host);
    }

    /// Returns the reports on targets of `service`.
    #[must_use]
    pub fn for_service(&self, service: &str) -> Vec<ReceivedReport> {
        let by_host = self.by_host.borrow();
        let for_service = by_host
            .values()
            .filter(|received| received.report.service == service);
        for_service.cloned().collect()
    }

    /// Returns the reports that arrived since the last call of this function.
    #[must_use]
    pub fn take_unforwarded(&self) -> Vec<TargetReport> {
        let by_host = self.by_host.borrow();
        let unforwarded = self.unforwarded.take();
        let reports = unforwarded.iter().filter_map(|host| by_host.get(host));
        reports.map(|received| received.report.clone()).collect()
    }

    /// Discards all reports. Called when no roll-out is live.
    pub fn clear(&self) {
        self.by_host.borrow_mut().clear();
        self.unforwarded.borrow_mut().clear();
    }
}
