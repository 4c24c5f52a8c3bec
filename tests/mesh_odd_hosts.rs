//! Tests of daemon processes beside entries of another writer in the table of hosts, under
//! names of their own: with an address that cannot be read, and with one at which no host is.
//! The fleet serves as without them, in steady state and after a restart of all daemons.

#[path = "support/entries.rs"]
mod entries;
#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use entries::{closed_address, names_elected_before, silent_address, Entry, HOSTS_TABLE};
use filbert_platform_standin::{Host, RouteSpec};
use rstest::rstest;
use users::{eventually, fleet, publish, Fleet};

/// Time after which a restarted fleet must serve: the users' bound for a recovery.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Time after which a new configuration must be in force: the users' bound.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);
/// How long calls are sent beside the entries.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Number of entries of the cases with many.
const MANY: usize = 20;
/// Longest line about hosts in a log or the metrics, in bytes.
const MAX_LINE_BYTES: usize = 2_000;
/// The service that is called.
const SERVICE: &str = "quotes";

/// Two hosts in each of three zones, so that in each zone one follows another.
async fn three_zone_fleet() -> Fleet {
    let routes = [RouteSpec::reads("/read/", SERVICE)];
    let hosts = [
        ("one", "a", SERVICE),
        ("two", "b", SERVICE),
        ("three", "c", "art"),
        ("four", "a", "art"),
        ("five", "b", "art"),
        ("six", "c", SERVICE),
    ];
    fleet(&routes, &hosts).await
}

/// Calls every host for [`OBSERVATION_TIME`]; all calls must succeed.
async fn assert_all_calls_served(fleet: &Fleet, when: &str) {
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < OBSERVATION_TIME {
        for host in &fleet.hosts {
            let id = format!("{when}-{number}");
            let answer = host.call("GET /read/a HTTP/1.1", &id, b"").await;
            let status = answer.map(|answer| answer.status);
            assert_eq!(status, Some(200), "{id}: {}", host.log());
            number += 1;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Publishes version `number`; it must be in force on every host in time.
async fn assert_version_arrives(fleet: &Fleet, number: u64) {
    let prefix = format!("/new{number}/");
    let routes = [
        RouteSpec::reads("/read/", SERVICE),
        RouteSpec::reads(&prefix, SERVICE),
    ];
    publish(&fleet.store, number, &routes);
    let published = Instant::now();
    for host in &fleet.hosts {
        let left = CONFIGURATION_TIME.saturating_sub(published.elapsed());
        let line = format!("GET {prefix}a HTTP/1.1");
        let is_in_force = eventually(left, || async {
            let answer = host.call(&line, "version", b"").await;
            answer.is_some_and(|answer| answer.status == 200)
        });
        assert!(is_in_force.await, "version {number}: {}", host.log());
    }
}

/// Kills all daemons at the same moment and starts them again; all must serve in time.
async fn assert_restart_recovers(fleet: &mut Fleet) {
    fleet.hosts.iter_mut().for_each(Host::kill);
    fleet.hosts.iter_mut().for_each(Host::start_daemon);
    let started = Instant::now();
    for host in &fleet.hosts {
        let left = RECOVERY_TIME.saturating_sub(started.elapsed());
        let is_served = eventually(left, || async {
            let answer = host.call("GET /read/a HTTP/1.1", "probe", b"").await;
            answer.is_some_and(|answer| answer.status == 200)
        });
        assert!(is_served.await, "{}", host.log());
    }
}

/// No daemon may have ended or panicked, and each line of the logs is one of the daemon's and
/// not longer than such a line may be, nor is a line of the metrics.
async fn assert_logs_in_order(fleet: &mut Fleet) {
    for host in &mut fleet.hosts {
        assert!(!host.has_exited(), "{}", host.log());
        let log = host.log();
        assert!(!log.contains("panicked"), "{log}");
        for line in log.lines() {
            assert!(line.starts_with("ts=2"), "no line of the daemon: {line}");
            assert!(line.len() <= MAX_LINE_BYTES, "{} bytes: {line}", line.len());
            assert!(!line.contains(char::is_control), "not escaped: {line:?}");
        }
        for line in host.metrics_text().await.lines() {
            assert!(line.len() <= MAX_LINE_BYTES, "{} bytes: {line}", line.len());
        }
    }
}

/// The fleet serves beside `entries`: when they are written, when a version is published, and
/// when all daemons are restarted.
async fn assert_serves_beside(fleet: &mut Fleet, entries: &[Entry]) {
    entries::write(&fleet.store, entries);
    assert_all_calls_served(fleet, "written").await;
    assert_version_arrives(fleet, 2).await;
    assert_restart_recovers(fleet).await;
    assert_all_calls_served(fleet, "restarted").await;
    assert_version_arrives(fleet, 3).await;
    assert_logs_in_order(fleet).await;
}

/// Texts in place of an address that name no host.
fn unreadable_addresses() -> Vec<String> {
    let texts = [
        "127.0.0.1",
        "127.0.0.1 :8080",
        "[127.0.0.1:8080",
        "http://127.0.0.1:8080/",
        "127.0.0.1:http",
        "::1:8080",
        "127.1:8080",
        "127..1:8080",
        "127.0.0.1:-1",
        "127.0.0.1:808080808080",
        "[::1%r\u{e9}seau]:",
        "127.0.0.1:70000",
        "[::1]",
        " 127.0.0.1:8080",
        "127.0.0.1:8080\n",
        "127.0.0.1:80\0",
        "127.0.0.1:8080, 127.0.0.1:8081",
        "",
        ":8080",
    ];
    let long = "1".repeat(4_000);
    texts.map(str::to_owned).into_iter().chain([long]).collect()
}

/// Guards against an entry whose address cannot be read and beside which a fleet does not
/// serve.
#[rstest]
#[tokio::test]
async fn entries_with_unreadable_addresses_name_no_host(#[values(false, true)] is_cut: bool) {
    let mut fleet = three_zone_fleet().await;
    let live_row = fleet.store.value(HOSTS_TABLE, "one").expect("a row");
    let live_address = fleet.hosts[0].peers.to_string();
    let names = names_elected_before(&fleet.hosts, unreadable_addresses().len());
    let entries: Vec<Entry> = std::iter::zip(&names, unreadable_addresses())
        .map(|(name, address)| {
            if is_cut {
                Entry::copy_with(name, &live_row, &live_address, &address)
            } else {
                Entry::new(name, &address, "a", SERVICE)
            }
        })
        .collect();
    assert_serves_beside(&mut fleet, &entries).await;
    let log = fleet.hosts[0].log();
    for name in &names {
        assert!(!log.contains(&format!("host_learnt host={name} ")), "{log}");
    }
}

/// Guards against one such entry, alone at a restart of all daemons.
#[tokio::test]
async fn each_entry_with_an_unreadable_address_alone_names_no_host() {
    let mut fleet = three_zone_fleet().await;
    let name = &names_elected_before(&fleet.hosts, 1)[0];
    for address in unreadable_addresses() {
        entries::write(&fleet.store, &[Entry::new(name, &address, "a", SERVICE)]);
        assert_restart_recovers(&mut fleet).await;
    }
    assert_logs_in_order(&mut fleet).await;
}

/// Values that are no row of a host.
fn odd_values() -> Vec<Vec<u8>> {
    vec![
        Vec::new(),
        b"[".repeat(50_000),
        br#"{"address": 1e999999999}"#.to_vec(),
        b"\xff".repeat(60_000),
        b"\xfd\xff\xff\xff\xff\xff\xff\xff\xff".to_vec(),
        b"\x00".repeat(100),
    ]
}

/// Guards against values that are no row of a host, under odd names.
#[tokio::test]
async fn odd_values_under_odd_names_name_no_host() {
    let mut fleet = three_zone_fleet().await;
    let long = "k".repeat(4_000);
    let names = ["odd", "a b", "a\nb", "a&b", "a\"b", &long];
    let entries: Vec<Entry> = std::iter::zip(names, odd_values())
        .map(|(name, value)| Entry {
            key: name.to_owned(),
            value,
        })
        .collect();
    assert_serves_beside(&mut fleet, &entries).await;
}

/// Guards against an entry whose value is no Base64 and hides all other rows from a fleet that
/// is restarted.
#[rstest]
#[case::address("127.0.0.1:http")]
#[case::fields("{\"address\":\"[::1%r\u{e9}seau]:\"}")]
#[case::cut("AAA")]
#[case::empty("")]
#[tokio::test]
async fn a_value_that_is_no_base64_hides_no_host(#[case] text: &str) {
    let mut fleet = three_zone_fleet().await;
    let name = &names_elected_before(&fleet.hosts, 1)[0];
    fleet.store.put_text(HOSTS_TABLE, name, text);
    assert_serves_beside(&mut fleet, &[]).await;
}

/// Guards against an entry whose value is no text and hides all other rows from a fleet that is
/// restarted.
#[rstest]
#[case::fields("{\"address\":\"127.0.0.1:http\"}")]
#[case::nested(&["[".repeat(50_000), "]".repeat(50_000)].concat())]
#[case::number_too_large("1e99999")]
#[case::many_digits(&"9".repeat(4_000))]
#[case::no_value("null")]
#[tokio::test]
async fn a_value_that_is_no_text_hides_no_host(#[case] json: &str) {
    let mut fleet = three_zone_fleet().await;
    let name = &names_elected_before(&fleet.hosts, 1)[0];
    fleet.store.put_json(HOSTS_TABLE, name, json);
    assert_serves_beside(&mut fleet, &[]).await;
}

/// What is at the address of a host that does not exist.
#[derive(Clone, Copy, Debug)]
enum Behind {
    ClosedPort,
    PortZero,
    Unspecified,
    Silence,
    LiveHost,
    Store,
}

impl Behind {
    async fn address(self, fleet: &Fleet) -> String {
        match self {
            Behind::ClosedPort => closed_address().await.to_string(),
            Behind::PortZero => "127.0.0.1:0".to_owned(),
            Behind::Unspecified => format!("0.0.0.0:{}", closed_address().await.port()),
            Behind::Silence => silent_address().await.to_string(),
            Behind::LiveHost => fleet.hosts[0].peers.to_string(),
            Behind::Store => fleet.store.address.to_string(),
        }
    }
}

/// Zones and services of hosts that do not exist.
#[derive(Clone, Copy, Debug)]
enum Placed {
    /// In a zone of the fleet, with the service that is called.
    InFleet,
    /// One in each zone of the fleet in turn, each with a service of its own.
    AmongZones,
    /// All in a zone that has no host.
    InOwnZone,
    /// Each in a zone of its own, with a service of its own.
    Apart,
}

impl Placed {
    fn zone_and_service(self, number: usize) -> (String, String) {
        let zones = ["a", "b", "c"];
        match self {
            Placed::InFleet => ("a".to_owned(), SERVICE.to_owned()),
            Placed::AmongZones => (zones[number % 3].to_owned(), format!("s{number}")),
            Placed::InOwnZone => ("nowhere".to_owned(), SERVICE.to_owned()),
            Placed::Apart => (format!("z{number}"), format!("s{number}")),
        }
    }
}

/// Guards against hosts that do not exist and are waited for: they are elected readers and
/// sources before all others.
#[rstest]
#[case::one_closed(1, Behind::ClosedPort, Placed::InFleet)]
#[case::one_silent(1, Behind::Silence, Placed::InFleet)]
#[case::closed(MANY, Behind::ClosedPort, Placed::InFleet)]
#[case::port_zero(MANY, Behind::PortZero, Placed::InFleet)]
#[case::unspecified(MANY, Behind::Unspecified, Placed::InFleet)]
#[case::silent(MANY, Behind::Silence, Placed::InFleet)]
#[case::live_host(MANY, Behind::LiveHost, Placed::InFleet)]
#[case::store(MANY, Behind::Store, Placed::InFleet)]
#[case::closed_among_zones(MANY, Behind::ClosedPort, Placed::AmongZones)]
#[case::silent_among_zones(MANY, Behind::Silence, Placed::AmongZones)]
#[case::closed_in_own_zone(MANY, Behind::ClosedPort, Placed::InOwnZone)]
#[case::silent_in_own_zone(MANY, Behind::Silence, Placed::InOwnZone)]
#[case::closed_apart(MANY, Behind::ClosedPort, Placed::Apart)]
#[case::silent_apart(MANY, Behind::Silence, Placed::Apart)]
#[tokio::test]
async fn hosts_that_do_not_exist_are_not_waited_for(
    #[case] count: usize,
    #[case] behind: Behind,
    #[case] placed: Placed,
) {
    let mut fleet = three_zone_fleet().await;
    let address = behind.address(&fleet).await;
    let names = names_elected_before(&fleet.hosts, count);
    let entries: Vec<Entry> = std::iter::zip(&names, 0..)
        .map(|(name, number)| {
            let (zone, service) = placed.zone_and_service(number);
            Entry::new(name, &address, &zone, &service)
        })
        .collect();
    assert_serves_beside(&mut fleet, &entries).await;
}

/// Guards against texts of an entry that make a second line of the log, or one of thousands
/// of bytes.
#[rstest]
#[case::name_with_a_line_break("a\nts=0 event=forged", "a", SERVICE)]
#[case::zone_with_a_line_break("odd", "a\nevent=forged", SERVICE)]
#[case::service_with_a_line_break("odd", "a", "b\r\nevent=forged")]
#[case::name_with_an_escape("a\u{1b}[2J", "a", SERVICE)]
#[case::long_name(&"n".repeat(4_000), "a", SERVICE)]
#[case::long_zone("odd", &"z".repeat(4_000), SERVICE)]
#[case::long_service("odd", "a", &"s".repeat(4_000))]
#[tokio::test]
async fn an_entry_makes_one_bounded_line_of_the_log(
    #[case] name: &str,
    #[case] zone: &str,
    #[case] service: &str,
) {
    let mut fleet = three_zone_fleet().await;
    let address = closed_address().await.to_string();
    let entries = [Entry::new(name, &address, zone, service)];
    assert_serves_beside(&mut fleet, &entries).await;
}
