//! Plans which hosts this daemon links to, and settles who tells it what lies
//! in the store.

use std::rc::Rc;
use std::time::Duration;

use filbert_policy::membership::{plan_links, HostView, LinkLimits};
use filbert_policy::store_asking::AskPurpose;

use crate::links;
use crate::members::StoreRole;
use crate::messages::{PeerAddress, StoreState};
use crate::peers::Peer;
use crate::state::MeshShared;

/// Pause in which changes gather before links are planned anew: hosts come
/// and go in numbers.
const GATHER: Duration = Duration::from_millis(20);

/// How often links are planned anew though nothing came or went, so that
/// services that nobody calls any more are let go.
const PLAN_AT_LEAST: Duration = Duration::from_mins(1);

impl MeshShared {
    /// The linked daemons that tell this one what lies in the store.
    #[must_use]
    pub fn linked_tellers(&self) -> Vec<Rc<Peer>> {
        let plan = self.members.plan.borrow();
        if plan.is_source {
            return Vec::new();
        }
        plan.tellers()
            .iter()
            .filter_map(|id| self.peers.get(id))
            .filter(|peer| peer.is_linked())
            .collect()
    }

    /// For whom this daemon asks the store.
    #[must_use]
    pub fn ask_purpose(&self) -> AskPurpose {
        if self.members.is_source() {
            AskPurpose::ForOthers
        } else {
            AskPurpose::Alone
        }
    }

    /// What the daemons that tell this one have of the store, the best of them.
    /// With some that ask in vain others would ask in vain too, so that counts
    /// as being told.
    #[must_use]
    pub fn store_state_told(&self) -> StoreState {
        let tellers = self.linked_tellers();
        let has = |state| tellers.iter().any(|peer| peer.store.get() == state);
        if has(StoreState::Answers) {
            StoreState::Answers
        } else if has(StoreState::Lost) {
            StoreState::Lost
        } else {
            StoreState::Unused
        }
    }

    /// Whether `id` tells this daemon what lies in the store.
    #[must_use]
    pub fn is_told_by(&self, id: &str) -> bool {
        self.members.plan.borrow().tellers().contains(id)
    }

    /// Settles whether this daemon asks the store or is told.
    fn take_role(&self) {
        let told = self.store_state_told();
        let role = match told {
            StoreState::Unused => StoreRole::Reads,
            StoreState::Answers | StoreState::Lost => StoreRole::Follows,
        };
        let is_changed = self
            .members
            .role
            .send_if_modified(|before| std::mem::replace(before, role) != role);
        if is_changed {
            log::info!("event=store_role role={role:?}");
        }
        if role == StoreRole::Follows {
            // Readers pass on what they are told, so their followers go by it.
            let is_reader = self.members.is_reader();
            let state = if is_reader { told } else { StoreState::Unused };
            self.set_store_state(state);
            if is_reader {
                self.linked_tellers().iter().for_each(|peer| peer.follow());
            }
        }
    }

    /// Plans the links anew and opens and releases links accordingly.
    fn plan_anew(self: &Rc<Self>) {
        let own = self.own_address();
        let hosts = self.members.hosts_by_name();
        let view = |address: &PeerAddress| -> (bool, bool) {
            self.peers.get(&address.id).map_or((false, false), |peer| {
                let lost_store = peer.store.get() == StoreState::Lost;
                (peer.is_failing.get(), lost_store)
            })
        };
        let others: Vec<HostView<'_>> = hosts
            .values()
            .map(|address| {
                let (is_failing, lost_store) = view(address);
                HostView {
                    id: &address.id,
                    zone: &address.zone,
                    service: &address.service,
                    is_failing,
                    lost_store,
                    is_listed: true,
                }
            })
            .collect();
        let own_view = HostView {
            id: &own.id,
            zone: &own.zone,
            service: &own.service,
            is_failing: false,
            lost_store: false,
            is_listed: self.members.rows.was_own_seen(),
        };
        let called = self.members.called_of_late(self.clock.now());
        let called: Vec<&str> = called.iter().map(String::as_str).collect();
        let limits = LinkLimits {
            services: self.settings.borrow().link.services,
            ..LinkLimits::default()
        };
        let plan = plan_links(&own_view, &others, &called, &limits);
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
                after.left_out.len()
            );
        }
    }
}

/// Plans links anew whenever something changes. Runs for ever.
pub async fn keep_planned(shared: Rc<MeshShared>) {
    loop {
        shared.plan_anew();
        shared.take_role();
        shared.tell_changes();
        // Nothing changed for a while: planned anew all the same.
        let _ = tokio::time::timeout(PLAN_AT_LEAST, shared.members.changed.notified()).await;
        tokio::time::sleep(GATHER).await;
    }
}
