//! What is made of the times for which callers say that they wait.

use std::time::Duration;

use filbert_policy::client_timeouts::ClientTimeouts;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Callers wait 4,250 to 5,000 ms each; in some seconds many are refused and
/// come back.
struct CallerCase {
    story: &'static str,
    /// Share of the calls that are second tries.
    again: f64,
    /// What passed since their first try, in ms.
    passed_ms: u64,
    /// What first tries may be taken to have lost, and second tries must, on
    /// average, in ms.
    first_at_most: f64,
    again_at_least: f64,
}

const CASES: [CallerCase; 3] = [
    CallerCase {
        story: "all are first tries",
        again: 0.0,
        passed_ms: 0,
        first_at_most: 40.0,
        again_at_least: 0.0,
    },
    CallerCase {
        story: "one in seven was refused",
        again: 0.15,
        passed_ms: 600,
        first_at_most: 40.0,
        again_at_least: 200.0,
    },
    CallerCase {
        story: "callers that are all alike",
        again: 0.15,
        passed_ms: 3_000,
        first_at_most: 40.0,
        again_at_least: 2_500.0,
    },
];

/// A lookup has 800 ms to its aim. Callers differ in patience by as much, and a
/// first try of a less patient one must not be taken for a second: gates would
/// turn it away as late though it has all its time.
#[test]
fn first_tries_keep_their_aim_and_second_tries_lose_theirs() {
    for case in CASES {
        let mut rng = StdRng::seed_from_u64(3);
        let mut record = ClientTimeouts::default();
        let (mut first, mut again) = ((0.0, 0.0), (0.0, 0.0));
        for _ in 0..4_000 {
            let client_timeouts = Duration::from_millis(rng.random_range(4_250..=5_000));
            let is_again = rng.random_bool(case.again);
            let lost = if is_again { case.passed_ms } else { 0 };
            let told = record.record(client_timeouts.saturating_sub(Duration::from_millis(lost)));
            let sum = if is_again { &mut again } else { &mut first };
            sum.0 += told.as_secs_f64() * 1_000.0;
            sum.1 += 1.0;
        }
        let first = first.0 / first.1;
        assert!(first <= case.first_at_most, "{}: {first}", case.story);
        if case.again > 0.0 {
            let again = again.0 / again.1;
            assert!(again >= case.again_at_least, "{}: {again}", case.story);
        }
    }
}

/// Callers that all wait alike: what is missing is what has passed.
#[test]
fn alike_callers_tell_exactly_what_has_passed() {
    let mut record = ClientTimeouts::default();
    for _ in 0..20 {
        assert_eq!(record.record(Duration::from_secs(1)), Duration::ZERO);
    }
    let told = record.record(Duration::from_millis(640));
    assert_eq!(told, Duration::from_millis(360));
}
