//! Tests of a store that stops responding to some daemons and still serves the others.

#[path = "support/users.rs"]
mod users;

use std::time::Duration;

use filbert_platform_standin::{Host, RouteSpec, StandinStore};
use filbert_standin::fault_proxy::{FaultMode, FaultProxy};
use users::{eventually, host_spec, publish, Fleet, WAIT_TIMEOUT};

/// Time within which an accepted version must be in force on every host.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

fn routes(prefix: &str) -> Vec<RouteSpec> {
    vec![
        RouteSpec::reads("/old/", "quotes"),
        RouteSpec::reads(prefix, "quotes"),
    ]
}

/// Whether the host's daemon gets the store's contents from an upstream, according to
/// its log.
fn is_follower(host: &Host) -> bool {
    let log = host.log();
    let last = log.lines().rfind(|line| line.contains("event=store_role"));
    last.is_some_and(|line| line.contains("role=Follows"))
}

/// Guards against a late version in a zone. The zone's two daemons that read the store
/// get no response from it any more; its two followers must still get the version in
/// time.
#[tokio::test]
async fn a_store_unresponsive_to_both_readers_delays_no_version() {
    let store = StandinStore::start().await;
    publish(&store, 1, &routes("/first/"));
    let mut fault_proxies = Vec::new();
    let mut hosts = Vec::new();
    for name in ["one", "two", "three", "four"] {
        let fault_proxy = FaultProxy::start(store.address).await;
        let mut spec = host_spec(&store, name, "a", "quotes");
        spec.store = fault_proxy.address;
        fault_proxies.push(fault_proxy);
        hosts.push(Host::start(spec).await);
    }
    let fleet = Fleet { store, hosts };
    fleet.wait_until_ready().await;
    let follower_count = || fleet.hosts.iter().filter(|host| is_follower(host)).count();
    assert!(eventually(WAIT_TIMEOUT, || async { follower_count() == 2 }).await);
    let followers: Vec<&Host> = fleet
        .hosts
        .iter()
        .filter(|host| is_follower(host))
        .collect();
    for (host, fault_proxy) in fleet.hosts.iter().zip(&fault_proxies) {
        if !is_follower(host) {
            fault_proxy.set_mode(FaultMode::Blackhole);
        }
    }
    publish(&fleet.store, 2, &routes("/second/"));
    for host in followers {
        let has_version = eventually(IN_FORCE_WITHIN, || async {
            let answer = host.call("GET /second/a HTTP/1.1", "probe", b"").await;
            answer.is_some_and(|answer| answer.status == 200)
        });
        assert!(has_version.await, "{}:\n{}", host.spec.name, host.log());
    }
}
