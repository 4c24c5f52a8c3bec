//! Tests of daemon processes with rows in the store that cannot be read: they are skipped,
//! logged and counted, and nothing else is lost.

#[path = "support/users.rs"]
mod users;

use std::time::Duration;

use filbert_platform_standin::Host;
use rstest::rstest;
use users::{eventually, eventually_logs, host_spec, two_host_fleet, Fleet, WAIT_TIMEOUT};

const HOSTS_TABLE: &str = "filbert-hosts";
const READ: &str = "GET /read/a HTTP/1.1";
/// The beginning of a file of `xz --check=crc32`: a text of 2^62 bytes, if it is decoded.
const LONG_TEXT: &[u8] = b"\xfd7zXZ\x00\x00\x01i\"\xde6\x02\x00!\x01\x16\x00\x00\x00";
/// A text of more bytes than an allocation may have.
const ENDLESS_TEXT: &[u8] = b"\xfd\xff\xff\xff\xff\xff\xff\xff\xffrest";
/// A text that is longer than its row, by less than a row may have.
const CUT_TEXT: &[u8] = b"\xfb\xff\x7fcut";
/// A row of a later release.
const LATER_FORM: &[u8] = b"\xfffilbert\x02anything";

/// Calls the target of host 1 from host 0 for half a second; all calls must succeed.
async fn assert_serves(fleet: &Fleet, name: &str) {
    for number in 0..20 {
        let id = format!("{name}-{number}");
        let answer = fleet.hosts[0].call(READ, &id, b"").await;
        let status = answer.map(|answer| answer.status);
        assert_eq!(status, Some(200), "{id}: {}", fleet.hosts[0].log());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a row of another writer that ends the daemons, or the task that reads
/// the table: a length in it is believed before it is checked.
#[rstest]
#[case::own_key("another-program", LONG_TEXT)]
#[case::own_key_endless("another-program", ENDLESS_TEXT)]
#[case::own_key_cut("another-program", CUT_TEXT)]
#[case::row_of_a_host("quoter", LONG_TEXT)]
#[case::row_of_a_host_endless("quoter", ENDLESS_TEXT)]
#[case::held_call("held/00112233445566778899aabbccddeeff", LONG_TEXT)]
#[case::held_call_endless("held/00112233445566778899aabbccddeeff", ENDLESS_TEXT)]
#[case::rollout("rollout/quotes", LONG_TEXT)]
#[case::rollout_endless("rollout/quotes", ENDLESS_TEXT)]
#[case::shutdown("shutdown/quoter/0011223344556677", LONG_TEXT)]
#[case::shutdown_endless("shutdown/quoter/0011223344556677", ENDLESS_TEXT)]
#[case::unknown_kind("other/thing", LONG_TEXT)]
#[case::later_form("another-host", LATER_FORM)]
#[tokio::test]
async fn an_unreadable_row_ends_no_daemon(#[case] key: &str, #[case] value: &[u8]) {
    let mut fleet = two_host_fleet("a").await;
    assert_serves(&fleet, "before").await;
    fleet.store.put(HOSTS_TABLE, key, value);
    assert_serves(&fleet, "after").await;
    // The rest of the table is read, by those that know the row and by a newcomer.
    let spec = host_spec(&fleet.store, "late", "a", "quotes");
    fleet.hosts.push(Host::start(spec).await);
    fleet.hosts[1].kill();
    fleet.hosts[1].start_daemon();
    for host in &mut fleet.hosts {
        assert!(eventually(WAIT_TIMEOUT, || host.is_ready()).await);
    }
    let is_heard = eventually_logs(&fleet.hosts[0], "event=target_heard peer=late ").await;
    assert!(is_heard, "{}", fleet.hosts[0].log());
    assert_serves(&fleet, "restarted").await;
    for host in &mut fleet.hosts {
        assert!(!host.has_exited(), "{}", host.log());
        assert!(!host.log().contains("panicked"), "{}", host.log());
    }
}

/// Guards against a row that is skipped without a trace, or with a line at each reading.
#[tokio::test]
async fn a_skipped_row_is_logged_once_and_counted() {
    let fleet = two_host_fleet("a").await;
    fleet.store.put(HOSTS_TABLE, "another-program", LONG_TEXT);
    let line = "event=row_skipped table=filbert-hosts key=\"another-program\"";
    assert!(eventually_logs(&fleet.hosts[0], line).await);
    // The whole table is read again.
    fleet.store.compact_history();
    let metric = "filbert_rows_skipped_total{key=\"another-program\"";
    let is_counted = eventually(WAIT_TIMEOUT, || async {
        let metrics = fleet.hosts[0].metrics_text().await;
        let mut lines = metrics.lines().filter(|line| line.starts_with(metric));
        lines.any(|line| !line.ends_with(" 1"))
    });
    assert!(is_counted.await, "{}", fleet.hosts[0].metrics_text().await);
    assert_eq!(fleet.hosts[0].log().matches(line).count(), 1);
}
