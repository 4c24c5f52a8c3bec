//! What daemons tell each other of calls that were at work as targets ended.

use std::time::{Duration, Instant, SystemTime};

use filbert_mesh::held_rows::{held_row_key, HeldRow};
use filbert_mesh::messages::{encode, LinkMessage};
use filbert_mesh::quarantine::SuspectCall;
use filbert_platform::store::StoreRow;
use filbert_policy::clock::ClockReading;
use filbert_policy::identity::{CallIdentity, IdentityParts};
use filbert_policy::quarantine::{CallRecord, TargetCrash};
use rstest::rstest;

/// Bytes of the news of one end; told to some daemons by each, it is the price of
/// each target that ends.
const MOST_BYTES_AN_END: usize = 400;
/// Calls that a target has under way.
const UNDER_WAY: u64 = 9;

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
fn the_news_of_an_end_are_short() {
    let now = Instant::now();
    let calls = (0..UNDER_WAY)
        .map(|number| {
            let record = CallRecord::from_crash(crash(u64::MAX - number, now));
            SuspectCall::from_record(call(number), &record, now + Duration::from_millis(40))
        })
        .collect();
    let bytes = encode(&LinkMessage::Suspects(calls)).len();
    assert!(bytes < MOST_BYTES_AN_END, "{bytes} bytes");
}

fn clock(now: Instant, wall_s: u64) -> ClockReading {
    ClockReading {
        now,
        wall: SystemTime::UNIX_EPOCH + Duration::from_secs(wall_s),
    }
}

/// A row is read by a host whose time of day is another than the writer's.
#[rstest]
#[case::same(0)]
#[case::ahead(3)]
#[case::behind(-3)]
fn a_row_says_what_was_known(#[case] reader_ahead_s: i64) {
    let now = Instant::now();
    let crashes = [0, 1_000, 2_000].map(|began_ms| {
        let began = now + Duration::from_millis(began_ms);
        TargetCrash {
            id: began_ms,
            began,
            ended: began + Duration::from_millis(40),
        }
    });
    let written_at = now + Duration::from_mins(1);
    let record = CallRecord::new(crashes.to_vec(), None, None);
    let row = HeldRow::from_record(call(0), &record, &clock(written_at, 10_000));
    let stored = StoreRow {
        key: held_row_key(call(0)),
        value: Some(row.value()),
        version: 1,
    };
    let read = HeldRow::decode(&stored).expect("a row of a call");
    assert_eq!(read, row);
    let wall_s = 10_000_u64.saturating_add_signed(reader_ahead_s);
    let known = read.to_record(&clock(written_at, wall_s));
    assert_eq!(known.strikes(), 3);
    assert!(known.is_held());
}

#[rstest]
#[case::host("quoter", b"anything")]
#[case::cut("held/0123", b"\x01")]
fn other_rows_are_none(#[case] key: &str, #[case] value: &[u8]) {
    let row = StoreRow {
        key: key.to_owned(),
        value: Some(value.to_vec()),
        version: 1,
    };
    assert_eq!(HeldRow::decode(&row), None);
}
