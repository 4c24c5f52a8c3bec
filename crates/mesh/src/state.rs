//! What the daemon's parts share. All run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use filbert_platform::store::StoreClient;
use filbert_policy::budget::RetryBudget;
use filbert_policy::client_timeouts::ClientTimeouts;
use filbert_policy::clock::Clock;
use filbert_policy::numbers::truncate_to_u64;
use filbert_policy::routing::RouteIndex;
use filbert_policy::run_times::{RunTime, RunTimeAverage};
use filbert_policy::weights::WeightedRoundRobin;

use tokio::sync::Notify;

use crate::egress::EgressPacer;
use crate::gate::Gate;
use crate::logging::LogRateLimiter;
use crate::members::MemberBook;
use crate::messages::PeerAddress;
use crate::metrics::{CrossZoneCause, MeshMetrics};
use crate::organisations::OrganisationDesk;
use crate::peers::{Peer, PeerBook};
use crate::quarantine::SharedQuarantine;
use crate::rollouts::RolloutBook;
use crate::settings::MeshSettings;
use crate::stop::StopState;
use crate::versions::VersionBook;

/// What was learnt of a route's calls.
#[derive(Clone, Debug, Default)]
pub struct RouteHistory {
    /// How long its clients said that they would wait.
    pub client_timeouts: ClientTimeouts,
    /// Usual size of an answer, in KiB.
    pub answer_kib: f64,
    /// Usual time of a run.
    pub run: RunTimeAverage,
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
    /// The version in force.
    pub versions: VersionBook,
    /// Which hosts there are.
    pub members: MemberBook,
    /// The daemons that this one links to.
    pub peers: PeerBook,
    /// The way out of this host.
    pub egress: Rc<EgressPacer>,
    /// The way to the target beside this daemon.
    pub gate: Rc<Gate>,
    /// Calls that are held back.
    pub quarantine: Rc<SharedQuarantine>,
    /// Roll-outs of software versions.
    pub rollouts: Rc<RolloutBook>,
    /// Organisations, their keys and what they may run.
    pub organisations: Rc<OrganisationDesk>,
    /// What may be sent a second time.
    pub retry_budget: RefCell<RetryBudget>,
    /// Deals split routes' calls.
    pub weighted_round_robin: RefCell<WeightedRoundRobin>,
    /// What was learnt of each route's calls, by route name.
    pub routes: RefCell<HashMap<String, RouteHistory>>,
    /// Counters and histograms.
    pub metrics: Rc<MeshMetrics>,
    /// Bounds the lines on calls.
    pub log_limiter: LogRateLimiter,
    /// Wakes the feed of the members when the store is back.
    pub store_returned: Notify,
    /// How often the store had come back from an older copy, by what this daemon
    /// has acted on.
    pub store_era: Cell<Option<u64>>,
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
            address: settings
                .listen
                .advertised
                .unwrap_or(settings.listen.peers)
                .to_string(),
            zone: settings.zone.clone(),
            service: settings.service.clone(),
        }
    }

    /// Takes note of the store's era. In a new one, what was written since the
    /// older copy is gone: what lies in rows of ours is taken for unwritten, and
    /// written again as it is found missing.
    pub fn handle_store_era(&self, era: u64) {
        let before = self.store_era.replace(Some(era));
        if before.is_none_or(|before| before == era) {
            return;
        }
        log::warn!(
            "event=store_came_back era={era} before={}",
            before.unwrap_or_default()
        );
        self.rollouts.store_came_back();
        let held = self.quarantine.forget_rows();
        self.see_to_held_rows(&held);
    }

    /// The version in force, compiled.
    #[must_use]
    pub fn current_index(&self) -> Rc<RouteIndex> {
        self.versions.index()
    }

    /// Counts bytes over the link to `peer`, if it crosses into another zone.
    pub fn count_cross_zone_bytes(&self, peer: &Peer, cause: CrossZoneCause, bytes: usize) {
        if peer.address.zone != self.settings.borrow().zone {
            self.metrics.record_cross_zone_bytes(cause, bytes);
        }
    }

    /// Daemons that share the retry budget, this one included.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        self.members.count()
    }

    /// Notes how long a client of `route` waits, and gives the time that has
    /// likely passed since its first try.
    pub fn record_client_timeout(&self, route: &str, wait: Duration) -> Duration {
        self.with_history(route, |history| history.client_timeouts.record(wait))
    }

    fn with_history<T>(&self, route: &str, change: impl FnOnce(&mut RouteHistory) -> T) -> T {
        let mut routes = self.routes.borrow_mut();
        if let Some(history) = routes.get_mut(route) {
            return change(history);
        }
        change(routes.entry(route.to_owned()).or_default())
    }

    /// Notes the size of an answer on `route`, and the time of its run.
    pub fn record_answer(&self, route: &str, bytes: u64, ran: Duration) {
        let kib = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 1024.0;
        self.with_history(route, |history| {
            if history.answer_kib == 0.0 {
                history.answer_kib = kib;
            } else {
                history.answer_kib += (kib - history.answer_kib) * NEWEST_ANSWER;
            }
            history.run.record(ran);
        });
    }

    /// Usual size of an answer on `route`, in bytes; 0 before the first.
    #[must_use]
    pub fn average_answer_bytes(&self, route: &str) -> u64 {
        let kib = self
            .routes
            .borrow()
            .get(route)
            .map_or(0.0, |history| history.answer_kib);
        truncate_to_u64(kib * 1024.0)
    }

    /// Usual time of a run on `route`; `None` before the first.
    #[must_use]
    pub fn usual_run(&self, route: &str) -> Option<RunTime> {
        self.routes.borrow().get(route)?.run.time()
    }

    /// Whether callers can be served: a version is in force and it is known
    /// whom to call.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.versions.number() > 0 && self.members.is_known.get()
    }
}
