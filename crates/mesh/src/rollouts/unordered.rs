//! Rows of roll-outs that were read before their order, or that have none.
//!
//! Only the operator's orders move a service's calls. Orders and rows lie in two tables that are
//! read apart, so a row may be read first: it is kept until its order is known. One that has no
//! order is another writer's.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbert_policy::rollout::record::RolloutRecord;

use super::row::RolloutRow;
use super::RolloutTable;

/// Time after which the row of a known roll-out without an order of its own is written over: far
/// above the time between the reads of the two tables.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// A row whose order is not known.
#[derive(Clone, Debug)]
pub(super) struct UnorderedRow {
    /// The row.
    pub(super) stored: RolloutRow,
    /// Version of the row.
    pub(super) version: u64,
    /// Time from the order that it states to when it was read.
    pub(super) elapsed: Duration,
    /// Time at which it was read.
    pub(super) read_at: Instant,
}

/// The operator's orders that were read, and the rows that wait for theirs, by service.
#[derive(Default)]
pub(super) struct UnorderedRows {
    orders: RefCell<BTreeMap<String, RolloutRecord>>,
    rows: RefCell<BTreeMap<String, UnorderedRow>>,
}

impl UnorderedRows {
    /// Records an order. Returns the row that waited for it; `None` if there is none.
    pub(super) fn record_order(&self, order: &RolloutRecord) -> Option<UnorderedRow> {
        let service = order.service.as_str();
        let mut orders = self.orders.borrow_mut();
        orders.insert(service.to_owned(), order.clone());
        let mut rows = self.rows.borrow_mut();
        let row = rows.get(service)?;
        row.stored
            .record
            .is_of_order(order)
            .then(|| rows.remove(service))?
    }

    /// Whether `record` is of the newest order of its service.
    pub(super) fn has_order(&self, record: &RolloutRecord) -> bool {
        let orders = self.orders.borrow();
        let order = orders.get(&record.service);
        order.is_some_and(|order| record.is_of_order(order))
    }

    /// Keeps a row until its order is known.
    pub(super) fn keep(&self, row: UnorderedRow) {
        let service = row.stored.record.service.clone();
        self.rows.borrow_mut().insert(service, row);
    }

    /// Forgets the row of `service`, which has been read anew.
    pub(super) fn forget(&self, service: &str) {
        self.rows.borrow_mut().remove(service);
    }

    /// Forgets all rows: the store was restored from an older copy.
    pub(super) fn forget_all(&self) {
        self.rows.borrow_mut().clear();
    }

    /// Takes out the services whose rows have had no order for long.
    pub(super) fn take_foreign(&self, now: Instant) -> Vec<String> {
        let is_foreign = |row: &UnorderedRow| now >= row.read_at + ORDER_TIMEOUT;
        let mut rows = self.rows.borrow_mut();
        let services = rows.iter().filter(|(_, row)| is_foreign(row));
        let services: Vec<String> = services.map(|(service, _)| service.clone()).collect();
        rows.retain(|_, row| !is_foreign(row));
        services
    }
}

impl RolloutTable {
    /// Applies the row of a roll-out that was read from the store, at its version `version` and
    /// `elapsed` after the order that it states, or keeps it until that order is known.
    ///
    /// Guards against a row of another writer, which would take away the calls of its service.
    pub fn apply_read_row(&self, stored: RolloutRow, version: u64, elapsed: Duration) {
        let record = &stored.record;
        let service = record.service.clone();
        self.unordered_rows.forget(&service);
        let entry = self.entry(&service);
        let is_known = entry.is_some_and(|entry| record.is_of_order(&entry.record));
        if is_known || self.unordered_rows.has_order(record) {
            self.apply_row(&stored, version, elapsed);
            return;
        }
        log::info!(
            "event=rollout_row_unordered service={service:?} to={:?} order={}.{} stage={:?}",
            record.to,
            record.order.era,
            record.order.version,
            record.stage
        );
        // What is written next is written over this row.
        if let Some(entry) = self.entries.borrow_mut().get_mut(&service) {
            entry.row_version = version;
        }
        self.unordered_rows.keep(UnorderedRow {
            stored,
            version,
            elapsed,
            read_at: self.clock.now(),
        });
    }

    /// Has rows of known roll-outs written again where a row without an order has stood for
    /// long in their place.
    pub fn replace_foreign_rows(&self) {
        for service in self.unordered_rows.take_foreign(self.clock.now()) {
            if let Some(entry) = self.entries.borrow_mut().get_mut(&service) {
                entry.is_order_stored = false;
            }
        }
    }
}
