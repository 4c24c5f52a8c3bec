//! Rows in the store for the calls that the quarantine holds back. They keep the
//! holds when all daemons end at once, so that none is left to tell the others.
//!
//! The rows are in the table of hosts, which daemons read and watch anyway. Only
//! the few daemons that access the store for the fleet write them. Daemons also
//! learn of holds by other writers, and of releases by operators, from the rows.

pub mod row;

use std::collections::BTreeMap;

use filbert_platform::store::StoreRow;
use filbert_policy::clock::ClockReading;
use filbert_policy::identity::CallIdentity;
use filbert_policy::quarantine::CallRecord;

use crate::messages::RowChange;
use crate::state::MeshShared;
pub use row::{held_row_key, is_held_key, HeldRow};

/// The held rows that are in the store as far as known, with the number of crashes
/// in each.
pub type WrittenRows = BTreeMap<CallIdentity, usize>;

impl MeshShared {
    /// Merges the held rows among `rows`, which were read from the store, into the
    /// quarantine. Has expired rows removed if this daemon accesses the store for the
    /// fleet.
    pub fn merge_held_rows<'a>(&self, rows: impl Iterator<Item = &'a StoreRow>) {
        for row in rows.filter(|row| is_held_key(&row.key)) {
            let Some(held) = self.read_row(row, HeldRow::decode) else {
                continue;
            };
            let is_current = self.quarantine.merge_row(&held);
            if !is_current && self.members.is_source() {
                self.members
                    .rows
                    .enqueue_change(RowChange::Remove(held_row_key(held.call)));
            }
        }
    }

    /// Has the held rows of `calls` written or removed as their records require, if
    /// this daemon accesses the store for the fleet.
    pub(crate) fn update_held_rows(&self, calls: &[CallIdentity]) {
        if !self.members.is_source() {
            return;
        }
        for call in calls {
            if let Some(change) = self.quarantine.row_change(*call) {
                self.members.rows.enqueue_change(change);
            }
        }
    }
}

/// Returns the change that brings the row of `call` up to date: the row exists
/// while the call is held back. `None` if it is up to date, as far as known from
/// `written_rows`, which is updated as if the change were written.
#[must_use]
pub fn row_change(
    call: CallIdentity,
    record: &CallRecord,
    written_rows: &mut WrittenRows,
    clock: &ClockReading,
) -> Option<RowChange> {
    if record.is_held() {
        let held = HeldRow::from_record(call, record, clock);
        let crashes = held.crashes.len();
        let is_outdated = written_rows.insert(call, crashes) != Some(crashes);
        return is_outdated.then_some(RowChange::Hold(held));
    }
    let was_written = written_rows.remove(&call).is_some();
    was_written.then(|| RowChange::Remove(held_row_key(call)))
}
