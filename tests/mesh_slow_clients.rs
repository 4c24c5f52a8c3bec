//! Tests of clients that read slowly: they get their whole answers, also during a planned
//! stop.

#[path = "support/users.rs"]
mod users;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{config_text, RouteSpec, TargetBehaviour};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use users::{eventually_logs, two_host_fleet};

/// Length of an answer's body: more than the clients' windows.
const BODY_BYTES: usize = 540_000;
/// What a client reads at a time, and how often: some 240 KB a second.
const READ_BYTES: usize = 12 * 1024;
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// Grace time of the stand-in hosts.
const GRACE_TIME: Duration = Duration::from_secs(6);

/// Connects with a small receive buffer, and sends a call for an answer of [`BODY_BYTES`].
async fn send_call(calls: SocketAddr, id: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(16 * 1024).expect("set");
    let mut stream = socket.connect(calls).await.expect("a connection");
    send_request(&mut stream, id).await.expect("sent");
    stream
}

async fn send_request(stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
    let mut lines = vec!["GET /read/a HTTP/1.1".to_owned()];
    let headers = call_headers(id);
    lines.extend(
        headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}")),
    );
    stream
        .write_all(format!("{}\r\n\r\n", lines.join("\r\n")).as_bytes())
        .await
}

/// Reads slowly until the first answer is complete or the connection ends. Sends a further
/// call after `next_after`. Returns the number of bytes received.
async fn read_slowly(mut stream: TcpStream, next_after: Duration) -> usize {
    let started = Instant::now();
    let mut has_sent_next = false;
    let mut received = 0;
    let mut buffer = vec![0; READ_BYTES];
    while received < BODY_BYTES {
        tokio::time::sleep(READ_INTERVAL).await;
        if !has_sent_next && started.elapsed() > next_after {
            has_sent_next = true;
            // The daemon may have closed its side.
            let _ = send_request(&mut stream, "next").await;
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(bytes) => received += bytes,
        }
    }
    received
}

/// Guards against a planned stop that cuts answers that clients still read: the daemon ends
/// when the kernel has them, and the client's next call resets the connection.
#[tokio::test]
async fn a_stop_waits_for_clients_that_read_slowly() {
    let mut fleet = two_host_fleet("a").await;
    fleet.hosts[1].target.set_body_bytes(BODY_BYTES);
    let mut clients = Vec::new();
    for number in 0..6 {
        let stream = send_call(fleet.hosts[0].calls, &format!("read-{number}")).await;
        let next_after = Duration::from_millis(800 + 250 * number);
        clients.push(tokio::spawn(read_slowly(stream, next_after)));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let stopped_at = Instant::now();
    fleet.hosts[0].signal(Signal::SIGTERM);
    let checks = async {
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.hosts[0].is_ready().await;
        }
    };
    checks.await;
    for client in clients {
        let received = client.await.expect("no panic");
        assert!(received >= BODY_BYTES, "{received} bytes");
    }
    let left = GRACE_TIME.saturating_sub(stopped_at.elapsed());
    assert!(fleet.hosts[0].exited_cleanly_within(left).await);
}

/// Guards against a client that is taken for gone because it does not read for a while.
#[tokio::test]
async fn a_client_that_pauses_keeps_its_connection() {
    let fleet = two_host_fleet("a").await;
    fleet.hosts[1].target.set_body_bytes(4 * BODY_BYTES);
    let stream = send_call(fleet.hosts[0].calls, "read-1").await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let received = read_slowly(stream, GRACE_TIME).await;
    assert!(received >= BODY_BYTES, "{received} bytes");
}

/// Guards against an idle limit that runs during a call: the connection was closed behind the
/// answer with no word, and the client's next call with it.
#[tokio::test]
async fn a_call_longer_than_the_idle_limit_keeps_its_connection() {
    let fleet = two_host_fleet("a").await;
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let text = String::from_utf8(config_text(2, &routes)).expect("JSON");
    let short_idle = text.replace(r#""idle":"15s""#, r#""idle":"600ms""#);
    assert_ne!(text, short_idle);
    fleet.store.put("op", "config", short_idle.as_bytes());
    assert!(eventually_logs(&fleet.hosts[0], "event=version_in_force version=00000002").await);
    let slow = TargetBehaviour::RespondsAfter(Duration::from_millis(1_200));
    fleet.hosts[1]
        .target
        .set_behaviour_for_prefix("/read/slow", slow);
    let mut client = fleet.connect(0).await;
    for (id, line) in [
        ("read-1", "GET /read/a HTTP/1.1"),
        ("read-2", "GET /read/slow HTTP/1.1"),
    ] {
        let headers = call_headers(id);
        client.send(line, &headers, b"").await.expect("sent");
    }
    for _ in 0..2 {
        let answer = client.answer().await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    let headers = call_headers("read-3");
    let sent = client.send("GET /read/a HTTP/1.1", &headers, b"").await;
    sent.expect("sent");
    assert!(client.answer().await.is_some(), "{}", fleet.hosts[0].log());
}
