//! The burn report on recorded counters.

use std::collections::BTreeMap;
use std::time::Duration;

use filbert_ctl::report::burn::{BurnReport, BurnSettings};
use filbert_ctl::report::plot::burn_svg;
use filbert_ctl::report::sample::{CallSample, CallTotals};
use rstest::rstest;

const SETTINGS: BurnSettings = BurnSettings {
    objective: 0.99,
    short: Duration::from_secs(90),
    long: Duration::from_secs(630),
};

/// Counters of one daemon as `/metrics` gave them: time, then answered, failed
/// and unknown calls of the quoting service.
type Recorded = (u64, &'static str, u64, u64, u64);

fn sample((at, daemon, answered, failed, unknown): &Recorded) -> CallSample {
    let metrics = BTreeMap::from([
        (
            "calls{outcome=answered,service=quoting}".to_owned(),
            *answered,
        ),
        ("calls{service=quoting,outcome=failed}".to_owned(), *failed),
        (
            "calls{outcome=unknown,service=quoting}".to_owned(),
            *unknown,
        ),
        ("calls{outcome=refused,service=quoting}".to_owned(), 77),
        ("versions_applied".to_owned(), 3),
    ]);
    CallSample::from_metrics(*at, daemon, &metrics)
}

/// Recorded counters and the rates they must give.
struct BurnCase {
    recorded: &'static [Recorded],
    calls: CallTotals,
    short: Option<f64>,
    long: Option<f64>,
}

#[rstest]
// 2 bad of 200 is the whole budget of a 99% objective.
#[case::on_budget(BurnCase { recorded: &[(1_000, "a", 0, 0, 0), (1_100, "a", 198, 1, 1)], calls: CallTotals { good: 198, bad: 2 }, short: Some(1.0), long: Some(1.0) })]
// Bad calls long ago, none lately: only the long window burns.
#[case::over(BurnCase { recorded: &[(1_000, "a", 0, 0, 0), (1_100, "a", 90, 10, 0), (1_400, "a", 190, 10, 0)], calls: CallTotals { good: 190, bad: 10 }, short: Some(0.0), long: Some(5.0) })]
// Calls before the long window do not count.
#[case::forgotten(BurnCase { recorded: &[(100, "a", 0, 0, 0), (200, "a", 0, 50, 0), (1_000, "a", 100, 50, 0)], calls: CallTotals { good: 100, bad: 0 }, short: Some(0.0), long: Some(0.0) })]
// A daemon restarts: its counters fall, and what it has is new.
#[case::restarted(BurnCase { recorded: &[(1_000, "a", 500, 0, 0), (1_060, "a", 99, 1, 0)], calls: CallTotals { good: 99, bad: 1 }, short: Some(1.0), long: Some(1.0) })]
// Two daemons add up; the second is first seen with old counts.
#[case::two_daemons(BurnCase { recorded: &[(1_000, "a", 0, 0, 0), (1_000, "b", 900, 90, 0), (1_050, "a", 50, 0, 0), (1_050, "b", 949, 91, 0)], calls: CallTotals { good: 99, bad: 1 }, short: Some(1.0), long: Some(1.0) })]
#[case::no_calls(BurnCase { recorded: &[(1_000, "a", 5, 0, 0), (1_050, "a", 5, 0, 0)], calls: CallTotals { good: 0, bad: 0 }, short: None, long: None })]
fn burn_rates_follow_the_recorded_counters(#[case] case: BurnCase) {
    let samples: Vec<CallSample> = case.recorded.iter().map(sample).collect();
    let report = BurnReport::new(&samples, SETTINGS).expect("a report");
    let burn = &report.services[0];
    assert_eq!(burn.service, "quoting");
    assert_eq!(burn.calls, case.calls);
    let close = |found: Option<f64>, expected: Option<f64>| match (found, expected) {
        (Some(found), Some(expected)) => (found - expected).abs() < 1e-9,
        (found, expected) => found == expected,
    };
    assert!(close(burn.short, case.short), "short {:?}", burn.short);
    assert!(close(burn.long, case.long), "long {:?}", burn.long);
}

#[test]
fn report_names_each_service_in_text_and_plot() {
    let samples: Vec<CallSample> = [(1_000, "a", 0, 0, 0), (1_050, "a", 95, 5, 0)]
        .iter()
        .map(sample)
        .collect();
    let report = BurnReport::new(&samples, SETTINGS).expect("a report");
    let text = report.to_string();
    assert!(text.contains("quoting"), "{text}");
    assert!(text.contains("5.00"), "{text}");
    let svg = burn_svg(&report).expect("a plot");
    assert!(svg.starts_with("<svg"), "{svg}");
    assert!(svg.contains("quoting"), "{svg}");
}

#[test]
fn no_samples_give_no_report() {
    assert_eq!(BurnReport::new(&[], SETTINGS), None);
}
