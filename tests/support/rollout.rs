//! Helpers of the tests that roll software versions out between stand-ins.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, Conduct, Host, HostSpec, RouteSpec, StandinStore};

use crate::users::{eventually, fleet, host_spec, Fleet};

/// Work of a call at a healthy target.
pub const WORK: Duration = Duration::from_millis(30);
/// Time that orders allow.
pub const ALLOWED: Duration = Duration::from_secs(9);
/// Time after a verdict in which calls on their way reach their target.
pub const ON_THE_WAY: Duration = Duration::from_millis(500);
/// Clients that call one after another.
pub const CLIENTS: usize = 8;

/// Clients that call until they are stopped.
pub struct Traffic {
    stops: Arc<AtomicBool>,
    asked: Arc<AtomicUsize>,
    failed: Arc<AtomicUsize>,
    clients: Vec<tokio::task::JoinHandle<()>>,
}

impl Traffic {
    /// Starts clients of `caller`: reads on two routes, and orders.
    pub fn start(caller: &Host) -> Traffic {
        let traffic = Traffic {
            stops: Arc::default(),
            asked: Arc::default(),
            failed: Arc::default(),
            clients: Vec::new(),
        };
        let clients = (0..CLIENTS).map(|client| {
            let (stops, asked, failed) = (
                Arc::clone(&traffic.stops),
                Arc::clone(&traffic.asked),
                Arc::clone(&traffic.failed),
            );
            let calls = caller.calls;
            tokio::spawn(async move {
                let mut number = 0;
                while !stops.load(Ordering::Relaxed) {
                    number += 1;
                    let line = match number % 3 {
                        0 => "POST /order/ HTTP/1.1",
                        1 => "GET /read/a HTTP/1.1",
                        _ => "GET /rare/a HTTP/1.1",
                    };
                    let id = format!("c{client}-{number}");
                    let answer = Client::once(calls, line, &call_headers(&id), b"").await;
                    asked.fetch_add(1, Ordering::Relaxed);
                    if answer.is_none_or(|answer| answer.status != 200) {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        });
        let clients = clients.collect();
        Traffic { clients, ..traffic }
    }

    /// Stops them; calls asked and calls not served.
    pub async fn stop(self) -> (usize, usize) {
        self.stops.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.await.expect("a client ends");
        }
        (
            self.asked.load(Ordering::Relaxed),
            self.failed.load(Ordering::Relaxed),
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

/// Two callers and three targets of version 1, in two zones.
pub async fn old_fleet() -> Fleet {
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
        host.target.set_conduct(Conduct::AnswersAfter(WORK));
    }
    fleet
}

pub fn order(store: &StandinStore, to: &str, allowed: Duration) {
    let text = format!(
        r#"{{"service":"quotes","to":"{to}","duration":"{}ms"}}"#,
        allowed.as_millis()
    );
    store.put("op", "rollout/quotes", text.as_bytes());
}

/// Starts three targets of version 2, each treating calls as `conduct` says.
pub async fn start_new(store: &StandinStore, conduct: Conduct) -> Vec<Host> {
    let mut hosts = Vec::new();
    for (name, zone) in [("new-1", "a"), ("new-2", "b"), ("new-3", "a")] {
        let spec = HostSpec {
            software: "v2".to_owned(),
            ..host_spec(store, name, zone, "quotes")
        };
        let host = Host::start(spec).await;
        host.target.set_conduct(conduct);
        hosts.push(host);
    }
    hosts
}

pub fn state(store: &StandinStore) -> String {
    let value = store.value("status", "rollout/quotes").unwrap_or_default();
    let status: serde_json::Value = serde_json::from_slice(&value).unwrap_or_default();
    status["state"].as_str().unwrap_or_default().to_owned()
}

pub async fn reaches(store: &StandinStore, wanted: &str, within: Duration) -> bool {
    eventually(within, || async { state(store) == wanted }).await
}

/// What an operator is shown.
pub async fn shown(store: &StandinStore) -> String {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["mesh", "--store", &store.address.to_string(), "rollout"])
        .output()
        .await
        .expect("it runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

pub fn runs(hosts: &[Host]) -> usize {
    hosts.iter().map(|host| host.target.runs().len()).sum()
}

pub fn orders_run_twice(hosts: &[&Host]) -> usize {
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
