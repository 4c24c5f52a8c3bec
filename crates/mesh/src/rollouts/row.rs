//! The row of a roll-out in the table of hosts, which is read and followed
//! anyway: it outlives the daemons.

use std::time::Duration;

use filbert_platform::store::StoreRow;
use filbert_policy::rollout::record::RolloutRecord;
use serde::{Deserialize, Serialize};

use crate::row_value;

/// What the keys of these rows begin with; no host's name has a slash.
const KEY_PREFIX: &str = "rollout/";

/// A roll-out as its row says it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRow {
    /// The note.
    pub record: RolloutRecord,
    /// The store's clock at the order.
    pub ordered_at: Duration,
    /// What a verdict rested on, in words.
    pub evidence: String,
}

impl RolloutRow {
    /// The row of `row`; `None` when it is another, or cannot be read.
    #[must_use]
    pub fn read(row: &StoreRow) -> Option<RolloutRow> {
        let service = row.key.strip_prefix(KEY_PREFIX)?;
        let value = row.value.as_ref()?;
        match row_value::decode::<RolloutRow>(value) {
            Ok(stored) if stored.record.service == service => Some(stored),
            _ => {
                log::warn!("event=rollout_row_malformed key={}", row.key);
                None
            }
        }
    }

    /// Its value.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        row_value::encode(self)
    }
}

/// The key of the row of `service`.
#[must_use]
pub fn key_of(service: &str) -> String {
    format!("{KEY_PREFIX}{service}")
}

/// Whether a row with `key` is of a roll-out, not of a host.
#[must_use]
pub fn is_rollout_key(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}
