//! Applies what was read from the store.

use std::rc::Rc;

use bytes::Bytes;
use error_stack::Report;
use filbert_platform::store::{PartialTable, RowBatch, StoreError, StoreRow, CONFIG_KEY};

use super::FeedSubject;
use crate::codec::rows::RowError;
use crate::held_rows::{is_held_key, HeldRow};
use crate::messages::{KnownHosts, PeerAddress, RowChange};
use crate::rollouts::row::{follows_rollout_keys, is_rollout_key, RolloutRow};
use crate::rows::{decode_member, is_host_key};
use crate::shutdowns::restore::apply_shutdown_rows;
use crate::shutdowns::row::ShutdownRow;
use crate::state::MeshShared;

/// Applies a table that was read as a whole.
pub(super) fn apply_table(shared: &Rc<MeshShared>, subject: FeedSubject, batch: RowBatch) {
    match subject {
        FeedSubject::Configuration => {
            for row in batch.rows {
                apply_configuration_row(shared, row);
            }
        }
        FeedSubject::Membership => {
            shared.merge_held_rows(batch.rows.iter());
            apply_shutdown_rows(shared, &batch.rows);
            for row in batch.rows.iter().filter(|row| is_rollout_key(&row.key)) {
                shared.apply_rollout_row(row);
            }
            shared.rollouts.mark_rows_loaded();
            let mut listed: Vec<PeerAddress> = batch
                .rows
                .iter()
                .filter_map(|row| shared.read_row(row, decode_member))
                .collect();
            listed.retain(|host| !remove_if_restored(shared, &host.id));
            if listed.contains(&shared.own_address()) {
                shared.own_row_found();
            } else {
                shared.members.rows.mark_own_unregistered();
            }
            let list = KnownHosts {
                hosts: listed,
                ..KnownHosts::default()
            };
            shared.apply_member_list(list, "store");
        }
    }
}

/// Whether `row` of the table of hosts can be used. One of another writer that cannot be read
/// is recorded, and takes no memory beside the rows of the fleet.
pub(super) fn is_usable(shared: &MeshShared, row: &StoreRow) -> bool {
    shared.read_row(row, HeldRow::decode).is_some()
        || shared.read_row(row, RolloutRow::decode).is_some()
        || shared.read_row(row, ShutdownRow::decode).is_some()
        || shared.read_row(row, decode_member).is_some()
}

/// Applies the rows of a table that could not be read to its end, and returns why it could
/// not. Hosts are added and none is removed; a daemon that knew none goes on with those.
pub(super) fn apply_partial_table(
    shared: &Rc<MeshShared>,
    subject: FeedSubject,
    partial: PartialTable,
) -> Report<StoreError> {
    if partial.unread_from.is_empty() {
        return partial.cause;
    }
    let is_own = |row: &StoreRow| row.key == shared.settings.borrow().id;
    let has_own = partial.rows.iter().any(is_own);
    for row in partial.rows {
        apply_row(shared, subject, row);
    }
    if subject == FeedSubject::Membership {
        if follows_rollout_keys(&partial.unread_from) {
            shared.rollouts.mark_rows_loaded();
        }
        if !shared.members.is_known.get() {
            if !has_own {
                shared.members.rows.mark_own_unregistered();
            }
            shared.mark_members_known();
        }
    }
    partial.cause
}

/// Whether host `id` has left the fleet and is listed again because the store
/// was restored from an older copy. Queues the removal of its row if so.
fn remove_if_restored(shared: &MeshShared, id: &str) -> bool {
    let is_linked = shared.peers.get(id).is_some_and(|peer| peer.is_linked());
    let is_restored = shared.members.rows.was_removed(id) && !is_linked;
    if is_restored {
        log::info!("event=removed_host_listed host={id}");
        shared
            .members
            .rows
            .enqueue_change(RowChange::Remove(id.to_owned()));
    }
    is_restored
}

/// Applies a changed row of the table of a feed.
pub(super) fn apply_row(shared: &Rc<MeshShared>, subject: FeedSubject, row: StoreRow) {
    match subject {
        FeedSubject::Configuration => apply_configuration_row(shared, row),
        FeedSubject::Membership => apply_member_row(shared, &row),
    }
}

/// Applies a changed row of the table of hosts.
fn apply_member_row(shared: &Rc<MeshShared>, row: &StoreRow) {
    if is_held_key(&row.key) {
        shared.merge_held_rows(std::iter::once(row));
        return;
    }
    if is_rollout_key(&row.key) {
        shared.apply_rollout_row(row);
        return;
    }
    if !is_host_key(&row.key) {
        return;
    }
    let decoded = decode_member(row);
    let is_later_form = decoded == Err(RowError::LaterForm);
    match shared.read_row(row, |_| decoded.clone()) {
        // The host's row is there, only this release cannot read it.
        None if is_later_form => {}
        Some(address) if address == shared.own_address() => shared.own_row_found(),
        Some(address) => shared.upsert_host(address, "store"),
        None => shared.handle_row_removed(&row.key, "store"),
    }
}

/// Applies a changed row of the operator's table.
fn apply_configuration_row(shared: &Rc<MeshShared>, row: StoreRow) {
    if row.key != CONFIG_KEY {
        shared.apply_rollout_order(&row);
        return;
    }
    match row.value {
        Some(value) => shared.apply_version(&Bytes::from(value), "store"),
        None => log::error!("event=configuration_missing"),
    }
}
