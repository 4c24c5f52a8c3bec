//! Tests of links whose peer stalls and responds again.

#[path = "support/users.rs"]
mod users;

use std::time::Duration;

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, Host, HostSpec, RouteSpec, StandinStore, TargetBehaviour};
use filbert_standin::fault_proxy::FaultMode;
use filbert_standin::http2_frames::{cancelled_streams, ping_frames, FrameScanner};
use nix::sys::signal::Signal;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use users::{
    eventually, eventually_logs, fleet, host_spec, publish, two_host_fleet, Fleet, WAIT_TIMEOUT,
};

/// Guards against a call that fails although its target answers it. The daemon of
/// the only target stalls for so long that it counts as unresponsive, or that its link
/// is given up. The call that runs there has no other target: it must get its target's
/// answer, not a "may have run" half a second after it was sent.
#[rstest]
#[case::silent("GET /read/a HTTP/1.1", 700)]
#[case::given_up("GET /read/a HTTP/1.1", 1_400)]
#[case::an_order("POST /order/a HTTP/1.1", 1_400)]
#[tokio::test]
async fn a_call_without_another_target_outlives_an_unresponsive_link(
    #[case] line: &str,
    #[case] stall_ms: u64,
) {
    let fleet = two_host_fleet("b").await;
    let target = &fleet.hosts[1].target;
    target.set_behaviour(TargetBehaviour::RespondsAfter(Duration::from_millis(200)));
    let mut client = fleet.start_call(line, "call-1").await;
    fleet.hosts[1].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(stall_ms)).await;
    fleet.hosts[1].signal(Signal::SIGCONT);
    let answer = client.answer().await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", fleet.hosts[0].log());
    assert_eq!(target.runs().len(), 1);
}

/// Guards against a call that ends while a target still runs it. The daemon of one of
/// two targets stalls, so the call is retried at the other target, which rejects it.
/// The answer of the first target arrives later and must reach the client.
#[tokio::test]
async fn a_call_rejected_by_another_target_still_gets_its_first_answer() {
    let fleet = three_hosts().await;
    let (mut client, stalled, other) = start_call(&fleet).await;
    fleet.hosts[other]
        .target
        .set_behaviour(TargetBehaviour::Rejects);
    fleet.hosts[stalled].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(900)).await;
    fleet.hosts[stalled].signal(Signal::SIGCONT);
    let answer = client.answer().await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", fleet.hosts[0].log());
    assert_eq!(runs_at(&fleet, stalled), 1, "{}", fleet.hosts[0].log());
}

/// Number of calls that the target on `host` has run.
fn runs_at(fleet: &Fleet, host: usize) -> usize {
    fleet.hosts[host].target.runs().len()
}

/// Sends a call and waits until a target runs it. Returns the client's connection, the
/// index of the host that runs the call, and the index of the other host.
async fn start_call(fleet: &Fleet) -> (Client, usize, usize) {
    let mut client = fleet.connect(0).await;
    client
        .send("GET /read/a HTTP/1.1", &call_headers("call-1"), b"")
        .await
        .expect("sent");
    let at = |host| runs_at(fleet, host);
    assert!(eventually(WAIT_TIMEOUT, || async { at(1) + at(2) == 1 }).await);
    if at(1) == 1 {
        (client, 1, 2)
    } else {
        (client, 2, 1)
    }
}

/// A fleet of a caller and two targets, which answer after a short delay.
async fn three_hosts() -> Fleet {
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let fleet = fleet(
        &routes,
        &[
            ("caller", "a", "art"),
            ("first", "a", "quotes"),
            ("second", "a", "quotes"),
        ],
    )
    .await;
    for host in &fleet.hosts[1..] {
        host.target
            .set_behaviour(TargetBehaviour::RespondsAfter(Duration::from_millis(150)));
    }
    fleet
}

/// Guards against a call that waits for a stalled daemon. The daemon of one of two
/// targets stalls; a call to it that may be repeated must be retried at the other
/// target at once.
#[tokio::test]
async fn a_repeatable_call_is_retried_when_its_link_is_unresponsive() {
    let fleet = three_hosts().await;
    let (mut client, stalled, other) = start_call(&fleet).await;
    fleet.hosts[stalled].signal(Signal::SIGSTOP);
    let answer = client.answer().await.expect("an answer");
    fleet.hosts[stalled].signal(Signal::SIGCONT);
    assert_eq!(answer.status, 200, "{}", fleet.hosts[0].log());
    assert_eq!(runs_at(&fleet, other), 1, "{}", fleet.hosts[0].log());
}

/// Guards against a link that ends, with every call on it, because many calls were cancelled
/// while the host at its other end stood still.
#[rstest]
#[case::short(300)]
#[case::long(900)]
#[case::given_up(1_600)]
#[tokio::test]
async fn cancelled_calls_do_not_end_a_link(#[case] stall_ms: u64) {
    const CANCELLED_CALLS: usize = 120;
    let fleet = two_host_fleet("a").await;
    let target = &fleet.hosts[1].target;
    target.set_behaviour(TargetBehaviour::RespondsAfter(Duration::from_millis(400)));
    let mut client = fleet.start_call("POST /order/a HTTP/1.1", "kept").await;
    fleet.hosts[1].signal(Signal::SIGSTOP);
    let mut cancelled = Vec::new();
    for number in 0..CANCELLED_CALLS {
        let mut client = fleet.connect(0).await;
        let id = format!("cancelled-{number}");
        let headers = call_headers(&id);
        let sent = client.send("GET /read/a HTTP/1.1", &headers, b"").await;
        sent.expect("sent");
        cancelled.push(client);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(cancelled);
    tokio::time::sleep(Duration::from_millis(stall_ms)).await;
    fleet.hosts[1].signal(Signal::SIGCONT);
    let answer = client.answer().await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", fleet.hosts[0].log());
}

/// Guards against an order that is called lost although the host that was sent it says that it
/// has not read it: its link ended, and named the last call that it had read.
#[rstest]
#[case::one_target(1)]
#[case::another_target(2)]
#[tokio::test]
async fn orders_that_an_ended_link_has_not_read_are_not_lost(#[case] targets: usize) {
    const ORDERS: usize = 12;
    /// Placement gives each target some of these soon.
    const MAX_LONG_ORDERS: usize = 8;
    const ARRIVAL_TIME: Duration = Duration::from_millis(40);
    let fleet = piped_fleet(targets).await;
    let piped = &fleet.hosts[1];
    let mut read = Vec::new();
    while piped.target.runs().is_empty() && read.len() < MAX_LONG_ORDERS {
        read.extend(send_orders(&fleet, &format!("long-{}", read.len()), 1).await);
        tokio::time::sleep(ARRIVAL_TIME).await;
    }
    assert!(!piped.target.runs().is_empty(), "{}", fleet.hosts[0].log());
    let links = piped.links.as_ref().expect("piped links");
    links.set_mode(FaultMode::Blackhole);
    let mut unread = send_orders(&fleet, "short", ORDERS).await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    links.set_mode(FaultMode::GoAway);
    let (status, runs) = if targets == 1 { (503, 0) } else { (200, 1) };
    for (client, id) in &mut unread {
        let answer = client.answer().await.expect("an answer");
        assert_eq!(answer.status, status, "{id}: {}", fleet.hosts[0].log());
        assert_eq!(fleet.run_count(id), runs);
    }
    assert!(eventually_logs(&fleet.hosts[0], "event=call_unread request=short-").await);
    for (client, id) in &mut read {
        let status = client.answer().await.expect("an answer").status;
        let is_cut = piped.target.runs().iter().any(|run| run.id == *id);
        assert_eq!(status, if is_cut { 502 } else { 200 }, "{id}");
        assert_eq!(fleet.run_count(id), 1);
    }
}

/// Sends `count` orders to the daemon of host 0. Returns the client of each and its id.
async fn send_orders(fleet: &Fleet, name: &str, count: usize) -> Vec<(Client, String)> {
    let line = format!("POST /order/{name} HTTP/1.1");
    let mut sent = Vec::new();
    for number in 0..count {
        let mut client = fleet.connect(0).await;
        let id = format!("{name}-{number}");
        let headers = call_headers(&id);
        client.send(&line, &headers, b"sign").await.expect("sent");
        sent.push((client, id));
    }
    sent
}

/// A caller, a target whose links a pipe carries, and as many further ones as make `targets`.
/// They run orders with the name `long` for half a second.
async fn piped_fleet(targets: usize) -> Fleet {
    let store = StandinStore::start().await;
    publish(&store, 1, &[RouteSpec::orders("/order/", "quotes")]);
    let mut hosts = vec![Host::start(host_spec(&store, "caller", "a", "art")).await];
    for number in 0..targets {
        let spec = host_spec(&store, &format!("quoter-{number}"), "a", "quotes");
        let piped_links = number == 0;
        hosts.push(
            Host::start(HostSpec {
                piped_links,
                ..spec
            })
            .await,
        );
    }
    for host in &hosts {
        let behaviour = TargetBehaviour::RespondsAfter(Duration::from_millis(500));
        host.target
            .set_behaviour_for_prefix("/order/long", behaviour);
    }
    let fleet = Fleet { store, hosts };
    fleet.wait_until_ready().await;
    for number in 0..targets {
        let is_known = format!("event=target_heard peer=quoter-{number} ");
        assert!(eventually_logs(&fleet.hosts[0], &is_known).await);
    }
    fleet
}

/// Guards against a host that ends a link and resets it, so that the other host does not learn
/// which of its calls were read.
#[tokio::test]
async fn a_host_that_ends_a_link_says_what_it_has_read() {
    const CANCELLED_CALLS: u32 = 2_100;
    const UNREAD_BYTES: usize = 1_000_000;
    let fleet = two_host_fleet("a").await;
    let host = &fleet.hosts[1];
    let log = host.log();
    let address = log
        .split(" peers=")
        .nth(1)
        .and_then(|rest| rest.split_whitespace().next());
    let mut stream = TcpStream::connect(address.expect("an address"))
        .await
        .expect("a link");
    host.signal(Signal::SIGSTOP);
    let mut bytes = cancelled_streams(CANCELLED_CALLS);
    bytes.extend(ping_frames(UNREAD_BYTES));
    let (mut read, mut write) = stream.split();
    let send = tokio::time::timeout(Duration::from_millis(400), write.write_all(&bytes));
    let _ = send.await;
    host.signal(Signal::SIGCONT);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut frames = FrameScanner::of_server();
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length @ 1..) = read.read(&mut buffer).await {
        frames.scan(&buffer[..length]);
    }
    assert!(frames.has_ended(), "reset");
}
