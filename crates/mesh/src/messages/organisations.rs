//! What daemons tell each other of organisations.

use serde::{Deserialize, Serialize};

/// Word that a version was the store's newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionConfirmation {
    /// How often the store had come back from an older copy.
    pub era: u64,
    /// The version.
    pub version: u64,
    /// When, on the store's clock, in microseconds.
    pub at_us: u64,
}
