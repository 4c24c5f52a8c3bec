//! The operator's commands between stand-ins of the users' platform.

#[path = "support/users.rs"]
mod users;

use std::process::Output;

use filbert_platform_standin::{config_text, RouteSpec};
use users::{fleet, publish, Fleet};

async fn ctl(fleet: &Fleet, words: &[&str]) -> Output {
    let store = fleet.store.address.to_string();
    tokio::process::Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["mesh", "--store", &store])
        .args(words)
        .output()
        .await
        .expect("it runs")
}

fn text(output: &Output) -> String {
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test]
async fn an_operator_sees_the_tree_its_changes_and_the_hosts() {
    let routes = [
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ];
    let fleet = fleet(
        &routes,
        &[("caller", "a", "art"), ("quoter", "b", "quotes")],
    )
    .await;
    let shown = text(&ctl(&fleet, &["show"]).await);
    for part in [
        "site (version 00000001)",
        "shop.example",
        "r-1",
        "kind = at most once",
        "timeout_ms = 2000",
    ] {
        assert!(shown.contains(part), "{part} is not in:\n{shown}");
    }
    let below = text(&ctl(&fleet, &["show", "shop.example/quotes/r-0"]).await);
    assert!(below.contains("r-0") && !below.contains("r-1"), "{below}");
    let hosts = text(&ctl(&fleet, &["hosts", "--output", "json"]).await);
    let hosts: serde_json::Value = serde_json::from_str(&hosts).expect("JSON");
    assert_eq!(hosts[1]["id"], "quoter");

    let saved = std::env::temp_dir().join(format!("filbert-config-{}.json", std::process::id()));
    std::fs::write(&saved, config_text(1, &routes)).expect("saved");
    let mut changed = routes.to_vec();
    changed[0].timeout_ms = 900;
    changed.push(RouteSpec::reads("/new/", "quotes"));
    publish(&fleet.store, 2, &changed);
    let diff = text(&ctl(&fleet, &["diff", &saved.display().to_string()]).await);
    std::fs::remove_file(&saved).expect("removed");
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
async fn a_watch_tells_where_a_version_is_missing() {
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let fleet = fleet(&routes, &[("quoter", "b", "quotes")]).await;
    let port = fleet.hosts[0].metrics.port().to_string();
    let words = ["watch", "1", "--metrics-port", &port];
    let watched = text(&ctl(&fleet, &words).await);
    assert!(watched.contains("in force everywhere"), "{watched}");
    let words = ["watch", "7", "--metrics-port", &port, "--timeout", "1"];
    let output = ctl(&fleet, &words).await;
    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(
        message.contains("version 00000007 is missing on quoter"),
        "{message}"
    );
}

#[tokio::test]
async fn an_operator_sees_what_each_daemon_has_in_force() {
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let mut fleet = fleet(&routes, &[("quoter", "b", "quotes")]).await;
    let port = fleet.hosts[0].metrics.port().to_string();
    let words = ["status", "--metrics-port", &port];
    let shown = text(&ctl(&fleet, &words).await);
    let line = shown.lines().nth(1).expect("a line for the host");
    assert!(
        line.contains("quoter") && line.contains("00000001"),
        "{shown}"
    );
    let words = ["status", "--metrics-port", &port, "--output", "json"];
    let shown = text(&ctl(&fleet, &words).await);
    let hosts: serde_json::Value = serde_json::from_str(&shown).expect("JSON");
    assert_eq!(hosts[0]["service"], "quotes");
    assert_eq!(hosts[0]["daemon"]["version"], 1);
    assert!(
        hosts[0]["daemon"]["memory_bytes"].as_u64() > Some(0),
        "{shown}"
    );
    fleet.hosts[0].kill();
    let words = ["status", "--metrics-port", &port];
    let shown = text(&ctl(&fleet, &words).await);
    assert!(shown.contains("does not answer"), "{shown}");
}
