//! Helpers of the tests that run daemons between stand-ins of the users'
//! platform.

#![allow(dead_code)] // Each test binary uses its own part of these.

use std::path::PathBuf;
use std::time::Duration;

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{config_text, Client, Host, HostSpec, RouteSpec, StandinStore};
use nix::sys::signal::Signal;

/// How long tests wait for what must happen; far beyond what it takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A store and some hosts.
pub struct Fleet {
    pub store: StandinStore,
    pub hosts: Vec<Host>,
}

/// Puts version `number` with `routes` into the store.
pub fn publish(store: &StandinStore, number: u64, routes: &[RouteSpec]) {
    store.put("op", "config", &config_text(number, routes));
}

/// What host `name` in `zone` with a target of `service` is started with.
pub fn host_spec(store: &StandinStore, name: &str, zone: &str, service: &str) -> HostSpec {
    HostSpec {
        program: PathBuf::from(env!("CARGO_BIN_EXE_filbertd")),
        name: name.to_owned(),
        zone: zone.to_owned(),
        service: service.to_owned(),
        software: "v1".to_owned(),
        store: store.address,
        stalled_log: false,
        piped_links: false,
        is_first_start: false,
    }
}

/// Starts one host per name, zone and service, with version 1 of `routes` in
/// the store, and waits until all are ready and see each other's targets.
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

/// A host of a service that only calls, in zone `a`, and a host of `quotes`
/// in `zone`.
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
    /// A connection to the daemon of `host`.
    pub async fn connect(&self, host: usize) -> Client {
        Client::connect(self.hosts[host].calls)
            .await
            .expect("a connection")
    }

    /// How often call `id` ran, at all targets together.
    pub fn run_count(&self, id: &str) -> usize {
        let runs = |host: &Host| host.target.runs().iter().filter(|run| run.id == id).count();
        self.hosts.iter().map(runs).sum()
    }

    /// A call of host 0 that runs at the target of host 1 by now.
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

    /// Waits until every daemon is ready and knows every other's target.
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
                        "{} does not see {}:\n{}",
                        host.spec.name,
                        other.spec.name,
                        host.log()
                    );
                }
            }
        }
    }
}

/// Adds `more` to the settings of `host` and has them reloaded.
pub async fn reload_with(host: &Host, more: &str) {
    let path = &host.settings_path;
    let text = std::fs::read_to_string(path).expect("the settings");
    std::fs::write(path, format!("{text}\n{more}")).expect("written");
    host.signal(Signal::SIGHUP);
    assert!(eventually_logs(host, "event=reloaded changed=true").await);
}

/// Waits until `host` has logged `text`; whether it did in time.
pub async fn eventually_logs(host: &Host, text: &str) -> bool {
    eventually(WAIT_TIMEOUT, || async { host.log().contains(text) }).await
}

/// Polls until `check` holds, for at most `within`; whether it did.
pub async fn eventually<F, Fut>(within: Duration, mut check: F) -> bool
where
    F: FnMut() -> Fut,
    Fut: std::future::Future<Output = bool>,
{
    let started = std::time::Instant::now();
    while started.elapsed() < within {
        if check().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}
