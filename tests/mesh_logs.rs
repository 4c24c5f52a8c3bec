//! Logs and metrics between stand-ins of the users' platform.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, Conduct, Host, RouteSpec, StandinStore};
use rstest::rstest;
use users::{eventually, eventually_logs, fleet, host_spec, publish, WAIT_TIMEOUT};

const READ: &str = "GET /read/a HTTP/1.1";
const ORDER: &str = "POST /order/a HTTP/1.1";

fn routes() -> Vec<RouteSpec> {
    vec![
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ]
}

/// The collector that reads the daemon's output stalls while calls are
/// refused by the hundred. Each refusal writes lines; once the pipe is full, a
/// daemon that waited for the collector would answer nobody.
#[tokio::test]
async fn a_stalled_reader_of_the_log_holds_no_call_up() {
    let store = StandinStore::start().await;
    publish(&store, 1, &routes());
    let mut spec = host_spec(&store, "quoter", "a", "quotes");
    spec.stalled_log = true;
    let host = Host::start(spec).await;
    let served = eventually(WAIT_TIMEOUT, || async {
        let answer = host.call(READ, "warm", b"").await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert!(served);
    host.target.set_conduct(Conduct::Rejects);
    let mut client = Client::connect(host.calls).await.expect("a connection");
    let until = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("order-{number}");
        let started = Instant::now();
        client
            .send(ORDER, &call_headers(&id), b"sign")
            .await
            .expect("sent");
        let answer = client.answer().await.expect("an answer");
        assert_eq!(answer.status, 503);
        let took = started.elapsed();
        assert!(
            took < Duration::from_millis(500),
            "call {number} took {took:?}"
        );
    }
    assert!(number > 500, "{number} calls are too few to fill the pipe");
}

/// A call's ending, and the line that must tell it.
struct LineCase {
    conduct: Conduct,
    line: &'static str,
    parts: &'static [&'static str],
}

#[rstest]
#[case(LineCase { conduct: Conduct::LosesAnswers, line: ORDER, parts: &["outcome=unknown status=502 reason=answer_lost", "host=quoter attempts=1"] })]
#[case(LineCase { conduct: Conduct::Rejects, line: ORDER, parts: &["outcome=refused status=503 reason=target_rejected", "come_back_ms="] })]
#[case(LineCase { conduct: Conduct::Hangs, line: ORDER, parts: &["outcome=timed_out status=504 reason=time_up", "host=quoter attempts=1"] })]
#[case(LineCase { conduct: Conduct::Fails, line: READ, parts: &["outcome=target_failed status=500"] })]
#[case(LineCase { conduct: Conduct::Answers, line: READ, parts: &["outcome=answered status=200"] })]
#[case(LineCase { conduct: Conduct::Answers, line: "GET /none/ HTTP/1.1", parts: &["outcome=no_route status=404 reason=no_route"] })]
#[tokio::test]
async fn the_last_line_of_a_call_tells_its_ending(#[case] case: LineCase) {
    let fleet = fleet(
        &routes(),
        &[("caller", "a", "art"), ("quoter", "a", "quotes")],
    )
    .await;
    fleet.hosts[1].target.set_conduct(case.conduct);
    fleet.hosts[0]
        .call(case.line, "told", b"")
        .await
        .expect("an answer");
    assert!(eventually_logs(&fleet.hosts[0], "event=call_ended request=told").await);
    let log = fleet.hosts[0].log();
    let line = log
        .lines()
        .find(|line| line.contains("event=call_ended request=told"))
        .expect("the line");
    for part in case.parts {
        assert!(line.contains(part), "{part} is not in {line}");
    }
    assert!(
        line.contains("version=00000001") && line.contains("took_ms="),
        "{line}"
    );
}

#[tokio::test]
async fn the_metrics_count_what_was_served() {
    let fleet = fleet(
        &routes(),
        &[("caller", "a", "art"), ("quoter", "a", "quotes")],
    )
    .await;
    for number in 0..5 {
        fleet.hosts[0]
            .call(READ, &format!("m-{number}"), b"")
            .await
            .expect("an answer");
    }
    let text = fleet.hosts[0].metrics_text().await;
    for part in [
        r#"filbert_calls_total{outcome="answered",service="quotes",otel_scope_name="filbertd"} 5"#,
        r#"filbert_attempts_total{end="answered",service="quotes",otel_scope_name="filbertd"} 5"#,
        "filbert_call_duration_seconds_bucket",
        r#"filbert_version{otel_scope_name="filbertd"} 1"#,
        r#"filbert_links{otel_scope_name="filbertd"} 1"#,
        "process_resident_memory_bytes",
    ] {
        assert!(text.contains(part), "{part} is not in:\n{text}");
    }
    let text = fleet.hosts[1].metrics_text().await;
    assert!(
        text.contains(r#"filbert_gate_calls_total{verdict="ran",otel_scope_name="filbertd"} 5"#),
        "{text}"
    );
}
