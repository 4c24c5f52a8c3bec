//! The daemons linked to, and those that link here and want news.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use rand::seq::SliceRandom;
use tokio::sync::{mpsc, Notify};

use super::Peer;
use crate::messages::PeerAddress;

/// A daemon that linked here and wants news.
struct NewsWatcher {
    host: String,
    zone: String,
    /// Whether it is told of hosts whatever its zone.
    follows: Rc<Cell<bool>>,
    /// When it last said that it reaches this daemon.
    renewed: Rc<Cell<Option<Instant>>>,
    frames: mpsc::Sender<Bytes>,
}

/// What a daemon that linked here gets.
pub struct NewsFeed {
    /// Frames to pass on to it.
    pub frames: mpsc::Receiver<Bytes>,
    /// Whether it is told of hosts whatever its zone.
    pub follows: Rc<Cell<bool>>,
    /// When it last said that it reaches this daemon.
    pub renewed: Rc<Cell<Option<Instant>>>,
}

/// The daemons linked to, by host name, and those that want news from here.
#[derive(Default)]
pub struct PeerTable {
    peers: RefCell<BTreeMap<String, Rc<Peer>>>,
    watchers: RefCell<Vec<NewsWatcher>>,
    /// Wakes calls that wait for a first target of their service.
    pub target_updated: Notify,
}

/// Messages that may wait for one watcher; one that falls further behind is
/// dropped, and its link with it.
const WATCHER_QUEUE: usize = 64;

impl PeerTable {
    /// The entry for `address`, if there is none yet or the host moved: it is
    /// to be dialed.
    pub fn add_or_replace(&self, address: &PeerAddress) -> Option<Rc<Peer>> {
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
    pub fn remove(&self, id: &str) {
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
    pub fn linked_count(&self) -> usize {
        self.peers
            .borrow()
            .values()
            .filter(|peer| peer.link.borrow().is_some())
            .count()
    }

    /// Adds a daemon that linked here and wants to hear of changes.
    pub fn watch(&self, from: &PeerAddress) -> NewsFeed {
        let (sender, frames) = mpsc::channel(WATCHER_QUEUE);
        let follows = Rc::new(Cell::new(false));
        let renewed = Rc::default();
        let mut watchers = self.watchers.borrow_mut();
        // A daemon that links anew counts once.
        for before in watchers.iter().filter(|one| one.host == from.id) {
            before.renewed.set(None);
        }
        watchers.push(NewsWatcher {
            host: from.id.clone(),
            zone: from.zone.clone(),
            follows: Rc::clone(&follows),
            renewed: Rc::clone(&renewed),
            frames: sender,
        });
        NewsFeed {
            frames,
            follows,
            renewed,
        }
    }

    /// Number of daemons that want news from here.
    #[must_use]
    pub fn subscriber_count(&self) -> usize {
        self.watchers.borrow().len()
    }

    /// Number of daemons of `zone` that said since `since` that they reach this one.
    #[must_use]
    pub fn leased_by(&self, zone: &str, since: Instant) -> usize {
        let watchers = self.watchers.borrow();
        let in_zone = watchers.iter().filter(|one| one.zone == zone);
        in_zone
            .filter(|one| one.renewed.get() >= Some(since))
            .count()
    }

    /// Tells every daemon that linked here.
    pub fn broadcast(&self, frame: &Bytes) {
        self.watchers
            .borrow_mut()
            .retain(|watcher| watcher.frames.try_send(frame.clone()).is_ok());
    }

    /// Tells `most` of the daemons that linked here, drawn at random.
    pub fn broadcast_to_random(&self, most: usize, frame: &Bytes) {
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
    pub fn random_linked(&self, most: usize) -> Vec<Rc<Peer>> {
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
