//! What is known of one call that was running as targets crashed.

use std::time::{Duration, Instant};

use super::{FIRST_HOLD, HELD_STRIKES};

/// Most crashes in a record; far more than any decision depends on.
const MAX_CRASHES: usize = 16;
/// Times that daemons report are taken for equal within this tolerance, which
/// covers a message's transit time.
const TIME_TOLERANCE: Duration = Duration::from_millis(500);

/// A crash of a target while it ran a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetCrash {
    /// Random number that identifies the crash among those of the call.
    pub id: u64,
    /// When the target began to run the call.
    pub began: Instant,
    /// When the target crashed.
    pub ended: Instant,
}

/// The crashes, the last full answer and the pending probe of one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallRecord {
    /// Crashes, by the time of the crash.
    crashes: Vec<TargetCrash>,
    /// When the call last ran to a full answer; crashes up to then do not count.
    cleared: Option<Instant>,
    /// Start of the last probe, if it has not ended.
    probe_started: Option<Instant>,
}

impl CallRecord {
    /// A record of a single crash.
    #[must_use]
    pub fn from_crash(crash: TargetCrash) -> CallRecord {
        CallRecord::new(vec![crash], None, None)
    }

    /// A record from its parts, as another daemon or a stored row has them. The
    /// crashes may be in any order.
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

    /// The crashes since the call was last cleared, by the time of the crash.
    pub fn crashes(&self) -> impl Iterator<Item = &TargetCrash> {
        let counts =
            |crash: &&TargetCrash| self.cleared.is_none_or(|cleared| crash.ended > cleared);
        self.crashes.iter().filter(counts)
    }

    /// When the call last ran to a full answer; `None` if it never did.
    #[must_use]
    pub fn cleared(&self) -> Option<Instant> {
        self.cleared
    }

    /// Start of the last probe; `None` if it is known to have ended.
    #[must_use]
    pub fn probe_started(&self) -> Option<Instant> {
        self.probe_started
    }

    /// How strongly the crashes speak against the call.
    ///
    /// Crashes are grouped in rounds: a crash opens a new round if its run began
    /// after the crash that opened the round before. Targets that crash at one
    /// moment, as when an availability zone fails, are one round. A single round is
    /// one strike, even for a popular call that ran on all of these targets. From
    /// the second round on, each crash is a strike, up to [`HELD_STRIKES`].
    ///
    /// Crashes that happen before all daemons know of the third strike add
    /// nothing. Beyond it only runs count that began at least [`FIRST_HOLD`] after
    /// the crash before, that is, probes after a hold.
    #[must_use]
    pub fn strikes(&self) -> u32 {
        let mut strikes = 0;
        let mut rounds = 0;
        let mut round_opened = None;
        let mut last_crash = None;
        for (crash_count, crash) in (1..).zip(self.crashes()) {
            let began_after =
                |time: Option<Instant>, by| time.is_none_or(|at| crash.began >= at + by);
            if strikes >= HELD_STRIKES {
                strikes += u32::from(began_after(last_crash, FIRST_HOLD));
            } else if began_after(round_opened, Duration::ZERO) {
                rounds += 1;
                round_opened = Some(crash.ended);
            }
            if strikes < HELD_STRIKES {
                strikes = match rounds {
                    1 => 1,
                    _ => crash_count.min(rounds + 1).min(HELD_STRIKES),
                };
            }
            last_crash = Some(crash.ended);
        }
        strikes
    }

    /// Whether the call has enough strikes to be held back.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.strikes() >= HELD_STRIKES
    }

    /// Merges the record `received` into this one; returns whether that changed it.
    pub(super) fn merge(&mut self, received: &CallRecord) -> bool {
        let mut is_new = false;
        if is_later(received.cleared, self.cleared) {
            self.cleared = received.cleared;
            is_new = true;
        }
        if is_later(received.probe_started, self.probe_started) {
            self.probe_started = received.probe_started;
            is_new = true;
        }
        for crash in &received.crashes {
            is_new |= self.add(*crash);
        }
        is_new
    }

    /// Adds a crash; returns whether it was added.
    ///
    /// A crash is ignored if it is known, if the call was cleared after it, or if
    /// it is older than all crashes of a full record. Daemons would otherwise drop
    /// such a crash and pass it back to each other for ever.
    fn add(&mut self, crash: TargetCrash) -> bool {
        let is_known = self.crashes.iter().any(|known| known.id == crash.id);
        let is_cleared = self.cleared.is_some_and(|cleared| crash.ended <= cleared);
        let place = self
            .crashes
            .partition_point(|known| known.ended <= crash.ended);
        let is_full = self.crashes.len() >= MAX_CRASHES;
        if is_known || is_cleared || (is_full && place == 0) {
            return false;
        }
        self.crashes.insert(place, crash);
        if is_full {
            self.crashes.remove(0);
        }
        true
    }

    /// Whether this record was cleared of crashes that `received` still counts, and
    /// these make the call a suspect.
    pub(super) fn has_later_clearing(&self, received: &CallRecord) -> bool {
        is_later(self.cleared, received.cleared) && received.strikes() > 1
    }

    pub(super) fn clear(&mut self, now: Instant) {
        self.crashes.clear();
        self.cleared = Some(now);
        self.probe_started = None;
    }

    pub(super) fn set_probe_started(&mut self, probe_started: Option<Instant>) {
        self.probe_started = probe_started;
    }

    /// What is left at `now` of a `hold` that began with the last crash.
    pub(super) fn remaining_hold(&self, hold: Duration, now: Instant) -> Duration {
        self.crashes().last().map_or(Duration::ZERO, |crash| {
            (crash.ended + hold).saturating_duration_since(now)
        })
    }

    /// Whether a probe that started less than `timeout` ago has not ended. A crash
    /// after its start ends a probe.
    pub(super) fn is_probe_in_flight(&self, timeout: Duration, now: Instant) -> bool {
        let last_crash = self.crashes().last().map(|crash| crash.ended);
        self.probe_started.is_some_and(|probe_started| {
            now < probe_started + timeout && Some(probe_started) > last_crash
        })
    }

    /// Time of the last crash or clearing; `None` for an empty record.
    pub(super) fn last_change(&self) -> Option<Instant> {
        let last_crash = self.crashes.last().map(|crash| crash.ended);
        last_crash.max(self.cleared)
    }

    /// Whether no crash or clearing happened within the last `time`.
    pub(super) fn is_unchanged_for(&self, time: Duration, now: Instant) -> bool {
        self.last_change().is_none_or(|at| now >= at + time)
    }
}

/// Whether `one` is later than `other` by more than [`TIME_TOLERANCE`]; any time is
/// later than none.
fn is_later(one: Option<Instant>, other: Option<Instant>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one > other + TIME_TOLERANCE,
        (one, other) => one.is_some() && other.is_none(),
    }
}
