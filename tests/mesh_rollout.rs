//! Roll-outs of software versions between stand-ins of the users' platform.

#[path = "support/rollout.rs"]
mod rollout;
#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{Conduct, Host, RouteSpec, StoreFault};
use rollout::{
    old_fleet, order, orders_run_twice, reaches, routes, runs, shown, start_new, state, Traffic,
    ALLOWED, ON_THE_WAY, WORK,
};
use rstest::rstest;
use users::{eventually, eventually_logs, host_spec, publish, SETTLE_WITHIN};

/// Guards against a good version that is not moved to in time, against calls
/// that the end of its old targets cuts, and orders run twice.
#[tokio::test]
async fn a_good_version_takes_over_without_a_lost_call() {
    let fleet = old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    order(&fleet.store, "v2", ALLOWED);
    let new = start_new(&fleet.store, Conduct::AnswersAfter(WORK)).await;
    assert!(reaches(&fleet.store, "running", Duration::from_secs(2)).await);
    assert!(reaches(&fleet.store, "completed", ALLOWED).await);
    let at_work: u64 = fleet.hosts[2..]
        .iter()
        .map(|host| host.target.running())
        .sum();
    assert_eq!(at_work, 0, "old targets end now");
    let before = runs(&fleet.hosts[2..]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&fleet.hosts[2..]), before, "an old target got a call");
    let (asked, failed) = traffic.stop().await;
    assert!(asked > 300, "{asked} calls");
    assert_eq!(failed, 0, "of {asked} calls");
    let all: Vec<&Host> = fleet.hosts.iter().chain(&new).collect();
    assert_eq!(orders_run_twice(&all), 0);
}

/// A way in which version 2 is bad.
#[derive(Clone, Copy, Debug)]
enum BadWay {
    /// All of it, with this conduct.
    Always(Conduct),
    /// With this conduct after this time.
    After(Duration, Conduct),
    /// On the route that has fewest calls.
    OnOneRoute(Conduct),
}

/// Guards against a bad version that gets more than its share, or calls after
/// its verdict.
#[rstest]
#[case(BadWay::Always(Conduct::FailsAfter(WORK)))]
#[case(BadWay::Always(Conduct::AnswersAfter(WORK.saturating_mul(8))))]
#[case(BadWay::Always(Conduct::LosesAnswers))]
#[case(BadWay::OnOneRoute(Conduct::FailsAfter(WORK)))]
#[case(BadWay::After(Duration::from_secs(3), Conduct::FailsAfter(WORK)))]
#[case(BadWay::Always(Conduct::FailsAbove(1, WORK)))]
#[tokio::test]
async fn a_bad_version_is_taken_back(#[case] way: BadWay) {
    let fleet = old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    order(&fleet.store, "v2", ALLOWED);
    let first = match way {
        BadWay::Always(conduct) => conduct,
        BadWay::After(..) | BadWay::OnOneRoute(_) => Conduct::AnswersAfter(WORK),
    };
    let new = start_new(&fleet.store, first).await;
    if let BadWay::OnOneRoute(conduct) = way {
        for host in &new {
            host.target.set_conduct_on("/rare/", conduct);
        }
    }
    if let BadWay::After(pause, conduct) = way {
        tokio::time::sleep(pause).await;
        for host in &new {
            host.target.set_conduct(conduct);
        }
    }
    assert!(reaches(&fleet.store, "rolled_back", ALLOWED).await);
    assert!(shown(&fleet.store)
        .await
        .contains("quotes to v2: rolled_back"));
    tokio::time::sleep(ON_THE_WAY).await;
    let before = runs(&new);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&new), before, "a call after the verdict");
    let (asked, _) = traffic.stop().await;
    assert!(before < asked / 4, "{before} of {asked} calls went there");
    let all: Vec<&Host> = fleet.hosts.iter().chain(&new).collect();
    assert_eq!(orders_run_twice(&all), 0);
}

/// Guards against an order that hangs for want of targets.
#[tokio::test]
async fn an_order_without_targets_is_rolled_back_in_time() {
    let fleet = old_fleet().await;
    order(&fleet.store, "v2", Duration::from_secs(4));
    assert!(reaches(&fleet.store, "rolled_back", Duration::from_secs(4)).await);
    let answer = fleet.hosts[0]
        .call("GET /read/a HTTP/1.1", "after", b"")
        .await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}

/// Guards against orders that cannot be read, which must change nothing.
#[rstest]
#[case(br#"{"service":"quotes","to":"v2"}"#)]
#[case(br#"{"service":"other","to":"v2","duration":"3s"}"#)]
#[case(br#"{"service":"quotes","to":"v2","duration":"soon"}"#)]
#[case(b"\x00\xff")]
#[tokio::test]
async fn an_unreadable_order_changes_nothing(#[case] text: &[u8]) {
    let fleet = old_fleet().await;
    fleet.store.put("op", "rollout/quotes", text);
    let logged = eventually(SETTLE_WITHIN, || async {
        fleet
            .hosts
            .iter()
            .any(|host| host.log().contains("event=rollout_order_unreadable"))
    });
    assert!(logged.await);
    assert_eq!(state(&fleet.store), "");
    let answer = fleet.hosts[0]
        .call("GET /read/a HTTP/1.1", "after", b"")
        .await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}

/// The hosts whose daemons ask the store for the fleet, as their logs say.
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

/// Guards against a roll-out that ends with the daemons that decide on it.
#[tokio::test]
async fn a_bad_version_is_taken_back_though_its_deciders_die() {
    let mut fleet = old_fleet().await;
    let caller = Host::start(host_spec(&fleet.store, "caller-c", "b", "art")).await;
    assert!(eventually(SETTLE_WITHIN, || caller.is_ready()).await);
    let traffic = Traffic::start(&caller);
    order(&fleet.store, "v2", ALLOWED);
    let mut new = start_new(&fleet.store, Conduct::AnswersAfter(WORK)).await;
    assert!(reaches(&fleet.store, "running", Duration::from_secs(2)).await);
    assert!(eventually(ALLOWED, || async { runs(&new) > 0 }).await);
    let mut killed = 0;
    for hosts in [&mut fleet.hosts, &mut new] {
        for host in deciders(hosts) {
            hosts[host].kill();
            killed += 1;
        }
    }
    assert!(killed > 0);
    for host in &new {
        host.target.set_conduct(Conduct::FailsAfter(WORK));
    }
    assert!(reaches(&fleet.store, "rolled_back", ALLOWED).await);
    traffic.stop().await;
}

/// Guards against a roll-back that waits for a store that is away.
#[tokio::test]
async fn a_roll_back_takes_effect_while_the_store_is_away() {
    let fleet = old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    order(&fleet.store, "v2", ALLOWED);
    let new = start_new(&fleet.store, Conduct::AnswersAfter(WORK)).await;
    assert!(eventually(ALLOWED, || async { runs(&new) > 3 }).await);
    fleet.store.set_fault(StoreFault::Resets);
    for host in &new {
        host.target.set_conduct(Conduct::FailsAfter(WORK));
    }
    for host in &fleet.hosts {
        assert!(eventually_logs(host, "stage=RolledBack").await);
    }
    tokio::time::sleep(ON_THE_WAY).await;
    let before = runs(&new);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&new), before, "a call after the verdict");
    assert_eq!(state(&fleet.store), "running");
    fleet.store.set_fault(StoreFault::None);
    assert!(reaches(&fleet.store, "rolled_back", SETTLE_WITHIN).await);
    traffic.stop().await;
}

/// Guards against a verdict that is forgotten when all daemons are killed.
#[tokio::test]
async fn a_roll_back_outlives_all_daemons() {
    let mut fleet = old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    order(&fleet.store, "v2", ALLOWED);
    let mut new = start_new(&fleet.store, Conduct::FailsAfter(WORK)).await;
    assert!(reaches(&fleet.store, "rolled_back", ALLOWED).await);
    traffic.stop().await;
    for host in fleet.hosts.iter_mut().chain(&mut new) {
        host.kill();
    }
    for host in fleet.hosts.iter_mut().chain(&mut new) {
        host.start_daemon();
    }
    for host in &fleet.hosts {
        assert!(eventually(SETTLE_WITHIN, || host.is_ready()).await);
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
    assert_eq!(state(&fleet.store), "rolled_back");
}

/// Guards against a completed roll-out that is undone or judged anew by a store
/// that comes back from an older copy, with the operator's order written again.
#[tokio::test]
async fn a_completed_roll_out_outlives_an_older_copy_of_the_store() {
    let fleet = old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    let copy = fleet.store.copy();
    order(&fleet.store, "v2", ALLOWED);
    let new = start_new(&fleet.store, Conduct::AnswersAfter(WORK)).await;
    assert!(reaches(&fleet.store, "completed", ALLOWED).await);
    fleet.store.set_fault(StoreFault::Resets);
    fleet.store.come_back_from(&copy);
    fleet.store.set_fault(StoreFault::None);
    order(&fleet.store, "v2", ALLOWED);
    assert!(reaches(&fleet.store, "completed", SETTLE_WITHIN).await);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(state(&fleet.store), "completed");
    let at_old = runs(&fleet.hosts[2..]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&fleet.hosts[2..]), at_old);
    let (_, failed) = traffic.stop().await;
    assert_eq!(failed, 0);
    assert!(runs(&new) > 0);
}

/// Guards against a write that the store makes late, after it came back from an
/// older copy in which its premise is another's.
#[tokio::test]
async fn a_late_write_of_the_former_era_does_no_harm() {
    let fleet = old_fleet().await;
    let traffic = Traffic::start(&fleet.hosts[0]);
    let copy = fleet.store.copy();
    order(&fleet.store, "v2", ALLOWED);
    let new = start_new(&fleet.store, Conduct::AnswersAfter(WORK)).await;
    assert!(eventually(ALLOWED, || async { runs(&new) > 3 }).await);
    fleet
        .store
        .set_fault(StoreFault::LateWrites(Duration::from_millis(1_500)));
    for host in &new {
        host.target.set_conduct(Conduct::FailsAfter(WORK));
    }
    assert!(eventually_logs(&fleet.hosts[0], "stage=RolledBack").await);
    fleet.store.come_back_from(&copy);
    order(&fleet.store, "v2", ALLOWED);
    fleet.store.set_fault(StoreFault::None);
    assert!(reaches(&fleet.store, "rolled_back", SETTLE_WITHIN).await);
    let before = runs(&new);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(state(&fleet.store), "rolled_back");
    assert_eq!(runs(&new), before, "the bad version got a call");
    traffic.stop().await;
}

/// Guards against rows that stay lost, and a version that goes back, when the
/// store comes back from an older copy.
#[tokio::test]
async fn rows_and_versions_outlive_an_older_copy_of_the_store() {
    let fleet = old_fleet().await;
    let copy = fleet.store.copy();
    let late = Host::start(host_spec(&fleet.store, "late", "b", "quotes")).await;
    let has_row = || async {
        fleet
            .store
            .keys("filbert-hosts")
            .contains(&"late".to_owned())
    };
    assert!(eventually(SETTLE_WITHIN, has_row).await);
    let mut newer = routes().to_vec();
    newer.push(RouteSpec::reads("/new/", "quotes"));
    publish(&fleet.store, 5, &newer);
    let serves_new = || async {
        let answer = fleet.hosts[0].call("GET /new/a HTTP/1.1", "new", b"").await;
        answer.is_some_and(|answer| answer.status == 200)
    };
    assert!(eventually(SETTLE_WITHIN, serves_new).await);
    fleet.store.set_fault(StoreFault::Resets);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.come_back_from(&copy);
    fleet.store.set_fault(StoreFault::None);
    assert!(
        eventually(Duration::from_secs(4), has_row).await,
        "the row is back"
    );
    assert!(serves_new().await, "a version went back");
    // Its number is another row's now; the next version is higher.
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
