//! Digest rows that other writers left in our own store.

mod support;

use std::path::Path;
use std::time::Duration;

use filbert_daemon::settings::DistributionMode;
use filbert_store::StoreKey;
use rstest::rstest;
use serde_json::json;
use support::{eventually, mesh_spec, start_mesh_with_example, DAEMON_EXE, WAIT_TIMEOUT};

/// Time in which the relay of a zone writes the digest: some durations of its lease.
const DIGEST_TIME: Duration = Duration::from_secs(12);

/// Guards against a digest of another writer with the highest token, which no relay ever
/// replaces: operators read no daemon of the zone.
#[rstest]
#[case::lowest(0)]
#[case::highest(u64::MAX)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_digest_of_another_writer_is_replaced(#[case] token: u64) {
    let spec = mesh_spec(&["quoting"])
        .zones(&["zone-a"])
        .mode(DistributionMode::Relay);
    let mut mesh = start_mesh_with_example(spec.target_hosts_per_zone(1)).await;
    let row = json!({"token": token, "applied": {}, "rejected": []});
    mesh.platform.store.write_row("digests/zone-a", row);
    for daemon in &mut mesh.daemons {
        daemon.kill();
    }
    for daemon in &mut mesh.daemons {
        daemon.start(Path::new(DAEMON_EXE));
    }
    assert!(mesh.wait_until_applied(1, WAIT_TIMEOUT).await.is_some());
    let platform = mesh.platform_client();
    let is_replaced = eventually(DIGEST_TIME, || async {
        let row = platform.get(&StoreKey::digest("zone-a")).await;
        let row = row.ok().flatten();
        row.is_some_and(|row| row.value["applied"]["1"].is_array())
    });
    assert!(
        is_replaced.await,
        "the digest is still that of another writer"
    );
}
