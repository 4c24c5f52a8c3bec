//! Plans which hosts this daemon links to, and settles who tells it what lies
//! in the store.

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

/// Pause in which changes gather before links are planned anew: hosts come
/// and go in numbers.
const GATHER: Duration = Duration::from_millis(20);

/// How often links are planned anew though nothing came or went, so that
/// services that nobody calls any more are let go.
const PLAN_AT_LEAST: Duration = Duration::from_mins(1);

/// Time without a daemon that tells this one before it asks the store itself.
/// Links fall silent for a moment on hosts with a tenth of a core; asking costs
/// two calls and the whole configuration. Short of what a version has, with the
/// 1.25 s after which a link counts as silent.
const UNTOLD_FOR: Duration = Duration::from_millis(300);

impl MeshShared {
    /// The linked daemons that are to tell this one what lies in the store.
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

    /// For whom this daemon asks the store.
    #[must_use]
    pub fn store_access(&self) -> StoreAccess {
        if self.members.is_source() {
            StoreAccess::ForFleet
        } else {
            StoreAccess::ForOwnHost
        }
    }

    /// Whether `id` tells this daemon what lies in the store.
    #[must_use]
    pub fn is_upstream(&self, id: &str) -> bool {
        self.members.plan.borrow().upstreams().contains(id)
    }

    /// Settles whether this daemon asks the store or is told; when to look
    /// again, if that is due soon.
    fn take_role(&self) -> Option<Duration> {
        let mut upstreams = self.linked_upstreams();
        upstreams.retain(|peer| peer.store.get().tells());
        let now = self.clock.now();
        let untold_for = self.members.note_told(!upstreams.is_empty(), now);
        let may_wait = !self.members.is_source() && self.follows();
        let role = if untold_for.is_none() || (may_wait && untold_for < Some(UNTOLD_FOR)) {
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
            self.pass_on(&upstreams);
            return untold_for.map(|passed| UNTOLD_FOR.saturating_sub(passed));
        }
        None
    }

    /// Readers pass on what they are told: they follow those that tell them,
    /// and say so to others.
    fn pass_on(&self, upstreams: &[Rc<Peer>]) {
        if self.members.is_reader() {
            self.set_store_state(StoreState::Told);
            for upstream in upstreams {
                upstream.follow();
            }
        } else {
            self.set_store_state(StoreState::Unused);
        }
    }

    /// Whether this daemon is told what lies in the store.
    #[must_use]
    pub fn follows(&self) -> bool {
        *self.members.role.borrow() == StoreRole::Follows
    }

    /// Plans the links anew and opens and releases links accordingly.
    fn plan_anew(self: &Rc<Self>) {
        let own = self.own_address();
        let hosts = self.members.hosts_by_name();
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
                    lost_store: peer.is_some_and(|peer| peer.store.get() == StoreState::Lost),
                    is_registered: true,
                }
            })
            .collect();
        let own_view = HostView {
            id: &own.id,
            zone: &own.zone,
            service: &own.service,
            reachability: Reachability::Reachable,
            lost_store: false,
            is_registered: self.members.rows.was_own_seen(),
        };
        let called = self.members.recently_called_services(self.clock.now());
        let called: Vec<&str> = called.iter().map(String::as_str).collect();
        let limits = LinkLimits {
            services: self.settings.borrow().link.services,
            ..LinkLimits::default()
        };
        let mut plan = plan_links(&own_view, &others, &called, &limits);
        // A few targets are tried by the whole fleet.
        let canaries = self.rollouts.canaries().into_iter();
        plan.links
            .extend(canaries.filter(|id| hosts.contains_key(id)));
        for id in self.peers.ids() {
            if !plan.links.contains(&id) {
                self.peers.release(&id);
            }
        }
        for id in &plan.links {
            if let Some(peer) = hosts.get(id).and_then(|host| self.peers.link_to(host)) {
                tokio::task::spawn_local(links::keep_linked(Rc::clone(self), peer));
            }
        }
        let in_zone = others.iter().filter(|host| host.zone == own.zone).count();
        let zones: BTreeSet<&str> = others.iter().map(|host| host.zone).collect();
        self.organisations.note_hosts(in_zone + 1, zones.len());
        if plan.is_reader && !self.members.is_reader() {
            self.organisations.begin_granting();
        }
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

/// Plans links anew whenever something changes. Runs for ever.
pub async fn maintain_link_plan(shared: Rc<MeshShared>) {
    loop {
        shared.plan_anew();
        let look_again = shared.take_role().unwrap_or(PLAN_AT_LEAST);
        shared.tell_changes();
        // Nothing changed for a while: planned anew all the same.
        let _ = tokio::time::timeout(look_again, shared.members.changed.notified()).await;
        tokio::time::sleep(GATHER).await;
    }
}
