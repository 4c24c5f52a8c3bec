//! What a stopping daemon still accepts: a call that can end before the process does. Any
//! other call is refused at once, with the time at which the next process takes calls.
//!
//! Load pattern: all hosts of a zone stop at the same time, so their clients have nowhere
//! else to go and call until the processes end. A call that is cut costs its client the
//! answer, and an order that is cut may have run; one that is refused comes back.

use std::time::Duration;

use crate::run_times::RunTime;

/// Time from the end of a run until the client has the answer, on a host that is scheduled
/// once in a tenth of a second.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Room for runs that are longer than the mean, in mean deviations. About one in fifty runs
/// is longer if run times are exponential.
const RUN_TIME_DEVIATIONS: u32 = 4;
/// Usual time from the end of a process until the next one takes calls.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Minimum time before a retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(40);

/// Returns whether a call that arrives `time_to_exit` before the end of the process is
/// answered by then. `time_left` is the longest time that the call may take, `run_time` its
/// usual run time.
#[must_use]
pub fn can_end_before_exit(time_to_exit: Duration, time_left: Duration, run_time: RunTime) -> bool {
    let usual_time = run_time.mean + run_time.mean_deviation * RUN_TIME_DEVIATIONS;
    usual_time.min(time_left) + ANSWER_TIME <= time_to_exit
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
