//! Contract of the platform's table and object store, as filbertladder relies
//! on it, checked against the stand-in. Each case is a row: a starting row,
//! a write, the switches in force, and what the client must see.

use filbert_standin::platform::PlatformHandle;
use filbert_store::{InjectedFaults, PlatformClient, PlatformError, WriteCondition, WriteOutcome};
use rstest::rstest;
use serde_json::json;
use std::time::Duration;

/// What a write must come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    /// Written; the row is now at this version.
    Written(u64),
    /// Refused; the row stays at this version (0: absent).
    Refused(u64),
    /// No reply; the row is afterwards at this version (0: absent).
    Failed(PlatformError, u64),
}

/// One case: the row before (`None`: absent, `Some(n)`: written n times),
/// the condition, the switches, what is seen.
struct WriteCase {
    before: Option<u64>,
    expect: WriteCondition,
    faults: InjectedFaults,
    seen: Seen,
}

const CLEAR: InjectedFaults = InjectedFaults {
    down: false,
    delay_ms: 0,
    lose_replies: 0,
};
const LOSE_ONE: InjectedFaults = InjectedFaults {
    down: false,
    delay_ms: 0,
    lose_replies: 1,
};
const DOWN: InjectedFaults = InjectedFaults {
    down: true,
    delay_ms: 0,
    lose_replies: 0,
};

#[rstest]
#[case::insert_when_absent(WriteCase { before: None, expect: WriteCondition::Absent, faults: CLEAR, seen: Seen::Written(1) })]
#[case::insert_refused_when_present(WriteCase { before: Some(1), expect: WriteCondition::Absent, faults: CLEAR, seen: Seen::Refused(1) })]
#[case::cas_on_current_version(WriteCase { before: Some(2), expect: WriteCondition::Version(2), faults: CLEAR, seen: Seen::Written(3) })]
#[case::cas_on_stale_version(WriteCase { before: Some(2), expect: WriteCondition::Version(1), faults: CLEAR, seen: Seen::Refused(2) })]
#[case::cas_on_absent_row(WriteCase { before: None, expect: WriteCondition::Version(1), faults: CLEAR, seen: Seen::Refused(0) })]
#[case::blind_write(WriteCase { before: Some(4), expect: WriteCondition::Any, faults: CLEAR, seen: Seen::Written(5) })]
#[case::lost_reply_still_wrote(WriteCase { before: Some(1), expect: WriteCondition::Version(1), faults: LOSE_ONE, seen: Seen::Failed(PlatformError::OutcomeUnknown, 2) })]
#[case::lost_reply_on_insert(WriteCase { before: None, expect: WriteCondition::Absent, faults: LOSE_ONE, seen: Seen::Failed(PlatformError::OutcomeUnknown, 1) })]
#[case::refusal_is_not_lost(WriteCase { before: Some(3), expect: WriteCondition::Version(1), faults: LOSE_ONE, seen: Seen::Refused(3) })]
#[case::down_writes_nothing(WriteCase { before: Some(1), expect: WriteCondition::Any, faults: DOWN, seen: Seen::Failed(PlatformError::Unavailable, 1) })]
#[tokio::test]
async fn conditional_writes(#[case] case: WriteCase) {
    let platform = PlatformHandle::start().await;
    let client = PlatformClient::new(&platform.url, Duration::from_secs(2));
    for written in 0..case.before.unwrap_or(0) {
        client
            .put("row", WriteCondition::Any, json!(written))
            .await
            .expect("setup write");
    }
    platform.store.set_faults(case.faults);
    let outcome = client.put("row", case.expect, json!("new")).await;
    platform.store.set_faults(CLEAR);
    let after = client
        .get("row")
        .await
        .expect("read back")
        .map_or(0, |row| row.version);
    let seen = match outcome {
        Ok(WriteOutcome::Written(row)) => {
            assert_eq!(row.version, after);
            Seen::Written(row.version)
        }
        Ok(WriteOutcome::Refused(current)) => {
            assert_eq!(current.map_or(0, |row| row.version), after);
            Seen::Refused(after)
        }
        Err(report) => Seen::Failed(*report.current_context(), after),
    };
    assert_eq!(seen, case.seen);
    platform.stop();
}

#[tokio::test]
async fn scan_returns_exactly_the_prefix_in_key_order() {
    let platform = PlatformHandle::start().await;
    let client = PlatformClient::new(&platform.url, Duration::from_secs(2));
    for key in [
        "daemons/b/2",
        "daemons/a/1",
        "daemonsx",
        "targets/a/x",
        "daemons/a/0",
    ] {
        client
            .put(key, WriteCondition::Any, json!(key))
            .await
            .expect("write");
    }
    let keys: Vec<String> = client
        .scan("daemons/")
        .await
        .expect("scan")
        .into_iter()
        .map(|row| row.key)
        .collect();
    assert_eq!(keys, ["daemons/a/0", "daemons/a/1", "daemons/b/2"]);
    platform.stop();
}

#[tokio::test]
async fn objects_round_trip_and_absent_ones_read_as_none() {
    let platform = PlatformHandle::start().await;
    let client = PlatformClient::new(&platform.url, Duration::from_secs(2));
    client
        .put_object("versions/1-a", vec![1, 2, 3])
        .await
        .expect("put");
    assert_eq!(
        client.get_object("versions/1-a").await.expect("get"),
        Some(vec![1, 2, 3])
    );
    assert_eq!(client.get_object("versions/2-b").await.expect("get"), None);
    platform.stop();
}

#[tokio::test]
async fn slow_platform_times_out_as_unreachable() {
    // The platform answers, but slower than the client's timeout. The client
    // must give up at its timeout and say the platform is unreachable, not
    // hang.
    let platform = PlatformHandle::start().await;
    let client = PlatformClient::new(&platform.url, Duration::from_millis(100));
    platform.store.set_faults(InjectedFaults {
        delay_ms: 500,
        ..CLEAR
    });
    let error = client.get("row").await.expect_err("times out");
    assert_eq!(*error.current_context(), PlatformError::Unreachable);
    platform.stop();
}
