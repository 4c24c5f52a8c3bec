//! When a refused caller should come back.

use std::time::Duration;

/// Shortest time a refused caller is sent away for: below it the return meets
/// the same queue.
const SHORTEST: Duration = Duration::from_millis(40);
/// Longest: a caller that waits longer has mostly lost the use of the answer.
const LONGEST: Duration = Duration::from_secs(3);

/// When to come back, given when the first target expects room and what is
/// left of the caller's time. `spread` is a random number in 0..1.
///
/// Load pattern: a burst is refused within milliseconds. With one time for
/// all, the whole burst returns at one moment and is refused again; spread
/// over the time in which room appears, its calls return about as fast as
/// targets take them.
#[must_use]
pub fn retry_after(room_in: Duration, left: Duration, spread: f64) -> Duration {
    let base = room_in.max(SHORTEST).min(LONGEST);
    let spread_over = base.mul_f64(0.6 + 0.8 * spread.clamp(0.0, 1.0));
    // A caller takes the advice only up to a third of its time; later advice
    // would be cut to that moment for all of them.
    spread_over.min((left / 3).max(SHORTEST))
}

/// Part of a usual run after which a call comes back that targets with free
/// slots rejected.
const REJECTED_RUN: f64 = 0.25;

/// When to come back after targets rejected a call though they had room for it;
/// `run` is the usual time of its run.
///
/// Load pattern: every target of a service sheds half of its calls, whatever
/// its load. When room is expected says nothing there: the next try is as good
/// as any, and each pause takes from the time to the call's aim. A part of a
/// run is enough for what a target sheds in a short jam.
#[must_use]
pub fn retry_after_shedding(run: Duration, left: Duration, spread: f64) -> Duration {
    retry_after(run.mul_f64(REJECTED_RUN), left, spread)
}
