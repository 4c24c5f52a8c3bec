//! Values of our rows in the store: `bincode`, and nothing behind it.

use serde::{de::DeserializeOwned, Serialize};

/// The value of a row that says `content`.
///
/// # Panics
/// Never: rows hold only plain data, which bincode always encodes.
#[must_use]
pub fn encode<T: Serialize>(content: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(content, bincode::config::standard())
        .expect("a row of plain data always encodes")
}

/// What a row with `value` says.
///
/// # Errors
/// Why it says nothing: other bytes, or more of them. Another writer's may
/// decode all the same; what they name is for the reader to check.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    let (content, used) = bincode::serde::decode_from_slice(value, bincode::config::standard())
        .map_err(|error| error.to_string())?;
    if used == value.len() {
        Ok(content)
    } else {
        Err("bytes behind its content".to_owned())
    }
}
