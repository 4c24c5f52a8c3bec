//! Rows of the store that cannot be read: each is logged once and counted.

use std::cell::RefCell;
use std::collections::BTreeMap;

use filbert_platform::store::StoreRow;
use opentelemetry::metrics::{Counter, Meter};
use opentelemetry::KeyValue;

use super::names::shortened;
use super::rows::RowError;

/// Maximum number of rows that are told apart in the log and in the metrics.
const MAX_NAMED_ROWS: usize = 32;
/// Metric label of the rows beyond [`MAX_NAMED_ROWS`].
const OTHER_KEYS: &str = "other";

/// Counts the rows that cannot be read, and logs each of them once.
pub struct SkippedRows {
    counter: Counter<u64>,
    /// The store's version of each row that was logged, by table and key.
    logged: RefCell<BTreeMap<(&'static str, String), u64>>,
}

impl SkippedRows {
    /// Creates the counter among the metrics of `meter`.
    #[must_use]
    pub fn new(meter: &Meter) -> SkippedRows {
        let counter = meter
            .u64_counter("filbert.rows.skipped")
            .with_description("Readings of rows in the store that cannot be read, by table and key")
            .build();
        SkippedRows {
            counter,
            logged: RefCell::default(),
        }
    }

    /// Records that `row` of `table` is skipped because of `error`.
    pub fn record(&self, table: &'static str, row: &StoreRow, error: RowError) {
        let key = shortened(&row.key);
        let (is_named, is_news) = self.remember(table, key, row.version);
        if is_news {
            log::warn!(
                "event=row_skipped table={table} key={key:?} version={} error=\"{error}\"",
                row.version
            );
        }
        let key = if is_named { key } else { OTHER_KEYS };
        let labels = [
            KeyValue::new("table", table),
            KeyValue::new("key", key.to_owned()),
        ];
        self.counter.add(1, &labels);
    }

    /// Returns whether the row with `key` is among the rows that are told apart, and whether
    /// it has not been logged at `version`.
    fn remember(&self, table: &'static str, key: &str, version: u64) -> (bool, bool) {
        let mut logged = self.logged.borrow_mut();
        let id = (table, key.to_owned());
        if !logged.contains_key(&id) && logged.len() >= MAX_NAMED_ROWS {
            return (false, false);
        }
        let before = logged.insert(id, version);
        (true, before != Some(version))
    }
}
