//! The time after which a refused caller should retry.

use std::time::{Duration, Instant};

use crate::return_schedule::ReturnSchedule;

/// Minimum time before a retry. An earlier retry would find the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(40);
/// Maximum time before a retry. A caller that waits longer can mostly no longer
/// use the answer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Returns the time after which a refused caller should retry, given the time
/// `room_in` until the first target expects capacity and the time left to the
/// caller. `jitter` is a random number between 0 and 1.
///
/// Load pattern: a burst of calls is refused within milliseconds. Without jitter
/// the whole burst returns at one moment and is refused again. With jitter its
/// calls return about as fast as targets can accept them.
#[must_use]
pub fn retry_after(room_in: Duration, time_left: Duration, jitter: f64) -> Duration {
    let base = room_in.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER);
    let jittered = base.mul_f64(0.6 + 0.8 * jitter.clamp(0.0, 1.0));
    // Callers honour the advice only up to a third of their time, and would all cut
    // a longer time to that same moment.
    jittered.min((time_left / 3).max(MIN_RETRY_AFTER))
}

/// Returns the time after which the caller of an organisation should retry, given the
/// time `room_in` until the first target expects capacity and the time left to the
/// caller. The time is reserved in the `schedule` of the service, of whose targets this
/// daemon's calls get `accepted_per_s` slots a second.
///
/// Load pattern: a service is short of slots for seconds. Random retry times around the
/// next free slot bring back more calls than there are slots, whatever their number.
pub fn retry_after_no_room(
    schedule: &mut ReturnSchedule,
    accepted_per_s: f64,
    room_in: Duration,
    time_left: Duration,
    now: Instant,
) -> Duration {
    let earliest = room_in.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER);
    let longest = (time_left / 3).max(MIN_RETRY_AFTER);
    schedule.reserve(now, accepted_per_s, earliest, longest)
}

/// Time before the retry of a call that targets with free slots rejected, in usual
/// run times of the call.
const SHEDDING_RETRY_RUNS: f64 = 0.25;

/// Returns the time after which a caller should retry if targets with free slots
/// rejected its call. `run` is the usual run time of the call.
///
/// Load pattern: every target of a service sheds half of its calls, whatever its
/// load. The expected wait for capacity is then meaningless: any later retry has
/// the same chance, and each pause uses up time before the call's soft deadline.
/// A fraction of a run time is enough if a target sheds calls only during a short
/// overload.
#[must_use]
pub fn retry_after_shedding(run: Duration, time_left: Duration, jitter: f64) -> Duration {
    retry_after(run.mul_f64(SHEDDING_RETRY_RUNS), time_left, jitter)
}
