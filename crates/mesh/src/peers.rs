//! Peers: the daemons to which this daemon links, with the state of each link and
//! of the target on the peer's host; and the daemons that link to this one and
//! subscribe to its news.

mod table;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbert_policy::clock::Clock;
use filbert_policy::first_report::TargetNews;
use filbert_policy::instance::{accepts_while_leaving, InstanceKey};
use filbert_policy::membership::Reachability;
use filbert_policy::target_memory::TargetMemory;
use h2::client::SendRequest;
use tokio::sync::Notify;

use crate::messages::{
    to_micros, LinkMessage, PeerAddress, StoreState, TargetLoad, TargetState, TargetStatus,
};

pub use table::{NewsSubscription, PeerTable};

/// Minimum time between two requests for the store's clock to the same peer.
const CLOCK_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// What this daemon remembers of the target on a host, shared by the host's successive
/// entries in the table of peers.
pub type SharedTargetMemory = Rc<RefCell<TargetMemory>>;

/// Status of a peer's target, as last received.
#[derive(Clone)]
struct HeardTarget {
    status: TargetStatus,
    /// Time at which the load in `status` was received.
    load_heard_at: Instant,
}

/// A daemon to which this daemon links.
pub struct Peer {
    /// Identity and address of the peer.
    pub address: PeerAddress,
    /// The open link; `None` while there is none.
    pub link: RefCell<Option<SendRequest<Bytes>>>,
    /// Status of the target on the peer's host, as last received.
    target: RefCell<Option<HeardTarget>>,
    /// What this daemon remembers of the targets on the peer's host.
    pub memory: SharedTargetMemory,
    /// What has been heard of the target since the peer was added.
    pub target_news: Cell<TargetNews>,
    /// Whether the log says that a load of the target could not be used.
    has_logged_invalid_load: Cell<bool>,
    /// Number of calls sent to the target since its last status or load.
    sent_since: Cell<u32>,
    /// Whether the peer was replaced or removed in the table of peers. Its link is
    /// closed as soon as no call uses it.
    pub is_removed: Cell<bool>,
    /// Number of calls that use the link.
    calls_in_flight: Cell<u32>,
    /// Notified when the peer is removed, and when the last call on the link of a
    /// removed peer has ended.
    pub became_idle: Notify,
    /// Whether recent attempts to link to the peer have failed.
    pub is_unreachable: Cell<bool>,
    /// The peer's last reported state of its store access.
    pub store: Cell<StoreState>,
    /// Number of the peer's version in force, or 0 if it has none; `None` until the
    /// peer has reported it.
    pub version: Cell<Option<u64>>,
    /// Whether the peer was asked for updates of hosts over this link.
    has_requested_updates: Cell<bool>,
    /// Messages to be sent over the link, oldest first.
    unsent: RefCell<VecDeque<LinkMessage>>,
    /// Notified when a message was added to `unsent`.
    pub unsent_added: Notify,
    /// Notified to dial the peer without waiting for the redial delay.
    pub dial_now: Notify,
    /// Time of the last request for the store's clock, since the boot of this
    /// daemon's host.
    clock_requested_at: Cell<Option<Duration>>,
    /// Time at which data last arrived over the link.
    last_received: Cell<Option<Instant>>,
    /// Notified to send a PING now.
    pub ping_requested: Notify,
    /// Whether the response to a PING is overdue.
    is_unresponsive: Cell<bool>,
    /// Notified when the peer becomes unresponsive; wakes the calls on the link.
    pub became_unresponsive: Notify,
}

impl Peer {
    /// Creates a peer without a link.
    #[must_use]
    pub fn new(address: PeerAddress, memory: SharedTargetMemory) -> Rc<Peer> {
        Rc::new(Peer {
            address,
            link: RefCell::new(None),
            target: RefCell::new(None),
            memory,
            target_news: Cell::default(),
            has_logged_invalid_load: Cell::new(false),
            sent_since: Cell::new(0),
            is_removed: Cell::new(false),
            calls_in_flight: Cell::new(0),
            became_idle: Notify::new(),
            is_unreachable: Cell::new(false),
            store: Cell::new(StoreState::Unused),
            version: Cell::new(None),
            has_requested_updates: Cell::new(false),
            unsent: RefCell::default(),
            unsent_added: Notify::new(),
            dial_now: Notify::new(),
            clock_requested_at: Cell::new(None),
            last_received: Cell::new(None),
            ping_requested: Notify::new(),
            is_unresponsive: Cell::new(false),
            became_unresponsive: Notify::new(),
        })
    }

    /// Whether the link is up and the peer is responsive.
    #[must_use]
    pub fn is_linked(&self) -> bool {
        self.link.borrow().is_some() && !self.is_unresponsive.get()
    }

    /// Clears the state that belongs to a link, after the link has ended.
    pub fn reset(&self) {
        self.link.replace(None);
        self.sent_since.set(0);
        self.target.replace(None);
        self.store.set(StoreState::Unused);
        self.version.set(None);
        self.has_requested_updates.set(false);
        self.clock_requested_at.set(None);
        self.unsent.borrow_mut().clear();
    }

    /// Queues a message to be sent over the link. Returns `false`, and drops the
    /// message, if the peer is not linked.
    pub fn send_message(&self, message: LinkMessage) -> bool {
        if !self.is_linked() {
            return false;
        }
        self.unsent.borrow_mut().push_back(message);
        self.unsent_added.notify_one();
        true
    }

    /// Removes the next message to send from the queue.
    #[must_use]
    pub fn next_unsent(&self) -> Option<LinkMessage> {
        self.unsent.borrow_mut().pop_front()
    }

    /// Requests updates of hosts from the peer, at most once per link.
    pub fn request_host_updates(&self) {
        if !self.has_requested_updates.get() {
            self.has_requested_updates
                .set(self.send_message(LinkMessage::RequestHostUpdates));
        }
    }

    /// Requests a sample of the store's clock, unless one was requested within
    /// [`CLOCK_REQUEST_INTERVAL`]. `now` is the time since the boot of this daemon's
    /// host.
    pub fn request_clock(&self, now: Duration) {
        let requested_at = self.clock_requested_at.get();
        if requested_at.is_some_and(|requested_at| now < requested_at + CLOCK_REQUEST_INTERVAL) {
            return;
        }
        let asked_us = to_micros(now);
        if self.send_message(LinkMessage::RequestClock { asked_us }) {
            self.clock_requested_at.set(Some(now));
        }
    }

    /// Whether data has arrived over the link within the last `period`.
    #[must_use]
    pub fn received_within(&self, now: Instant, period: Duration) -> bool {
        self.last_received
            .get()
            .is_some_and(|received| now < received + period)
    }

    /// Time until the link will have been idle for `period` if no data arrives;
    /// `period` if it has been already.
    #[must_use]
    pub fn time_until_idle(&self, period: Duration, now: Instant) -> Duration {
        let received = self.last_received.get().unwrap_or(now);
        match (received + period).saturating_duration_since(now) {
            // The link is idle already: the next check is a whole period away.
            Duration::ZERO => period,
            left => left,
        }
    }

    /// Whether the link may be closed: the peer is removed and no call uses the
    /// link.
    #[must_use]
    pub fn is_closable(&self) -> bool {
        self.is_removed.get() && self.calls_in_flight.get() == 0
    }

    /// Records that data arrived over the link.
    pub fn record_received(&self, now: Instant) {
        self.last_received.set(Some(now));
        self.is_unresponsive.set(false);
    }

    /// Requests a PING if no data has arrived over the link for `period`.
    pub fn request_ping_if_idle(&self, now: Instant, period: Duration) {
        if !self.received_within(now, period) && !self.is_unresponsive.get() {
            self.ping_requested.notify_one();
        }
    }

    /// Marks the peer as unresponsive: it gets no new calls, and those of its calls
    /// that may be retried are sent to other targets.
    pub fn mark_unresponsive(&self) {
        self.is_unresponsive.set(true);
        self.became_unresponsive.notify_waiters();
    }

    /// Whether the peer responds.
    #[must_use]
    pub fn reachability(&self) -> Reachability {
        if self.is_unreachable.get() {
            Reachability::Unreachable
        } else if self.is_unresponsive.get() {
            Reachability::Unresponsive
        } else {
            Reachability::Reachable
        }
    }

    /// Records that `instance` on the peer's host is leaving.
    pub fn record_leaving(&self, instance: &InstanceKey, now: Instant) {
        self.memory.borrow_mut().record_leaving(instance, now);
    }

    /// Returns the state in `status`, restricted by what this daemon itself has heard of
    /// the target's leaving.
    #[must_use]
    pub fn restrict_state(
        &self,
        status: &TargetStatus,
        drain_time: Duration,
        now: Instant,
    ) -> TargetState {
        let leaving_since = self.memory.borrow().leaving_since(&status.instance);
        match (leaving_since, status.state) {
            (None, state) => state,
            (Some(_), TargetState::Closed) => TargetState::Closed,
            (Some(since), _) if accepts_while_leaving(since, drain_time, now) => {
                TargetState::Leaving
            }
            (Some(_), _) => TargetState::Closed,
        }
    }

    /// Sets the status of the peer's target, received at `now`; `None` if there is no
    /// target.
    pub fn set_target(&self, target: Option<TargetStatus>, now: Instant) {
        if target
            .as_ref()
            .is_some_and(|target| self.ignores(&target.load))
        {
            return;
        }
        if let Some(target) = &target {
            if target.state == TargetState::Leaving {
                self.record_leaving(&target.instance, now);
            }
            self.remember_limit(&target.instance, &target.load);
        }
        self.target_news.set(match &target {
            Some(_) => TargetNews::Heard,
            None => self.target_news.get().after_unreported(now),
        });
        self.sent_since.set(0);
        *self.target.borrow_mut() = target.map(|status| HeardTarget {
            status,
            load_heard_at: now,
        });
    }

    /// Sets the load of the peer's target, as carried by a reply received at `now`.
    pub fn set_target_load(&self, load: TargetLoad, now: Instant) {
        if self.ignores(&load) {
            return;
        }
        if let Some(target) = self.target.borrow_mut().as_mut() {
            self.sent_since.set(0);
            self.remember_limit(&target.status.instance, &load);
            target.status.load = load;
            target.load_heard_at = now;
        }
    }

    /// Whether `load` cannot be used; logs the first such load.
    fn ignores(&self, load: &TargetLoad) -> bool {
        if load.is_valid() {
            return false;
        }
        if !self.has_logged_invalid_load.replace(true) {
            log::warn!("event=target_load_ignored peer={}", self.address.id);
        }
        true
    }

    fn remember_limit(&self, instance: &InstanceKey, load: &TargetLoad) {
        let rate = load.allowance.map(|allowance| allowance.rate);
        self.memory.borrow_mut().record_limit(instance, rate);
    }

    /// Marks the target as closed until its next status arrives.
    pub fn mark_closed(&self) {
        if let Some(target) = self.target.borrow_mut().as_mut() {
            target.status.state = TargetState::Closed;
        }
    }

    /// Counts a call sent to the peer's target.
    pub fn count_sent(&self) {
        self.sent_since.set(self.sent_since.get() + 1);
    }

    /// Status of the peer's target at `now`, and the number of calls sent to it since its
    /// last status or load; `None` if it is not known, the link is down or the peer is
    /// unresponsive.
    #[must_use]
    pub fn target(&self, now: Instant) -> Option<(TargetStatus, u32)> {
        self.link.borrow().as_ref()?;
        if self.is_unresponsive.get() {
            return None;
        }
        let HeardTarget {
            mut status,
            load_heard_at,
        } = self.target.borrow().clone()?;
        let elapsed = now.saturating_duration_since(load_heard_at);
        status.load = status.load.after(elapsed);
        Some((status, self.sent_since.get()))
    }
}

/// Guard that a call holds while it uses a link. The link of a removed peer stays
/// open until the last guard is dropped.
pub struct LinkGuard {
    peer: Rc<Peer>,
    clock: Rc<dyn Clock>,
}

impl LinkGuard {
    /// Registers a call on the link to `peer`.
    #[must_use]
    pub fn new(peer: &Rc<Peer>, clock: &Rc<dyn Clock>) -> LinkGuard {
        peer.calls_in_flight.set(peer.calls_in_flight.get() + 1);
        LinkGuard {
            peer: Rc::clone(peer),
            clock: Rc::clone(clock),
        }
    }

    /// Records that data arrived for the call.
    pub fn record_received(&self) {
        self.peer.record_received(self.clock.now());
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.peer
            .calls_in_flight
            .set(self.peer.calls_in_flight.get() - 1);
        if self.peer.is_closable() {
            self.peer.became_idle.notify_one();
        }
    }
}

impl std::fmt::Debug for LinkGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "LinkGuard({})", self.peer.address.id)
    }
}
