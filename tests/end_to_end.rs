//! End-to-end tests in separate processes: the platform stand-in and the targets
//! run in the test process, every daemon is a `filbertd` process, and every step
//! of an operator is a `filbertctl` process.

mod support;

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use filbert_standin::mesh::LocalMesh;
use filbert_standin::spec::MeshSpec;
use filbert_standin::target::TargetMode;
use support::{get, CTL_EXE, DAEMON_EXE};

/// Longest wait for a version to come into force on every daemon.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs `filbertctl` against the mesh and returns its exit code and output.
fn ctl(mesh: &LocalMesh, args: &[&str]) -> (i32, String) {
    let output = Command::new(CTL_EXE)
        .arg("--platform")
        .arg(&mesh.platform.url)
        .args(args)
        .output()
        .expect("filbertctl runs");
    let text = format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    (output.status.code().unwrap_or(-1), text)
}

/// Path of a file in `examples/`.
fn example_path(name: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
        .to_string_lossy()
        .into_owned()
}

/// Calls through every daemon reach a target of the right service in the daemon's
/// own zone, each caller gets the response to its own call, and no member reaches
/// another member's routes.
async fn check_calls_stay_in_zone_and_member(mesh: &LocalMesh) {
    for (index, daemon) in mesh.daemons.iter().enumerate() {
        let response = get(
            &daemon.proxy_url,
            "north-signs",
            &format!("/quotes/{index}"),
        )
        .await;
        assert_eq!(response.status(), 200);
        let body: serde_json::Value = response.json().await.expect("a JSON response");
        assert_eq!(body["service"], "quoting");
        assert_eq!(body["path"], format!("/quotes/{index}"));
        let zone_targets: Vec<&str> = mesh
            .daemons
            .iter()
            .zip(mesh.targets.chunks(2))
            .filter(|(other, _)| other.zone == daemon.zone)
            .flat_map(|(_, targets)| targets.iter().map(|target| target.address.as_str()))
            .collect();
        let chosen = body["target"].as_str().unwrap_or_default();
        assert!(
            zone_targets.contains(&chosen),
            "{chosen} is not in {}",
            daemon.zone
        );
    }

    let response = get(&mesh.daemons[0].proxy_url, "harbour-signs", "/stock/7").await;
    assert_eq!(response.status(), 404);
}

/// Each order sent through the proxies runs exactly once.
async fn check_orders_run_once(mesh: &LocalMesh) {
    let http = filbert_standin::http::direct_client();
    for (index, daemon) in mesh.daemons.iter().enumerate() {
        let response = http
            .post(format!("{}/orders", daemon.proxy_url))
            .header("x-filbert-member", "north-signs")
            .body(format!("order {index}"))
            .send()
            .await
            .expect("the proxy responds");
        assert_eq!(response.status(), 200);
    }
    let mut bodies: Vec<String> = mesh
        .executions
        .records()
        .into_iter()
        .map(|record| record.body)
        .collect();
    bodies.sort();
    assert_eq!(bodies, ["order 0", "order 1", "order 2", "order 3"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accepted_edit_reaches_every_daemon_and_withdrawal_restores_it() {
    let mesh = LocalMesh::start(MeshSpec::new(
        Path::new(DAEMON_EXE),
        &["quoting", "artwork"],
    ))
    .await;
    let (code, text) = ctl(&mesh, &["edit", "--file", &example_path("coop.toml")]);
    assert_eq!(code, 0, "{text}");
    let (code, text) = ctl(&mesh, &["accept"]);
    assert_eq!((code, text.trim()), (0, "accepted version 1"));
    assert!(
        mesh.wait_until_applied(1, IN_FORCE_TIMEOUT).await.is_some(),
        "version 1 not in force"
    );

    check_calls_stay_in_zone_and_member(&mesh).await;
    check_orders_run_once(&mesh).await;

    // An edit that is accepted with `--expect` and its base version comes into force
    // everywhere.
    let (code, text) = ctl(
        &mesh,
        &[
            "set",
            "site/north-signs/quoting/quotes",
            "timeout_ms",
            "900",
        ],
    );
    assert_eq!(code, 0, "{text}");
    let (_, diff) = ctl(&mesh, &["diff"]);
    assert_eq!(
        diff.trim(),
        "+ site/north-signs/quoting/quotes.timeout_ms = 900"
    );
    let (code, text) = ctl(&mesh, &["accept", "--expect", "1"]);
    assert_eq!((code, text.trim()), (0, "accepted version 2"));
    let (code, text) = ctl(&mesh, &["watch", "--timeout", "10"]);
    assert_eq!(code, 0, "{text}");
    assert!(
        mesh.wait_until_applied(2, IN_FORCE_TIMEOUT).await.is_some(),
        "version 2 not in force"
    );

    // A withdrawal creates a new version with the content of the version before.
    let (code, text) = ctl(&mesh, &["withdraw", "--expect", "2"]);
    assert_eq!(
        (code, text.trim()),
        (0, "withdrew version 2: version 3 restores version 1")
    );
    assert!(
        mesh.wait_until_applied(3, IN_FORCE_TIMEOUT).await.is_some(),
        "version 3 not in force"
    );
    let (_, shown) = ctl(
        &mesh,
        &["show", "site/north-signs/quoting/quotes", "--resolved"],
    );
    assert!(shown.contains("timeout_ms = 1500"), "{shown}");
    // The statuses that operators read lag behind the version in force; `watch` waits
    // until they show it.
    let (code, text) = ctl(&mesh, &["watch", "3", "--timeout", "10"]);
    assert_eq!(code, 0, "{text}");
    assert_eq!(mesh.statuses().await.len(), mesh.daemons.len());
    for status in mesh.statuses().await {
        assert_eq!(status.applied, 3, "{} did not apply version 3", status.id);
    }
    check_json_output(&mesh);
}

/// `status` and `show` print the fleet, a branch and the whole tree as JSON.
fn check_json_output(mesh: &LocalMesh) {
    let read = |args: &[&str]| -> serde_json::Value {
        let (code, text) = ctl(mesh, args);
        assert_eq!(code, 0, "{text}");
        serde_json::from_str(&text).expect("JSON")
    };
    let status = read(&["status", "--output", "json"]);
    assert_eq!(status["version"], 3);
    let live = status["live"].as_array().map_or(0, Vec::len);
    assert_eq!(live, mesh.daemons.len(), "{status}");
    let branch = "site/north-signs/quoting/quotes";
    let shown = read(&["show", branch, "--resolved", "--output", "json"]);
    assert_eq!(shown["settings"]["timeout_ms"], 1500, "{shown}");
    let whole = read(&["show", "--output", "json"]);
    assert_eq!(whole["version"], 3);
    assert!(whole["tree"].is_object(), "{whole}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn burn_report_counts_the_calls_of_running_daemons() {
    // The daemons' call counters are sampled before and after ten quotes, two of
    // which fail at their target. A failure rate of a fifth is 20 times the error
    // budget of a 99% objective.
    let mesh =
        support::start_mesh_with_example(support::mesh_spec(&["quoting"]).zones(&["zone-a"])).await;
    let samples = mesh.dir.join("calls.jsonl").to_string_lossy().into_owned();
    let plot = mesh.dir.join("burn.svg");
    let urls: Vec<&str> = mesh
        .daemons
        .iter()
        .map(|daemon| daemon.admin_url.as_str())
        .collect();
    let mut sample = vec!["report", "sample", "--out", &samples];
    for url in urls {
        sample.extend(["--daemon", url]);
    }
    let proxy = &mesh.daemons[0].proxy_url;
    get(proxy, "north-signs", "/quotes/before").await;
    let (code, text) = ctl(&mesh, &sample);
    assert_eq!((code, text.trim()), (0, "2 of 2 daemons sampled"));
    // Sample times are whole seconds, so samples must be at least a second apart.
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    for call in 0..10 {
        let mode = if call < 2 {
            TargetMode::Fails
        } else {
            TargetMode::Normal
        };
        for target in &mesh.targets {
            target.set_mode(mode);
        }
        get(proxy, "north-signs", &format!("/quotes/{call}")).await;
    }
    assert_eq!(ctl(&mesh, &sample).0, 0);
    let svg = plot.to_string_lossy().into_owned();
    let burn = [
        "report",
        "burn",
        "--samples",
        &samples,
        "--objective",
        "0.99",
        "--svg",
        &svg,
    ];
    let (code, text) = ctl(&mesh, &burn);
    assert_eq!(code, 0, "{text}");
    let row: Vec<&str> = text
        .lines()
        .find(|line| line.starts_with("quoting"))
        .expect("a row for quoting")
        .split_whitespace()
        .collect();
    assert_eq!(row, ["quoting", "10", "2", "20.00", "20.00"], "{text}");
    assert!(plot.exists());
    let (code, text) = ctl(&mesh, &["report", "burn", "--samples", "/nowhere.jsonl"]);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("/nowhere.jsonl"), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_edit_is_rejected_with_its_reason_and_nothing_changes() {
    // An operator points a route at a service that its member lacks, then sets an
    // invalid timeout. filbertctl must reject both with the reason and exit code
    // 2, and leave the pending tree and the version in force unchanged.
    let mesh =
        LocalMesh::start(MeshSpec::new(Path::new(DAEMON_EXE), &["quoting"]).daemons_per_zone(1))
            .await;
    assert_eq!(
        ctl(&mesh, &["edit", "--file", &example_path("coop.toml")]).0,
        0
    );
    assert_eq!(ctl(&mesh, &["accept"]).0, 0);
    let (code, text) = ctl(
        &mesh,
        &[
            "set",
            "site/north-signs/quoting/quotes",
            "service",
            "nowhere",
        ],
    );
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("unknown service `nowhere`"), "{text}");
    let (code, text) = ctl(&mesh, &["set", "site/north-signs", "timeout_ms", "soon"]);
    assert_eq!(code, 2, "{text}");
    assert!(
        text.contains("`soon` is not a valid value for `timeout_ms`"),
        "{text}"
    );
    let (_, diff) = ctl(&mesh, &["diff"]);
    assert_eq!(diff.trim(), "no pending change against version 1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_accepts_yield_one_version_and_one_rejection() {
    // Two operators accept on top of the same version at the same time. Exactly
    // one gets the new version number; the other is told of the conflict and
    // changes nothing. Version numbers must neither skip nor repeat.
    let mesh =
        LocalMesh::start(MeshSpec::new(Path::new(DAEMON_EXE), &["quoting"]).daemons_per_zone(1))
            .await;
    assert_eq!(
        ctl(&mesh, &["edit", "--file", &example_path("coop.toml")]).0,
        0
    );
    assert_eq!(ctl(&mesh, &["accept"]).0, 0);
    assert_eq!(ctl(&mesh, &["set", "site", "retries", "2"]).0, 0);
    let url = mesh.platform.url.clone();
    let racers: Vec<_> = (0..2)
        .map(|_| {
            let url = url.clone();
            std::thread::spawn(move || {
                Command::new(CTL_EXE)
                    .args(["--platform", &url, "accept", "--expect", "1"])
                    .output()
                    .expect("filbertctl runs")
            })
        })
        .collect();
    let outputs: Vec<_> = racers
        .into_iter()
        .map(|racer| racer.join().expect("racer ends"))
        .collect();
    let codes: Vec<i32> = outputs
        .iter()
        .map(|output| output.status.code().unwrap_or(-1))
        .collect();
    let mut sorted = codes.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, [0, 1], "{outputs:?}");
    let rejected = &outputs[codes.iter().position(|code| *code == 1).unwrap_or(0)];
    let stderr = String::from_utf8_lossy(&rejected.stderr);
    assert!(
        stderr.contains("accepted by another operator") || stderr.contains("is in force, not 1"),
        "{stderr}"
    );
    let (_, shown) = ctl(&mesh, &["show"]);
    assert!(shown.starts_with("# version 2"), "{shown}");
}

#[test]
fn daemon_with_malformed_settings_names_file_line_and_key_and_exits_2() {
    // With a mistyped key in its settings, a daemon must not start: it prints the
    // file, the line and the key, and exits with code 2.
    let dir = std::env::temp_dir().join(format!("filbert-bad-settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("temp dir");
    let path = dir.join("bad.toml");
    std::fs::write(
        &path,
        "id = \"a1\"\nzone = \"zone-a\"\nproxy_listen = \"127.0.0.1:1\"\nadmin_listen = \"127.0.0.1:2\"\nplatfrom = \"http://127.0.0.1:3\"\n",
    )
    .expect("write settings");
    let output = Command::new(DAEMON_EXE)
        .arg("--config")
        .arg(&path)
        .output()
        .expect("filbertd runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains("bad.toml"), "{stderr}");
    assert!(stderr.contains("line 5"), "{stderr}");
    assert!(stderr.contains("platfrom"), "{stderr}");
    let _ = std::fs::remove_dir_all(&dir);
}
