//! Takes over what the store says.

use std::rc::Rc;

use bytes::Bytes;
use filbert_platform::store::{RowBatch, StoreRow, CONFIG_KEY};

use super::FeedSubject;
use crate::held_rows::is_held_key;
use crate::messages::PeerAddress;
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
            let listed: Vec<PeerAddress> = batch.rows.iter().filter_map(decode_member).collect();
            if listed.contains(&shared.own_address()) {
                shared.see_own_row();
            } else {
                shared.members.rows.miss_own();
            }
            shared.take_members(listed, "store");
        }
    }
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
        Some(address) => shared.learn_host(address, "store"),
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
        Some(value) => shared.offer_version(&Bytes::from(value), "store"),
        None => log::error!("event=configuration_missing"),
    }
}
