//! What is known of one call that was at work as targets ended.

use std::time::{Duration, Instant};

use super::{FIRST_HOLD, HELD_STRIKES};

/// Marks kept of one call; far more than decide anything.
const MOST_MARKS: usize = 16;
/// Times told by others are taken for the same within this: it covers what a
/// message is under way.
const SAME_TIME: Duration = Duration::from_millis(500);

/// A target ended while it ran a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetCrash {
    /// Tells it from other marks of the call.
    pub id: u64,
    /// When the run began.
    pub began: Instant,
    /// When the target ended.
    pub ended: Instant,
}

/// What is known of one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallRecord {
    /// In the order of their ends.
    crashes: Vec<TargetCrash>,
    /// When it last ran well; marks from before do not count.
    cleared: Option<Instant>,
    /// When a try last went that has not ended.
    probe_started: Option<Instant>,
}

impl CallRecord {
    /// A record of one mark.
    #[must_use]
    pub fn from_crash(crash: TargetCrash) -> CallRecord {
        CallRecord::new(vec![crash], None, None)
    }

    /// A record as another daemon tells it.
    #[must_use]
    pub fn new(
        mut crashes: Vec<TargetCrash>,
        cleared: Option<Instant>,
        probe_started: Option<Instant>,
    ) -> CallRecord {
        crashes.sort_by_key(|crash| crash.ended);
        CallRecord {
            crashes,
            cleared,
            probe_started,
        }
    }

    /// The marks that count, in the order of their ends.
    pub fn crashes(&self) -> impl Iterator<Item = &TargetCrash> {
        let counts =
            |crash: &&TargetCrash| self.cleared.is_none_or(|cleared| crash.ended > cleared);
        self.crashes.iter().filter(counts)
    }

    /// When it last ran well.
    #[must_use]
    pub fn cleared(&self) -> Option<Instant> {
        self.cleared
    }

    /// When a try last went that has not ended, as far as is known.
    #[must_use]
    pub fn probe_started(&self) -> Option<Instant> {
        self.probe_started
    }

    /// How strongly its runs speak against it.
    ///
    /// Ends in a row count: of runs that began after the end before. Targets
    /// that end at one moment, as with a zone, are one strike against a popular
    /// call that was at work in all of them, and two with a further end. What
    /// ends before news of the third are everywhere adds nothing; from then on
    /// only tries count that came after a hold.
    #[must_use]
    pub fn strikes(&self) -> u32 {
        let mut strikes = 0;
        let mut rounds = 0;
        let mut round_end = None;
        let mut last_end = None;
        for (ends, crash) in (1..).zip(self.crashes()) {
            let is_later = |than: Option<Instant>, by| than.is_none_or(|at| crash.began >= at + by);
            if strikes >= HELD_STRIKES {
                strikes += u32::from(is_later(last_end, FIRST_HOLD));
            } else if is_later(round_end, Duration::ZERO) {
                rounds += 1;
                round_end = Some(crash.ended);
            }
            if strikes < HELD_STRIKES {
                strikes = match rounds {
                    1 => 1,
                    _ => ends.min(rounds + 1).min(HELD_STRIKES),
                };
            }
            last_end = Some(crash.ended);
        }
        strikes
    }

    /// Whether it speaks for holding the call back.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.strikes() >= HELD_STRIKES
    }

    /// Takes over what `told` has; whether anything was new.
    pub(super) fn merge(&mut self, told: &CallRecord) -> bool {
        let mut is_new = false;
        if is_later(told.cleared, self.cleared) {
            self.cleared = told.cleared;
            is_new = true;
        }
        if is_later(told.probe_started, self.probe_started) {
            self.probe_started = told.probe_started;
            is_new = true;
        }
        for crash in &told.crashes {
            is_new |= self.add(*crash);
        }
        is_new
    }

    /// Adds a mark, unless it is known, older than the clearing, or older than
    /// all of a full record: that would come and go for ever among daemons.
    fn add(&mut self, crash: TargetCrash) -> bool {
        let is_known = self.crashes.iter().any(|known| known.id == crash.id);
        let is_cleared = self.cleared.is_some_and(|cleared| crash.ended <= cleared);
        let place = self
            .crashes
            .partition_point(|known| known.ended <= crash.ended);
        let is_full = self.crashes.len() >= MOST_MARKS;
        if is_known || is_cleared || (is_full && place == 0) {
            return false;
        }
        self.crashes.insert(place, crash);
        if is_full {
            self.crashes.remove(0);
        }
        true
    }

    /// Whether this record was cleared of marks that `told` still counts.
    pub(super) fn has_later_clearing(&self, told: &CallRecord) -> bool {
        is_later(self.cleared, told.cleared) && told.strikes() > 1
    }

    pub(super) fn clear(&mut self, now: Instant) {
        self.crashes.clear();
        self.cleared = Some(now);
        self.probe_started = None;
    }

    pub(super) fn set_tried(&mut self, probe_started: Option<Instant>) {
        self.probe_started = probe_started;
    }

    /// What is left of `hold` after the last mark.
    pub(super) fn remaining_hold(&self, hold: Duration, now: Instant) -> Duration {
        self.crashes().last().map_or(Duration::ZERO, |crash| {
            (crash.ended + hold).saturating_duration_since(now)
        })
    }

    /// Whether a try that went within `time` has not ended. One after which a
    /// target ended is over.
    pub(super) fn is_tried(&self, time: Duration, now: Instant) -> bool {
        let last_end = self.crashes().last().map(|crash| crash.ended);
        self.probe_started.is_some_and(|probe_started| {
            now < probe_started + time && Some(probe_started) > last_end
        })
    }

    /// When it last changed.
    pub(super) fn last_change(&self) -> Option<Instant> {
        let last_mark = self.crashes.last().map(|crash| crash.ended);
        last_mark.max(self.cleared)
    }

    /// Whether nothing changed for `kept`.
    pub(super) fn is_over(&self, kept: Duration, now: Instant) -> bool {
        self.last_change().is_none_or(|at| now >= at + kept)
    }
}

/// Whether `one` is later than `other`, by more than messages take.
fn is_later(one: Option<Instant>, other: Option<Instant>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one > other + SAME_TIME,
        (one, other) => one.is_some() && other.is_none(),
    }
}
