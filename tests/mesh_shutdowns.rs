//! Tests of shutdowns that a target announces, over kills of all daemons: what a daemon
//! has acknowledged binds the processes that come after it.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{RouteSpec, StoreFault};
use rstest::rstest;
use users::{eventually, eventually_logs, fleet, Fleet, WAIT_TIMEOUT};

const READ: &str = "GET /read/a HTTP/1.1";
const HOSTS_TABLE: &str = "filbert-hosts";
/// Index of the host whose target shuts down.
const LEAVING: usize = 1;
/// How long calls are sent to detect one that reaches the target.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);
/// Longest time without a target after all daemons are started again: a report, a link,
/// and the start of the daemons.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Starts a caller's host and two hosts with targets of the service.
async fn caller_and_two_targets() -> Fleet {
    let hosts = [
        ("caller", "a", "art"),
        ("first", "b", "quotes"),
        ("second", "c", "quotes"),
    ];
    fleet(&[RouteSpec::reads("/read/", "quotes")], &hosts).await
}

/// How the target announces its shutdown.
#[derive(Clone, Copy)]
enum Announcement {
    Draining,
    Deregistration,
}

async fn announce(fleet: &mut Fleet, announcement: Announcement) -> u16 {
    let host = &mut fleet.hosts[LEAVING];
    match announcement {
        Announcement::Draining => host.target.drain(host.control).await,
        Announcement::Deregistration => host.target.deregister(host.control).await,
    }
}

/// Kills all daemons, and starts them again after `down_time`.
async fn restart_all(fleet: &mut Fleet, down_time: Duration) {
    for host in &mut fleet.hosts {
        host.kill();
    }
    tokio::time::sleep(down_time).await;
    for host in &mut fleet.hosts {
        host.start_daemon();
    }
    for host in &fleet.hosts {
        assert!(eventually(WAIT_TIMEOUT, || host.is_ready()).await);
    }
}

/// Sends calls at all hosts for [`OBSERVATION_TIME`]. Returns the number of those that
/// the leaving target ran.
async fn runs_at_leaving_target(fleet: &Fleet) -> usize {
    let target = &fleet.hosts[LEAVING].target;
    let before = target.runs().len();
    let until = Instant::now() + OBSERVATION_TIME;
    let mut number = 0;
    while Instant::now() < until {
        for host in &fleet.hosts {
            number += 1;
            host.call(READ, &format!("watched-{number}"), b"").await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    target.runs().len() - before
}

/// Sends calls at host 0 until one succeeds. Returns the time that it took.
async fn time_to_first_success(fleet: &Fleet) -> Duration {
    let started = Instant::now();
    let is_served = eventually(WAIT_TIMEOUT, || async {
        let answer = fleet.hosts[0].call(READ, "first", b"").await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert!(is_served, "{}", fleet.hosts[2].log());
    started.elapsed()
}

/// A shutdown that is acknowledged, and the late reports behind a kill of all daemons.
struct LateReportCase {
    announcement: Announcement,
    down_time: Duration,
    late_reports: usize,
    /// Fault of the store from the acknowledgement on.
    fault: StoreFault,
}

/// Guards against an acknowledged shutdown that is forgotten when all daemons are killed:
/// with a late report, the target gets calls until it ends.
#[rstest]
#[case::deregistration(LateReportCase { announcement: Announcement::Deregistration, down_time: Duration::ZERO, late_reports: 1, fault: StoreFault::None })]
#[case::draining(LateReportCase { announcement: Announcement::Draining, down_time: Duration::ZERO, late_reports: 1, fault: StoreFault::None })]
#[case::two_late_reports(LateReportCase { announcement: Announcement::Deregistration, down_time: Duration::ZERO, late_reports: 2, fault: StoreFault::None })]
#[case::long_down_time(LateReportCase { announcement: Announcement::Deregistration, down_time: Duration::from_secs(3), late_reports: 1, fault: StoreFault::None })]
#[case::store_away(LateReportCase { announcement: Announcement::Deregistration, down_time: Duration::ZERO, late_reports: 2, fault: StoreFault::ResetsConnections })]
#[case::store_silent(LateReportCase { announcement: Announcement::Draining, down_time: Duration::ZERO, late_reports: 1, fault: StoreFault::NeverResponds })]
#[tokio::test]
async fn an_acknowledged_shutdown_outlives_a_kill_of_all_daemons(#[case] case: LateReportCase) {
    let mut fleet = caller_and_two_targets().await;
    assert_eq!(announce(&mut fleet, case.announcement).await, 200);
    for host in &mut fleet.hosts {
        host.kill();
    }
    fleet.store.set_fault(case.fault);
    tokio::time::sleep(case.down_time).await;
    for host in &mut fleet.hosts {
        host.start_daemon();
    }
    let host = &fleet.hosts[LEAVING];
    assert!(eventually_logs(host, "event=started").await);
    for _ in 0..case.late_reports {
        let is_taken = eventually(WAIT_TIMEOUT, || async {
            // A daemon without a version knows its own service only, which this is.
            host.target.report_late(host.control).await == 200
        })
        .await;
        assert!(is_taken);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if case.fault == StoreFault::None {
        time_to_first_success(&fleet).await;
    }
    assert_eq!(runs_at_leaving_target(&fleet).await, 0, "{}", host.log());
    // The store returns: what it holds binds, too.
    fleet.store.set_fault(StoreFault::None);
    time_to_first_success(&fleet).await;
    assert_eq!(runs_at_leaving_target(&fleet).await, 0, "{}", host.log());
}

/// Guards against an acknowledgement that no later process can keep to, as the store does
/// not have it; the target must get no new calls all the same.
#[rstest]
#[case(StoreFault::ResetsConnections)]
#[case(StoreFault::NeverResponds)]
#[case(StoreFault::ReturnsStatus(503))]
#[case(StoreFault::DelaysWrites(Duration::from_secs(3)))]
#[tokio::test]
async fn a_shutdown_that_the_store_lacks_is_not_acknowledged(#[case] fault: StoreFault) {
    let mut fleet = caller_and_two_targets().await;
    fleet.store.set_fault(fault);
    let started = Instant::now();
    assert_eq!(
        announce(&mut fleet, Announcement::Deregistration).await,
        503
    );
    assert!(started.elapsed() < Duration::from_secs(1), "answered late");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs_at_leaving_target(&fleet).await, 0);
    fleet.store.set_fault(StoreFault::None);
    let is_acknowledged = eventually(WAIT_TIMEOUT, || async {
        let host = &fleet.hosts[LEAVING];
        host.target.announce_deregistration(host.control).await == 200
    });
    assert!(is_acknowledged.await, "{}", fleet.hosts[LEAVING].log());
    let is_stored = |key: &String| key.starts_with("shutdown/first/");
    assert!(fleet.store.keys(HOSTS_TABLE).iter().any(is_stored));
}

/// Guards against a live target that waits for evidence that it could have at once: after
/// a kill of all daemons its callers would be refused.
#[rstest]
#[case::store_up(StoreFault::None)]
#[case::store_away(StoreFault::ResetsConnections)]
#[tokio::test]
async fn live_targets_are_back_soon_after_a_kill_of_all_daemons(#[case] fault: StoreFault) {
    let mut fleet = caller_and_two_targets().await;
    restart_all(&mut fleet, Duration::ZERO).await;
    if fault != StoreFault::None {
        // The daemons get the version and the hosts from the store, then lose it.
        time_to_first_success(&fleet).await;
        fleet.store.set_fault(fault);
        let second = &mut fleet.hosts[2];
        second.kill();
        second.start_daemon();
        let first = &mut fleet.hosts[LEAVING];
        first.kill();
        first.start_daemon();
    }
    let time = time_to_first_success(&fleet).await;
    assert!(time < MAX_RECOVERY_TIME, "{time:?}");
}
