//! Tests of the operator's commands `filbertctl mesh`, with stand-ins for the rest of the
//! platform.

#[path = "support/answering_server.rs"]
mod answering_server;
#[path = "support/faulty_heads.rs"]
mod faulty_heads;
#[path = "support/users.rs"]
mod users;

use std::process::Output;

use answering_server::AnsweringServer;
use faulty_heads::{faulty_heads, FaultyHead};
use filbert_mesh::rows::HOSTS_TABLE;
use filbert_platform_standin::{config_text, RouteSpec};
use users::{eventually, fleet, publish, Fleet, WAIT_TIMEOUT};

/// Runs `filbertctl mesh` with `args` against the fleet's store.
async fn filbertctl(fleet: &Fleet, args: &[&str]) -> Output {
    let store = fleet.store.address.to_string();
    tokio::process::Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["mesh", "--store", &store])
        .args(args)
        .output()
        .await
        .expect("filbertctl runs")
}

/// Returns the standard output of a command, which must have succeeded.
fn stdout_of(output: &Output) -> String {
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test]
async fn show_hosts_and_diff_print_the_tree_the_hosts_and_the_changes() {
    let routes = [
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ];
    let fleet = fleet(
        &routes,
        &[("caller", "a", "art"), ("quoter", "b", "quotes")],
    )
    .await;
    let shown = stdout_of(&filbertctl(&fleet, &["show"]).await);
    for part in [
        "site (version 00000001)",
        "shop.example",
        "r-1",
        "kind = at most once",
        "timeout_ms = 2000",
    ] {
        assert!(shown.contains(part), "{part} is not in:\n{shown}");
    }
    let subtree = stdout_of(&filbertctl(&fleet, &["show", "shop.example/quotes/r-0"]).await);
    assert!(
        subtree.contains("r-0") && !subtree.contains("r-1"),
        "{subtree}"
    );
    let are_registered = || async { fleet.store.keys(HOSTS_TABLE).len() == 2 };
    assert!(eventually(WAIT_TIMEOUT, are_registered).await);
    let hosts = stdout_of(&filbertctl(&fleet, &["hosts", "--output", "json"]).await);
    let hosts: serde_json::Value = serde_json::from_str(&hosts).expect("JSON");
    assert_eq!(hosts[1]["id"], "quoter");

    let saved_path =
        std::env::temp_dir().join(format!("filbert-config-{}.json", std::process::id()));
    std::fs::write(&saved_path, config_text(1, &routes)).expect("saved");
    let mut changed = routes.to_vec();
    changed[0].timeout_ms = 900;
    changed.push(RouteSpec::reads("/new/", "quotes"));
    publish(&fleet.store, 2, &changed);
    let diff = stdout_of(&filbertctl(&fleet, &["diff", &saved_path.display().to_string()]).await);
    std::fs::remove_file(&saved_path).expect("removed");
    assert!(
        diff.contains("~ shop.example/quotes/r-0.timeout_ms = 2000 -> 900"),
        "{diff}"
    );
    assert!(
        diff.contains("+ shop.example/quotes/r-2.prefix = /new/"),
        "{diff}"
    );
    assert!(!diff.contains("r-1"), "{diff}");
}

#[tokio::test]
async fn watch_names_the_hosts_that_lack_a_version() {
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let fleet = fleet(&routes, &[("quoter", "b", "quotes")]).await;
    let port = fleet.hosts[0].metrics.port().to_string();
    let args = ["watch", "1", "--metrics-port", &port];
    let watched = stdout_of(&filbertctl(&fleet, &args).await);
    assert!(watched.contains("in force everywhere"), "{watched}");
    let args = ["watch", "7", "--metrics-port", &port, "--timeout", "1"];
    let output = filbertctl(&fleet, &args).await;
    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(
        message.contains("version 00000007 is missing on quoter"),
        "{message}"
    );
}

#[tokio::test]
async fn status_prints_each_daemons_version_or_that_it_does_not_answer() {
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let mut fleet = fleet(&routes, &[("quoter", "b", "quotes")]).await;
    let port = fleet.hosts[0].metrics.port().to_string();
    let args = ["status", "--metrics-port", &port];
    let shown = stdout_of(&filbertctl(&fleet, &args).await);
    let line = shown.lines().nth(1).expect("a line for the host");
    assert!(
        line.contains("quoter") && line.contains("00000001"),
        "{shown}"
    );
    let args = ["status", "--metrics-port", &port, "--output", "json"];
    let shown = stdout_of(&filbertctl(&fleet, &args).await);
    let hosts: serde_json::Value = serde_json::from_str(&shown).expect("JSON");
    assert_eq!(hosts[0]["service"], "quotes");
    assert_eq!(hosts[0]["daemon"]["version"], 1);
    assert!(
        hosts[0]["daemon"]["memory_bytes"].as_u64() > Some(0),
        "{shown}"
    );
    let clients = &hosts[0]["daemon"]["clients"];
    for kind in ["connections", "call_bytes", "answer_bytes"] {
        assert!(clients[kind]["limit"].as_u64() > Some(0), "{kind}: {shown}");
    }
    fleet.hosts[0].kill();
    let args = ["status", "--metrics-port", &port];
    let shown = stdout_of(&filbertctl(&fleet, &args).await);
    assert!(shown.contains("does not answer"), "{shown}");
}

/// Guards against a version that is said to be in force because a server in trouble, or none of
/// ours, answered in a daemon's place.
#[tokio::test]
async fn a_faulty_head_is_no_answer_of_a_daemon() {
    const METRICS: &str = "filbert_version{} 7\n";
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let fleet = fleet(&routes, &[("quoter", "b", "quotes")]).await;
    let sound = FaultyHead::NONE.answer("", METRICS);
    assert!(
        shows_version(&fleet, sound).await,
        "a sound head is refused"
    );
    let refusal = FaultyHead {
        fault: "a refusal".to_owned(),
        status: "503",
        ..FaultyHead::NONE
    };
    for head in faulty_heads().into_iter().chain([refusal]) {
        let answer = head.answer("", METRICS);
        assert!(!shows_version(&fleet, answer).await, "{}", head.fault);
    }
}

/// Whether `filbertctl mesh status` shows a version for the only host when its metrics port
/// answers `answer`.
async fn shows_version(fleet: &Fleet, answer: Vec<u8>) -> bool {
    let server = AnsweringServer::start(answer).await;
    let (_, port) = server.address.rsplit_once(':').expect("a port");
    let args = ["status", "--metrics-port", port, "--output", "json"];
    let shown = stdout_of(&filbertctl(fleet, &args).await);
    let hosts: serde_json::Value = serde_json::from_str(&shown).expect("JSON");
    !hosts[0]["daemon"].is_null()
}
