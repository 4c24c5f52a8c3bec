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
mod ask_times;
mod leases;
mod pool;

use std::time::Duration;

pub use account::PoolAccount;
pub use ask_times::AskTimes;
pub use leases::{LeaseBook, LeaseClaim, LeaseRenewal, PoolLeases, POOL_LEASE_DURATION};
pub use pool::TokenPool;

use super::keys::RateLimit;
use crate::numbers::count_to_f64;

/// Fraction by which the calls in a window may exceed the limit.
const WINDOW_TOLERANCE: f64 = 0.1;
/// Maximum age of the tokens that are spent in excess of those generated in a window:
/// 150 ms of use in the caches of hosts, 80 ms on the way to hosts and 80 ms on the way
/// to pools of other zones.
const OUTSTANDING_TIME: Duration = Duration::from_millis(310);
/// Largest fraction of a burst that may accumulate while it is also generated as rate.
const MAX_ACCUMULATED_BURST: f64 = 0.2;

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
    ///
    /// Where limits apply to a window, the burst may be used again in every window, so
    /// all of it is generated as rate: an organisation under constant pressure gets its
    /// whole limit. What accumulates in addition stays within the tolerance, less the
    /// tokens that are outstanding when a window begins.
    fn refill_limit(self, limit: RateLimit) -> RateLimit {
        let Some(window) = self.window else {
            return RateLimit {
                burst: limit.burst + self.slack,
                ..limit
            };
        };
        let per_s = self.calls_per_window(limit) / window.as_secs_f64();
        let tolerated = WINDOW_TOLERANCE * self.calls_per_window(limit);
        let outstanding = per_s * OUTSTANDING_TIME.as_secs_f64();
        let accumulated = (tolerated - outstanding).max(0.0);
        RateLimit {
            per_s,
            burst: accumulated.min(MAX_ACCUMULATED_BURST * limit.burst) + self.slack,
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
        leased_fraction * self.zone_pool_share()
    }

    /// Returns the fraction of an organisation's tokens that one host contributes to
    /// this pool.
    #[must_use]
    pub fn host_share(self) -> f64 {
        self.zone_pool_share() / count_to_f64(self.hosts.max(1))
    }

    /// Returns the fraction of this pool if all hosts of the zone hold a lease at it.
    fn zone_pool_share(self) -> f64 {
        1.0 / (count_to_f64(self.zones.max(1)) * count_to_f64(self.pools.max(1)))
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
