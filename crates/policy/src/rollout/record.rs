//! The state of a roll-out that daemons replicate, and the targets that it lets
//! calls go to.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// Identifies the order of a roll-out. Later orders compare greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderId {
    /// How often the store had been restored from an older copy.
    pub era: u64,
    /// The store's version at which the order was written.
    pub version: u64,
}

/// Stage of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutStage {
    /// A share of the calls goes to the new version.
    Trial {
        /// Calls of each thousand that go to the new version; 0 while the
        /// roll-out waits for its targets.
        per_mille: u16,
    },
    /// All calls go to the new version; old targets finish the calls they have.
    Moved,
    /// The new version was found bad: all calls go to the old one. Final.
    RolledBack,
    /// All calls go to the new version, and the old targets may be stopped.
    /// Final.
    Completed,
}

impl RolloutStage {
    /// Whether no stage follows this one.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, RolloutStage::RolledBack | RolloutStage::Completed)
    }
}

/// Why a roll-out entered its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StageReason {
    /// The roll-out was ordered.
    Ordered,
    /// Targets of the new version are ready.
    TargetsReady,
    /// Too few calls ended for a verdict.
    MoreCalls,
    /// The evidence does not speak against the new version.
    LooksGood,
    /// The new version's answers are worse than the old version's.
    LooksBad,
    /// The new version had no targets in time.
    NoTargets,
    /// The allowed time ran out without a good verdict.
    TimeUp,
    /// Old targets have no calls running or waiting any more.
    OldIdle,
    /// The deadline is near, so the roll-out no longer waits for old targets that
    /// are busy or whose daemons cannot be reached.
    OldUnheard,
}

/// Replicated state of one service's roll-out. Daemons pass it on and keep the
/// record that [`RolloutRecord::supersedes`] the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Name of the service.
    pub service: String,
    /// The new software version, which the service's calls are to move to.
    pub to: String,
    /// Time from the order to the deadline of the roll-out.
    pub allowed: Duration,
    /// The order that began the roll-out.
    pub order: OrderId,
    /// Number of this stage among those of the order, from 0.
    pub step: u32,
    /// Current stage.
    pub stage: RolloutStage,
    /// Why the roll-out entered this stage.
    pub reason: StageReason,
    /// The host whose daemon decided on this stage; empty for an order.
    pub decided_by: String,
    /// Whether this stage is final and has been written to the store.
    pub is_written: bool,
    /// Hosts of the new targets that get the trial's calls; all of them if empty.
    pub canaries: Vec<String>,
}

impl RolloutRecord {
    /// The record of a new order: a trial that waits for its targets.
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

    /// The record of the next stage of this roll-out.
    #[must_use]
    pub fn next(
        &self,
        stage: RolloutStage,
        reason: StageReason,
        decided_by: &str,
    ) -> RolloutRecord {
        RolloutRecord {
            step: self.step.saturating_add(1),
            stage,
            reason,
            decided_by: decided_by.to_owned(),
            ..self.clone()
        }
    }

    /// Whether both records belong to one order: the ids are equal, or one order
    /// repeats the other (see [`RolloutRecord::is_repeated_by`]).
    #[must_use]
    pub fn is_same_order(&self, other: &RolloutRecord) -> bool {
        self.order == other.order || self.is_repeated_by(&other.to, other.allowed, other.order)
    }

    /// Whether this record is of the roll-out that `order` began, by what it says and not by
    /// its id alone: another writer may have made up the record.
    #[must_use]
    pub fn is_of_order(&self, order: &RolloutRecord) -> bool {
        self.is_same_order(order) && self.to == order.to && self.allowed == order.allowed
    }

    /// Whether an order repeats this record's: it has the same version and time,
    /// and was written again after the store was restored from an older copy.
    #[must_use]
    pub fn is_repeated_by(&self, to: &str, allowed: Duration, order: OrderId) -> bool {
        self.order.era != order.era && self.to == to && self.allowed == allowed
    }

    /// Whether this record wins over `other`, which is of the same service.
    ///
    /// The later order wins. Within one order, a final stage that is written wins,
    /// then any final stage, then the later step, then the further stage. Two
    /// daemons that decide at the same moment can still differ in their canaries;
    /// the name of the deciding host breaks this tie, so that all daemons keep the
    /// same record.
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

    /// Versions that a call may go to. The trial's share is drawn by a hash of the
    /// call's id, so that all daemons choose alike.
    ///
    /// `is_fresh` says whether a deciding daemon confirmed the record recently.
    /// Otherwise this daemon may be cut off, and sends nothing to a version on
    /// trial.
    #[must_use]
    pub fn version_preference(&self, call_id: &str, is_fresh: bool) -> VersionPreference {
        match self.stage {
            RolloutStage::Trial { per_mille }
                if is_fresh && per_mille_bucket(call_id) < per_mille =>
            {
                VersionPreference::PreferNew
            }
            RolloutStage::Trial { .. } | RolloutStage::RolledBack => VersionPreference::OldOnly,
            RolloutStage::Moved | RolloutStage::Completed => VersionPreference::NewOnly,
        }
    }

    /// Whether a target that runs version `software` takes calls now; for
    /// `is_fresh` see [`RolloutRecord::version_preference`].
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

/// Maps a call's id to a number from 0 to 999, evenly.
fn per_mille_bucket(call_id: &str) -> u16 {
    const BUCKETS: u64 = 1_000;
    u16::try_from(XxHash64::oneshot(0, call_id.as_bytes()) % BUCKETS).unwrap_or_default()
}

/// Versions whose targets a call may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionPreference {
    /// The new version, or the old one if no new target has room.
    PreferNew,
    /// Any version but the new one.
    OldOnly,
    /// Only the new version.
    NewOnly,
}
