//! Tests of daemon processes beside entries of other writers in the store: while such entries
//! stand, a fleet that is restarted as a whole serves as before.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{RouteSpec, StoreFault};
use rstest::rstest;
use users::{eventually, fleet, Fleet, WAIT_TIMEOUT};

const HOSTS_TABLE: &str = "filbert-hosts";
/// Time after which a restarted fleet must serve: the users' bound for a recovery.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Number of rows in a page of the store.
const PAGE_ROWS: usize = 500;
/// Rate of the platform's store, in reading calls a second.
const READS_PER_S: u64 = 2_000;

async fn three_zone_fleet() -> Fleet {
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let hosts = [
        ("one", "a", "quotes"),
        ("two", "b", "quotes"),
        ("three", "c", "art"),
    ];
    fleet(&routes, &hosts).await
}

/// Kills all daemons at the same moment and starts them again.
fn restart_all(fleet: &mut Fleet) {
    for host in &mut fleet.hosts {
        host.kill();
    }
    for host in &mut fleet.hosts {
        host.start_daemon();
    }
}

/// Whether each host answers a call successfully in time.
async fn all_serve(fleet: &Fleet, within: Duration) -> bool {
    let started = Instant::now();
    for host in &fleet.hosts {
        let left = within.saturating_sub(started.elapsed());
        let is_served = eventually(left, || async {
            let answer = host.call("GET /read/a HTTP/1.1", "probe", b"").await;
            answer.is_some_and(|answer| answer.status == 200)
        });
        if !is_served.await {
            return false;
        }
    }
    true
}

/// Guards against a page of the table of hosts that ends with an odd key and keeps restarted
/// daemons from all rows, while they ask for it without a pause.
#[rstest]
#[case::plain("")]
#[case::separator("&")]
#[case::fragment("#")]
#[case::escape("%00")]
#[case::plus("+")]
#[tokio::test]
async fn an_odd_key_at_the_end_of_a_page_does_not_keep_a_fleet_from_its_hosts(#[case] odd: &str) {
    let mut fleet = three_zone_fleet().await;
    for number in 0..PAGE_ROWS + 100 {
        let key = format!("0{odd}{number:04}");
        fleet.store.put(HOSTS_TABLE, &key, b"of another writer");
    }
    let reads = fleet.store.calls("/rows-get");
    restart_all(&mut fleet);
    assert!(
        all_serve(&fleet, RECOVERY_TIME).await,
        "{} reads\n{}",
        fleet.store.calls("/rows-get") - reads,
        fleet.hosts[0].log()
    );
    let reads = fleet.store.calls("/rows-get") - reads;
    assert!(reads < READS_PER_S / 10, "{reads} reads");
}

/// Guards against a table of which nothing is used because its end cannot be read.
#[tokio::test]
async fn hosts_before_an_unreadable_page_are_used() {
    let mut fleet = three_zone_fleet().await;
    for number in 0..PAGE_ROWS {
        let key = format!("z{number:04}");
        fleet.store.put(HOSTS_TABLE, &key, b"of another writer");
    }
    fleet.store.set_fault(StoreFault::FailsLaterPages);
    restart_all(&mut fleet);
    assert!(
        all_serve(&fleet, RECOVERY_TIME).await,
        "{}",
        fleet.hosts[0].log()
    );
}

/// Guards against rows of other partitions that are taken for hosts, or for the removal of
/// hosts.
#[tokio::test]
async fn rows_of_other_partitions_are_not_taken_for_hosts() {
    let fleet = three_zone_fleet().await;
    let before = fleet.store.calls("/rows-tx");
    for host in &fleet.hosts {
        let name = host.spec.name.as_str();
        fleet
            .store
            .put_in_part(HOSTS_TABLE, "other", name, b"theirs");
        fleet.store.delete(HOSTS_TABLE, "other", name);
    }
    // A row that the daemons do take shows that those before it have been read.
    fleet.store.put(HOSTS_TABLE, "last", b"of another writer");
    let is_read = eventually(WAIT_TIMEOUT, || async {
        let logs: String = fleet
            .hosts
            .iter()
            .map(filbert_platform_standin::Host::log)
            .collect();
        logs.contains("event=row_skipped table=filbert-hosts key=\"last\"")
    });
    assert!(is_read.await);
    // Changes to rows are written within a second.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.store.calls("/rows-tx") - before, 0);
    assert!(all_serve(&fleet, RECOVERY_TIME).await);
}
