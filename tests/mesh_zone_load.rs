//! Tests of the sharing of a service's load among availability zones.

#[path = "support/users.rs"]
mod users;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, Host, RouteSpec, TargetBehaviour};
use nix::sys::signal::Signal;
use users::{eventually, eventually_logs, fleet, Fleet, WAIT_TIMEOUT};

/// Number of clients that send one call after the other. A target runs four calls at once.
const CLIENTS: usize = 8;
/// Run time of a call.
const RUN_TIME: Duration = Duration::from_millis(100);

/// Clients of one host, until they are dropped.
struct Clients(Arc<AtomicBool>);

impl Clients {
    fn start(host: &Host) -> Clients {
        let is_stopped = Arc::new(AtomicBool::new(false));
        for client in 0..CLIENTS {
            let (calls, is_stopped) = (host.calls, Arc::clone(&is_stopped));
            tokio::spawn(async move {
                for number in 0.. {
                    if is_stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{client}-{number}");
                    Client::once(calls, "GET /read/a HTTP/1.1", &call_headers(&id), b"").await;
                }
            });
        }
        Clients(is_stopped)
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A caller and one target in zone `a`, and three targets in zone `b`.
async fn uneven_fleet() -> Fleet {
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let hosts = [
        ("caller", "a", "art"),
        ("near", "a", "quotes"),
        ("far-1", "b", "quotes"),
        ("far-2", "b", "quotes"),
        ("far-3", "b", "quotes"),
    ];
    let fleet = fleet(&routes, &hosts).await;
    for host in &fleet.hosts[1..] {
        host.target
            .set_behaviour(TargetBehaviour::RespondsAfter(RUN_TIME));
    }
    fleet
}

/// Number of calls that the daemon of `host` has sent to zone `b` to share load.
async fn sent_calls(host: &Host) -> u64 {
    let metrics = host.metrics_text().await;
    let is_sent = |line: &&str| {
        line.starts_with("filbert_zone_calls")
            && line.contains("\"sent\"")
            && line.contains("\"b\"")
    };
    let line = metrics.lines().find(is_sent);
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or_default()
}

/// The latest line of `host` on a part of its zone's calls; empty if there is none.
fn last_share(host: &Host) -> String {
    let log = host.log();
    let mut lines = log.lines().rev();
    let line = lines.find(|line| line.contains("event=zone_share"));
    line.unwrap_or_default().to_owned()
}

/// Guards against a zone with too few targets that keeps its calls, and against one that
/// sends calls to a zone that is cut off.
#[tokio::test]
async fn a_zone_short_of_targets_sends_calls_until_it_is_cut_off() {
    let fleet = uneven_fleet().await;
    let caller = &fleet.hosts[0];
    let clients = Clients::start(caller);
    let begun = "event=zone_share service=quotes from=a to=b part=0.";
    assert!(eventually_logs(caller, begun).await, "{}", caller.log());
    let has_sent = || async { sent_calls(caller).await > 20 };
    assert!(eventually(WAIT_TIMEOUT, has_sent).await, "{}", caller.log());
    assert_services_are_listed(&fleet).await;
    for far in &fleet.hosts[2..] {
        far.signal(Signal::SIGSTOP);
    }
    for far in &fleet.hosts[2..] {
        let silent = format!("event=link_silent peer={}", far.spec.name);
        assert!(eventually_logs(caller, &silent).await, "{}", caller.log());
    }
    let has_ended = || async { last_share(caller).contains("to=b part=0.00") };
    assert!(
        eventually(WAIT_TIMEOUT, has_ended).await,
        "{}",
        caller.log()
    );
    let (sent, ran) = (sent_calls(caller).await, fleet.hosts[1].target.runs().len());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(sent_calls(caller).await, sent, "{}", caller.log());
    assert!(fleet.hosts[1].target.runs().len() > ran, "no call ran");
    drop(clients);
    for far in &fleet.hosts[2..] {
        far.signal(Signal::SIGCONT);
    }
}

/// Asserts that `filbertctl mesh services` shows the loads that the caller uses.
async fn assert_services_are_listed(fleet: &Fleet) {
    let store = fleet.store.address.to_string();
    let port = fleet.hosts[0].metrics.port().to_string();
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["mesh", "--store", &store, "services", "--output", "json"])
        .args(["--metrics-port", &port])
        .output();
    let output = output.await.expect("filbertctl runs");
    // Each daemon of the test has a port of its own, so only the caller answers.
    let loads: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let quotes = &loads["quotes"];
    assert_eq!(quotes["a"]["targets"], 1.0, "{loads}");
    assert_eq!(quotes["b"]["slots"], 12.0, "{loads}");
    assert!(quotes["a"]["sent_to"]["b"].as_f64() > Some(0.0), "{loads}");
    assert!(quotes["a"]["demand"].as_f64() > Some(2.0), "{loads}");
}

/// Guards against messages, lines and decisions where no service uses most of its
/// capacity.
#[tokio::test]
async fn nothing_is_shared_without_need() {
    let fleet = uneven_fleet().await;
    let caller = &fleet.hosts[0];
    for number in 0..20 {
        let id = format!("c-{number}");
        let answer = caller.call("GET /read/a HTTP/1.1", &id, b"");
        assert_eq!(answer.await.expect("an answer").status, 200);
    }
    for host in &fleet.hosts {
        assert!(!host.log().contains("event=zone_share"), "{}", host.log());
        assert!(!host.metrics_text().await.contains("filbert_zone_load"));
    }
    assert_eq!(sent_calls(caller).await, 0);
}
