//! Helpers for tests of canary roll-outs on stand-ins.

#![allow(dead_code)] // Each test binary uses only some of the helpers.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, Host, HostSpec, RouteSpec, StandinStore, TargetBehaviour};

use crate::users::{eventually, fleet, host_spec, Fleet};

/// Run time of a call at a healthy target.
pub const RUN_TIME: Duration = Duration::from_millis(30);
/// Time from an order to the deadline of its roll-out.
pub const ROLLOUT_TIME: Duration = Duration::from_secs(9);
/// Time after a roll-back within which calls in flight may still reach a target.
pub const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Number of clients, each of which sends one call at a time.
pub const CLIENT_COUNT: usize = 8;

/// Clients that send calls until they are stopped.
pub struct Traffic {
    is_stopped: Arc<AtomicBool>,
    calls_made: Arc<AtomicUsize>,
    calls_failed: Arc<AtomicUsize>,
    clients: Vec<tokio::task::JoinHandle<()>>,
}

impl Traffic {
    /// Starts clients that call through `caller`: GET calls on two routes, and POST
    /// calls on a third.
    pub fn start(caller: &Host) -> Traffic {
        let traffic = Traffic {
            is_stopped: Arc::default(),
            calls_made: Arc::default(),
            calls_failed: Arc::default(),
            clients: Vec::new(),
        };
        let clients = (0..CLIENT_COUNT).map(|client| {
            let (is_stopped, calls_made, calls_failed) = (
                Arc::clone(&traffic.is_stopped),
                Arc::clone(&traffic.calls_made),
                Arc::clone(&traffic.calls_failed),
            );
            let calls = caller.calls;
            tokio::spawn(async move {
                let mut number = 0;
                while !is_stopped.load(Ordering::Relaxed) {
                    number += 1;
                    let line = match number % 3 {
                        0 => "POST /order/ HTTP/1.1",
                        1 => "GET /read/a HTTP/1.1",
                        _ => "GET /rare/a HTTP/1.1",
                    };
                    let id = format!("c{client}-{number}");
                    let answer = Client::once(calls, line, &call_headers(&id), b"").await;
                    calls_made.fetch_add(1, Ordering::Relaxed);
                    if answer.is_none_or(|answer| answer.status != 200) {
                        calls_failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        });
        let clients = clients.collect();
        Traffic { clients, ..traffic }
    }

    /// Stops the clients. Returns the number of calls and of those that failed.
    pub async fn stop(self) -> (usize, usize) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.await.expect("a client panicked");
        }
        (
            self.calls_made.load(Ordering::Relaxed),
            self.calls_failed.load(Ordering::Relaxed),
        )
    }
}

pub fn routes() -> [RouteSpec; 3] {
    [
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::reads("/rare/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ]
}

/// Starts two callers and three targets of version 1, in two availability zones.
pub async fn start_old_fleet() -> Fleet {
    let fleet = fleet(
        &routes(),
        &[
            ("caller-a", "a", "art"),
            ("caller-b", "b", "art"),
            ("old-1", "a", "quotes"),
            ("old-2", "b", "quotes"),
            ("old-3", "a", "quotes"),
        ],
    )
    .await;
    for host in &fleet.hosts {
        host.target
            .set_behaviour(TargetBehaviour::RespondsAfter(RUN_TIME));
    }
    fleet
}

pub fn order_rollout(store: &StandinStore, to: &str, allowed: Duration) {
    let text = format!(
        r#"{{"service":"quotes","to":"{to}","duration":"{}ms"}}"#,
        allowed.as_millis()
    );
    store.put("op", "rollout/quotes", text.as_bytes());
}

/// Starts three targets of version 2 with this `behaviour`.
pub async fn start_new_targets(store: &StandinStore, behaviour: TargetBehaviour) -> Vec<Host> {
    let mut hosts = Vec::new();
    for (name, zone) in [("new-1", "a"), ("new-2", "b"), ("new-3", "a")] {
        let spec = HostSpec {
            software_version: "v2".to_owned(),
            ..host_spec(store, name, zone, "quotes")
        };
        let host = Host::start(spec).await;
        host.target.set_behaviour(behaviour);
        hosts.push(host);
    }
    hosts
}

pub fn rollout_state(store: &StandinStore) -> String {
    let value = store.value("status", "rollout/quotes").unwrap_or_default();
    let status: serde_json::Value = serde_json::from_slice(&value).unwrap_or_default();
    status["state"].as_str().unwrap_or_default().to_owned()
}

pub async fn reaches_state(store: &StandinStore, wanted: &str, within: Duration) -> bool {
    eventually(within, || async { rollout_state(store) == wanted }).await
}

/// Returns the output of `filbertctl mesh rollout`.
pub async fn rollout_list(store: &StandinStore) -> String {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["mesh", "--store", &store.address.to_string(), "rollout"])
        .output()
        .await
        .expect("filbertctl does not start");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

pub fn runs(hosts: &[Host]) -> usize {
    hosts.iter().map(|host| host.target.runs().len()).sum()
}

pub fn duplicate_order_runs(hosts: &[&Host]) -> usize {
    let mut ids: Vec<String> = hosts
        .iter()
        .flat_map(|host| host.target.runs())
        .filter(|run| run.line.starts_with("POST"))
        .map(|run| run.id)
        .collect();
    let all = ids.len();
    ids.sort();
    ids.dedup();
    all - ids.len()
}
