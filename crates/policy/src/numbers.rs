//! Conversions between integers and floating-point numbers.

/// Converts a count to a floating-point number. A count above `u32::MAX` becomes
/// `u32::MAX`, which is far above any number of calls or daemons.
#[must_use]
pub fn count_to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Converts a number of bytes to a floating-point number. The result is exact up
/// to 2^53, far above the length of any answer.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn bytes_to_f64(bytes: u64) -> f64 {
    bytes as f64
}

/// Truncates a number to an integer; a negative number becomes 0.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn truncate_to_u64(number: f64) -> u64 {
    number as u64
}
