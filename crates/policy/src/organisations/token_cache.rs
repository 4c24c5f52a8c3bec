//! The few tokens that a daemon keeps for an organisation's next calls.

use std::time::{Duration, Instant};

use super::quota::TokenGrant;
use crate::numbers::whole_of;

/// Time after its last grant in which a token is to be spent.
const KEPT_FOR: Duration = Duration::from_secs(1);
/// Time for whose calls tokens are asked for ahead: what all daemons keep is
/// spent beyond the rate when calls rise, so it is kept short.
const AHEAD: Duration = Duration::from_millis(150);
/// Time over which the use of late is counted.
const USE_OVER: Duration = Duration::from_secs(2);

/// What becomes of a call that wants a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// It has one.
    Taken,
    /// One has to be asked for.
    RequestMore,
    /// There is none for this long.
    Exhausted(Duration),
}

/// An organisation's tokens at one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenCache {
    tokens: u32,
    granted: Option<Instant>,
    dry_until: Option<Instant>,
    /// Calls a second of late.
    used_per_s: f64,
    counted: Option<Instant>,
}

impl TokenCache {
    /// Takes a token for a call, if there is one.
    pub fn take(&mut self, now: Instant) -> TakeOutcome {
        self.drop_old(now);
        if self.tokens > 0 {
            self.tokens -= 1;
            self.count(now);
            return TakeOutcome::Taken;
        }
        match self.dry_until {
            Some(until) if now < until => TakeOutcome::Exhausted(until - now),
            _ => TakeOutcome::RequestMore,
        }
    }

    /// Whether tokens are to be asked for before the next call wants one.
    #[must_use]
    pub fn needs_refill(&self, now: Instant) -> bool {
        let is_dry = self.dry_until.is_some_and(|until| now < until);
        !is_dry && self.tokens < self.ahead()
    }

    /// How many to ask for when `waiting` calls want one.
    #[must_use]
    pub fn wanted(&self, waiting: u32) -> u32 {
        waiting.max(1) + self.ahead().saturating_sub(self.tokens)
    }

    /// Takes what a pool granted.
    pub fn granted(&mut self, grant: TokenGrant, now: Instant) {
        self.drop_old(now);
        if grant.tokens > 0 {
            self.tokens += grant.tokens;
            self.granted = Some(now);
            self.dry_until = None;
        } else {
            self.dry_until = Some(now + grant.next_token_in);
        }
    }

    /// Takes back the token of a call that did not run.
    pub fn refund(&mut self, now: Instant) {
        self.drop_old(now);
        self.tokens += 1;
        self.granted.get_or_insert(now);
    }

    fn ahead(&self) -> u32 {
        u32::try_from(whole_of(self.used_per_s * AHEAD.as_secs_f64())).unwrap_or(0)
    }

    fn drop_old(&mut self, now: Instant) {
        let is_old = self.granted.is_some_and(|at| now >= at + KEPT_FOR);
        if is_old {
            self.tokens = 0;
            self.granted = None;
        }
    }

    /// Counts a call into the use of late, in which older ones weigh less.
    fn count(&mut self, now: Instant) {
        let passed = self.counted.map_or(USE_OVER, |at| now - at);
        let faded = (-passed.as_secs_f64() / USE_OVER.as_secs_f64()).exp();
        self.used_per_s = self.used_per_s * faded + 1.0 / USE_OVER.as_secs_f64();
        self.counted = Some(now);
    }
}
