//! Counts as numbers to reckon with.

/// A count as a floating-point number; counts beyond `u32` read as its limit,
/// which is far above any number of calls or daemons.
#[must_use]
pub fn count_to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Bytes as a floating-point number: exact to 2^53, far above any answer.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn bytes_to_f64(bytes: u64) -> f64 {
    bytes as f64
}

/// The whole part of a number that is not negative; 0 of one that is.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn truncate_to_u64(number: f64) -> u64 {
    number as u64
}
