//! Rows of roll-outs in the store. They outlive the daemons, and stand in the table
//! of hosts, which daemons read and watch anyway.

use std::time::Duration;

use filbert_platform::store::StoreRow;
use filbert_policy::rollout::record::RolloutRecord;
use serde::{Deserialize, Serialize};

use crate::row_value;

/// Prefix of these rows' keys. Names of hosts contain no slash, so they cannot have
/// it.
const KEY_PREFIX: &str = "rollout/";

/// Content of a roll-out's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRow {
    /// Record of the roll-out.
    pub record: RolloutRecord,
    /// Time of the order on the store's clock.
    pub ordered_at: Duration,
    /// Text that describes the evidence for the verdict.
    pub evidence: String,
}

impl RolloutRow {
    /// Decodes `row`; `None` if it is not a roll-out's row or is malformed.
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

    /// Encodes the content as the value of a row.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        row_value::encode(self)
    }
}

/// Returns the key of the row for the roll-out of `service`.
#[must_use]
pub fn rollout_row_key(service: &str) -> String {
    format!("{KEY_PREFIX}{service}")
}

/// Whether a row with `key` belongs to a roll-out, not to a host.
#[must_use]
pub fn is_rollout_key(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}
