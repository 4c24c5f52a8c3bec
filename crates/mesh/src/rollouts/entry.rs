//! What is known of one service's roll-out, and what a note changes of it.

use std::time::{Duration, Instant};

use filbert_policy::rollout::record::{RolloutRecord, StageReason};

/// Time without confirmation by a decider after which nothing goes to a version
/// on trial: three missed confirmations.
const FRESH_FOR: Duration = Duration::from_secs(3);

/// What is known of one service's roll-out.
#[derive(Clone, Debug)]
pub struct RolloutEntry {
    /// The note that wins so far.
    pub record: RolloutRecord,
    /// When the order was given.
    pub ordered: Instant,
    /// When the stage began here.
    pub stage_since: Instant,
    /// Time from the order to the newest confirmation heard.
    pub confirmed: Duration,
    /// When that was heard.
    pub heard: Instant,
    /// The version of its row in the store, as far as is known; 0 without one.
    pub row_at: u64,
    /// Whether that row holds what is agreed of this order.
    pub is_recorded: bool,
    /// The step that it holds.
    pub recorded_step: u32,
    /// Set while the end of the old version is to be written.
    pub completes: Option<StageReason>,
    /// What the verdict rests on, in words.
    pub evidence: String,
}

impl RolloutEntry {
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        now < self.heard + FRESH_FOR
    }

    /// Whether it has not come to its end.
    #[must_use]
    pub fn is_live(&self) -> bool {
        !self.record.stage.is_final()
    }
}

/// What a note changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordUpdate {
    None,
    Confirmed,
    Stage,
}

/// Confirmations closer together than this are one: two deciders confirm.
const CONFIRMED_ANEW: Duration = Duration::from_millis(500);

impl RolloutEntry {
    pub(super) fn new(
        record: &RolloutRecord,
        elapsed: Duration,
        confirmed: Duration,
        now: Instant,
    ) -> Self {
        RolloutEntry {
            record: record.clone(),
            ordered: now.checked_sub(elapsed).unwrap_or(now),
            stage_since: now,
            confirmed,
            heard: now,
            row_at: 0,
            is_recorded: false,
            recorded_step: 0,
            completes: None,
            evidence: String::new(),
        }
    }

    pub(super) fn merge(
        &mut self,
        record: &RolloutRecord,
        elapsed: Duration,
        confirmed: Duration,
        now: Instant,
    ) -> RecordUpdate {
        if record.supersedes(&self.record) {
            let is_other = !record.is_same_order(&self.record);
            if is_other {
                self.ordered = now.checked_sub(elapsed).unwrap_or(now);
                self.confirmed = Duration::ZERO;
                self.is_recorded = false;
                self.completes = None;
                self.evidence.clear();
            }
            if is_other || record.stage != self.record.stage {
                self.stage_since = now;
            }
            self.record = record.clone();
            self.confirmed = self.confirmed.max(confirmed);
            self.heard = now;
            return RecordUpdate::Stage;
        }
        let is_same = record.is_same_order(&self.record) && record.step == self.record.step;
        if is_same && confirmed > self.confirmed + CONFIRMED_ANEW {
            self.confirmed = confirmed;
            self.heard = now;
            return RecordUpdate::Confirmed;
        }
        RecordUpdate::None
    }
}
