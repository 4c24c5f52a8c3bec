//! End-to-end tests of targets that state their pace.

#[path = "support/users.rs"]
mod users;

use std::time::Duration;

use filbert_platform_standin::{RouteSpec, TargetBehaviour};
use rstest::rstest;
use users::{eventually_logs, fleet, Fleet};

const CALLS: usize = 120;
const SLOW_RUN: Duration = Duration::from_millis(250);
/// Run time beyond the soft deadline and within the timeout of a call.
const LATE_RUN: Duration = Duration::from_millis(1_500);

/// Starts a caller and two targets, of which the first is slow and states `load`, and
/// sends the caller `CALLS` calls in turn.
async fn call_beside_a_slow_target(load: &str) -> Fleet {
    let hosts = [
        ("caller", "a", "art"),
        ("slow", "a", "quotes"),
        ("usual", "a", "quotes"),
    ];
    let fleet = fleet(&[RouteSpec::reads("/read/", "quotes")], &hosts).await;
    let slow = &fleet.hosts[1].target;
    slow.set_behaviour(TargetBehaviour::RespondsAfter(SLOW_RUN));
    slow.set_statements(&[&format!("Server-Load: {load}")]);
    for number in 0..CALLS {
        let answer = fleet.hosts[0]
            .call("GET /read/x HTTP/1.1", &format!("p-{number}"), b"")
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
    }
    fleet
}

/// Guards against a pace that is not seen in the log and the metrics of its target.
#[tokio::test]
async fn a_stated_pace_is_logged_and_measured() {
    let fleet = call_beside_a_slow_target("1,0,4,250").await;
    let host = &fleet.hosts[1];
    assert!(eventually_logs(host, "event=target_pace ").await);
    assert!(
        host.log().contains("before=1.00 after=2.50"),
        "{}",
        host.log()
    );
    assert!(host.metrics_text().await.contains("filbert_target_pace{"));
}

/// Guards against a figure that cannot be read and stops calls, or is ignored silently.
#[rstest]
#[tokio::test]
async fn an_unreadable_pace_is_logged_once(#[values("1,0,4,nan", "1,0,4,-1")] load: &str) {
    let fleet = call_beside_a_slow_target(load).await;
    let host = &fleet.hosts[1];
    assert!(eventually_logs(host, "event=target_pace_unreadable").await);
    assert_eq!(host.log().matches("event=target_pace").count(), 1);
}

/// Guards against lines about the pace of a target that states none.
#[tokio::test]
async fn a_target_without_a_pace_causes_no_line() {
    let fleet = call_beside_a_slow_target("1,0,4").await;
    assert!(!fleet.hosts[1].log().contains("event=target_pace"));
}

/// Guards against a late answer whose id does not lead to the slow period of its target.
#[tokio::test]
async fn a_late_answer_names_the_pace_of_its_target() {
    let hosts = [("caller", "a", "art"), ("slow", "a", "quotes")];
    let fleet = fleet(&[RouteSpec::reads("/read/", "quotes")], &hosts).await;
    let slow = &fleet.hosts[1].target;
    slow.set_behaviour(TargetBehaviour::RespondsAfter(LATE_RUN));
    slow.set_statements(&["Server-Load: 1,0,4,250"]);
    fleet.hosts[0]
        .call("GET /read/x HTTP/1.1", "late-1", b"")
        .await;
    assert!(eventually_logs(&fleet.hosts[1], "event=gate_ran request=late-1").await);
    let log = fleet.hosts[1].log();
    assert!(
        log.contains("verdict=answered_late reason=\"pace 2.50\""),
        "{log}"
    );
}
