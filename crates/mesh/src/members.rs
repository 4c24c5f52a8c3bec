//! Which hosts there are, and what others are told of them.

mod tell;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use filbert_policy::membership::LinkPlan;
use tokio::sync::{watch, Notify};

use crate::held_rows::is_held_key;
use crate::messages::{HostChanges, PeerAddress, RowChange, StoreState};
use crate::rows::RowBook;
use crate::state::MeshShared;

/// Hosts that came at once and are told one by one. When a fleet starts, or
/// comes back from a loss of power, readers learn hundreds from the store, and
/// so do those that they tell: these get a checksum, and ask if it is not
/// theirs.
const MOST_CAME: usize = 32;

/// Time without a call after which a service is no longer linked to, in a fleet
/// with more services than links are kept for: longer than a slow caller's
/// usual pause, so that its calls do not wait for links.
const CALLED_OF_LATE: Duration = Duration::from_mins(10);

/// How this daemon learns what lies in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It asks the store.
    Reads,
    /// It is told by a daemon of its zone.
    Follows,
}

/// What became of a host.
enum HostNews {
    /// It came, or changed its address.
    Came(PeerAddress),
    /// Its row is gone.
    Gone,
    /// Its row was written for it.
    Listed(PeerAddress),
}

/// The hosts known, and the plan made of them.
pub struct MemberTable {
    /// The other hosts.
    hosts: RefCell<BTreeMap<String, PeerAddress>>,
    /// Hosts whose row is gone and whose daemon still answers.
    rowless: RefCell<BTreeSet<String>>,
    /// Whom this daemon links to and is told by.
    pub plan: RefCell<LinkPlan>,
    /// Services called, with when they last were.
    called: RefCell<HashMap<String, Instant>>,
    /// Whether the members were read, from the store or from a peer.
    pub is_known: Cell<bool>,
    /// Wakes whoever waits for that.
    pub became_known: Notify,
    /// Asks for a new plan.
    pub changed: Notify,
    /// How this daemon learns what lies in the store.
    pub role: watch::Sender<StoreRole>,
    /// What those told by this daemon have not heard yet, by host.
    untold: RefCell<BTreeMap<String, HostNews>>,
    /// The rows that this daemon sees to.
    pub rows: RowBook,
    /// What this daemon has of the store.
    store: Cell<StoreState>,
    /// Since when nobody tells it what lies there.
    untold_since: Cell<Option<Instant>>,
}

impl Default for MemberTable {
    fn default() -> Self {
        MemberTable {
            hosts: RefCell::default(),
            rowless: RefCell::default(),
            plan: RefCell::default(),
            called: RefCell::default(),
            is_known: Cell::new(false),
            became_known: Notify::new(),
            changed: Notify::new(),
            role: watch::Sender::new(StoreRole::Reads),
            untold: RefCell::default(),
            rows: RowBook::default(),
            store: Cell::default(),
            untold_since: Cell::default(),
        }
    }
}

impl MemberTable {
    /// Number of hosts, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.hosts.borrow().len() + 1
    }

    /// Whether there is another host of this name.
    #[must_use]
    pub fn has_host(&self, id: &str) -> bool {
        self.hosts.borrow().contains_key(id)
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

    /// Notes a call to `service`; true when it is not linked to yet, which is
    /// asked for.
    pub fn record_service_call(&self, service: &str, now: Instant) -> bool {
        let mut called = self.called.borrow_mut();
        match called.get_mut(service) {
            Some(last) => *last = now,
            None => {
                called.insert(service.to_owned(), now);
            }
        }
        let is_left_out = self.plan.borrow().unlinked_services.contains(service);
        if is_left_out {
            self.changed.notify_one();
        }
        is_left_out
    }

    /// The services called of late, the latest first.
    #[must_use]
    pub fn recently_called_services(&self, now: Instant) -> Vec<String> {
        let mut called = self.called.borrow_mut();
        called.retain(|_, last| now < *last + CALLED_OF_LATE);
        let mut latest: Vec<_> = called.iter().collect();
        latest.sort_unstable_by_key(|(service, last)| (Reverse(**last), *service));
        latest
            .into_iter()
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Whether this daemon tells its zone what lies in the store.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.plan.borrow().is_reader
    }

    /// Whether this daemon asks the store for the fleet.
    #[must_use]
    pub fn is_source(&self) -> bool {
        self.plan.borrow().is_source
    }

    /// Notes whether others tell this daemon what lies in the store; since how
    /// long nobody does.
    pub fn note_told(&self, is_told: bool, now: Instant) -> Option<Duration> {
        let since = self.untold_since.get().unwrap_or(now);
        self.untold_since.set((!is_told).then_some(since));
        (!is_told).then(|| now.saturating_duration_since(since))
    }

    /// Notes what became of a host for those told by this daemon.
    fn note_news(&self, id: &str, news: HostNews) {
        self.untold.borrow_mut().insert(id.to_owned(), news);
        self.changed.notify_one();
    }
}

impl MeshShared {
    /// Adds a host or takes over its new address.
    pub fn upsert_host(&self, address: PeerAddress, from: &str) {
        let own = self.own_address();
        if address.id == own.id {
            if address != own {
                self.members.rows.mark_own_unregistered();
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
        let id = address.id.clone();
        hosts.insert(id.clone(), address.clone());
        drop(hosts);
        // Told however it was learnt: the row of a host that said hello first
        // is no news any more when it is read.
        self.members.note_news(&id, HostNews::Came(address));
    }

    /// Notes that this host's row is in the store, and right.
    pub fn see_own_row(&self) {
        if self.members.rows.mark_own_registered() {
            self.members.changed.notify_one();
        }
    }

    /// Takes over changes of hosts told by `from`.
    pub fn apply_host_changes(&self, changes: HostChanges, from: &str) {
        let passes_on = self.passes_on(from);
        for address in changes.came {
            self.upsert_host(address, from);
        }
        for id in &changes.gone {
            if passes_on {
                self.members.note_news(id, HostNews::Gone);
            }
            self.forget_host(id, from);
        }
        let own = self.settings.borrow().id.clone();
        for id in &changes.listed {
            if *id == own {
                self.see_own_row();
            } else if passes_on {
                self.pass_listed(id);
            }
        }
    }

    /// Whether this daemon tells others what `from` tells it: a reader passes on
    /// what sources say. Sources tell each other nothing further, or it would
    /// go back and forth between them for ever.
    fn passes_on(&self, from: &str) -> bool {
        let plan = self.members.plan.borrow();
        !plan.is_source && plan.sources.contains(from)
    }

    fn pass_listed(&self, id: &str) {
        let address = self.members.hosts.borrow().get(id).cloned();
        if let Some(address) = address {
            self.members.note_news(id, HostNews::Listed(address));
        }
    }

    /// Takes word that this daemon changed rows.
    pub fn rows_have_changed(&self, changes: &[RowChange]) {
        for change in changes {
            match change {
                RowChange::Write(address) if *address == self.own_address() => self.see_own_row(),
                RowChange::Write(address) => {
                    self.upsert_host(address.clone(), "store");
                    self.pass_listed(&address.id);
                }
                RowChange::Remove(key) if is_held_key(key) => {}
                RowChange::Remove(id) => self.row_is_gone(id, "store"),
                RowChange::Hold(_) => {}
            }
        }
    }

    /// Takes word that a host's row is gone from the store, and passes it on: a
    /// live host hears of it so, and has it written again.
    pub fn row_is_gone(&self, id: &str, from: &str) {
        self.members.note_news(id, HostNews::Gone);
        self.forget_host(id, from);
    }

    /// Removes a host whose row is gone, as soon as its daemon does not answer:
    /// rows vanish while the store is away, and their hosts write them back;
    /// a host that is taken away removes its row just before its daemon ends.
    pub fn forget_host(&self, id: &str, from: &str) {
        if id == self.settings.borrow().id {
            self.members.rows.mark_own_unregistered();
            return;
        }
        if self.peers.get(id).is_some_and(|peer| peer.is_linked()) {
            self.members.rowless.borrow_mut().insert(id.to_owned());
            return;
        }
        self.drop_host(id, from);
    }

    /// Takes word of `other` that it is at the address of `lost`, which is gone for
    /// good.
    ///
    /// Guards against a host that seems to live on in the one that has its
    /// address now: two such hosts were the readers of a zone, its 70 daemons
    /// waited to be told by them, and each asked the store by itself meanwhile.
    pub fn handle_host_replaced(&self, lost: &PeerAddress, other: PeerAddress) {
        log::info!("event=host_replaced host={} by={}", lost.id, other.id);
        // It may have moved meanwhile, and be found elsewhere.
        let is_known_there = self.members.hosts.borrow().get(&lost.id) == Some(lost);
        if is_known_there {
            self.request_row_change(RowChange::Remove(lost.id.clone()), false);
            self.drop_host(&lost.id, "replaced");
        }
        self.upsert_host(other, "replaced");
    }

    /// Takes note that the link to a host is down.
    pub fn handle_link_down(&self, id: &str) {
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

    /// Takes over a whole list of hosts, and tells those told by this daemon
    /// who is not on it.
    pub fn apply_member_list(&self, listed: Vec<PeerAddress>, from: &str) {
        log::info!("event=members_taken hosts={} from={from}", listed.len());
        let own = self.own_address();
        let gone: Vec<String> = self
            .members
            .hosts
            .borrow()
            .keys()
            .filter(|id| !listed.iter().any(|address| address.id == **id))
            .cloned()
            .collect();
        for id in gone {
            self.row_is_gone(&id, from);
        }
        for address in listed {
            if address.id != own.id {
                self.upsert_host(address, from);
            }
        }
        if !self.members.is_known.replace(true) {
            self.members.became_known.notify_waiters();
            self.members.changed.notify_one();
        }
    }
}
