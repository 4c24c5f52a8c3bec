//! Rows that other writers left in our own store, beside running and restarted daemons.

mod support;

use std::path::Path;
use std::time::Duration;

use filbert_daemon::settings::DistributionMode;
use filbert_standin::mesh::LocalMesh;
use rstest::rstest;
use serde_json::{json, Value};
use support::{
    get, mesh_spec, relay_index, start_mesh_with_example, status, DAEMON_EXE, WAIT_TIMEOUT,
};

/// Nesting of a value, above what a decoder reads by recursion.
const DEPTH: usize = 200;
/// Time in which running daemons read the rows several times.
const STEADY_TIME: Duration = Duration::from_millis(700);
/// Time in which a zone has a leader: some durations of its lease.
const LEADER_TIME: Duration = Duration::from_secs(12);
/// Calls through each daemon.
const CALLS: usize = 20;

fn nested() -> Value {
    (0..DEPTH).fold(json!(1), |value, _| json!([value]))
}

/// Two daemons of one zone, of which the second has no target on its host.
async fn two_daemon_mesh(mode: DistributionMode) -> LocalMesh {
    let spec = mesh_spec(&["quoting"]).zones(&["zone-a"]).mode(mode);
    start_mesh_with_example(spec.target_hosts_per_zone(1)).await
}

/// Kills all daemons at the same moment and starts them again.
fn restart_all(mesh: &mut LocalMesh) {
    for daemon in &mut mesh.daemons {
        daemon.kill();
    }
    for daemon in &mut mesh.daemons {
        daemon.start(Path::new(DAEMON_EXE));
    }
}

/// Number of calls through all daemons that are not answered with 200.
async fn failed_calls(mesh: &LocalMesh) -> usize {
    let mut failed = 0;
    for daemon in &mesh.daemons {
        for call in 0..CALLS {
            let path = format!("/quotes/{call}");
            let answer = get(&daemon.proxy_url, "north-signs", &path).await;
            failed += usize::from(answer.status() != 200);
        }
    }
    failed
}

/// Checks that all calls are served beside the rows that stand now, first by the running
/// daemons and then by restarted ones.
async fn assert_served(mesh: &mut LocalMesh) {
    tokio::time::sleep(STEADY_TIME).await;
    assert_eq!(failed_calls(mesh).await, 0, "in steady state");
    restart_all(mesh);
    let applied = mesh.wait_until_applied(1, WAIT_TIMEOUT).await;
    assert!(applied.is_some(), "not served after the restart");
    tokio::time::sleep(STEADY_TIME).await;
    assert_eq!(failed_calls(mesh).await, 0, "after the restart");
}

/// Guards against one odd row of a target that hides all targets of its zone.
#[rstest]
#[case::nested(nested())]
#[case::null(Value::Null)]
#[case::highest_load(json!({"service": "quoting", "address": "127.0.0.1:9", "zone": "zone-a",
    "daemon": "x", "load": u32::MAX, "leaving": false, "heard_at_ms": u64::MAX}))]
#[case::far_future(json!({"service": "art", "address": "127.0.0.1:9", "zone": "zone-a",
    "daemon": "x", "load": 0, "leaving": false, "heard_at_ms": u64::MAX}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn odd_target_row_hides_no_target(#[case] value: Value) {
    let mut mesh = two_daemon_mesh(DistributionMode::Direct).await;
    let key = "targets/zone-a/quoting/a";
    mesh.platform.store.write_row(key, value);
    assert_served(&mut mesh).await;
}

/// Addresses to which no call can be sent.
const UNUSABLE: [&str; 10] = [
    "",
    "   ",
    "[h:80",
    "h:http",
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:9\nx",
    "http://127.0.0.1:9/",
    "127.0.0.1:9/a?b=",
];

/// Guards against targets whose addresses cannot be used and that get calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn target_rows_with_unusable_addresses_name_no_targets() {
    let mut mesh = two_daemon_mesh(DistributionMode::Direct).await;
    for (index, address) in UNUSABLE.iter().enumerate() {
        let row = json!({"service": "quoting", "address": address, "zone": "zone-a",
            "daemon": "x", "load": 0, "leaving": false, "heard_at_ms": u64::MAX});
        let key = format!("targets/zone-a/quoting/{index}");
        mesh.platform.store.write_row(&key, row);
    }
    assert_served(&mut mesh).await;
    for daemon in &mesh.daemons {
        let shown = status(daemon).await;
        assert_eq!(shown["targets"]["quoting"], 1, "{shown}");
    }
}

/// Guards against a lease row of another writer that keeps a zone without a leader.
#[rstest]
#[case::null(Value::Null)]
#[case::nested(nested())]
#[case::other_types(json!({"holder": 1}))]
#[case::unusable_address(json!({"holder": "x", "incarnation": 1, "token": 1,
    "address": "[h:80", "renewed_at_ms": 1}))]
#[case::nobody_behind_it(json!({"holder": "x", "incarnation": 1, "token": 1,
    "address": "127.0.0.1:9", "renewed_at_ms": u64::MAX}))]
#[case::highest_token(json!({"holder": "x", "incarnation": 1, "token": u64::MAX,
    "address": "127.0.0.1:9", "renewed_at_ms": 1}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn odd_lease_row_leaves_a_zone_its_leader(#[case] value: Value) {
    let mut mesh = two_daemon_mesh(DistributionMode::Relay).await;
    mesh.platform
        .store
        .write_row("leases/zone-a", value.clone());
    assert_served(&mut mesh).await;
    assert_leader(&mesh).await;
    mesh.platform.store.write_row("leases/zone-a", value);
    restart_all(&mut mesh);
    let applied = mesh.wait_until_applied(1, WAIT_TIMEOUT).await;
    assert!(applied.is_some(), "not served after the second restart");
    assert_leader(&mesh).await;
}

/// Checks that the zone gets a leader.
async fn assert_leader(mesh: &LocalMesh) {
    let has_leader = || async { relay_index(mesh, "zone-a").await.is_some() };
    let found = support::eventually(LEADER_TIME, has_leader).await;
    if !found {
        support::print_zone(mesh, "zone-a").await;
    }
    assert!(found, "no leader");
}
