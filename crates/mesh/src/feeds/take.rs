//! Takes over what the store says.

use std::rc::Rc;

use bytes::Bytes;
use filbert_platform::store::{RowBatch, StoreRow, CONFIG_KEY};
use filbert_policy::host_book::StorePlace;

use super::FeedSubject;
use crate::held_rows::is_held_key;
use crate::messages::{PlacedHost, RowChange};
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
            let era = shared.store.era();
            let placed = |row| placed_host(row, era);
            let mut listed: Vec<PlacedHost> = batch.rows.iter().filter_map(placed).collect();
            listed.retain(|host| !is_back_wrongly(shared, &host.address.id));
            let own = shared.own_address();
            let complete = StorePlace {
                era,
                version: batch.version,
            };
            if !listed.iter().any(|host| host.address == own) {
                shared.members.rows.lose_own(complete);
            }
            shared.take_members(listed, complete, "store");
        }
    }
}

fn placed_host(row: &StoreRow, era: u64) -> Option<PlacedHost> {
    let place = StorePlace {
        era,
        version: row.version,
    };
    decode_member(row).map(|address| PlacedHost { address, place })
}

/// Whether `id` is a host that was taken away, listed again by an older copy of
/// the store; its row is removed again.
fn is_back_wrongly(shared: &MeshShared, id: &str) -> bool {
    let answers = shared.peers.get(id).is_some_and(|peer| peer.is_linked());
    let is_back = shared.members.rows.was_removed(id) && !answers;
    if is_back {
        log::info!("event=removed_host_listed host={id}");
        shared.members.rows.want(RowChange::Remove(id.to_owned()));
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
    let place = StorePlace {
        era: shared.store.era(),
        version: row.version,
    };
    match placed_host(row, place.era) {
        Some(host) if host.address == shared.own_address() => shared.see_own_row(place),
        Some(host) => shared.take_row(host, "store"),
        None => shared.row_is_gone(&row.key, place, "store"),
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
