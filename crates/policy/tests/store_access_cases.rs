//! Who asks the store, and when.

use std::time::Duration;

use filbert_policy::store_access::{
    backoff_delay, bootstrap_step, initial_query_delay, BootstrapStep, BootstrapView, StoreAccess,
};
use rstest::rstest;

/// Calls in vain of one daemon during an outage.
fn calls_in(outage: Duration, purpose: StoreAccess) -> u32 {
    /// Least spread: the most calls.
    const SPREAD: f64 = 0.0;
    let mut passed = Duration::ZERO;
    let mut failures = 0;
    while passed < outage {
        failures += 1;
        passed += backoff_delay(failures, purpose, SPREAD);
    }
    failures
}

/// The store is away for nine seconds. Whoever asks for others must find it
/// back soon; hundreds of daemons that ask for themselves alone must not call
/// it twice a second each.
#[rstest]
#[case::for_others(StoreAccess::ForFleet, 34, Duration::from_millis(500))]
#[case::alone(StoreAccess::ForOwnHost, 12, Duration::from_secs(2))]
fn an_outage_costs_each_daemon_few_calls(
    #[case] purpose: StoreAccess,
    #[case] most: u32,
    #[case] longest: Duration,
) {
    let calls = calls_in(Duration::from_secs(9), purpose);
    assert!(calls <= most, "{calls}");
    assert!(backoff_delay(1, purpose, 1.0) <= Duration::from_millis(100));
    assert!(backoff_delay(u32::MAX, purpose, 1.0) <= longest);
}

/// A fleet starts for the first time, all its hosts at once: their first looks
/// at the table are spread. A single host that restarts looks at once.
#[test]
fn first_looks_are_spread_only_at_the_first_start_of_all() {
    assert_eq!(initial_query_delay(false, 1.0), Duration::ZERO);
    assert_eq!(initial_query_delay(true, 0.0), Duration::ZERO);
    let half = initial_query_delay(true, 0.5);
    assert!(half > Duration::from_millis(500) && half < initial_query_delay(true, 1.0));
}

/// What a daemon without a version sees, and what it does.
struct FirstCase {
    story: &'static str,
    view: BootstrapView,
    asks_store: bool,
}

const ALONE: BootstrapView = BootstrapView {
    waited: Duration::ZERO,
    is_first_start: false,
    is_source: false,
    linked_upstreams: 0,
    upstreams_without_version: 0,
    zone_peers_with_version: 0,
};

const FIRST_CASES: [FirstCase; 9] = [
    FirstCase {
        story: "links are still being made",
        view: ALONE,
        asks_store: false,
    },
    FirstCase {
        story: "no link came up",
        view: BootstrapView {
            waited: Duration::from_secs(1),
            ..ALONE
        },
        asks_store: true,
    },
    FirstCase {
        story: "a neighbour has one and is giving it",
        view: BootstrapView {
            waited: Duration::from_secs(1),
            linked_upstreams: 2,
            zone_peers_with_version: 1,
            ..ALONE
        },
        asks_store: false,
    },
    FirstCase {
        story: "a neighbour has one and does not give it",
        view: BootstrapView {
            waited: Duration::from_secs(2),
            linked_upstreams: 2,
            zone_peers_with_version: 1,
            ..ALONE
        },
        asks_store: true,
    },
    FirstCase {
        story: "all lost power: nobody has one",
        view: BootstrapView {
            linked_upstreams: 2,
            upstreams_without_version: 2,
            ..ALONE
        },
        asks_store: true,
    },
    FirstCase {
        story: "one of those that tell it has not spoken yet",
        view: BootstrapView {
            linked_upstreams: 2,
            upstreams_without_version: 1,
            ..ALONE
        },
        asks_store: false,
    },
    FirstCase {
        story: "it asks for others",
        view: BootstrapView {
            is_source: true,
            ..ALONE
        },
        asks_store: true,
    },
    FirstCase {
        story: "the first start of all: the version goes from host to host",
        view: BootstrapView {
            waited: Duration::from_secs(2),
            is_first_start: true,
            linked_upstreams: 2,
            upstreams_without_version: 2,
            ..ALONE
        },
        asks_store: false,
    },
    FirstCase {
        story: "the first start of all, and no version came",
        view: BootstrapView {
            waited: Duration::from_secs(6),
            is_first_start: true,
            linked_upstreams: 2,
            upstreams_without_version: 2,
            ..ALONE
        },
        asks_store: true,
    },
];

#[test]
fn a_first_version_comes_from_peers_that_have_one() {
    for case in FIRST_CASES {
        let asks_store = bootstrap_step(&case.view) == BootstrapStep::QueryStore;
        assert_eq!(asks_store, case.asks_store, "{}", case.story);
    }
}
