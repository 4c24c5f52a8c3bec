//! Which calls a stopping daemon accepts, and when the callers of others return.

use std::time::{Duration, Instant};

use filbert_policy::planned_stop::{drain_end, retry_after_restart, usual_call_time};
use filbert_policy::run_times::RunTime;
use rstest::rstest;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A call of a daemon that stops.
struct StopCall {
    to_exit: Duration,
    time_left: Duration,
    mean: Duration,
    mean_deviation: Duration,
}

const STEADY: StopCall = StopCall {
    to_exit: ms(1_000),
    time_left: ms(4_000),
    mean: ms(220),
    mean_deviation: ms(10),
};

/// Guards against calls that a stopping daemon accepts and then cuts, and against refusals
/// of calls that it could still serve.
#[rstest]
#[case::ends_in_time(STEADY, true)]
#[case::too_long(StopCall { to_exit: ms(300), ..STEADY }, false)]
#[case::no_time_for_the_answer(StopCall { to_exit: ms(350), ..STEADY }, false)]
#[case::varying(StopCall { to_exit: ms(600), mean_deviation: ms(165), ..STEADY }, false)]
#[case::bounded_by_its_deadline(StopCall { time_left: ms(150), mean: ms(9_000), ..STEADY }, true)]
#[case::at_the_end(StopCall { to_exit: ms(0), mean: ms(0), mean_deviation: ms(0), ..STEADY }, false)]
fn calls_that_end_before_the_exit_are_accepted(#[case] call: StopCall, #[case] expected: bool) {
    let run_time = RunTime {
        mean: call.mean,
        mean_deviation: call.mean_deviation,
    };
    let usual_time = usual_call_time(call.time_left, run_time);
    assert_eq!(usual_time <= call.to_exit, expected, "{usual_time:?}");
}

/// Guards against a stop that clients who stay prolong to its deadline, and against one that
/// ends under calls that it has accepted.
#[test]
fn a_stop_ends_with_the_calls_accepted_before() {
    let now = Instant::now();
    let exit_deadline = now + ms(3_000);
    let end = |last_call_end| drain_end(now, last_call_end, exit_deadline) - now;
    assert_eq!(end(None), ms(300));
    assert_eq!(end(Some(now + ms(20))), ms(300));
    assert_eq!(end(Some(now + ms(900))), ms(900));
    assert_eq!(end(Some(now + ms(9_000))), ms(3_000));
}

/// Guards against callers that return before the next process takes calls, or all at once.
#[test]
fn refused_callers_return_spread_behind_the_restart() {
    let early = retry_after_restart(ms(300), ms(9_000), 0.0);
    let late = retry_after_restart(ms(300), ms(9_000), 1.0);
    assert!(
        early >= ms(800) && late >= early + ms(400),
        "{early:?} {late:?}"
    );
    assert_eq!(retry_after_restart(ms(300), ms(600), 0.5), ms(200));
    assert!(retry_after_restart(ms(300), ms(0), 0.5) > ms(0));
}
