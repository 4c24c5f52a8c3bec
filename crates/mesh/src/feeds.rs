//! Reads configuration and membership from the store, or leaves that to the
//! upstreams of this daemon.

mod apply;
mod query;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_platform::store::OPERATOR_TABLE;
use filbert_policy::store_access::{
    bootstrap_step, initial_query_delay, BootstrapStep, BootstrapView, StoreBackoff,
};
use rand::Rng;
use tokio::sync::watch::Receiver;

use crate::members::StoreRole;
use crate::messages::StoreState;
use crate::rows::HOSTS_TABLE;
use crate::state::MeshShared;
use query::query;

/// Time after which a watch of the configuration returns without a change.
///
/// A call made to a store that has stopped responding is never answered, and
/// looks the same as a watch without a change. When this happens to both
/// sources of the fleet, it has to be detected, and other daemons have to
/// replace them, within the two seconds in which a version has to be in force.
const CONFIGURATION_WATCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Like `CONFIGURATION_WATCH_TIMEOUT`, for the members. It can be long: the
/// members are read again when the watch of the configuration finds that the
/// store responds again, and new hosts also send a hello.
const MEMBERSHIP_WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Delay after a change before the next watch. Changes come in bursts (a
/// version every 0.2 s, or all hosts at once at a start), and reading them one
/// by one costs every reader a call for each. With 500 ms, a quiet day of
/// twelve hosts with such a burst makes 393 calls instead of 588. The first
/// change of a burst is not delayed, the last by 0.3 s at most.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(300);
/// How often the feed of the members checks whether the store is still
/// unreachable.
const STORE_RETURN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the first link plan to be made once the members are loaded.
const FIRST_PLAN_DELAY: Duration = Duration::from_millis(100);
/// Time for the first links to come up, on a host with a tenth of a core.
const FIRST_LINK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without an upstream before a daemon that is no source reads the members
/// from the store. Failed upstreams are replaced within a second.
const UPSTREAM_REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a daemon that starts checks its place in the plan of links, and which peers have
/// a version.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The table that a feed reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FeedSubject {
    Configuration,
    Membership,
}

impl FeedSubject {
    fn watch_timeout(self) -> Duration {
        match self {
            FeedSubject::Configuration => CONFIGURATION_WATCH_TIMEOUT,
            FeedSubject::Membership => MEMBERSHIP_WATCH_TIMEOUT,
        }
    }

    fn label(self) -> &'static str {
        match self {
            FeedSubject::Configuration => "configuration",
            FeedSubject::Membership => "membership",
        }
    }

    fn table(self) -> &'static str {
        match self {
            FeedSubject::Configuration => OPERATOR_TABLE,
            FeedSubject::Membership => HOSTS_TABLE,
        }
    }
}

/// Keeps the operator's configuration up to date. Never returns.
pub async fn watch_configuration(shared: Rc<MeshShared>) {
    run_feed(shared, FeedSubject::Configuration).await;
}

/// Keeps the members up to date. Never returns.
pub async fn watch_members(shared: Rc<MeshShared>) {
    run_feed(shared, FeedSubject::Membership).await;
}

/// Position of a feed in the history of its table, and its failures so far.
struct FeedState {
    subject: FeedSubject,
    /// Table version from which to watch; `None` to read the whole table.
    position: Option<u64>,
    /// Configuration version that was in force when `position` was reached.
    version_at_position: u64,
    /// Number of times that the store had been restored from an older copy, as
    /// of the last answer.
    era: Option<u64>,
    backoff: StoreBackoff,
    /// Address of the store at which `position` was reached.
    address: Arc<str>,
}

impl FeedState {
    /// Updates the era. Returns whether the store has been restored from an
    /// older copy since the last answer.
    fn update_era(&mut self, shared: &MeshShared) -> bool {
        let era = shared.store.era();
        shared.handle_store_era(era);
        self.era.replace(era).is_some_and(|before| before != era)
    }

    /// Has the whole table read, instead of its history, when versions have
    /// arrived from elsewhere since the last answer.
    ///
    /// The history since a follower's last query holds the full text of each
    /// version that its upstreams have sent it meanwhile. Such texts, 600 KB
    /// each, occupied a link of 7.5 Mbit/s for 2.4 s, and an oversized version
    /// queued behind them was in force only 4.6 s after its announcement.
    fn skip_history(&mut self, shared: &MeshShared) {
        let is_configuration = self.subject == FeedSubject::Configuration;
        if is_configuration && shared.versions.number() != self.version_at_position {
            self.position = None;
        }
    }
}

async fn run_feed(shared: Rc<MeshShared>, subject: FeedSubject) {
    let mut role = shared.members.role.subscribe();
    let mut state = FeedState {
        subject,
        position: None,
        version_at_position: 0,
        era: None,
        backoff: StoreBackoff::default(),
        address: shared.store.address(),
    };
    match subject {
        FeedSubject::Membership => load_members(&shared, &mut state).await,
        FeedSubject::Configuration => load_configuration(&shared, &mut state).await,
    }
    await_plan(&shared).await;
    loop {
        let now = *role.borrow_and_update();
        match now {
            // The feed of the configuration detects for both feeds that the
            // store responds again.
            StoreRole::Reads
                if subject == FeedSubject::Membership
                    && shared.versions.is_store_unreachable.get() =>
            {
                // Rows may lapse meanwhile without a trace in the history.
                state.position = None;
                let returned = shared.store_returned.notified();
                // The timeout covers a missed notification.
                let wait = tokio::time::timeout(STORE_RETURN_POLL_INTERVAL, returned);
                if wait.await.is_ok() {
                    state.backoff.end_wait();
                }
            }
            StoreRole::Reads
                if subject == FeedSubject::Membership
                    && regains_upstream(&shared, &mut role).await => {}
            StoreRole::Reads => {
                // The pending call is dropped when an upstream is found.
                tokio::select! {
                    () = query_once(&shared, &mut state) => {}
                    _ = role.wait_for(|role| *role == StoreRole::Follows) => {}
                }
            }
            StoreRole::Follows => follow_upstreams(&shared, &mut state, &mut role).await,
        }
    }
}

/// Whether this daemon, which has just lost its upstreams, has one again soon.
/// Until then it need not read the members: hosts seldom join or leave, and a
/// host that joins sends a hello.
async fn regains_upstream(shared: &MeshShared, role: &mut Receiver<StoreRole>) -> bool {
    if shared.members.is_source() {
        return false;
    }
    let follows = role.wait_for(|role| *role == StoreRole::Follows);
    tokio::time::timeout(UPSTREAM_REPLACEMENT_TIMEOUT, follows)
        .await
        .is_ok()
}

/// Loads the members, from the store or from a peer that links here.
async fn load_members(shared: &Rc<MeshShared>, state: &mut FeedState) {
    let is_first_start = shared.settings.borrow().first_start;
    let jitter = rand::rng().random();
    let loaded = await_members(shared);
    if tokio::time::timeout(initial_query_delay(is_first_start, jitter), loaded)
        .await
        .is_ok()
    {
        // A list from a peer does not show whether this host has a row.
        shared.members.rows.mark_own_unregistered();
        return;
    }
    while !shared.members.is_known.get() {
        query_once(shared, state).await;
    }
}

/// Waits until the members are loaded.
async fn await_members(shared: &MeshShared) {
    while !shared.members.is_known.get() {
        shared.members.became_known.notified().await;
    }
}

/// Waits for the first link plan, and for an upstream while this daemon is no
/// source. Most daemons of a fleet that starts get an upstream as soon as their
/// links are up; without this delay, each would first keep a watch pending at
/// the store. Hosts that are listed as upstreams and do not exist leave their
/// place to this daemon meanwhile.
pub async fn await_plan(shared: &MeshShared) {
    let mut role = shared.members.role.subscribe();
    tokio::time::sleep(FIRST_PLAN_DELAY).await;
    let becomes_source = async {
        while !shared.members.is_source() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let has_place = async {
        tokio::select! {
            _ = role.wait_for(|role| *role == StoreRole::Follows) => {}
            () = becomes_source => {}
        }
    };
    // Without an upstream this daemon reads the store itself.
    let _ = tokio::time::timeout(FIRST_LINK_TIMEOUT, has_place).await;
}

/// Gets a first version, from peers that have one or from the store.
async fn load_configuration(shared: &Rc<MeshShared>, state: &mut FeedState) {
    await_members(shared).await;
    tokio::time::sleep(FIRST_PLAN_DELAY).await;
    let started = shared.clock.now();
    while shared.versions.number() == 0 {
        match bootstrap_step(&bootstrap_view(shared, started)) {
            BootstrapStep::WaitForPeers(left) => tokio::time::sleep(left.min(POLL_INTERVAL)).await,
            BootstrapStep::QueryStore => {
                query_once(shared, state).await;
                if state.backoff.failures() == 0 {
                    return;
                }
            }
        }
    }
}

fn bootstrap_view(shared: &MeshShared, started: Instant) -> BootstrapView {
    let settings = Rc::clone(&shared.settings.borrow());
    let upstreams = shared.linked_upstreams();
    let zone_peers_with_version = shared.peers.all().into_iter().filter(|peer| {
        let has_version = peer.version.get().is_some_and(|version| version > 0);
        has_version && peer.is_linked() && peer.address.zone == settings.zone
    });
    BootstrapView {
        waited: shared.clock.now().saturating_duration_since(started),
        is_first_start: settings.first_start,
        is_source: shared.members.is_source(),
        linked_upstreams: upstreams.len(),
        upstreams_without_version: upstreams
            .iter()
            .filter(|peer| peer.version.get() == Some(0))
            .count(),
        zone_peers_with_version: zone_peers_with_version.count(),
    }
}

/// Waits while upstreams send the contents of the store. The store is queried
/// only for a version that they have announced and have no deltas to.
async fn follow_upstreams(
    shared: &Rc<MeshShared>,
    state: &mut FeedState,
    role: &mut Receiver<StoreRole>,
) {
    tokio::select! {
        _ = role.wait_for(|role| *role == StoreRole::Reads) => state.skip_history(shared),
        () = shared.versions.store_query_requested.notified(), if state.subject == FeedSubject::Configuration => {
            state.skip_history(shared);
            query_once(shared, state).await;
        }
    }
}

/// Waits until a call may be made after those that failed.
async fn await_retry(shared: &MeshShared, state: &FeedState) {
    let now = shared.clock.now();
    let remaining = state.backoff.remaining(now, shared.store_access());
    tokio::time::sleep(remaining).await;
}

/// Makes one call to the store, applies the result, and waits before the next
/// call if needed.
async fn query_once(shared: &Rc<MeshShared>, state: &mut FeedState) {
    await_retry(shared, state).await;
    let subject = state.subject;
    let is_configuration = subject == FeedSubject::Configuration;
    match query(shared, state).await {
        Ok((next, has_changed)) => {
            shared
                .metrics
                .record_store_call(subject.label(), "answered");
            let failures = state.backoff.record_answer();
            if failures > 0 {
                log::info!("event=store_regained subject={subject:?} failures={failures}");
                shared.store_returned.notify_waiters();
            }
            if is_configuration {
                shared.versions.is_store_unreachable.set(false);
                if !shared.follows() {
                    shared.set_store_state(StoreState::Connected);
                }
            }
            state.position = next;
            state.version_at_position = shared.versions.number();
            if has_changed {
                tokio::time::sleep(CHANGE_BATCH_DELAY).await;
            }
        }
        Err(report) => {
            shared.metrics.record_store_call(subject.label(), "failed");
            if state.backoff.failures() == 0 {
                let cause = report.current_context();
                log::warn!("event=store_lost subject={subject:?} error=\"{cause}\"");
            }
            let jitter = rand::rng().random();
            state.backoff.record_failure(shared.clock.now(), jitter);
            if is_configuration {
                shared.versions.is_store_unreachable.set(true);
                if !shared.follows() {
                    shared.set_store_state(StoreState::Disconnected);
                }
            }
            // Rows may have lapsed without a trace in the history while the
            // store was unreachable, so the whole table is read. A plain read
            // also shows that the store responds again sooner than a watch
            // does.
            state.position = None;
            await_retry(shared, state).await;
        }
    }
}
