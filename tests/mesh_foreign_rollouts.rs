//! Tests of rows of roll-outs that another writer left in the table of hosts: only the operator's
//! orders move a service's calls.

#[path = "support/rollout.rs"]
mod rollout;
#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_mesh::rollouts::row::RolloutRow;
use filbert_platform_standin::{Host, TargetBehaviour};
use filbert_policy::rollout::record::{OrderId, RolloutRecord, RolloutStage, StageReason};
use rollout::{
    order_rollout, reaches_state, runs, start_new_targets, start_old_fleet, Traffic, ROLLOUT_TIME,
    RUN_TIME,
};
use rstest::rstest;
use users::{eventually, Fleet, WAIT_TIMEOUT};

const HOSTS: &str = "filbert-hosts";
const ROW: &str = "rollout/quotes";
/// Time within which daemons act on a changed row.
const APPLY_TIME: Duration = Duration::from_secs(1);
const LAST_ORDER: OrderId = OrderId {
    era: u64::MAX,
    version: u64::MAX,
};

/// A well-formed row of a roll-out that nobody ordered.
fn foreign_row(to: &str, order: OrderId, stage: RolloutStage) -> Vec<u8> {
    let record = RolloutRecord {
        is_written: stage.is_final(),
        step: 3,
        ..RolloutRecord::ordered("quotes", to, ROLLOUT_TIME, order)
    };
    let record = record.next(stage, StageReason::LooksGood, "another");
    let row = RolloutRow {
        record,
        ordered_at: Duration::ZERO,
        evidence: String::new(),
    };
    row.value()
}

async fn check_calls(fleet: &Fleet, after: &str) {
    let until = Instant::now() + APPLY_TIME;
    while Instant::now() < until {
        for host in &fleet.hosts[..2] {
            let answer = host.call("GET /read/a HTTP/1.1", "call", b"").await;
            let status = answer.map(|answer| answer.status);
            assert_eq!(status, Some(200), "{after}\n{}", host.log());
        }
    }
}

async fn restart_all(fleet: &mut Fleet, new: &mut [Host]) {
    for host in fleet.hosts.iter_mut().chain(new.iter_mut()) {
        host.kill();
    }
    for host in fleet.hosts.iter_mut().chain(new.iter_mut()) {
        host.start_daemon();
    }
    for host in &fleet.hosts {
        assert!(eventually(WAIT_TIMEOUT, || host.is_ready()).await);
    }
    for host in &fleet.hosts[..2] {
        let is_served = || async {
            let answer = host.call("GET /read/a HTTP/1.1", "call", b"").await;
            answer.is_some_and(|answer| answer.status == 200)
        };
        assert!(eventually(WAIT_TIMEOUT, is_served).await, "{}", host.log());
    }
}

/// Guards against a row without an order that takes away all calls of a service, and against one
/// that keeps the operator's own order from its service.
#[rstest]
#[case::completed(RolloutStage::Completed)]
#[case::moved(RolloutStage::Moved)]
#[case::rolled_back(RolloutStage::RolledBack)]
#[case::trial(RolloutStage::Trial { per_mille: 500 })]
#[tokio::test]
async fn a_row_without_an_order_takes_no_calls_away(
    #[case] stage: RolloutStage,
    #[values("v9", "v1")] to: &str,
    #[values(LAST_ORDER, OrderId { era: 0, version: 1 })] order: OrderId,
) {
    let mut fleet = start_old_fleet().await;
    fleet.store.put(HOSTS, ROW, &foreign_row(to, order, stage));
    check_calls(&fleet, "in steady state").await;
    restart_all(&mut fleet, &mut []).await;
    check_calls(&fleet, "after a restart").await;
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    let traffic = Traffic::start(&fleet.hosts[0]);
    let _new = start_new_targets(&fleet.store, TargetBehaviour::RespondsAfter(RUN_TIME)).await;
    assert!(reaches_state(&fleet.store, "completed", ROLLOUT_TIME).await);
    traffic.stop().await;
}

/// Guards against a row in place of that of a roll-out which has ended: it takes calls away, or
/// the order begins again at a restart.
#[rstest]
#[case::completed(RolloutStage::Completed)]
#[case::trial(RolloutStage::Trial { per_mille: 0 })]
#[tokio::test]
async fn a_row_in_place_of_an_ended_roll_out_is_written_over(
    #[case] stage: RolloutStage,
    #[values(LAST_ORDER, OrderId { era: 0, version: 1 })] order: OrderId,
) {
    let mut fleet = start_old_fleet().await;
    order_rollout(&fleet.store, "v2", ROLLOUT_TIME);
    let traffic = Traffic::start(&fleet.hosts[0]);
    let mut new = start_new_targets(&fleet.store, TargetBehaviour::RespondsAfter(RUN_TIME)).await;
    assert!(reaches_state(&fleet.store, "completed", ROLLOUT_TIME).await);
    traffic.stop().await;
    let foreign = foreign_row("v9", order, stage);
    fleet.store.put(HOSTS, ROW, &foreign);
    check_calls(&fleet, "in steady state").await;
    let is_replaced = || async { fleet.store.value(HOSTS, ROW).as_ref() != Some(&foreign) };
    assert!(eventually(WAIT_TIMEOUT, is_replaced).await);
    let old_runs = runs(&fleet.hosts[2..]);
    restart_all(&mut fleet, &mut new).await;
    check_calls(&fleet, "after a restart").await;
    assert_eq!(
        runs(&fleet.hosts[2..]),
        old_runs,
        "an old target got a call"
    );
}
