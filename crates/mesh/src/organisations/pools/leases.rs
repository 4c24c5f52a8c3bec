//! Leases of this host at its pools, and of other hosts at this daemon's pool.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::organisations::quota::{LeaseClaim, PoolTopology};

use super::{PoolState, POOLS_PER_HOST};
use crate::messages::{LinkMessage, PeerAddress};
use crate::state::MeshShared;

/// Interval at which the host checks whether a lease has to be renewed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two log lines on the number of leases. When a zone starts, its
/// hosts take their leases within seconds.
const LEASE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps this host's leases at its pools while any organisation has a rate limit, so
/// that the pools generate the host's share of the tokens. Never returns.
pub async fn maintain_pool_leases(shared: Rc<MeshShared>) {
    let pools = &shared.organisations.pools;
    loop {
        if !pools.has_limits.get() {
            pools.limits_added.notified().await;
        }
        shared.renew_pool_leases();
        shared.update_pool_share();
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
    }
}

/// The leases that another daemon takes over one link. They end with the link.
pub struct LinkLeases {
    shared: Rc<MeshShared>,
    host: String,
    is_in_zone: bool,
}

impl LinkLeases {
    /// Creates the leases of the daemon `from`, which has just linked to this one.
    ///
    /// Leases that it took over an earlier link end: if the daemon has restarted, it
    /// may take others at other pools.
    #[must_use]
    pub fn new(shared: &Rc<MeshShared>, from: &PeerAddress) -> LinkLeases {
        shared.release_pool_lease(&from.id);
        LinkLeases {
            shared: Rc::clone(shared),
            host: from.id.clone(),
            is_in_zone: from.zone == shared.settings.borrow().zone,
        }
    }

    /// Records a renewal. Renewals of daemons of other zones are ignored.
    pub fn renew(&self, claim: LeaseClaim) {
        if self.is_in_zone {
            self.shared.record_pool_lease(&self.host, claim);
        }
    }
}

impl Drop for LinkLeases {
    fn drop(&mut self) {
        self.shared.release_pool_lease(&self.host);
    }
}

/// Number of leases at this daemon's pool as last logged, and the time of the line.
pub(super) type LoggedLeases = Option<(usize, Instant)>;

impl PoolState {
    /// Logs a changed number of leases at this daemon's pool, once a second at most.
    fn log_lease_change(&self, topology: PoolTopology, now: Instant) {
        let leases = topology.leased_by;
        let is_due = match self.logged_leases.get() {
            None => leases > 0,
            Some((logged, at)) => leases != logged && now >= at + LEASE_LOG_INTERVAL,
        };
        if is_due {
            self.logged_leases.set(Some((leases, now)));
            log::info!(
                "event=pool_leases leases={leases} hosts={} share={:.4}",
                topology.hosts,
                topology.share()
            );
        }
    }
}

impl MeshShared {
    fn renew_pool_leases(&self) {
        let own = self.settings.borrow().id.clone();
        let wanted: Vec<String> = self
            .host_pools()
            .iter()
            .map(|pool| pool.host(&own).to_owned())
            .collect();
        let now = self.clock.now();
        let due = self
            .organisations
            .pools
            .leases
            .borrow_mut()
            .renew(&wanted, now);
        for renewal in due {
            let claim = renewal.claim;
            if renewal.pool == own {
                self.record_pool_lease(&own, claim);
            } else if let Some(peer) = self.peers.get(&renewal.pool) {
                peer.send_message(LinkMessage::RenewPoolLease { claim });
            }
        }
    }

    /// Records the lease of `host` at this daemon's pool.
    fn record_pool_lease(&self, host: &str, claim: LeaseClaim) {
        self.update_pool_share();
        let now = self.clock.now();
        let pools = &self.organisations.pools;
        let unused = pools.lease_book.borrow_mut().renew(host, claim, now);
        self.update_pool_share();
        let share = self.pool_topology().host_share();
        pools.pool.borrow_mut().credit(share, unused);
    }

    fn release_pool_lease(&self, host: &str) {
        let now = self.clock.now();
        let mut lease_book = self.organisations.pools.lease_book.borrow_mut();
        lease_book.release(host, now);
    }

    /// Tells the pool which fraction of the tokens the leases held at it contribute.
    pub(super) fn update_pool_share(&self) {
        let topology = self.pool_topology();
        let now = self.clock.now();
        let pools = &self.organisations.pools;
        pools.pool.borrow_mut().update_share(topology.share(), now);
        pools.log_lease_change(topology, now);
    }

    /// Whether any host leases its share to this daemon's pool.
    pub(super) fn holds_pool_leases(&self) -> bool {
        self.pool_topology().leased_by > 0
    }

    fn pool_topology(&self) -> PoolTopology {
        let settings = self.settings.borrow();
        let pools = &self.organisations.pools;
        let hosts = pools.zone_hosts.get();
        PoolTopology {
            zones: settings.zones.len().max(pools.zone_count.get()),
            pools: POOLS_PER_HOST.min(hosts),
            hosts,
            leased_by: pools.lease_book.borrow().count(self.clock.now()),
        }
    }
}
