//! Estimates of the time since the first try from the timeouts of callers.

use std::time::Duration;

use filbert_policy::client_timeouts::ClientTimeouts;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Callers with timeouts of 4,250 to 5,000 ms, of which some were refused and retry.
struct CallerCase {
    description: &'static str,
    /// Share of the calls that are retries.
    retry_share: f64,
    /// Time since the first try of a retry, in ms.
    since_first_try_ms: u64,
    /// Maximum mean estimate for first tries, in ms.
    max_first_try_mean: f64,
    /// Minimum mean estimate for retries, in ms.
    min_retry_mean: f64,
}

const CASES: [CallerCase; 3] = [
    CallerCase {
        description: "all are first tries",
        retry_share: 0.0,
        since_first_try_ms: 0,
        max_first_try_mean: 40.0,
        min_retry_mean: 0.0,
    },
    CallerCase {
        description: "one in seven was refused and retries after 0.6 s",
        retry_share: 0.15,
        since_first_try_ms: 600,
        max_first_try_mean: 40.0,
        min_retry_mean: 200.0,
    },
    CallerCase {
        description: "one in seven was refused and retries after 3 s",
        retry_share: 0.15,
        since_first_try_ms: 3_000,
        max_first_try_mean: 40.0,
        min_retry_mean: 2_500.0,
    },
];

/// The timeouts of callers differ by 750 ms, while a lookup has 800 ms to its soft
/// deadline. A first try with a short timeout must not be taken for a retry:
/// admission control would decline it as late although it has all its time.
#[test]
fn only_retries_lose_time_to_their_soft_deadline() {
    for case in CASES {
        let mut rng = StdRng::seed_from_u64(3);
        let mut timeouts = ClientTimeouts::default();
        let (mut first, mut retries) = ((0.0, 0.0), (0.0, 0.0));
        for _ in 0..4_000 {
            let timeout = Duration::from_millis(rng.random_range(4_250..=5_000));
            let is_retry = rng.random_bool(case.retry_share);
            let elapsed_ms = if is_retry { case.since_first_try_ms } else { 0 };
            let estimate =
                timeouts.record(timeout.saturating_sub(Duration::from_millis(elapsed_ms)));
            let sum = if is_retry { &mut retries } else { &mut first };
            sum.0 += estimate.as_secs_f64() * 1_000.0;
            sum.1 += 1.0;
        }
        let first = first.0 / first.1;
        assert!(
            first <= case.max_first_try_mean,
            "{}: {first}",
            case.description
        );
        if case.retry_share > 0.0 {
            let retries = retries.0 / retries.1;
            assert!(
                retries >= case.min_retry_mean,
                "{}: {retries}",
                case.description
            );
        }
    }
}

/// If all callers have the same timeout, the estimate must equal the difference to
/// that timeout.
#[test]
fn equal_timeouts_give_the_exact_time_since_the_first_try() {
    let mut timeouts = ClientTimeouts::default();
    for _ in 0..20 {
        assert_eq!(timeouts.record(Duration::from_secs(1)), Duration::ZERO);
    }
    let estimate = timeouts.record(Duration::from_millis(640));
    assert_eq!(estimate, Duration::from_millis(360));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against an estimate before admission that differs from the one that is
    /// recorded after it.
    #[test]
    fn an_estimate_equals_what_is_recorded(
        recorded in prop::collection::vec(4_250_u64..5_000, 0..600),
        next in 4_000_u64..5_200,
    ) {
        let mut timeouts = ClientTimeouts::default();
        for timeout in recorded {
            timeouts.record(Duration::from_millis(timeout));
        }
        let next = Duration::from_millis(next);
        let estimate = timeouts.estimate(next);
        prop_assert_eq!(estimate, timeouts.record(next));
    }
}
