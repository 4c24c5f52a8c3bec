//! Limit on the rate of calls that a target states in its answers.

use std::fmt;
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Highest rate that counts as a limit, in calls per second. No target runs more.
const MAX_RATE: f64 = 1e6;

/// Rate of calls that a target accepts from all callers together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CallRate(f64);

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
pub enum RateStatement {
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
pub struct RateChange {
    /// The limit so far.
    pub before: Option<CallRate>,
    /// The limit from now on.
    pub after: Option<CallRate>,
}

/// The limit of one instance of a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    rate: Option<CallRate>,
    /// Time of the latest answer that stated `rate`.
    stated_at: Option<Instant>,
}

impl RateLimit {
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
        statement: RateStatement,
        sent_at: Instant,
        now: Instant,
    ) -> Option<RateChange> {
        let after = match statement {
            RateStatement::Unlimited => None,
            RateStatement::Limited(rate) => Some(rate),
            RateStatement::Unreadable => return None,
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
        self.rate = after;
        self.stated_at = Some(now);
        Some(RateChange { before, after })
    }
}
