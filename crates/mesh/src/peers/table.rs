//! The table of peers, and the subscribers to this daemon's news.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use rand::seq::SliceRandom;
use tokio::sync::{mpsc, Notify};

use super::{Peer, SharedTargetMemory};
use crate::messages::PeerAddress;

/// A daemon that linked to this one and subscribed to its news.
struct NewsSubscriber {
    zone: String,
    /// Whether the subscriber gets updates of hosts although it is in another zone.
    wants_host_updates: Rc<Cell<bool>>,
    frames: mpsc::Sender<Bytes>,
}

/// The subscription of a daemon that linked to this one.
pub struct NewsSubscription {
    /// Encoded messages to send to the subscriber. The channel ends once the
    /// subscriber is dropped for being too slow.
    pub frames: mpsc::Receiver<Bytes>,
    /// Whether the subscriber gets updates of hosts although it is in another zone.
    pub wants_host_updates: Rc<Cell<bool>>,
}

/// The peers by host name, and the subscribers to this daemon's news.
#[derive(Default)]
pub struct PeerTable {
    peers: RefCell<BTreeMap<String, Rc<Peer>>>,
    /// What is remembered of targets, by host name, also of hosts that are no peers at
    /// present.
    memory: RefCell<BTreeMap<String, SharedTargetMemory>>,
    subscribers: RefCell<Vec<NewsSubscriber>>,
    /// Notified when the status of a peer's target has arrived; wakes calls that wait
    /// for the first target of their service.
    pub target_updated: Notify,
}

/// Number of hosts from which what is remembered of hosts without a peer is dropped.
const MAX_REMEMBERED_HOSTS: usize = 1_000;
/// Maximum number of messages queued for a subscriber. A subscriber that falls
/// further behind is dropped together with its link.
const SUBSCRIBER_QUEUE_MESSAGES: usize = 64;

impl PeerTable {
    /// Adds a peer, or replaces it if its address has changed. Returns the new peer,
    /// which the caller has to dial; `None` if the table has it already.
    pub fn add_or_replace(&self, address: &PeerAddress) -> Option<Rc<Peer>> {
        let mut peers = self.peers.borrow_mut();
        if let Some(known) = peers.get(&address.id) {
            if known.address == *address {
                return None;
            }
            mark_removed(known);
        }
        let peer = Peer::new(address.clone(), self.memory_of(&address.id));
        peers.insert(peer.address.id.clone(), Rc::clone(&peer));
        Some(peer)
    }

    /// What this daemon remembers of the target on host `id`. What it remembers of hosts
    /// without a peer is dropped once they are many.
    fn memory_of(&self, id: &str) -> SharedTargetMemory {
        let mut memory = self.memory.borrow_mut();
        if memory.len() >= MAX_REMEMBERED_HOSTS {
            memory.retain(|_, of_host| Rc::strong_count(of_host) > 1);
        }
        Rc::clone(memory.entry(id.to_owned()).or_default())
    }

    /// Removes the peer on host `id`. Its link is closed as soon as no call uses it.
    pub fn remove(&self, id: &str) {
        if let Some(peer) = self.peers.borrow_mut().remove(id) {
            mark_removed(&peer);
        }
    }

    /// All peers.
    #[must_use]
    pub fn all(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// Host names of all peers.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.peers.borrow().keys().cloned().collect()
    }

    /// The peer on host `id`; `None` if the table has none.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<Rc<Peer>> {
        self.peers.borrow().get(id).cloned()
    }

    /// Number of peers whose link is up.
    #[must_use]
    pub fn linked_count(&self) -> usize {
        self.peers
            .borrow()
            .values()
            .filter(|peer| peer.link.borrow().is_some())
            .count()
    }

    /// Adds a daemon that linked to this one as a subscriber.
    pub fn subscribe(&self, from: &PeerAddress) -> NewsSubscription {
        let (sender, frames) = mpsc::channel(SUBSCRIBER_QUEUE_MESSAGES);
        let wants_host_updates = Rc::new(Cell::new(false));
        self.subscribers.borrow_mut().push(NewsSubscriber {
            zone: from.zone.clone(),
            wants_host_updates: Rc::clone(&wants_host_updates),
            frames: sender,
        });
        NewsSubscription {
            frames,
            wants_host_updates,
        }
    }

    /// Number of subscribers to this daemon's news.
    #[must_use]
    pub fn subscriber_count(&self) -> usize {
        self.subscribers.borrow().len()
    }

    /// Sends an encoded message to all subscribers.
    pub fn broadcast(&self, frame: &Bytes) {
        self.subscribers
            .borrow_mut()
            .retain(|subscriber| subscriber.frames.try_send(frame.clone()).is_ok());
    }

    /// Sends an encoded message to at most `count` subscribers, chosen at random.
    pub fn broadcast_to_random(&self, count: usize, frame: &Bytes) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.shuffle(&mut rand::rng());
        let mut visited = 0;
        subscribers.retain(|subscriber| {
            visited += 1;
            visited > count || subscriber.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// At most `count` of the linked peers, chosen at random.
    #[must_use]
    pub fn random_linked(&self, count: usize) -> Vec<Rc<Peer>> {
        let mut peers = self.all();
        peers.retain(|peer| peer.is_linked());
        peers.shuffle(&mut rand::rng());
        peers.truncate(count);
        peers
    }

    /// Sends an encoded message to the subscribers in all zones except `zone`.
    pub fn broadcast_outside(&self, zone: &str, frame: &Bytes) {
        self.subscribers.borrow_mut().retain(|subscriber| {
            subscriber.zone == zone || subscriber.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// Sends an encoded message to the subscribers in `zone`.
    pub fn broadcast_in(&self, zone: &str, frame: &Bytes) {
        self.subscribers.borrow_mut().retain(|subscriber| {
            subscriber.zone != zone || subscriber.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// Sends an encoded message to the subscribers that get updates of hosts: those in
    /// `zone`, and the readers of other zones that requested them.
    pub fn broadcast_to_followers(&self, zone: &str, frame: &Bytes) {
        self.subscribers.borrow_mut().retain(|subscriber| {
            let is_recipient = subscriber.zone == zone || subscriber.wants_host_updates.get();
            !is_recipient || subscriber.frames.try_send(frame.clone()).is_ok()
        });
    }
}

fn mark_removed(peer: &Peer) {
    peer.is_removed.set(true);
    peer.dial_now.notify_one();
    peer.became_idle.notify_one();
}
