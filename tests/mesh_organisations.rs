//! Organisations: which one a call belongs to, when a withdrawn key is rejected, and
//! how many calls each may run.

#[path = "support/users.rs"]
mod users;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbert_platform_standin::{
    config_text_with_organisations, Answer, Client, Host, OrganisationSpec, RouteSpec, StoreFault,
};
use filbert_policy::numbers::count_to_f64;
use rstest::rstest;
use tokio::task::JoinSet;
use users::{eventually, eventually_logs, fleet, reload_with, Fleet, WAIT_TIMEOUT};

const READ: &str = "GET /read/a HTTP/1.1";
const PUBLIC: &str = "GET /open/a HTTP/1.1";

fn routes() -> Vec<RouteSpec> {
    vec![
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec {
            is_public: true,
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

/// Starts a caller's host, a target's host and a third host in one availability zone,
/// with version 2 of the configuration, which has `organisations`, in force on all.
async fn fleet_with_organisations(organisations: &[OrganisationSpec]) -> Fleet {
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

/// Publishes version `number` of the configuration and waits until it is in force on
/// all hosts.
async fn publish(fleet: &Fleet, number: u64, organisations: &[OrganisationSpec]) {
    let text = config_text_with_organisations(number, &routes(), organisations);
    fleet.store.put("op", "config", &text);
    for host in &fleet.hosts {
        let in_force = format!("event=version_in_force version={number:08x}");
        assert!(eventually_logs(host, &in_force).await);
    }
}

async fn call(host: &Host, line: &str, id: &str, key: Option<&str>) -> Answer {
    call_at(host.calls, line, id, key).await
}

async fn call_at(address: SocketAddr, line: &str, id: &str, key: Option<&str>) -> Answer {
    let mut headers = vec![
        ("Host", "shop.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "2000"),
        ("Tenant-Id", "liar"),
    ];
    headers.extend(key.map(|key| ("Key", key)));
    let answer = Client::once(address, line, &headers, b"").await;
    answer.expect("no response")
}

/// A call and its expected result.
struct HolderCase {
    line: &'static str,
    key: Option<&'static str>,
    status: u16,
    /// Organisation named to the target; empty for none.
    organisation: &'static str,
}

#[rstest]
#[case(HolderCase { line: READ, key: Some("key-n2"), status: 200, organisation: "north" })]
#[case(HolderCase { line: READ, key: Some("key-s"), status: 200, organisation: "south" })]
#[case(HolderCase { line: READ, key: Some("key-x"), status: 401, organisation: "" })]
#[case(HolderCase { line: PUBLIC, key: None, status: 200, organisation: "" })]
#[case(HolderCase { line: PUBLIC, key: Some("key-x"), status: 200, organisation: "" })]
#[tokio::test]
async fn a_target_is_told_the_organisation_and_never_the_key(#[case] case: HolderCase) {
    let fleet = fleet_with_organisations(&north_and_south()).await;
    let caller = &fleet.hosts[0];
    let known = eventually(WAIT_TIMEOUT, || async {
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

/// Guards against a withdrawn key that is accepted indefinitely by a host that
/// cannot reach the store, and so does not learn of the withdrawal.
#[tokio::test]
async fn a_host_cut_off_from_the_store_rejects_keys_in_time() {
    const WITHDRAWAL_TIME: Duration = Duration::from_secs(4);
    let fleet = fleet_with_organisations(&north_and_south()).await;
    for host in &fleet.hosts {
        reload_with(host, "[withdrawal]\nwithin = \"4s\"").await;
    }
    let caller = &fleet.hosts[0];
    let is_served = eventually(WAIT_TIMEOUT, || async {
        call(caller, READ, "warm", Some("key-n1")).await.status == 200
    });
    assert!(is_served.await, "{}", caller.log());
    fleet.store.set_fault(StoreFault::ResetsConnections);
    let outage_began = Instant::now();
    // No daemon learns of this version: the store takes the operator's write, but
    // resets all connections of daemons.
    let text = config_text_with_organisations(3, &routes(), &north_and_south()[1..]);
    fleet.store.put("op", "config", &text);
    let mut last_run = Duration::ZERO;
    while outage_began.elapsed() < WITHDRAWAL_TIME + Duration::from_secs(2) {
        let sent = outage_began.elapsed();
        let answer = call(caller, READ, "keyed", Some("key-n1")).await;
        match answer.status {
            200 => last_run = sent,
            status => assert_eq!(status, 503, "{}", caller.log()),
        }
        assert_eq!(call(caller, PUBLIC, "open", None).await.status, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(
        last_run < WITHDRAWAL_TIME,
        "a withdrawn key was accepted for {last_run:?}"
    );
    fleet.store.set_fault(StoreFault::None);
    let rejected = eventually(WAIT_TIMEOUT, || async {
        call(caller, READ, "late", Some("key-n1")).await.status == 401
    });
    assert!(rejected.await, "{}", caller.log());
    assert_eq!(call(caller, READ, "south", Some("key-s")).await.status, 200);
}

/// Guards against an organisation that exceeds its rate limit by calling on several
/// hosts, also while a daemon that grants tokens is killed and restarted.
#[tokio::test]
async fn a_rate_limit_holds_across_all_hosts() {
    const TEST_TIME: Duration = Duration::from_secs(6);
    /// Five times the limit: calls wait for a token, so one at a time would not exceed it.
    const CALL_INTERVAL: Duration = Duration::from_millis(10);
    let limited = [OrganisationSpec::new("north", &["key-n1"]).limited(20.0, 10.0)];
    let mut fleet = fleet_with_organisations(&limited).await;
    let began = Instant::now();
    let mut calls = JoinSet::new();
    let mut was_killed = false;
    while began.elapsed() < TEST_TIME {
        if began.elapsed() > TEST_TIME / 2 && !was_killed {
            was_killed = true;
            fleet.hosts[2].kill();
            fleet.hosts[2].start_daemon();
        }
        let address = fleet.hosts[calls.len() % 2].calls;
        let line = format!("GET /read/{} HTTP/1.1", calls.len());
        calls.spawn(async move { call_at(address, &line, "many", Some("key-n1")).await });
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let answers = calls.join_all().await;
    let rejected: Vec<&Answer> = answers.iter().filter(|a| a.status == 429).collect();
    for answer in &rejected {
        assert_ne!(answer.header("Retry-After"), "");
    }
    let runs = count_to_f64(fleet.run_count("many"));
    let allowed = 20.0 * TEST_TIME.as_secs_f64() + 10.0;
    assert!(runs <= allowed * 1.1 + 20.0, "{runs} of {allowed}");
    assert!(runs >= allowed * 0.4, "{runs} of {allowed}");
    assert!(rejected.len() > 200, "{}", rejected.len());
    let log = fleet.hosts[0].log();
    assert!(log.contains(" quota=limit_reached"), "{log}");
    assert!(
        log.contains("event=tokens_short organisation=north"),
        "{log}"
    );
    let (granted, over_quota) = counted_tokens_and_refusals(&fleet).await;
    assert!(granted > 0 && over_quota > 0, "{granted}, {over_quota}");
}

/// Guards against an organisation that gets only one zone's part of its limit, as all
/// its calls begin there.
#[tokio::test]
async fn an_organisation_in_one_zone_gets_tokens_of_the_other() {
    const TEST_TIME: Duration = Duration::from_secs(5);
    const PER_S: f64 = 60.0;
    const BURST: f64 = 20.0;
    let fleet = fleet(
        &routes(),
        &[
            ("caller", "a", "art"),
            ("quoter", "a", "quotes"),
            ("other", "b", "art"),
        ],
    )
    .await;
    let limited = [OrganisationSpec::new("north", &["key-n1"]).limited(PER_S, BURST)];
    publish(&fleet, 2, &limited).await;
    let began = Instant::now();
    let call_repeatedly = || async {
        while began.elapsed() < TEST_TIME {
            call(&fleet.hosts[0], READ, "many", Some("key-n1")).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::join!(
        call_repeatedly(),
        call_repeatedly(),
        call_repeatedly(),
        call_repeatedly()
    );
    let runs = count_to_f64(fleet.run_count("many"));
    let allowed = PER_S * TEST_TIME.as_secs_f64() + BURST;
    assert!(runs <= allowed * 1.1 + 20.0, "{runs} of {allowed}");
    assert!(runs >= allowed * 0.8, "{runs} of {allowed}");
    let lenders_log = fleet.hosts[0].log() + &fleet.hosts[1].log();
    assert!(lenders_log.contains("event=tokens_borrowed organisation=north"));
}

/// Returns the numbers of granted tokens and of calls over quota that `filbertctl mesh
/// organisations` lists for the first organisation.
async fn counted_tokens_and_refusals(fleet: &Fleet) -> (u64, u64) {
    let store = fleet.store.address.to_string();
    let (mut granted, mut over_quota) = (0, 0);
    for host in &fleet.hosts {
        let port = host.metrics.port().to_string();
        let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_filbertctl"))
            .args(["mesh", "--store", &store, "organisations", "--json"])
            .args(["--metrics-port", &port])
            .output()
            .await
            .expect("filbertctl runs");
        let listed: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
        granted += listed[0]["granted"].as_u64().expect("a count");
        over_quota += listed[0]["over_quota"].as_u64().expect("a count");
    }
    (granted, over_quota)
}

/// Guards against a gate that does not know whose calls wait: the line on a call that is
/// declined in front of the target must name the weight of its organisation, the rate of
/// its limit.
#[tokio::test]
async fn a_declined_call_shows_the_share_of_its_organisation() {
    let limited = [OrganisationSpec::new("north", &["key-n1"]).limited(400.0, 200.0)];
    let fleet = fleet_with_organisations(&limited).await;
    let quoter = &fleet.hosts[1];
    quoter.target.set_statements(&["Server-Limit: 0.4"]);
    let is_declined = eventually(WAIT_TIMEOUT, || async {
        for host in [&fleet.hosts[0], &fleet.hosts[2]] {
            tokio::join!(
                call(host, READ, "one", Some("key-n1")),
                call(host, READ, "two", Some("key-n1")),
                call(host, READ, "three", Some("key-n1")),
            );
        }
        quoter.log().contains("event=gate_declined")
    });
    assert!(is_declined.await, "{}", quoter.log());
    let log = quoter.log();
    let mut declines = log
        .lines()
        .filter(|line| line.contains("event=gate_declined"));
    assert!(
        declines.all(|line| line.contains(" weight=400 ahead_ms=")),
        "{log}"
    );
}
