//! Tests of a planned stop of the daemon over our own store, under clients that pipeline
//! calls or send one at a time.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use filbert_platform_standin::steady_clients::{CallEnd, CallPattern, SteadyClients};
use rstest::rstest;
use support::{mesh_spec, start_mesh_with_example};

/// Time for which the clients call before the stop.
const CALM: Duration = Duration::from_secs(1);
/// Longest wait for a daemon to stop; far above its grace period.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Connections of one client that a stopping daemon may close unread: one that it has just
/// accepted, and one in the kernel's accept queue.
const MAX_UNREAD_CONNECTIONS: usize = 2;

const fn pattern(interval_ms: u64, pipelined: usize) -> CallPattern {
    CallPattern {
        clients: 4,
        interval: Duration::from_millis(interval_ms),
        burst: 1,
        pipelined,
        line: "GET /quotes",
        id_header: "x-request-id",
        headers: "x-filbert-member: north-signs\r\n",
        body_bytes: 0,
    }
}

/// Guards against calls that a stopping daemon passes on to a target and drops.
#[rstest]
#[case::pipelined(pattern(20, 16))]
#[case::one_at_a_time(pattern(1, 1))]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_at_a_stop_are_answered(#[case] pattern: CallPattern) {
    let spec = mesh_spec(&["quoting"])
        .zones(&["zone-a"])
        .daemons_per_zone(2)
        .target_delay(Duration::from_millis(60));
    let mut mesh = start_mesh_with_example(spec).await;
    let proxy = mesh.daemons[0].proxy_url.trim_start_matches("http://");
    let address: SocketAddr = proxy.parse().expect("an address");
    let clients = SteadyClients::start("c", address, pattern);
    tokio::time::sleep(CALM).await;
    let daemon = &mut mesh.daemons[0];
    let stopped = tokio::task::block_in_place(|| daemon.terminate(STOP_TIMEOUT));
    assert!(stopped, "did not stop");
    let ended = clients.stop().await;
    let is_unanswered = |end: &CallEnd| matches!(end, CallEnd::Cut | CallEnd::Behind);
    let lost: Vec<_> = ended
        .iter()
        .filter(|call| is_unanswered(&call.end) && mesh.executions.has_received(&call.id))
        .collect();
    assert!(lost.is_empty(), "reached a target, then cut: {lost:?}");
    let cut = ended.iter().filter(|call| call.end == CallEnd::Cut).count();
    let most_unread = MAX_UNREAD_CONNECTIONS * pattern.clients * pattern.pipelined;
    assert!(cut <= most_unread, "{cut} calls cut");
    let answered = ended.iter().filter(|call| !is_unanswered(&call.end));
    assert!(answered.count() > 0);
}
