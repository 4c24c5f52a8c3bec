//! Commands of `filbertctl` on our own store, beside rows of other writers.

mod support;

use std::process::Command;
use std::time::{Duration, Instant};

use filbert_daemon::settings::DistributionMode;
use filbert_mesh::codec::rows::encode;
use filbert_mesh::messages::PeerAddress;
use filbert_platform_standin::StandinStore;
use filbert_standin::mesh::LocalMesh;
use rstest::rstest;
use serde_json::json;
use support::{mesh_spec, start_mesh_with_example, CTL_EXE};
use tokio::net::{TcpListener, TcpStream};

fn ctl(mesh: &LocalMesh, args: &[&str]) -> (bool, String) {
    let output = Command::new(CTL_EXE)
        .args(["--platform", &mesh.platform.url])
        .args(args)
        .output()
        .expect("filbertctl runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.success(), text)
}

/// Guards against a daemon of another writer, which never applies a version, that operators
/// wait for without end, as its report is from a later time.
#[rstest]
#[case::long_ago(1)]
#[case::far_future(u64::MAX)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_daemon_that_does_not_exist_is_not_waited_for(#[case] reported_at_ms: u64) {
    let spec = mesh_spec(&["quoting"])
        .zones(&["zone-a"])
        .mode(DistributionMode::Direct);
    let mesh = start_mesh_with_example(spec.target_hosts_per_zone(1)).await;
    let row = json!({"id": "x\u{1b}[2J", "zone": "zone-a", "applied": 0, "rejected": null,
        "reported_at_ms": reported_at_ms});
    mesh.platform.store.write_row("daemons/zone-a/x", row);
    let (_, text) = ctl(&mesh, &["status"]);
    let (is_done, _) = ctl(&mesh, &["watch", "--timeout", "8"]);
    let has_escape = text.contains('\u{1b}');
    assert!(is_done && !has_escape, "done: {is_done}, {text:?}");
}

/// Guards against hosts that do not exist and hold a command up beyond the time that it is
/// given.
#[tokio::test]
async fn silent_hosts_hold_no_watch_up_beyond_its_timeout() {
    const SILENT_HOSTS: usize = 10;
    const TIMEOUT: Duration = Duration::from_secs(2);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let port = listener
        .local_addr()
        .expect("an address")
        .port()
        .to_string();
    tokio::spawn(async move {
        let mut connections: Vec<TcpStream> = Vec::new();
        while let Ok((connection, _)) = listener.accept().await {
            connections.push(connection);
        }
    });
    let store = StandinStore::start().await;
    for number in 0..SILENT_HOSTS {
        let host = PeerAddress {
            id: format!("g{number}"),
            address: "127.0.0.1:9".to_owned(),
            zone: "a".to_owned(),
            service: String::new(),
        };
        store.put("filbert-hosts", &host.id, &encode(&host));
    }
    let started = Instant::now();
    let output = tokio::process::Command::new(CTL_EXE)
        .args(["mesh", "--store", &store.address.to_string(), "watch", "1"])
        .args(["--metrics-port", &port, "--timeout", "2"])
        .output()
        .await
        .expect("filbertctl runs");
    assert!(!output.status.success());
    let took = started.elapsed();
    assert!(took < TIMEOUT * 3, "{took:?}");
}
