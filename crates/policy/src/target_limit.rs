//! Limit on the rate of calls that a target states in its answers, kept with a token
//! bucket by the daemon beside the target.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::numbers::truncate_to_u64;

/// Highest rate that counts as a limit, in calls per second. No target runs more.
const MAX_RATE: f64 = 1e6;

/// Rate of calls that a target accepts from all callers together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct CallRate(f64);

/// Error of a number that is no rate of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidCallRate;

impl fmt::Display for InvalidCallRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not a rate of calls")
    }
}

impl std::error::Error for InvalidCallRate {}

impl TryFrom<f64> for CallRate {
    type Error = InvalidCallRate;

    fn try_from(per_second: f64) -> Result<CallRate, InvalidCallRate> {
        CallRate::new(per_second).ok_or(InvalidCallRate)
    }
}

impl CallRate {
    /// Creates a rate from a number of calls per second. `None` if it is negative, not
    /// finite or implausibly high.
    #[must_use]
    pub fn new(per_second: f64) -> Option<CallRate> {
        (0.0..=MAX_RATE)
            .contains(&per_second)
            .then_some(CallRate(per_second))
    }

    /// The rate in calls per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// What an answer states about the target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// The target has no limit.
    #[default]
    Unlimited,
    /// The target accepts calls at this rate.
    Limited(CallRate),
    /// The answer has a limit that cannot be read.
    Unreadable,
}

/// A change of a target's limit; `None` stands for no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit so far.
    pub before: Option<CallRate>,
    /// The limit from now on.
    pub after: Option<CallRate>,
}

/// Rate at which calls are sent to a target with a lower limit. Without any call no
/// answer would ever state that the limit has ended.
const MIN_PROBE_RATE: f64 = 0.5;
/// Time whose calls a target may get at once after it was idle.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Time until the next call if the bucket cannot tell, such as for an absurd number
/// of calls ahead.
const MAX_WAIT: Duration = Duration::from_secs(1_000);

impl CallRate {
    /// Rate at which calls are sent, in calls per second.
    fn sending_rate(self) -> f64 {
        self.0.max(MIN_PROBE_RATE)
    }

    /// Highest number of calls that may be sent at once.
    fn burst(self) -> f64 {
        1.0 + self.0 * BURST_TIME.as_secs_f64()
    }

    /// Number of calls that may be sent after `elapsed`, if `ready` could be sent
    /// before.
    fn refill(self, ready: f64, elapsed: Duration) -> f64 {
        (ready + self.sending_rate() * elapsed.as_secs_f64()).min(self.burst())
    }

    /// Time until `count` calls can be sent, if `ready` can be sent now.
    fn wait(self, ready: f64, count: f64) -> Duration {
        let missing = (count - ready).max(0.0);
        Duration::try_from_secs_f64(missing / self.sending_rate())
            .map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }
}

/// What is left of a target's limit, as other daemons learn it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallAllowance {
    /// The limit.
    pub rate: CallRate,
    /// Number of calls that can be sent at once; negative while calls wait for the
    /// limit.
    pub ready: f64,
}

impl CallAllowance {
    /// The allowance after `elapsed` without further calls.
    #[must_use]
    pub fn after(self, elapsed: Duration) -> CallAllowance {
        CallAllowance {
            ready: self.rate.refill(self.ready, elapsed),
            ..self
        }
    }

    /// Time until one more call can be sent behind `ahead` calls that the allowance
    /// does not include.
    #[must_use]
    pub fn wait_behind(self, ahead: f64) -> Duration {
        self.rate.wait(self.ready, ahead + 1.0)
    }
}

/// The limit of one instance of a target, and the calls that it leaves room for.
///
/// All calls to a target pass the daemon on its host, so this daemon alone keeps the
/// limit for all callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetLimit {
    rate: Option<CallRate>,
    /// Time of the latest answer that stated `rate`; `None` if no answer did.
    stated_at: Option<Instant>,
    /// Number of calls that could be sent at `refilled_at`.
    ready: f64,
    refilled_at: Option<Instant>,
}

impl TargetLimit {
    /// The limit in force; `None` if there is none.
    #[must_use]
    pub fn rate(&self) -> Option<CallRate> {
        self.rate
    }

    /// Records what the answer to a call that was sent at `sent_at` states. Returns the
    /// change of the limit, if any.
    ///
    /// Answers can be read in another order than the target sent them. An answer is
    /// certainly newer than the one that stated the present limit only if its call was
    /// sent after that. Other answers can lower the limit but not raise it.
    pub fn record(
        &mut self,
        statement: LimitStatement,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let after = match statement {
            LimitStatement::Unlimited => None,
            LimitStatement::Limited(rate) => Some(rate),
            LimitStatement::Unreadable => return None,
        };
        let before = self.rate;
        if after == before {
            self.stated_at = Some(now);
            return None;
        }
        let is_lower = after.is_some_and(|after| before.is_none_or(|before| after < before));
        let is_newer = self.stated_at.is_none_or(|stated_at| sent_at >= stated_at);
        if !is_lower && !is_newer {
            return None;
        }
        self.stated_at = Some(now);
        self.set_rate(after, now);
        Some(LimitChange { before, after })
    }

    /// Restores the limit after a restart of the daemon, as other daemons report it.
    /// Returns the change, if any. The lowest limit counts until the target itself has
    /// stated one.
    pub fn restore(&mut self, rate: CallRate, now: Instant) -> Option<LimitChange> {
        let before = self.rate;
        if self.stated_at.is_some() || before.is_some_and(|before| before <= rate) {
            return None;
        }
        self.set_rate(Some(rate), now);
        Some(LimitChange {
            before,
            after: Some(rate),
        })
    }

    /// Calls that were sent before a limit are not known, so a new limit starts with
    /// none ready.
    fn set_rate(&mut self, rate: Option<CallRate>, now: Instant) {
        self.ready = match (self.allowance(now), rate) {
            (Some(allowance), Some(rate)) => allowance.ready.min(rate.burst()),
            _ => 0.0,
        };
        self.refilled_at = Some(now);
        self.rate = rate;
    }

    /// What is left of the limit; `None` without a limit.
    #[must_use]
    pub fn allowance(&self, now: Instant) -> Option<CallAllowance> {
        let rate = self.rate?;
        let elapsed = self.refilled_at.map_or(Duration::ZERO, |refilled_at| {
            now.saturating_duration_since(refilled_at)
        });
        Some(CallAllowance {
            rate,
            ready: rate.refill(self.ready, elapsed),
        })
    }

    /// Number of calls that can be sent now, at most `wanted`.
    #[must_use]
    pub fn ready_calls(&self, wanted: usize, now: Instant) -> usize {
        self.allowance(now).map_or(wanted, |allowance| {
            let ready = truncate_to_u64(allowance.ready);
            usize::try_from(ready).map_or(wanted, |ready| ready.min(wanted))
        })
    }

    /// Time until one more call can be sent behind `ahead` calls that wait.
    #[must_use]
    pub fn wait_behind(&self, ahead: f64, now: Instant) -> Duration {
        self.allowance(now)
            .map_or(Duration::ZERO, |allowance| allowance.wait_behind(ahead))
    }

    /// Time of the target's capacity that each call takes.
    #[must_use]
    pub fn time_per_call(&self) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| rate.wait(0.0, 1.0))
    }

    /// Counts a call that is sent.
    pub fn take(&mut self, now: Instant) {
        self.add(-1.0, now);
    }

    /// Gives back a call that was counted but not sent.
    pub fn give_back(&mut self, now: Instant) {
        self.add(1.0, now);
    }

    fn add(&mut self, calls: f64, now: Instant) {
        if let Some(allowance) = self.allowance(now) {
            self.ready = (allowance.ready + calls).min(allowance.rate.burst());
            self.refilled_at = Some(now);
        }
    }
}
