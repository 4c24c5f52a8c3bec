//! What the daemon's parts share. All run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbert_platform::operator;
use filbert_platform::store::StoreClient;
use filbert_policy::budget::RetryBudget;
use filbert_policy::clock::Clock;
use filbert_policy::routing::RouteIndex;
use filbert_policy::weights::WeightDealer;

use tokio::sync::Notify;

use crate::gate::Gate;
use crate::links;
use crate::logging::LineBudget;
use crate::messages::{encode, LinkMessage, PeerAddress};
use crate::metrics::MeshMetrics;
use crate::peers::PeerBook;
use crate::settings::MeshSettings;
use crate::stop::StopState;

/// What was learnt of a route's calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteHistory {
    /// The longest time that any client of it said it would wait.
    pub longest_wait: Duration,
    /// Usual size of an answer, in KiB.
    pub answer_kib: f64,
}

/// Weight of the newest answer in a route's usual size.
const NEWEST_ANSWER: f64 = 0.05;

/// What the daemon's parts share.
pub struct MeshShared {
    /// Where time is read from.
    pub clock: Rc<dyn Clock>,
    /// The settings in force.
    pub settings: RefCell<Rc<MeshSettings>>,
    /// The store.
    pub store: StoreClient,
    /// The version in force, compiled.
    pub index: RefCell<Rc<RouteIndex>>,
    /// The version in force as the operator wrote it.
    pub version_text: RefCell<Bytes>,
    /// The other daemons.
    pub peers: PeerBook,
    /// The way to the target beside this daemon.
    pub gate: Rc<Gate>,
    /// What may be sent a second time.
    pub budget: RefCell<RetryBudget>,
    /// Deals split routes' calls.
    pub dealer: RefCell<WeightDealer>,
    /// What was learnt of each route's calls, by route name.
    pub routes: RefCell<HashMap<String, RouteHistory>>,
    /// Whether the members were read, from the store or from a peer.
    pub knows_members: Cell<bool>,
    /// Counters and histograms.
    pub metrics: Rc<MeshMetrics>,
    /// Bounds the lines on calls.
    pub lines: LineBudget,
    /// Wakes the feed of the members when the store is back.
    pub store_returned: Notify,
    /// How far a planned stop is.
    pub stop: StopState,
    /// A random number of this start.
    pub seed: u64,
}

impl MeshShared {
    /// Where this daemon is found.
    #[must_use]
    pub fn own_address(&self) -> PeerAddress {
        let settings = self.settings.borrow();
        PeerAddress {
            id: settings.id.clone(),
            address: settings.listen.peers.to_string(),
            zone: settings.zone.clone(),
        }
    }

    /// The version in force, compiled.
    #[must_use]
    pub fn current_index(&self) -> Rc<RouteIndex> {
        Rc::clone(&self.index.borrow())
    }

    /// Daemons that share the retry budget, this one included.
    #[must_use]
    pub fn daemons(&self) -> usize {
        self.peers.len() + 1
    }

    /// Puts a version in force if it is newer, and tells the peers.
    ///
    /// Guards against going back: versions come from the store and from every
    /// peer, in any order, and only a higher number is taken. A version that
    /// cannot be decoded whole is not used at all.
    pub fn offer_version(self: &Rc<Self>, text: &Bytes, from: &str) {
        let version = match operator::read_config(text) {
            Ok(version) => version,
            Err(error) => {
                log::error!("event=version_refused from={from} error=\"{error}\"");
                return;
            }
        };
        let before = self.index.borrow().number();
        if version.number <= before {
            return;
        }
        let number = version.number;
        let routes = version.routes.len();
        *self.index.borrow_mut() = Rc::new(RouteIndex::compile(version));
        *self.version_text.borrow_mut() = text.clone();
        log::info!("event=version_in_force version={number:08x} before={before:08x} routes={routes} from={from}");
        self.peers
            .broadcast(&encode(&LinkMessage::InForce { version: number }));
    }

    /// Adds a daemon to those known and links to it.
    pub fn learn_peer(self: &Rc<Self>, address: PeerAddress, from: &str) {
        if address.id == self.settings.borrow().id {
            return;
        }
        if let Some(peer) = self.peers.learn(address) {
            log::info!(
                "event=peer_learnt peer={} address={} zone={} from={from}",
                peer.address.id,
                peer.address.address,
                peer.address.zone
            );
            tokio::task::spawn_local(links::keep_linked(Rc::clone(self), peer));
        }
    }

    /// Notes how long a client of `route` waits, and gives the longest so far.
    pub fn note_wait(&self, route: &str, wait: Duration) -> RouteHistory {
        let mut routes = self.routes.borrow_mut();
        if let Some(history) = routes.get_mut(route) {
            history.longest_wait = history.longest_wait.max(wait);
            return *history;
        }
        let history = RouteHistory {
            longest_wait: wait,
            answer_kib: 0.0,
        };
        routes.insert(route.to_owned(), history);
        history
    }

    /// Notes the size of an answer on `route`.
    pub fn note_answer(&self, route: &str, bytes: u64) {
        if let Some(history) = self.routes.borrow_mut().get_mut(route) {
            let kib = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 1024.0;
            if history.answer_kib == 0.0 {
                history.answer_kib = kib;
            } else {
                history.answer_kib += (kib - history.answer_kib) * NEWEST_ANSWER;
            }
        }
    }

    /// Whether callers can be served: a version is in force and it is known
    /// whom to call.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.index.borrow().number() > 0 && self.knows_members.get()
    }
}
