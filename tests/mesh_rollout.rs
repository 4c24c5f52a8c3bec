//! Canary roll-outs of software versions, on stand-ins of the users' platform.

#[path = "support/rollout.rs"]
mod rollout;
#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{Host, RouteSpec, StoreFault, TargetBehaviour};
use rollout::{
    duplicate_order_runs, order_rollout, reaches_state, rollout_list, rollout_state, routes, runs,
    start_new_targets, start_old_fleet, Traffic, IN_FLIGHT_TIME, ROLLOUT_TIME, RUN_TIME,
};
use rstest::rstest;
use users::{eventually, eventually_logs, host_spec, publish, WAIT_TIMEOUT};

/// Guards against three failures in the roll-out of a good version: its calls do
/// not move before the deadline, calls are cut off when the old targets stop, or a
/// POST call runs twice.
#[tokio::test]
async fn a_good_version_takes_over_without_a_lost_call() {
    let fleet = start_old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    let new = start_new_targets(&fleet.store, TargetBehaviour::RespondsAfter(RUN_TIME)).await;
    assert!(reaches_state(&fleet.store, "running", Duration::from_secs(2)).await);
    assert!(reaches_state(&fleet.store, "completed", ROLLOUT_TIME).await);
    let at_work: u64 = fleet.hosts[2..]
        .iter()
        .map(|host| host.target.running())
        .sum();
    assert_eq!(at_work, 0, "calls run at old targets that may be stopped");
    let before = runs(&fleet.hosts[2..]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&fleet.hosts[2..]), before, "an old target got a call");
    let (calls_made, calls_failed) = traffic.stop().await;
    assert!(calls_made > 300, "{calls_made} calls");
    assert_eq!(calls_failed, 0, "of {calls_made} calls");
    let all: Vec<&Host> = fleet.hosts.iter().chain(&new).collect();
    assert_eq!(duplicate_order_runs(&all), 0);
}

/// Guards against a good version that is rolled back for the calls that the limit of its
/// targets turned away: these calls did not run.
#[tokio::test]
async fn a_version_is_not_judged_by_calls_beyond_its_limit() {
    let fleet = start_old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    let new = start_new_targets(&fleet.store, TargetBehaviour::RespondsAfter(RUN_TIME)).await;
    for host in &new {
        host.target.set_statements(&["Server-Limit: 10"]);
    }
    assert!(reaches_state(&fleet.store, "completed", ROLLOUT_TIME).await);
    traffic.stop().await;
    let is_limited = |host: &Host| host.log().contains("event=target_limit ");
    assert!(new.iter().any(is_limited), "no target was limited");
}

/// How version 2 is faulty.
#[derive(Clone, Copy, Debug)]
enum BadVersion {
    /// All targets have this conduct, from the start.
    Always(TargetBehaviour),
    /// All targets have this conduct, after this time.
    After(Duration, TargetBehaviour),
    /// All targets have this conduct, but only on one route.
    OnOneRoute(TargetBehaviour),
}

/// Guards against a bad version that gets more calls than a trial allows, or still
/// gets calls after the roll-back.
#[rstest]
#[case(BadVersion::Always(TargetBehaviour::FailsAfter(RUN_TIME)))]
#[case(BadVersion::Always(TargetBehaviour::RespondsAfter(RUN_TIME.saturating_mul(8))))]
#[case(BadVersion::Always(TargetBehaviour::ClosesWithoutResponse))]
#[case(BadVersion::OnOneRoute(TargetBehaviour::FailsAfter(RUN_TIME)))]
#[case(BadVersion::After(Duration::from_secs(3), TargetBehaviour::FailsAfter(RUN_TIME)))]
#[case(BadVersion::Always(TargetBehaviour::FailsAboveConcurrency(1, RUN_TIME)))]
#[tokio::test]
async fn a_bad_version_is_rolled_back(#[case] bad_version: BadVersion) {
    let fleet = start_old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    let first = match bad_version {
        BadVersion::Always(behaviour) => behaviour,
        BadVersion::After(..) | BadVersion::OnOneRoute(_) => {
            TargetBehaviour::RespondsAfter(RUN_TIME)
        }
    };
    let new = start_new_targets(&fleet.store, first).await;
    if let BadVersion::OnOneRoute(behaviour) = bad_version {
        for host in &new {
            host.target.set_behaviour_for_prefix("/rare/", behaviour);
        }
    }
    if let BadVersion::After(pause, behaviour) = bad_version {
        tokio::time::sleep(pause).await;
        for host in &new {
            host.target.set_behaviour(behaviour);
        }
    }
    assert!(reaches_state(&fleet.store, "rolled_back", ROLLOUT_TIME).await);
    assert!(rollout_list(&fleet.store)
        .await
        .contains("quotes to v2: rolled_back"));
    tokio::time::sleep(IN_FLIGHT_TIME).await;
    let before = runs(&new);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&new), before, "a call after the roll-back");
    let (calls_made, _) = traffic.stop().await;
    assert!(
        before < calls_made / 4,
        "the bad version got {before} of {calls_made} calls"
    );
    let all: Vec<&Host> = fleet.hosts.iter().chain(&new).collect();
    assert_eq!(duplicate_order_runs(&all), 0);
}

/// Guards against a roll-out that never ends, as the new version has no targets.
#[tokio::test]
async fn an_order_without_targets_is_rolled_back_in_time() {
    let fleet = start_old_fleet().await;
    order_rollout(&fleet.store, "v2", Duration::from_secs(4));
    assert!(reaches_state(&fleet.store, "rolled_back", Duration::from_secs(4)).await);
    let answer = fleet.hosts[0]
        .call("GET /read/a HTTP/1.1", "after", b"")
        .await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}

/// Guards against a malformed order that starts a roll-out or disturbs calls.
#[rstest]
#[case(br#"{"service":"quotes","to":"v2"}"#)]
#[case(br#"{"service":"other","to":"v2","duration":"3s"}"#)]
#[case(br#"{"service":"quotes","to":"v2","duration":"soon"}"#)]
#[case(b"\x00\xff")]
#[tokio::test]
async fn an_unreadable_order_changes_nothing(#[case] text: &[u8]) {
    let fleet = start_old_fleet().await;
    fleet.store.put("op", "rollout/quotes", text);
    let logged = eventually(WAIT_TIMEOUT, || async {
        fleet
            .hosts
            .iter()
            .any(|host| host.log().contains("event=rollout_order_unreadable"))
    });
    assert!(logged.await);
    assert_eq!(rollout_state(&fleet.store), "");
    let answer = fleet.hosts[0]
        .call("GET /read/a HTTP/1.1", "after", b"")
        .await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}

/// Returns the indices of the hosts whose daemons query the store for the fleet, as
/// their logs show. These daemons decide on roll-outs.
fn deciders(hosts: &[Host]) -> Vec<usize> {
    let asks = |host: &Host| {
        let log = host.log();
        let mut plans = log
            .lines()
            .filter(|line| line.contains("event=links_planned"));
        plans
            .next_back()
            .is_some_and(|plan| plan.contains("is_source=true"))
    };
    (0..hosts.len())
        .filter(|host| asks(&hosts[*host]))
        .collect()
}

/// Guards against a roll-out that stalls because the deciding daemons were killed:
/// other daemons have to take over.
#[tokio::test]
async fn a_bad_version_is_rolled_back_although_its_deciders_die() {
    let mut fleet = start_old_fleet().await;
    let caller = Host::start(host_spec(&fleet.store, "caller-c", "b", "art")).await;
    assert!(eventually(WAIT_TIMEOUT, || caller.is_ready()).await);
    let traffic = Traffic::start(&caller);
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    let mut new = start_new_targets(&fleet.store, TargetBehaviour::RespondsAfter(RUN_TIME)).await;
    assert!(reaches_state(&fleet.store, "running", Duration::from_secs(2)).await);
    assert!(eventually(ROLLOUT_TIME, || async { runs(&new) > 0 }).await);
    let mut killed = 0;
    for hosts in [&mut fleet.hosts, &mut new] {
        for host in deciders(hosts) {
            hosts[host].kill();
            killed += 1;
        }
    }
    assert!(killed > 0);
    for host in &new {
        host.target
            .set_behaviour(TargetBehaviour::FailsAfter(RUN_TIME));
    }
    assert!(reaches_state(&fleet.store, "rolled_back", ROLLOUT_TIME).await);
    traffic.stop().await;
}

/// Guards against a roll-back that takes effect only once the store can be reached
/// again.
#[tokio::test]
async fn a_roll_back_takes_effect_while_the_store_is_unreachable() {
    let fleet = start_old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    let new = start_new_targets(&fleet.store, TargetBehaviour::RespondsAfter(RUN_TIME)).await;
    assert!(eventually(ROLLOUT_TIME, || async { runs(&new) > 3 }).await);
    fleet.store.set_fault(StoreFault::ResetsConnections);
    for host in &new {
        host.target
            .set_behaviour(TargetBehaviour::FailsAfter(RUN_TIME));
    }
    for host in &fleet.hosts {
        assert!(eventually_logs(host, "stage=RolledBack").await);
    }
    tokio::time::sleep(IN_FLIGHT_TIME).await;
    let before = runs(&new);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&new), before, "a call after the roll-back");
    assert_eq!(rollout_state(&fleet.store), "running");
    fleet.store.set_fault(StoreFault::None);
    assert!(reaches_state(&fleet.store, "rolled_back", WAIT_TIMEOUT).await);
    traffic.stop().await;
}

/// Guards against a roll-back that is lost when all daemons are killed, as only the
/// store still has it.
#[tokio::test]
async fn a_roll_back_survives_the_restart_of_all_daemons() {
    let mut fleet = start_old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    let mut new = start_new_targets(&fleet.store, TargetBehaviour::FailsAfter(RUN_TIME)).await;
    assert!(reaches_state(&fleet.store, "rolled_back", ROLLOUT_TIME).await);
    traffic.stop().await;
    for host in fleet.hosts.iter_mut().chain(&mut new) {
        host.kill();
    }
    for host in fleet.hosts.iter_mut().chain(&mut new) {
        host.start_daemon();
    }
    for host in &fleet.hosts {
        assert!(eventually(WAIT_TIMEOUT, || host.is_ready()).await);
    }
    let before = runs(&new);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        fleet.hosts[0]
            .call("GET /read/a HTTP/1.1", "again", b"")
            .await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(runs(&new), before, "the bad version got a call");
    assert_eq!(rollout_state(&fleet.store), "rolled_back");
}

/// Guards against a completed roll-out that is undone or repeated when the store is
/// restored from a copy without it and the operator writes the order again.
#[tokio::test]
async fn a_completed_roll_out_survives_a_restored_store() {
    let fleet = start_old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    let snapshot = fleet.store.snapshot();
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    let new = start_new_targets(&fleet.store, TargetBehaviour::RespondsAfter(RUN_TIME)).await;
    assert!(reaches_state(&fleet.store, "completed", ROLLOUT_TIME).await);
    fleet.store.set_fault(StoreFault::ResetsConnections);
    fleet.store.restore_snapshot(&snapshot);
    fleet.store.set_fault(StoreFault::None);
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    assert!(reaches_state(&fleet.store, "completed", WAIT_TIMEOUT).await);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(rollout_state(&fleet.store), "completed");
    let old_runs = runs(&fleet.hosts[2..]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&fleet.hosts[2..]), old_runs);
    let (_, calls_failed) = traffic.stop().await;
    assert_eq!(calls_failed, 0);
    assert!(runs(&new) > 0);
}

/// Guards against a write that the store applies late, after it was restored from an
/// older copy: the row version on which the write was conditional may since belong
/// to another write.
#[tokio::test]
async fn a_late_write_of_the_previous_era_has_no_effect() {
    let fleet = start_old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    let snapshot = fleet.store.snapshot();
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    let new = start_new_targets(&fleet.store, TargetBehaviour::RespondsAfter(RUN_TIME)).await;
    assert!(eventually(ROLLOUT_TIME, || async { runs(&new) > 3 }).await);
    fleet
        .store
        .set_fault(StoreFault::DelaysWrites(Duration::from_millis(1_500)));
    for host in &new {
        host.target
            .set_behaviour(TargetBehaviour::FailsAfter(RUN_TIME));
    }
    assert!(eventually_logs(&fleet.hosts[0], "stage=RolledBack").await);
    fleet.store.restore_snapshot(&snapshot);
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    fleet.store.set_fault(StoreFault::None);
    assert!(reaches_state(&fleet.store, "rolled_back", WAIT_TIMEOUT).await);
    let before = runs(&new);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(rollout_state(&fleet.store), "rolled_back");
    assert_eq!(runs(&new), before, "the bad version got a call");
    traffic.stop().await;
}

/// Guards against a host's row that stays lost, and a version of the configuration
/// that is replaced by an older one, when the store is restored from an older copy.
#[tokio::test]
async fn rows_and_versions_survive_a_restored_store() {
    let fleet = start_old_fleet().await;
    let snapshot = fleet.store.snapshot();
    let late = Host::start(host_spec(&fleet.store, "late", "b", "quotes")).await;
    let has_row = || async {
        fleet
            .store
            .keys("filbert-hosts")
            .contains(&"late".to_owned())
    };
    assert!(eventually(WAIT_TIMEOUT, has_row).await);
    let mut newer = routes().to_vec();
    newer.push(RouteSpec::reads("/new/", "quotes"));
    publish(&fleet.store, 5, &newer);
    let serves_new = || async {
        let answer = fleet.hosts[0].call("GET /new/a HTTP/1.1", "new", b"").await;
        answer.is_some_and(|answer| answer.status == 200)
    };
    assert!(eventually(WAIT_TIMEOUT, serves_new).await);
    fleet.store.set_fault(StoreFault::ResetsConnections);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.restore_snapshot(&snapshot);
    fleet.store.set_fault(StoreFault::None);
    assert!(
        eventually(Duration::from_secs(4), has_row).await,
        "the host's row was not written again"
    );
    assert!(
        serves_new().await,
        "the version in force was replaced by an older one"
    );
    // The restored store gives the number of the lost version to another row. The next
    // version has a higher number.
    newer.push(RouteSpec::reads("/newest/", "quotes"));
    publish(&fleet.store, 6, &newer);
    let serves_newest = || async {
        let answer = fleet.hosts[1]
            .call("GET /newest/a HTTP/1.1", "newest", b"")
            .await;
        answer.is_some_and(|answer| answer.status == 200)
    };
    assert!(eventually(Duration::from_secs(3), serves_newest).await);
    drop(late);
}
