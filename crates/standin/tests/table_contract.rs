//! Checks that the platform stand-in keeps the contract of the platform's table
//! and object store on which filbertladder relies.

use filbert_standin::platform::PlatformHandle;
use filbert_store::{InjectedFaults, PlatformClient, PlatformError, WriteCondition, WriteOutcome};
use rstest::rstest;
use serde_json::json;
use std::time::Duration;

/// Result of a write as the client sees it, with the row's version afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    /// The write succeeded; the row is now at this version.
    Written(u64),
    /// The condition was not met; the row is still at this version (0: absent).
    Refused(u64),
    /// The client reported an error; the row is now at this version (0: absent).
    Failed(PlatformError, u64),
}

/// A conditional write, the state that it meets and its expected result.
struct WriteCase {
    /// Number of earlier writes to the row; `None` if the row is absent.
    writes_before: Option<u64>,
    /// Condition of the write.
    condition: WriteCondition,
    /// Faults injected during the write.
    faults: InjectedFaults,
    /// Result of the write.
    expected: WriteResult,
}

const NO_FAULTS: InjectedFaults = InjectedFaults {
    down: false,
    delay_ms: 0,
    lose_replies: 0,
};
const LOSE_ONE_RESPONSE: InjectedFaults = InjectedFaults {
    down: false,
    delay_ms: 0,
    lose_replies: 1,
};
const PLATFORM_DOWN: InjectedFaults = InjectedFaults {
    down: true,
    delay_ms: 0,
    lose_replies: 0,
};

#[rstest]
#[case::insert_when_absent(WriteCase { writes_before: None, condition: WriteCondition::Absent, faults: NO_FAULTS, expected: WriteResult::Written(1) })]
#[case::insert_refused_when_present(WriteCase { writes_before: Some(1), condition: WriteCondition::Absent, faults: NO_FAULTS, expected: WriteResult::Refused(1) })]
#[case::cas_on_current_version(WriteCase { writes_before: Some(2), condition: WriteCondition::Version(2), faults: NO_FAULTS, expected: WriteResult::Written(3) })]
#[case::cas_on_stale_version(WriteCase { writes_before: Some(2), condition: WriteCondition::Version(1), faults: NO_FAULTS, expected: WriteResult::Refused(2) })]
#[case::cas_on_absent_row(WriteCase { writes_before: None, condition: WriteCondition::Version(1), faults: NO_FAULTS, expected: WriteResult::Refused(0) })]
#[case::blind_write(WriteCase { writes_before: Some(4), condition: WriteCondition::Any, faults: NO_FAULTS, expected: WriteResult::Written(5) })]
#[case::lost_reply_still_wrote(WriteCase { writes_before: Some(1), condition: WriteCondition::Version(1), faults: LOSE_ONE_RESPONSE, expected: WriteResult::Failed(PlatformError::OutcomeUnknown, 2) })]
#[case::lost_reply_on_insert(WriteCase { writes_before: None, condition: WriteCondition::Absent, faults: LOSE_ONE_RESPONSE, expected: WriteResult::Failed(PlatformError::OutcomeUnknown, 1) })]
#[case::refusal_is_not_lost(WriteCase { writes_before: Some(3), condition: WriteCondition::Version(1), faults: LOSE_ONE_RESPONSE, expected: WriteResult::Refused(3) })]
#[case::down_writes_nothing(WriteCase { writes_before: Some(1), condition: WriteCondition::Any, faults: PLATFORM_DOWN, expected: WriteResult::Failed(PlatformError::Unavailable, 1) })]
#[tokio::test]
async fn write_succeeds_only_if_its_condition_is_met(#[case] case: WriteCase) {
    let platform = PlatformHandle::start().await;
    let client = PlatformClient::new(&platform.url, Duration::from_secs(2));
    for written in 0..case.writes_before.unwrap_or(0) {
        client
            .put("row", WriteCondition::Any, json!(written))
            .await
            .expect("setup write");
    }
    platform.store.set_faults(case.faults);
    let outcome = client.put("row", case.condition, json!("new")).await;
    platform.store.set_faults(NO_FAULTS);
    let after = client
        .get("row")
        .await
        .expect("read back")
        .map_or(0, |row| row.version);
    let result = match outcome {
        Ok(WriteOutcome::Written(row)) => {
            assert_eq!(row.version, after);
            WriteResult::Written(row.version)
        }
        Ok(WriteOutcome::Refused(current)) => {
            assert_eq!(current.map_or(0, |row| row.version), after);
            WriteResult::Refused(after)
        }
        Err(report) => WriteResult::Failed(*report.current_context(), after),
    };
    assert_eq!(result, case.expected);
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
async fn request_to_slow_platform_times_out_as_unreachable() {
    // The platform responds, but later than the client's timeout. The client must
    // not hang: it reports at its timeout that the platform is unreachable.
    let platform = PlatformHandle::start().await;
    let client = PlatformClient::new(&platform.url, Duration::from_millis(100));
    platform.store.set_faults(InjectedFaults {
        delay_ms: 500,
        ..NO_FAULTS
    });
    let error = client.get("row").await.expect_err("times out");
    assert_eq!(*error.current_context(), PlatformError::Unreachable);
    platform.stop();
}
