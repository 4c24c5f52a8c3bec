//! Records of roll-outs with numbers that no daemon writes.

use std::time::Duration;

use filbert_policy::rollout::record::{OrderId, RolloutRecord, RolloutStage, StageReason};

const ALLOWED: Duration = Duration::from_mins(1);

/// Guards against a record of another writer whose step is the highest number.
#[test]
fn the_highest_step_is_followed_by_a_stage_that_wins() {
    let order = OrderId { era: 0, version: 1 };
    let mut record = RolloutRecord::ordered("quotes", "v2", ALLOWED, order);
    record.step = u32::MAX;
    let next = record.next(RolloutStage::Moved, StageReason::LooksGood, "one");
    assert!(next.supersedes(&record));
}
