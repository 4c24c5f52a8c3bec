//! Counts as numbers to reckon with.

/// A count as a floating-point number; counts beyond `u32` read as its limit,
/// which is far above any number of calls or daemons.
#[must_use]
pub fn count_of(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
