//! Calls that end the targets that run them, and what becomes of the calls
//! beside them.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{HarmfulCall, RouteSpec};
use rstest::rstest;
use users::{fleet, Fleet};

/// Time from the third end of a target within which all daemons know of it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Arrivals of a harmful call at targets after that.
const MOST_ARRIVALS_AFTER: usize = 3;
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
    let request = format!("{} HTTP/1.1", case.line);
    let mut third_end = None;
    let started = Instant::now();
    for number in 0_usize.. {
        let host = &fleet.hosts[number % fleet.hosts.len()];
        let id = format!("harmful-{number}");
        // Whatever the answer, the client comes again.
        let _ = host.call(&request, &id, case.body.as_bytes()).await;
        let runs = fleet.runs_of_line(case.line);
        third_end = third_end.or((runs.len() >= 3).then(Instant::now));
        let asked_long = third_end.is_some_and(|at| at.elapsed() > KNOWN_WITHIN + ASKED_ON_FOR);
        if asked_long || started.elapsed() > Duration::from_secs(30) {
            break;
        }
        tokio::time::sleep(ASKED_EVERY).await;
    }
    let third_end = third_end.expect("the call reaches three targets");
    let late: Vec<Duration> = fleet
        .runs_of_line(case.line)
        .into_iter()
        .filter_map(|at| at.checked_duration_since(third_end + KNOWN_WITHIN))
        .collect();
    assert!(
        late.len() <= MOST_ARRIVALS_AFTER,
        "{} more arrivals: {late:?}",
        late.len()
    );
}
