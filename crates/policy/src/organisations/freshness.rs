//! How old a daemon's knowledge of the configuration is.
//!
//! A key counts as withdrawn everywhere a bounded time after its withdrawal was
//! accepted, also on hosts that are cut off. So a daemon goes by keys only while
//! what it knows was read from the store less than that time ago.
//!
//! Few daemons read the store; the others are told. What they are told is a time
//! on the store's clock, which delays on the way cannot make younger, and each
//! relates that clock to its own by a question and its answer.

use std::time::Duration;

/// Part of the time since a reading by which two clocks may have drifted apart.
const DRIFT: f64 = 0.000_2;

/// Time after which a reading has drifted enough for another.
const READ_AGAIN_AFTER: Duration = Duration::from_mins(5);

/// Relates another clock to one's own by readings of it.
///
/// All times are counted from any fixed moment; one's own must go on while the
/// host is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockBound {
    reading: Option<ClockPair>,
}

/// Their clock showed `theirs` at the time `ours` or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockPair {
    theirs: Duration,
    ours: Duration,
}

impl ClockPair {
    /// Whether this bounds the difference of the clocks at least as closely as
    /// `other`, which has drifted until `now`.
    fn is_closer_than(self, other: ClockPair, now: Duration) -> bool {
        let drifted = now.saturating_sub(other.ours).mul_f64(DRIFT);
        self.ours + other.theirs + drifted >= other.ours + self.theirs
    }
}

impl ClockBound {
    /// Takes a reading: theirs was asked for at `ours` and showed at most `theirs`
    /// then.
    pub fn note(&mut self, theirs: Duration, ours: Duration) {
        let reading = ClockPair { theirs, ours };
        let is_better = self
            .reading
            .is_none_or(|known| reading.is_closer_than(known, ours));
        if is_better {
            self.reading = Some(reading);
        }
    }

    /// The earliest time on the own clock at which theirs showed `theirs`; `None`
    /// before the first reading.
    #[must_use]
    pub fn earliest(&self, theirs: Duration) -> Option<Duration> {
        let known = self.reading?;
        let passed = theirs.saturating_sub(known.theirs);
        let drifted = passed.mul_f64(DRIFT);
        Some((known.ours + theirs).saturating_sub(known.theirs + drifted))
    }

    /// What their clock shows at most when the own one shows `ours`; `None` before
    /// the first reading.
    #[must_use]
    pub fn latest(&self, ours: Duration) -> Option<Duration> {
        let known = self.reading?;
        let passed = ours.saturating_sub(known.ours);
        Some(known.theirs + passed + passed.mul_f64(DRIFT))
    }
}

/// Word that a version was the store's newest at a time on its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// How often the store had come back from an older copy.
    pub era: u64,
    /// The version.
    pub version: u64,
    /// The time, on the store's clock.
    pub at: Duration,
}

/// What a daemon knows of the age of its version.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionFreshness {
    /// The store's era that `clock` and `pending` belong to.
    era: u64,
    clock: ClockBound,
    /// The newest confirmation, of the version in force or a later one.
    newest_confirmation: Option<Confirmation>,
    /// When the version in force was the store's newest, on the own clock.
    confirmed: Option<Duration>,
}

impl VersionFreshness {
    /// Takes a reading of the store's clock in `era`: it was asked for at `ours`
    /// and showed at most `theirs` then.
    pub fn record_clock_sample(&mut self, era: u64, theirs: Duration, ours: Duration) {
        self.enter(era);
        if era == self.era {
            self.clock.note(theirs, ours);
        }
    }

    /// Takes a confirmation, while version `in_force` is.
    pub fn confirm(&mut self, confirmation: Confirmation, in_force: u64) {
        self.enter(confirmation.era);
        if confirmation.era != self.era {
            return;
        }
        let is_newer = self
            .newest_confirmation
            .is_none_or(|known| confirmation.at > known.at);
        if is_newer {
            self.newest_confirmation = Some(confirmation);
            self.update_for_version(in_force);
        }
    }

    /// Takes note that version `in_force` is.
    pub fn update_for_version(&mut self, in_force: u64) {
        let Some(newest_confirmation) = self
            .newest_confirmation
            .filter(|newest_confirmation| newest_confirmation.version <= in_force)
        else {
            return;
        };
        self.confirmed = self
            .confirmed
            .max(self.clock.earliest(newest_confirmation.at));
    }

    /// The newest confirmation of the version in force or an older one, to be
    /// passed on.
    #[must_use]
    pub fn newest_confirmation(&self) -> Option<Confirmation> {
        self.newest_confirmation
    }

    /// What the store's clock shows at most at `now`, and its era; `None` before
    /// the first reading.
    #[must_use]
    pub fn store_clock(&self, now: Duration) -> Option<(u64, Duration)> {
        Some((self.era, self.clock.latest(now)?))
    }

    /// Whether the store's clock is to be read (again) at `now`.
    #[must_use]
    pub fn needs_clock_sample(&self, now: Duration) -> bool {
        let reading = self.clock.reading;
        reading.is_none_or(|reading| now.saturating_sub(reading.ours) > READ_AGAIN_AFTER)
    }

    /// How long ago the version in force was the store's newest, at most; `None`
    /// when that is not known.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed?))
    }

    /// Forgets what belongs to an earlier era of the store: its clock may be
    /// another one now.
    fn enter(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.clock = ClockBound::default();
            self.newest_confirmation = None;
        }
    }
}
