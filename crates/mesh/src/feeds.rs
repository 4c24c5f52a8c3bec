//! Brings configuration and membership from the store, or leaves that to a
//! daemon of the zone that tells this one.

mod take;

use std::rc::Rc;
use std::time::{Duration, Instant};

use error_stack::Report;
use filbert_platform::store::{SnapshotTime, StoreError, WatchResponse, OPERATOR_TABLE};
use filbert_policy::store_access::{
    backoff_delay, bootstrap_step, initial_query_delay, BootstrapStep, BootstrapView,
};
use rand::Rng;
use tokio::sync::watch::Receiver;

use crate::members::StoreRole;
use crate::messages::StoreState;
use crate::rows::HOSTS_TABLE;
use crate::state::MeshShared;
use take::{take_configuration, take_member, take_table};

/// How long the configuration's feed waits for a change before it answers with
/// none.
///
/// Guards against a store that fell silent: a call made then is never answered,
/// and looks the same as one that waits. Where both daemons that ask for the fleet
/// meet it, the silence has to show, and others to step in, within the two seconds
/// in which a version must be in force.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(800);
/// The same for the members' feed. It is read anew when the other feed finds
/// the store back, and new hosts say hello besides.
const MEMBERSHIP_WAIT: Duration = Duration::from_secs(25);
/// Pause after a change before the next is asked for. Changes come in storms
/// (a version each 0.2 s, or all hosts at once at a start); read one by one,
/// each costs every reader a call: with 500 ms a quiet day of twelve hosts
/// with such a storm makes 393 calls in place of 588. The first of a storm is
/// not delayed, the last by 0.3 s at most.
const GATHER: Duration = Duration::from_millis(300);
/// How often the members' feed looks whether the store is still away.
const AWAY_LOOK: Duration = Duration::from_secs(1);
/// Time for the first plan to be made of the members read.
const PLAN_TIME: Duration = Duration::from_millis(100);
/// Time for the first links to come up, on a host with a tenth of a core.
const LINK_TIME: Duration = Duration::from_secs(2);
/// Time without anybody that tells of hosts, after which a daemon that asks for
/// itself alone asks for them: tellers that die are replaced within a second.
const ALONE_FOR: Duration = Duration::from_secs(3);
/// How often a daemon without a version looks again who has one.
const VERSION_LOOK: Duration = Duration::from_millis(50);

/// What a feed is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FeedSubject {
    Configuration,
    Membership,
}

impl FeedSubject {
    fn wait(self) -> Duration {
        match self {
            FeedSubject::Configuration => CONFIGURATION_WAIT,
            FeedSubject::Membership => MEMBERSHIP_WAIT,
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

/// Follows the operator's configuration. Runs for ever.
pub async fn follow_configuration(shared: Rc<MeshShared>) {
    follow(shared, FeedSubject::Configuration).await;
}

/// Follows the members. Runs for ever.
pub async fn follow_members(shared: Rc<MeshShared>) {
    follow(shared, FeedSubject::Membership).await;
}

/// One feed's place in the store's history and its luck so far.
struct FeedState {
    subject: FeedSubject,
    /// From which version to go on; `None` to read the table anew.
    position: Option<u64>,
    /// The version in force when that place was reached.
    reached: u64,
    /// How often the store had come back from an older copy by the last answer.
    era: Option<u64>,
    /// Calls in vain since the last answer.
    failures: u32,
}

impl FeedState {
    /// Whether the store has come back from an older copy since the last answer.
    fn notes_era(&mut self, shared: &MeshShared) -> bool {
        let era = shared.store.era();
        shared.handle_store_era(era);
        self.era.replace(era).is_some_and(|before| before != era)
    }

    /// Reads the table anew when versions came from elsewhere since the last
    /// answer.
    ///
    /// Guards against a heavy version that is late behind old ones: the history
    /// since a follower's last ask holds the whole text of each version that
    /// its readers told it meanwhile. These, 600 KB each, took a link of 7.5
    /// Mbit/s for 2.4 s, and the new version, asked for behind them, was in
    /// force 4.6 s after its announcement.
    fn skip_history(&mut self, shared: &MeshShared) {
        let is_configuration = self.subject == FeedSubject::Configuration;
        if is_configuration && shared.versions.number() != self.reached {
            self.position = None;
        }
    }
}

async fn follow(shared: Rc<MeshShared>, subject: FeedSubject) {
    let mut role = shared.members.role.subscribe();
    let mut state = FeedState {
        subject,
        position: None,
        reached: 0,
        era: None,
        failures: 0,
    };
    match subject {
        FeedSubject::Membership => first_members(&shared, &mut state).await,
        FeedSubject::Configuration => first_configuration(&shared, &mut state).await,
    }
    await_plan(&shared).await;
    loop {
        let now = *role.borrow_and_update();
        match now {
            // The configuration's feed finds out that the store is back for both.
            StoreRole::Reads
                if subject == FeedSubject::Membership && shared.versions.store_is_away.get() =>
            {
                // Rows may vanish meanwhile without a trace in the history.
                state.position = None;
                let returned = shared.store_returned.notified();
                // The wait ends in time should the word have been missed.
                let _ = tokio::time::timeout(AWAY_LOOK, returned).await;
            }
            StoreRole::Reads
                if subject == FeedSubject::Membership && is_passing(&shared, &mut role).await => {}
            StoreRole::Reads => {
                // A call that waits is dropped when others begin to tell this
                // daemon.
                tokio::select! {
                    () = ask_once(&shared, &mut state) => {}
                    _ = role.wait_for(|role| *role == StoreRole::Follows) => {}
                }
            }
            StoreRole::Follows => follow_peers(&shared, &mut state, &mut role).await,
        }
    }
}

/// Whether this daemon, which nobody tells of hosts just now, is told again
/// soon: hosts come and go seldom, and whoever comes says hello.
async fn is_passing(shared: &MeshShared, role: &mut Receiver<StoreRole>) -> bool {
    if shared.members.is_source() {
        return false;
    }
    let follows = role.wait_for(|role| *role == StoreRole::Follows);
    tokio::time::timeout(ALONE_FOR, follows).await.is_ok()
}

/// Learns the hosts, from the store or from whoever dials this daemon.
async fn first_members(shared: &Rc<MeshShared>, state: &mut FeedState) {
    let is_first_start = shared.settings.borrow().first_start;
    let spread = rand::rng().random();
    let told = await_members(shared);
    if tokio::time::timeout(initial_query_delay(is_first_start, spread), told)
        .await
        .is_ok()
    {
        // Whether this host has a row was not seen.
        shared.members.rows.miss_own();
        return;
    }
    while !shared.members.is_known.get() {
        ask_once(shared, state).await;
    }
}

/// Waits until it is known which hosts there are.
async fn await_members(shared: &MeshShared) {
    while !shared.members.is_known.get() {
        shared.members.became_known.notified().await;
    }
}

/// Guards against calls that wait at the store for every daemon of a fleet
/// that starts: most need none, and know it as soon as links are up.
pub async fn await_plan(shared: &MeshShared) {
    let mut role = shared.members.role.subscribe();
    tokio::time::sleep(PLAN_TIME).await;
    if !shared.members.is_source() {
        let follows = role.wait_for(|role| *role == StoreRole::Follows);
        // Without a daemon to follow this one reads for itself.
        let _ = tokio::time::timeout(LINK_TIME, follows).await;
    }
}

/// Gets a first version, from peers that have one or from the store.
async fn first_configuration(shared: &Rc<MeshShared>, state: &mut FeedState) {
    await_members(shared).await;
    tokio::time::sleep(PLAN_TIME).await;
    let began = shared.clock.now();
    while shared.versions.number() == 0 {
        match bootstrap_step(&bootstrap_view(shared, began)) {
            BootstrapStep::WaitForPeers(left) => tokio::time::sleep(left.min(VERSION_LOOK)).await,
            BootstrapStep::QueryStore => {
                ask_once(shared, state).await;
                if state.failures == 0 {
                    return;
                }
            }
        }
    }
}

fn bootstrap_view(shared: &MeshShared, began: Instant) -> BootstrapView {
    let settings = Rc::clone(&shared.settings.borrow());
    let upstreams = shared.linked_upstreams();
    let zone_peers_with_version = shared.peers.all().into_iter().filter(|peer| {
        let has_version = peer.version.get().is_some_and(|version| version > 0);
        has_version && peer.is_linked() && peer.address.zone == settings.zone
    });
    BootstrapView {
        waited: shared.clock.now().saturating_duration_since(began),
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

/// Waits while others follow the store for this daemon; asks it only for a
/// version that they know and have no steps to.
async fn follow_peers(
    shared: &Rc<MeshShared>,
    state: &mut FeedState,
    role: &mut Receiver<StoreRole>,
) {
    tokio::select! {
        _ = role.wait_for(|role| *role == StoreRole::Reads) => state.skip_history(shared),
        () = shared.versions.wanted.notified(), if state.subject == FeedSubject::Configuration => {
            state.skip_history(shared);
            ask_once(shared, state).await;
        }
    }
}

/// Asks the store once, takes over what it says, and pauses as that calls for.
async fn ask_once(shared: &Rc<MeshShared>, state: &mut FeedState) {
    let subject = state.subject;
    let is_configuration = subject == FeedSubject::Configuration;
    match step(shared, state).await {
        Ok((next, has_changed)) => {
            shared
                .metrics
                .record_store_call(subject.label(), "answered");
            if state.failures > 0 {
                log::info!(
                    "event=store_regained subject={subject:?} failures={}",
                    state.failures
                );
                state.failures = 0;
                shared.store_returned.notify_waiters();
            }
            if is_configuration {
                shared.versions.store_is_away.set(false);
                if !shared.follows() {
                    shared.set_store_state(StoreState::Answers);
                }
            }
            state.position = next;
            state.reached = shared.versions.number();
            if has_changed {
                tokio::time::sleep(GATHER).await;
            }
        }
        Err(report) => {
            shared.metrics.record_store_call(subject.label(), "failed");
            if state.failures == 0 {
                let cause = report.current_context();
                log::warn!("event=store_lost subject={subject:?} error=\"{cause}\"");
            }
            state.failures += 1;
            if is_configuration {
                shared.versions.store_is_away.set(true);
                if !shared.follows() {
                    shared.set_store_state(StoreState::Lost);
                }
            }
            // Rows may have vanished without a trace in the history while
            // the store was away, so the table is read anew. A plain read
            // also shows the store's return sooner than a call that waits.
            state.position = None;
            let spread = rand::rng().random();
            let pause = backoff_delay(state.failures, shared.store_access(), spread);
            tokio::time::sleep(pause).await;
        }
    }
}

/// One call to the store; the position from which to go on, `None` to read
/// the table anew, and whether something had changed.
async fn step(
    shared: &Rc<MeshShared>,
    state: &mut FeedState,
) -> Result<(Option<u64>, bool), Report<StoreError>> {
    let subject = state.subject;
    log::info!(
        "event=store_asked subject={subject:?} is_new={} is_source={} failures={}",
        state.position.is_none(),
        shared.members.is_source(),
        state.failures
    );
    let Some(position) = state.position else {
        let batch = shared.store.read_table(subject.table()).await?;
        let (version, snapshot_time) = (batch.version, batch.snapshot_time);
        state.notes_era(shared);
        take_table(shared, subject, batch);
        confirm(shared, subject, snapshot_time);
        return Ok((Some(version), true));
    };
    let watch = shared
        .store
        .watch_table(subject.table(), position, subject.wait());
    let answer = tokio::select! {
        answer = watch => answer?,
        // Guards against a row that vanished while the store was away for the
        // other feed only, as when this one's call hung all the while: it
        // would be missed for as long as the call waits.
        () = shared.store_returned.notified(), if subject == FeedSubject::Membership => {
            return Ok((None, false));
        }
    };
    if state.notes_era(shared) {
        // The place in the former history may lie in this one too, behind rows
        // that were lost or written since.
        return Ok((None, false));
    }
    match answer {
        WatchResponse::HistoryGone => {
            log::info!("event=store_history_gone subject={subject:?} position={position}");
            Ok((None, false))
        }
        WatchResponse::Changes(batch) => {
            let version = batch.version.max(position);
            let has_changed = !batch.rows.is_empty();
            for row in batch.rows {
                match subject {
                    FeedSubject::Configuration => take_configuration(shared, row),
                    FeedSubject::Membership => take_member(shared, &row),
                }
            }
            confirm(shared, subject, batch.snapshot_time);
            Ok((Some(version), has_changed))
        }
    }
}

/// Takes note that the version in force was the store's newest at `snapshot_time`.
fn confirm(shared: &MeshShared, subject: FeedSubject, snapshot_time: Option<SnapshotTime>) {
    if let (FeedSubject::Configuration, Some(snapshot_time)) = (subject, snapshot_time) {
        shared.version_was_confirmed(snapshot_time);
    }
}
