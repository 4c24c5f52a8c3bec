//! Helpers for tests that run mesh daemons against stand-ins of the users'
//! platform: a store, targets and clients.

#![allow(dead_code)] // Each test binary uses only some of the helpers.

use std::path::PathBuf;
use std::time::Duration;

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{config_text, Client, Host, HostSpec, RouteSpec, StandinStore};
use nix::sys::signal::Signal;

/// Longest wait for an expected event; far above the usual time.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Environment variable with the number of cases that a property test generates.
const CASES_VARIABLE: &str = "FILBERT_CASES";

/// Number of cases that a property test generates: `usual`, unless the environment variable
/// [`CASES_VARIABLE`] states another.
pub fn generated_cases(usual: usize) -> usize {
    let stated = std::env::var(CASES_VARIABLE).ok();
    stated.map_or(usual, |text| text.parse().expect("a number of cases"))
}

/// A store stand-in and the hosts that use it.
pub struct Fleet {
    pub store: StandinStore,
    pub hosts: Vec<Host>,
}

/// Writes the configuration to the store: version `number`, with `routes`.
pub fn publish(store: &StandinStore, number: u64, routes: &[RouteSpec]) {
    store.put("op", "config", &config_text(number, routes));
}

/// Specification of a host `name` in `zone` with one target of `service`.
pub fn host_spec(store: &StandinStore, name: &str, zone: &str, service: &str) -> HostSpec {
    HostSpec {
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_filbertd")),
        name: name.to_owned(),
        zone: zone.to_owned(),
        service: service.to_owned(),
        software_version: "v1".to_owned(),
        store: store.address,
        has_unread_stdout: false,
        piped_links: false,
        is_first_start: false,
        zones: Vec::new(),
        tables: String::new(),
    }
}

/// Writes `routes` to a new store as version 1, starts one host for each name,
/// zone and service in `hosts`, and waits until all of them are ready and know
/// each other's targets.
pub async fn fleet(routes: &[RouteSpec], hosts: &[(&str, &str, &str)]) -> Fleet {
    let store = StandinStore::start().await;
    publish(&store, 1, routes);
    let mut started = Vec::new();
    for (name, zone, service) in hosts {
        started.push(Host::start(host_spec(&store, name, zone, service)).await);
    }
    let fleet = Fleet {
        store,
        hosts: started,
    };
    fleet.wait_until_ready().await;
    fleet
}

/// Starts host 0 in zone `a`, whose service no route leads to, and host 1 in
/// `zone`, with a target of `quotes`.
pub async fn two_host_fleet(zone: &str) -> Fleet {
    let routes = [
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ];
    fleet(
        &routes,
        &[("caller", "a", "art"), ("quoter", zone, "quotes")],
    )
    .await
}

impl Fleet {
    /// Opens a connection to the daemon of the host with index `host`.
    pub async fn connect(&self, host: usize) -> Client {
        Client::connect(self.hosts[host].calls)
            .await
            .expect("a connection")
    }

    /// Number of times that call `id` ran, on all targets together.
    pub fn run_count(&self, id: &str) -> usize {
        let runs = |host: &Host| host.target.runs().iter().filter(|run| run.id == id).count();
        self.hosts.iter().map(runs).sum()
    }

    /// Sends call `id` through host 0 and waits until it runs on the target of
    /// host 1, which must have run no other call. The response is left for the
    /// returned client to read.
    pub async fn start_call(&self, line: &str, id: &str) -> Client {
        let mut client = self.connect(0).await;
        client
            .send(line, &call_headers(id), b"sign")
            .await
            .expect("sent");
        let target = &self.hosts[1].target;
        assert!(eventually(WAIT_TIMEOUT, || async { target.runs().len() == 1 }).await);
        client
    }

    /// Waits until every daemon is ready and knows the target of every other host.
    pub async fn wait_until_ready(&self) {
        for host in &self.hosts {
            assert!(
                eventually(WAIT_TIMEOUT, || host.is_ready()).await,
                "{} is not ready:\n{}",
                host.spec.name,
                host.log()
            );
            for other in &self.hosts {
                if other.spec.name == host.spec.name {
                    assert!(eventually_logs(host, "change=Replaced").await);
                } else {
                    let heard = format!("event=target_heard peer={} ", other.spec.name);
                    assert!(
                        eventually_logs(host, &heard).await,
                        "{} does not know the target of {}:\n{}",
                        host.spec.name,
                        other.spec.name,
                        host.log()
                    );
                }
            }
        }
    }
}

/// Appends `settings` to the settings file of `host` and reloads it with SIGHUP.
pub async fn reload_with(host: &Host, settings: &str) {
    let path = &host.settings_path;
    let text = std::fs::read_to_string(path).expect("the settings");
    std::fs::write(path, format!("{text}\n{settings}")).expect("written");
    host.signal(Signal::SIGHUP);
    assert!(eventually_logs(host, "event=reloaded changed=true").await);
}

/// Waits until the log of `host` contains `text`, for at most [`WAIT_TIMEOUT`];
/// returns whether it does.
pub async fn eventually_logs(host: &Host, text: &str) -> bool {
    eventually(WAIT_TIMEOUT, || async { host.log().contains(text) }).await
}

/// Polls `check` every 20 ms until it returns true, for at most `timeout`;
/// returns whether it did.
pub async fn eventually<F, Fut>(timeout: Duration, mut check: F) -> bool
where
    F: FnMut() -> Fut,
    Fut: std::future::Future<Output = bool>,
{
    let started = std::time::Instant::now();
    while started.elapsed() < timeout {
        if check().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}
