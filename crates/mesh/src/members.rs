//! Which hosts there are, and which of them this daemon links to.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::membership::{plan_links, HostView, LinkLimits, LinkPlan};
use tokio::sync::{watch, Notify};

use crate::links;
use crate::messages::{encode, LinkMessage, PeerAddress, StoreState};
use crate::state::MeshShared;

/// Pause in which changes gather before links are planned anew: hosts come
/// and go in numbers.
const GATHER: Duration = Duration::from_millis(20);

/// Time without a call after which a service is no longer linked to, in a fleet
/// with more services than links are kept for: longer than a slow caller's
/// usual pause, so that its calls do not wait for links.
const CALLED_OF_LATE: Duration = Duration::from_mins(10);
/// How often links are planned anew though nothing came or went, so that
/// services that nobody calls any more are let go.
const PLAN_AT_LEAST: Duration = Duration::from_mins(1);

/// How this daemon learns what lies in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It asks the store.
    Reads,
    /// It is told by a daemon of its zone.
    Follows,
}

/// The hosts known, and the plan made of them.
pub struct MemberBook {
    /// The other hosts.
    hosts: RefCell<BTreeMap<String, PeerAddress>>,
    /// Hosts whose row is gone and whose daemon still answers.
    rowless: RefCell<BTreeSet<String>>,
    plan: RefCell<LinkPlan>,
    /// Services called, with when they last were.
    called: RefCell<HashMap<String, Instant>>,
    /// Whether the members were read, from the store or from a peer.
    pub is_known: Cell<bool>,
    /// Asks for a new plan.
    pub changed: Notify,
    /// How this daemon learns what lies in the store.
    pub role: watch::Sender<StoreRole>,
    /// Asks for this host's row to be written (again).
    pub row_missing: Notify,
    /// What this daemon has of the store.
    store: Cell<StoreState>,
    /// Whether this host is being taken away: its row is not written again.
    pub is_parting: Cell<bool>,
}

impl Default for MemberBook {
    fn default() -> Self {
        MemberBook {
            hosts: RefCell::default(),
            rowless: RefCell::default(),
            plan: RefCell::default(),
            called: RefCell::default(),
            is_known: Cell::new(false),
            changed: Notify::new(),
            role: watch::Sender::new(StoreRole::Reads),
            row_missing: Notify::new(),
            store: Cell::default(),
            is_parting: Cell::new(false),
        }
    }
}

impl MemberBook {
    /// Number of hosts, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.hosts.borrow().len() + 1
    }

    /// The other hosts.
    #[must_use]
    pub fn hosts(&self) -> Vec<PeerAddress> {
        self.hosts.borrow().values().cloned().collect()
    }

    /// Notes a call to `service`; true when it is not linked to yet, which is
    /// asked for.
    pub fn note_call(&self, service: &str, now: Instant) -> bool {
        let mut called = self.called.borrow_mut();
        match called.get_mut(service) {
            Some(last) => *last = now,
            None => {
                called.insert(service.to_owned(), now);
            }
        }
        let is_left_out = self.plan.borrow().left_out.contains(service);
        if is_left_out {
            self.changed.notify_one();
        }
        is_left_out
    }

    /// The services called of late, the latest first.
    fn called_of_late(&self, now: Instant) -> Vec<String> {
        let mut called = self.called.borrow_mut();
        called.retain(|_, last| now < *last + CALLED_OF_LATE);
        let mut latest: Vec<_> = called.iter().collect();
        latest.sort_unstable_by_key(|(service, last)| (Reverse(**last), *service));
        latest
            .into_iter()
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Whether this daemon is to follow the store for its zone.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.plan.borrow().is_reader
    }
}

impl MeshShared {
    /// Adds a host or takes over its new address.
    pub fn learn_host(&self, address: PeerAddress, from: &str) {
        let own = self.own_address();
        if address.id == own.id {
            if address != own {
                self.members.row_missing.notify_one();
            }
            return;
        }
        self.members.rowless.borrow_mut().remove(&address.id);
        let mut hosts = self.members.hosts.borrow_mut();
        if hosts.get(&address.id) == Some(&address) {
            return;
        }
        log::info!(
            "event=host_learnt host={} address={} zone={} service={} from={from}",
            address.id,
            address.address,
            address.zone,
            address.service
        );
        hosts.insert(address.id.clone(), address.clone());
        drop(hosts);
        self.members.changed.notify_one();
        // Told however it was learnt: the row of a host that said hello first
        // is no news any more when it is read.
        if self.members.is_reader() {
            self.tell_zone(&LinkMessage::HostCame(address));
        }
    }

    /// Removes a host whose row is gone, as soon as its daemon does not answer:
    /// rows vanish while the store is away, and their hosts write them back;
    /// a host that is taken away removes its row just before its daemon ends.
    pub fn forget_host(&self, id: &str, from: &str) {
        if id == self.settings.borrow().id {
            self.members.row_missing.notify_one();
            return;
        }
        if self.peers.get(id).is_some_and(|peer| peer.is_linked()) {
            self.members.rowless.borrow_mut().insert(id.to_owned());
            return;
        }
        self.drop_host(id, from);
    }

    /// Takes note that the link to a host is down.
    pub fn link_went_down(&self, id: &str) {
        if self.members.rowless.borrow_mut().remove(id) {
            self.drop_host(id, "link_down");
        }
        self.members.changed.notify_one();
    }

    fn drop_host(&self, id: &str, from: &str) {
        if self.members.hosts.borrow_mut().remove(id).is_some() {
            log::info!("event=host_forgotten host={id} from={from}");
            self.members.changed.notify_one();
        }
    }

    /// Takes over a whole list of hosts; true when this host's row was there
    /// and right.
    pub fn take_members(&self, listed: Vec<PeerAddress>, from: &str) -> bool {
        let own = self.own_address();
        let is_own_right = listed.contains(&own);
        let gone: Vec<String> = self
            .members
            .hosts
            .borrow()
            .keys()
            .filter(|id| !listed.iter().any(|address| address.id == **id))
            .cloned()
            .collect();
        for id in gone {
            self.forget_host(&id, from);
        }
        for address in listed {
            if address.id != own.id {
                self.learn_host(address, from);
            }
        }
        self.members.is_known.set(true);
        is_own_right
    }

    /// Every host known, this one included, as told to another daemon.
    #[must_use]
    pub fn member_list(&self) -> LinkMessage {
        let mut hosts = self.members.hosts();
        hosts.push(self.own_address());
        LinkMessage::Members { hosts }
    }

    /// Tells the daemons of the own zone that follow this one.
    pub fn tell_zone(&self, message: &LinkMessage) {
        let zone = self.settings.borrow().zone.clone();
        self.peers.broadcast_in(&zone, &encode(message));
    }

    /// Whether a daemon of the zone follows the store for this one, be it in
    /// vain just now: with four that cannot reach it, others of the zone would
    /// not either, and daemons of other zones tell of versions too.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        let plan = self.members.plan.borrow();
        !plan.is_reader
            && plan.readers.iter().any(|id| {
                self.peers
                    .get(id)
                    .is_some_and(|peer| peer.is_linked() && peer.store.get() != StoreState::Unused)
            })
    }

    /// What this daemon has of the store.
    #[must_use]
    pub fn store_state(&self) -> StoreState {
        self.members.store.get()
    }

    /// Notes what this daemon has of the store, and tells those linked here.
    pub fn set_store_state(&self, state: StoreState) {
        if self.members.store.replace(state) == state {
            return;
        }
        if state == StoreState::Answers {
            // Those that linked here before were not told whom it knows.
            self.tell_zone(&self.member_list());
        }
        self.peers.broadcast(&encode(&LinkMessage::Store(state)));
    }

    /// Whether `id` follows the store for this daemon.
    #[must_use]
    pub fn is_reader_here(&self, id: &str) -> bool {
        self.members.plan.borrow().readers.contains(id)
    }

    /// Plans the links anew and opens and releases links accordingly.
    fn plan_anew(self: &Rc<Self>) {
        let own = self.own_address();
        let hosts = self.members.hosts.borrow().clone();
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
                }
            })
            .collect();
        let own_view = HostView {
            id: &own.id,
            zone: &own.zone,
            service: &own.service,
            is_failing: false,
            lost_store: false,
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
                "event=links_planned hosts={} links={} readers={:?} is_reader={} services_left_out={}",
                hosts.len() + 1,
                after.links.len(),
                after.readers,
                after.is_reader,
                after.left_out.len()
            );
        }
    }
}

/// Plans links anew whenever something changes. Runs for ever.
pub async fn keep_planned(shared: Rc<MeshShared>) {
    loop {
        shared.plan_anew();
        let role = if shared.is_relayed() {
            StoreRole::Follows
        } else {
            StoreRole::Reads
        };
        let is_changed = shared
            .members
            .role
            .send_if_modified(|before| std::mem::replace(before, role) != role);
        if is_changed {
            log::info!("event=store_role role={role:?}");
        }
        // Nothing changed for a while: planned anew all the same.
        let _ = tokio::time::timeout(PLAN_AT_LEAST, shared.members.changed.notified()).await;
        tokio::time::sleep(GATHER).await;
    }
}
