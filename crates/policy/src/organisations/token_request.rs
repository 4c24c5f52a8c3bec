//! A call that needs a token, and what decides on its rank among others.

use std::time::{Duration, Instant};

use crate::run_times::RunTime;
use crate::told_times::RetryTiming;

/// Maximum time for which a call waits for a token.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(250);

/// Class of calls that get tokens at one rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// Calls in time with this priority.
    InTime(u8),
    /// Calls that can no longer be answered by their soft deadlines.
    Late,
}

/// A call that needs a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenRequest {
    /// Priority of the call; 0 is the highest.
    pub priority: u8,
    /// Time after which an answer is worth less.
    pub soft_deadline: Instant,
    /// Time after which an answer is worth nothing.
    pub deadline: Instant,
    /// Expected time from the dispatch of the call to its answer.
    pub run: RunTime,
    /// Whether the call was retried at the time that it was told.
    pub timing: RetryTiming,
}

impl TokenRequest {
    /// Returns the class of the call if it gets a token at `now`.
    #[must_use]
    pub fn class(&self, now: Instant) -> CallClass {
        if self.is_late(now) {
            CallClass::Late
        } else {
            CallClass::InTime(self.priority)
        }
    }

    /// Whether the call can no longer be answered by its soft deadline.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        now + self.run.mean > self.soft_deadline
    }

    /// Returns the time for which the call can wait and still be in time.
    #[must_use]
    pub fn slack(&self, now: Instant) -> Duration {
        let latest_start = self.soft_deadline.checked_sub(self.run.mean);
        latest_start.map_or(Duration::ZERO, |latest| {
            latest.saturating_duration_since(now)
        })
    }

    /// Returns the time for which the call can wait and be in time with most run times:
    /// nine in ten runs that start by then end in time, or half of the runs if the call
    /// has less time.
    #[must_use]
    pub fn safe_slack(&self, now: Instant) -> Duration {
        let reserve = self.run.p90().saturating_sub(self.run.mean);
        let slack = self.slack(now);
        let remaining = slack.checked_sub(reserve).filter(|left| !left.is_zero());
        remaining.unwrap_or(slack)
    }

    /// Returns the time until which the call waits while tokens are short.
    #[must_use]
    pub fn wait_under_shortage(&self, now: Instant) -> Instant {
        self.longest_wait(now).min(now + self.safe_slack(now))
    }

    /// Returns the time until which any call waits.
    #[must_use]
    pub fn longest_wait(&self, now: Instant) -> Instant {
        self.deadline.min(now + MAX_TOKEN_WAIT)
    }
}

/// Why a call gets no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// No token is expected before the call would be late, or before the pools have
    /// tokens again if it is late already.
    LimitReached,
    /// The call is late, and the tokens are needed for calls in time.
    Late,
    /// The call waited, and no token came in time.
    NoToken,
}

impl QuotaRefusal {
    /// Label for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            QuotaRefusal::LimitReached => "limit_reached",
            QuotaRefusal::Late => "late",
            QuotaRefusal::NoToken => "no_token",
        }
    }
}
