//! Tokens that a daemon requests in advance for an organisation's next calls.

use std::time::{Duration, Instant};

use super::quota::TokenGrant;
use crate::numbers::truncate_to_u64;

/// Time after the last grant at which unused tokens expire.
const TOKEN_TTL: Duration = Duration::from_secs(1);
/// Time for whose expected calls tokens are requested in advance. The tokens
/// cached by all daemons are spent in excess of the rate when the number of calls
/// rises, so this is short.
const PREFETCH_WINDOW: Duration = Duration::from_millis(150);
/// Time constant of the exponentially decaying average of token use.
const USAGE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Outcome of taking a token for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// A cached token was taken.
    Taken,
    /// No token is cached; one has to be requested from a pool.
    RequestMore,
    /// The pools have no tokens for this long.
    Exhausted(Duration),
}

/// The tokens of one organisation that a daemon has cached.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenCache {
    tokens: u32,
    granted_at: Option<Instant>,
    exhausted_until: Option<Instant>,
    /// Recent rate of token use, in calls per second.
    used_per_s: f64,
    last_used: Option<Instant>,
}

impl TokenCache {
    /// Takes a cached token for a call, if there is one.
    pub fn take(&mut self, now: Instant) -> TakeOutcome {
        self.expire(now);
        if self.tokens > 0 {
            self.tokens -= 1;
            self.record_use(now);
            return TakeOutcome::Taken;
        }
        match self.exhausted_until {
            Some(until) if now < until => TakeOutcome::Exhausted(until - now),
            _ => TakeOutcome::RequestMore,
        }
    }

    /// Returns the time until the pools may have tokens again; zero if they may have
    /// some now.
    #[must_use]
    pub fn exhausted_for(&self, now: Instant) -> Duration {
        self.exhausted_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Whether tokens should be requested now, before the next call needs one.
    #[must_use]
    pub fn needs_refill(&self, now: Instant) -> bool {
        let is_exhausted = self.exhausted_until.is_some_and(|until| now < until);
        !is_exhausted && self.tokens < self.prefetch_size()
    }

    /// Returns the number of tokens to request while `waiting` calls wait for one.
    #[must_use]
    pub fn wanted(&self, waiting: u32) -> u32 {
        waiting.max(1) + self.prefetch_size().saturating_sub(self.tokens)
    }

    /// Adds the tokens of a pool's `grant`. If it has none, the cache counts as
    /// exhausted until the pool expects its next token.
    pub fn granted(&mut self, grant: TokenGrant, now: Instant) {
        self.expire(now);
        if grant.tokens > 0 {
            self.tokens += grant.tokens;
            self.granted_at = Some(now);
            self.exhausted_until = None;
        } else {
            self.exhausted_until = Some(now + grant.next_token_in);
        }
    }

    /// Returns the token of a call that did not run to the cache.
    pub fn refund(&mut self, now: Instant) {
        self.expire(now);
        self.tokens += 1;
        self.granted_at.get_or_insert(now);
    }

    /// Number of tokens to hold in advance at the recent rate of use.
    fn prefetch_size(&self) -> u32 {
        u32::try_from(truncate_to_u64(
            self.used_per_s * PREFETCH_WINDOW.as_secs_f64(),
        ))
        .unwrap_or(0)
    }

    /// Discards all tokens if the last grant is too long ago.
    fn expire(&mut self, now: Instant) {
        let is_expired = self.granted_at.is_some_and(|at| now >= at + TOKEN_TTL);
        if is_expired {
            self.tokens = 0;
            self.granted_at = None;
        }
    }

    /// Adds one call to the decaying average of token use.
    fn record_use(&mut self, now: Instant) {
        let elapsed = self.last_used.map_or(USAGE_TIME_CONSTANT, |at| now - at);
        let decay = (-elapsed.as_secs_f64() / USAGE_TIME_CONSTANT.as_secs_f64()).exp();
        self.used_per_s = self.used_per_s * decay + 1.0 / USAGE_TIME_CONSTANT.as_secs_f64();
        self.last_used = Some(now);
    }
}
