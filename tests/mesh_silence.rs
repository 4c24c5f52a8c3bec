//! A store that falls silent to some daemons and serves the others.

#[path = "support/users.rs"]
mod users;

use std::time::Duration;

use filbert_platform_standin::{Host, RouteSpec, StandinStore};
use filbert_standin::pipe::{FaultPipe, PipeMode};
use users::{eventually, host_spec, publish, Fleet, SETTLE_WITHIN};

/// Time that an accepted version has.
const VERSION_WITHIN: Duration = Duration::from_secs(2);

fn routes(prefix: &str) -> Vec<RouteSpec> {
    vec![
        RouteSpec::reads("/old/", "quotes"),
        RouteSpec::reads(prefix, "quotes"),
    ]
}

fn follows(host: &Host) -> bool {
    let log = host.log();
    let last = log.lines().rfind(|line| line.contains("event=store_role"));
    last.is_some_and(|line| line.contains("role=Follows"))
}

/// Guards against a version that is late in a zone whose two daemons that ask the
/// store both meet silence there.
#[tokio::test]
async fn a_store_silent_to_both_that_ask_delays_no_version() {
    let store = StandinStore::start().await;
    publish(&store, 1, &routes("/first/"));
    let mut pipes = Vec::new();
    let mut hosts = Vec::new();
    for name in ["one", "two", "three", "four"] {
        let pipe = FaultPipe::start(store.address).await;
        let mut spec = host_spec(&store, name, "a", "quotes");
        spec.store = pipe.address;
        pipes.push(pipe);
        hosts.push(Host::start(spec).await);
    }
    let fleet = Fleet { store, hosts };
    fleet.settle().await;
    let told = || fleet.hosts.iter().filter(|host| follows(host)).count();
    assert!(eventually(SETTLE_WITHIN, || async { told() == 2 }).await);
    let told: Vec<&Host> = fleet.hosts.iter().filter(|host| follows(host)).collect();
    for (host, pipe) in fleet.hosts.iter().zip(&pipes) {
        if !follows(host) {
            pipe.set_mode(PipeMode::Swallow);
        }
    }
    publish(&fleet.store, 2, &routes("/second/"));
    for host in told {
        let serves = eventually(VERSION_WITHIN, || async {
            let answer = host.call("GET /second/a HTTP/1.1", "probe", b"").await;
            answer.is_some_and(|answer| answer.status == 200)
        });
        assert!(serves.await, "{}:\n{}", host.spec.name, host.log());
    }
}
