//! Tests how a daemon's metrics are read for `filbertctl mesh status`.

use filbert_ctl::mesh::DaemonMetrics;
use rstest::rstest;

/// Guards against a status that hides that a target is slow.
#[rstest]
#[case("filbert_target_pace{otel_scope_name=\"filbertd\"} 2.5\n", Some(2.5))]
#[case("", None)]
fn the_pace_of_a_target_is_shown(#[case] line: &str, #[case] pace: Option<f64>) {
    let text = format!("filbert_version{{}} 4\n{line}");
    let metrics = DaemonMetrics::parse(&text).expect("metrics");
    assert_eq!(metrics.pace, pace);
}

/// Guards against a status that hides that a target is limited or leaving.
#[rstest]
#[case("3.3", Some(3.3), "0", false)]
#[case("0", Some(0.0), "1", true)]
#[case("+Inf", None, "0", false)]
fn limits_and_leaving_targets_are_shown(
    #[case] limit_text: &str,
    #[case] limit: Option<f64>,
    #[case] leaving_text: &str,
    #[case] is_leaving: bool,
) {
    let scope = "{otel_scope_name=\"filbertd\"}";
    let text = format!(
        "filbert_version{scope} 4\nfilbert_target_call_limit{scope} {limit_text}\nfilbert_target_leaving{scope} {leaving_text}\n"
    );
    let metrics = DaemonMetrics::parse(&text).expect("metrics");
    assert_eq!(metrics.call_limit, limit);
    assert_eq!(metrics.is_leaving, is_leaving);
}
