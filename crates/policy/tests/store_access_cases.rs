//! Retry delays of calls to the store, and the source of a daemon's first version.

use std::time::{Duration, Instant};

use filbert_policy::store_access::{
    backoff_delay, bootstrap_step, initial_query_delay, BootstrapStep, BootstrapView, StoreAccess,
    StoreBackoff,
};
use rstest::rstest;

/// Returns the number of failed calls of one daemon during an outage.
fn failed_calls_during(outage: Duration, access: StoreAccess) -> u32 {
    /// The least jitter gives the shortest delays and thus the most calls.
    const JITTER: f64 = 0.0;
    let mut elapsed = Duration::ZERO;
    let mut failures = 0;
    while elapsed < outage {
        failures += 1;
        elapsed += backoff_delay(failures, access, JITTER);
    }
    failures
}

/// Guards against hundreds of daemons that each call an unavailable store twice a
/// second for their own host, during an outage of nine seconds. A daemon that
/// queries the store for the fleet must retry more often, to notice its return
/// soon.
#[rstest]
#[case::for_fleet(StoreAccess::ForFleet, 34, Duration::from_millis(500))]
#[case::for_own_host(StoreAccess::ForOwnHost, 12, Duration::from_secs(2))]
fn each_daemon_makes_few_calls_during_an_outage(
    #[case] access: StoreAccess,
    #[case] max_calls: u32,
    #[case] max_delay: Duration,
) {
    let calls = failed_calls_during(Duration::from_secs(9), access);
    assert!(calls <= max_calls, "{calls}");
    assert!(backoff_delay(1, access, 1.0) <= Duration::from_millis(100));
    assert!(backoff_delay(u32::MAX, access, 1.0) <= max_delay);
}

/// When all hosts of a fleet start for the first time at once, their initial
/// queries for the hosts are spread. A single host that restarts queries at once.
#[test]
fn initial_queries_are_spread_only_at_the_first_start_of_the_fleet() {
    assert_eq!(initial_query_delay(false, 1.0), Duration::ZERO);
    assert_eq!(initial_query_delay(true, 0.0), Duration::ZERO);
    let half = initial_query_delay(true, 0.5);
    assert!(half > Duration::from_millis(500) && half < initial_query_delay(true, 1.0));
}

/// The state of a daemon without a version, and whether it queries the store.
struct BootstrapCase {
    name: &'static str,
    view: BootstrapView,
    queries_store: bool,
}

const NO_PEERS: BootstrapView = BootstrapView {
    waited: Duration::ZERO,
    is_first_start: false,
    is_source: false,
    linked_upstreams: 0,
    upstreams_without_version: 0,
    zone_peers_with_version: 0,
};

const BOOTSTRAP_CASES: [BootstrapCase; 9] = [
    BootstrapCase {
        name: "links are still being established",
        view: NO_PEERS,
        queries_store: false,
    },
    BootstrapCase {
        name: "no link was established",
        view: BootstrapView {
            waited: Duration::from_secs(1),
            ..NO_PEERS
        },
        queries_store: true,
    },
    BootstrapCase {
        name: "a zone peer has a version and is transferring it",
        view: BootstrapView {
            waited: Duration::from_secs(1),
            linked_upstreams: 2,
            zone_peers_with_version: 1,
            ..NO_PEERS
        },
        queries_store: false,
    },
    BootstrapCase {
        name: "a zone peer has a version but does not transfer it",
        view: BootstrapView {
            waited: Duration::from_secs(2),
            linked_upstreams: 2,
            zone_peers_with_version: 1,
            ..NO_PEERS
        },
        queries_store: true,
    },
    BootstrapCase {
        name: "all hosts lost power: no upstream has a version",
        view: BootstrapView {
            linked_upstreams: 2,
            upstreams_without_version: 2,
            ..NO_PEERS
        },
        queries_store: true,
    },
    BootstrapCase {
        name: "one upstream has not reported yet",
        view: BootstrapView {
            linked_upstreams: 2,
            upstreams_without_version: 1,
            ..NO_PEERS
        },
        queries_store: false,
    },
    BootstrapCase {
        name: "the daemon is a source",
        view: BootstrapView {
            is_source: true,
            ..NO_PEERS
        },
        queries_store: true,
    },
    BootstrapCase {
        name: "first start of the fleet: the version spreads from host to host",
        view: BootstrapView {
            waited: Duration::from_secs(2),
            is_first_start: true,
            linked_upstreams: 2,
            upstreams_without_version: 2,
            ..NO_PEERS
        },
        queries_store: false,
    },
    BootstrapCase {
        name: "first start of the fleet: no version arrived in time",
        view: BootstrapView {
            waited: Duration::from_secs(6),
            is_first_start: true,
            linked_upstreams: 2,
            upstreams_without_version: 2,
            ..NO_PEERS
        },
        queries_store: true,
    },
];

#[test]
fn the_first_version_comes_from_peers_that_have_one() {
    for case in BOOTSTRAP_CASES {
        let queries_store = bootstrap_step(&case.view) == BootstrapStep::QueryStore;
        assert_eq!(queries_store, case.queries_store, "{}", case.name);
    }
}

/// Guards against a daemon that calls the store each time it loses its upstreams,
/// several times a second while they come and go: the wait after a failure must
/// go on while it is not waited for.
#[test]
fn a_wait_that_is_given_up_goes_on() {
    const UPSTREAM_LOSS_INTERVAL: Duration = Duration::from_millis(390);
    let start = Instant::now();
    let mut backoff = StoreBackoff::default();
    let mut calls = 0;
    for loss in 0..15 {
        let now = start + UPSTREAM_LOSS_INTERVAL * loss;
        if backoff.remaining(now, StoreAccess::ForOwnHost).is_zero() {
            calls += 1;
            backoff.record_failure(now, 0.0);
        }
    }
    let outage = UPSTREAM_LOSS_INTERVAL * 15;
    let max_calls = failed_calls_during(outage, StoreAccess::ForOwnHost);
    assert!(calls <= max_calls, "{calls} of {max_calls}");
}

/// Guards against a daemon that becomes a reader for the fleet, or hears that the
/// store is back, and still waits as it would for its own host.
#[test]
fn a_wait_ends_earlier_when_its_reason_ends() {
    let start = Instant::now();
    let mut backoff = StoreBackoff::default();
    for _ in 0..8 {
        backoff.record_failure(start, 1.0);
    }
    let own = backoff.remaining(start, StoreAccess::ForOwnHost);
    let fleet = backoff.remaining(start, StoreAccess::ForFleet);
    assert_eq!(own, Duration::from_secs(2));
    assert_eq!(fleet, Duration::from_millis(500));
    backoff.end_wait();
    assert!(backoff.remaining(start, StoreAccess::ForOwnHost).is_zero());
    assert_eq!(backoff.record_answer(), 8);
    assert_eq!(backoff.failures(), 0);
}
