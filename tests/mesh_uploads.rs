//! Tests of clients that leave, or fall silent, while the body of their call is read.

#[path = "support/users.rs"]
mod users;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::http::reset_on_drop;
use filbert_platform_standin::{Client, TargetBehaviour};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use users::{eventually, two_host_fleet, WAIT_TIMEOUT};

const ORDER: &str = "POST /order/a HTTP/1.1";
/// Length of a body that is streamed: within the configuration's limit of 1 MiB, and more
/// than a daemon reads ahead.
const BODY_BYTES: usize = 1_000_000;
/// Slots of a stand-in target.
const SLOTS: usize = 4;
/// Time for which a client sends before it leaves, and time after which a slot is free.
const SEND_TIME: Duration = Duration::from_millis(80);
const RUN_TIME: Duration = Duration::from_millis(450);
/// Timeout of the routes, and time that the clients wait.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a call's deadline within which it has its final answer.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Sends an order with a long body for [`SEND_TIME`], then resets the connection. Not all of
/// the body is read while the call waits for a slot.
async fn send_order_and_leave(calls: SocketAddr, id: &str) {
    let mut stream = TcpStream::connect(calls).await.expect("a connection");
    reset_on_drop(&stream);
    let head = format!(
        "{ORDER}\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES, b'x');
    let _ = tokio::time::timeout(SEND_TIME, stream.write_all(&bytes)).await;
    tokio::time::sleep(SEND_TIME).await;
}

/// Guards against a client that leaves unnoticed while its long order waits for a slot, so
/// that a target is sent an order that nobody waits for.
#[tokio::test]
async fn a_client_that_leaves_during_its_upload_is_noticed() {
    let fleet = two_host_fleet("a").await;
    let target = &fleet.hosts[1].target;
    target.set_behaviour(TargetBehaviour::RespondsAfter(RUN_TIME));
    let mut running = Vec::new();
    for number in 0..SLOTS {
        let mut client = fleet.connect(0).await;
        let id = format!("running-{number}");
        let headers = call_headers(&id);
        client.send(ORDER, &headers, b"sign").await.expect("sent");
        running.push(client);
    }
    assert!(eventually(WAIT_TIMEOUT, || async { target.runs().len() == SLOTS }).await);
    let calls = fleet.hosts[0].calls;
    tokio::join!(
        send_order_and_leave(calls, "left-0"),
        send_order_and_leave(calls, "left-1")
    );
    for client in &mut running {
        assert_eq!(client.answer().await.expect("an answer").status, 200);
    }
    tokio::time::sleep(END_MARGIN).await;
    let arrivals = target.arrivals();
    let has_arrived = arrivals.iter().any(|call| call.id.starts_with("left-"));
    assert!(!has_arrived, "{arrivals:?}");
}

/// Guards against a declined order that is called lost: its gate declines it, or its target
/// rejects it, before the whole body is sent, and the failed send hid the reply. Only an order
/// that was sent to a target which runs it may still time out.
#[rstest]
#[case::declined_by_the_gate(TargetBehaviour::RespondsAfter(Duration::from_secs(1)), 0)]
#[case::rejected_by_the_target(TargetBehaviour::RejectsUnread, 0)]
#[case::rejected_by_the_own_target(TargetBehaviour::RejectsUnread, 1)]
#[tokio::test]
async fn a_declined_upload_is_not_called_lost(
    #[case] behaviour: TargetBehaviour,
    #[case] host: usize,
) {
    const ORDERS: usize = 24;
    let is_run_by_target = matches!(behaviour, TargetBehaviour::RespondsAfter(_));
    let fleet = two_host_fleet("a").await;
    fleet.hosts[1].target.set_behaviour(behaviour);
    let body = vec![b'x'; BODY_BYTES];
    let orders = (0..ORDERS).map(|number| {
        let (calls, body) = (fleet.hosts[host].calls, body.clone());
        tokio::spawn(async move {
            let id = format!("order-{number}");
            Client::once(calls, ORDER, &call_headers(&id), &body).await
        })
    });
    let mut statuses = Vec::new();
    for order in orders.collect::<Vec<_>>() {
        let answer = order.await.expect("no panic").expect("an answer");
        let is_refused = answer.status == 503;
        assert!(!is_refused || !answer.header("Retry-After").is_empty());
        statuses.push(answer.status);
    }
    let arrivals = fleet.hosts[1].target.arrivals();
    for (number, status) in statuses.iter().enumerate() {
        let id = format!("order-{number}");
        let is_run = is_run_by_target && arrivals.iter().any(|call| call.id == id);
        let allowed: &[u16] = if is_run { &[200, 504] } else { &[503] };
        assert!(allowed.contains(status), "{id}: {statuses:?}");
    }
    assert!(statuses.contains(&503), "{statuses:?}");
}

/// Guards against a client that falls silent inside the body of its call and keeps its
/// connection, and a daemon's memory, for ever.
#[tokio::test]
async fn a_body_that_stops_coming_ends_its_call() {
    let fleet = two_host_fleet("a").await;
    for (length, sent) in [(1_000, 100), (BODY_BYTES, 100), (BODY_BYTES, 200_000)] {
        let mut client = fleet.connect(0).await;
        let text = format!(
            "{ORDER}\r\nHost: shop.example\r\nRequest-Id: silent\r\nDeadline-Ms: 2000\r\nContent-Length: {length}\r\n\r\n"
        );
        let sent_at = Instant::now();
        client.send_raw(text.as_bytes()).await.expect("sent");
        client.send_raw(&vec![b'x'; sent]).await.expect("sent");
        let answer = client.answer().await.expect("an answer");
        let took = sent_at.elapsed();
        assert!(
            [408, 502, 504].contains(&answer.status),
            "{}",
            answer.status
        );
        assert!(took <= ROUTE_TIMEOUT + END_MARGIN, "{took:?}");
        assert!(client.is_closed_within(END_MARGIN).await, "kept open");
    }
}
