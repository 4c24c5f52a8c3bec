//! Tokens: what all daemons together may run for an organisation.
//!
//! Load pattern: an organisation sends several times its usual, on all hosts at
//! once, while some of them are cut off or start anew.
//!
//! The right to run a call is a token. Tokens come into being only in the pools of
//! a few daemons of each availability zone, at fixed parts of the organisation's
//! rate, and each is spent once. So whatever happens between the daemons, what
//! runs stays below what came into being: a pool that nobody reaches spends
//! nothing, one that starts is empty, and a grant that is lost is not made again.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::keys::RateLimit;
use crate::numbers::{count_of, whole_of};

/// Time in which a pool without tokens is asked again at the earliest.
const LEAST_DRY: Duration = Duration::from_millis(20);
/// The same at the latest.
const MOST_DRY: Duration = Duration::from_secs(1);

/// How often a host renews its lease at a pool.
const RENEW_EVERY: Duration = Duration::from_millis(400);
/// Time for which a pool counts a part after a renewal: two may be late.
pub const POOL_LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// Time after which a host takes a lease to have run out: that and the way there.
const RUNS_OUT_AFTER: Duration = Duration::from_millis(1_600);

/// Part of a burst that flows as rate where limits count in a window: in every
/// window it may be used anew.
const FLOWING_PART: f64 = 0.8;

/// How limits are meant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaPolicy {
    /// Any window of this length may hold a limit's rate times the window and its
    /// burst; `None` where a burst is used up once.
    pub window: Option<Duration>,
    /// Calls beyond that, over all pools, that do no harm.
    pub slack: f64,
}

impl QuotaPolicy {
    /// How tokens come into being under `limit`, over all pools.
    fn flow(self, limit: RateLimit) -> RateLimit {
        let flowing = self.window.map_or(0.0, |_| limit.burst * FLOWING_PART);
        let window = self.window.unwrap_or(Duration::from_secs(1));
        RateLimit {
            per_s: limit.per_s + flowing / window.as_secs_f64(),
            burst: limit.burst - flowing + self.slack,
        }
    }
}

/// How many pools an organisation's tokens come from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolTopology {
    /// Availability zones of the fleet.
    pub zones: usize,
    /// Pools that each host asks.
    pub pools: usize,
    /// Hosts of the pool's zone, its own included.
    pub hosts: usize,
    /// Those of them that ask this pool.
    pub leased_by: usize,
}

impl PoolTopology {
    /// The part of an organisation's tokens that come into being in the pool.
    ///
    /// Guards against a zone that falls apart, each part taking itself for the
    /// whole: every host brings its own part to the pools that it asks.
    #[must_use]
    pub fn share(self) -> f64 {
        let leased_by = self.leased_by.min(self.hosts);
        let heard = count_of(leased_by) / count_of(self.hosts.max(1));
        heard / (count_of(self.zones.max(1)) * count_of(self.pools.max(1)))
    }
}

/// The leases by which a host's part counts at pools, by the pools' hosts.
///
/// Guards against a part that counts twice: a pool goes on to count it for a while
/// after the host has turned to another, as it cannot know. So a host that turns
/// away from a pool waits until that lease has run out before it takes one at the
/// next.
#[derive(Clone, Debug, Default)]
pub struct PoolLeases {
    /// When each was last renewed.
    renewed: BTreeMap<String, Instant>,
}

impl PoolLeases {
    /// Renews the leases at `wanted`, `most` at a time; the pools to be told now.
    pub fn renew(&mut self, wanted: &[String], most: usize, now: Instant) -> Vec<String> {
        self.renewed.retain(|_, at| now < *at + RUNS_OUT_AFTER);
        let mut due = Vec::new();
        for pool in wanted {
            let renewed = self.renewed.get(pool).copied();
            let has_room = renewed.is_some() || self.renewed.len() < most;
            if has_room && renewed.is_none_or(|at| now >= at + RENEW_EVERY) {
                self.renewed.insert(pool.clone(), now);
                due.push(pool.clone());
            }
        }
        due
    }

    /// Whether this host's part counts at `pool`.
    #[must_use]
    pub fn is_counted_at(&self, pool: &str, now: Instant) -> bool {
        let renewed = self.renewed.get(pool);
        renewed.is_some_and(|at| now < *at + POOL_LEASE_DURATION)
    }
}

/// What a pool gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenGrant {
    /// Calls that may run.
    pub tokens: u32,
    /// Time until the next token when there is none.
    pub next_token_in: Duration,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    fn empty(now: Instant) -> TokenBucket {
        TokenBucket {
            tokens: 0.0,
            filled: now,
        }
    }
}

/// The tokens that a daemon gives to others and to itself.
#[derive(Debug)]
pub struct TokenPool {
    buckets: HashMap<String, TokenBucket>,
    terms: QuotaPolicy,
}

impl TokenPool {
    /// An empty pool.
    ///
    /// The slack in its terms is for organisations whose burst is less than a call
    /// for each pool: they would never be granted any.
    #[must_use]
    pub fn new(terms: QuotaPolicy) -> TokenPool {
        TokenPool {
            buckets: HashMap::new(),
            terms,
        }
    }

    /// Grants up to `wanted` of the tokens that `share` of `limit` has brought
    /// about for `organisation` by `now`.
    pub fn grant(
        &mut self,
        organisation: &str,
        limit: RateLimit,
        share: f64,
        wanted: u32,
        now: Instant,
    ) -> TokenGrant {
        let flow = self.terms.flow(limit);
        let per_s = flow.per_s * share;
        let most = flow.burst * share;
        let bucket = match self.buckets.get_mut(organisation) {
            Some(bucket) => bucket,
            None => self
                .buckets
                .entry(organisation.to_owned())
                .or_insert(TokenBucket::empty(now)),
        };
        let passed = now.saturating_duration_since(bucket.filled);
        bucket.filled = now;
        bucket.tokens = (bucket.tokens + passed.as_secs_f64() * per_s).min(most);
        let tokens = u32::try_from(whole_of(bucket.tokens))
            .unwrap_or(u32::MAX)
            .min(wanted);
        bucket.tokens -= f64::from(tokens);
        TokenGrant {
            tokens,
            next_token_in: next_token_in(1.0 - bucket.tokens, per_s),
        }
    }

    /// Begins to fill for `organisations`, and forgets all others.
    pub fn keep<'a>(&mut self, organisations: impl Iterator<Item = &'a str>, now: Instant) {
        let mut kept = HashMap::new();
        for organisation in organisations {
            let bucket = self.buckets.get(organisation).copied();
            let bucket = bucket.unwrap_or_else(|| TokenBucket::empty(now));
            kept.insert(organisation.to_owned(), bucket);
        }
        self.buckets = kept;
    }

    /// Empties all buckets: the daemon has only now become one that grants.
    pub fn clear_buckets(&mut self, now: Instant) {
        for bucket in self.buckets.values_mut() {
            *bucket = TokenBucket::empty(now);
        }
    }
}

fn next_token_in(missing: f64, per_s: f64) -> Duration {
    if missing <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(missing / per_s)
        .unwrap_or(MOST_DRY)
        .clamp(LEAST_DRY, MOST_DRY)
}
