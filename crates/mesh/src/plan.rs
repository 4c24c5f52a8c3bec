//! Maintains the link plan of this daemon, and decides whether it reads the
//! store itself or follows its upstreams.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use filbert_policy::membership::{plan_links, HostView, LinkLimits, Reachability};
use filbert_policy::store_access::StoreAccess;

use crate::links;
use crate::members::StoreRole;
use crate::messages::StoreState;
use crate::peers::Peer;
use crate::state::MeshShared;
use crate::supervision::spawn_restartable;

/// Delay before links are planned again, so that changes are batched: hosts
/// often join and leave in large numbers.
const REPLAN_DELAY: Duration = Duration::from_millis(20);

/// Interval at which links are planned again without any change, so that links
/// to services that are no longer called are released.
const REPLAN_INTERVAL: Duration = Duration::from_mins(1);

/// Time without an upstream before this daemon reads the store itself. Links on
/// hosts with a tenth of a core are briefly unresponsive at times, and reading
/// the store costs two calls and the whole configuration. Together with the
/// 1.25 s after which a link counts as unresponsive, it stays below the time in
/// which a version has to be in force.
const UPSTREAM_LOSS_GRACE: Duration = Duration::from_millis(300);

impl MeshShared {
    /// The upstreams that this daemon has a link to: the daemons that send it
    /// the contents of the store. Empty on a source.
    #[must_use]
    pub fn linked_upstreams(&self) -> Vec<Rc<Peer>> {
        let plan = self.members.plan.borrow();
        if plan.is_source {
            return Vec::new();
        }
        plan.upstreams()
            .iter()
            .filter_map(|id| self.peers.get(id))
            .filter(|peer| peer.is_linked())
            .collect()
    }

    /// Whether this daemon reads the store for the fleet or for its own host
    /// only.
    #[must_use]
    pub fn store_access(&self) -> StoreAccess {
        if self.members.is_source() {
            StoreAccess::ForFleet
        } else {
            StoreAccess::ForOwnHost
        }
    }

    /// Whether host `id` is an upstream of this daemon.
    #[must_use]
    pub fn is_upstream(&self, id: &str) -> bool {
        self.members.plan.borrow().upstreams().contains(id)
    }

    /// Updates whether this daemon reads the store or follows its upstreams.
    /// Returns the time after which to check again, if it has lost its
    /// upstreams only recently.
    fn update_role(&self) -> Option<Duration> {
        let mut upstreams = self.linked_upstreams();
        upstreams.retain(|peer| peer.store.get().relays_store());
        let now = self.clock.now();
        let without_upstream_for = self.members.track_upstream_loss(!upstreams.is_empty(), now);
        let may_wait = !self.members.is_source() && self.follows();
        let role = if without_upstream_for.is_none()
            || (may_wait && without_upstream_for < Some(UPSTREAM_LOSS_GRACE))
        {
            StoreRole::Follows
        } else {
            StoreRole::Reads
        };
        let is_changed = self
            .members
            .role
            .send_if_modified(|before| std::mem::replace(before, role) != role);
        if is_changed {
            log::info!("event=store_role role={role:?}");
        }
        if role == StoreRole::Follows {
            self.relay_upstreams(&upstreams);
            return without_upstream_for.map(|passed| UPSTREAM_LOSS_GRACE.saturating_sub(passed));
        }
        None
    }

    /// Makes a reader relay what its upstreams send: it requests host updates
    /// from `upstreams` and announces that it relays the store.
    fn relay_upstreams(&self, upstreams: &[Rc<Peer>]) {
        if self.members.is_reader() {
            self.set_store_state(StoreState::Relayed);
            for upstream in upstreams {
                upstream.request_host_updates();
            }
        } else {
            self.set_store_state(StoreState::Unused);
        }
    }

    /// Whether this daemon gets the contents of the store from its upstreams.
    #[must_use]
    pub fn follows(&self) -> bool {
        *self.members.role.borrow() == StoreRole::Follows
    }

    /// Plans the links again, and opens and releases links accordingly.
    fn replan_links(self: &Rc<Self>) {
        let own = self.own_address();
        let hosts = self.members.hosts_by_name();
        let now = self.clock.now();
        let others: Vec<HostView<'_>> = hosts
            .values()
            .map(|address| {
                let peer = self.peers.get(&address.id);
                HostView {
                    id: &address.id,
                    zone: &address.zone,
                    service: &address.service,
                    reachability: peer
                        .as_ref()
                        .map_or(Reachability::Reachable, |peer| peer.reachability()),
                    lost_store: peer
                        .is_some_and(|peer| peer.store.get() == StoreState::Disconnected),
                    is_registered: self.members.is_registered(&address.id, now),
                }
            })
            .collect();
        let own_view = HostView {
            id: &own.id,
            zone: &own.zone,
            service: &own.service,
            reachability: Reachability::Reachable,
            lost_store: false,
            is_registered: self.members.rows.was_own_registered(),
        };
        let recently_called = self.members.recently_called_services(now);
        let recently_called: Vec<&str> = recently_called.iter().map(String::as_str).collect();
        let limits = LinkLimits {
            services: self.settings.borrow().link.services,
            links_zone_readers: self.organisations.has_limits(),
            ..LinkLimits::default()
        };
        let mut plan = plan_links(&own_view, &others, &recently_called, &limits);
        // Targets with a new software version under trial get calls from the
        // whole fleet.
        let canaries = self.rollouts.canaries().into_iter();
        plan.links
            .extend(canaries.filter(|id| hosts.contains_key(id)));
        for id in self.peers.ids() {
            if !plan.links.contains(&id) {
                self.peers.remove(&id);
            }
        }
        for id in &plan.links {
            if let Some(peer) = hosts
                .get(id)
                .and_then(|host| self.peers.add_or_replace(host))
            {
                let shared = Rc::clone(self);
                spawn_restartable("link", move || {
                    let maintained = links::maintain_link(Rc::clone(&shared), Rc::clone(&peer));
                    Box::pin(maintained)
                });
            }
        }
        let in_zone = others.iter().filter(|host| host.zone == own.zone).count();
        let other_zones = others.iter().map(|host| host.zone);
        let zones: BTreeSet<&str> = other_zones.chain([own.zone.as_str()]).collect();
        self.organisations.set_host_counts(in_zone + 1, zones.len());
        let before = self.members.plan.replace(plan);
        let after = self.members.plan.borrow();
        if *after != before {
            log::info!(
                "event=links_planned hosts={} links={} readers={:?} is_reader={} sources={:?} is_source={} services_left_out={}",
                hosts.len() + 1,
                after.links.len(),
                after.readers,
                after.is_reader,
                after.sources,
                after.is_source,
                after.unlinked_services.len()
            );
        }
    }
}

/// Plans the links again whenever something changes. Never returns.
pub async fn maintain_link_plan(shared: Rc<MeshShared>) {
    loop {
        shared.replan_links();
        let check_again_in = shared.update_role().unwrap_or(REPLAN_INTERVAL);
        let now = shared.clock.now();
        let next_registration_in = shared.members.next_registration_in(now);
        let check_again_in = check_again_in.min(next_registration_in.unwrap_or(REPLAN_INTERVAL));
        shared.send_host_changes();
        // A timeout is no error: the links are planned again even without a
        // change.
        let _ = tokio::time::timeout(check_again_in, shared.members.changed.notified()).await;
        tokio::time::sleep(REPLAN_DELAY).await;
    }
}
