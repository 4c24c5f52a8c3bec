//! Tests the burn report on recorded counters.

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

/// Counters of one daemon at one time: the time, the daemon, then the answered, failed
/// and unknown calls of the service `quoting`.
type RecordedCounters = (u64, &'static str, u64, u64, u64);

fn sample((at, daemon, answered, failed, unknown): &RecordedCounters) -> CallSample {
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

/// Recorded counters, and the totals and burn rates expected from them.
struct BurnCase {
    recorded: &'static [RecordedCounters],
    calls: CallTotals,
    short: Option<f64>,
    long: Option<f64>,
}

#[rstest]
// 2 bad calls of 200 use exactly the budget of a 99% objective.
#[case::on_budget(BurnCase { recorded: &[(1_000, "a", 0, 0, 0), (1_100, "a", 198, 1, 1)], calls: CallTotals { good: 198, bad: 2 }, short: Some(1.0), long: Some(1.0) })]
// Bad calls in the long window but not in the short one: only the long rate is
// above 0.
#[case::only_long_window(BurnCase { recorded: &[(1_000, "a", 0, 0, 0), (1_100, "a", 90, 10, 0), (1_400, "a", 190, 10, 0)], calls: CallTotals { good: 190, bad: 10 }, short: Some(0.0), long: Some(5.0) })]
// Calls before the long window are not counted.
#[case::before_long_window(BurnCase { recorded: &[(100, "a", 0, 0, 0), (200, "a", 0, 50, 0), (1_000, "a", 100, 50, 0)], calls: CallTotals { good: 100, bad: 0 }, short: Some(0.0), long: Some(0.0) })]
// A daemon restarts, so its counters fall: all calls of the later sample are new.
#[case::restarted(BurnCase { recorded: &[(1_000, "a", 500, 0, 0), (1_060, "a", 99, 1, 0)], calls: CallTotals { good: 99, bad: 1 }, short: Some(1.0), long: Some(1.0) })]
// The calls of two daemons are added up. The first sample of the second daemon has
// earlier calls, which are not counted.
#[case::two_daemons(BurnCase { recorded: &[(1_000, "a", 0, 0, 0), (1_000, "b", 900, 90, 0), (1_050, "a", 50, 0, 0), (1_050, "b", 949, 91, 0)], calls: CallTotals { good: 99, bad: 1 }, short: Some(1.0), long: Some(1.0) })]
#[case::no_calls(BurnCase { recorded: &[(1_000, "a", 5, 0, 0), (1_050, "a", 5, 0, 0)], calls: CallTotals { good: 0, bad: 0 }, short: None, long: None })]
fn burn_rates_match_recorded_counters(#[case] case: BurnCase) {
    let samples: Vec<CallSample> = case.recorded.iter().map(sample).collect();
    let report = BurnReport::new(&samples, SETTINGS).expect("a report");
    let burn = &report.services[0];
    assert_eq!(burn.service, "quoting");
    assert_eq!(burn.calls, case.calls);
    let is_close = |found: Option<f64>, expected: Option<f64>| match (found, expected) {
        (Some(found), Some(expected)) => (found - expected).abs() < 1e-9,
        (found, expected) => found == expected,
    };
    assert!(is_close(burn.short, case.short), "short {:?}", burn.short);
    assert!(is_close(burn.long, case.long), "long {:?}", burn.long);
}

#[test]
fn text_and_plot_name_each_service() {
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
fn no_report_without_samples() {
    assert_eq!(BurnReport::new(&[], SETTINGS), None);
}
