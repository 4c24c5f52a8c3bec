//! Tests of clients outside the limits, at a daemon over our own store: the process lives,
//! stays within its memory and descriptors, and answers others.

#[path = "support/crowd.rs"]
mod crowd;
#[path = "support/raw_target.rs"]
mod raw_target;
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use crowd::{
    check_usage, raise_descriptor_limit, run_alone, Crowd, CrowdKind, DescriptorLimit, UsageBounds,
};
use filbert_standin::mesh::LocalMesh;
use filbert_standin::process::DaemonProcess;
use raw_target::{RawEnd, RawTarget};
use rstest::rstest;
use support::{eventually, get, mesh_spec, start_mesh_with_example, WAIT_TIMEOUT};

const HEADERS: &str = "Host: shop\r\nx-filbert-member: north-signs\r\n";
const KEYED_HEADERS: &str =
    "Host: shop\r\nx-filbert-member: north-signs\r\nidempotency-key: order-1\r\n";
/// How long a crowd presses.
const CROWD_TIME: Duration = Duration::from_secs(5);
/// Descriptors of a daemon in the test of idle connections.
const FEW_DESCRIPTORS: usize = 300;
/// Descriptors of a daemon on the users' hosts.
const MAX_DESCRIPTORS: usize = 4_100;

/// A crowd at the proxy.
struct CrowdCase {
    connections: usize,
    kind: CrowdKind,
}

const fn upload(body_bytes: usize) -> CrowdKind {
    CrowdKind::Upload {
        line: "POST /quotes/a",
        headers: HEADERS,
        body_bytes,
    }
}

const HTTP2_UPLOADS: CrowdKind = CrowdKind::Http2Uploads {
    path: "/quotes/a",
    field: ("x-filbert-member", "north-signs"),
};

const fn flood(body_bytes: usize) -> CrowdKind {
    CrowdKind::Flood {
        line: "POST /quotes/a",
        headers: HEADERS,
        body_bytes,
    }
}

const fn requests(line: &'static str, headers: &'static str, body_bytes: usize) -> CrowdKind {
    CrowdKind::Requests {
        line,
        headers,
        field_bytes: 0,
        body_bytes,
    }
}

/// An ordinary client comes back until it has an answer of a target.
async fn check_ordinary_call(mesh: &LocalMesh) {
    let url = &mesh.daemons[0].proxy_url;
    let is_answered = || async {
        let answer = get(url, "north-signs", "/quotes/ordinary");
        let answer = tokio::time::timeout(Duration::from_secs(2), answer).await;
        answer.is_ok_and(|answer| answer.status() == 200)
    };
    assert!(eventually(WAIT_TIMEOUT, is_answered).await, "no answer");
}

fn check_daemon(mesh: &LocalMesh, max_descriptors: usize) {
    let daemon = &mesh.daemons[0];
    let pid = daemon.pid().expect("a process");
    check_usage(
        pid,
        &daemon.id,
        UsageBounds::with_descriptors(max_descriptors),
    );
}

/// Guards against a process that ends or starves because what one client may send is bounded
/// and what all of them may send is not.
#[rstest]
#[case::long_uploads(CrowdCase { connections: 50, kind: upload(2_000_000_000) })]
#[case::uploads(CrowdCase { connections: 100, kind: upload(8_000_000) })]
#[case::bodies(CrowdCase { connections: 200, kind: requests("POST /quotes/a", HEADERS, 60_000) })]
#[case::small_calls(CrowdCase { connections: 1_000, kind: requests("GET /quotes/a", HEADERS, 0) })]
#[case::many_bodies(CrowdCase { connections: 1_000, kind: requests("POST /quotes/a", HEADERS, 60_000) })]
#[case::flood(CrowdCase { connections: 200, kind: flood(60_000) })]
#[case::wide_flood(CrowdCase { connections: 1_000, kind: flood(60_000) })]
#[case::http2_uploads(CrowdCase { connections: 300, kind: HTTP2_UPLOADS })]
#[case::unfinished_heads(CrowdCase { connections: 500, kind: CrowdKind::LongUnfinishedHead(400_000) })]
#[case::orders(CrowdCase { connections: 100, kind: requests("POST /orders/a", KEYED_HEADERS, 200) })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_does_not_take_the_process(#[case] case: CrowdCase) {
    let _alone = run_alone().await;
    raise_descriptor_limit();
    let spec = mesh_spec(&["quoting"]).zones(&["zone-a"]);
    let mesh = start_mesh_with_example(spec.daemons_per_zone(1)).await;
    check_ordinary_call(&mesh).await;
    let address = DaemonPort::Proxy.address(&mesh.daemons[0]);
    let crowd = Crowd::start(address, case.connections, case.kind);
    tokio::time::sleep(CROWD_TIME).await;
    check_daemon(&mesh, MAX_DESCRIPTORS);
    crowd.leave().await;
    check_ordinary_call(&mesh).await;
    check_daemon(&mesh, MAX_DESCRIPTORS);
}

/// Guards against clients that take each slot which becomes free by sending ahead, so that a
/// client that comes back each second as it is told finds none.
#[rstest]
#[case::flood(flood(60_000))]
#[case::small_calls(requests("GET /quotes/a", HEADERS, 0))]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_ordinary_client_is_answered_beside_a_crowd(#[case] kind: CrowdKind) {
    const CONNECTIONS: usize = 200;
    const MAX_CALLS: usize = 5;
    const RETRY_AFTER: Duration = Duration::from_secs(1);
    let _alone = run_alone().await;
    raise_descriptor_limit();
    let spec = mesh_spec(&["quoting"]).zones(&["zone-a"]);
    let mesh = start_mesh_with_example(spec.daemons_per_zone(1)).await;
    let address = DaemonPort::Proxy.address(&mesh.daemons[0]);
    let crowd = Crowd::start(address, CONNECTIONS, kind);
    let mut statuses = Vec::new();
    while statuses.last() != Some(&200) && statuses.len() < MAX_CALLS {
        tokio::time::sleep(RETRY_AFTER).await;
        let answer = get(
            &mesh.daemons[0].proxy_url,
            "north-signs",
            "/quotes/ordinary",
        )
        .await;
        statuses.push(answer.status().as_u16());
    }
    println!("{statuses:?}");
    assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
    crowd.leave().await;
}

/// A port of the daemon.
#[derive(Clone, Copy, Debug)]
enum DaemonPort {
    Proxy,
    Admin,
    Relay,
}

impl DaemonPort {
    fn address(self, daemon: &DaemonProcess) -> SocketAddr {
        let url = match self {
            DaemonPort::Proxy => &daemon.proxy_url,
            DaemonPort::Admin => &daemon.admin_url,
            DaemonPort::Relay => return daemon.relay,
        };
        let address = url.trim_start_matches("http://");
        address.parse().expect("an address")
    }
}

/// Guards against clients that take all descriptors of a process by opening connections and
/// sending nothing, so that others cannot connect while they stay.
#[rstest]
#[case::proxy(DaemonPort::Proxy, CrowdKind::Idle)]
#[case::admin(DaemonPort::Admin, CrowdKind::Idle)]
#[case::relay(DaemonPort::Relay, CrowdKind::Idle)]
#[case::links_without_a_stream(DaemonPort::Relay, CrowdKind::Http2Start)]
#[case::links_without_a_message(DaemonPort::Relay, CrowdKind::SilentHttp2Stream)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_leave_room_for_others(#[case] port: DaemonPort, #[case] kind: CrowdKind) {
    let _alone = run_alone().await;
    let spec = mesh_spec(&["quoting"]).zones(&["zone-a"]);
    let limit = DescriptorLimit::set(FEW_DESCRIPTORS as u64);
    let mesh = start_mesh_with_example(spec.daemons_per_zone(1)).await;
    drop(limit);
    raise_descriptor_limit();
    check_ordinary_call(&mesh).await;
    let crowd = Crowd::start(port.address(&mesh.daemons[0]), 450, kind);
    tokio::time::sleep(Duration::from_secs(1)).await;
    check_ordinary_call(&mesh).await;
    check_daemon(&mesh, FEW_DESCRIPTORS);
    crowd.leave().await;
}

/// Guards against answers that are held whole for clients that do not read them.
#[rstest]
#[case::long(100, 4_000_000)]
#[case::many(500, 100_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_answers_do_not_take_the_process(
    #[case] connections: usize,
    #[case] answer_bytes: usize,
) {
    let _alone = run_alone().await;
    raise_descriptor_limit();
    let spec = mesh_spec(&[]).zones(&["zone-a"]).daemons_per_zone(1);
    let mesh = start_mesh_with_example(spec).await;
    let target = RawTarget::start(&mesh.daemons[0].admin_url).await;
    let mut answer =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {answer_bytes}\r\n\r\n").into_bytes();
    answer.resize(answer.len() + answer_bytes, b'a');
    target.set_answer(answer, RawEnd::Open);
    check_ordinary_call(&mesh).await;
    let address = DaemonPort::Proxy.address(&mesh.daemons[0]);
    let kind = requests("GET /quotes/a", HEADERS, 0);
    let crowd = Crowd::start(address, connections, kind);
    tokio::time::sleep(CROWD_TIME).await;
    check_daemon(&mesh, MAX_DESCRIPTORS);
    crowd.leave().await;
    check_ordinary_call(&mesh).await;
    check_daemon(&mesh, MAX_DESCRIPTORS);
}
