//! The token buckets of one pool, from which it grants tokens.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::account::{GrantWindow, PoolAccount};
use super::{QuotaPolicy, TokenGrant};
use crate::numbers::truncate_to_u64;
use crate::organisations::keys::RateLimit;
use crate::return_schedule::ReturnSchedule;

/// Number of turns of hosts that a pool reserves ahead at most, so that a host with more
/// valuable calls does not wait behind those of many others.
const MAX_TURNS_AHEAD: f64 = 3.0;
/// Time for which turns are reserved ahead if more of them fit into it. The most urgent
/// calls can wait so long.
const MIN_TURN_HORIZON: Duration = Duration::from_millis(40);

/// Minimum time before an empty pool is asked again.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time before an empty pool is asked again.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time constant of the averages of the tokens requested and granted.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time for whose expected use a pool keeps its tokens instead of lending them.
const KEPT_TIME: Duration = Duration::from_millis(500);
/// Largest fraction of its capacity that a pool keeps. What it generates while it is
/// fuller than that would soon be lost.
const MAX_KEPT_FRACTION: f64 = 0.5;
/// Time for whose tokens a pool asks another one at once. Asking for more keeps it from
/// asking several others at the same time.
const BORROWED_TIME: Duration = Duration::from_millis(100);

/// The tokens of one organisation in one pool.
#[derive(Clone, Debug)]
struct TokenBucket {
    /// Limit of the organisation in all pools together.
    limit: RateLimit,
    tokens: f64,
    /// Value of [`TokenPool::share_seconds`] up to which tokens were generated.
    refilled_at: f64,
    account: PoolAccount,
    window: GrantWindow,
    /// Rate at which the hosts of the zone request tokens. It counts requests in vain
    /// too: a pool whose tokens were all lent would otherwise see no use of them by its
    /// own zone.
    demand: RecentRate,
    grants: RecentRate,
    /// Times that hosts were told to ask again.
    turns: ReturnSchedule,
}

/// Decaying average of a rate of tokens.
#[derive(Clone, Copy, Debug)]
struct RecentRate {
    per_s: f64,
    updated_at: Instant,
}

impl RecentRate {
    fn new(now: Instant) -> RecentRate {
        RecentRate {
            per_s: 0.0,
            updated_at: now,
        }
    }

    fn at(self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.per_s * (-elapsed.as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn add(&mut self, tokens: u32, now: Instant) {
        let per_s = self.at(now) + f64::from(tokens) / RATE_TIME_CONSTANT.as_secs_f64();
        *self = RecentRate {
            per_s,
            updated_at: now,
        };
    }
}

impl TokenBucket {
    /// Adds the tokens generated until the pool's `share_seconds`, and discards those
    /// that exceed the pool's `share` of the capacity.
    fn refill(&mut self, policy: QuotaPolicy, share_seconds: f64, share: f64) {
        let refill = policy.refill_limit(self.limit);
        let generated = (share_seconds - self.refilled_at) * refill.per_s;
        self.refilled_at = share_seconds;
        self.account.generated += generated;
        self.tokens += generated;
        let excess = (self.tokens - refill.burst * share).max(0.0);
        self.account.lost_full += excess;
        self.tokens -= excess;
    }

    /// Removes up to `max` whole tokens.
    fn take(&mut self, max: u32) -> u32 {
        let available = u32::try_from(truncate_to_u64(self.tokens)).unwrap_or(u32::MAX);
        let taken = available.min(max);
        self.tokens -= f64::from(taken);
        taken
    }
}

/// The token buckets of all organisations with a limit at one daemon, from which it
/// grants tokens to other daemons and to itself.
///
/// The pool generates the fraction of the tokens that the hosts contribute to it. The
/// fraction changes as hosts come and go, so each bucket is refilled by the integral
/// of the fraction over time: a host's share counts only for the time of its lease.
#[derive(Debug)]
pub struct TokenPool {
    buckets: HashMap<String, TokenBucket>,
    policy: QuotaPolicy,
    /// Sum of the credits before the first limits were known, in seconds of generation of
    /// all tokens. Hosts renew their leases before a restarted daemon has a version.
    early_credit_s: f64,
    /// Whether the pool has had buckets.
    has_had_limits: bool,
    /// Fraction of all tokens that this pool generates now.
    share: f64,
    /// Integral of `share` over time until `integrated_at`, in seconds.
    share_seconds: f64,
    integrated_at: Instant,
}

impl TokenPool {
    /// Creates a pool without buckets and without a share.
    ///
    /// The slack of `policy` serves organisations whose burst is less than one call
    /// per pool: without it, no pool would ever accumulate a whole token for them.
    #[must_use]
    pub fn new(policy: QuotaPolicy, now: Instant) -> TokenPool {
        TokenPool {
            buckets: HashMap::new(),
            policy,
            early_credit_s: 0.0,
            has_had_limits: false,
            share: 0.0,
            share_seconds: 0.0,
            integrated_at: now,
        }
    }

    /// Sets the fraction of all tokens that the pool generates from `now` on. Since the
    /// last update, the smaller one of the two fractions counts.
    ///
    /// If the fraction decreases, buckets lose the tokens beyond their new capacity.
    pub fn update_share(&mut self, share: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.integrated_at);
        self.share_seconds += elapsed.as_secs_f64() * share.min(self.share);
        self.integrated_at = self.integrated_at.max(now);
        let decreases = share < self.share;
        self.share = share;
        if decreases {
            self.refill_all();
        }
    }

    /// Adds the tokens that the fraction `share` would have generated in the time
    /// `unused`, for which it generated none in any pool. As all of them could have
    /// accumulated, they are no more than `share` of the capacity.
    pub fn credit(&mut self, share: f64, unused: Duration) {
        if unused.is_zero() {
            return;
        }
        if !self.has_had_limits {
            self.early_credit_s += share * unused.as_secs_f64();
            return;
        }
        for bucket in self.buckets.values_mut() {
            let refill = self.policy.refill_limit(bucket.limit);
            let missed = (refill.per_s * unused.as_secs_f64()).min(refill.burst) * share;
            bucket.tokens += missed;
            bucket.account.generated += missed;
            bucket.refill(self.policy, self.share_seconds, self.share);
        }
    }

    /// Grants up to `wanted` tokens to `organisation`. Returns `None` if it has no
    /// limit here.
    ///
    /// Each host that does not get all that it wants is told a time of its own, at which
    /// the pool expects a token for it: hosts that were told the same time would ask at
    /// once, and all but one in vain.
    pub fn grant(&mut self, organisation: &str, wanted: u32, now: Instant) -> Option<TokenGrant> {
        self.update_share(self.share, now);
        let bucket = self.buckets.get_mut(organisation)?;
        bucket.refill(self.policy, self.share_seconds, self.share);
        let tokens = bucket.take(wanted);
        bucket.account.granted += u64::from(tokens);
        bucket.window.add(tokens, self.policy.window_length(), now);
        bucket.demand.add(wanted, now);
        bucket.grants.add(tokens, now);
        let per_s = self.policy.refill_limit(bucket.limit).per_s * self.share;
        let mut next_token_in = refill_time(1.0 - bucket.tokens, per_s);
        if tokens < wanted {
            // Borrowed tokens may be granted at a higher rate than own ones.
            let turns_per_s = per_s.max(bucket.grants.at(now));
            let longest = longest_turn(turns_per_s);
            next_token_in = bucket
                .turns
                .reserve(now, turns_per_s, next_token_in, longest);
        }
        Some(TokenGrant {
            tokens,
            next_token_in,
        })
    }

    /// Returns the number of tokens of `organisation` to request from one more pool while
    /// `requested` are requested from others; 0 if this pool could not keep them.
    #[must_use]
    pub fn borrowing_need(&self, organisation: &str, requested: u32) -> u32 {
        let Some(bucket) = self.buckets.get(organisation) else {
            return 0;
        };
        let refill = self.policy.refill_limit(bucket.limit);
        let expected = refill.per_s * self.share * BORROWED_TIME.as_secs_f64();
        let room = refill.burst * self.share - bucket.tokens - f64::from(requested);
        let need = expected.max(1.0).min(room);
        u32::try_from(truncate_to_u64(need)).unwrap_or(u32::MAX)
    }

    /// Lends up to `wanted` tokens of `organisation` to a pool of another zone. The pool
    /// keeps what its own zone is expected to use in the next 0.5 s, by its recent
    /// requests, but no more than half of its capacity.
    pub fn lend(&mut self, organisation: &str, wanted: u32, now: Instant) -> Option<TokenGrant> {
        self.update_share(self.share, now);
        let bucket = self.buckets.get_mut(organisation)?;
        bucket.refill(self.policy, self.share_seconds, self.share);
        let refill = self.policy.refill_limit(bucket.limit);
        let expected_use = bucket.demand.at(now) * KEPT_TIME.as_secs_f64();
        let kept = expected_use.min(MAX_KEPT_FRACTION * refill.burst * self.share);
        let lendable = truncate_to_u64(bucket.tokens - kept);
        let tokens = bucket.take(wanted.min(u32::try_from(lendable).unwrap_or(u32::MAX)));
        bucket.account.lent += u64::from(tokens);
        let per_s = refill.per_s * self.share;
        Some(TokenGrant {
            tokens,
            next_token_in: refill_time(kept + 1.0 - bucket.tokens, per_s),
        })
    }

    /// Adds tokens that a pool of another zone has lent. Those beyond the capacity are
    /// lost.
    pub fn add_borrowed(&mut self, organisation: &str, tokens: u32, now: Instant) {
        self.update_share(self.share, now);
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.account.borrowed += u64::from(tokens);
            bucket.tokens += f64::from(tokens);
            bucket.refill(self.policy, self.share_seconds, self.share);
        }
    }

    /// Creates empty buckets for those of the organisations in `limits` that have none,
    /// applies changed limits, and removes the buckets of all other organisations.
    pub fn apply_limits<'a>(
        &mut self,
        limits: impl Iterator<Item = (&'a str, RateLimit)>,
        now: Instant,
    ) {
        self.update_share(self.share, now);
        self.refill_all();
        let mut buckets = HashMap::new();
        for (organisation, limit) in limits {
            let earlier = self.buckets.remove(organisation);
            let early_tokens = if self.has_had_limits {
                0.0
            } else {
                let seconds = self.early_credit_s + self.share_seconds;
                self.policy.refill_limit(limit).per_s * seconds
            };
            let mut bucket = earlier.unwrap_or(TokenBucket {
                limit,
                tokens: early_tokens,
                refilled_at: self.share_seconds,
                account: PoolAccount::default(),
                window: GrantWindow::new(now),
                demand: RecentRate::new(now),
                grants: RecentRate::new(now),
                turns: ReturnSchedule::default(),
            });
            bucket.limit = limit;
            if early_tokens > 0.0 {
                bucket.refill(self.policy, self.share_seconds, self.share);
                bucket.account.generated += bucket.tokens;
            }
            buckets.insert(organisation.to_owned(), bucket);
        }
        self.has_had_limits |= !buckets.is_empty();
        self.buckets = buckets;
    }

    /// Returns the account of each organisation whose tokens the pool has had.
    pub fn accounts(&mut self, now: Instant) -> Vec<(&str, PoolAccount)> {
        self.update_share(self.share, now);
        self.refill_all();
        let window = self.policy.window_length();
        let accounts = self.buckets.iter().map(|(organisation, bucket)| {
            let allowed = self.policy.calls_per_window(bucket.limit);
            let granted = bucket.window.last_complete(window, now);
            let granted_share = if allowed > 0.0 {
                granted / allowed
            } else {
                0.0
            };
            let account = PoolAccount {
                granted_share,
                ..bucket.account
            };
            (organisation.as_str(), account)
        });
        accounts
            .filter(|(_, account)| account.has_activity())
            .collect()
    }

    fn refill_all(&mut self) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.policy, self.share_seconds, self.share);
        }
    }
}

/// Returns the time in which `missing` tokens are generated at the rate `per_s`,
/// between [`MIN_RETRY_INTERVAL`] and [`MAX_RETRY_INTERVAL`]; zero if none are missing.
fn refill_time(missing: f64, per_s: f64) -> Duration {
    if missing <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(missing / per_s)
        .unwrap_or(MAX_RETRY_INTERVAL)
        .clamp(MIN_RETRY_INTERVAL, MAX_RETRY_INTERVAL)
}

/// Returns how far ahead a host's turn may be reserved at a rate of `turns_per_s`.
fn longest_turn(turns_per_s: f64) -> Duration {
    Duration::try_from_secs_f64(MAX_TURNS_AHEAD / turns_per_s)
        .unwrap_or(MAX_RETRY_INTERVAL)
        .clamp(MIN_TURN_HORIZON, MAX_RETRY_INTERVAL)
}
