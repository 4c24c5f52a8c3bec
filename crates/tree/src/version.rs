//! Accepted versions, which are immutable numbered trees, and their encoding.

use serde::{Deserialize, Serialize};

use crate::branch::SettingsTree;
use crate::delta::TreeDelta;

/// An accepted version of the tree.
///
/// Version numbers only increase. Withdrawing a version creates a new one whose
/// tree equals that of an older version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The version number; the first is 1.
    pub number: u64,
    /// The number of the version that this one replaced; 0 for the first.
    pub parent: u64,
    /// The number of the older version whose tree this one restores, if it was
    /// created by a withdrawal.
    pub restores: Option<u64>,
    /// Object store key of the parent version, from which a withdrawal reads the
    /// tree to restore.
    pub parent_object: Option<String>,
    /// The tree of this version.
    pub tree: SettingsTree,
}

/// Encodes and decodes versions and deltas with `bincode`, for the object store
/// and for messages between daemons.
pub struct VersionCodec;

impl VersionCodec {
    /// Encodes a version.
    ///
    /// # Panics
    /// Never: versions hold only plain data, which bincode always encodes.
    #[must_use]
    pub fn encode(record: &VersionRecord) -> Vec<u8> {
        bincode::serde::encode_to_vec(record, bincode::config::standard())
            .expect("a version record always encodes")
    }

    /// Decodes a version.
    ///
    /// # Errors
    /// A description of the error when `bytes` is not exactly one encoded version.
    pub fn decode(bytes: &[u8]) -> Result<VersionRecord, String> {
        decode_exact(bytes)
    }

    /// Encodes a delta.
    ///
    /// # Panics
    /// Never: deltas hold only plain data, which bincode always encodes.
    #[must_use]
    pub fn encode_delta(delta: &TreeDelta) -> Vec<u8> {
        bincode::serde::encode_to_vec(delta, bincode::config::standard())
            .expect("a delta always encodes")
    }

    /// Decodes a delta.
    ///
    /// # Errors
    /// A description of the error when `bytes` is not exactly one encoded delta.
    pub fn decode_delta(bytes: &[u8]) -> Result<TreeDelta, String> {
        decode_exact(bytes)
    }
}

fn decode_exact<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map_err(|error| error.to_string())?;
    if used == bytes.len() {
        Ok(value)
    } else {
        Err(format!("{} trailing bytes", bytes.len() - used))
    }
}
