//! Targets that name no place where a call can be sent, beside targets that serve.

mod support;

use std::time::Duration;

use filbert_standin::mesh::LocalMesh;
use support::{get, known_target_count, mesh_spec, start_mesh_with_example, WAIT_TIMEOUT};

/// Longest answer to an announcement and longest line of a log, in bytes.
const MAX_LINE_BYTES: usize = 500;
/// Time in which an announcement that was taken would reach the proxy.
const ANNOUNCE_TIME: Duration = Duration::from_millis(300);

/// A zone of one daemon with two targets of the service `quoting`.
async fn one_daemon_mesh(target_count: u64) -> LocalMesh {
    let spec = mesh_spec(&["quoting"]).zones(&["zone-a"]);
    let mesh = start_mesh_with_example(spec).await;
    let knows_all =
        || async { known_target_count(&mesh.daemons[0], "quoting").await == target_count };
    assert!(support::eventually(WAIT_TIMEOUT, knows_all).await);
    mesh
}

/// Announces a target of the service `quoting` to the first daemon.
async fn announce(mesh: &LocalMesh, address: &str) -> reqwest::Response {
    let announcement = serde_json::json!({
        "service": "quoting", "address": address, "load": 0, "leaving": false,
    });
    filbert_standin::http::direct_client()
        .post(format!("{}/announce", mesh.daemons[0].admin_url))
        .json(&announcement)
        .send()
        .await
        .expect("the admin port responds")
}

/// Number of `calls` calls through the first daemon that are not answered with 200.
async fn failed_calls(mesh: &LocalMesh, calls: usize) -> usize {
    let mut failed = 0;
    for call in 0..calls {
        let path = format!("/quotes/{call}");
        let answer = get(&mesh.daemons[0].proxy_url, "north-signs", &path).await;
        failed += usize::from(answer.status() != 200);
    }
    failed
}

/// Checks that each line of the first daemon's log is short and its own.
fn assert_short_log(mesh: &LocalMesh) {
    let log = std::fs::read_to_string(&mesh.daemons[0].log_path).expect("a log");
    for line in log.lines() {
        assert!(line.len() <= MAX_LINE_BYTES, "{} bytes", line.len());
        assert!(!line.starts_with("event=forged"), "a forged line");
    }
}

/// Guards against a target that is taken with an address that no call can be sent to, and gets
/// calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn target_with_an_unusable_address_is_refused() {
    let brackets = "[".repeat(30_000);
    let odd = [
        "[h:80",
        "h:http",
        "127.0.0.1:70000",
        "127.0.0.1:0",
        "127.0.0.1",
        "127.0.0.1:80\nevent=forged",
        " 127.0.0.1:80",
        "   ",
        &brackets,
        "",
        "http://127.0.0.1:80/",
    ];
    let mesh = one_daemon_mesh(2).await;
    for address in odd {
        let answer = announce(&mesh, address).await;
        let shown: String = address.chars().take(30).collect();
        assert_eq!(answer.status(), 422, "{shown:?}");
        let text = answer.text().await.expect("a text");
        assert!(text.contains("`address`"), "{text}");
        assert!(text.len() <= MAX_LINE_BYTES, "{} bytes", text.len());
        assert!(!text.trim_end().contains('\n'), "{text:?}");
    }
    tokio::time::sleep(ANNOUNCE_TIME).await;
    assert_eq!(failed_calls(&mesh, 50).await, 0);
    assert_eq!(known_target_count(&mesh.daemons[0], "quoting").await, 2);
    assert_short_log(&mesh);
}

/// Guards against a service whose name makes a line of its own in the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn announced_service_makes_one_line_of_the_log() {
    let mesh = one_daemon_mesh(2).await;
    let service = format!("quoting\nevent=forged {}", "x".repeat(30_000));
    let announcement = serde_json::json!({
        "service": service, "address": "127.0.0.1:9", "load": 0, "leaving": false,
    });
    let url = format!("{}/announce", mesh.daemons[0].admin_url);
    let post = filbert_standin::http::direct_client()
        .post(url)
        .json(&announcement)
        .send();
    assert_eq!(post.await.expect("an answer").status(), 202);
    tokio::time::sleep(ANNOUNCE_TIME).await;
    assert_short_log(&mesh);
}
