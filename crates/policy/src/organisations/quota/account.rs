//! Counts of the tokens of one organisation in one pool.

use std::time::{Duration, Instant};

use crate::numbers::truncate_to_u64;

/// What became of an organisation's tokens in one pool since the pool was created.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolAccount {
    /// Number of tokens generated.
    pub generated: f64,
    /// Number of tokens granted to hosts.
    pub granted: u64,
    /// Number of tokens discarded because the bucket was full.
    pub lost_full: f64,
    /// Number of tokens sent to pools of other zones.
    pub lent: u64,
    /// Number of tokens received from pools of other zones.
    pub borrowed: u64,
    /// Number of tokens granted in the last complete window, as a fraction of the
    /// calls that the organisation's whole limit allows in a window.
    pub granted_share: f64,
}

impl PoolAccount {
    /// Whether the pool has had tokens of the organisation.
    #[must_use]
    pub fn has_activity(&self) -> bool {
        truncate_to_u64(self.generated) + self.granted + self.borrowed > 0
    }
}

/// Counts the tokens granted in consecutive windows.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantWindow {
    started_at: Instant,
    granted: u32,
    /// Number of tokens granted in the window before this one.
    granted_before: u32,
}

impl GrantWindow {
    pub(super) fn new(now: Instant) -> GrantWindow {
        GrantWindow {
            started_at: now,
            granted: 0,
            granted_before: 0,
        }
    }

    /// Starts a new window if the current one has ended.
    fn advance(&mut self, window: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started_at);
        if elapsed < window {
            return;
        }
        let follows_directly = elapsed < window * 2;
        *self = GrantWindow {
            started_at: if follows_directly {
                self.started_at + window
            } else {
                now
            },
            granted: 0,
            granted_before: if follows_directly { self.granted } else { 0 },
        };
    }

    pub(super) fn add(&mut self, tokens: u32, window: Duration, now: Instant) {
        self.advance(window, now);
        self.granted = self.granted.saturating_add(tokens);
    }

    /// Returns the number of tokens granted in the last complete window.
    pub(super) fn last_complete(mut self, window: Duration, now: Instant) -> f64 {
        self.advance(window, now);
        f64::from(self.granted_before)
    }
}
