//! Tests of body framing on the way to targets: what a target reads is what the client
//! sent, whatever the client's header fields say.

#[path = "support/users.rs"]
mod users;

use std::time::Duration;

use filbert_platform_standin::{Answer, Client, TargetBehaviour};
use rstest::rstest;
use users::{two_host_fleet, Fleet};

/// Longer than the bodies that are read whole before a call is sent.
const LONG_BODY_BYTES: usize = 96 * 1024;

/// How the client frames the body of its call.
#[derive(Clone, Copy)]
enum ClientFraming {
    Length,
    Chunked,
}

/// A header field of the client that looks like one on framing.
struct FramingLookalikeCase {
    field: (&'static str, &'static str),
    framing: ClientFraming,
    body_bytes: usize,
}

fn order_body(length: usize) -> Vec<u8> {
    let line = b"0123456789abcdef letters cut from aluminium\r\n";
    line.iter().copied().cycle().take(length).collect()
}

fn chunked(body: &[u8]) -> Vec<u8> {
    let mut encoded = Vec::new();
    for data in body.chunks(10_000) {
        encoded.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        encoded.extend_from_slice(data);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    encoded
}

/// Sends order `id` with `field` to the daemon of the host with index `host`.
async fn send_order(
    fleet: &Fleet,
    host: usize,
    id: &str,
    case: &FramingLookalikeCase,
) -> Option<Answer> {
    let body = order_body(case.body_bytes);
    let (name, value) = case.field;
    let (framing, bytes) = match case.framing {
        ClientFraming::Length => (format!("Content-Length: {}", body.len()), body),
        ClientFraming::Chunked => ("Transfer-Encoding: chunked".to_owned(), chunked(&body)),
    };
    let head = format!(
        "POST /order/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 4000\r\n{name}: {value}\r\n{framing}\r\n\r\n"
    );
    let mut client = Client::connect(fleet.hosts[host].calls)
        .await
        .expect("a connection");
    client.send_raw(head.as_bytes()).await.expect("sent");
    client.send_raw(&bytes).await.expect("sent");
    client.answer().await
}

/// Guards against a client's header field that changes the framing of a long body: the
/// target runs a changed body, and the end of it as a request of its own.
#[rstest]
#[case::name_with_a_suffix(FramingLookalikeCase { field: ("X-Original-Transfer-Encoding", "chunked"), framing: ClientFraming::Length, body_bytes: LONG_BODY_BYTES })]
#[case::value_with_the_whole_line(FramingLookalikeCase { field: ("X-Note", "Transfer-Encoding: chunked"), framing: ClientFraming::Length, body_bytes: LONG_BODY_BYTES })]
#[case::short_body(FramingLookalikeCase { field: ("X-Note", "Transfer-Encoding: chunked"), framing: ClientFraming::Length, body_bytes: 500 })]
#[case::length_beside_chunks(FramingLookalikeCase { field: ("X-Original-Content-Length", "5"), framing: ClientFraming::Chunked, body_bytes: LONG_BODY_BYTES })]
#[case::short_body_in_chunks(FramingLookalikeCase { field: ("X-Original-Content-Length", "5"), framing: ClientFraming::Chunked, body_bytes: 500 })]
#[tokio::test]
async fn a_header_field_of_the_client_does_not_change_the_framing(
    #[case] case: FramingLookalikeCase,
) {
    let fleet = two_host_fleet("a").await;
    // Host 0 sends the call over a link, host 1 to its own target.
    for host in [0, 1] {
        let id = format!("order-{host}");
        let answer = send_order(&fleet, host, &id, &case).await;
        assert_eq!(answer.map(|answer| answer.status), Some(200), "{id}");
    }
    let runs = fleet.hosts[1].target.runs();
    let ids: Vec<&str> = runs.iter().map(|run| run.id.as_str()).collect();
    assert_eq!(ids, ["order-0", "order-1"]);
    let body = order_body(case.body_bytes);
    assert!(
        runs.iter().all(|run| run.body == body),
        "a target ran a changed body"
    );
}

/// Guards against an answer whose end a client of HTTP/1.0 cannot find, as the connection
/// stays open behind a body without a length: it would take the next answer for its rest.
#[tokio::test]
async fn an_answer_without_a_length_closes_a_kept_connection_of_http_1_0() {
    let fleet = two_host_fleet("a").await;
    let target = &fleet.hosts[1].target;
    target.set_behaviour(TargetBehaviour::Chunked);
    target.set_body_bytes(LONG_BODY_BYTES);
    let mut client = fleet.connect(0).await;
    let head = "GET /read/a HTTP/1.0\r\nHost: shop.example\r\nRequest-Id: read-1\r\n\
                Deadline-Ms: 2000\r\nConnection: keep-alive\r\n\r\n";
    client.send_raw(head.as_bytes()).await.expect("sent");
    let answer = client.answer();
    let answer = tokio::time::timeout(Duration::from_secs(3), answer).await;
    let answer = answer.expect("the answer ends").expect("a whole answer");
    assert_eq!((answer.status, answer.body.len()), (200, LONG_BODY_BYTES));
}
