//! The daemons that this one links to: the links, and the targets beside them;
//! and those that link here and want news.

mod table;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbert_policy::clock::Clock;
use filbert_policy::instance::InstanceKey;
use filbert_policy::membership::Reachability;
use h2::client::SendRequest;
use tokio::sync::Notify;

use crate::messages::{
    to_micros, LinkMessage, PeerAddress, StoreState, TargetLoad, TargetState, TargetStatus,
};

pub use table::{NewsFeed, PeerTable};

/// Leaving instances remembered for a host: more than one is replaced there
/// only in a long time.
const MOST_LEFT: usize = 8;
/// Time after which a daemon that did not know the store's clock is asked again.
const CLOCK_AGAIN: Duration = Duration::from_millis(500);

/// One other daemon.
pub struct Peer {
    /// Where it is.
    pub address: PeerAddress,
    /// The open link, if there is one.
    pub link: RefCell<Option<SendRequest<Bytes>>>,
    /// The target beside it as last described over the link.
    target: RefCell<Option<TargetStatus>>,
    /// Instances there that were heard to be leaving.
    left: RefCell<Vec<InstanceKey>>,
    /// Calls sent there since that description.
    sent_since: Cell<u32>,
    /// Set when the entry is replaced or removed: its link ends as soon as no
    /// call uses it.
    pub is_dropped: Cell<bool>,
    /// Calls that use the link.
    in_use: Cell<u32>,
    /// Wakes the link when the last call on it has ended.
    pub unused: Notify,
    /// Whether links to it have failed of late.
    pub is_failing: Cell<bool>,
    /// What it has of the store, as far as it said.
    pub store: Cell<StoreState>,
    /// The version that it has in force, as far as it said; 0 when it has none.
    pub version: Cell<Option<u64>>,
    /// Whether it was asked to tell of hosts.
    is_followed: Cell<bool>,
    /// Messages that are to go over the link.
    unsent: RefCell<VecDeque<LinkMessage>>,
    /// Wakes the link when one was added.
    pub has_unsent: Notify,
    /// Wakes the dialer early.
    pub nudge: Notify,
    /// When it was asked for the store's clock, since the own host's start.
    clock_asked: Cell<Option<Duration>>,
    /// When anything last came over the link.
    heard: Cell<Option<Instant>>,
    /// Asks for a PING now.
    pub doubted: Notify,
    /// Whether a PING is overdue.
    is_unresponsive: Cell<bool>,
    /// Wakes calls under way when the link falls silent.
    pub became_unresponsive: Notify,
}

impl Peer {
    /// A peer that is not linked yet.
    #[must_use]
    pub fn new(address: PeerAddress) -> Rc<Peer> {
        Rc::new(Peer {
            address,
            link: RefCell::new(None),
            target: RefCell::new(None),
            left: RefCell::new(Vec::new()),
            sent_since: Cell::new(0),
            is_dropped: Cell::new(false),
            in_use: Cell::new(0),
            unused: Notify::new(),
            is_failing: Cell::new(false),
            store: Cell::new(StoreState::Unused),
            version: Cell::new(None),
            is_followed: Cell::new(false),
            unsent: RefCell::default(),
            has_unsent: Notify::new(),
            nudge: Notify::new(),
            clock_asked: Cell::new(None),
            heard: Cell::new(None),
            doubted: Notify::new(),
            is_unresponsive: Cell::new(false),
            became_unresponsive: Notify::new(),
        })
    }

    /// Whether calls and news go over the link.
    #[must_use]
    pub fn is_linked(&self) -> bool {
        self.link.borrow().is_some() && !self.is_unresponsive.get()
    }

    /// Forgets what was true of a link that ended.
    pub fn reset(&self) {
        self.link.replace(None);
        self.describe(None);
        self.store.set(StoreState::Unused);
        self.version.set(None);
        self.is_followed.set(false);
        self.clock_asked.set(None);
        self.unsent.borrow_mut().clear();
    }

    /// Sends a message over the link, if there is one; whether there is.
    pub fn send_message(&self, message: LinkMessage) -> bool {
        if !self.is_linked() {
            return false;
        }
        self.unsent.borrow_mut().push_back(message);
        self.has_unsent.notify_one();
        true
    }

    /// The next message to send.
    #[must_use]
    pub fn next_unsent(&self) -> Option<LinkMessage> {
        self.unsent.borrow_mut().pop_front()
    }

    /// Asks it, once a link, to tell of hosts.
    pub fn request_host_updates(&self) {
        if !self.is_followed.get() {
            self.is_followed
                .set(self.send_message(LinkMessage::RequestHostUpdates));
        }
    }

    /// Asks it, unless it was of late, what the store's clock shows; `now` counts
    /// from the own host's start.
    pub fn request_clock(&self, now: Duration) {
        let asked = self.clock_asked.get();
        if asked.is_some_and(|asked| now < asked + CLOCK_AGAIN) {
            return;
        }
        let asked_us = to_micros(now);
        if self.send_message(LinkMessage::RequestClock { asked_us }) {
            self.clock_asked.set(Some(now));
        }
    }

    /// Whether anything came over the link within `pause`.
    #[must_use]
    pub fn heard_within(&self, now: Instant, pause: Duration) -> bool {
        self.heard.get().is_some_and(|heard| now < heard + pause)
    }

    /// Time until nothing came over the link for `pause`, if nothing comes.
    #[must_use]
    pub fn quiet_until(&self, pause: Duration, now: Instant) -> Duration {
        let heard = self.heard.get().unwrap_or(now);
        match (heard + pause).saturating_duration_since(now) {
            // Quiet already: a whole pause until it is looked at again.
            Duration::ZERO => pause,
            left => left,
        }
    }

    /// Whether the link may end: nobody wants it and no call uses it.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.is_dropped.get() && self.in_use.get() == 0
    }

    /// Notes that something came over the link.
    pub fn record_received(&self, now: Instant) {
        self.heard.set(Some(now));
        self.is_unresponsive.set(false);
    }

    /// Asks for a PING if nothing came over the link for `pause`.
    pub fn request_ping_if_idle(&self, now: Instant, pause: Duration) {
        if !self.heard_within(now, pause) && !self.is_unresponsive.get() {
            self.doubted.notify_one();
        }
    }

    /// Notes that a PING is overdue: no new calls go there, and calls under
    /// way that may be sent again are.
    pub fn mark_unresponsive(&self) {
        self.is_unresponsive.set(true);
        self.became_unresponsive.notify_waiters();
    }

    /// Whether it answers.
    #[must_use]
    pub fn reachability(&self) -> Reachability {
        if self.is_failing.get() {
            Reachability::Unreachable
        } else if self.is_unresponsive.get() {
            Reachability::Unresponsive
        } else {
            Reachability::Reachable
        }
    }

    /// The instances there that were heard to be leaving, newest last.
    #[must_use]
    pub fn left(&self) -> Vec<InstanceKey> {
        self.left.borrow().clone()
    }

    /// Takes over a description of its target.
    pub fn describe(&self, target: Option<TargetStatus>) {
        if let Some(target) = &target {
            let mut left = self.left.borrow_mut();
            if target.state == TargetState::Leaving && !left.contains(&target.instance) {
                if left.len() >= MOST_LEFT {
                    left.remove(0);
                }
                left.push(target.instance.clone());
            }
        }
        self.sent_since.set(0);
        *self.target.borrow_mut() = target;
    }

    /// Takes over the load that an answer carried.
    pub fn set_target_load(&self, load: TargetLoad) {
        if let Some(target) = self.target.borrow_mut().as_mut() {
            self.sent_since.set(0);
            target.load = load;
        }
    }

    /// Marks the gate as closed until it is described anew.
    pub fn mark_closed(&self) {
        if let Some(target) = self.target.borrow_mut().as_mut() {
            target.state = TargetState::Closed;
        }
    }

    /// Counts a call sent there.
    pub fn count_sent(&self) {
        self.sent_since.set(self.sent_since.get() + 1);
    }

    /// Its target, while the link is up, and the calls sent there since it
    /// was described.
    #[must_use]
    pub fn target(&self) -> Option<(TargetStatus, u32)> {
        self.link.borrow().as_ref()?;
        if self.is_unresponsive.get() {
            return None;
        }
        let target = self.target.borrow().clone()?;
        Some((target, self.sent_since.get()))
    }
}

/// A call's use of a link; a released link stays open for as long as one lives.
pub struct LinkGuard {
    peer: Rc<Peer>,
    clock: Rc<dyn Clock>,
}

impl LinkGuard {
    /// Counts a call on the link to `peer`.
    #[must_use]
    pub fn new(peer: &Rc<Peer>, clock: &Rc<dyn Clock>) -> LinkGuard {
        peer.in_use.set(peer.in_use.get() + 1);
        LinkGuard {
            peer: Rc::clone(peer),
            clock: Rc::clone(clock),
        }
    }

    /// Notes that something came for the call.
    pub fn record_received(&self) {
        self.peer.record_received(self.clock.now());
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.peer.in_use.set(self.peer.in_use.get() - 1);
        if self.peer.is_done() {
            self.peer.unused.notify_one();
        }
    }
}

impl std::fmt::Debug for LinkGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "LinkUse({})", self.peer.address.id)
    }
}
