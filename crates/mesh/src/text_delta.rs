//! Binary deltas between two texts of the configuration.
//!
//! Successive versions usually differ in one or two of thousands of routes. The
//! whole text of a version with 1,600 routes is about 400 KB for every daemon,
//! half a second of a slow host's link; as a delta it takes a few hundred
//! bytes.

use std::collections::HashMap;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// Byte that ends a chunk of the text. Each entry of a JSON list ends with it.
const CHUNK_END: u8 = b'}';
/// Maximum size in bytes of the resulting text, about ten times the configuration of the
/// largest mesh that is supported. A few copies of a long text may add up to any size.
const MAX_TEXT_BYTES: usize = 64 * 1024 * 1024;
/// Seed of the checksum of the resulting text.
const CHECKSUM_SEED: u64 = 0;

/// One instruction of a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum DeltaOp {
    /// Copies bytes from the base text.
    Copy {
        /// Offset of the first byte.
        from: u32,
        /// Number of bytes.
        length: u32,
    },
    /// Appends these bytes.
    Insert(Vec<u8>),
}

/// The instructions that turn a base text into a new text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDelta {
    ops: Vec<DeltaOp>,
    /// Checksum of the new text.
    checksum: u64,
}

/// The delta was made for another base text than the one it was applied to, or its result
/// is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrongBase;

impl TextDelta {
    /// Computes the delta that turns `before` into `after`.
    #[must_use]
    pub fn between(before: &[u8], after: &[u8]) -> TextDelta {
        let mut offsets = HashMap::new();
        let mut offset = 0;
        for chunk in chunks(before) {
            offsets.entry(chunk).or_insert(offset);
            offset += chunk.len();
        }
        let mut ops: Vec<DeltaOp> = Vec::new();
        for chunk in chunks(after) {
            let known = offsets
                .get(chunk)
                .and_then(|offset| u32::try_from(*offset).ok());
            match known {
                Some(from) => push_copy(&mut ops, from, chunk.len()),
                None => push_insert(&mut ops, chunk),
            }
        }
        TextDelta {
            ops,
            checksum: checksum(after),
        }
    }

    /// Applies the delta to `before` and returns the new text.
    ///
    /// # Errors
    /// [`WrongBase`] when the result does not have the expected checksum, so
    /// that a delta applied to the wrong text cannot yield a version that
    /// nobody published.
    pub fn apply(&self, before: &[u8]) -> Result<Bytes, WrongBase> {
        let mut after = BytesMut::with_capacity(before.len() + 1024);
        for op in &self.ops {
            let chunk = match op {
                DeltaOp::Copy { from, length } => {
                    let from = *from as usize;
                    before.get(from..from + *length as usize)
                }
                DeltaOp::Insert(bytes) => Some(&bytes[..]),
            };
            let chunk = chunk.ok_or(WrongBase)?;
            if after.len() + chunk.len() > MAX_TEXT_BYTES {
                return Err(WrongBase);
            }
            after.put_slice(chunk);
        }
        if checksum(&after) == self.checksum {
            Ok(after.freeze())
        } else {
            Err(WrongBase)
        }
    }

    /// Approximate size of the encoded delta, in bytes.
    #[must_use]
    pub fn approx_size(&self) -> usize {
        /// Approximate size of an encoded copy instruction, in bytes.
        const COPY_OP_BYTES: usize = 9;
        self.ops
            .iter()
            .map(|op| match op {
                DeltaOp::Copy { .. } => COPY_OP_BYTES,
                DeltaOp::Insert(bytes) => bytes.len(),
            })
            .sum()
    }
}

fn chunks(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == CHUNK_END)
}

fn push_copy(ops: &mut Vec<DeltaOp>, offset: u32, chunk_bytes: usize) {
    let chunk_length = u32::try_from(chunk_bytes).unwrap_or(u32::MAX);
    if let Some(DeltaOp::Copy { from, length }) = ops.last_mut() {
        if *from + *length == offset {
            *length += chunk_length;
            return;
        }
    }
    ops.push(DeltaOp::Copy {
        from: offset,
        length: chunk_length,
    });
}

fn push_insert(ops: &mut Vec<DeltaOp>, chunk: &[u8]) {
    if let Some(DeltaOp::Insert(bytes)) = ops.last_mut() {
        bytes.extend_from_slice(chunk);
    } else {
        ops.push(DeltaOp::Insert(chunk.to_vec()));
    }
}

fn checksum(text: &[u8]) -> u64 {
    XxHash64::oneshot(CHECKSUM_SEED, text)
}
