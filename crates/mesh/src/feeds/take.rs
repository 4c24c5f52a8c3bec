//! Takes over what the store says.

use std::rc::Rc;

use bytes::Bytes;
use filbert_platform::store::{RowBatch, StoreRow, CONFIG_KEY};

use super::FeedSubject;
use crate::held_rows::is_held_key;
use crate::messages::{PeerAddress, RowChange};
use crate::rollouts::row::is_rollout_key;
use crate::rows::decode_member;
use crate::state::MeshShared;

/// Takes over a table that was read anew.
pub(super) fn take_table(shared: &Rc<MeshShared>, subject: FeedSubject, batch: RowBatch) {
    match subject {
        FeedSubject::Configuration => {
            for row in batch.rows {
                take_configuration(shared, row);
            }
        }
        FeedSubject::Membership => {
            shared.take_held_rows(batch.rows.iter());
            for row in batch.rows.iter().filter(|row| is_rollout_key(&row.key)) {
                shared.take_rollout_row(row);
            }
            shared.rollouts.rows_were_read();
            let mut listed: Vec<PeerAddress> =
                batch.rows.iter().filter_map(decode_member).collect();
            listed.retain(|host| !is_back_wrongly(shared, &host.id));
            if listed.contains(&shared.own_address()) {
                shared.see_own_row();
            } else {
                shared.members.rows.mark_own_unregistered();
            }
            shared.apply_member_list(listed, "store");
        }
    }
}

/// Whether `id` is a host that was taken away, listed again by an older copy of
/// the store; its row is removed again.
fn is_back_wrongly(shared: &MeshShared, id: &str) -> bool {
    let answers = shared.peers.get(id).is_some_and(|peer| peer.is_linked());
    let is_back = shared.members.rows.was_removed(id) && !answers;
    if is_back {
        log::info!("event=removed_host_listed host={id}");
        shared
            .members
            .rows
            .enqueue_change(RowChange::Remove(id.to_owned()));
    }
    is_back
}

/// Takes over a changed row of the table of hosts.
pub(super) fn take_member(shared: &Rc<MeshShared>, row: &StoreRow) {
    if is_held_key(&row.key) {
        shared.take_held_rows(std::iter::once(row));
        return;
    }
    if is_rollout_key(&row.key) {
        shared.take_rollout_row(row);
        return;
    }
    match decode_member(row) {
        Some(address) if address == shared.own_address() => shared.see_own_row(),
        Some(address) => shared.upsert_host(address, "store"),
        None => shared.row_is_gone(&row.key, "store"),
    }
}

/// Takes over a changed row of the operator's table.
pub(super) fn take_configuration(shared: &Rc<MeshShared>, row: StoreRow) {
    if row.key != CONFIG_KEY {
        shared.take_rollout_order(&row);
        return;
    }
    match row.value {
        Some(value) => shared.apply_version(&Bytes::from(value), "store"),
        None => log::error!("event=configuration_missing"),
    }
}
