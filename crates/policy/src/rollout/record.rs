//! What daemons hold true of a roll-out, and where it lets calls go.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// Which order. Later orders compare greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderId {
    /// How often the store had come back from an older copy.
    pub era: u64,
    /// The store's version in which the order was written.
    pub version: u64,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutStage {
    /// Some calls go to the new version.
    Trial {
        /// How many of a thousand; 0 while its targets are awaited.
        per_mille: u16,
    },
    /// All calls go to the new version; the old one ends its work.
    Moved,
    /// The new version was found bad: all calls go to the old one. Final.
    RolledBack,
    /// The old targets may end. Final.
    Completed,
}

impl RolloutStage {
    /// Whether nothing comes after it.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, RolloutStage::RolledBack | RolloutStage::Completed)
    }
}

/// Why a stage was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StageReason {
    /// The order came.
    Ordered,
    /// Targets of the new version are ready.
    TargetsReady,
    /// Too few calls tell anything.
    MoreCalls,
    /// Nothing speaks against the new version.
    LooksGood,
    /// Its answers are worse than the old version's.
    LooksBad,
    /// It has no targets, or none that answer.
    NoTargets,
    /// The time is up without a verdict.
    TimeUp,
    /// Nothing is at work at old targets any more.
    OldIdle,
    /// Old targets whose daemons cannot be heard are not waited for any longer.
    OldUnheard,
}

/// What daemons hold true of one service's roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: String,
    /// The version that its calls are to move to.
    pub to: String,
    /// Time for that from the order on.
    pub allowed: Duration,
    /// Which order.
    pub order: OrderId,
    /// Counts the stages of this order.
    pub step: u32,
    /// How far it is.
    pub stage: RolloutStage,
    /// Why.
    pub reason: StageReason,
    /// The host whose daemon decided so.
    pub decided_by: String,
    /// Whether a final stage lies in the store.
    pub is_written: bool,
    /// New targets' hosts that calls on trial go to; all when empty.
    pub canaries: Vec<String>,
}

impl RolloutRecord {
    /// The note of an order that just came.
    #[must_use]
    pub fn ordered(service: &str, to: &str, allowed: Duration, order: OrderId) -> RolloutRecord {
        RolloutRecord {
            service: service.to_owned(),
            to: to.to_owned(),
            allowed,
            order,
            step: 0,
            stage: RolloutStage::Trial { per_mille: 0 },
            reason: StageReason::Ordered,
            decided_by: String::new(),
            is_written: false,
            canaries: Vec::new(),
        }
    }

    /// The note of the next stage.
    #[must_use]
    pub fn next(
        &self,
        stage: RolloutStage,
        reason: StageReason,
        decided_by: &str,
    ) -> RolloutRecord {
        RolloutRecord {
            step: self.step + 1,
            stage,
            reason,
            decided_by: decided_by.to_owned(),
            ..self.clone()
        }
    }

    /// Whether both are of one order: by its id, or of the same text, given
    /// again after the store came back from an older copy.
    #[must_use]
    pub fn is_same_order(&self, other: &RolloutRecord) -> bool {
        self.order == other.order || self.is_repeated_by(&other.to, other.allowed, other.order)
    }

    /// Whether an order is this one, written again because the store came back
    /// from an older copy.
    #[must_use]
    pub fn is_repeated_by(&self, to: &str, allowed: Duration, order: OrderId) -> bool {
        self.order.era != order.era && self.to == to && self.allowed == allowed
    }

    /// Which of two notes of one service wins: the later order's; of one order
    /// a final stage that is written, then any final one, then the later step,
    /// then the further stage. Two that are decided at once may differ in what
    /// is tried only: by the deciders' names, so that all daemons hold the same.
    #[must_use]
    pub fn supersedes(&self, other: &RolloutRecord) -> bool {
        if !self.is_same_order(other) {
            return self.order > other.order;
        }
        self.rank() > other.rank()
    }

    fn rank(&self) -> impl Ord + '_ {
        let finality = match (self.stage.is_final(), self.is_written) {
            (false, _) => 0,
            (true, false) => 1,
            (true, true) => 2,
        };
        let decider = (self.decided_by.as_str(), &self.canaries);
        (finality, self.step, self.stage, decider, self.order)
    }

    /// Where a call goes: drawn by a hash of its id, alike in all daemons.
    /// `is_fresh` says whether the note was confirmed of late; a daemon that is
    /// cut off sends nothing to a version on trial.
    #[must_use]
    pub fn version_preference(&self, call_id: &str, is_fresh: bool) -> VersionPreference {
        match self.stage {
            RolloutStage::Trial { per_mille } if is_fresh && draw(call_id) < per_mille => {
                VersionPreference::PreferNew
            }
            RolloutStage::Trial { .. } | RolloutStage::RolledBack => VersionPreference::OldOnly,
            RolloutStage::Moved | RolloutStage::Completed => VersionPreference::NewOnly,
        }
    }

    /// Whether a target of `software` takes calls now.
    #[must_use]
    pub fn admits(&self, software: &str, is_fresh: bool) -> bool {
        let is_new = software == self.to;
        match self.stage {
            RolloutStage::Trial { per_mille } => !is_new || (is_fresh && per_mille > 0),
            RolloutStage::RolledBack => !is_new,
            RolloutStage::Moved | RolloutStage::Completed => is_new,
        }
    }
}

/// Thousandth that a call's id falls into.
fn draw(call_id: &str) -> u16 {
    const PARTS: u64 = 1_000;
    u16::try_from(XxHash64::oneshot(0, call_id.as_bytes()) % PARTS).unwrap_or_default()
}

/// Targets that a call may go to, by their version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionPreference {
    /// Those of the new version; of the old one where none of them has room.
    PreferNew,
    /// Not those of the new version.
    OldOnly,
    /// Those of the new version.
    NewOnly,
}
