//! The other daemons: where they are, the links to them, and the targets
//! beside them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::SendRequest;
use tokio::sync::{mpsc, Notify};

use crate::messages::{PeerAddress, TargetLoad, TargetState, TargetStatus};

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
    left: RefCell<Vec<String>>,
    /// Calls sent there since that description.
    sent_since: Cell<u32>,
    /// Set when the entry is replaced or removed: its link ends.
    pub is_dropped: Cell<bool>,
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
            nudge: Notify::new(),
            heard: Cell::new(None),
            doubted: Notify::new(),
            is_silent: Cell::new(false),
            fell_silent: Notify::new(),
        })
    }

    /// Notes that something came over the link.
    pub fn hear(&self, now: Instant) {
        self.heard.set(Some(now));
        self.is_silent.set(false);
    }

    /// Asks for a PING if nothing came over the link for `pause`.
    pub fn doubt(&self, now: Instant, pause: Duration) {
        let is_doubtful = self.heard.get().is_none_or(|heard| now >= heard + pause);
        if is_doubtful && !self.is_silent.get() {
            self.doubted.notify_one();
        }
    }

    /// Notes that a PING is overdue: no new calls go there, and calls under
    /// way that may be sent again are.
    pub fn mark_silent(&self) {
        self.is_silent.set(true);
        self.fell_silent.notify_waiters();
    }

    /// Whether a PING is overdue.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.is_silent.get()
    }

    /// The instances there that were heard to be leaving, newest last.
    #[must_use]
    pub fn left(&self) -> Vec<String> {
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

/// All other daemons known, by host name.
#[derive(Default)]
pub struct PeerBook {
    peers: RefCell<BTreeMap<String, Rc<Peer>>>,
    watchers: RefCell<Vec<mpsc::Sender<Bytes>>>,
}

/// Messages that may wait for one watcher; one that falls further behind is
/// dropped, and its link with it.
const WATCHER_QUEUE: usize = 64;

impl PeerBook {
    /// Adds `address`, or replaces it when the host moved; the new entry, if
    /// there is one to dial.
    pub fn learn(&self, address: PeerAddress) -> Option<Rc<Peer>> {
        let mut peers = self.peers.borrow_mut();
        if let Some(known) = peers.get(&address.id) {
            if known.address == address {
                return None;
            }
            known.is_dropped.set(true);
            known.nudge.notify_one();
        }
        let peer = Peer::new(address);
        peers.insert(peer.address.id.clone(), Rc::clone(&peer));
        Some(peer)
    }

    /// Removes a host, unless its link is up.
    pub fn forget(&self, id: &str) {
        let mut peers = self.peers.borrow_mut();
        let is_linked = peers
            .get(id)
            .is_some_and(|peer| peer.link.borrow().is_some());
        if is_linked {
            return;
        }
        if let Some(peer) = peers.remove(id) {
            peer.is_dropped.set(true);
            peer.nudge.notify_one();
        }
    }

    /// Every peer.
    #[must_use]
    pub fn all(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// The peer on host `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<Rc<Peer>> {
        self.peers.borrow().get(id).cloned()
    }

    /// Where every peer is.
    #[must_use]
    pub fn addresses(&self) -> Vec<PeerAddress> {
        self.peers
            .borrow()
            .values()
            .map(|peer| peer.address.clone())
            .collect()
    }

    /// Number of peers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Whether there is no peer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.borrow().is_empty()
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

    /// Adds a daemon that linked here and wants to hear of changes.
    pub fn watch(&self) -> (mpsc::Sender<Bytes>, mpsc::Receiver<Bytes>) {
        let (sender, receiver) = mpsc::channel(WATCHER_QUEUE);
        self.watchers.borrow_mut().push(sender.clone());
        (sender, receiver)
    }

    /// Tells every daemon that linked here.
    pub fn broadcast(&self, frame: &Bytes) {
        self.watchers
            .borrow_mut()
            .retain(|watcher| watcher.try_send(frame.clone()).is_ok());
    }
}
