//! Helpers for tests that run a local mesh of daemon processes.

#![allow(dead_code)] // Each test binary uses only some of the helpers.

use std::path::Path;
use std::time::{Duration, Instant};

use filbert_standin::history::{applied_history, version_regressions};
use filbert_standin::mesh::LocalMesh;
use filbert_standin::process::DaemonProcess;
use filbert_standin::spec::MeshSpec;
use filbert_tree::{BranchPath, SettingsTree};

pub const DAEMON_EXE: &str = env!("CARGO_BIN_EXE_filbertd");
pub const CTL_EXE: &str = env!("CARGO_BIN_EXE_filbertctl");
pub const EXAMPLE_TREE_TOML: &str = include_str!("../../examples/coop.toml");
/// Longest wait for an expected event; far above the usual time, so that a slow
/// machine doesn't fail a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The settings tree of `examples/coop.toml`.
pub fn example_tree() -> SettingsTree {
    SettingsTree::from_toml(EXAMPLE_TREE_TOML).expect("example parses")
}

/// The example tree with another timeout of the site, to be published as a later
/// version.
pub fn example_tree_with_timeout(timeout_ms: u64) -> SettingsTree {
    let mut tree = example_tree();
    tree.set(&BranchPath::Site, "timeout_ms", &timeout_ms.to_string())
        .expect("an edit");
    tree
}

/// Starts a mesh, publishes the example tree as version 1 and waits until every
/// daemon has it in force.
pub async fn start_mesh_with_example(spec: MeshSpec) -> LocalMesh {
    let mesh = LocalMesh::start(spec).await;
    mesh.publish(1, &example_tree(), None).await;
    let applied = mesh.wait_until_applied(1, WAIT_TIMEOUT).await;
    assert!(applied.is_some(), "version 1 not in force");
    mesh
}

/// A mesh of the tested `filbertd` binary with targets of `services`.
pub fn mesh_spec(services: &[&str]) -> MeshSpec {
    MeshSpec::new(Path::new(DAEMON_EXE), services)
}

/// Calls `path` through a daemon's proxy as `member`.
pub async fn get(daemon_url: &str, member: &str, path: &str) -> reqwest::Response {
    filbert_standin::http::direct_client()
        .get(format!("{daemon_url}{path}"))
        .header("x-filbert-member", member)
        .send()
        .await
        .expect("the proxy responds")
}

/// A daemon's status, or `Value::Null` when the daemon sends no valid status
/// within 500 ms.
pub async fn status(daemon: &DaemonProcess) -> serde_json::Value {
    let response = filbert_standin::http::direct_client()
        .get(format!("{}/status", daemon.admin_url))
        .timeout(Duration::from_millis(500))
        .send()
        .await;
    match response {
        Ok(response) => response.json().await.unwrap_or_default(),
        Err(_) => serde_json::Value::Null,
    }
}

/// Polls `check` every 20 ms until it returns true, for at most `timeout`;
/// returns whether it did.
pub async fn eventually<F, Fut>(timeout: Duration, mut check: F) -> bool
where
    F: FnMut() -> Fut,
    Fut: std::future::Future<Output = bool>,
{
    let started = Instant::now();
    while started.elapsed() < timeout {
        if check().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Prints the status and the log of each daemon of `zone`.
pub async fn print_zone(mesh: &LocalMesh, zone: &str) {
    for daemon in mesh.daemons.iter().filter(|daemon| daemon.zone == zone) {
        let log = std::fs::read_to_string(&daemon.log_path).unwrap_or_default();
        eprintln!("{} {}\n{log}", daemon.id, status(daemon).await);
    }
}

/// Waits until the daemons at `indices` all have version `number` in force.
/// Returns false when one of them doesn't within [`WAIT_TIMEOUT`], after printing
/// the logs of its zone.
pub async fn wait_until_applied_on(mesh: &LocalMesh, indices: &[usize], number: u64) -> bool {
    for index in indices {
        let daemon = &mesh.daemons[*index];
        let applied = eventually(WAIT_TIMEOUT, || async {
            status(daemon).await["applied"] == number
        })
        .await;
        if !applied {
            eprintln!("{} did not apply version {number}", daemon.id);
            print_zone(mesh, &daemon.zone).await;
            return false;
        }
    }
    true
}

/// Index of the daemon that is the relay of `zone` (holds its lease), or `None`
/// while there is none.
pub async fn relay_index(mesh: &LocalMesh, zone: &str) -> Option<usize> {
    for (index, daemon) in mesh.daemons.iter().enumerate() {
        if daemon.zone == zone && status(daemon).await["role"] == "leader" {
            return Some(index);
        }
    }
    None
}

/// Asserts that no daemon has applied an older version after a newer one so far.
pub fn assert_no_version_regressions(mesh: &LocalMesh) {
    let history = applied_history(mesh);
    assert!(!history.is_empty(), "no history recorded");
    assert_eq!(
        version_regressions(&history),
        [],
        "a daemon applied an older version"
    );
}

/// Number of targets of `service` that a daemon knows in its zone.
pub async fn known_target_count(daemon: &DaemonProcess, service: &str) -> u64 {
    let url = format!("{}/status", daemon.admin_url);
    let response = filbert_standin::http::direct_client()
        .get(url)
        .send()
        .await
        .expect("the daemon responds");
    let status: serde_json::Value = response.json().await.expect("a status is JSON");
    status["targets"][service].as_u64().unwrap_or(0)
}
