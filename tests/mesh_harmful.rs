//! Calls that end the targets that run them, and what becomes of the calls
//! beside them.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, Conduct, HarmfulCall, Host, RouteSpec, StoreFault};
use rstest::rstest;
use tokio::task::JoinSet;
use users::{eventually, fleet, Fleet, SETTLE_WITHIN};

/// Time from the third end of a target within which all daemons know of it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Arrivals of a harmful call at targets after that.
const MOST_ARRIVALS_AFTER: usize = 3;
/// Arrivals of a call that is held back, within some seconds: one try when the
/// first hold is over.
const TRIES_AFTER_HOLD: usize = 1;
/// Time that the harmful call's clients go on asking after that.
const ASKED_ON_FOR: Duration = Duration::from_secs(5);
/// Pause between two tries of the harmful call's clients.
const ASKED_EVERY: Duration = Duration::from_millis(150);

fn routes() -> Vec<RouteSpec> {
    vec![
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ]
}

/// Two hosts that only call, and five with targets that `line` ends.
async fn fleet_with_harmful(line: &str) -> Fleet {
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
        host.target.set_harmful(HarmfulCall {
            line: line.to_owned(),
            ends_after: Duration::from_millis(40),
            back_after: Duration::from_millis(600),
        });
    }
    fleet
}

impl Fleet {
    /// When runs of `line` began, at all targets, in order.
    fn runs_of_line(&self, line: &str) -> Vec<Instant> {
        let runs = self.hosts.iter().flat_map(|host| host.target.runs());
        let mut begun: Vec<Instant> = runs
            .filter(|run| run.line == line)
            .map(|run| run.at)
            .collect();
        begun.sort();
        begun
    }
}

/// A harmful call: its line as a target records it, and its body.
struct HarmfulCase {
    line: &'static str,
    body: &'static str,
}

/// A customer looks up one proof again and again, at whichever shop's host is
/// near. Each server that begins to work on it ends and is back a little later.
/// The lookup goes on to the next server, and each new try starts from the
/// beginning: all servers end in turn, with the work of everybody else. A server
/// that ended was taken for one that lost an answer, the limits on repeats held
/// for one try or one service, and no daemon remembered the call: within 5 s the
/// lines `gate_ran ... call=223eff7b... verdict=lost reason="closed without an
/// answer"` named one call 39 times, at every server.
#[rstest]
#[case::lookup(HarmfulCase { line: "GET /read/harmful", body: "" })]
#[case::order(HarmfulCase { line: "POST /order/harmful", body: "sign" })]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_ends_three_targets_is_held_back_everywhere(#[case] case: HarmfulCase) {
    let fleet = fleet_with_harmful(case.line).await;
    let third_end = fleet.ask_until_held(&case).await;
    let asked_until = third_end + KNOWN_WITHIN + ASKED_ON_FOR;
    fleet.ask_until(&case, asked_until).await;
    let late = fleet.runs_since(case.line, third_end + KNOWN_WITHIN);
    assert!(late.len() <= MOST_ARRIVALS_AFTER, "more arrivals: {late:?}");
}

impl Fleet {
    /// Asks for `case` at one host after the other; each answer must be true.
    async fn ask_until(&self, case: &HarmfulCase, until: Instant) {
        let request = format!("{} HTTP/1.1", case.line);
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let host = &self.hosts[number % self.hosts.len()];
            let id = format!("harmful-{until:?}-{number}");
            let answer = host.call(&request, &id, case.body.as_bytes()).await;
            if answer.is_some_and(|answer| answer.status == 503) {
                assert_eq!(self.runs_of(&id), 0, "{id} was said not to have run");
            }
            tokio::time::sleep(ASKED_EVERY).await;
        }
    }

    /// Asks for `case` until all daemons hold it back; when the third target
    /// had ended under it by.
    async fn ask_until_held(&self, case: &HarmfulCase) -> Instant {
        let started = Instant::now();
        let mut third_end = None;
        while started.elapsed() < SETTLE_WITHIN {
            self.ask_until(case, Instant::now() + ASKED_EVERY).await;
            if self.runs_of_line(case.line).len() >= 3 {
                let third_end = *third_end.get_or_insert_with(Instant::now);
                let is_held = |host: &Host| host.log().contains("event=call_held");
                if self.hosts.iter().all(is_held) || third_end.elapsed() > KNOWN_WITHIN {
                    return third_end;
                }
            }
        }
        panic!("the call does not reach three targets");
    }

    /// How long after `since` runs of `line` began.
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

/// What ends after a call is held back, and for whom the store is silent.
struct LossCase {
    /// Places of the hosts whose daemons are killed and start again.
    killed: std::ops::Range<usize>,
    store: StoreFault,
}

/// A harmful lookup is held back. Then the daemons that saw it are gone: those
/// beside the servers that ended, the one that is asked next, or all. The lookup
/// comes again. What the daemons knew must not be gone with them, or three more
/// servers end.
#[rstest]
#[case::those_of_the_targets(LossCase { killed: 2..7, store: StoreFault::None })]
#[case::one_that_is_asked_then(LossCase { killed: 0..1, store: StoreFault::None })]
#[case::all(LossCase { killed: 0..7, store: StoreFault::None })]
#[case::those_of_the_targets_without_a_store(LossCase { killed: 2..7, store: StoreFault::Silent })]
#[tokio::test(flavor = "multi_thread")]
async fn a_held_call_stays_so_when_daemons_end(#[case] case: LossCase) {
    let mut fleet = fleet_with_harmful(HARMFUL_LOOKUP.line).await;
    fleet.store.set_fault(case.store);
    fleet.ask_until_held(&HARMFUL_LOOKUP).await;
    if case.store == StoreFault::None {
        let is_written = || async {
            let mut keys = fleet.store.keys("filbert-hosts").into_iter();
            keys.any(|key| key.starts_with("held/"))
        };
        assert!(eventually(SETTLE_WITHIN, is_written).await);
    }
    for host in &mut fleet.hosts[case.killed.clone()] {
        host.kill();
    }
    let killed = Instant::now();
    for host in &mut fleet.hosts[case.killed] {
        host.start_daemon();
    }
    fleet
        .ask_until(&HARMFUL_LOOKUP, killed + ASKED_ON_FOR)
        .await;
    let late = fleet.runs_since(HARMFUL_LOOKUP.line, killed);
    assert!(late.len() <= TRIES_AFTER_HOLD, "more arrivals: {late:?}");
}

/// Guards against a held call that is let go by a store that comes back from an
/// older copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_held_calls_row_outlives_an_older_copy_of_the_store() {
    let fleet = fleet_with_harmful(HARMFUL_LOOKUP.line).await;
    let copy = fleet.store.copy();
    fleet.ask_until_held(&HARMFUL_LOOKUP).await;
    let is_written = || async {
        let mut keys = fleet.store.keys("filbert-hosts").into_iter();
        keys.any(|key| key.starts_with("held/"))
    };
    assert!(eventually(SETTLE_WITHIN, is_written).await);
    fleet.store.come_back_from(&copy);
    assert!(!is_written().await);
    assert!(eventually(SETTLE_WITHIN, is_written).await, "written again");
}

/// Four of five servers end at one moment, as with the power of a rack. A lookup
/// that many ask for was at work in all of them. It is no reason to refuse it.
#[tokio::test(flavor = "multi_thread")]
async fn a_popular_call_is_served_after_many_targets_ended_at_once() {
    const POPULAR: &str = "GET /read/popular HTTP/1.1";
    let fleet = fleet_with_harmful("GET /read/nobody-asks").await;
    for host in &fleet.hosts {
        host.target
            .set_conduct(Conduct::AnswersAfter(Duration::from_millis(200)));
    }
    for round in 0..3 {
        let mut asked = JoinSet::new();
        for number in 0..16 {
            let calls = fleet.hosts[number % 2].calls;
            let id = format!("popular-{round}-{number}");
            asked.spawn(async move {
                Client::once(calls, POPULAR, &call_headers(&id), b"").await;
            });
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        for host in &fleet.hosts[3..] {
            host.target.end_now();
        }
        asked.join_all().await;
        // All but one of the servers are back by then.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        for number in 0..8 {
            let id = format!("after-{round}-{number}");
            let host = &fleet.hosts[number % fleet.hosts.len()];
            let answer = host.call(POPULAR, &id, b"").await.expect("an answer");
            assert_eq!(answer.status, 200, "{}", host.log());
        }
    }
}

/// The servers were mended: the lookup that ended them does no harm any more.
/// The operator sees that it is held back, and lets it go.
#[tokio::test(flavor = "multi_thread")]
async fn an_operator_sees_a_held_call_and_lets_it_go() {
    let fleet = fleet_with_harmful(HARMFUL_LOOKUP.line).await;
    let none = ctl(&fleet, &["held"]).await;
    assert_eq!(none.trim(), "no call is held back");
    fleet.ask_until_held(&HARMFUL_LOOKUP).await;
    let is_listed = || async { ctl(&fleet, &["held"]).await.contains(" s ago") };
    assert!(eventually(SETTLE_WITHIN, is_listed).await);
    let listed = ctl(&fleet, &["held", "--output", "json"]).await;
    let listed: serde_json::Value = serde_json::from_str(&listed).expect("JSON");
    assert!(listed[0]["ends"].as_u64() >= Some(3), "{listed}");
    let call = listed[0]["call"].as_str().expect("an identity").to_owned();
    for host in &fleet.hosts {
        host.target.set_harmful(HarmfulCall {
            line: "GET /read/nobody-asks".to_owned(),
            ends_after: Duration::ZERO,
            back_after: Duration::ZERO,
        });
    }
    ctl(&fleet, &["release", &call]).await;
    let request = format!("{} HTTP/1.1", HARMFUL_LOOKUP.line);
    for host in &fleet.hosts {
        let is_served = || async {
            let answer = host.call(&request, "mended", b"").await;
            answer.is_some_and(|answer| answer.status == 200)
        };
        assert!(eventually(KNOWN_WITHIN, is_served).await, "{}", host.log());
    }
    let is_gone = || async { ctl(&fleet, &["held"]).await.trim() == "no call is held back" };
    assert!(eventually(SETTLE_WITHIN, is_gone).await);
}

/// What `filbertctl mesh` prints.
async fn ctl(fleet: &Fleet, words: &[&str]) -> String {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["mesh", "--store", &fleet.store.address.to_string()])
        .args(words)
        .output()
        .await
        .expect("it runs");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}
