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
pub struct CrashMark {
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
    marks: Vec<CrashMark>,
    /// When it last ran well; marks from before do not count.
    cleared: Option<Instant>,
    /// When a try last went that has not ended.
    tried: Option<Instant>,
}

impl CallRecord {
    /// A record of one mark.
    #[must_use]
    pub fn of_mark(mark: CrashMark) -> CallRecord {
        CallRecord::new(vec![mark], None, None)
    }

    /// A record as another daemon tells it.
    #[must_use]
    pub fn new(
        mut marks: Vec<CrashMark>,
        cleared: Option<Instant>,
        tried: Option<Instant>,
    ) -> CallRecord {
        marks.sort_by_key(|mark| mark.ended);
        CallRecord {
            marks,
            cleared,
            tried,
        }
    }

    /// The marks that count, in the order of their ends.
    pub fn marks(&self) -> impl Iterator<Item = &CrashMark> {
        let counts = |mark: &&CrashMark| self.cleared.is_none_or(|cleared| mark.ended > cleared);
        self.marks.iter().filter(counts)
    }

    /// When it last ran well.
    #[must_use]
    pub fn cleared(&self) -> Option<Instant> {
        self.cleared
    }

    /// When a try last went that has not ended, as far as is known.
    #[must_use]
    pub fn tried(&self) -> Option<Instant> {
        self.tried
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
        for (ends, mark) in (1..).zip(self.marks()) {
            let is_later = |than: Option<Instant>, by| than.is_none_or(|at| mark.began >= at + by);
            if strikes >= HELD_STRIKES {
                strikes += u32::from(is_later(last_end, FIRST_HOLD));
            } else if is_later(round_end, Duration::ZERO) {
                rounds += 1;
                round_end = Some(mark.ended);
            }
            if strikes < HELD_STRIKES {
                strikes = match rounds {
                    1 => 1,
                    _ => ends.min(rounds + 1).min(HELD_STRIKES),
                };
            }
            last_end = Some(mark.ended);
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
        if is_later(told.tried, self.tried) {
            self.tried = told.tried;
            is_new = true;
        }
        for mark in &told.marks {
            is_new |= self.add(*mark);
        }
        is_new
    }

    /// Adds a mark, unless it is known, older than the clearing, or older than
    /// all of a full record: that would come and go for ever among daemons.
    fn add(&mut self, mark: CrashMark) -> bool {
        let is_known = self.marks.iter().any(|known| known.id == mark.id);
        let is_cleared = self.cleared.is_some_and(|cleared| mark.ended <= cleared);
        let place = self
            .marks
            .partition_point(|known| known.ended <= mark.ended);
        let is_full = self.marks.len() >= MOST_MARKS;
        if is_known || is_cleared || (is_full && place == 0) {
            return false;
        }
        self.marks.insert(place, mark);
        if is_full {
            self.marks.remove(0);
        }
        true
    }

    /// Whether this record was cleared of marks that `told` still counts.
    pub(super) fn has_later_clearing(&self, told: &CallRecord) -> bool {
        is_later(self.cleared, told.cleared) && told.strikes() > 1
    }

    pub(super) fn clear(&mut self, now: Instant) {
        self.marks.clear();
        self.cleared = Some(now);
        self.tried = None;
    }

    pub(super) fn set_tried(&mut self, tried: Option<Instant>) {
        self.tried = tried;
    }

    /// What is left of `hold` after the last mark.
    pub(super) fn held_for(&self, hold: Duration, now: Instant) -> Duration {
        self.marks().last().map_or(Duration::ZERO, |mark| {
            (mark.ended + hold).saturating_duration_since(now)
        })
    }

    /// Whether a try that went within `time` has not ended. One after which a
    /// target ended is over.
    pub(super) fn is_tried(&self, time: Duration, now: Instant) -> bool {
        let last_end = self.marks().last().map(|mark| mark.ended);
        self.tried
            .is_some_and(|tried| now < tried + time && Some(tried) > last_end)
    }

    /// When it last changed.
    pub(super) fn last_change(&self) -> Option<Instant> {
        let last_mark = self.marks.last().map(|mark| mark.ended);
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
