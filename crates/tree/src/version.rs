//! Accepted versions: immutable numbered trees, and their wire encoding.

use serde::{Deserialize, Serialize};

use crate::branch::SettingsTree;
use crate::delta::TreeDelta;

/// One accepted version of the tree. Numbers only grow; a withdrawal is a new
/// number whose tree equals an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The version number, starting at 1.
    pub number: u64,
    /// The version this one replaced (0 for the first).
    pub parent: u64,
    /// When set, the older version whose content this one restores.
    pub restores: Option<u64>,
    /// Object store key of the parent version, for withdrawals.
    pub parent_object: Option<String>,
    /// The tree in force from this version on.
    pub tree: SettingsTree,
}

/// Encodes and decodes versions with `bincode` for the object store and the wire.
pub struct VersionCodec;

impl VersionCodec {
    /// Encodes a version.
    ///
    /// # Panics
    /// Never: versions hold only plain data that bincode always encodes.
    #[must_use]
    pub fn encode(record: &VersionRecord) -> Vec<u8> {
        bincode::serde::encode_to_vec(record, bincode::config::standard())
            .expect("a version record always encodes")
    }

    /// Decodes a version.
    ///
    /// # Errors
    /// A text describing the fault when the bytes are not a whole version.
    pub fn decode(bytes: &[u8]) -> Result<VersionRecord, String> {
        decode_whole(bytes)
    }

    /// Encodes a delta.
    ///
    /// # Panics
    /// Never: deltas hold only plain data that bincode always encodes.
    #[must_use]
    pub fn encode_delta(delta: &TreeDelta) -> Vec<u8> {
        bincode::serde::encode_to_vec(delta, bincode::config::standard())
            .expect("a delta always encodes")
    }

    /// Decodes a delta.
    ///
    /// # Errors
    /// A text describing the fault when the bytes are not a whole delta.
    pub fn decode_delta(bytes: &[u8]) -> Result<TreeDelta, String> {
        decode_whole(bytes)
    }
}

fn decode_whole<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map_err(|error| error.to_string())?;
    if used == bytes.len() {
        Ok(value)
    } else {
        Err(format!("{} trailing bytes", bytes.len() - used))
    }
}
