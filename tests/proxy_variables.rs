//! Processes whose environment names an HTTP proxy, as that of an operator's shell may.

mod support;

use std::process::{Child, Command, Stdio};
use std::time::Duration;

use filbert_daemon::settings::DistributionMode;
use filbert_standin::mesh::LocalMesh;
use support::{get, mesh_spec, start_mesh_with_example, CTL_EXE, DAEMON_EXE, WAIT_TIMEOUT};

/// The variables that HTTP clients read.
const VARIABLES: [&str; 4] = ["HTTP_PROXY", "http_proxy", "ALL_PROXY", "all_proxy"];

/// A process that is killed when the test ends.
struct KilledChild(Child);

impl Drop for KilledChild {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A command in whose environment the proxy is a port at which nobody listens.
fn behind_proxy(exe: &str) -> Command {
    let mut command = Command::new(exe);
    let url = format!("http://127.0.0.1:{}", filbert_standin::ports::free_port());
    command.envs(VARIABLES.map(|name| (name, url.clone())));
    for name in ["NO_PROXY", "no_proxy", "REQUEST_METHOD"] {
        command.env_remove(name);
    }
    command
}

async fn mesh() -> LocalMesh {
    let spec = mesh_spec(&["quoting"]).zones(&["zone-a"]);
    let spec = spec.daemons_per_zone(1).mode(DistributionMode::Direct);
    start_mesh_with_example(spec).await
}

/// Guards against a daemon that sends its calls and its reads of the store to a proxy.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_follows_no_proxy_variable() {
    let mut mesh = mesh().await;
    mesh.daemons[0].kill();
    let started = behind_proxy(DAEMON_EXE)
        .arg("--config")
        .arg(&mesh.daemons[0].config_path)
        .stdout(Stdio::null())
        .spawn();
    let _daemon = KilledChild(started.expect("filbertd starts"));
    assert!(mesh.daemons[0].wait_until_ready().await);
    let applied = mesh.wait_until_applied(1, Duration::from_secs(10)).await;
    assert!(applied.is_some(), "the store was not read");
    let proxy = &mesh.daemons[0].proxy_url;
    let answer = get(proxy, "north-signs", "/quotes/1").await;
    assert_eq!(answer.status(), 200);
}

/// Guards against an operator's command that asks the store or a daemon through a proxy.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn command_follows_no_proxy_variable() {
    let mesh = mesh().await;
    let has_status = || async { !mesh.statuses().await.is_empty() };
    assert!(support::eventually(WAIT_TIMEOUT, has_status).await);
    let out = mesh.dir.join("samples");
    let sample = ["report", "sample", "--daemon", &mesh.daemons[0].admin_url];
    let commands: [&[&str]; 2] = [&["status"], &sample];
    for args in commands {
        let mut command = behind_proxy(CTL_EXE);
        command.args(["--platform", &mesh.platform.url]).args(args);
        if args == sample {
            command.arg("--out").arg(&out);
        }
        let output = command.output().expect("filbertctl runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let expected = if args == sample {
            "1 of 1 daemons"
        } else {
            "version in force: 1"
        };
        assert!(text.contains(expected), "{args:?}: {text}");
    }
}
