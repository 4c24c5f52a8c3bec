//! Brings configuration and membership from the store, or leaves that to a
//! daemon of the zone that tells this one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use filbert_platform::store::{
    FeedAnswer, RowBatch, StoreError, StoreRow, CONFIG_KEY, OPERATOR_TABLE,
};
use rand::Rng;
use tokio::sync::watch::Receiver;

use crate::members::StoreRole;
use crate::messages::{LinkMessage, PeerAddress, StoreState};
use crate::state::MeshShared;

/// The table in which daemons say where they are, a row a host.
pub const HOSTS_TABLE: &str = "filbert-hosts";
/// How long the configuration's feed waits for a change before it answers with
/// none.
///
/// Guards against a store that fell silent: a call made then is never
/// answered, also after the store's return, and looks the same as one that
/// waits. A version must be in force two seconds after it was accepted, so the
/// silence has to show about as soon. (With 25 s, ten daemons had the version
/// of before the silence for 14 s.)
const CONFIGURATION_WAIT: Duration = Duration::from_secs(2);
/// The same for the members' feed. It is read anew when the other feed finds
/// the store back, and new hosts say hello besides.
const MEMBERSHIP_WAIT: Duration = Duration::from_secs(25);
/// Pause after a change before the next is asked for. Changes come in storms
/// (a version each 0.2 s, or all hosts at once at a start); read one by one,
/// each costs every reader a call: with 500 ms a quiet day of twelve hosts
/// with such a storm makes 393 calls in place of 588. The first of a storm is
/// not delayed, the last by 0.3 s at most.
const GATHER: Duration = Duration::from_millis(300);
/// Pauses while the store gives no answer: the first and the longest. With a
/// call that is given up after a second, its return shows within 1.5 s.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// How often the members' feed looks whether the store is still away.
const AWAY_LOOK: Duration = Duration::from_secs(1);
/// Time for the first plan to be made of the members read.
const PLAN_TIME: Duration = Duration::from_millis(100);
/// Time for the first links to come up.
const LINK_TIME: Duration = Duration::from_secs(1);
/// Longest time that a planned stop waits for its row to be removed.
const PARTING_TIME: Duration = Duration::from_millis(300);

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
    pause: Duration,
    is_lost: bool,
}

impl FeedState {
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
        pause: FIRST_PAUSE,
        is_lost: false,
    };
    ask_once(&shared, &mut state).await;
    await_plan(&shared, &mut role).await;
    loop {
        let now = *role.borrow_and_update();
        match now {
            // One feed finds out that the store is back for both.
            StoreRole::Reads
                if subject == FeedSubject::Membership && shared.versions.store_is_away.get() =>
            {
                // Rows may vanish meanwhile without a trace in the history.
                state.position = None;
                let returned = shared.store_returned.notified();
                // The wait ends in time should the word have been missed.
                let _ = tokio::time::timeout(AWAY_LOOK, returned).await;
            }
            StoreRole::Reads => {
                // A call that waits is dropped when a daemon of the zone
                // begins to follow the store for this one.
                tokio::select! {
                    () = ask_once(&shared, &mut state) => {}
                    _ = role.wait_for(|role| *role == StoreRole::Follows) => {}
                }
            }
            StoreRole::Follows => follow_peers(&shared, &mut state, &mut role).await,
        }
    }
}

/// Guards against calls that wait at the store for every daemon of a fleet
/// that starts: most need none, and know it as soon as links are up.
async fn await_plan(shared: &MeshShared, role: &mut Receiver<StoreRole>) {
    tokio::time::sleep(PLAN_TIME).await;
    if !shared.members.is_reader() {
        let follows = role.wait_for(|role| *role == StoreRole::Follows);
        // Without a daemon to follow this one reads for itself.
        let _ = tokio::time::timeout(LINK_TIME, follows).await;
    }
}

/// Waits while others follow the store for this daemon; asks it only for a
/// version that they know and have no steps to.
async fn follow_peers(
    shared: &Rc<MeshShared>,
    state: &mut FeedState,
    role: &mut Receiver<StoreRole>,
) {
    if state.subject == FeedSubject::Configuration {
        shared.set_store_state(StoreState::Unused);
    }
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
    match step(shared, subject, state.position).await {
        Ok((next, has_changed)) => {
            shared.metrics.store_call(subject.label(), "answered");
            if state.is_lost {
                log::info!("event=store_regained subject={subject:?}");
                state.is_lost = false;
                shared.store_returned.notify_waiters();
            }
            if is_configuration {
                shared.versions.store_is_away.set(false);
                if *shared.members.role.borrow() == StoreRole::Reads {
                    shared.set_store_state(StoreState::Answers);
                }
            }
            state.pause = FIRST_PAUSE;
            state.position = next;
            state.reached = shared.versions.number();
            if has_changed {
                tokio::time::sleep(GATHER).await;
            }
        }
        Err(report) => {
            shared.metrics.store_call(subject.label(), "failed");
            if !state.is_lost {
                let cause = report.current_context();
                log::warn!("event=store_lost subject={subject:?} error=\"{cause}\"");
                state.is_lost = true;
            }
            if is_configuration {
                shared.versions.store_is_away.set(true);
                if *shared.members.role.borrow() == StoreRole::Reads {
                    shared.set_store_state(StoreState::Lost);
                }
            }
            // Rows may have vanished without a trace in the history while
            // the store was away, so the table is read anew. A plain read
            // also shows the store's return sooner than a call that waits.
            state.position = None;
            let spread = rand::rng().random_range(0.6..1.0);
            let pause = state.pause.mul_f64(spread);
            state.pause = (state.pause * 2).min(LONGEST_PAUSE);
            tokio::time::sleep(pause).await;
        }
    }
}

/// One call to the store; the position from which to go on, `None` to read
/// the table anew, and whether something had changed.
async fn step(
    shared: &Rc<MeshShared>,
    subject: FeedSubject,
    position: Option<u64>,
) -> Result<(Option<u64>, bool), Report<StoreError>> {
    let Some(position) = position else {
        let batch = shared.store.read_table(subject.table()).await?;
        let version = batch.version;
        take_table(shared, subject, batch);
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
    match answer {
        FeedAnswer::HistoryGone => {
            log::info!("event=store_history_gone subject={subject:?} position={position}");
            Ok((None, false))
        }
        FeedAnswer::Changes(batch) => {
            let version = batch.version.max(position);
            let has_changed = !batch.rows.is_empty();
            for row in batch.rows {
                match subject {
                    FeedSubject::Configuration => take_configuration(shared, row),
                    FeedSubject::Membership => take_member(shared, &row),
                }
            }
            Ok((Some(version), has_changed))
        }
    }
}

fn take_table(shared: &Rc<MeshShared>, subject: FeedSubject, batch: RowBatch) {
    match subject {
        FeedSubject::Configuration => {
            for row in batch.rows {
                take_configuration(shared, row);
            }
        }
        FeedSubject::Membership => {
            let before = shared.members.hosts();
            let listed: Vec<PeerAddress> = batch.rows.iter().filter_map(decode_member).collect();
            for gone in before
                .iter()
                .filter(|host| !listed.iter().any(|address| address.id == host.id))
            {
                // A live host whose row vanished hears of it so, and writes
                // it back.
                let id = gone.id.clone();
                shared.tell_zone(&LinkMessage::HostGone { id });
            }
            if !shared.take_members(listed, "store") {
                shared.members.row_missing.notify_one();
            }
        }
    }
}

fn take_member(shared: &Rc<MeshShared>, row: &StoreRow) {
    if let Some(address) = decode_member(row) {
        shared.learn_host(address, "store");
    } else {
        let id = row.key.clone();
        shared.forget_host(&id, "store");
        shared.tell_zone(&LinkMessage::HostGone { id });
    }
}

fn take_configuration(shared: &Rc<MeshShared>, row: StoreRow) {
    if row.key != CONFIG_KEY {
        return;
    }
    match row.value {
        Some(value) => shared.offer_version(&Bytes::from(value), "store"),
        None => log::error!("event=configuration_missing"),
    }
}

/// Writes this host's row whenever it is missing or wrong. Runs for ever.
pub async fn keep_row(shared: Rc<MeshShared>) {
    loop {
        shared.members.row_missing.notified().await;
        while !shared.members.is_parting.get() {
            match write_own_row(&shared).await {
                Ok(()) => break,
                Err(report) => {
                    shared.metrics.store_call("own_row", "failed");
                    log::warn!(
                        "event=own_row_unwritten error=\"{}\"",
                        report.current_context()
                    );
                    tokio::time::sleep(LONGEST_PAUSE).await;
                }
            }
        }
    }
}

async fn write_own_row(shared: &Rc<MeshShared>) -> Result<(), Report<StoreError>> {
    let own = shared.own_address();
    let value = bincode::serde::encode_to_vec(&own, bincode::config::standard())
        .expect("an address always encodes");
    shared.store.put_row(HOSTS_TABLE, &own.id, &value).await?;
    shared.metrics.store_call("own_row", "answered");
    log::info!("event=own_row_written host={}", own.id);
    Ok(())
}

/// Removes this host's row: it is being taken away.
pub async fn drop_own_row(shared: &Rc<MeshShared>) {
    shared.members.is_parting.set(true);
    let id = shared.settings.borrow().id.clone();
    // The process may end before the store's answer, which nobody needs; what
    // a failure leaves is a row of a host that never answers.
    match tokio::time::timeout(PARTING_TIME, shared.store.drop_row(HOSTS_TABLE, &id)).await {
        Ok(Ok(())) => log::info!("event=own_row_removed host={id}"),
        Ok(Err(report)) => log::warn!(
            "event=own_row_left host={id} error=\"{}\"",
            report.current_context()
        ),
        Err(_) => log::warn!("event=own_row_left host={id} error=\"no answer in time\""),
    }
}

/// The daemon that a row of [`HOSTS_TABLE`] names; `None` when it names none.
#[must_use]
pub fn decode_member(row: &StoreRow) -> Option<PeerAddress> {
    let value = row.value.as_ref()?;
    match read_member(&row.key, value) {
        Ok(address) => Some(address),
        Err(reason) => {
            log::warn!(
                "event=member_row_malformed key={} error=\"{reason}\"",
                row.key
            );
            None
        }
    }
}

/// Guards against a row by another writer whose bytes happen to decode: a host
/// without an address or with another's name would be dialed for ever.
fn read_member(key: &str, value: &[u8]) -> Result<PeerAddress, String> {
    let (address, used): (PeerAddress, usize) =
        bincode::serde::decode_from_slice(value, bincode::config::standard())
            .map_err(|error| error.to_string())?;
    if used != value.len() {
        return Err("bytes behind the address".to_owned());
    }
    if address.id != key {
        return Err(format!("names another host, {}", address.id));
    }
    if address.zone.is_empty() || address.address.parse::<SocketAddr>().is_err() {
        return Err("no address".to_owned());
    }
    Ok(address)
}
