//! Rows of roll-outs in the store. They outlive the daemons, and stand in the table
//! of hosts, which daemons read and watch anyway.

use std::time::Duration;

use filbert_platform::store::StoreRow;
use filbert_policy::rollout::record::RolloutRecord;
use serde::{Deserialize, Serialize};

use crate::codec::rows::{self, RowError};

/// Prefix of these rows' keys. Names of hosts contain no slash, so they cannot have
/// it.
const KEY_PREFIX: &str = "rollout/";

/// Longest time that a row may state. The store's clock counts from its start.
const MAX_TIME: Duration = Duration::from_hours(24 * 365 * 100);

/// Longest name of a software version, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// Largest step that a row may state: far above the number of stages of a roll-out.
const MAX_STEP: u32 = 1_000_000;

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
    /// Decodes `row`; `None` if it is not a roll-out's row or was removed.
    ///
    /// # Errors
    /// [`RowError`] if the row cannot be read.
    pub fn decode(row: &StoreRow) -> Result<Option<RolloutRow>, RowError> {
        let (Some(service), Some(value)) = (service_of_key(&row.key), &row.value) else {
            return Ok(None);
        };
        let stored: RolloutRow = rows::decode(value)?;
        if stored.record.service != service {
            return Err(RowError::Unreadable("the row names another service"));
        }
        if stored.record.to.len() > MAX_NAME_BYTES {
            return Err(RowError::Unreadable("the software version is no name"));
        }
        if stored.ordered_at.max(stored.record.allowed) > MAX_TIME {
            return Err(RowError::Unreadable("a time is out of range"));
        }
        if stored.record.step > MAX_STEP {
            return Err(RowError::Unreadable("the step is out of range"));
        }
        Ok(Some(stored))
    }

    /// Encodes the content as the value of a row.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        rows::encode(self)
    }
}

/// Returns the key of the row for the roll-out of `service`.
#[must_use]
pub fn rollout_row_key(service: &str) -> String {
    format!("{KEY_PREFIX}{service}")
}

/// The service whose roll-out has the row with `key`; `None` if it is no such row.
#[must_use]
pub fn service_of_key(key: &str) -> Option<&str> {
    key.strip_prefix(KEY_PREFIX)
}

/// Whether a row with `key` belongs to a roll-out, not to a host.
#[must_use]
pub fn is_rollout_key(key: &str) -> bool {
    service_of_key(key).is_some()
}

/// Whether all keys of roll-outs come before `key`.
#[must_use]
pub fn follows_rollout_keys(key: &str) -> bool {
    key > KEY_PREFIX && !is_rollout_key(key)
}
