//! Counts runs at the gate here, and keeps what other gates counted.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::clock::Clock;
use filbert_policy::rollout::judge::CallCounts;

use super::messages::{KindCounts, TargetReport};
use super::RolloutTable;

/// Kinds of call counted apart; more are counted together.
const MOST_KINDS: usize = 32;
/// Stands for kinds beyond those.
const OTHER_KINDS: &str = "(other)";
/// A run that takes this many times what its kind usually takes is a bad answer:
/// run times spread widely, and targets differ by two in speed.
const FAR_LONGER: u32 = 4;
/// Time after a target was first heard of in which slow runs are no bad
/// answers: it may still be slow from its start.
const WARM_AFTER: Duration = Duration::from_secs(4);
/// Tallies kept at most, of all services.
const MOST_TALLIES: usize = 4_096;

/// The counters of the gate here.
#[derive(Default)]
pub struct GateTally {
    kinds: RefCell<BTreeMap<String, CallCounts>>,
    sequence: Cell<u64>,
    warm_from: Cell<Option<Instant>>,
}

impl GateTally {
    /// Begins anew: another target is in place, heard of at `now`.
    pub fn reset_for_new_target(&self, now: Instant) {
        self.kinds.borrow_mut().clear();
        self.warm_from.set(Some(now + WARM_AFTER));
    }

    fn note(&self, kind: &str, is_bad: bool) {
        let mut kinds = self.kinds.borrow_mut();
        let is_full = kinds.len() >= MOST_KINDS && !kinds.contains_key(kind);
        let kind = if is_full { OTHER_KINDS } else { kind };
        if !kinds.contains_key(kind) {
            kinds.insert(kind.to_owned(), CallCounts::default());
        }
        if let Some(counts) = kinds.get_mut(kind) {
            counts.ended += 1;
            counts.bad += u64::from(is_bad);
        }
    }

    fn is_warm(&self, now: Instant) -> bool {
        self.warm_from.get().is_none_or(|from| now >= from)
    }

    /// The counters, and the number of this tally.
    #[must_use]
    pub fn read(&self) -> (u64, Vec<KindCounts>) {
        self.sequence.set(self.sequence.get() + 1);
        let kinds = self.kinds.borrow();
        let tallies = kinds.iter().map(|(kind, counts)| KindCounts {
            kind: kind.clone(),
            ended: counts.ended,
            bad: counts.bad,
        });
        (self.sequence.get(), tallies.collect())
    }
}

/// How a run ended, as far as it tells about its target's software.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedOutcome {
    /// With a whole answer that is no failure.
    Success,
    /// With a failure of the target's own.
    Failure,
    /// In a way that says nothing: rejected, or the target ended.
    NotCounted,
}

/// Watches one run, to its end or to its caller's leaving.
///
/// Guards against a slow version that hides: its slowest runs are given up by
/// their callers, and none of them would count.
pub struct RunObservation {
    book: Rc<RolloutTable>,
    clock: Rc<dyn Clock>,
    kind: String,
    began: Instant,
    /// Time from which the run is far too long; `None` when not known.
    far_longer: Option<Duration>,
    is_told: bool,
}

impl RunObservation {
    /// Watches a run of `kind` that begins now and usually takes `usual`.
    #[must_use]
    pub fn new(
        book: &Rc<RolloutTable>,
        clock: &Rc<dyn Clock>,
        kind: &str,
        usual: Option<Duration>,
    ) -> RunObservation {
        RunObservation {
            book: Rc::clone(book),
            clock: Rc::clone(clock),
            kind: kind.to_owned(),
            began: clock.now(),
            far_longer: usual.map(|usual| usual * FAR_LONGER),
            is_told: false,
        }
    }

    fn is_far_longer(&self) -> bool {
        let now = self.clock.now();
        let took = now.saturating_duration_since(self.began);
        self.book.run_counters.is_warm(now) && self.far_longer.is_some_and(|bound| took > bound)
    }

    /// Notes how it ended.
    pub fn end(mut self, told: CountedOutcome) {
        self.is_told = true;
        let is_bad = match told {
            CountedOutcome::NotCounted => return,
            CountedOutcome::Failure => true,
            CountedOutcome::Success => self.is_far_longer(),
        };
        self.book.run_counters.note(&self.kind, is_bad);
    }
}

impl Drop for RunObservation {
    fn drop(&mut self) {
        if !self.is_told && self.is_far_longer() {
            self.book.run_counters.note(&self.kind, true);
        }
    }
}

/// A tally and when it came.
#[derive(Clone, Debug)]
pub struct HeardTally {
    /// The tally.
    pub tally: TargetReport,
    /// When it came.
    pub at: Instant,
}

/// What other gates counted, by host.
#[derive(Default)]
pub struct HeardTallies {
    by_host: RefCell<BTreeMap<String, HeardTally>>,
    /// Hosts whose tally has not been passed on.
    unpassed: RefCell<BTreeSet<String>>,
}

impl HeardTallies {
    /// Takes a tally, unless a newer one came before.
    pub fn take(&self, tally: TargetReport, now: Instant) {
        let mut by_host = self.by_host.borrow_mut();
        if let Some(known) = by_host.get(&tally.host) {
            let is_older =
                known.tally.start == tally.start && known.tally.sequence >= tally.sequence;
            if is_older {
                return;
            }
        } else if by_host.len() >= MOST_TALLIES {
            return;
        }
        let host = tally.host.clone();
        by_host.insert(host.clone(), HeardTally { tally, at: now });
        self.unpassed.borrow_mut().insert(host);
    }

    /// The tallies of targets of `service`.
    #[must_use]
    pub fn of_service(&self, service: &str) -> Vec<HeardTally> {
        let by_host = self.by_host.borrow();
        let of_service = by_host
            .values()
            .filter(|heard| heard.tally.service == service);
        of_service.cloned().collect()
    }

    /// The tallies that came since this was last asked.
    #[must_use]
    pub fn take_unpassed(&self) -> Vec<TargetReport> {
        let by_host = self.by_host.borrow();
        let unpassed = self.unpassed.take();
        let tallies = unpassed.iter().filter_map(|host| by_host.get(host));
        tallies.map(|heard| heard.tally.clone()).collect()
    }

    /// Forgets everything: no roll-out runs.
    pub fn clear(&self) {
        self.by_host.borrow_mut().clear();
        self.unpassed.borrow_mut().clear();
    }
}
