//! Accepted versions: immutable numbered trees, and their wire encoding.

use std::fmt;

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

/// A settings file that could not be read: where, which key, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Line number, from 1, when known.
    pub line: Option<usize>,
    /// The key at fault, when the parser named one.
    pub key: Option<String>,
    /// The parser's message.
    pub message: String,
}

impl ParseError {
    /// Builds an error from a `toml` error and the text it came from.
    #[must_use]
    pub fn from_toml(text: &str, error: &toml::de::Error) -> ParseError {
        let line = error
            .span()
            .map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        let message = error.message().to_owned();
        let key = message
            .split('`')
            .nth(1)
            .map(str::to_owned)
            .or_else(|| key_at(text, error.span().map(|span| span.start)));
        ParseError { line, key, message }
    }
}

/// The key written at the start of the line holding `offset`, if any.
fn key_at(text: &str, offset: Option<usize>) -> Option<String> {
    let offset = offset?.min(text.len());
    let line_start = text[..offset].rfind('\n').map_or(0, |index| index + 1);
    let line = text[line_start..].lines().next()?;
    let (key, _) = line.split_once('=')?;
    Some(key.trim().to_owned())
}

impl fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.line, &self.key) {
            (Some(line), Some(key)) => {
                write!(formatter, "line {line}, key `{key}`: {}", self.message)
            }
            (Some(line), None) => write!(formatter, "line {line}: {}", self.message),
            (None, Some(key)) => write!(formatter, "key `{key}`: {}", self.message),
            (None, None) => write!(formatter, "{}", self.message),
        }
    }
}

impl std::error::Error for ParseError {}
