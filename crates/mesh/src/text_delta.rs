//! Differences between two texts of the configuration.
//!
//! A version differs from the one before it in a route or two of thousands.
//! Told in full, a version of 1,600 routes is some 400 KB to every daemon,
//! half a second of a slow host's link; as a delta it is a few hundred bytes.

use std::collections::HashMap;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// Where the text of a version falls into pieces: behind each entry of a list.
const PIECE_END: u8 = b'}';
/// Seed of the checksum.
const SUM_SEED: u64 = 0;

/// A step of a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum DeltaStep {
    /// Bytes of the text before.
    Copy {
        /// The first.
        from: u32,
        /// How many.
        length: u32,
    },
    /// New bytes.
    Insert(Vec<u8>),
}

/// How one text becomes another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDelta {
    steps: Vec<DeltaStep>,
    /// Checksum of the text that comes out.
    sum: u64,
}

/// The text is not the one that the delta was made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrongBase;

impl TextDelta {
    /// The delta that makes `after` of `before`.
    #[must_use]
    pub fn between(before: &[u8], after: &[u8]) -> TextDelta {
        let mut places = HashMap::new();
        let mut at = 0;
        for piece in pieces(before) {
            places.entry(piece).or_insert(at);
            at += piece.len();
        }
        let mut steps: Vec<DeltaStep> = Vec::new();
        for piece in pieces(after) {
            let known = places.get(piece).and_then(|at| u32::try_from(*at).ok());
            match known {
                Some(from) => push_copy(&mut steps, from, piece.len()),
                None => push_insert(&mut steps, piece),
            }
        }
        TextDelta {
            steps,
            sum: checksum(after),
        }
    }

    /// Applies the delta.
    ///
    /// # Errors
    /// [`WrongBase`] when the outcome is not the text that was meant. Guards
    /// against a version put together from the wrong one.
    pub fn apply(&self, before: &[u8]) -> Result<Bytes, WrongBase> {
        let mut after = BytesMut::with_capacity(before.len() + 1024);
        for step in &self.steps {
            match step {
                DeltaStep::Copy { from, length } => {
                    let from = *from as usize;
                    let piece = before.get(from..from + *length as usize);
                    after.put_slice(piece.ok_or(WrongBase)?);
                }
                DeltaStep::Insert(bytes) => after.put_slice(bytes),
            }
        }
        if checksum(&after) == self.sum {
            Ok(after.freeze())
        } else {
            Err(WrongBase)
        }
    }

    /// Bytes that the delta carries, about.
    #[must_use]
    pub fn weight(&self) -> usize {
        /// Bytes of a copying step, about.
        const COPY: usize = 9;
        self.steps
            .iter()
            .map(|step| match step {
                DeltaStep::Copy { .. } => COPY,
                DeltaStep::Insert(bytes) => bytes.len(),
            })
            .sum()
    }
}

fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == PIECE_END)
}

fn push_copy(steps: &mut Vec<DeltaStep>, at: u32, piece: usize) {
    let added = u32::try_from(piece).unwrap_or(u32::MAX);
    if let Some(DeltaStep::Copy { from, length }) = steps.last_mut() {
        if *from + *length == at {
            *length += added;
            return;
        }
    }
    steps.push(DeltaStep::Copy {
        from: at,
        length: added,
    });
}

fn push_insert(steps: &mut Vec<DeltaStep>, piece: &[u8]) {
    if let Some(DeltaStep::Insert(bytes)) = steps.last_mut() {
        bytes.extend_from_slice(piece);
    } else {
        steps.push(DeltaStep::Insert(piece.to_vec()));
    }
}

fn checksum(text: &[u8]) -> u64 {
    XxHash64::oneshot(SUM_SEED, text)
}
