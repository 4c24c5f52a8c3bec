//! Tests of calls that wait for a slot while the target is replaced by one of another
//! service.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{Client, RouteSpec, TargetBehaviour};
use users::{eventually, fleet, WAIT_TIMEOUT};

const ORDER: &str = "POST /order/a HTTP/1.1";
/// Slots of a stand-in target.
const SLOTS: usize = 4;
const WAITING_CALLS: usize = 3;
/// Run time of the calls that hold the slots.
const RUN_TIME: Duration = Duration::from_millis(400);
/// Longest time until a call that can no longer run is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// First report of a target of another service at the same address.
const OTHER_REPORT: &str = r#"{"born":4000000000000,"addr":"127.0.0.1:1","info":{"service":"art","version":"v1","zone":"a","slots":4},"status":{"state":"ready","sequence":1,"cold_left":"0ms"}}"#;

/// Guards against a call that waited for a slot and is sent to whatever target is there by
/// then, though it belongs to another service.
#[tokio::test]
async fn a_waiting_call_does_not_run_at_a_target_of_another_service() {
    let routes = [
        RouteSpec::orders("/order/", "quotes"),
        RouteSpec::reads("/art/", "art"),
    ];
    let hosts = [("caller", "a", "art"), ("quoter", "a", "quotes")];
    let fleet = fleet(&routes, &hosts).await;
    let (caller, host) = (&fleet.hosts[0], &fleet.hosts[1]);
    host.target
        .set_behaviour(TargetBehaviour::RespondsAfter(RUN_TIME));
    let send = |id: String| {
        let calls = caller.calls;
        tokio::spawn(async move {
            let headers = [
                ("Host", "shop.example"),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "2500"),
            ];
            let answer = Client::once(calls, ORDER, &headers, b"sign").await;
            (answer.map(|answer| answer.status), Instant::now())
        })
    };
    let running: Vec<_> = (0..SLOTS)
        .map(|number| send(format!("running-{number}")))
        .collect();
    let is_full = || async { host.target.running() == SLOTS as u64 };
    assert!(eventually(WAIT_TIMEOUT, is_full).await);
    let waiting: Vec<_> = (0..WAITING_CALLS)
        .map(|number| send(format!("waiting-{number}")))
        .collect();
    let has_waiting = eventually(WAIT_TIMEOUT, || async {
        let metrics = host.metrics_text().await;
        let mut lines = metrics.lines();
        let gauge = lines.find(|line| line.starts_with("filbert_gate_waiting{"));
        gauge.is_some_and(|line| line.ends_with(&format!(" {WAITING_CALLS}")))
    })
    .await;
    assert!(has_waiting, "{}", host.log());
    let replaced_at = Instant::now();
    let line = "PUT /instances/i-other HTTP/1.1";
    let headers = [("Host", "host")];
    let report = Client::once(host.control, line, &headers, OTHER_REPORT.as_bytes()).await;
    assert_eq!(report.map(|answer| answer.status), Some(200));
    for call in waiting {
        let (status, answered_at) = call.await.expect("no panic");
        assert_eq!(status, Some(503), "refused as not run");
        let time = answered_at.saturating_duration_since(replaced_at);
        assert!(time < REFUSAL_TIME, "refused only after {time:?}");
    }
    for call in running {
        call.await.expect("no panic");
    }
    let arrivals = host.target.arrivals();
    let has_waited = |id: &str| id.starts_with("waiting-");
    assert!(!arrivals.iter().any(|arrival| has_waited(&arrival.id)));
}
