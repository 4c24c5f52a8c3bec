//! Tracks how old a daemon's version of the configuration is.
//!
//! A withdrawn key must be rejected everywhere within a bounded time after its
//! withdrawal was accepted, also on hosts that are cut off. A daemon therefore
//! accepts keys only while its version was confirmed by the store less than that
//! time ago.
//!
//! Only a few daemons query the store; the others receive confirmations from
//! them. A confirmation carries a time on the store's clock, so delays on the way
//! cannot make it look younger. Each daemon relates the store's clock to its own
//! by a request for the time and the response to it.

use std::time::Duration;

/// Maximum drift between two clocks, as a fraction of the time elapsed.
const MAX_DRIFT_RATE: f64 = 0.000_2;

/// Age of a clock sample after which drift warrants a new one.
const RESAMPLE_AFTER: Duration = Duration::from_mins(5);

/// Relates a remote clock to the local one by samples of the remote clock.
///
/// Each clock may count from any fixed moment. The local clock must keep running
/// while the host is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteClock {
    sample: Option<ClockSample>,
}

/// A bound on the difference of the clocks: the remote clock showed `remote` when
/// the local clock showed `local` or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockSample {
    remote: Duration,
    local: Duration,
}

impl ClockSample {
    /// Whether this sample bounds the difference of the clocks at least as tightly
    /// as `other`, given the drift since `other` until `now`.
    fn is_tighter_than(self, other: ClockSample, now: Duration) -> bool {
        let drift = now.saturating_sub(other.local).mul_f64(MAX_DRIFT_RATE);
        self.local + other.remote + drift >= other.local + self.remote
    }
}

impl RemoteClock {
    /// Records a sample: the remote clock was requested at `local`, and showed at
    /// most `remote` at that time. Keeps only the sample with the tightest bound.
    pub fn record(&mut self, remote: Duration, local: Duration) {
        let sample = ClockSample { remote, local };
        let is_better = self
            .sample
            .is_none_or(|known| sample.is_tighter_than(known, local));
        if is_better {
            self.sample = Some(sample);
        }
    }

    /// Returns the earliest local time at which the remote clock showed `remote`;
    /// `None` before the first sample.
    #[must_use]
    pub fn earliest_local(&self, remote: Duration) -> Option<Duration> {
        let known = self.sample?;
        let elapsed = remote.saturating_sub(known.remote);
        let drift = elapsed.mul_f64(MAX_DRIFT_RATE);
        Some((known.local + remote).saturating_sub(known.remote + drift))
    }

    /// Returns the latest time that the remote clock may show when the local one
    /// shows `local`; `None` before the first sample.
    #[must_use]
    pub fn latest_remote(&self, local: Duration) -> Option<Duration> {
        let known = self.sample?;
        let elapsed = local.saturating_sub(known.local);
        Some(known.remote + elapsed + elapsed.mul_f64(MAX_DRIFT_RATE))
    }
}

/// States that a version was the newest in the store at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The store's era: how many times it has been restored from an older copy.
    pub era: u64,
    /// Number of the version.
    pub version: u64,
    /// Time of the confirmation on the store's clock.
    pub at: Duration,
}

/// Tracks how recently a daemon's version in force was the newest in the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionFreshness {
    /// The store's era to which `clock` and `newest_confirmation` belong.
    era: u64,
    clock: RemoteClock,
    /// The latest confirmation received, of any version.
    newest_confirmation: Option<Confirmation>,
    /// Local time at which the version in force was last known to be the newest
    /// in the store.
    confirmed_at: Option<Duration>,
}

impl VersionFreshness {
    /// Records a sample of the store's clock in `era`: the clock was requested at
    /// local time `local`, and showed at most `remote` at that time. Ignores
    /// samples of earlier eras.
    pub fn record_clock_sample(&mut self, era: u64, remote: Duration, local: Duration) {
        self.enter_era(era);
        if era == self.era {
            self.clock.record(remote, local);
        }
    }

    /// Records a confirmation while version `in_force` is in force. Ignores
    /// confirmations of earlier eras, and those no later than the latest one.
    pub fn confirm(&mut self, confirmation: Confirmation, in_force: u64) {
        self.enter_era(confirmation.era);
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

    /// Applies the latest confirmation if `in_force`, the version in force, is at
    /// least the confirmed one.
    pub fn update_for_version(&mut self, in_force: u64) {
        let Some(confirmation) = self
            .newest_confirmation
            .filter(|confirmation| confirmation.version <= in_force)
        else {
            return;
        };
        self.confirmed_at = self
            .confirmed_at
            .max(self.clock.earliest_local(confirmation.at));
    }

    /// Returns the latest confirmation received, for forwarding to other daemons.
    /// It may confirm a version newer than the one in force.
    #[must_use]
    pub fn newest_confirmation(&self) -> Option<Confirmation> {
        self.newest_confirmation
    }

    /// Returns the store's era and the latest time that its clock may show at local
    /// time `now`; `None` before the first sample.
    #[must_use]
    pub fn store_clock(&self, now: Duration) -> Option<(u64, Duration)> {
        Some((self.era, self.clock.latest_remote(now)?))
    }

    /// Whether the store's clock has to be sampled at `now`, as there is no sample
    /// or the sample is too old.
    #[must_use]
    pub fn needs_clock_sample(&self, now: Duration) -> bool {
        let sample = self.clock.sample;
        sample.is_none_or(|sample| now.saturating_sub(sample.local) > RESAMPLE_AFTER)
    }

    /// Returns an upper bound on the time since the version in force was the newest
    /// in the store; `None` if that is not known.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Discards the clock and the confirmation when `era` is a later one: the
    /// restored store may have a different clock.
    fn enter_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.clock = RemoteClock::default();
            self.newest_confirmation = None;
        }
    }
}
