//! The hosts of the fleet as this daemon knows them, and the changes to them
//! that it relays.

mod broadcast;
mod registration;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use filbert_policy::membership::LinkPlan;
use tokio::sync::{watch, Notify};

use crate::messages::{HostChanges, KnownHosts, PeerAddress, RowChange, StoreState};
use crate::rows::{is_host_key, RowWriter};
use crate::state::MeshShared;

/// Maximum number of added hosts that are sent one by one. When a fleet starts,
/// or comes back from a loss of power, readers learn hundreds of hosts from the
/// store, and so do their followers. Beyond this number followers get a
/// checksum instead, and request the list only if theirs differs.
const MAX_ADDED_HOSTS_SENT: usize = 32;

/// Time without a call after which a service is no longer linked to, in a fleet
/// with more services than links are kept for. Longer than the usual pause of a
/// caller with few calls, so that its calls do not wait for links.
const RECENT_CALL_WINDOW: Duration = Duration::from_mins(10);

/// How this daemon gets the contents of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It reads the store itself.
    Reads,
    /// Its upstreams send them.
    Follows,
}

/// A change to a host that followers have not been sent yet.
enum HostChange {
    /// The host was added, or its address changed.
    Added(PeerAddress),
    /// The host's row was removed.
    Removed,
    /// Another daemon wrote the host's row for it.
    Registered(PeerAddress),
    /// The row of a host that had said hello before was seen in the store.
    Listed,
}

/// The known hosts, and the link plan based on them.
pub struct MemberTable {
    /// The other hosts, by name.
    hosts: RefCell<BTreeMap<String, PeerAddress>>,
    /// Hosts whose row was removed while their daemon still has a link here.
    unregistered: RefCell<BTreeSet<String>>,
    /// Hosts that said hello and whose row has not been seen in the store since, with
    /// the time of the hello.
    hellos: RefCell<BTreeMap<String, Instant>>,
    /// The hosts to link to, and the upstreams.
    pub plan: RefCell<LinkPlan>,
    /// Services that have been called, with the time of the last call.
    last_calls: RefCell<HashMap<String, Instant>>,
    /// Whether the hosts have been loaded, from the store or from a peer.
    pub is_known: Cell<bool>,
    /// Wakes tasks that wait for the hosts to be loaded.
    pub became_known: Notify,
    /// Requests a new link plan.
    pub changed: Notify,
    /// How this daemon gets the contents of the store.
    pub role: watch::Sender<StoreRole>,
    /// Changes to hosts that followers have not been sent yet, by host name.
    pending_changes: RefCell<BTreeMap<String, HostChange>>,
    /// The registration of this host, and the row changes that this daemon
    /// writes.
    pub rows: RowWriter,
    /// What this daemon has announced about its access to the store.
    store: Cell<StoreState>,
    /// Since when this daemon has had no upstream; `None` while it has one.
    without_upstream_since: Cell<Option<Instant>>,
}

impl Default for MemberTable {
    fn default() -> Self {
        MemberTable {
            hosts: RefCell::default(),
            unregistered: RefCell::default(),
            hellos: RefCell::default(),
            plan: RefCell::default(),
            last_calls: RefCell::default(),
            is_known: Cell::new(false),
            became_known: Notify::new(),
            changed: Notify::new(),
            role: watch::Sender::new(StoreRole::Reads),
            pending_changes: RefCell::default(),
            rows: RowWriter::default(),
            store: Cell::default(),
            without_upstream_since: Cell::default(),
        }
    }
}

impl MemberTable {
    /// Number of hosts, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.hosts.borrow().len() + 1
    }

    /// Whether another host has the name `id`.
    #[must_use]
    pub fn has_host(&self, id: &str) -> bool {
        self.hosts.borrow().contains_key(id)
    }

    /// Whether the target on another host belongs to `service`, by its daemon's settings.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        let hosts = self.hosts.borrow();
        hosts.values().any(|host| host.service == service)
    }

    /// The other hosts, by name.
    #[must_use]
    pub fn hosts_by_name(&self) -> BTreeMap<String, PeerAddress> {
        self.hosts.borrow().clone()
    }

    /// The other hosts.
    #[must_use]
    pub fn hosts(&self) -> Vec<PeerAddress> {
        self.hosts.borrow().values().cloned().collect()
    }

    /// Records a call to `service`. Returns `true`, and requests a new link
    /// plan, when the service is not linked to yet.
    pub fn record_service_call(&self, service: &str, now: Instant) -> bool {
        let mut last_calls = self.last_calls.borrow_mut();
        match last_calls.get_mut(service) {
            Some(last) => *last = now,
            None => {
                last_calls.insert(service.to_owned(), now);
            }
        }
        let is_unlinked = self.plan.borrow().unlinked_services.contains(service);
        if is_unlinked {
            self.changed.notify_one();
        }
        is_unlinked
    }

    /// The services called within the last ten minutes, the latest first.
    #[must_use]
    pub fn recently_called_services(&self, now: Instant) -> Vec<String> {
        let mut last_calls = self.last_calls.borrow_mut();
        last_calls.retain(|_, last| now < *last + RECENT_CALL_WINDOW);
        let mut latest: Vec<_> = last_calls.iter().collect();
        latest.sort_unstable_by_key(|(service, last)| (Reverse(**last), *service));
        latest
            .into_iter()
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Whether this daemon relays the contents of the store to its availability
    /// zone.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.plan.borrow().is_reader
    }

    /// Whether this daemon reads the store for the whole fleet.
    #[must_use]
    pub fn is_source(&self) -> bool {
        self.plan.borrow().is_source
    }

    /// Records whether this daemon has an upstream at `now`. Returns for how
    /// long it has had none; `None` when it has one.
    pub fn track_upstream_loss(&self, has_upstream: bool, now: Instant) -> Option<Duration> {
        let since = self.without_upstream_since.get().unwrap_or(now);
        self.without_upstream_since
            .set((!has_upstream).then_some(since));
        (!has_upstream).then(|| now.saturating_duration_since(since))
    }

    /// Queues a change to host `id` for the followers.
    fn queue_change(&self, id: &str, change: HostChange) {
        self.pending_changes
            .borrow_mut()
            .insert(id.to_owned(), change);
        self.changed.notify_one();
    }
}

impl MeshShared {
    /// Adds a host or updates its address.
    fn insert_host(&self, address: PeerAddress, from: &str) {
        let own = self.own_address();
        if address.id == own.id {
            if address != own {
                self.members.rows.mark_own_unregistered();
            }
            return;
        }
        self.members.unregistered.borrow_mut().remove(&address.id);
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
        let id = address.id.clone();
        hosts.insert(id.clone(), address.clone());
        drop(hosts);
        // The change is sent wherever it was learnt from: the row of a host
        // that said hello first is no change any more when it is read.
        self.members.queue_change(&id, HostChange::Added(address));
    }

    /// Records that this host's row is in the store, with the right contents.
    pub fn own_row_found(&self) {
        if self.members.rows.mark_own_registered() {
            self.members.changed.notify_one();
        }
    }

    /// Applies changes to hosts that daemon `from` has sent.
    pub fn apply_host_changes(&self, changes: HostChanges, from: &str) {
        let relays_from = self.relays_from(from);
        let known = KnownHosts {
            hosts: changes.added,
            unregistered: changes.unregistered,
        };
        self.upsert_known_hosts(known, from);
        for id in &changes.removed {
            if relays_from {
                self.members.queue_change(id, HostChange::Removed);
            }
            self.remove_unlinked_host(id, from);
        }
        let own = self.settings.borrow().id.clone();
        for id in &changes.registered {
            self.members.mark_registered(id);
            if *id == own {
                self.own_row_found();
            } else if relays_from {
                self.relay_registration(id);
            }
        }
    }

    /// Whether this daemon relays changes sent by `from` to its followers. A
    /// reader relays what sources send; sources relay nothing from each other,
    /// or changes would go back and forth between them forever.
    fn relays_from(&self, from: &str) -> bool {
        let plan = self.members.plan.borrow();
        !plan.is_source && plan.sources.contains(from)
    }

    fn relay_registration(&self, id: &str) {
        let address = self.members.hosts.borrow().get(id).cloned();
        if let Some(address) = address {
            self.members
                .queue_change(id, HostChange::Registered(address));
        }
    }

    /// Applies row changes that this daemon has written to the store.
    pub fn apply_written_changes(&self, changes: &[RowChange]) {
        for change in changes {
            match change {
                RowChange::Write(address) if *address == self.own_address() => self.own_row_found(),
                RowChange::Write(address) => {
                    self.upsert_host(address.clone(), "store");
                    self.relay_registration(&address.id);
                }
                RowChange::Remove(key) if !is_host_key(key) => {}
                RowChange::Remove(id) => self.handle_row_removed(id, "store"),
                RowChange::Hold(_) => {}
            }
        }
    }

    /// Records that a host's row was removed from the store, and relays this. A
    /// live host learns of it that way and has its row written again.
    pub fn handle_row_removed(&self, id: &str, from: &str) {
        self.members.queue_change(id, HostChange::Removed);
        self.remove_unlinked_host(id, from);
    }

    /// Removes a host whose row was removed, as soon as there is no link to its
    /// daemon. Rows lapse while the store is unreachable, and their hosts write
    /// them again; a host that leaves the fleet removes its row just before its
    /// daemon ends.
    pub fn remove_unlinked_host(&self, id: &str, from: &str) {
        if id == self.settings.borrow().id {
            self.members.rows.mark_own_unregistered();
            return;
        }
        if self.peers.get(id).is_some_and(|peer| peer.is_linked()) {
            self.members.unregistered.borrow_mut().insert(id.to_owned());
            return;
        }
        self.remove_host(id, from);
    }

    /// Handles the reply of host `other` that it is now at the address of
    /// `lost`, which is gone for good.
    ///
    /// Without this, a lost host seems to be alive at the address that another
    /// host has now: two such hosts were elected readers of a zone, and its 70
    /// daemons waited for them as upstreams while each read the store by
    /// itself.
    pub fn handle_host_replaced(&self, lost: &PeerAddress, other: PeerAddress) {
        log::info!("event=host_replaced host={} by={}", lost.id, other.id);
        // The lost host may have moved and be known at another address by now.
        let is_known_there = self.members.hosts.borrow().get(&lost.id) == Some(lost);
        if is_known_there {
            self.request_row_change(RowChange::Remove(lost.id.clone()), false);
            self.remove_host(&lost.id, "replaced");
        }
        self.upsert_host(other, "replaced");
    }

    /// Records that the link to host `id` is down, and removes the host if its
    /// row was removed before.
    pub fn handle_link_down(&self, id: &str) {
        if self.members.unregistered.borrow_mut().remove(id) {
            self.remove_host(id, "link_down");
        }
        self.members.changed.notify_one();
    }

    fn remove_host(&self, id: &str, from: &str) {
        self.members.hellos.borrow_mut().remove(id);
        if self.members.hosts.borrow_mut().remove(id).is_some() {
            log::info!("event=host_forgotten host={id} from={from}");
            self.members.changed.notify_one();
        }
    }

    /// Replaces the known hosts with a complete list, and queues the hosts that
    /// are not on it as removed for the followers.
    pub fn apply_member_list(&self, mut list: KnownHosts, from: &str) {
        log::info!("event=members_taken hosts={} from={from}", list.hosts.len());
        let own = self.own_address();
        let removed: Vec<String> = self
            .members
            .hosts
            .borrow()
            .keys()
            .filter(|id| !list.hosts.iter().any(|address| address.id == **id))
            .cloned()
            .collect();
        for id in removed {
            self.handle_row_removed(&id, from);
        }
        list.hosts.retain(|address| address.id != own.id);
        self.upsert_known_hosts(list, from);
        self.mark_members_known();
    }

    /// Records that hosts have been loaded, from the store or from a peer.
    pub fn mark_members_known(&self) {
        if !self.members.is_known.replace(true) {
            self.members.became_known.notify_waiters();
            self.members.changed.notify_one();
        }
    }
}
