//! What a stopping daemon still accepts: a call that can end before the process does. Any
//! other call is refused at once, with the time at which the next process takes calls.
//!
//! Load pattern: all hosts of a zone stop at the same time, so their clients have nowhere
//! else to go and call until the processes end. A call that is cut costs its client the
//! answer, and an order that is cut may have run; one that is refused comes back. The
//! clients miss the daemon for the time of a restart whenever the process ends, and the
//! fleet misses the slots of its target until then: calls that would only prolong the stop
//! are refused.

use std::time::{Duration, Instant};

use crate::run_times::RunTime;

/// Time from the end of a run until the client has the answer, on a host that is scheduled
/// once in a tenth of a second.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Room for runs that are longer than the mean, in mean deviations. About one in fifty runs
/// is longer if run times are exponential.
const RUN_TIME_DEVIATIONS: u32 = 4;
/// Minimum time between the closing of connections and the end of the process, so that calls
/// that are on their way are read.
pub const MIN_DRAIN_TIME: Duration = Duration::from_millis(300);
/// Usual time from the end of a process until the next one takes calls.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Minimum time before a retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(40);

/// Returns the time after which a call is usually answered. `time_left` is the longest time
/// that it may take, `run_time` its usual run time.
#[must_use]
pub fn usual_call_time(time_left: Duration, run_time: RunTime) -> Duration {
    let usual_run = run_time.mean + run_time.mean_deviation * RUN_TIME_DEVIATIONS;
    usual_run.min(time_left) + ANSWER_TIME
}

/// Returns by when a process is expected to end whose connections are closed from `now` on.
/// The calls that it has accepted are expected to end by `last_call_end`; it must end by
/// `exit_deadline`.
#[must_use]
pub fn drain_end(now: Instant, last_call_end: Option<Instant>, exit_deadline: Instant) -> Instant {
    let earliest = now + MIN_DRAIN_TIME;
    last_call_end
        .map_or(earliest, |last_call_end| last_call_end.max(earliest))
        .min(exit_deadline)
}

/// Returns the time after which the caller of a refused call should retry: when the next
/// process takes calls, spread over as much time again as a restart takes. Callers that
/// returned together would find a process that has just started. `jitter` is a random number
/// between 0 and 1.
#[must_use]
pub fn retry_after_restart(time_to_exit: Duration, time_left: Duration, jitter: f64) -> Duration {
    let spread = RESTART_TIME.mul_f64(jitter.clamp(0.0, 1.0));
    // Callers honour the advice only up to a third of their time.
    let longest = (time_left / 3).max(MIN_RETRY_AFTER);
    (time_to_exit + RESTART_TIME + spread).min(longest)
}
