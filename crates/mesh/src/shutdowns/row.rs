//! The row of one acknowledged shutdown. It stands in the table of hosts, whose other
//! rows daemons read anyway.

use std::time::Duration;

use filbert_platform::store::StoreRow;
use filbert_policy::clock::ClockReading;
use filbert_policy::instance::InstanceKey;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::codec::rows::{self, RowError};

/// Prefix of these rows' keys. Names of hosts contain no slash, so they cannot have it.
pub const KEY_PREFIX: &str = "shutdown/";
/// Time after an acknowledgement for which its row is kept. A target that has announced
/// its shutdown serves for some seconds more.
const RETENTION: Duration = Duration::from_mins(10);

/// Content of the row of an acknowledged shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShutdownRow {
    /// The instance that shuts down.
    pub instance: InstanceKey,
    /// Unix time in milliseconds at which the shutdown was announced.
    announced_ms: u64,
}

impl ShutdownRow {
    /// The row of `instance`, which announces its shutdown now.
    #[must_use]
    pub fn new(instance: InstanceKey, clock: &ClockReading) -> ShutdownRow {
        ShutdownRow {
            instance,
            announced_ms: clock.wall_ms(),
        }
    }

    /// Decodes `row`; `None` if it is not the row of a shutdown or was removed.
    ///
    /// # Errors
    /// [`RowError`] if the row cannot be read.
    pub fn decode(row: &StoreRow) -> Result<Option<ShutdownRow>, RowError> {
        let Some(value) = row.value.as_ref().filter(|_| is_shutdown_key(&row.key)) else {
            return Ok(None);
        };
        let shutdown: ShutdownRow = rows::decode(value)?;
        if row.key.ends_with(&key_suffix(&shutdown.instance)) {
            Ok(Some(shutdown))
        } else {
            Err(RowError::Unreadable("the row names another instance"))
        }
    }

    /// Encodes the row's value for the store.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        rows::encode(self)
    }

    /// Whether the target must have ended long ago.
    #[must_use]
    pub fn is_expired(&self, clock: &ClockReading) -> bool {
        let age = clock.wall_ms().saturating_sub(self.announced_ms);
        Duration::from_millis(age) > RETENTION
    }
}

/// Whether a row with `key` is that of a shutdown.
fn is_shutdown_key(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}

/// Prefix of the keys of all rows of `host`.
#[must_use]
pub fn host_prefix(host: &str) -> String {
    format!("{KEY_PREFIX}{host}/")
}

/// Key of the row of `instance` on `host`.
#[must_use]
pub fn shutdown_row_key(host: &str, instance: &InstanceKey) -> String {
    format!("{KEY_PREFIX}{host}{}", key_suffix(instance))
}

/// End of the key of the row of `instance`: its hash, as an id may be longer than a key.
fn key_suffix(instance: &InstanceKey) -> String {
    let hash = XxHash64::oneshot(0, instance.to_string().as_bytes());
    format!("/{hash:016x}")
}
