//! How long a call waits at a target, and whether that is worth it.

use std::time::{Duration, Instant};

use super::AdmissionRequest;

/// Part of the spread that must fit between the start of a call that waits
/// already and its aim.
const STAY_SPREAD: f64 = 0.5;
/// Runs that must fit between the start of a call whose aim is lost and its
/// deadline.
const LATE_RUNS: f64 = 1.5;
/// Part of a run that the answer to a call that is likely late may wait for
/// the host's link: late answers would keep it from those that are in time.
const LATE_LINK: f64 = 0.6;
/// Part of the runs at the target that a short call with a lost aim may wait
/// whatever else comes: a handful of slots end in that time.
const SHORT_WAIT: f64 = 0.6;
/// Part of the runs at the target up to which a call is short.
pub const SHORT_RUN_RATIO: f64 = 0.5;
/// Part of its time that a call that is likely late may wait: whoever is
/// refused after that has little time left to come back.
const LATE_HOLD: f64 = 0.5;
/// The same of the time to its aim, while that lies ahead.
const AIM_HOLD: f64 = 0.6;

/// Share of the slots above which the calls that go before are not counted.
const MOST_BEFORE: f64 = 0.95;

/// A wait that lies before a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ExpectedWait {
    /// If nothing else comes.
    plain: Duration,
    /// With the calls that come in the meantime and go before.
    likely: Duration,
    /// Mean time of the runs at the target.
    turn: Duration,
}

impl ExpectedWait {
    /// No wait at all.
    pub(super) fn none(turn: Duration) -> ExpectedWait {
        ExpectedWait {
            plain: Duration::ZERO,
            likely: Duration::ZERO,
            turn,
        }
    }

    /// A wait of `plain` where calls that go before take `share` of the slots:
    /// it grows by that share's complement, as behind a queue with ranks.
    pub(super) fn among(plain: Duration, share: f64, turn: Duration) -> ExpectedWait {
        ExpectedWait {
            plain,
            likely: plain.div_f64(1.0 - share.min(MOST_BEFORE)),
            turn,
        }
    }

    /// Whether a call that waits so long is likely answered in time.
    pub(super) fn meets_aim(&self, demand: &AdmissionRequest, now: Instant) -> bool {
        now + self.likely + demand.run.most() + demand.link.total() <= demand.soft_deadline
    }

    /// Whether a call that is likely late is worth its wait all the same.
    pub(super) fn fits_in(&self, demand: &AdmissionRequest, now: Instant) -> bool {
        let left = demand.deadline.saturating_duration_since(now);
        let link = demand.link.total();
        let run = demand.run.mean.mul_f64(LATE_RUNS);
        if demand.link.wait > demand.run.mean.mul_f64(LATE_LINK) {
            return false;
        }
        if self.ends_in_time(demand, now, now) {
            return self.likely + run + link <= left;
        }
        self.plain + demand.link.wait <= self.short_wait(demand) && self.plain + run + link <= left
    }

    /// How long a short call may wait at least.
    ///
    /// Load pattern: runs elsewhere wait for lookups of 30 ms at a target whose
    /// other runs take 480 ms. Turned away, a lookup costs the run that waits
    /// for it; let in, it takes a slot for a moment.
    fn short_wait(&self, demand: &AdmissionRequest) -> Duration {
        if demand.run.mean <= self.turn.mul_f64(SHORT_RUN_RATIO) {
            self.turn.mul_f64(SHORT_WAIT)
        } else {
            Duration::ZERO
        }
    }

    /// Whether a call that waits since `since` still has a use for it. Milder
    /// than for a newcomer, so that a call is not taken only to be turned away
    /// when the next run takes a little longer than most.
    pub(super) fn is_worth_staying(
        &self,
        demand: &AdmissionRequest,
        since: Instant,
        now: Instant,
    ) -> bool {
        let run = demand.run.mean + demand.run.mean_deviation.mul_f64(STAY_SPREAD);
        let rest = run + demand.link.send;
        if now + self.likely + rest <= demand.soft_deadline {
            return true;
        }
        if now + self.plain + demand.run.mean + demand.link.send > demand.deadline {
            return false;
        }
        self.ends_in_time(demand, since, now)
            || now + self.plain <= since + self.short_wait(demand) * 2
    }

    /// Whether the wait of a likely late call that came at `since` ends before
    /// it has waited too long: for its aim if nothing else comes, and for all
    /// its time with what is likely to.
    fn ends_in_time(&self, demand: &AdmissionRequest, since: Instant, now: Instant) -> bool {
        let had = demand.deadline.saturating_duration_since(since);
        let to_aim = demand.soft_deadline.saturating_duration_since(since);
        let start = now + demand.link.wait;
        start + self.likely <= since + had.mul_f64(LATE_HOLD)
            && (to_aim.is_zero() || start + self.plain <= since + to_aim.mul_f64(AIM_HOLD))
    }
}
