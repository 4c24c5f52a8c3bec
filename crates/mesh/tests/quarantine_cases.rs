//! Tests of the quarantine's messages between daemons and of its rows in the
//! store.

use std::time::{Duration, Instant, SystemTime};

use filbert_mesh::held_rows::{held_row_key, HeldRow};
use filbert_mesh::messages::SuspectCall;
use filbert_mesh::messages::{encode, LinkMessage};
use filbert_platform::store::StoreRow;
use filbert_policy::clock::ClockReading;
use filbert_policy::identity::{CallIdentity, IdentityParts};
use filbert_policy::quarantine::{CallRecord, TargetCrash};
use rstest::rstest;

/// Maximum length in bytes of the message about one crash. Each daemon sends it on
/// to several others, so its length sets the traffic that a crash causes.
const MAX_BYTES_PER_CRASH: usize = 400;
/// Number of calls that a target runs as it crashes.
const ACTIVE_RUNS: u64 = 9;

fn call(number: u64) -> CallIdentity {
    CallIdentity::of(&IdentityParts {
        method: "GET",
        host: "shop.example",
        target: &format!("/read/{number}"),
        caller: &[],
        body_prefix: b"",
        body_length: Some(0),
    })
}

fn crash(id: u64, now: Instant) -> TargetCrash {
    TargetCrash {
        id,
        began: now.checked_sub(Duration::from_millis(900)).unwrap_or(now),
        ended: now,
    }
}

#[test]
fn message_about_a_crash_is_short() {
    let now = Instant::now();
    let calls = (0..ACTIVE_RUNS)
        .map(|number| {
            let record = CallRecord::from_crash(crash(u64::MAX - number, now));
            SuspectCall::from_record(call(number), &record, now + Duration::from_millis(40))
        })
        .collect();
    let bytes = encode(&LinkMessage::Suspects(calls)).len();
    assert!(bytes < MAX_BYTES_PER_CRASH, "{bytes} bytes");
}

fn clock(now: Instant, wall_s: u64) -> ClockReading {
    ClockReading {
        now,
        wall: SystemTime::UNIX_EPOCH + Duration::from_secs(wall_s),
    }
}

/// Guards against a hold that is lost because the clock of the host that reads the
/// row is ahead of the writer's or behind it.
#[rstest]
#[case::same(0)]
#[case::ahead(3)]
#[case::behind(-3)]
fn held_row_keeps_the_record_despite_clock_skew(#[case] reader_ahead_s: i64) {
    let now = Instant::now();
    let crashes = [0, 1_000, 2_000].map(|began_ms| {
        let began = now + Duration::from_millis(began_ms);
        TargetCrash {
            id: began_ms,
            began,
            ended: began + Duration::from_millis(40),
        }
    });
    let encoded_at = now + Duration::from_mins(1);
    let record = CallRecord::new(crashes.to_vec(), None, None);
    let row = HeldRow::from_record(call(0), &record, &clock(encoded_at, 10_000));
    let store_row = StoreRow {
        key: held_row_key(call(0)),
        value: Some(row.value()),
        version: 1,
    };
    let decoded = HeldRow::decode(&store_row)
        .expect("readable")
        .expect("a held row");
    assert_eq!(decoded, row);
    let wall_s = 10_000_u64.saturating_add_signed(reader_ahead_s);
    let record_read = decoded.to_record(&clock(encoded_at, wall_s));
    assert_eq!(record_read.strikes(), 3);
    assert!(record_read.is_held());
}

#[rstest]
#[case::host("quoter", b"anything", Ok(None))]
#[case::cut("held/0123", b"\x01", Err(()))]
fn rows_of_hosts_and_malformed_rows_are_not_decoded(
    #[case] key: &str,
    #[case] value: &[u8],
    #[case] expected: Result<Option<HeldRow>, ()>,
) {
    let row = StoreRow {
        key: key.to_owned(),
        value: Some(value.to_vec()),
        version: 1,
    };
    assert_eq!(HeldRow::decode(&row).map_err(|_| ()), expected);
}
