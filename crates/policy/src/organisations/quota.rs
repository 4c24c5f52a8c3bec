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

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::keys::RateLimit;
use crate::numbers::{count_to_f64, truncate_to_u64};

/// Minimum time before an empty pool is asked again.
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(20);
/// Maximum time before an empty pool is asked again.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(1);

/// Interval at which a host renews its lease at a pool.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Time after a renewal for which a pool counts the host's share. Two renewals may
/// be late.
pub const POOL_LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// Time after a renewal at which the host considers its lease expired. It covers
/// [`POOL_LEASE_DURATION`] and the transmission of the renewal.
const HOST_LEASE_DURATION: Duration = Duration::from_millis(1_600);

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
        let window = self.window.unwrap_or(Duration::from_secs(1));
        RateLimit {
            per_s: limit.per_s + as_rate / window.as_secs_f64(),
            burst: limit.burst - as_rate + self.slack,
        }
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

/// The leases by which a host contributes its share of the tokens to pools.
///
/// A host that switches to another pool first waits until the lease at the old one
/// has expired. Otherwise its share would count twice: the old pool cannot know of
/// the switch and continues to count the share for a while.
#[derive(Clone, Debug, Default)]
pub struct PoolLeases {
    /// Time of the last renewal, by the pool's host.
    renewed: BTreeMap<String, Instant>,
}

impl PoolLeases {
    /// Takes or renews leases at the pools in `wanted`, and holds no more than
    /// `max_leases` at a time. Returns the pools that have to be notified now.
    pub fn renew(&mut self, wanted: &[String], max_leases: usize, now: Instant) -> Vec<String> {
        self.renewed
            .retain(|_, renewed_at| now < *renewed_at + HOST_LEASE_DURATION);
        let mut due = Vec::new();
        for pool in wanted {
            let renewed_at = self.renewed.get(pool).copied();
            let may_hold = renewed_at.is_some() || self.renewed.len() < max_leases;
            if may_hold && renewed_at.is_none_or(|at| now >= at + LEASE_RENEWAL_INTERVAL) {
                self.renewed.insert(pool.clone(), now);
                due.push(pool.clone());
            }
        }
        due
    }

    /// Whether `pool` currently counts this host's share.
    #[must_use]
    pub fn is_counted_at(&self, pool: &str, now: Instant) -> bool {
        let renewed_at = self.renewed.get(pool);
        renewed_at.is_some_and(|at| now < *at + POOL_LEASE_DURATION)
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

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn empty(now: Instant) -> TokenBucket {
        TokenBucket {
            tokens: 0.0,
            refilled_at: now,
        }
    }
}

/// The token buckets of all organisations at one daemon, from which it grants
/// tokens to other daemons and to itself.
#[derive(Debug)]
pub struct TokenPool {
    buckets: HashMap<String, TokenBucket>,
    policy: QuotaPolicy,
}

impl TokenPool {
    /// Creates an empty pool.
    ///
    /// The slack of `policy` serves organisations whose burst is less than one call
    /// per pool: without it, no pool would ever accumulate a whole token for them.
    #[must_use]
    pub fn new(policy: QuotaPolicy) -> TokenPool {
        TokenPool {
            buckets: HashMap::new(),
            policy,
        }
    }

    /// Grants up to `wanted` tokens to `organisation`. Its bucket has been refilled
    /// until `now` with the fraction `share` of `limit`.
    pub fn grant(
        &mut self,
        organisation: &str,
        limit: RateLimit,
        share: f64,
        wanted: u32,
        now: Instant,
    ) -> TokenGrant {
        let refill = self.policy.refill_limit(limit);
        let per_s = refill.per_s * share;
        let capacity = refill.burst * share;
        let bucket = match self.buckets.get_mut(organisation) {
            Some(bucket) => bucket,
            None => self
                .buckets
                .entry(organisation.to_owned())
                .or_insert(TokenBucket::empty(now)),
        };
        let elapsed = now.saturating_duration_since(bucket.refilled_at);
        bucket.refilled_at = now;
        bucket.tokens = (bucket.tokens + elapsed.as_secs_f64() * per_s).min(capacity);
        let tokens = u32::try_from(truncate_to_u64(bucket.tokens))
            .unwrap_or(u32::MAX)
            .min(wanted);
        bucket.tokens -= f64::from(tokens);
        TokenGrant {
            tokens,
            next_token_in: refill_time(1.0 - bucket.tokens, per_s),
        }
    }

    /// Creates empty buckets for those of `organisations` that have none, and
    /// removes the buckets of all other organisations.
    pub fn keep<'a>(&mut self, organisations: impl Iterator<Item = &'a str>, now: Instant) {
        let mut kept = HashMap::new();
        for organisation in organisations {
            let bucket = self.buckets.get(organisation).copied();
            let bucket = bucket.unwrap_or_else(|| TokenBucket::empty(now));
            kept.insert(organisation.to_owned(), bucket);
        }
        self.buckets = kept;
    }

    /// Empties all buckets. Called when the daemon starts to grant tokens, so that
    /// none have accumulated before.
    pub fn clear_buckets(&mut self, now: Instant) {
        for bucket in self.buckets.values_mut() {
            *bucket = TokenBucket::empty(now);
        }
    }
}

/// Returns the time in which `missing` tokens are generated at the rate `per_s`,
/// between [`MIN_TOKEN_WAIT`] and [`MAX_TOKEN_WAIT`]; zero if none are missing.
fn refill_time(missing: f64, per_s: f64) -> Duration {
    if missing <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(missing / per_s)
        .unwrap_or(MAX_TOKEN_WAIT)
        .clamp(MIN_TOKEN_WAIT, MAX_TOKEN_WAIT)
}
