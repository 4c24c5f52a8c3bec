//! Rows of acknowledged shutdowns: whose they are, and how long they are kept.

use std::time::{Duration, Instant, UNIX_EPOCH};

use filbert_mesh::codec::rows::RowError;
use filbert_mesh::shutdowns::row::{host_prefix, shutdown_row_key, ShutdownRow};
use filbert_platform::store::StoreRow;
use filbert_policy::clock::ClockReading;
use filbert_policy::instance::InstanceKey;
use rstest::rstest;

fn clock(wall_s: u64) -> ClockReading {
    ClockReading {
        now: Instant::now(),
        wall: UNIX_EPOCH + Duration::from_secs(wall_s),
    }
}

fn instance(id: &str) -> InstanceKey {
    InstanceKey {
        id: id.to_owned(),
        born: None,
    }
}

fn store_row(key: &str, shutdown: &ShutdownRow) -> StoreRow {
    StoreRow {
        key: key.to_owned(),
        value: Some(shutdown.value()),
        version: 1,
    }
}

/// Guards against a row that is taken for another instance's or another host's, and
/// against ids that are longer than a key may be.
#[test]
fn a_row_names_its_host_and_instance() {
    let long_id = "i".repeat(5_000);
    for id in ["i-1", long_id.as_str()] {
        let shutdown = ShutdownRow::new(instance(id), &clock(1_000));
        let key = shutdown_row_key("first", &instance(id));
        assert!(key.starts_with(&host_prefix("first")));
        assert!(!key.starts_with(&host_prefix("firs")));
        assert!(key.len() < 200);
        let row = store_row(&key, &shutdown);
        assert_eq!(ShutdownRow::decode(&row), Ok(Some(shutdown.clone())));
        let other_key = shutdown_row_key("first", &instance("other"));
        let row = store_row(&other_key, &shutdown);
        assert!(matches!(
            ShutdownRow::decode(&row),
            Err(RowError::Unreadable(_))
        ));
    }
}

/// Guards against rows that pile up, and against one that is removed while its target may
/// still serve, also by a host whose clock is behind.
#[rstest]
#[case(10_000, false)]
#[case(10_599, false)]
#[case(10_601, true)]
#[case(9_000, false)]
fn a_row_expires_after_ten_minutes(#[case] wall_s: u64, #[case] is_expired: bool) {
    let shutdown = ShutdownRow::new(instance("i-1"), &clock(10_000));
    assert_eq!(shutdown.is_expired(&clock(wall_s)), is_expired);
}
