//! Run time estimates by kind of call.

use std::time::Duration;

use filbert_policy::run_times::{RunTime, RunTimeEstimator};
use rstest::rstest;

const LOOKUP: Duration = Duration::from_millis(30);
const REPORT: Duration = Duration::from_millis(480);

/// Usual run time of a kind, reported by the caller.
fn usual(mean: Duration) -> RunTime {
    RunTime::exponential(mean)
}

fn is_close(time: Duration, expected: Duration) -> bool {
    (time.as_secs_f64() / expected.as_secs_f64() - 1.0).abs() < 0.15
}

/// A target runs lookups beside reports that take sixteen times as long. With one
/// mean for all kinds, a lookup with 350 ms left would be declined as too late, and
/// the call that depends on it would fail.
#[test]
fn slow_runs_of_one_kind_do_not_raise_the_estimate_of_another() {
    let mut estimator = RunTimeEstimator::default();
    for _ in 0..50 {
        estimator.record("lookup", Some(usual(LOOKUP)), LOOKUP);
        estimator.record("report", Some(usual(REPORT)), REPORT);
    }
    let lookup = estimator.expect("lookup", Some(usual(LOOKUP))).mean;
    let report = estimator.expect("report", Some(usual(REPORT))).mean;
    assert!(is_close(lookup, LOOKUP), "{lookup:?}");
    assert!(is_close(report, REPORT), "{report:?}");
    assert!(is_close(estimator.mean(), (LOOKUP + REPORT) / 2));
}

/// A kind that the target has not run yet.
struct NewKindCase {
    description: &'static str,
    /// Ratio of the target's other run times to the usual ones.
    slowdown: f64,
    usual: Option<RunTime>,
    expected: Duration,
}

#[rstest]
#[case(NewKindCase {
    description: "estimated from its usual run time",
    slowdown: 1.0, usual: Some(usual(LOOKUP)), expected: LOOKUP,
})]
#[case(NewKindCase {
    description: "estimated for a target that is three times as slow",
    slowdown: 3.0, usual: Some(usual(LOOKUP)), expected: Duration::from_millis(90),
})]
#[case(NewKindCase {
    description: "estimated from the other runs if its usual run time is unknown",
    slowdown: 1.0, usual: None, expected: REPORT,
})]
fn a_new_kind_is_estimated_by_the_slowdown_of_the_target(#[case] case: NewKindCase) {
    let mut estimator = RunTimeEstimator::default();
    for _ in 0..120 {
        estimator.record("report", Some(usual(REPORT)), REPORT.mul_f64(case.slowdown));
    }
    let mean = estimator.expect("lookup", case.usual).mean;
    assert!(
        is_close(mean, case.expected),
        "{}: {mean:?}",
        case.description
    );
}

/// The 90th percentile must cover at least eight in ten runs, both for even and for
/// long-tailed run times, but must not exceed a given ratio to the mean. An estimate
/// that is too high would leave calls less time to wait.
#[rstest]
#[case("about the same", &[110, 115, 120, 125, 130], 1.2)]
#[case("a long tail", &[20, 40, 60, 90, 390], 3.2)]
fn most_runs_end_within_the_90th_percentile(
    #[case] description: &str,
    #[case] millis: &[u64],
    #[case] max_p90_ratio: f64,
) {
    let mut estimator = RunTimeEstimator::default();
    let runs: Vec<Duration> = (0..40)
        .flat_map(|_| millis.iter().map(|ms| Duration::from_millis(*ms)))
        .collect();
    for run in &runs {
        estimator.record("kind", None, *run);
    }
    let time = estimator.expect("kind", None);
    let within = runs.iter().filter(|run| **run <= time.p90()).count();
    assert!(within * 10 >= runs.len() * 8, "{description}: {within}");
    assert!(
        time.p90() <= time.mean.mul_f64(max_p90_ratio),
        "{description}: {time:?}"
    );
}

/// Routes are added and removed for months. The number of recorded kinds must stay
/// bounded, and a kind in use must not be evicted for one that is not.
#[test]
fn the_least_recent_kinds_are_evicted() {
    let mut estimator = RunTimeEstimator::default();
    for number in 0..2_000 {
        estimator.record("report", Some(usual(REPORT)), REPORT);
        estimator.record(&format!("kind-{number}"), Some(usual(LOOKUP)), LOOKUP);
    }
    assert!(is_close(estimator.expect("report", None).mean, REPORT));
    let evicted = estimator.expect("kind-0", None).mean;
    assert!(!is_close(evicted, LOOKUP), "{evicted:?}");
}
