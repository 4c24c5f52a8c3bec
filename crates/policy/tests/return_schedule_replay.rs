//! Simulated refusals whose callers are told retry times by one schedule.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use filbert_policy::return_schedule::ReturnSchedule;
use proptest::prelude::*;
use rstest::rstest;

const RATE_PER_S: f64 = 50.0;
const EARLIEST: Duration = Duration::from_millis(40);
const LONGEST: Duration = Duration::from_secs(1);

/// Guards against a burst of refused calls that returns as a burst: 400 calls are
/// refused within 40 ms, and 50 a second can be served.
#[test]
fn a_burst_returns_at_the_rate_of_the_capacity() {
    let start = Instant::now();
    let mut schedule = ReturnSchedule::default();
    let retries: Vec<Duration> = (0..400_u32)
        .map(|call| {
            let refused_after = Duration::from_micros(100) * call;
            let now = start + refused_after;
            refused_after + schedule.reserve(now, RATE_PER_S, EARLIEST, LONGEST)
        })
        .collect();
    for begin in (0..10).map(|tenth| Duration::from_millis(100) * tenth) {
        let window = begin..begin + Duration::from_millis(100);
        let returned = retries.iter().filter(|at| window.contains(at)).count();
        assert!(returned <= 5, "{returned} calls return from {begin:?} on");
    }
    let reserved = retries.iter().filter(|at| **at <= LONGEST).count();
    assert!((48..=50).contains(&reserved), "{reserved} calls can return");
}

/// Guards against one call with a late earliest retry that delays all calls after it.
#[test]
fn a_late_retry_leaves_the_time_before_it_to_others() {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    let late = schedule.reserve(now, RATE_PER_S, Duration::from_millis(900), LONGEST);
    let early = schedule.reserve(now, RATE_PER_S, EARLIEST, LONGEST);
    assert_eq!(late, Duration::from_millis(900));
    assert_eq!(early, EARLIEST);
}

/// Guards against a caller that is told to return sooner than it can be served, or that
/// takes the time of another caller which can wait.
#[test]
fn a_call_that_cannot_wait_reserves_nothing() {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    for _ in 0..10 {
        schedule.reserve(now, RATE_PER_S, EARLIEST, LONGEST);
    }
    let told = schedule.reserve(now, RATE_PER_S, EARLIEST, Duration::from_millis(100));
    assert!(told >= Duration::from_millis(240), "told {told:?}");
    let next = schedule.reserve(now, RATE_PER_S, EARLIEST, LONGEST);
    assert_eq!(next, Duration::from_millis(240));
}

/// Guards against a rate or a time that makes the schedule panic or stand still.
#[rstest]
#[case::not_a_number(f64::NAN, EARLIEST)]
#[case::infinite(f64::INFINITY, EARLIEST)]
#[case::zero(0.0, EARLIEST)]
#[case::negative(-5.0, EARLIEST)]
#[case::huge(1e300, EARLIEST)]
#[case::absurd_time(RATE_PER_S, Duration::MAX)]
fn bad_figures_are_bounded(#[case] rate_per_s: f64, #[case] earliest: Duration) {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    let first = schedule.reserve(now, rate_per_s, earliest, Duration::MAX);
    let second = schedule.reserve(now, rate_per_s, earliest, Duration::MAX);
    assert!(first < second, "{first:?}, {second:?}");
    assert!(second <= Duration::from_secs(62), "{second:?}");
}

proptest! {
    /// Guards against two calls that are told the same time.
    #[test]
    fn no_two_calls_are_told_the_same_time(
        refusals in prop::collection::vec((0_u64..30, 0_u64..200, 50_u64..1_400), 1..300),
        rate_per_s in 1.0_f64..800.0,
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut schedule = ReturnSchedule::default();
        let mut told = HashSet::new();
        for (pause_ms, earliest_ms, longest_ms) in refusals {
            now += Duration::from_millis(pause_ms);
            let earliest = Duration::from_millis(earliest_ms);
            let longest = Duration::from_millis(longest_ms);
            let retry_at = now + schedule.reserve(now, rate_per_s, earliest, longest);
            prop_assert!(retry_at >= now + earliest);
            prop_assert!(told.insert(retry_at), "{:?} told twice", retry_at - start);
        }
    }
}
