//! Tests how a daemon's metrics are read for `filbertctl mesh status`.

use filbert_ctl::mesh::{BudgetShare, DaemonMetrics};
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

/// Guards against a status that hides what a daemon holds for clients, and whom it ended.
#[test]
fn the_budget_for_clients_is_shown() {
    let scope = "otel_scope_name=\"filbertd\"";
    let text = format!(
        "filbert_version{{{scope}}} 4\n\
         filbert_clients_connections{{{scope}}} 12\n\
         filbert_clients_max_connections{{{scope}}} 2048\n\
         filbert_clients_held_bytes{{{scope}}} 2500000\n\
         filbert_clients_max_held_bytes{{{scope}}} 33554432\n\
         filbert_clients_calls_ahead{{{scope}}} 3\n\
         filbert_clients_ended_total{{reason=\"memory\",{scope}}} 5\n\
         filbert_clients_ended_total{{reason=\"connections\",{scope}}} 2\n"
    );
    let budget = DaemonMetrics::parse(&text).expect("metrics").clients;
    let connections = BudgetShare {
        used: 12,
        limit: 2_048,
    };
    assert_eq!(budget.connections, connections);
    assert_eq!(budget.call_bytes.to_mb().to_string(), "2/33");
    assert_eq!(budget.calls_ahead, 3);
    assert_eq!(budget.ended["memory"], 5);
    assert_eq!(budget.ended_count(), 7);
}
