//! The row of a call that is held back: its content and its key.

use std::time::{Duration, Instant};

use filbert_platform::store::StoreRow;
use filbert_policy::clock::ClockReading;
use filbert_policy::identity::CallIdentity;
use filbert_policy::quarantine::{CallRecord, TargetCrash};
use serde::{Deserialize, Serialize};

use crate::codec::rows::{self, RowError};

/// Prefix of the keys of held rows. It differs from all keys of hosts, as no host's
/// name has a slash.
const KEY_PREFIX: &str = "held/";

/// A call that is held back, or that was released by an operator: the content of
/// its row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// Identity of the call.
    pub call: CallIdentity,
    /// The crashes that count as strikes.
    pub crashes: Vec<StoredCrash>,
    /// Unix time in milliseconds at which the call was cleared or released; `None` if
    /// it never was.
    pub cleared_ms: Option<u64>,
}

/// A [`TargetCrash`] with wall-clock times, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrash {
    id: u64,
    began_ms: u64,
    ended_ms: u64,
}

/// Converts `at` to Unix milliseconds.
fn to_unix_ms(at: Instant, clock: &ClockReading) -> u64 {
    let age = clock.now.saturating_duration_since(at);
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    clock.wall_ms().saturating_sub(age_ms)
}

/// Converts Unix milliseconds to an `Instant`. A time in the future, as from a host
/// whose clock is ahead, becomes now; `None` if the time is too far back for an
/// `Instant` of this host.
fn from_unix_ms(unix_ms: u64, clock: &ClockReading) -> Option<Instant> {
    let age_ms = clock.wall_ms().saturating_sub(unix_ms);
    clock.now.checked_sub(Duration::from_millis(age_ms))
}

impl HeldRow {
    /// Converts the record of `call`.
    #[must_use]
    pub fn from_record(call: CallIdentity, record: &CallRecord, clock: &ClockReading) -> HeldRow {
        let stored_crash = |crash: &TargetCrash| StoredCrash {
            id: crash.id,
            began_ms: to_unix_ms(crash.began, clock),
            ended_ms: to_unix_ms(crash.ended, clock),
        };
        HeldRow {
            call,
            crashes: record.crashes().map(stored_crash).collect(),
            cleared_ms: record.cleared().map(|at| to_unix_ms(at, clock)),
        }
    }

    /// The row with which an operator releases `call`: it has no crashes, and is
    /// cleared now.
    #[must_use]
    pub fn released(call: CallIdentity, clock: &ClockReading) -> HeldRow {
        HeldRow {
            call,
            crashes: Vec::new(),
            cleared_ms: Some(clock.wall_ms()),
        }
    }

    /// Decodes a row of the store; `None` if it is no held row or was removed.
    ///
    /// # Errors
    /// [`RowError`] if the row cannot be read.
    pub fn decode(row: &StoreRow) -> Result<Option<HeldRow>, RowError> {
        let Some(value) = row.value.as_ref().filter(|_| is_held_key(&row.key)) else {
            return Ok(None);
        };
        let held: HeldRow = rows::decode(value)?;
        if matches_key(&held, &row.key) {
            Ok(Some(held))
        } else {
            Err(RowError::Unreadable("the row names another call"))
        }
    }

    /// Encodes the row's value for the store.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        rows::encode(self)
    }

    /// Converts back to a record. Crashes that `Instant` cannot represent are left
    /// out.
    #[must_use]
    pub fn to_record(&self, clock: &ClockReading) -> CallRecord {
        let crash = |crash: &StoredCrash| {
            Some(TargetCrash {
                id: crash.id,
                began: from_unix_ms(crash.began_ms, clock)?,
                ended: from_unix_ms(crash.ended_ms, clock)?,
            })
        };
        let crashes = self.crashes.iter().filter_map(crash).collect();
        let cleared = self.cleared_ms.and_then(|ms| from_unix_ms(ms, clock));
        CallRecord::new(crashes, cleared, None)
    }
}

/// Returns whether the decoded call belongs to the row's key. It doesn't if the
/// bytes are of another writer and only happen to decode.
fn matches_key(held: &HeldRow, key: &str) -> bool {
    held_row_key(held.call) == key
}

/// Returns the key of the held row of `call`.
#[must_use]
pub fn held_row_key(call: CallIdentity) -> String {
    format!("{KEY_PREFIX}{call}")
}

/// Returns whether `key` is that of a held row, rather than of a host.
#[must_use]
pub fn is_held_key(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}
