//! End-to-end tests of the quarantine: calls that crash the targets that run them
//! are held back, and other calls are still served.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, HarmfulCall, Host, RouteSpec, StoreFault, TargetBehaviour};
use rstest::rstest;
use tokio::task::JoinSet;
use users::{eventually, fleet, Fleet, WAIT_TIMEOUT};

/// Time from the third crash within which all daemons know of it.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Most runs of a harmful call, at all targets, after that time.
const MAX_RUNS_ONCE_HELD: usize = 3;
/// Most runs of a held call within [`KEEP_CALLING_FOR`]: one probe when the first
/// hold ends.
const MAX_PROBES: usize = 1;
/// How long clients keep sending the harmful call once it is held.
const KEEP_CALLING_FOR: Duration = Duration::from_secs(5);
/// Interval at which clients send the harmful call.
const CALL_INTERVAL: Duration = Duration::from_millis(150);

fn routes() -> Vec<RouteSpec> {
    vec![
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ]
}

/// Starts two hosts that only call, and five with targets that crash when they run
/// a call with the request line `line`.
async fn start_fleet_with_harmful(line: &str) -> Fleet {
    let fleet = fleet(
        &routes(),
        &[
            ("caller-1", "a", "art"),
            ("caller-2", "b", "art"),
            ("quoter-1", "a", "quotes"),
            ("quoter-2", "a", "quotes"),
            ("quoter-3", "b", "quotes"),
            ("quoter-4", "b", "quotes"),
            ("quoter-5", "b", "quotes"),
        ],
    )
    .await;
    for host in &fleet.hosts {
        host.target.set_harmful_call(HarmfulCall {
            line: line.to_owned(),
            crashes_after: Duration::from_millis(40),
            restarts_after: Duration::from_millis(600),
        });
    }
    fleet
}

impl Fleet {
    /// Start times of the runs of `line` at all targets, sorted.
    fn runs_of_line(&self, line: &str) -> Vec<Instant> {
        let runs = self.hosts.iter().flat_map(|host| host.target.runs());
        let mut started: Vec<Instant> = runs
            .filter(|run| run.line == line)
            .map(|run| run.at)
            .collect();
        started.sort();
        started
    }
}

/// A call that crashes targets: its method and path as a target records them, and
/// its body.
struct HarmfulCase {
    line: &'static str,
    body: &'static str,
}

/// Guards against a call that crashes every target in turn, with all other calls
/// that they run. Clients repeat the call at any host, and each target that starts
/// it crashes and restarts a little later.
///
/// Seen when a crash was taken for a lost answer, retry limits were for one attempt
/// or one service, and no daemon remembered the call: within 5 s one call was logged
/// 39 times, by every target's daemon, as `gate_ran ... call=223eff7b...
/// verdict=lost reason="closed without an answer"`.
#[rstest]
#[case::lookup(HarmfulCase { line: "GET /read/harmful", body: "" })]
#[case::order(HarmfulCase { line: "POST /order/harmful", body: "sign" })]
#[tokio::test(flavor = "multi_thread")]
async fn call_that_crashes_three_targets_is_held_on_all_hosts(#[case] case: HarmfulCase) {
    let fleet = start_fleet_with_harmful(case.line).await;
    let third_crash = fleet.call_until_held(&case).await;
    let call_until = third_crash + PROPAGATION_TIMEOUT + KEEP_CALLING_FOR;
    fleet.call_until(&case, call_until).await;
    let late = fleet.runs_since(case.line, third_crash + PROPAGATION_TIMEOUT);
    assert!(late.len() <= MAX_RUNS_ONCE_HELD, "too many runs: {late:?}");
}

impl Fleet {
    /// Sends the call of `case` to one host after the other until `until`.
    ///
    /// # Panics
    /// If a call that was answered with 503 has run.
    async fn call_until(&self, case: &HarmfulCase, until: Instant) {
        let request = format!("{} HTTP/1.1", case.line);
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let host = &self.hosts[number % self.hosts.len()];
            let id = format!("harmful-{until:?}-{number}");
            let answer = host.call(&request, &id, case.body.as_bytes()).await;
            if answer.is_some_and(|answer| answer.status == 503) {
                assert_eq!(
                    self.run_count(&id),
                    0,
                    "{id} was answered with 503, but has run"
                );
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
    }

    /// Sends the call of `case` until all daemons hold it back, or until they had
    /// [`PROPAGATION_TIMEOUT`] for it. Returns the time at which three runs of the
    /// call were first seen.
    ///
    /// # Panics
    /// If fewer than three runs are seen within [`WAIT_TIMEOUT`], or if all daemons
    /// take longer than that to hold the call.
    async fn call_until_held(&self, case: &HarmfulCase) -> Instant {
        let started = Instant::now();
        let mut third_crash = None;
        while started.elapsed() < WAIT_TIMEOUT {
            self.call_until(case, Instant::now() + CALL_INTERVAL).await;
            if self.runs_of_line(case.line).len() >= 3 {
                let third_crash = *third_crash.get_or_insert_with(Instant::now);
                let is_held = |host: &Host| host.log().contains("event=call_held");
                if self.hosts.iter().all(is_held) || third_crash.elapsed() > PROPAGATION_TIMEOUT {
                    return third_crash;
                }
            }
        }
        panic!("the call did not reach three targets");
    }

    /// The runs of `line` that started at or after `since`, as times since then.
    fn runs_since(&self, line: &str, since: Instant) -> Vec<Duration> {
        let runs = self.runs_of_line(line).into_iter();
        runs.filter_map(|at| at.checked_duration_since(since))
            .collect()
    }
}

const HARMFUL_LOOKUP: HarmfulCase = HarmfulCase {
    line: "GET /read/harmful",
    body: "",
};

/// Which daemons are killed after a call is held back, and the store's fault.
struct LossCase {
    /// Indexes of the hosts whose daemons are killed and restarted.
    killed: std::ops::Range<usize>,
    store: StoreFault,
}

/// Guards against a hold that is lost when daemons are killed and restarted: those
/// of the crashed targets, the one that receives the call next, or all. Without the
/// hold, three more targets would crash.
#[rstest]
#[case::those_of_the_targets(LossCase { killed: 2..7, store: StoreFault::None })]
#[case::one_that_is_asked_then(LossCase { killed: 0..1, store: StoreFault::None })]
#[case::all(LossCase { killed: 0..7, store: StoreFault::None })]
#[case::those_of_the_targets_without_a_store(LossCase { killed: 2..7, store: StoreFault::NeverResponds })]
#[tokio::test(flavor = "multi_thread")]
async fn hold_survives_restart_of_daemons(#[case] case: LossCase) {
    let mut fleet = start_fleet_with_harmful(HARMFUL_LOOKUP.line).await;
    fleet.store.set_fault(case.store);
    fleet.call_until_held(&HARMFUL_LOOKUP).await;
    if case.store == StoreFault::None {
        let is_written = || async {
            let mut keys = fleet.store.keys("filbert-hosts").into_iter();
            keys.any(|key| key.starts_with("held/"))
        };
        assert!(eventually(WAIT_TIMEOUT, is_written).await);
    }
    for host in &mut fleet.hosts[case.killed.clone()] {
        host.kill();
    }
    let killed = Instant::now();
    for host in &mut fleet.hosts[case.killed] {
        host.start_daemon();
    }
    fleet
        .call_until(&HARMFUL_LOOKUP, killed + KEEP_CALLING_FOR)
        .await;
    let late = fleet.runs_since(HARMFUL_LOOKUP.line, killed);
    assert!(late.len() <= MAX_PROBES, "too many runs: {late:?}");
}

/// Guards against a hold that is lost when the store is restored from a backup that
/// was made before the row of the held call.
#[tokio::test(flavor = "multi_thread")]
async fn held_row_is_written_again_after_restore_of_an_older_store() {
    let fleet = start_fleet_with_harmful(HARMFUL_LOOKUP.line).await;
    let backup = fleet.store.snapshot();
    fleet.call_until_held(&HARMFUL_LOOKUP).await;
    let is_written = || async {
        let mut keys = fleet.store.keys("filbert-hosts").into_iter();
        keys.any(|key| key.starts_with("held/"))
    };
    assert!(eventually(WAIT_TIMEOUT, is_written).await);
    fleet.store.restore_snapshot(&backup);
    assert!(!is_written().await);
    assert!(eventually(WAIT_TIMEOUT, is_written).await, "written again");
}

/// Guards against a hold on a popular call that was merely running on all targets
/// that ended together. Four of five targets end at the same moment, as in a power
/// failure of a rack.
#[tokio::test(flavor = "multi_thread")]
async fn popular_call_is_served_after_targets_end_together() {
    const POPULAR: &str = "GET /read/popular HTTP/1.1";
    let fleet = start_fleet_with_harmful("GET /read/nobody-asks").await;
    for host in &fleet.hosts {
        host.target
            .set_behaviour(TargetBehaviour::RespondsAfter(Duration::from_millis(200)));
    }
    for round in 0..3 {
        let mut clients = JoinSet::new();
        for number in 0..16 {
            let calls = fleet.hosts[number % 2].calls;
            let id = format!("popular-{round}-{number}");
            clients.spawn(async move {
                Client::once(calls, POPULAR, &call_headers(&id), b"").await;
            });
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        for host in &fleet.hosts[3..] {
            host.target.crash_now();
        }
        clients.join_all().await;
        // By then, the targets that ended are back.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        for number in 0..8 {
            let id = format!("after-{round}-{number}");
            let host = &fleet.hosts[number % fleet.hosts.len()];
            let answer = host.call(POPULAR, &id, b"").await.expect("an answer");
            assert_eq!(answer.status, 200, "{}", host.log());
        }
    }
}

/// An operator lists the held calls, and releases one that crashes targets no
/// longer, as they were fixed. All hosts must serve it soon after.
#[tokio::test(flavor = "multi_thread")]
async fn operator_lists_and_releases_a_held_call() {
    let fleet = start_fleet_with_harmful(HARMFUL_LOOKUP.line).await;
    let none = ctl(&fleet, &["held"]).await;
    assert_eq!(none.trim(), "no call is held back");
    fleet.call_until_held(&HARMFUL_LOOKUP).await;
    let is_listed = || async { ctl(&fleet, &["held"]).await.contains(" s ago") };
    assert!(eventually(WAIT_TIMEOUT, is_listed).await);
    let listed = ctl(&fleet, &["held", "--output", "json"]).await;
    let listed: serde_json::Value = serde_json::from_str(&listed).expect("JSON");
    assert!(listed[0]["ends"].as_u64() >= Some(3), "{listed}");
    let call = listed[0]["call"].as_str().expect("an identity").to_owned();
    for host in &fleet.hosts {
        host.target.set_harmful_call(HarmfulCall {
            line: "GET /read/nobody-asks".to_owned(),
            crashes_after: Duration::ZERO,
            restarts_after: Duration::ZERO,
        });
    }
    ctl(&fleet, &["release", &call]).await;
    let request = format!("{} HTTP/1.1", HARMFUL_LOOKUP.line);
    for host in &fleet.hosts {
        let is_served = || async {
            let answer = host.call(&request, "mended", b"").await;
            answer.is_some_and(|answer| answer.status == 200)
        };
        assert!(
            eventually(PROPAGATION_TIMEOUT, is_served).await,
            "{}",
            host.log()
        );
    }
    let is_gone = || async { ctl(&fleet, &["held"]).await.trim() == "no call is held back" };
    assert!(eventually(WAIT_TIMEOUT, is_gone).await);
}

/// Runs `filbertctl mesh` with `arguments` and returns its standard output.
async fn ctl(fleet: &Fleet, arguments: &[&str]) -> String {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["mesh", "--store", &fleet.store.address.to_string()])
        .args(arguments)
        .output()
        .await
        .expect("it runs");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}
