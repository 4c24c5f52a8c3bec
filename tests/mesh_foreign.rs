//! Tests of daemon processes with targets that restart under the same id, and with
//! invalid data that other writers send to the control address or put into the
//! store.

#[path = "support/users.rs"]
mod users;

use std::time::Duration;

use filbert_platform_standin::{Client, Host};
use rstest::rstest;
use users::{eventually, eventually_logs, host_spec, two_host_fleet, Fleet, WAIT_TIMEOUT};

const HOSTS: &str = "filbert-hosts";
/// How long calls are sent, to detect a fault that appears with a delay.
const OBSERVATION_TIME: Duration = Duration::from_millis(900);

/// Calls host 0 until the target on host 1 answers a call successfully; false if it
/// does not within [`WAIT_TIMEOUT`].
async fn eventually_served(fleet: &Fleet, id: &str) -> bool {
    eventually(WAIT_TIMEOUT, || async {
        let answer = fleet.hosts[0].call("GET /read/a HTTP/1.1", id, b"").await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await
}

/// Calls host 0 for [`OBSERVATION_TIME`] and counts the calls that did not succeed.
async fn count_unserved_calls(fleet: &Fleet) -> usize {
    let until = tokio::time::Instant::now() + OBSERVATION_TIME;
    let mut unserved_calls = 0;
    let mut number = 0;
    while tokio::time::Instant::now() < until {
        let id = format!("watched-{number}");
        let answer = fleet.hosts[0].call("GET /read/a HTTP/1.1", &id, b"").await;
        unserved_calls += usize::from(answer.is_none_or(|answer| answer.status != 200));
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unserved_calls
}

/// A target crashes after many reports and restarts under the same id, so its report
/// sequence starts from 1 again. Compared by sequence alone, its reports would count
/// as outdated until they pass the old sequence. Compared by id alone, a target that
/// left before its restart would still count as gone. Either way its callers would
/// not be served for that time.
#[rstest]
#[case(false)]
#[case(true)]
#[tokio::test]
async fn restarted_target_with_the_same_id_gets_calls(#[case] leaves_first: bool) {
    let mut fleet = two_host_fleet("a").await;
    // Wait for some reports, so that the sequence after the restart is behind.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let control = fleet.hosts[1].control;
    if leaves_first {
        assert_eq!(fleet.hosts[1].target.drain(control).await, 200);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
    }
    let former = fleet.hosts[1].restart_target().await;
    assert_eq!(former.instance(), fleet.hosts[1].target.instance());
    let started = tokio::time::Instant::now();
    assert!(
        eventually_served(&fleet, "again").await,
        "{}",
        fleet.hosts[1].log()
    );
    // Reports are sent every 300 ms; it would take 1.5 s to pass the old sequence.
    assert!(started.elapsed() < Duration::from_millis(1_200));
    assert!(!fleet.hosts[1].target.runs().is_empty());
}

/// A report that was not sent by a target of the host.
struct ForeignReportCase {
    name: &'static str,
    id: &'static str,
    body: &'static str,
}

/// Another writer sends a report to a host's control address. If the daemon took it
/// for a restart of the target, it would close the live target, and no callers would
/// be served until the target reported under another id.
#[rstest]
#[case(ForeignReportCase {
    name: "a service that does not exist",
    id: "i-foreign",
    body: r#"{"addr":"10.9.9.9:1","info":{"service":"nobody","version":"v1","zone":"a","slots":9},"status":{"state":"ready","sequence":1,"cold_left":"0ms"}}"#,
})]
#[case(ForeignReportCase {
    name: "a state that does not exist",
    id: "i-foreign",
    body: r#"{"addr":"10.9.9.9:1","info":{"service":"quotes","version":"v1","zone":"a","slots":9},"status":{"state":"asleep","sequence":1,"cold_left":"0ms"}}"#,
})]
#[case(ForeignReportCase {
    name: "a field of the wrong type",
    id: "i-foreign",
    body: r#"{"addr":"10.9.9.9:1","info":{"service":"quotes","version":"v1","zone":"a","slots":"9"},"status":{"state":"ready","sequence":1,"cold_left":"0ms"}}"#,
})]
#[case(ForeignReportCase {
    name: "a missing field, with the live target's id but without its start time",
    id: "i-quoter-1",
    body: r#"{"addr":"10.9.9.9:1","info":{"service":"quotes","version":"v1","zone":"a","slots":9},"status":{"state":"draining","sequence":99999,"cold_left":"0ms"}}"#,
})]
#[case(ForeignReportCase {
    name: "a body that is not valid JSON",
    id: "i-foreign",
    body: "\u{0}\u{1}{{{",
})]
#[tokio::test]
async fn foreign_report_does_not_replace_the_target(#[case] case: ForeignReportCase) {
    let fleet = two_host_fleet("a").await;
    assert!(eventually_served(&fleet, "before").await);
    let control = fleet.hosts[1].control;
    let line = format!("PUT /instances/{} HTTP/1.1", case.id);
    Client::once(control, &line, &[("Host", "host")], case.body.as_bytes()).await;
    let unserved_calls = count_unserved_calls(&fleet).await;
    assert_eq!(unserved_calls, 0, "{}: {}", case.name, fleet.hosts[1].log());
}

/// Another writer puts rows into the table of hosts: invalid bytes, a host under a
/// key that is not its own, and garbage in place of a live host's row. No such row may
/// add or hide a host: calls continue, a new host is found, and the live host's row
/// is restored.
#[tokio::test]
async fn foreign_rows_neither_add_nor_hide_hosts() {
    let mut fleet = two_host_fleet("a").await;
    assert!(eventually_served(&fleet, "before").await);
    let address = ("other", "127.0.0.1:9", "a", "quotes");
    let other_hosts_row = bincode::serde::encode_to_vec(address, bincode::config::standard())
        .expect("an address encodes");
    fleet.store.put(HOSTS, "a-foreign", b"\xff\xfe\x00nothing");
    fleet.store.put(HOSTS, "b-foreign", b"");
    fleet.store.put(HOSTS, "c-foreign", &other_hosts_row);
    fleet.store.put(HOSTS, "quoter", b"{\"addr\":7}");
    assert_eq!(
        count_unserved_calls(&fleet).await,
        0,
        "{}",
        fleet.hosts[0].log()
    );
    let is_rewritten = eventually(WAIT_TIMEOUT, || async {
        // The row is written once when the host joins, by either daemon, and again
        // after the foreign row has replaced it.
        let logs: String = fleet.hosts.iter().map(Host::log).collect();
        logs.matches("row_written host=quoter").count() >= 2
    })
    .await;
    assert!(is_rewritten, "{}", fleet.hosts[1].log());
    let spec = host_spec(&fleet.store, "late", "a", "quotes");
    fleet.hosts.push(Host::start(spec).await);
    for host in 0..2 {
        let is_heard = eventually_logs(&fleet.hosts[host], "event=target_heard peer=late ").await;
        assert!(is_heard, "{}", fleet.hosts[host].log());
        let log = fleet.hosts[host].log();
        assert!(!log.contains("event=host_learnt host=other"), "{log}");
    }
}
