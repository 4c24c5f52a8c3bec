//! The row `current` overwritten by another writer, beside running and restarted daemons.

mod support;

use std::path::Path;
use std::time::Duration;

use filbert_daemon::settings::DistributionMode;
use filbert_standin::mesh::LocalMesh;
use filbert_store::StoreKey;
use rstest::rstest;
use serde_json::{json, Value};
use support::{
    example_tree_with_timeout, get, mesh_spec, start_mesh_with_example, status, DAEMON_EXE,
};

/// Time after which a mended row must be in force.
const MENDED_TIME: Duration = Duration::from_secs(10);
/// Time in which running daemons read the row several times.
const STEADY_TIME: Duration = Duration::from_millis(700);

async fn two_daemon_mesh(mode: DistributionMode) -> LocalMesh {
    let spec = mesh_spec(&["quoting"]).zones(&["zone-a"]).mode(mode);
    start_mesh_with_example(spec).await
}

async fn assert_serving(mesh: &LocalMesh) {
    for daemon in &mesh.daemons {
        let answer = get(&daemon.proxy_url, "north-signs", "/quotes/1").await;
        assert_eq!(answer.status(), 200, "{}", status(daemon).await);
    }
}

/// Guards against a number of another writer's `current` that keeps the daemons from all
/// versions after it, once the row is mended.
#[rstest]
#[case::highest_number(json!({"number": u64::MAX, "object": "versions/none"}))]
#[case::no_object(json!({"number": 900, "object": "versions/none"}))]
#[case::odd_key(json!({"number": 900, "object": "../table?a=#b %41\n//[::]"}))]
#[case::odd_delta(json!({"number": 900, "object": "", "delta": {"base": 1, "object": "?"}}))]
#[case::another_version(json!({"number": 900, "object": StoreKey::version_object(1, 0)}))]
#[case::null(Value::Null)]
#[case::other_types(json!({"number": -1}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn odd_current_row_is_gone_once_it_is_mended(
    #[case] value: Value,
    #[values(DistributionMode::Direct, DistributionMode::Relay)] mode: DistributionMode,
) {
    let mut mesh = two_daemon_mesh(mode).await;
    mesh.platform.store.write_row(StoreKey::CURRENT, value);
    tokio::time::sleep(STEADY_TIME).await;
    assert_serving(&mesh).await;
    // One of two daemons, whose zone still has the version.
    mesh.daemons[1].kill();
    mesh.daemons[1].start(Path::new(DAEMON_EXE));
    assert!(mesh.daemons[1].wait_until_ready().await);
    tokio::time::sleep(STEADY_TIME).await;
    mesh.publish(2, &example_tree_with_timeout(1_900), None)
        .await;
    let applied = mesh.wait_until_applied(2, MENDED_TIME).await;
    assert!(applied.is_some(), "version 2 not in force");
    assert_serving(&mesh).await;
}

/// Guards against a restarted daemon that serves nothing beside an odd `current` row, though its
/// zone's relay still has the version in force.
#[rstest]
#[case::highest_number(json!({"number": u64::MAX, "object": "versions/none"}))]
#[case::no_object(json!({"number": 900, "object": "versions/none"}))]
#[case::another_version(json!({"number": 900, "object": StoreKey::version_object(1, 0)}))]
#[case::null(Value::Null)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_daemon_gets_its_version_from_the_zone(
    #[case] value: Value,
    #[values(true, false)] is_relay_restarted: bool,
) {
    let mut mesh = two_daemon_mesh(DistributionMode::Relay).await;
    mesh.platform.store.write_row(StoreKey::CURRENT, value);
    let relay = support::relay_index(&mesh, "zone-a")
        .await
        .expect("a relay");
    let index = if is_relay_restarted { relay } else { 1 - relay };
    mesh.daemons[index].kill();
    mesh.daemons[index].start(Path::new(DAEMON_EXE));
    assert!(mesh.daemons[index].wait_until_ready().await);
    if mesh.wait_until_applied(1, MENDED_TIME).await.is_none() {
        support::print_zone(&mesh, "zone-a").await;
        panic!("version 1 not in force again");
    }
    assert_serving(&mesh).await;
}
