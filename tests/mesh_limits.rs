//! End-to-end tests of what targets state in their answers about the calls that they
//! still accept: a limit on the rate of calls, and that they are leaving.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, RouteSpec, TargetBehaviour, TargetServer};
use filbert_policy::numbers::count_to_f64;
use rstest::rstest;
use tokio::task::JoinSet;
use users::{eventually, fleet, Fleet, WAIT_TIMEOUT};

/// Time that the daemons have to keep to a limit.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time after which a target that said that it leaves gets no call any more.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Length of the windows in which calls at a target are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Time for which calls are sent after `STABLE_WINDOW`.
const COUNTED_TIME: Duration = Duration::from_secs(6);
/// Interval at which the calling hosts send a call, in turn.
const CALL_INTERVAL: Duration = Duration::from_millis(15);

/// Most calls that a target with this limit may get in any `COUNT_WINDOW`.
fn allowance(per_second: f64) -> f64 {
    1.5 * per_second * COUNT_WINDOW.as_secs_f64() + 5.0
}

/// Starts three hosts that call from two zones, and one target for each of `quoters`.
async fn start_fleet(quoters: &[&str]) -> Fleet {
    let mut hosts = vec![
        ("caller-1", "a", "art"),
        ("caller-2", "a", "art"),
        ("caller-3", "b", "art"),
    ];
    hosts.extend(quoters.iter().map(|name| (*name, "a", "quotes")));
    let fleet = fleet(&[RouteSpec::reads("/read/", "quotes")], &hosts).await;
    for host in &fleet.hosts {
        let run_time = Duration::from_millis(30);
        host.target
            .set_behaviour(TargetBehaviour::RespondsAfter(run_time));
    }
    fleet
}

impl Fleet {
    /// Sends a call every `CALL_INTERVAL`, from the first three hosts in turn, until
    /// `until`. Returns the status of each answer; 0 if none came.
    async fn call_until(&self, until: Instant) -> Vec<u16> {
        let mut calls = JoinSet::new();
        for host in self.hosts[..3].iter().cycle() {
            if Instant::now() >= until {
                break;
            }
            let address = host.calls;
            calls.spawn(async move {
                let id = format!("{:016x}", rand::random::<u64>());
                let line = format!("GET /read/{id} HTTP/1.1");
                Client::once(address, &line, &call_headers(&id), b"")
                    .await
                    .map_or(0, |answer| answer.status)
            });
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        calls.join_all().await
    }
}

/// Highest number of calls that `target` got in any `COUNT_WINDOW` from `since` on.
fn most_arrivals(target: &TargetServer, since: Instant) -> f64 {
    let mut arrivals: Vec<Instant> = target.arrivals().iter().map(|call| call.at).collect();
    arrivals.retain(|at| *at >= since);
    arrivals.sort();
    let count_from = |first: usize| {
        let end = arrivals[first] + COUNT_WINDOW;
        arrivals[first..].iter().take_while(|at| **at < end).count()
    };
    count_to_f64((0..arrivals.len()).map(count_from).max().unwrap_or(0))
}

/// Guards against a target that gets more calls than it says it takes.
#[rstest]
#[case::whole("9", 9.0)]
#[case::fraction("4.4", 4.4)]
#[case::zero("0", 0.0)]
#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_no_more_calls_than_the_limit_it_names(
    #[case] text: &str,
    #[case] per_second: f64,
) {
    let fleet = start_fleet(&["quoter-1"]).await;
    let target = &fleet.hosts[3].target;
    target.set_statements(&[&format!("Server-Limit: {text}")]);
    let judged_from = Instant::now() + STABLE_WINDOW;
    fleet.call_until(judged_from + COUNTED_TIME).await;
    let most = most_arrivals(target, judged_from);
    let allowed = allowance(per_second);
    assert!(
        most <= allowed,
        "{most} calls in 4 s, {allowed} allowed:\n{}",
        fleet.hosts[3].log()
    );
    // The target is still sent what it takes.
    let least = 0.9 * per_second * COUNT_WINDOW.as_secs_f64();
    assert!(most >= least, "{most} calls in 4 s, {least} taken");
}

/// Guards against a limited target that slows a service whose other targets have room.
#[tokio::test(flavor = "multi_thread")]
async fn calls_beyond_a_limit_run_at_other_targets() {
    let fleet = start_fleet(&["quoter-1", "quoter-2"]).await;
    let limited = &fleet.hosts[3].target;
    limited.set_statements(&["Server-Limit: 4.4"]);
    let judged_from = Instant::now() + STABLE_WINDOW;
    let statuses = fleet.call_until(judged_from + COUNTED_TIME).await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, statuses.len(), "{}", fleet.hosts[0].log());
    let most = most_arrivals(limited, judged_from);
    assert!(most <= allowance(4.4), "{most} calls in 4 s");
}

/// Guards against a target that gets no calls for ever since it once named a limit of 0:
/// only an answer can say that the limit has ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_calls_again_when_its_limit_ends() {
    let fleet = start_fleet(&["quoter-1"]).await;
    let target = &fleet.hosts[3].target;
    target.set_statements(&["Server-Limit: 0"]);
    fleet.call_until(Instant::now() + COUNT_WINDOW).await;
    target.set_statements(&[]);
    let noticed_by = Instant::now() + COUNT_WINDOW;
    fleet.call_until(noticed_by).await;
    let statuses = fleet.call_until(noticed_by + STABLE_WINDOW).await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, statuses.len(), "{}", fleet.hosts[3].log());
}

/// Guards against a daemon that forgets the limit at a restart and fills the target's
/// slots before it hears of the limit again.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_outlasts_restarts_of_the_daemon_beside_the_target() {
    let mut fleet = start_fleet(&["quoter-1"]).await;
    let mut quoter = fleet.hosts.pop().expect("the quoter");
    let run_time = Duration::from_millis(400);
    let behaviour = TargetBehaviour::RespondsAfter(run_time);
    quoter.target.set_behaviour(behaviour);
    quoter.target.set_statements(&["Server-Limit: 0"]);
    let judged_from = Instant::now() + STABLE_WINDOW;
    let restarts = async {
        tokio::time::sleep_until(judged_from.into()).await;
        for _ in 0..3 {
            quoter.kill();
            quoter.start_daemon();
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        }
    };
    tokio::join!(fleet.call_until(judged_from + COUNTED_TIME), restarts);
    let most = most_arrivals(&quoter.target, judged_from);
    assert!(most <= allowance(0.0), "{most} calls:\n{}", quoter.log());
}

/// Number of calls that `target` got from `since` on.
fn arrivals_since(target: &TargetServer, since: Instant) -> usize {
    let arrivals = target.arrivals();
    arrivals.iter().filter(|call| call.at >= since).count()
}

/// Guards against calls to a target that says in its answers that it leaves, while its
/// reports still say that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_it_leaves_gets_no_call_after_the_drain_time() {
    let fleet = start_fleet(&["quoter-1", "quoter-2"]).await;
    let leaving = &fleet.hosts[3].target;
    leaving.set_statements(&["Server-Leaving: 1"]);
    let drained_at = Instant::now() + DRAIN_TIME;
    let statuses = fleet.call_until(drained_at + COUNTED_TIME).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let late = arrivals_since(leaving, drained_at);
    assert_eq!(late, 0, "{}", fleet.hosts[3].log());
}

/// Guards against a daemon that forgets at a restart that the target beside it leaves:
/// the callers' hosts that passed the target's answer on are bound all the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_call_after_its_daemon_restarts() {
    let mut fleet = start_fleet(&["quoter-1"]).await;
    fleet.hosts[3].target.set_statements(&["Server-Leaving: 1"]);
    let answer = fleet.hosts[0].call("GET /read/a HTTP/1.1", "a", b"").await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    let drained_at = Instant::now() + DRAIN_TIME;
    fleet.hosts[3].kill();
    fleet.hosts[3].start_daemon();
    assert!(eventually(WAIT_TIMEOUT, || fleet.hosts[3].is_ready()).await);
    tokio::time::sleep_until(drained_at.into()).await;
    // Only the first host has passed an answer on.
    for number in 0..50 {
        let line = format!("GET /read/{number} HTTP/1.1");
        let id = format!("late-{number}");
        fleet.hosts[0].call(&line, &id, b"").await;
        assert_eq!(fleet.run_count(&id), 0, "{}", fleet.hosts[3].log());
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

/// Guards against a new instance that gets no calls since the one before it at its
/// address was leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_is_not_bound_by_what_the_old_one_said() {
    let mut fleet = start_fleet(&["quoter-1"]).await;
    let statements = ["Server-Leaving: 1", "Server-Limit: 0"];
    fleet.hosts[3].target.set_statements(&statements);
    fleet.call_until(Instant::now() + DRAIN_TIME).await;
    fleet.hosts[3].replace_target(2).await;
    let is_served = || async {
        let answer = fleet.hosts[0].call("GET /read/a HTTP/1.1", "a", b"").await;
        answer.is_some_and(|answer| answer.status == 200)
    };
    assert!(eventually(Duration::from_secs(3), is_served).await);
    let from = Instant::now();
    let statuses = fleet.call_until(from + Duration::from_secs(1)).await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, statuses.len(), "{}", fleet.hosts[3].log());
}
