//! Links between daemons that fall silent and come back.

#[path = "support/users.rs"]
mod users;

use std::time::Duration;

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, Conduct, RouteSpec};
use nix::sys::signal::Signal;
use rstest::rstest;
use users::{eventually, fleet, pair, Fleet, SETTLE_WITHIN};

/// The daemon beside the only target stands still for a moment, long enough
/// that its link counts as silent, or is given up. The call that runs there
/// has nowhere else to go: it must get the answer that its target made, not a
/// "may have run" half a second after it was sent.
#[rstest]
#[case::silent("GET /read/a HTTP/1.1", 700)]
#[case::given_up("GET /read/a HTTP/1.1", 1_400)]
#[case::an_order("POST /order/a HTTP/1.1", 1_400)]
#[tokio::test]
async fn a_call_with_nowhere_to_go_outlives_a_silent_link(
    #[case] line: &str,
    #[case] pause_ms: u64,
) {
    let fleet = pair("b").await;
    let target = &fleet.hosts[1].target;
    target.set_conduct(Conduct::AnswersAfter(Duration::from_millis(200)));
    let mut client = fleet.call_under_way(line, "call-1").await;
    fleet.hosts[1].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    fleet.hosts[1].signal(Signal::SIGCONT);
    let answer = client.answer().await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", fleet.hosts[0].log());
    assert_eq!(target.runs().len(), 1);
}

/// The daemon beside one of two targets stands still, and the other target
/// turns the call away. The first one's answer still comes and must be passed
/// on; the call must not be ended while that target is at work on it.
#[tokio::test]
async fn a_call_turned_away_elsewhere_still_gets_its_first_answer() {
    let fleet = three().await;
    let (mut client, silent, other) = call_under_way(&fleet).await;
    fleet.hosts[other].target.set_conduct(Conduct::Rejects);
    fleet.hosts[silent].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(900)).await;
    fleet.hosts[silent].signal(Signal::SIGCONT);
    let answer = client.answer().await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", fleet.hosts[0].log());
    assert_eq!(runs_at(&fleet, silent), 1, "{}", fleet.hosts[0].log());
}

fn runs_at(fleet: &Fleet, host: usize) -> usize {
    fleet.hosts[host].target.runs().len()
}

/// Makes a call; its connection, the host it runs at, and the other.
async fn call_under_way(fleet: &Fleet) -> (Client, usize, usize) {
    let mut client = fleet.connect(0).await;
    client
        .send("GET /read/a HTTP/1.1", &call_headers("call-1"), b"")
        .await
        .expect("sent");
    let at = |host| runs_at(fleet, host);
    assert!(eventually(SETTLE_WITHIN, || async { at(1) + at(2) == 1 }).await);
    if at(1) == 1 {
        (client, 1, 2)
    } else {
        (client, 2, 1)
    }
}

async fn three() -> Fleet {
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let fleet = fleet(
        &routes,
        &[
            ("caller", "a", "art"),
            ("first", "a", "quotes"),
            ("second", "a", "quotes"),
        ],
    )
    .await;
    for host in &fleet.hosts[1..] {
        host.target
            .set_conduct(Conduct::AnswersAfter(Duration::from_millis(150)));
    }
    fleet
}

/// The daemon beside one of two targets stands still. A call that may be
/// repeated must not wait for it: it goes to the other target at once.
#[tokio::test]
async fn a_repeatable_call_leaves_a_silent_link_for_another_target() {
    let fleet = three().await;
    let (mut client, silent, other) = call_under_way(&fleet).await;
    fleet.hosts[silent].signal(Signal::SIGSTOP);
    let answer = client.answer().await.expect("an answer");
    fleet.hosts[silent].signal(Signal::SIGCONT);
    assert_eq!(answer.status, 200, "{}", fleet.hosts[0].log());
    assert_eq!(runs_at(&fleet, other), 1, "{}", fleet.hosts[0].log());
}
