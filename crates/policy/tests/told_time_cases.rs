//! What is remembered of the retry times that refused calls were told.

use std::time::{Duration, Instant};

use filbert_policy::identity::CallIdentity;
use filbert_policy::told_times::{RetryTiming, ToldTime, ToldTimes};
use rstest::rstest;

const RETRY_AFTER: Duration = Duration::from_millis(100);

fn call(number: u32) -> CallIdentity {
    format!("{number:032x}").parse().expect("an identity")
}

fn told(now: Instant) -> ToldTime {
    ToldTime {
        retry_at: now + RETRY_AFTER,
        soft_deadline: now + Duration::from_millis(250),
        deadline: now + Duration::from_secs(2),
    }
}

/// Guards against a call that passes for one that waited as told, or for an early one.
#[rstest]
#[case::early(1, 20, RetryTiming::TooEarly)]
#[case::rounded_to_milliseconds(1, 99, RetryTiming::AsTold)]
#[case::as_told(1, 100, RetryTiming::AsTold)]
#[case::afterwards(1, 900, RetryTiming::AsTold)]
#[case::much_later(1, 1_100, RetryTiming::New)]
#[case::another_call(2, 20, RetryTiming::New)]
fn a_retry_is_compared_with_the_time_told(
    #[case] number: u32,
    #[case] after_ms: u64,
    #[case] expected: RetryTiming,
) {
    let start = Instant::now();
    let mut told_times = ToldTimes::default();
    told_times.record(call(1), told(start), start);
    let now = start + Duration::from_millis(after_ms);
    assert_eq!(told_times.timing(call(number), now), expected);
    let remaining = told_times.remaining(call(number), now);
    assert_eq!(remaining.is_some(), expected == RetryTiming::TooEarly);
}

/// Guards against an equal call of another caller that inherits a soft deadline.
#[test]
fn only_a_retry_keeps_its_soft_deadline() {
    let now = Instant::now();
    let mut told_times = ToldTimes::default();
    let told = told(now);
    told_times.record(call(1), told, now);
    let soft_deadline = |deadline| told_times.soft_deadline(call(1), deadline, now);
    let same = told.deadline + Duration::from_millis(10);
    assert_eq!(soft_deadline(same), Some(told.soft_deadline));
    let other = told.deadline + Duration::from_millis(100);
    assert_eq!(soft_deadline(other), None);
}

/// Guards against memory that grows with the number of refused calls.
#[test]
fn the_oldest_calls_are_forgotten() {
    let now = Instant::now();
    let mut told_times = ToldTimes::default();
    for number in 0..10_000 {
        told_times.record(call(number), told(now), now);
    }
    let remembered =
        (0..10_000).filter(|number| told_times.timing(call(*number), now) != RetryTiming::New);
    assert_eq!(remembered.count(), 4_096);
    assert_eq!(told_times.timing(call(9_999), now), RetryTiming::TooEarly);
}
