//! What run times by kind of call say of a target.

use std::time::Duration;

use filbert_policy::run_times::{RunTime, RunTimeEstimator};
use rstest::rstest;

const LOOKUP: Duration = Duration::from_millis(30);
const REPORT: Duration = Duration::from_millis(480);

/// What a kind usually takes.
fn usual(mean: Duration) -> RunTime {
    RunTime::exponential(mean)
}

fn is_near(time: Duration, wanted: Duration) -> bool {
    (time.as_secs_f64() / wanted.as_secs_f64() - 1.0).abs() < 0.15
}

/// A target runs lookups beside reports sixteen times as long. By one mean for
/// all a lookup with 350 ms left looks hopeless, is refused, and the run that
/// waits for it fails.
#[test]
fn a_slow_kind_does_not_make_a_short_one_look_slow() {
    let mut times = RunTimeEstimator::default();
    for _ in 0..50 {
        times.record("lookup", Some(usual(LOOKUP)), LOOKUP);
        times.record("report", Some(usual(REPORT)), REPORT);
    }
    let lookup = times.expect("lookup", Some(usual(LOOKUP))).mean;
    let report = times.expect("report", Some(usual(REPORT))).mean;
    assert!(is_near(lookup, LOOKUP), "{lookup:?}");
    assert!(is_near(report, REPORT), "{report:?}");
    assert!(is_near(times.mean(), (LOOKUP + REPORT) / 2));
}

/// One kind that a target did not run yet.
struct NewKindCase {
    story: &'static str,
    /// How much slower than usual its other runs were.
    slowdown: f64,
    usual: Option<RunTime>,
    expected: Duration,
}

#[rstest]
#[case(NewKindCase {
    story: "judged by what it usually takes",
    slowdown: 1.0, usual: Some(usual(LOOKUP)), expected: LOOKUP,
})]
#[case(NewKindCase {
    story: "at a target that is three times as slow",
    slowdown: 3.0, usual: Some(usual(LOOKUP)), expected: Duration::from_millis(90),
})]
#[case(NewKindCase {
    story: "by the other runs where nothing is known",
    slowdown: 1.0, usual: None, expected: REPORT,
})]
fn a_new_kind_is_judged_by_pace(#[case] case: NewKindCase) {
    let mut times = RunTimeEstimator::default();
    for _ in 0..120 {
        times.record("report", Some(usual(REPORT)), REPORT.mul_f64(case.slowdown));
    }
    let mean = times.expect("lookup", case.usual).mean;
    assert!(is_near(mean, case.expected), "{}: {mean:?}", case.story);
}

/// Runs that take about the same each leave more time to wait than such with
/// a long tail: nine of ten must lie within what is reckoned with.
#[rstest]
#[case("about the same", &[110, 115, 120, 125, 130], 1.2)]
#[case("a long tail", &[20, 40, 60, 90, 390], 3.2)]
fn most_runs_end_within_their_time(
    #[case] story: &str,
    #[case] millis: &[u64],
    #[case] at_most: f64,
) {
    let mut times = RunTimeEstimator::default();
    let runs: Vec<Duration> = (0..40)
        .flat_map(|_| millis.iter().map(|ms| Duration::from_millis(*ms)))
        .collect();
    for run in &runs {
        times.record("kind", None, *run);
    }
    let time = times.expect("kind", None);
    let within = runs.iter().filter(|run| **run <= time.most()).count();
    assert!(within * 10 >= runs.len() * 8, "{story}: {within}");
    assert!(
        time.most() <= time.mean.mul_f64(at_most),
        "{story}: {time:?}"
    );
}

/// Routes come and go for months. What is remembered must not grow with them,
/// and a kind in use must not be forgotten for one that is not.
#[test]
fn forgotten_kinds_make_room() {
    let mut times = RunTimeEstimator::default();
    for number in 0..2_000 {
        times.record("report", Some(usual(REPORT)), REPORT);
        times.record(&format!("kind-{number}"), Some(usual(LOOKUP)), LOOKUP);
    }
    assert!(is_near(times.expect("report", None).mean, REPORT));
    let forgotten = times.expect("kind-0", None).mean;
    assert!(!is_near(forgotten, LOOKUP), "{forgotten:?}");
}
