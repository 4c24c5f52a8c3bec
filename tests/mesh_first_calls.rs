//! Tests of the first calls at a daemon that has just become ready: they are served as
//! soon as a link tells of a target.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{Host, RouteSpec, StandinStore};
use filbert_standin::fault_proxy::FaultMode;
use rstest::rstest;
use users::{eventually, host_spec, publish, two_host_fleet, Fleet, WAIT_TIMEOUT};

const READ: &str = "GET /read/a HTTP/1.1";
/// Longest time to refuse a call that no target can serve.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Starts host 0 in front of host 1, whose links have a `delay` in each direction.
async fn fleet_with_slow_links(delay: Duration) -> Fleet {
    let store = StandinStore::start().await;
    publish(&store, 1, &[RouteSpec::reads("/read/", "quotes")]);
    let caller = Host::start(host_spec(&store, "caller", "a", "art")).await;
    let mut spec = host_spec(&store, "quoter", "a", "quotes");
    spec.piped_links = true;
    let quoter = Host::start(spec).await;
    let fleet = Fleet {
        store,
        hosts: vec![caller, quoter],
    };
    fleet.wait_until_ready().await;
    let links = fleet.hosts[1].links.as_ref().expect("a pipe");
    links.set_mode(FaultMode::Delay(delay));
    fleet
}

/// Guards against calls that are refused because a daemon is ready before its links have
/// told it of any target.
#[rstest]
#[case(Duration::ZERO)]
#[case(Duration::from_millis(60))]
#[tokio::test]
async fn the_first_calls_wait_for_the_first_word_of_a_link(#[case] delay: Duration) {
    let mut fleet = fleet_with_slow_links(delay).await;
    fleet.hosts[0].kill();
    fleet.hosts[0].start_daemon();
    let host = &fleet.hosts[0];
    assert!(eventually(WAIT_TIMEOUT, || host.is_ready()).await);
    for number in 0..10 {
        let id = format!("first-{number}");
        let status = host.call(READ, &id, b"").await.map(|answer| answer.status);
        assert_eq!(status, Some(200), "{id}: {}", host.log());
    }
}

/// Guards against calls that wait for a target though it is known that there is none.
#[tokio::test]
async fn a_call_without_a_target_is_refused_at_once() {
    let mut fleet = two_host_fleet("a").await;
    let host = &mut fleet.hosts[1];
    assert_eq!(host.target.drain(host.control).await, 200);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for number in 0..5 {
        let started = Instant::now();
        let id = format!("none-{number}");
        let answer = fleet.hosts[0].call(READ, &id, b"").await;
        assert_eq!(answer.map(|answer| answer.status), Some(503));
        assert!(started.elapsed() < REFUSAL_TIME, "{:?}", started.elapsed());
    }
}
