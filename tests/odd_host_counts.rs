//! What is counted by hosts, zones and services, beside hosts of another writer that do not
//! exist.

#[path = "support/entries.rs"]
mod entries;
#[path = "support/users.rs"]
mod users;

use std::cell::RefCell;
use std::time::{Duration, Instant};

use entries::{closed_address, Entry};
use filbert_platform_standin::{
    config_text_with_organisations, Client, Host, OrganisationSpec, RouteSpec,
};
use filbert_policy::numbers::count_to_f64;
use rstest::rstest;
use users::{eventually_logs, fleet, Fleet};

const SERVICE: &str = "quotes";
/// Limit of the organisation, in calls a second, and its burst in calls.
const PER_S: f64 = 60.0;
const BURST: f64 = 10.0;
/// Time for the leases of the pools to settle after a change of the hosts.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// How long calls are sent.
const TEST_TIME: Duration = Duration::from_secs(5);
/// Pause of each of the four clients between two calls.
const PAUSE: Duration = Duration::from_millis(20);

async fn limited_fleet() -> Fleet {
    let routes = [RouteSpec::reads("/read/", SERVICE)];
    let hosts = [
        ("caller", "a", "art"),
        ("quoter", "a", SERVICE),
        ("other", "a", "art"),
    ];
    let fleet = fleet(&routes, &hosts).await;
    let limited = [OrganisationSpec::new("north", &["key-n1"]).limited(PER_S, BURST)];
    let text = config_text_with_organisations(2, &routes, &limited);
    fleet.store.put("op", "config", &text);
    for host in &fleet.hosts {
        assert!(eventually_logs(host, "event=version_in_force version=00000002").await);
    }
    fleet
}

/// Calls more often than the limit allows.
async fn call_repeatedly(host: &Host, statuses: &RefCell<Vec<u16>>) {
    let began = Instant::now();
    while began.elapsed() < TEST_TIME {
        let headers = [
            ("Host", "shop.example"),
            ("Request-Id", "many"),
            ("Deadline-Ms", "2000"),
            ("Key", "key-n1"),
        ];
        let answer = Client::once(host.calls, "GET /read/a HTTP/1.1", &headers, b"").await;
        statuses
            .borrow_mut()
            .push(answer.map_or(0, |answer| answer.status));
        tokio::time::sleep(PAUSE).await;
    }
}

/// Guards against an organisation whose tokens are shared out to hosts and zones that do not
/// exist.
#[rstest]
#[case::none(0, "a")]
#[case::one_in_the_zone(1, "a")]
#[case::one_in_a_zone_of_its_own(1, "")]
#[case::in_the_zone(20, "a")]
#[case::in_zones_of_their_own(20, "")]
#[tokio::test]
async fn hosts_that_do_not_exist_take_no_tokens(#[case] count: usize, #[case] zone: &str) {
    let fleet = limited_fleet().await;
    let address = closed_address().await.to_string();
    let entries: Vec<Entry> = (0..count)
        .map(|number| {
            let own_zone = format!("z{number}");
            let zone = if zone.is_empty() { &own_zone } else { zone };
            Entry::new(&format!("g{number}"), &address, zone, "none")
        })
        .collect();
    entries::write(&fleet.store, &entries);
    tokio::time::sleep(SETTLE_TIME).await;
    let caller = &fleet.hosts[0];
    let statuses = RefCell::default();
    tokio::join!(
        call_repeatedly(caller, &statuses),
        call_repeatedly(caller, &statuses),
        call_repeatedly(caller, &statuses),
        call_repeatedly(caller, &statuses)
    );
    let runs = count_to_f64(fleet.run_count("many"));
    let allowed = PER_S * TEST_TIME.as_secs_f64() + BURST;
    let statuses = statuses.into_inner();
    let count = |wanted| statuses.iter().filter(|status| **status == wanted).count();
    let (served, limited, refused) = (count(200), count(429), count(503));
    assert!(
        runs >= allowed * 0.8,
        "{runs} of {allowed}: {served} served, {limited} over the limit, {refused} refused\n{}",
        caller.log()
    );
}

/// Guards against services that do not exist and beside which those that do are not linked.
#[rstest]
#[case::below_the_limit(20)]
#[case::above_the_limit(40)]
#[tokio::test]
async fn services_that_do_not_exist_cost_no_call(#[case] count: usize) {
    let routes = [RouteSpec::reads("/read/", SERVICE)];
    let hosts = [("caller", "a", "art"), ("quoter", "b", SERVICE)];
    let mut fleet = fleet(&routes, &hosts).await;
    let address = closed_address().await.to_string();
    let entries: Vec<Entry> = (0..count)
        .map(|number| Entry::new(&format!("g{number}"), &address, "a", &format!("s{number}")))
        .collect();
    entries::write(&fleet.store, &entries);
    fleet.hosts.iter_mut().for_each(Host::kill);
    fleet.hosts.iter_mut().for_each(Host::start_daemon);
    tokio::time::sleep(SETTLE_TIME).await;
    let mut failed = 0;
    for _ in 0..20 {
        let answer = fleet.hosts[0]
            .call("GET /read/a HTTP/1.1", "probe", b"")
            .await;
        failed += usize::from(answer.is_none_or(|answer| answer.status != 200));
    }
    assert_eq!(failed, 0, "{}", fleet.hosts[0].log());
}
