//! Decoding of `bincode` values whose lengths cannot be trusted.
//!
//! A text or a list begins with its length, and the decoder allocates that much before it
//! looks for the bytes. A length that is not backed by bytes ended the process, or the
//! task that read it. The decoder therefore has a limit that follows from the number of
//! bytes at hand.

use serde::de::DeserializeOwned;

/// Largest ratio of the memory that the decoder counts for a value to the bytes that the
/// value takes: a number of eight bytes may be encoded in one.
const MAX_EXPANSION: usize = 8;
/// Sizes in bytes up to which values share a limit. The limits have to be constants.
const SHORT_BYTES: usize = 512;
const ROW_BYTES: usize = 64 * 1024;
const LIST_BYTES: usize = 1024 * 1024;
/// Maximum size in bytes of a value that is decoded. A version of a few thousand routes
/// fits.
pub const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;

/// Error of decoding bytes that are not a value of the expected type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

/// The most memory in bytes that decoding `length` bytes allocates at once, besides the
/// 1 MiB that `serde` reserves for a list of unknown length.
#[must_use]
pub fn allocation_limit(length: usize) -> usize {
    let limits = [SHORT_BYTES, ROW_BYTES, LIST_BYTES, MAX_VALUE_BYTES];
    let fitting = limits.into_iter().find(|limit| length <= *limit);
    fitting.unwrap_or(0) * MAX_EXPANSION
}

/// Decodes a value that takes up all of `bytes`.
///
/// # Errors
/// [`DecodeError`] if `bytes` are not a value of type `T`, have more bytes than it, or are
/// more than [`MAX_VALUE_BYTES`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let length = bytes.len();
    if length <= SHORT_BYTES {
        decode_limited::<T, { SHORT_BYTES * MAX_EXPANSION }>(bytes)
    } else if length <= ROW_BYTES {
        decode_limited::<T, { ROW_BYTES * MAX_EXPANSION }>(bytes)
    } else if length <= LIST_BYTES {
        decode_limited::<T, { LIST_BYTES * MAX_EXPANSION }>(bytes)
    } else if length <= MAX_VALUE_BYTES {
        decode_limited::<T, { MAX_VALUE_BYTES * MAX_EXPANSION }>(bytes)
    } else {
        Err(DecodeError)
    }
}

fn decode_limited<T: DeserializeOwned, const LIMIT: usize>(bytes: &[u8]) -> Result<T, DecodeError> {
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (value, used) =
        bincode::serde::decode_from_slice(bytes, config).map_err(|_| DecodeError)?;
    if used == bytes.len() {
        Ok(value)
    } else {
        Err(DecodeError)
    }
}
