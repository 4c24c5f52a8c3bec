//! The rows in which daemons say where they are: this host's own, and those
//! that this daemon writes for others.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbert_platform::store::{RowEdit, StoreRow, MAX_EDITS_PER_TRANSACTION};
use filbert_policy::store_access::backoff_delay;
use rand::Rng;
use tokio::sync::Notify;

use crate::feeds;
use crate::held_rows::is_held_key;
use crate::messages::{LinkMessage, PeerAddress, RowChange, StoreState};
use crate::rollouts::row::is_rollout_key;
use crate::row_value;
use crate::state::MeshShared;

/// The table in which daemons say where they are, a row a host.
pub const HOSTS_TABLE: &str = "filbert-hosts";
/// Time in which changes of rows gather. Hosts come in numbers: a fleet's
/// first start, or the replacement of a service's targets one by one. In one
/// call they cost as much as a single one.
const GATHER: Duration = Duration::from_millis(200);
/// The same before a first version is in force: the fleet has just begun, and its
/// hosts come over seconds.
const GATHER_FIRST: Duration = Duration::from_millis(800);
/// Time for another daemon to see to this host's row: the gathering, a call to
/// the store and the way back, twice over.
const SEEN_TO_WITHIN: Duration = Duration::from_millis(1_500);
/// Times that other daemons are asked to see to this host's row before it
/// writes it itself.
const TELLER_TRIES: u32 = 4;
/// Removed rows remembered.
const MOST_REMOVED: usize = 512;
/// Longest time that a planned stop waits for its row to be removed.
const PARTING_TIME: Duration = Duration::from_millis(600);

/// The rows that this daemon sees to.
#[derive(Default)]
pub struct RowBook {
    /// Changes to be made, by host.
    wanted: RefCell<BTreeMap<String, RowChange>>,
    /// Wakes the writer.
    has_wanted: Notify,
    /// Whether this host's row is in the store, as far as is known.
    is_own_seen: Cell<bool>,
    /// Whether it ever was since this daemon started.
    was_own_seen: Cell<bool>,
    /// Whether the next changes are made without waiting for others.
    is_urgent: Cell<bool>,
    /// Asks for this host's row to be written (again).
    own_missing: Notify,
    /// Wakes whoever waits for word of this host's row.
    own_changed: Notify,
    /// Hosts whose row this daemon removed.
    removed: RefCell<BTreeSet<String>>,
    /// Whether this host is being taken away: its row is not written again.
    is_parting: Cell<bool>,
}

impl RowBook {
    /// Notes that this host's row is missing or wrong.
    pub fn miss_own(&self) {
        self.is_own_seen.set(false);
        self.own_missing.notify_one();
        self.own_changed.notify_waiters();
    }

    /// Notes that this host's row is there; whether that is news.
    pub fn see_own(&self) -> bool {
        self.was_own_seen.set(true);
        let is_news = !self.is_own_seen.replace(true);
        if is_news {
            self.own_changed.notify_waiters();
        }
        is_news
    }

    /// Whether this host's row is there, as far as is known.
    #[must_use]
    pub fn is_own_seen(&self) -> bool {
        self.is_own_seen.get()
    }

    /// Whether it was, at any time since this daemon started. Rows lapse all at
    /// once while the store is away; that changes nothing about who asks it.
    #[must_use]
    pub fn was_own_seen(&self) -> bool {
        self.was_own_seen.get()
    }

    /// Whether this daemon removed the row of `id`.
    ///
    /// Guards against hosts that were taken away and are listed again, as the
    /// store came back from an older copy.
    #[must_use]
    pub fn was_removed(&self, id: &str) -> bool {
        self.removed.borrow().contains(id)
    }

    /// Notes a change that was made.
    fn note_made(&self, change: &RowChange) {
        let mut removed = self.removed.borrow_mut();
        match change {
            RowChange::Remove(id) if !is_held_key(id) => {
                if removed.len() >= MOST_REMOVED {
                    removed.pop_first();
                }
                removed.insert(id.clone());
            }
            RowChange::Write(address) => {
                removed.remove(&address.id);
            }
            RowChange::Remove(_) | RowChange::Hold(_) => {}
        }
    }

    /// Has a change made by this daemon.
    pub fn want(&self, change: RowChange) {
        let id = change.key();
        self.wanted.borrow_mut().insert(id, change);
        self.has_wanted.notify_one();
    }

    /// The next changes, as many as one call takes.
    fn take(&self) -> Vec<RowChange> {
        let mut wanted = self.wanted.borrow_mut();
        let ids: Vec<String> = wanted
            .keys()
            .take(MAX_EDITS_PER_TRANSACTION)
            .cloned()
            .collect();
        ids.iter().filter_map(|id| wanted.remove(id)).collect()
    }

    /// Puts changes that failed back, but for those that newer ones replace.
    fn put_back(&self, changes: Vec<RowChange>) {
        let mut wanted = self.wanted.borrow_mut();
        for change in changes {
            let id = change.key();
            wanted.entry(id).or_insert(change);
        }
        self.has_wanted.notify_one();
    }
}

impl MeshShared {
    /// Sees to a change of a row: here, if this daemon asks the store, or by a
    /// daemon that tells it what lies there. `is_passed_on` says whether another
    /// daemon asked for it.
    pub fn see_to_row(&self, change: RowChange, is_passed_on: bool) {
        // One that asks the store itself first, else one that is told.
        let upstream = self
            .linked_upstreams()
            .into_iter()
            .filter(|upstream| upstream.store.get().is_current())
            .min_by_key(|upstream| upstream.store.get() == StoreState::Told);
        let message = LinkMessage::WantRow {
            change: change.clone(),
            is_passed_on,
        };
        let is_seen_to = self.follows() && upstream.is_some_and(|upstream| upstream.say(message));
        if !is_seen_to {
            self.members.rows.want(change);
        }
    }
}

/// Makes the changes of rows that this daemon sees to. Runs for ever.
pub async fn keep_written(shared: Rc<MeshShared>) {
    let rows = &shared.members.rows;
    let mut failures = 0;
    loop {
        if rows.wanted.borrow().is_empty() {
            rows.has_wanted.notified().await;
        }
        if !rows.is_urgent.take() {
            let has_version = shared.versions.number() > 0;
            tokio::time::sleep(if has_version { GATHER } else { GATHER_FIRST }).await;
        }
        let changes = rows.take();
        if changes.is_empty() {
            continue;
        }
        if write(&shared, &changes).await {
            failures = 0;
            continue;
        }
        failures += 1;
        rows.put_back(changes);
        let spread = rand::rng().random();
        tokio::time::sleep(backoff_delay(failures, shared.store_access(), spread)).await;
    }
}

/// Makes `changes`; whether the store said that they are made.
async fn write(shared: &MeshShared, changes: &[RowChange]) -> bool {
    let keys: Vec<String> = changes.iter().map(RowChange::key).collect();
    let edits: Vec<RowEdit<'_>> = changes
        .iter()
        .zip(&keys)
        .map(|(change, key)| RowEdit {
            table: HOSTS_TABLE,
            key,
            value: match change {
                RowChange::Write(address) => Some(row_value::encode(address)),
                RowChange::Hold(held) => Some(held.value()),
                RowChange::Remove(_) => None,
            },
        })
        .collect();
    match shared.store.edit_rows(&edits).await {
        Ok(()) => {
            shared.metrics.record_store_call("rows", "answered");
            for (change, key) in changes.iter().zip(&keys) {
                shared.members.rows.note_made(change);
                let is_own = *key == shared.settings.borrow().id;
                let row = if is_own { "own_row" } else { "row" };
                match change {
                    RowChange::Write(address) => {
                        log::info!("event={row}_written host={}", address.id);
                    }
                    RowChange::Remove(id) => log::info!("event={row}_removed host={id}"),
                    RowChange::Hold(held) => {
                        log::info!("event=held_row_written call={}", held.call);
                    }
                }
            }
            shared.rows_have_changed(changes);
            true
        }
        Err(report) => {
            shared.metrics.record_store_call("rows", "failed");
            log::warn!(
                "event=rows_unwritten rows={} error=\"{}\"",
                changes.len(),
                report.current_context()
            );
            false
        }
    }
}

/// Has this host's row written whenever it is missing or wrong. Runs for ever.
pub async fn keep_own(shared: Rc<MeshShared>) {
    let rows = &shared.members.rows;
    loop {
        rows.own_missing.notified().await;
        if shared.members.count() == 1 {
            // The first of a fleet: the sooner it is in the table, the fewer
            // others find nobody there and write their own.
            rows.is_urgent.set(true);
        } else {
            // Whoever can see to it may not be linked yet.
            feeds::await_plan(&shared).await;
        }
        let mut tries = 0;
        while !rows.is_parting.get() && !rows.is_own_seen() {
            let change = RowChange::Write(shared.own_address());
            // Guards against tellers that take the change and do not make it.
            if tries >= TELLER_TRIES {
                rows.want(change);
            } else {
                shared.see_to_row(change, false);
            }
            tries += 1;
            let seen = rows.own_changed.notified();
            let _ = tokio::time::timeout(SEEN_TO_WITHIN, seen).await;
        }
    }
}

/// Has this host's row removed: it is being taken away.
pub async fn part(shared: &Rc<MeshShared>) {
    let rows = &shared.members.rows;
    rows.is_parting.set(true);
    let id = shared.settings.borrow().id.clone();
    rows.see_own();
    let gone = async {
        while rows.is_own_seen() {
            rows.own_changed.notified().await;
        }
    };
    shared.see_to_row(RowChange::Remove(id.clone()), false);
    // The process may end before the store's answer, which nobody needs; what
    // a failure leaves is a row of a host that never answers.
    match tokio::time::timeout(PARTING_TIME, gone).await {
        Ok(()) => log::info!("event=own_row_gone host={id}"),
        Err(_) => log::warn!("event=own_row_left host={id} error=\"no word in time\""),
    }
}

/// The daemon that a row of [`HOSTS_TABLE`] names; `None` when it names none.
#[must_use]
pub fn decode_member(row: &StoreRow) -> Option<PeerAddress> {
    if is_held_key(&row.key) || is_rollout_key(&row.key) {
        return None;
    }
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
    let address: PeerAddress = row_value::decode(value)?;
    if address.id != key {
        return Err(format!("names another host, {}", address.id));
    }
    if address.zone.is_empty() || address.address.parse::<SocketAddr>().is_err() {
        return Err("no address".to_owned());
    }
    Ok(address)
}
