//! Organisations: whose a call is, when a key stops to hold, and how many calls
//! run for each.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{
    keyed_text, Answer, Client, Host, OrganisationSpec, RouteSpec, StoreFault,
};
use filbert_policy::numbers::count_to_f64;
use rstest::rstest;
use users::{eventually, eventually_logs, fleet, reload_with, Fleet, SETTLE_WITHIN};

const READ: &str = "GET /read/a HTTP/1.1";
const OPEN: &str = "GET /open/a HTTP/1.1";

fn routes() -> Vec<RouteSpec> {
    vec![
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec {
            is_open: true,
            ..RouteSpec::reads("/open/", "quotes")
        },
    ]
}

fn north_and_south() -> [OrganisationSpec; 2] {
    [
        OrganisationSpec::new("north", &["key-n1", "key-n2"]),
        OrganisationSpec::new("south", &["key-s"]),
    ]
}

/// A caller's host, one with the target and one more in its zone, with version 2
/// in force on all, whose organisations are `organisations`.
async fn keyed_fleet(organisations: &[OrganisationSpec]) -> Fleet {
    let fleet = fleet(
        &routes(),
        &[
            ("caller", "a", "art"),
            ("quoter", "a", "quotes"),
            ("other", "a", "art"),
        ],
    )
    .await;
    publish(&fleet, 2, organisations).await;
    fleet
}

/// Puts version `number` in force on all hosts.
async fn publish(fleet: &Fleet, number: u64, organisations: &[OrganisationSpec]) {
    let text = keyed_text(number, &routes(), organisations);
    fleet.store.put("op", "config", &text);
    for host in &fleet.hosts {
        let in_force = format!("event=version_in_force version={number:08x}");
        assert!(eventually_logs(host, &in_force).await);
    }
}

async fn call(host: &Host, line: &str, id: &str, key: Option<&str>) -> Answer {
    let mut headers = vec![
        ("Host", "shop.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "2000"),
        ("Tenant-Id", "liar"),
    ];
    headers.extend(key.map(|key| ("Key", key)));
    let answer = Client::once(host.calls, line, &headers, b"").await;
    answer.expect("an answer")
}

/// A call, and what becomes of it.
struct HolderCase {
    line: &'static str,
    key: Option<&'static str>,
    status: u16,
    /// The organisation that the target is told.
    organisation: &'static str,
}

#[rstest]
#[case(HolderCase { line: READ, key: Some("key-n2"), status: 200, organisation: "north" })]
#[case(HolderCase { line: READ, key: Some("key-s"), status: 200, organisation: "south" })]
#[case(HolderCase { line: READ, key: Some("key-x"), status: 401, organisation: "" })]
#[case(HolderCase { line: OPEN, key: None, status: 200, organisation: "" })]
#[case(HolderCase { line: OPEN, key: Some("key-x"), status: 200, organisation: "" })]
#[tokio::test]
async fn a_target_is_told_the_organisation_and_never_the_key(#[case] case: HolderCase) {
    let fleet = keyed_fleet(&north_and_south()).await;
    let caller = &fleet.hosts[0];
    let known = eventually(SETTLE_WITHIN, || async {
        call(caller, READ, "warm", Some("key-n1")).await.status == 200
    });
    assert!(known.await, "{}", caller.log());
    let answer = call(caller, case.line, "one", case.key).await;
    assert_eq!(answer.status, case.status, "{}", caller.log());
    let runs = fleet.hosts[1].target.runs();
    let run = runs.iter().find(|run| run.id == "one");
    assert_eq!(run.is_some(), case.status == 200);
    if let Some(run) = run {
        assert_eq!(run.organisation, case.organisation);
        assert_eq!(run.key, "");
    }
    for host in &fleet.hosts {
        assert!(
            !host.log().contains("key-"),
            "a key in a log:\n{}",
            host.log()
        );
    }
}

/// Guards against a withdrawn key that goes on to hold on a host that no longer
/// hears of the store.
#[tokio::test]
async fn a_host_that_hears_nothing_refuses_keys_in_time() {
    const WITHIN: Duration = Duration::from_secs(4);
    let fleet = keyed_fleet(&north_and_south()).await;
    for host in &fleet.hosts {
        reload_with(host, "[withdrawal]\nwithin = \"4s\"").await;
    }
    let caller = &fleet.hosts[0];
    let serves = eventually(SETTLE_WITHIN, || async {
        call(caller, READ, "warm", Some("key-n1")).await.status == 200
    });
    assert!(serves.await, "{}", caller.log());
    fleet.store.set_fault(StoreFault::Resets);
    let away = Instant::now();
    // Nobody hears of it: the operator's word is taken, and the store is away.
    let text = keyed_text(3, &routes(), &north_and_south()[1..]);
    fleet.store.put("op", "config", &text);
    let mut last_run = Duration::ZERO;
    while away.elapsed() < WITHIN + Duration::from_secs(2) {
        let sent = away.elapsed();
        let answer = call(caller, READ, "keyed", Some("key-n1")).await;
        match answer.status {
            200 => last_run = sent,
            status => assert_eq!(status, 503, "{}", caller.log()),
        }
        assert_eq!(call(caller, OPEN, "open", None).await.status, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(last_run < WITHIN, "a withdrawn key held for {last_run:?}");
    fleet.store.set_fault(StoreFault::None);
    let refused = eventually(SETTLE_WITHIN, || async {
        call(caller, READ, "late", Some("key-n1")).await.status == 401
    });
    assert!(refused.await, "{}", caller.log());
    assert_eq!(call(caller, READ, "south", Some("key-s")).await.status, 200);
}

/// Guards against an organisation that runs more than its limit by calling at
/// every host, while the daemon that grants is killed and starts anew.
#[tokio::test]
async fn a_limit_holds_over_all_hosts() {
    const FOR: Duration = Duration::from_secs(6);
    let limited = [OrganisationSpec::new("north", &["key-n1"]).limited(20.0, 10.0)];
    let mut fleet = keyed_fleet(&limited).await;
    let began = Instant::now();
    let mut refused = 0;
    let mut has_killed = false;
    while began.elapsed() < FOR {
        if began.elapsed() > FOR / 2 && !has_killed {
            has_killed = true;
            fleet.hosts[2].kill();
            fleet.hosts[2].start_daemon();
        }
        for host in [0, 1] {
            let answer = call(&fleet.hosts[host], READ, "many", Some("key-n1")).await;
            if answer.status == 429 {
                assert_ne!(answer.header("Retry-After"), "");
                refused += 1;
            }
        }
    }
    let runs = count_to_f64(fleet.runs_of("many"));
    let allowed = 20.0 * FOR.as_secs_f64() + 10.0;
    assert!(runs <= allowed * 1.1 + 20.0, "{runs} of {allowed}");
    assert!(runs >= allowed * 0.4, "{runs} of {allowed}");
    assert!(refused > 100, "{refused}");
}
