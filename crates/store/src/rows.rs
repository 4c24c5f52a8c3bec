//! Decodes the rows of the store's responses one by one, so that a row of another writer that
//! cannot be decoded hides no other row.

use std::borrow::Cow;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::text::shortened;
use crate::wire::TableRow;

/// Shortest time between two lines of the log on such rows: daemons read the same rows
/// several times a second.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A row whose value is not decoded yet.
#[derive(Deserialize)]
struct RowBody<'a> {
    key: String,
    version: u64,
    #[serde(borrow)]
    value: &'a RawValue,
}

/// Decodes rows and logs those that cannot be decoded. Clones share the pace of the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct RowDecoder {
    logged_at: Arc<Mutex<Option<Instant>>>,
}

impl RowDecoder {
    /// Decodes one row. A value that is too deep or holds a number that is too large becomes
    /// `null`, which no reader takes for an entry, so that the row's version is known.
    pub(crate) fn decode_row(&self, body: &[u8]) -> serde_json::Result<TableRow> {
        self.read_row(&String::from_utf8_lossy(body))
    }

    /// Decodes the row of a refusal; `None` if there is no such row.
    pub(crate) fn decode_optional_row(&self, body: &[u8]) -> serde_json::Result<Option<TableRow>> {
        let text = String::from_utf8_lossy(body);
        let row: Option<&RawValue> = serde_json::from_str(&text)?;
        row.map(|row| self.read_row(row.get())).transpose()
    }

    /// Decodes a list of rows. Leaves out those without a key or a version.
    pub(crate) fn decode_rows(&self, body: &[u8]) -> serde_json::Result<Vec<TableRow>> {
        let text: Cow<'_, str> = String::from_utf8_lossy(body);
        let rows: Vec<&RawValue> = serde_json::from_str(&text)?;
        let read = rows.iter().filter_map(|row| {
            self.read_row(row.get())
                .inspect_err(|error| self.log(row.get(), error))
                .ok()
        });
        Ok(read.collect())
    }

    fn read_row(&self, text: &str) -> serde_json::Result<TableRow> {
        let body: RowBody<'_> = serde_json::from_str(text)?;
        let value = serde_json::from_str(body.value.get()).unwrap_or_else(|error| {
            self.log(&body.key, &error);
            serde_json::Value::Null
        });
        Ok(TableRow {
            key: body.key,
            version: body.version,
            value,
        })
    }

    fn log(&self, row: &str, error: &serde_json::Error) {
        let now = Instant::now();
        let mut logged_at = self
            .logged_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if logged_at.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            return;
        }
        *logged_at = Some(now);
        let (row, error) = (shortened(row), shortened(&error.to_string()));
        log::warn!("event=row_unreadable row=\"{row}\" error=\"{error}\"");
    }
}
