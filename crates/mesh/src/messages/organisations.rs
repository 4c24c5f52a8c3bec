//! Parts of messages on organisations.

use serde::{Deserialize, Serialize};

/// Confirmation that a version was the newest in the store at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionConfirmation {
    /// Number of times that the store had been restored from an older copy.
    pub era: u64,
    /// Number of the version.
    pub version: u64,
    /// Time of the confirmation on the store's clock, in microseconds.
    pub at_us: u64,
}
