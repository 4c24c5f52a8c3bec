//! Helpers of the tests that run the daemons as processes.

#![allow(dead_code)] // Each test binary uses its own part of these.

use std::path::Path;
use std::time::{Duration, Instant};

use filbert_standin::history::{applied_history, backward_moves};
use filbert_standin::mesh::LocalMesh;
use filbert_standin::process::DaemonProcess;
use filbert_standin::spec::MeshSpec;
use filbert_tree::{BranchPath, SettingsTree};

pub const DAEMON_EXE: &str = env!("CARGO_BIN_EXE_filbertd");
pub const CTL_EXE: &str = env!("CARGO_BIN_EXE_filbertctl");
pub const COOP: &str = include_str!("../../examples/coop.toml");
/// How long tests wait for what must happen; far beyond what it takes, so
/// that a slow machine gives the same verdict.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub fn coop() -> SettingsTree {
    SettingsTree::from_toml(COOP).expect("example parses")
}

/// The example tree with the site's timeout changed, as a later version.
pub fn coop_with_timeout(timeout_ms: u64) -> SettingsTree {
    let mut tree = coop();
    tree.set(&BranchPath::Site, "timeout_ms", &timeout_ms.to_string())
        .expect("an edit");
    tree
}

/// Starts a mesh and puts the example tree in force on it as version 1.
pub async fn mesh_in_force(spec: MeshSpec) -> LocalMesh {
    let mesh = LocalMesh::start(spec).await;
    mesh.publish(1, &coop(), None).await;
    let settled = mesh.wait_in_force(1, WAIT_TIMEOUT).await;
    assert!(settled.is_some(), "version 1 not in force");
    mesh
}

pub fn spec(services: &[&str]) -> MeshSpec {
    MeshSpec::new(Path::new(DAEMON_EXE), services)
}

pub async fn get(daemon_url: &str, member: &str, path: &str) -> reqwest::Response {
    reqwest::Client::new()
        .get(format!("{daemon_url}{path}"))
        .header("x-filbert-member", member)
        .send()
        .await
        .expect("the proxy answers")
}

/// A daemon's status, or null when it does not answer.
pub async fn status(daemon: &DaemonProcess) -> serde_json::Value {
    let asked = reqwest::Client::new()
        .get(format!("{}/status", daemon.admin_url))
        .timeout(Duration::from_millis(500))
        .send()
        .await;
    match asked {
        Ok(reply) => reply.json().await.unwrap_or_default(),
        Err(_) => serde_json::Value::Null,
    }
}

/// Polls until `check` holds, for at most `within`; returns whether it did.
pub async fn eventually<F, Fut>(within: Duration, mut check: F) -> bool
where
    F: FnMut() -> Fut,
    Fut: std::future::Future<Output = bool>,
{
    let started = Instant::now();
    while started.elapsed() < within {
        if check().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Waits until the daemons at `indices` all have `number` in force.
pub async fn in_force_on(mesh: &LocalMesh, indices: &[usize], number: u64) -> bool {
    for index in indices {
        let daemon = &mesh.daemons[*index];
        let applied = eventually(WAIT_TIMEOUT, || async {
            status(daemon).await["applied"] == number
        })
        .await;
        if !applied {
            eprintln!("{} stays behind", daemon.id);
            for daemon in mesh
                .daemons
                .iter()
                .filter(|other| other.zone == daemon.zone)
            {
                let log = std::fs::read_to_string(&daemon.log_path).unwrap_or_default();
                eprintln!("{} {}\n{log}", daemon.id, status(daemon).await);
            }
            return false;
        }
    }
    true
}

/// The daemon that holds the lease of `zone`, by its place in the mesh.
pub async fn leader_of(mesh: &LocalMesh, zone: &str) -> Option<usize> {
    for (index, daemon) in mesh.daemons.iter().enumerate() {
        if daemon.zone == zone && status(daemon).await["role"] == "leader" {
            return Some(index);
        }
    }
    None
}

/// Checks the history of applied versions of every daemon so far.
pub fn assert_never_backward(mesh: &LocalMesh) {
    let history = applied_history(mesh);
    assert!(!history.is_empty(), "no history recorded");
    assert_eq!(backward_moves(&history), [], "a proxy moved back");
}

/// How many targets of `service` a daemon knows in its zone.
pub async fn targets_known(daemon: &DaemonProcess, service: &str) -> u64 {
    let url = format!("{}/status", daemon.admin_url);
    let reply = reqwest::get(url).await.expect("the daemon answers");
    let status: serde_json::Value = reply.json().await.expect("a status is JSON");
    status["targets"][service].as_u64().unwrap_or(0)
}
