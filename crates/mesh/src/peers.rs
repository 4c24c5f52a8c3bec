//! The daemons that this one links to: the links, and the targets beside them;
//! and those that link here and want news.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbert_policy::clock::Clock;
use filbert_policy::instance::InstanceKey;
use filbert_policy::membership::HostReach;
use h2::client::SendRequest;
use rand::seq::SliceRandom;
use tokio::sync::{mpsc, Notify};

use crate::messages::{
    LinkMessage, PeerAddress, StoreState, TargetLoad, TargetState, TargetStatus,
};

/// Leaving instances remembered for a host: more than one is replaced there
/// only in a long time.
const MOST_LEFT: usize = 8;

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
    /// When anything last came over the link.
    heard: Cell<Option<Instant>>,
    /// Asks for a PING now.
    pub doubted: Notify,
    /// Whether a PING is overdue.
    is_silent: Cell<bool>,
    /// Wakes calls under way when the link falls silent.
    pub fell_silent: Notify,
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
            heard: Cell::new(None),
            doubted: Notify::new(),
            is_silent: Cell::new(false),
            fell_silent: Notify::new(),
        })
    }

    /// Whether calls and news go over the link.
    #[must_use]
    pub fn is_linked(&self) -> bool {
        self.link.borrow().is_some() && !self.is_silent.get()
    }

    /// Forgets what was true of a link that ended.
    pub fn reset(&self) {
        self.link.replace(None);
        self.describe(None);
        self.store.set(StoreState::Unused);
        self.version.set(None);
        self.is_followed.set(false);
        self.unsent.borrow_mut().clear();
    }

    /// Sends a message over the link, if there is one; whether there is.
    pub fn say(&self, message: LinkMessage) -> bool {
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
    pub fn follow(&self) {
        if !self.is_followed.get() {
            self.is_followed.set(self.say(LinkMessage::Follow));
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
    pub fn hear(&self, now: Instant) {
        self.heard.set(Some(now));
        self.is_silent.set(false);
    }

    /// Asks for a PING if nothing came over the link for `pause`.
    pub fn doubt(&self, now: Instant, pause: Duration) {
        if !self.heard_within(now, pause) && !self.is_silent.get() {
            self.doubted.notify_one();
        }
    }

    /// Notes that a PING is overdue: no new calls go there, and calls under
    /// way that may be sent again are.
    pub fn mark_silent(&self) {
        self.is_silent.set(true);
        self.fell_silent.notify_waiters();
    }

    /// Whether it answers.
    #[must_use]
    pub fn reach(&self) -> HostReach {
        if self.is_failing.get() {
            HostReach::Failing
        } else if self.is_silent.get() {
            HostReach::Silent
        } else {
            HostReach::Answers
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
    pub fn describe_load(&self, load: TargetLoad) {
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
        if self.is_silent.get() {
            return None;
        }
        let target = self.target.borrow().clone()?;
        Some((target, self.sent_since.get()))
    }
}

/// A call's use of a link; a released link stays open for as long as one lives.
pub struct LinkUse {
    peer: Rc<Peer>,
    clock: Rc<dyn Clock>,
}

impl LinkUse {
    /// Counts a call on the link to `peer`.
    #[must_use]
    pub fn new(peer: &Rc<Peer>, clock: &Rc<dyn Clock>) -> LinkUse {
        peer.in_use.set(peer.in_use.get() + 1);
        LinkUse {
            peer: Rc::clone(peer),
            clock: Rc::clone(clock),
        }
    }

    /// Notes that something came for the call.
    pub fn hear(&self) {
        self.peer.hear(self.clock.now());
    }
}

impl Drop for LinkUse {
    fn drop(&mut self) {
        self.peer.in_use.set(self.peer.in_use.get() - 1);
        if self.peer.is_done() {
            self.peer.unused.notify_one();
        }
    }
}

impl std::fmt::Debug for LinkUse {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "LinkUse({})", self.peer.address.id)
    }
}

/// A daemon that linked here and wants news.
struct NewsWatcher {
    zone: String,
    /// Whether it is told of hosts whatever its zone.
    follows: Rc<Cell<bool>>,
    frames: mpsc::Sender<Bytes>,
}

/// What a daemon that linked here gets.
pub struct NewsFeed {
    /// Frames to pass on to it.
    pub frames: mpsc::Receiver<Bytes>,
    /// Whether it is told of hosts whatever its zone.
    pub follows: Rc<Cell<bool>>,
}

/// The daemons linked to, by host name, and those that want news from here.
#[derive(Default)]
pub struct PeerBook {
    peers: RefCell<BTreeMap<String, Rc<Peer>>>,
    watchers: RefCell<Vec<NewsWatcher>>,
    /// Wakes calls that wait for a first target of their service.
    pub described: Notify,
}

/// Messages that may wait for one watcher; one that falls further behind is
/// dropped, and its link with it.
const WATCHER_QUEUE: usize = 64;

impl PeerBook {
    /// The entry for `address`, if there is none yet or the host moved: it is
    /// to be dialed.
    pub fn link_to(&self, address: &PeerAddress) -> Option<Rc<Peer>> {
        let mut peers = self.peers.borrow_mut();
        if let Some(known) = peers.get(&address.id) {
            if known.address == *address {
                return None;
            }
            drop_peer(known);
        }
        let peer = Peer::new(address.clone());
        peers.insert(peer.address.id.clone(), Rc::clone(&peer));
        Some(peer)
    }

    /// Ends the link to a host as soon as no call uses it.
    pub fn release(&self, id: &str) {
        if let Some(peer) = self.peers.borrow_mut().remove(id) {
            drop_peer(&peer);
        }
    }

    /// Every peer.
    #[must_use]
    pub fn all(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// The names of all peers.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.peers.borrow().keys().cloned().collect()
    }

    /// The peer on host `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<Rc<Peer>> {
        self.peers.borrow().get(id).cloned()
    }

    /// Number of peers with a link up.
    #[must_use]
    pub fn linked(&self) -> usize {
        self.peers
            .borrow()
            .values()
            .filter(|peer| peer.link.borrow().is_some())
            .count()
    }

    /// Adds a daemon of `zone` that linked here and wants to hear of changes.
    pub fn watch(&self, zone: &str) -> NewsFeed {
        let (sender, frames) = mpsc::channel(WATCHER_QUEUE);
        let follows = Rc::new(Cell::new(false));
        self.watchers.borrow_mut().push(NewsWatcher {
            zone: zone.to_owned(),
            follows: Rc::clone(&follows),
            frames: sender,
        });
        NewsFeed { frames, follows }
    }

    /// Number of daemons that want news from here.
    #[must_use]
    pub fn watchers(&self) -> usize {
        self.watchers.borrow().len()
    }

    /// Tells every daemon that linked here.
    pub fn broadcast(&self, frame: &Bytes) {
        self.watchers
            .borrow_mut()
            .retain(|watcher| watcher.frames.try_send(frame.clone()).is_ok());
    }

    /// Tells `most` of the daemons that linked here, drawn at random.
    pub fn broadcast_to(&self, most: usize, frame: &Bytes) {
        let mut watchers = self.watchers.borrow_mut();
        watchers.shuffle(&mut rand::rng());
        let mut told = 0;
        watchers.retain(|watcher| {
            told += 1;
            told > most || watcher.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// `most` of the peers with a link up, drawn at random.
    #[must_use]
    pub fn some_linked(&self, most: usize) -> Vec<Rc<Peer>> {
        let mut peers = self.all();
        peers.retain(|peer| peer.is_linked());
        peers.shuffle(&mut rand::rng());
        peers.truncate(most);
        peers
    }

    /// Tells the daemons of all zones but `zone` that linked here.
    pub fn broadcast_outside(&self, zone: &str, frame: &Bytes) {
        self.watchers.borrow_mut().retain(|watcher| {
            watcher.zone == zone || watcher.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// Tells the daemons of `zone` that linked here.
    pub fn broadcast_in(&self, zone: &str, frame: &Bytes) {
        self.watchers.borrow_mut().retain(|watcher| {
            watcher.zone != zone || watcher.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// Tells the daemons that are told of hosts: those of `zone`, and readers
    /// of others.
    pub fn broadcast_to_followers(&self, zone: &str, frame: &Bytes) {
        self.watchers.borrow_mut().retain(|watcher| {
            let is_told = watcher.zone == zone || watcher.follows.get();
            !is_told || watcher.frames.try_send(frame.clone()).is_ok()
        });
    }
}

fn drop_peer(peer: &Peer) {
    peer.is_dropped.set(true);
    peer.nudge.notify_one();
    peer.unused.notify_one();
}
