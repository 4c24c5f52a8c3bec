//! Tests of the mesh daemon's logs and metrics, as processes with stand-ins for the rest
//! of the platform.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, Host, RouteSpec, StandinStore, TargetBehaviour};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use users::{eventually, eventually_logs, fleet, host_spec, publish, two_host_fleet, WAIT_TIMEOUT};

const READ: &str = "GET /read/a HTTP/1.1";
const ORDER: &str = "POST /order/a HTTP/1.1";

fn routes() -> Vec<RouteSpec> {
    vec![
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ]
}

/// The collector that reads the daemon's output stalls while hundreds of calls are
/// refused, and each refusal writes log lines. If the daemon waited for the collector once
/// the pipe is full, it would answer no call.
#[tokio::test]
async fn a_stalled_log_reader_does_not_delay_calls() {
    let store = StandinStore::start().await;
    publish(&store, 1, &routes());
    let mut spec = host_spec(&store, "quoter", "a", "quotes");
    spec.has_unread_stdout = true;
    let host = Host::start(spec).await;
    let is_serving = eventually(WAIT_TIMEOUT, || async {
        let answer = host.call(READ, "warm", b"").await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert!(is_serving);
    host.target.set_behaviour(TargetBehaviour::Rejects);
    let mut client = Client::connect(host.calls).await.expect("a connection");
    let deadline = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        let id = format!("order-{number}");
        let started = Instant::now();
        client
            .send(ORDER, &call_headers(&id), b"sign")
            .await
            .expect("sent");
        let answer = client.answer().await.expect("an answer");
        assert_eq!(answer.status, 503);
        let elapsed = started.elapsed();
        assert!(
            elapsed < Duration::from_millis(500),
            "call {number} took {elapsed:?}"
        );
    }
    assert!(number > 500, "{number} calls are too few to fill the pipe");
}

/// A call, and what its `event=call_ended` log line must contain.
struct CallEndedCase {
    behaviour: TargetBehaviour,
    request_line: &'static str,
    expected_parts: &'static [&'static str],
}

#[rstest]
#[case(CallEndedCase { behaviour: TargetBehaviour::ClosesWithoutResponse, request_line: ORDER, expected_parts: &["outcome=unknown status=502 reason=answer_lost", "host=quoter attempts=1"] })]
#[case(CallEndedCase { behaviour: TargetBehaviour::Rejects, request_line: ORDER, expected_parts: &["outcome=refused status=503 reason=target_rejected", "come_back_ms="] })]
#[case(CallEndedCase { behaviour: TargetBehaviour::Hangs, request_line: ORDER, expected_parts: &["outcome=timed_out status=504 reason=time_up", "host=quoter attempts=1"] })]
#[case(CallEndedCase { behaviour: TargetBehaviour::Fails, request_line: READ, expected_parts: &["outcome=target_failed status=500"] })]
#[case(CallEndedCase { behaviour: TargetBehaviour::Responds, request_line: READ, expected_parts: &["outcome=answered status=200"] })]
#[case(CallEndedCase { behaviour: TargetBehaviour::Responds, request_line: "GET /none/ HTTP/1.1", expected_parts: &["outcome=no_route status=404 reason=no_route"] })]
#[tokio::test]
async fn call_ended_line_states_how_the_call_ended(#[case] case: CallEndedCase) {
    let fleet = fleet(
        &routes(),
        &[("caller", "a", "art"), ("quoter", "a", "quotes")],
    )
    .await;
    fleet.hosts[1].target.set_behaviour(case.behaviour);
    fleet.hosts[0]
        .call(case.request_line, "told", b"")
        .await
        .expect("an answer");
    assert!(eventually_logs(&fleet.hosts[0], "event=call_ended request=told").await);
    let log = fleet.hosts[0].log();
    let line = log
        .lines()
        .find(|line| line.contains("event=call_ended request=told"))
        .expect("the line");
    for part in case.expected_parts {
        assert!(line.contains(part), "{part} is not in {line}");
    }
    assert!(
        line.contains("version=00000001") && line.contains("took_ms="),
        "{line}"
    );
}

#[tokio::test]
async fn metrics_count_calls_attempts_and_runs() {
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

/// Guards against an answer that is cut without a word on why: its client left, its target
/// broke it off, or its deadline passed.
#[rstest]
#[case::client_left("client_left", TargetBehaviour::Responds)]
#[case::broken_off("broken_off", TargetBehaviour::TruncatesResponse)]
#[case::time_up("time_up", TargetBehaviour::FallsSilent)]
#[tokio::test]
async fn a_cut_answer_states_its_reason(#[case] reason: &str, #[case] behaviour: TargetBehaviour) {
    // More than the buffers between a daemon and a client that reads nothing.
    const ANSWER_BYTES: usize = 30_000_000;
    let fleet = two_host_fleet("a").await;
    let target = &fleet.hosts[1].target;
    target.set_body_bytes(ANSWER_BYTES);
    target.set_behaviour(behaviour);
    // Beside the target, no other host ends the answer first.
    let host = &fleet.hosts[1];
    let half_closed = if reason == "client_left" {
        Some(leave_inside_answer(host).await)
    } else {
        let answer = host.call(READ, "cut-1", b"").await;
        assert!(answer.is_none(), "a whole answer");
        None
    };
    let line = format!("event=answer_cut request=cut-1 reason={reason}");
    assert!(eventually_logs(host, &line).await);
    drop(half_closed);
    let metric =
        format!(r#"filbert_answers_cut_total{{reason="{reason}",otel_scope_name="filbertd"}} 1"#);
    let metrics = host.metrics_text().await;
    assert!(metrics.contains(&metric), "{metrics}");
}

/// Sends call `cut-1` and closes its side as soon as the answer has begun, so that the reader
/// of the connection notices before the writer does.
async fn leave_inside_answer(host: &Host) -> TcpStream {
    let mut stream = TcpStream::connect(host.calls).await.expect("connected");
    let call =
        format!("{READ}\r\nHost: shop.example\r\nRequest-Id: cut-1\r\nDeadline-Ms: 2000\r\n\r\n");
    stream.write_all(call.as_bytes()).await.expect("sent");
    stream.read_u8().await.expect("the beginning of an answer");
    stream.shutdown().await.expect("closed");
    stream
}
