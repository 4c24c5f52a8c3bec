//! Leases by which hosts contribute their shares of the tokens to pools.
//!
//! Load pattern: readers are killed, restarted and cut off, so that hosts move their
//! shares to other pools, while an organisation uses its whole limit. A share must
//! never generate tokens in more pools than it is divided among, and the time in which
//! it generated none should not be lost.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Interval at which a host renews its lease at a pool.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Time after a renewal for which a pool counts the host's share. Two renewals may
/// be late.
pub const POOL_LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// Time after a renewal at which the host considers its lease expired. It covers
/// [`POOL_LEASE_DURATION`] and the transmission of the renewal.
const HOST_LEASE_DURATION: Duration = Duration::from_millis(1_600);
/// Time between the end of a lease at the pool and at the host.
const MAX_LEASE_GAP: Duration = Duration::from_millis(400);
/// Time after a renewal from which the host takes its share for unused. A renewal
/// arrives within 200 ms, unless the link fails.
const UNCOUNTED_AFTER: Duration = Duration::from_millis(1_400);

/// Time after the end of a lease for which a pool remembers it.
const LEASE_MEMORY: Duration = Duration::from_mins(1);

/// Where the share that a lease contributes was counted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseClaim {
    /// At this pool: the host has held the lease since it was last renewed.
    Held,
    /// At no pool for this time, in milliseconds.
    Unused(u32),
    /// Unknown, as the host's daemon started this long ago, in milliseconds.
    Started(u32),
}

/// A lease that a host takes or renews.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRenewal {
    /// Host of the pool that has to be notified.
    pub pool: String,
    /// Where the share was counted before.
    pub claim: LeaseClaim,
}

/// The leases by which a host contributes its share of the tokens to pools.
///
/// A host that switches to another pool first waits until the lease at the old one
/// has expired. Otherwise its share would count twice: the old pool cannot know of
/// the switch and continues to count the share for a while.
#[derive(Clone, Debug)]
pub struct PoolLeases {
    started_at: Instant,
    /// Time of the last renewal, by the pool's host.
    renewed: BTreeMap<String, Instant>,
    /// For each lease that the host may take, the time since which its share is
    /// counted nowhere; `None` if a predecessor of this process may have leased it.
    free: Vec<Option<Instant>>,
}

impl PoolLeases {
    /// Creates the leases of a host whose daemon starts `now` and holds no more than
    /// `max_leases` at a time.
    #[must_use]
    pub fn new(max_leases: usize, now: Instant) -> PoolLeases {
        PoolLeases {
            started_at: now,
            renewed: BTreeMap::new(),
            free: vec![None; max_leases],
        }
    }

    /// Takes or renews leases at the pools in `wanted`. Returns the pools that have to
    /// be notified now.
    pub fn renew(&mut self, wanted: &[String], now: Instant) -> Vec<LeaseRenewal> {
        let expired = self
            .renewed
            .extract_if(.., |_, renewed_at| now >= *renewed_at + HOST_LEASE_DURATION);
        self.free
            .extend(expired.map(|(_, renewed_at)| Some(renewed_at + UNCOUNTED_AFTER)));
        let mut due = Vec::new();
        for pool in wanted {
            let claim = match self.renewed.get(pool) {
                Some(renewed_at) if now < *renewed_at + LEASE_RENEWAL_INTERVAL => continue,
                Some(_) => LeaseClaim::Held,
                None => match self.free.pop() {
                    Some(Some(since)) => LeaseClaim::Unused(to_millis(now - since)),
                    Some(None) => LeaseClaim::Started(to_millis(now - self.started_at)),
                    None => continue,
                },
            };
            self.renewed.insert(pool.clone(), now);
            due.push(LeaseRenewal {
                pool: pool.clone(),
                claim,
            });
        }
        due
    }
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// The leases of hosts at one pool.
#[derive(Clone, Debug)]
pub struct LeaseBook {
    started_at: Instant,
    /// Time until which each host's share is or was counted here.
    counted_until: HashMap<String, Instant>,
}

impl LeaseBook {
    /// Creates the book of a daemon that starts `now`.
    #[must_use]
    pub fn new(now: Instant) -> LeaseBook {
        LeaseBook {
            started_at: now,
            counted_until: HashMap::new(),
        }
    }

    /// Records a lease that `host` takes or renews. Returns the time before `now` for
    /// which the host's share generated no tokens, as far as this pool and the claim
    /// tell. After a restart of the host ([`LeaseClaim::Started`]), a pool that it no longer
    /// reaches may have counted it for up to [`POOL_LEASE_DURATION`] more.
    ///
    /// A share that the host has held here was last counted here: by this process, or
    /// by one that ended before this one started.
    pub fn renew(&mut self, host: &str, claim: LeaseClaim, now: Instant) -> Duration {
        let until = now + POOL_LEASE_DURATION;
        if !self.counted_until.contains_key(host) {
            // No host claims to hold a lease that ended so long ago.
            self.counted_until
                .retain(|_, until| now < *until + LEASE_MEMORY);
        }
        let earlier = self.counted_until.insert(host.to_owned(), until);
        let uncounted = now.saturating_duration_since(earlier.unwrap_or(self.started_at));
        match claim {
            // The host has held its last lease for 1.6 s at most, so a longer gap is due
            // to a late message.
            LeaseClaim::Held if earlier.is_some() => uncounted.min(MAX_LEASE_GAP),
            // A process that has run for longer than any lease lasts has missed a renewal;
            // the host's share may have been counted elsewhere before.
            LeaseClaim::Held if uncounted > HOST_LEASE_DURATION => MAX_LEASE_GAP,
            LeaseClaim::Held => uncounted,
            LeaseClaim::Unused(millis) | LeaseClaim::Started(millis) => {
                uncounted.min(Duration::from_millis(millis.into()))
            }
        }
    }

    /// Ends the lease of `host`, whose link has ended or whose daemon has restarted.
    pub fn release(&mut self, host: &str, now: Instant) {
        if let Some(until) = self.counted_until.get_mut(host) {
            *until = now.min(*until);
        }
    }

    /// Returns the number of hosts whose share is counted here.
    #[must_use]
    pub fn count(&self, now: Instant) -> usize {
        self.counted_until
            .values()
            .filter(|until| now < **until)
            .count()
    }
}
