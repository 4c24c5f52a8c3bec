//! Tests of daemon processes beside many entries of another writer in the table of hosts, or
//! long ones, and beside well-formed rows of roll-outs that no daemon wrote.

#[path = "support/entries.rs"]
mod entries;
#[path = "support/rollout.rs"]
mod rollout;
#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use entries::{closed_address, Entry, HOSTS_TABLE};
use filbert_mesh::codec::rows::{decode, encode};
use filbert_mesh::rollouts::row::RolloutRow;
use filbert_platform_standin::{Host, RouteSpec, StoreFault};
use filbert_policy::rollout::record::{OrderId, RolloutRecord, RolloutStage};
use rollout::{order_rollout, reaches_state, start_old_fleet};
use rstest::rstest;
use users::{eventually, fleet, Fleet};

/// Time after which a restarted fleet must serve: the users' bound for a recovery.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
const SERVICE: &str = "quotes";
/// Time from an order to the deadline of its roll-out.
const ALLOWED: Duration = Duration::from_secs(4);

async fn three_zone_fleet() -> Fleet {
    let routes = [RouteSpec::reads("/read/", SERVICE)];
    let hosts = [
        ("one", "a", SERVICE),
        ("two", "b", SERVICE),
        ("three", "c", "art"),
        ("four", "a", "art"),
        ("five", "b", "art"),
    ];
    fleet(&routes, &hosts).await
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
        assert!(is_served.await, "{}: {}", host.spec.name, host.log());
    }
}

/// Guards against long entries of another writer that fill the memory for a table before the
/// rows of the hosts are read.
#[rstest]
#[case::short_table(100)]
#[case::long_table(300)]
#[tokio::test]
async fn long_entries_before_the_hosts_do_not_hide_them(#[case] count: usize) {
    let mut fleet = three_zone_fleet().await;
    let value = vec![b'x'; 60_000];
    for number in 0..count {
        fleet
            .store
            .put(HOSTS_TABLE, &format!("0{number:04}"), &value);
    }
    assert_restart_recovers(&mut fleet).await;
}

/// Guards against hosts that do not exist and take the places of all targets of a service.
#[rstest]
#[case::few(5)]
#[case::many(200)]
#[tokio::test]
async fn many_hosts_that_do_not_exist_hide_no_target(#[case] in_each_zone: usize) {
    let mut fleet = three_zone_fleet().await;
    let address = closed_address().await.to_string();
    for zone in ["a", "b", "c"] {
        let entries: Vec<Entry> = (0..in_each_zone)
            .map(|number| Entry::new(&format!("g{zone}{number}"), &address, zone, SERVICE))
            .collect();
        entries::write(&fleet.store, &entries);
    }
    assert_restart_recovers(&mut fleet).await;
}

/// Guards against a roll-out that never begins, because it waits for the end of a table that
/// cannot be read to its end.
#[rstest]
#[case::readable(false)]
#[case::unreadable(true)]
#[tokio::test]
async fn a_table_without_an_end_keeps_no_roll_out_waiting(#[case] is_unreadable: bool) {
    let mut fleet = start_old_fleet().await;
    for number in 0..500 {
        let key = format!("z{number:04}");
        fleet.store.put(HOSTS_TABLE, &key, b"of another writer");
    }
    if is_unreadable {
        fleet.store.set_fault(StoreFault::FailsLaterPages);
    }
    assert_restart_recovers(&mut fleet).await;
    order_rollout(&fleet.store, "v2", ALLOWED);
    assert!(
        reaches_state(&fleet.store, "rolled_back", ALLOWED * 3).await,
        "{}",
        fleet.hosts[0].log()
    );
}

/// Content of the row of a roll-out.
fn rollout_row(record: &RolloutRecord) -> Vec<u8> {
    encode(&(record, Duration::ZERO, String::new()))
}

/// Guards against a well-formed row of another writer with the highest numbers, beside which
/// no order of the operator is followed.
#[rstest]
#[case::lowest_order(OrderId { era: 0, version: 0 }, 0)]
#[case::highest_order(OrderId { era: u64::MAX, version: u64::MAX }, 0)]
#[tokio::test]
async fn the_highest_order_in_a_row_does_not_outlive_the_operators(
    #[case] order: OrderId,
    #[case] step: u32,
) {
    let fleet = start_old_fleet().await;
    let mut record = RolloutRecord::ordered(SERVICE, "v0", Duration::from_secs(1), order);
    record.step = step;
    record.stage = RolloutStage::RolledBack;
    record.is_written = true;
    let row = rollout_row(&record);
    fleet.store.put(HOSTS_TABLE, "rollout/quotes", &row);
    order_rollout(&fleet.store, "v2", ALLOWED);
    assert!(
        reaches_state(&fleet.store, "rolled_back", ALLOWED * 3).await,
        "{}",
        fleet.hosts[0].log()
    );
}

/// Guards against a copy of a roll-out's row with the highest step, which ends the task that
/// decides on roll-outs again and again.
#[rstest]
#[case::low(7)]
#[case::highest(u32::MAX)]
#[tokio::test]
async fn a_step_in_a_row_ends_no_task(#[case] step: u32) {
    let fleet = start_old_fleet().await;
    order_rollout(&fleet.store, "v2", ALLOWED);
    assert!(reaches_state(&fleet.store, "running", ALLOWED).await);
    let row = fleet.store.value(HOSTS_TABLE, "rollout/quotes");
    let mut stored: RolloutRow = decode(&row.expect("a row")).expect("a roll-out");
    stored.record.step = step;
    fleet
        .store
        .put(HOSTS_TABLE, "rollout/quotes", &stored.value());
    let is_ended = reaches_state(&fleet.store, "rolled_back", ALLOWED * 3).await;
    for host in &fleet.hosts {
        let log = host.log();
        assert!(!log.contains("panicked"), "{log}");
    }
    assert!(is_ended);
}
