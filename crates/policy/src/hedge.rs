//! When a call that may be repeated is tried at a second target beside the
//! first.

use std::time::Duration;

use crate::run_times::RunTime;

/// Spreads beyond the mean after which a run is longer than nearly all of its
/// kind: some 3 in 100 where times have a long tail.
const RARE_SPREADS: u32 = 4;
/// How much longer the runs at a target take than when the call was placed
/// there, for it to count as having turned slow.
const SLOWED: f64 = 2.0;

/// A call at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeView {
    /// Time since it was sent there.
    pub passed: Duration,
    /// Time that it was expected to wait there for its turn.
    pub wait: Duration,
    /// Usual time of its run, on all targets.
    pub usual: RunTime,
    /// Mean time of the runs there when it was sent, in milliseconds.
    pub placed_turn_ms: f64,
    /// The same now.
    pub turn_ms: f64,
}

/// Whether to try the call elsewhere too; when to ask again if not.
///
/// Load pattern: two in five targets turn twelve times slower at one moment.
/// What was placed there just before waits until its deadline, or is late by
/// seconds, while others have room. A call that takes longer than nine in ten
/// of its kind, at a target whose other runs have slowed too, is tried elsewhere
/// while there is time to its aim; any call once it takes longer than nearly
/// all of its kind. Runs with a long tail at a sound target are left alone, so
/// that in quiet times three calls in a hundred are repeated at most.
///
/// # Errors
/// The time after which to ask again.
pub fn hedge_now(view: &HedgeView) -> Result<(), Duration> {
    let expected = view.wait + view.usual.most();
    let rare = view.wait + view.usual.mean + view.usual.spread * RARE_SPREADS;
    let has_slowed = view.turn_ms > view.placed_turn_ms * SLOWED;
    let due = if has_slowed { expected } else { rare };
    match due.checked_sub(view.passed) {
        None | Some(Duration::ZERO) => Ok(()),
        Some(left) => Err(left.min(expected.saturating_sub(view.passed).max(LOOK_EVERY))),
    }
}

/// Shortest time after which a call is looked at again: loads are told a few
/// times a second.
const LOOK_EVERY: Duration = Duration::from_millis(50);
