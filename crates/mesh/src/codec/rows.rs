//! Encoding of the values of the mesh's rows in the store: one `bincode` value without
//! trailing bytes.

use std::fmt;

use serde::{de::DeserializeOwned, Serialize};

use super::bounded;

/// Beginning of the rows of later forms; the number of the form follows. No value of
/// today's form begins so, and this daemon writes none.
const LATER_FORM_MARK: &[u8] = b"\xfffilbert";

/// Why a row of the mesh cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowError {
    /// A later release of this daemon wrote the row.
    LaterForm,
    /// Another program wrote the row, or it is broken; with what is wrong.
    Unreadable(&'static str),
}

impl fmt::Display for RowError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RowError::LaterForm => "written by a later release",
            RowError::Unreadable(reason) => reason,
        })
    }
}

impl std::error::Error for RowError {}

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
/// [`RowError`] if `value` is not a `T`. Bytes that another program wrote may decode by
/// chance; the caller must check the contents.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, RowError> {
    if value.starts_with(LATER_FORM_MARK) {
        return Err(RowError::LaterForm);
    }
    bounded::decode(value).map_err(|_| RowError::Unreadable("not the content of such a row"))
}
