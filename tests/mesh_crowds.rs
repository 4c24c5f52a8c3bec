//! Tests of clients outside the limits: many of them at once, sending ahead and reading no
//! answer. The process lives, stays within its memory and descriptors, and answers others.

#[path = "support/crowd.rs"]
mod crowd;
#[path = "support/mesh_crowd.rs"]
mod mesh_crowd;
#[path = "support/users.rs"]
mod users;

use std::net::SocketAddr;
use std::time::Duration;

use crowd::{raise_descriptor_limit, run_alone, Crowd, CrowdKind, DescriptorLimit, UsageBounds};
use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, Host};
use mesh_crowd::{
    check_hosts, check_ordinary_call, widen_limits, AT_THE_TARGET, BODIES, CROWD_TIME, FLOOD,
    LONG_HEADS, OVER_A_LINK, READ, SMALL_CALLS, SMALL_HOST_MIB, UNROUTED, UPLOADS, USUAL_BOUNDS,
};
use rstest::rstest;
use users::{eventually, reload_with, two_host_fleet, WAIT_TIMEOUT};

/// Descriptors of a daemon in the test of idle connections.
const FEW_DESCRIPTORS: usize = 600;

/// A crowd at one host.
struct CrowdCase {
    connections: usize,
    kind: CrowdKind,
    /// Length of the answers.
    answer_bytes: usize,
}

/// Guards against a process that ends or starves because each connection is bounded and the
/// process is not: what one client may send ahead, times the clients.
#[rstest]
#[case::small_calls(CrowdCase { connections: 1_000, kind: SMALL_CALLS, answer_bytes: 200 })]
#[case::long_heads(CrowdCase { connections: 200, kind: LONG_HEADS, answer_bytes: 200 })]
#[case::bodies(CrowdCase { connections: 200, kind: BODIES, answer_bytes: 200 })]
#[case::flood(CrowdCase { connections: 1_000, kind: FLOOD, answer_bytes: 200 })]
#[case::uploads(CrowdCase { connections: 1_000, kind: UPLOADS, answer_bytes: 200 })]
#[case::unrouted(CrowdCase { connections: 400, kind: UNROUTED, answer_bytes: 200 })]
#[case::long_answers(CrowdCase { connections: 64, kind: SMALL_CALLS, answer_bytes: 1_000_000 })]
#[case::unfinished_heads(CrowdCase { connections: 1_500, kind: CrowdKind::UnfinishedHead, answer_bytes: 200 })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_does_not_take_the_process(
    #[case] case: CrowdCase,
    #[values(OVER_A_LINK, AT_THE_TARGET)] host: usize,
) {
    let _alone = run_alone().await;
    raise_descriptor_limit();
    let fleet = two_host_fleet("a").await;
    widen_limits(&fleet).await;
    fleet.hosts[1].target.set_body_bytes(case.answer_bytes);
    let crowd = Crowd::start(fleet.hosts[host].calls, case.connections, case.kind);
    tokio::time::sleep(CROWD_TIME).await;
    check_hosts(&fleet, USUAL_BOUNDS);
    crowd.leave().await;
    check_ordinary_call(&fleet, host).await;
    check_hosts(&fleet, USUAL_BOUNDS);
}

/// Guards against a budget that does not follow from the memory of the machine.
#[rstest]
#[case::small_calls(1_000, SMALL_CALLS)]
#[case::bodies(200, BODIES)]
#[case::uploads(1_000, UPLOADS)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_does_not_take_a_small_host(#[case] connections: usize, #[case] kind: CrowdKind) {
    let _alone = run_alone().await;
    raise_descriptor_limit();
    let fleet = two_host_fleet("a").await;
    widen_limits(&fleet).await;
    let host = &fleet.hosts[OVER_A_LINK];
    reload_with(host, &format!("[machine]\nmemory_mb = {SMALL_HOST_MIB}\n")).await;
    let crowd = Crowd::start(host.calls, connections, kind);
    tokio::time::sleep(CROWD_TIME).await;
    crowd.leave().await;
    check_ordinary_call(&fleet, OVER_A_LINK).await;
    let bounds = UsageBounds {
        resident_kib: SMALL_HOST_MIB * 1024,
        ..USUAL_BOUNDS
    };
    check_hosts(&fleet, bounds);
}

/// Guards against clients that take all descriptors of a process by opening connections and
/// sending nothing, so that others cannot connect while they stay.
#[rstest]
#[case::at_the_callers(OVER_A_LINK)]
#[case::at_the_target(AT_THE_TARGET)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_leave_room_for_others(#[case] host: usize) {
    let _alone = run_alone().await;
    let limit = DescriptorLimit::set(FEW_DESCRIPTORS as u64);
    let fleet = two_host_fleet("a").await;
    drop(limit);
    raise_descriptor_limit();
    widen_limits(&fleet).await;
    let crowd = Crowd::start(fleet.hosts[host].calls, 900, CrowdKind::Idle);
    tokio::time::sleep(Duration::from_secs(1)).await;
    check_ordinary_call(&fleet, host).await;
    check_hosts(&fleet, UsageBounds::with_descriptors(FEW_DESCRIPTORS));
    crowd.leave().await;
}

/// A port of a daemon that clients have no business with.
#[derive(Clone, Copy, Debug)]
enum OtherPort {
    Readiness,
    Control,
    Metrics,
    Links,
}

impl OtherPort {
    fn address(self, host: &Host) -> SocketAddr {
        match self {
            OtherPort::Readiness => host.ready,
            OtherPort::Control => host.control,
            OtherPort::Metrics => host.metrics,
            OtherPort::Links => host.peers,
        }
    }
}

/// Guards against connections that take all descriptors of a process at a port where nobody
/// counts them.
#[rstest]
#[case::readiness(OtherPort::Readiness, CrowdKind::Idle)]
#[case::control(OtherPort::Control, CrowdKind::Idle)]
#[case::metrics(OtherPort::Metrics, CrowdKind::Idle)]
#[case::links(OtherPort::Links, CrowdKind::Idle)]
#[case::links_without_a_stream(OtherPort::Links, CrowdKind::Http2Start)]
#[case::links_without_a_message(OtherPort::Links, CrowdKind::SilentHttp2Stream)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_at_other_ports_leave_room(
    #[case] port: OtherPort,
    #[case] kind: CrowdKind,
) {
    let _alone = run_alone().await;
    let limit = DescriptorLimit::set(FEW_DESCRIPTORS as u64);
    let fleet = two_host_fleet("a").await;
    drop(limit);
    raise_descriptor_limit();
    let crowd = Crowd::start(port.address(&fleet.hosts[1]), 900, kind);
    tokio::time::sleep(Duration::from_secs(1)).await;
    check_ordinary_call(&fleet, AT_THE_TARGET).await;
    assert!(eventually(WAIT_TIMEOUT, || fleet.hosts[1].is_ready()).await);
    check_hosts(&fleet, UsageBounds::with_descriptors(FEW_DESCRIPTORS));
    crowd.leave().await;
}

/// Guards against unread answers of one client that take the window of a link from the calls
/// of all others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_answers_leave_a_link_to_others() {
    const CLIENTS: usize = 2;
    const CALLS_AHEAD: usize = 16;
    /// More than what the kernel takes of the answers that are written, and the window of a
    /// whole link.
    const ANSWER_BYTES: usize = 400_000;
    const ENOUGH_RUNS: usize = 16;
    let _alone = run_alone().await;
    let fleet = two_host_fleet("a").await;
    fleet.hosts[1].target.set_body_bytes(ANSWER_BYTES);
    let mut unread = Vec::new();
    for client in 0..CLIENTS {
        let mut stream = Client::connect_with_buffer(fleet.hosts[OVER_A_LINK].calls, 4 * 1024)
            .await
            .expect("a connection");
        for call in 0..CALLS_AHEAD {
            let id = format!("unread-{client}-{call}");
            stream
                .send(READ, &call_headers(&id), b"")
                .await
                .expect("sent");
        }
        unread.push(stream);
    }
    let target = &fleet.hosts[1].target;
    let have_run = || async { target.runs().len() >= ENOUGH_RUNS };
    assert!(
        eventually(WAIT_TIMEOUT, have_run).await,
        "{} runs",
        target.runs().len()
    );
    let answer = fleet.hosts[OVER_A_LINK].call(READ, "ordinary", b"").await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}

/// Guards against unread answers of a few clients that take the buffer for answers, and with it
/// the target's slots, for as long as their connections may be idle.
#[rstest]
#[case::over_a_link(OVER_A_LINK)]
#[case::at_the_target(AT_THE_TARGET)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_answers_leave_the_buffer_to_others(#[case] host: usize) {
    const CLIENTS: usize = 16;
    const CALLS_AHEAD: usize = 16;
    let _alone = run_alone().await;
    let fleet = two_host_fleet("a").await;
    widen_limits(&fleet).await;
    fleet.hosts[1].target.set_body_bytes(1_000_000);
    let mut unread = Vec::new();
    for client in 0..CLIENTS {
        let stream = Client::connect_with_buffer(fleet.hosts[host].calls, 4 * 1024).await;
        let mut stream = stream.expect("a connection");
        for call in 0..CALLS_AHEAD {
            let id = format!("unread-{client}-{call}");
            let headers = call_headers(&id);
            stream.send(READ, &headers, b"").await.expect("sent");
        }
        unread.push(stream);
    }
    tokio::time::sleep(CROWD_TIME).await;
    check_ordinary_call(&fleet, host).await;
    check_hosts(&fleet, USUAL_BOUNDS);
}
