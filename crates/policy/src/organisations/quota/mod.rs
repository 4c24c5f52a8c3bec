//! Token pools that limit the calls an organisation runs on all daemons together.
//!
//! Each call of a limited organisation needs a token, and each token is spent
//! once. Tokens are generated only in the pools of a few daemons of each
//! availability zone, at fixed fractions of the organisation's rate.
//!
//! The number of calls therefore stays below the number of tokens generated,
//! whatever happens between the daemons: a pool that cannot be reached grants
//! nothing, a restarted pool is empty, and a lost grant is not repeated. The limit
//! holds when an organisation sends several times its usual number of calls on all
//! hosts at once, while some hosts are cut off or restart.

mod account;
mod leases;
mod pool;

use std::time::Duration;

pub use account::PoolAccount;
pub use leases::{PoolLeases, POOL_LEASE_DURATION};
pub use pool::TokenPool;

use super::keys::RateLimit;
use crate::numbers::count_to_f64;

/// Fraction of a burst that is converted to rate when limits apply to a window,
/// as the burst may be used again in every window.
const BURST_RATE_FRACTION: f64 = 0.8;

/// How rate limits are interpreted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaPolicy {
    /// Length of the windows to which limits apply: the calls in any window may
    /// reach the limit's rate times the window, plus its burst. `None` if a burst
    /// is not available again in every window.
    pub window: Option<Duration>,
    /// Number of calls over the limit, in all pools together, that is tolerated.
    pub slack: f64,
}

impl QuotaPolicy {
    /// Returns the rate at which tokens are generated under `limit` and the number
    /// that may accumulate, in all pools together.
    fn refill_limit(self, limit: RateLimit) -> RateLimit {
        let as_rate = self
            .window
            .map_or(0.0, |_| limit.burst * BURST_RATE_FRACTION);
        RateLimit {
            per_s: limit.per_s + as_rate / self.window_length().as_secs_f64(),
            burst: limit.burst - as_rate + self.slack,
        }
    }

    /// Returns the length of the windows by which grants are counted.
    fn window_length(self) -> Duration {
        self.window.unwrap_or(Duration::from_secs(1))
    }

    /// Returns the number of calls that `limit` allows in a window under constant
    /// pressure, without slack.
    fn calls_per_window(self, limit: RateLimit) -> f64 {
        let burst = self.window.map_or(0.0, |_| limit.burst);
        limit.per_s * self.window_length().as_secs_f64() + burst
    }
}

/// The numbers of zones, pools and hosts among which an organisation's tokens are
/// divided, as seen by one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolTopology {
    /// Number of availability zones of the fleet.
    pub zones: usize,
    /// Number of pools that each host draws on.
    pub pools: usize,
    /// Number of hosts in the pool's zone, including the pool's own host.
    pub hosts: usize,
    /// Number of those hosts that hold a lease at this pool.
    pub leased_by: usize,
}

impl PoolTopology {
    /// Returns the fraction of an organisation's tokens that this pool generates.
    ///
    /// The fraction grows with the number of hosts that hold a lease at the pool.
    /// If a zone is partitioned and each partition takes itself for the whole zone,
    /// the pools still generate no more than the zone's share, as each host
    /// contributes its share only to the pools that it draws on.
    #[must_use]
    pub fn share(self) -> f64 {
        let leased_by = self.leased_by.min(self.hosts);
        let leased_fraction = count_to_f64(leased_by) / count_to_f64(self.hosts.max(1));
        leased_fraction / (count_to_f64(self.zones.max(1)) * count_to_f64(self.pools.max(1)))
    }
}

/// A pool's response to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenGrant {
    /// Number of tokens granted; each allows one call.
    pub tokens: u32,
    /// Time until the pool expects its next token; zero if it has tokens left.
    pub next_token_in: Duration,
}
