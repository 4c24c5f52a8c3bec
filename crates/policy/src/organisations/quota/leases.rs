//! Leases by which hosts contribute their shares of the tokens to pools.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval at which a host renews its lease at a pool.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Time after a renewal for which a pool counts the host's share. Two renewals may
/// be late.
pub const POOL_LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// Time after a renewal at which the host considers its lease expired. It covers
/// [`POOL_LEASE_DURATION`] and the transmission of the renewal.
const HOST_LEASE_DURATION: Duration = Duration::from_millis(1_600);

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
