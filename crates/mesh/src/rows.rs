//! The rows with which daemons register their hosts in the store: the row of
//! this host, and those that this daemon writes for others.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use filbert_platform::store::{RowEdit, StoreRow, MAX_EDITS_PER_TRANSACTION};
use filbert_policy::store_access::backoff_delay;
use rand::Rng;
use tokio::sync::Notify;

use crate::codec::rows::{self as row_values, RowError};
use crate::feeds;
use crate::messages::{LinkMessage, PeerAddress, RowChange, StoreState};
use crate::state::MeshShared;

/// Name of the table in which hosts are registered, one row for each.
pub const HOSTS_TABLE: &str = "filbert-hosts";
/// Time for which row changes are batched before they are written. Changes come
/// in bursts, when a fleet starts for the first time or the targets of a
/// service are replaced one by one; a call with many changes costs as much as
/// one with a single change.
const WRITE_BATCH_DELAY: Duration = Duration::from_millis(200);
/// Like `WRITE_BATCH_DELAY`, while no version is in force: the fleet has just
/// been started, and its hosts join over several seconds.
const BOOTSTRAP_BATCH_DELAY: Duration = Duration::from_millis(800);
/// Time for an upstream to write this host's row before the next attempt: the
/// batch delay, a call to the store and the way back, doubled.
const OWN_ROW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of requests to upstreams to write this host's row before this daemon
/// writes it itself.
const MAX_UPSTREAM_ATTEMPTS: u32 = 4;
/// Maximum number of removed rows that are remembered.
const MAX_REMOVED_ROWS: usize = 512;
/// Maximum time that a planned stop waits for the removal of its row.
const ROW_REMOVAL_TIMEOUT: Duration = Duration::from_millis(600);

/// The registration of this host, and the row changes that this daemon writes.
#[derive(Default)]
pub struct RowWriter {
    /// Changes not yet written, by row key.
    pending: RefCell<BTreeMap<String, RowChange>>,
    /// Wakes the row writer.
    has_pending: Notify,
    /// Whether this host's row is in the store, as far as is known.
    is_own_registered: Cell<bool>,
    /// Whether this host's row has been in the store at any time since this
    /// daemon started.
    was_own_registered: Cell<bool>,
    /// Whether the next changes are written without the batch delay.
    skip_batch_delay: Cell<bool>,
    /// Wakes the task that registers this host.
    own_unregistered: Notify,
    /// Wakes tasks that wait for a change of this host's registration.
    own_row_changed: Notify,
    /// Names of the hosts whose row this daemon has removed.
    removed: RefCell<BTreeSet<String>>,
    /// Whether this host is leaving the fleet: its row is not written again.
    is_leaving: Cell<bool>,
}

impl RowWriter {
    /// Records that this host's row is missing or wrong, and requests that it
    /// is written.
    pub fn mark_own_unregistered(&self) {
        self.is_own_registered.set(false);
        self.own_unregistered.notify_one();
        self.own_row_changed.notify_waiters();
    }

    /// Records that this host's row is in the store. Returns whether this is a
    /// change.
    pub fn mark_own_registered(&self) -> bool {
        self.was_own_registered.set(true);
        let is_change = !self.is_own_registered.replace(true);
        if is_change {
            self.own_row_changed.notify_waiters();
        }
        is_change
    }

    /// Whether this host's row is in the store, as far as is known.
    #[must_use]
    pub fn is_own_registered(&self) -> bool {
        self.is_own_registered.get()
    }

    /// Whether this host's row has been in the store at any time since this
    /// daemon started. All rows lapse at once while the store is unreachable;
    /// that must not change which daemons are elected to read it.
    #[must_use]
    pub fn was_own_registered(&self) -> bool {
        self.was_own_registered.get()
    }

    /// Whether this daemon has removed the row of host `id`. Detects hosts that
    /// have left the fleet and are listed again because the store was restored
    /// from an older copy.
    #[must_use]
    pub fn was_removed(&self, id: &str) -> bool {
        self.removed.borrow().contains(id)
    }

    /// Records that a change has been written.
    fn record_written(&self, change: &RowChange) {
        let mut removed = self.removed.borrow_mut();
        match change {
            RowChange::Remove(id) if is_host_key(id) => {
                if removed.len() >= MAX_REMOVED_ROWS {
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

    /// Queues a change for the row writer. It replaces an earlier change of the
    /// same row.
    pub fn enqueue_change(&self, change: RowChange) {
        let id = change.key();
        self.pending.borrow_mut().insert(id, change);
        self.has_pending.notify_one();
    }

    /// Takes the next changes from the queue, as many as fit in one
    /// transaction.
    fn take_batch(&self) -> Vec<RowChange> {
        let mut pending = self.pending.borrow_mut();
        let ids: Vec<String> = pending
            .keys()
            .take(MAX_EDITS_PER_TRANSACTION)
            .cloned()
            .collect();
        ids.iter().filter_map(|id| pending.remove(id)).collect()
    }

    /// Queues changes again whose write failed, except those that newer changes
    /// replace.
    fn requeue(&self, changes: Vec<RowChange>) {
        let mut pending = self.pending.borrow_mut();
        for change in changes {
            let id = change.key();
            pending.entry(id).or_insert(change);
        }
        self.has_pending.notify_one();
    }
}

impl MeshShared {
    /// Has a row changed by an upstream, or by this daemon if it reads the
    /// store itself or no upstream can take the request. `is_forwarded` is
    /// whether another daemon requested the change.
    pub fn request_row_change(&self, change: RowChange, is_forwarded: bool) {
        // Prefer an upstream that reads the store to one that only relays it.
        let upstream = self
            .linked_upstreams()
            .into_iter()
            .filter(|upstream| upstream.store.get().is_current())
            .min_by_key(|upstream| upstream.store.get() == StoreState::Relayed);
        let message = LinkMessage::RequestRowChange {
            change: change.clone(),
            is_forwarded,
        };
        let is_delegated =
            self.follows() && upstream.is_some_and(|upstream| upstream.send_message(message));
        if !is_delegated {
            self.members.rows.enqueue_change(change);
        }
    }
}

/// Writes the queued row changes to the store. Never returns.
pub async fn run_row_writer(shared: Rc<MeshShared>) {
    let rows = &shared.members.rows;
    let mut failures = 0;
    loop {
        if rows.pending.borrow().is_empty() {
            rows.has_pending.notified().await;
        }
        if !rows.skip_batch_delay.take() {
            let has_version = shared.versions.number() > 0;
            tokio::time::sleep(if has_version {
                WRITE_BATCH_DELAY
            } else {
                BOOTSTRAP_BATCH_DELAY
            })
            .await;
        }
        let changes = rows.take_batch();
        if changes.is_empty() {
            continue;
        }
        if write_changes(&shared, &changes).await {
            failures = 0;
            continue;
        }
        failures += 1;
        rows.requeue(changes);
        let jitter = rand::rng().random();
        tokio::time::sleep(backoff_delay(failures, shared.store_access(), jitter)).await;
    }
}

/// Writes `changes` in one transaction. Returns whether the store has confirmed
/// it.
async fn write_changes(shared: &MeshShared, changes: &[RowChange]) -> bool {
    let keys: Vec<String> = changes.iter().map(RowChange::key).collect();
    let edits: Vec<RowEdit<'_>> = changes
        .iter()
        .zip(&keys)
        .map(|(change, key)| RowEdit {
            table: HOSTS_TABLE,
            key,
            value: match change {
                RowChange::Write(address) => Some(row_values::encode(address)),
                RowChange::Hold(held) => Some(held.value()),
                RowChange::Remove(_) => None,
            },
        })
        .collect();
    match shared.store.edit_rows(&edits).await {
        Ok(()) => {
            shared.metrics.record_store_call("rows", "answered");
            for (change, key) in changes.iter().zip(&keys) {
                shared.members.rows.record_written(change);
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
            shared.apply_written_changes(changes);
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

/// Registers this host whenever its row is missing or wrong. Never returns.
pub async fn maintain_own_row(shared: Rc<MeshShared>) {
    let rows = &shared.members.rows;
    loop {
        rows.own_unregistered.notified().await;
        if shared.members.count() == 1 {
            // This is the first host of a fleet. The sooner it is in the table,
            // the fewer others find an empty table and write their own rows.
            rows.skip_batch_delay.set(true);
        } else {
            // The links to the upstreams may not be up yet.
            feeds::await_plan(&shared).await;
        }
        let mut attempts = 0;
        while !rows.is_leaving.get() && !rows.is_own_registered() {
            let change = RowChange::Write(shared.own_address());
            // An upstream may accept the change and never write it.
            if attempts >= MAX_UPSTREAM_ATTEMPTS {
                rows.enqueue_change(change);
            } else {
                shared.request_row_change(change, false);
            }
            attempts += 1;
            let changed = rows.own_row_changed.notified();
            let _ = tokio::time::timeout(OWN_ROW_TIMEOUT, changed).await;
        }
    }
}

/// Has this host's row removed, because the host is leaving the fleet.
pub async fn remove_own_row(shared: &Rc<MeshShared>) {
    let rows = &shared.members.rows;
    rows.is_leaving.set(true);
    let id = shared.settings.borrow().id.clone();
    rows.mark_own_registered();
    let unregistered = async {
        while rows.is_own_registered() {
            rows.own_row_changed.notified().await;
        }
    };
    shared.request_row_change(RowChange::Remove(id.clone()), false);
    // The process may end before the store answers, and nothing depends on the
    // answer: a failed removal leaves the row of a host that never responds.
    match tokio::time::timeout(ROW_REMOVAL_TIMEOUT, unregistered).await {
        Ok(()) => log::info!("event=own_row_gone host={id}"),
        Err(_) => log::warn!("event=own_row_left host={id} error=\"removal timed out\""),
    }
}

/// Whether a row of [`HOSTS_TABLE`] with `key` is that of a host. The keys of all other
/// rows have a prefix that ends with a slash, and no host's name has one.
#[must_use]
pub fn is_host_key(key: &str) -> bool {
    !key.contains('/')
}

impl MeshShared {
    /// Reads a row of [`HOSTS_TABLE`] with `decode`. One that cannot be read is recorded
    /// and skipped.
    pub fn read_row<T>(
        &self,
        row: &StoreRow,
        decode: impl Fn(&StoreRow) -> Result<Option<T>, RowError>,
    ) -> Option<T> {
        decode(row).unwrap_or_else(|error| {
            self.metrics.skipped_rows.record(HOSTS_TABLE, row, error);
            None
        })
    }
}

/// Decodes the address in a row of [`HOSTS_TABLE`]; `None` for rows of other kinds and
/// removed rows.
///
/// # Errors
/// [`RowError`] if the row cannot be read.
pub fn decode_member(row: &StoreRow) -> Result<Option<PeerAddress>, RowError> {
    let Some(value) = row.value.as_ref().filter(|_| is_host_key(&row.key)) else {
        return Ok(None);
    };
    decode_and_validate(&row.key, value).map(Some)
}

/// Decodes and validates the address of a host.
///
/// The bytes of a row that another program wrote may decode by chance. A host
/// without an address, or with another host's name, would be dialed forever.
fn decode_and_validate(key: &str, value: &[u8]) -> Result<PeerAddress, RowError> {
    let address: PeerAddress = row_values::decode(value)?;
    if address.id != key {
        return Err(RowError::Unreadable("the row names another host"));
    }
    address.check().map_err(RowError::Unreadable)?;
    Ok(address)
}
