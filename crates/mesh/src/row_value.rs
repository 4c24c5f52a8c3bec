//! Encoding of the values of the mesh's rows in the store: one `bincode` value
//! without trailing bytes.

use serde::{de::DeserializeOwned, Serialize};

/// Encodes `content` as the value of a row.
///
/// # Panics
/// Never: rows hold only plain data, which bincode always encodes.
#[must_use]
pub fn encode<T: Serialize>(content: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(content, bincode::config::standard())
        .expect("a row of plain data always encodes")
}

/// Decodes the value of a row.
///
/// # Errors
/// The reason as a text when `value` does not decode as `T` or has trailing
/// bytes. Bytes that another program wrote may decode by chance; the caller
/// must check the contents.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    let (content, used) = bincode::serde::decode_from_slice(value, bincode::config::standard())
        .map_err(|error| error.to_string())?;
    if used == value.len() {
        Ok(content)
    } else {
        Err("trailing bytes after the content".to_owned())
    }
}
