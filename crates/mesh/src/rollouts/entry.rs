//! State of one service's roll-out at this daemon, and how records are merged into
//! it.

use std::time::{Duration, Instant};

use filbert_policy::rollout::record::{RolloutRecord, StageReason};

/// Time after the last confirmation by a deciding daemon from which no calls go to
/// a version on trial: three missed confirmations.
const CONFIRMATION_TTL: Duration = Duration::from_secs(3);

/// State of one service's roll-out at this daemon.
#[derive(Clone, Debug)]
pub struct RolloutEntry {
    /// The record that supersedes all others received.
    pub record: RolloutRecord,
    /// Time of the order.
    pub ordered_at: Instant,
    /// Time at which this daemon entered the stage.
    pub stage_entered_at: Instant,
    /// Time from the order to the newest confirmation received.
    pub confirmed_after: Duration,
    /// Time at which the newest confirmation or record was received.
    pub refreshed_at: Instant,
    /// Last known version of the roll-out's row in the store; 0 if there is no row.
    pub row_version: u64,
    /// Whether the row holds this order, and is not from before its final stage.
    pub is_order_stored: bool,
    /// Step that the row holds.
    pub stored_step: u32,
    /// Reason of a completion that has to be written; `None` if there is none.
    pub completion_reason: Option<StageReason>,
    /// Text that describes the evidence for the verdict.
    pub evidence: String,
}

impl RolloutEntry {
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        now < self.refreshed_at + CONFIRMATION_TTL
    }

    /// Whether the roll-out has not reached a final stage.
    #[must_use]
    pub fn is_live(&self) -> bool {
        !self.record.stage.is_final()
    }
}

/// What a merged record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordUpdate {
    None,
    Confirmed,
    Stage,
}

/// Least time between two confirmations that count as different: two daemons
/// decide, and both confirm.
const MIN_CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);

impl RolloutEntry {
    pub(super) fn new(
        record: &RolloutRecord,
        elapsed: Duration,
        confirmed_after: Duration,
        now: Instant,
    ) -> Self {
        RolloutEntry {
            record: record.clone(),
            ordered_at: now.checked_sub(elapsed).unwrap_or(now),
            stage_entered_at: now,
            confirmed_after,
            refreshed_at: now,
            row_version: 0,
            is_order_stored: false,
            stored_step: 0,
            completion_reason: None,
            evidence: String::new(),
        }
    }

    pub(super) fn merge(
        &mut self,
        record: &RolloutRecord,
        elapsed: Duration,
        confirmed_after: Duration,
        now: Instant,
    ) -> RecordUpdate {
        if record.supersedes(&self.record) {
            let is_new_order = !record.is_same_order(&self.record);
            if is_new_order {
                self.ordered_at = now.checked_sub(elapsed).unwrap_or(now);
                self.confirmed_after = Duration::ZERO;
                self.is_order_stored = false;
                self.completion_reason = None;
                self.evidence.clear();
            }
            if is_new_order || record.stage != self.record.stage {
                self.stage_entered_at = now;
            }
            self.record = record.clone();
            self.confirmed_after = self.confirmed_after.max(confirmed_after);
            self.refreshed_at = now;
            return RecordUpdate::Stage;
        }
        let is_same = record.is_same_order(&self.record) && record.step == self.record.step;
        if is_same && confirmed_after > self.confirmed_after + MIN_CONFIRMATION_INTERVAL {
            self.confirmed_after = confirmed_after;
            self.refreshed_at = now;
            return RecordUpdate::Confirmed;
        }
        RecordUpdate::None
    }
}
