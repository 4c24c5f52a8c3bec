//! When a roll-out goes on to its next stage.
//!
//! Load pattern: a fleet whose calls leave the old version little room to spare
//! tries one that fails only when its targets are as full as the old ones are.
//! Spread over all new targets, a share that may be risked leaves each of them
//! nearly idle, and the fault shows as all calls move. So a trial's calls go to
//! a few of them.

use std::time::Duration;

use super::judge::Verdict;
use super::record::{RolloutStage, StageReason};
use crate::numbers::{count_of, whole_of};

/// What a roll-out may risk and how its calls are spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBudget {
    /// Share of the service's calls, from the order to its deadline, that a bad
    /// version may get.
    pub share: f64,
    /// Calls that it may get beyond that share.
    pub slack: f64,
    /// Longest time that a call at an old target takes to end.
    pub longest_call: Duration,
    /// Where trial calls go.
    pub placement: TrialPlacement,
}

/// Where calls on trial go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialPlacement {
    /// To as many new targets as are then about as full as the old ones.
    FewTargets,
    /// To all new targets.
    AllTargets,
}

/// Part of the risked share that trial calls take. What is left covers the
/// calls between a fault that shows only later and its discovery.
const TRIAL_PART: f64 = 0.6;
/// Part of the calls beyond that share that trial calls take. They tell where a
/// service has few calls.
const SLACK_PART: f64 = 0.5;
/// Thousandths of the calls that a trial takes at most.
const MOST_PER_MILLE: f64 = 500.0;
/// New targets on trial at least: one in each of three availability zones, and
/// enough to tell one ill target from an ill version.
const LEAST_CANARIES: usize = 3;
/// Time before the move in which more calls are tried.
const RAMP: Duration = Duration::from_millis(700);
/// Thousandths of the calls that go to the new version in it.
const RAMP_PER_MILLE: u16 = 250;
/// Time beyond the longest call between the move and the deadline: the word of
/// the move is on its way, and that of the end.
const END_MARGIN: Duration = Duration::from_millis(1_500);
/// Least part of the allowed time before the move.
const LEAST_TRIAL: f64 = 0.5;
/// Calls that are under way to old targets when the move is decided have got
/// there, or were declined, after this.
const MOVE_SETTLES: Duration = Duration::from_millis(600);
/// Time before the deadline at which the end is written whatever is at work.
const LAST_CHANCE: Duration = Duration::from_millis(500);
/// Calls that a verdict rests on at least.
const LEAST_CALLS: u64 = 40;
/// The same for a service that has fewer than [`QUIET_CALLS`] during a trial.
const FEW_CALLS: u64 = 5;
const QUIET_CALLS: u64 = 800;
/// Time without another target of the new version after which all are taken to
/// be there: they start within a second or two of each other.
const STEADY_FOR: Duration = Duration::from_millis(600);
/// Part of the allowed time after which a trial begins with those that are.
const LATEST_BEGIN: f64 = 0.25;
/// Time before the deadline at which an order without targets is given up.
const GIVE_UP_BEFORE: Duration = Duration::from_secs(1);

/// A roll-out as its decider sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutView {
    /// How far it is.
    pub stage: RolloutStage,
    /// Time since that stage began.
    pub stage_age: Duration,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time allowed from the order on.
    pub allowed: Duration,
    /// Open targets of the new version.
    pub new_targets: usize,
    /// Time since their number last changed.
    pub new_targets_stable_for: Duration,
    /// Open targets of the old version.
    pub old_targets: usize,
    /// What the answers say.
    pub verdict: Verdict,
    /// Calls at work or waiting at old targets, as last told.
    pub old_at_work: u32,
    /// Old targets whose daemons have not told of late, or do not know yet
    /// that the calls move.
    pub old_unheard: usize,
}

/// How a trial's calls are spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialSize {
    /// Thousandths of the calls.
    pub per_mille: u16,
    /// New targets that they go to.
    pub canaries: usize,
}

impl ExposureBudget {
    /// How the calls of a trial are spent that begins with `view`.
    #[must_use]
    pub fn trial_size(&self, view: &RolloutView) -> TrialSize {
        let (new, old) = (view.new_targets, view.old_targets);
        let trial_time = self.move_at(view.allowed).saturating_sub(view.elapsed);
        let expected = (view.verdict.rate() * trial_time.as_secs_f64()).max(1.0);
        let share = self.share * TRIAL_PART + self.slack * SLACK_PART / expected;
        let per_mille = whole_of((share * 1_000.0).min(MOST_PER_MILLE));
        let per_mille = u16::try_from(per_mille).unwrap_or(u16::MAX);
        let alike = usize::try_from(whole_of((share * count_of(old)).round())).unwrap_or(new);
        let canaries = match self.placement {
            TrialPlacement::FewTargets => alike.max(LEAST_CANARIES).min(new),
            TrialPlacement::AllTargets => new,
        };
        TrialSize {
            per_mille: per_mille.max(1),
            canaries,
        }
    }

    /// When all calls move, counted from the order: late, so that what turns
    /// bad after some time was seen before, and with time for the old targets'
    /// calls to end before the deadline.
    #[must_use]
    pub fn move_at(&self, allowed: Duration) -> Duration {
        let latest = allowed.saturating_sub(self.longest_call + END_MARGIN);
        latest.max(allowed.mul_f64(LEAST_TRIAL))
    }

    /// The stage that comes next, if it is time for one.
    #[must_use]
    pub fn next_stage(&self, view: &RolloutView) -> Option<(RolloutStage, StageReason)> {
        let rolled_back = |reason| Some((RolloutStage::RolledBack, reason));
        if view.stage.is_final() {
            return None;
        }
        if view.verdict.is_bad() {
            return rolled_back(StageReason::LooksBad);
        }
        match view.stage {
            RolloutStage::Trial { per_mille: 0 } => self.begin(view),
            RolloutStage::Trial { per_mille } => self.go_on(view, per_mille),
            RolloutStage::Moved => end(view),
            RolloutStage::RolledBack | RolloutStage::Completed => None,
        }
    }

    fn begin(&self, view: &RolloutView) -> Option<(RolloutStage, StageReason)> {
        if view.elapsed + GIVE_UP_BEFORE >= view.allowed {
            return Some((RolloutStage::RolledBack, StageReason::NoTargets));
        }
        let is_all_here = view.new_targets_stable_for >= STEADY_FOR
            || view.elapsed >= view.allowed.mul_f64(LATEST_BEGIN);
        if view.new_targets > 0 && is_all_here {
            let terms = self.trial_size(view);
            let stage = RolloutStage::Trial {
                per_mille: terms.per_mille,
            };
            return Some((stage, StageReason::TargetsReady));
        }
        None
    }

    fn go_on(&self, view: &RolloutView, per_mille: u16) -> Option<(RolloutStage, StageReason)> {
        let move_at = self.move_at(view.allowed);
        let looks_good = view.verdict.is_clear() && is_known(&view.verdict);
        if view.elapsed + GIVE_UP_BEFORE >= view.allowed {
            return Some((RolloutStage::RolledBack, StageReason::TimeUp));
        }
        if per_mille >= RAMP_PER_MILLE {
            let is_ripe = view.stage_age >= RAMP && view.elapsed >= move_at;
            return (is_ripe && looks_good)
                .then_some((RolloutStage::Moved, StageReason::LooksGood));
        }
        let is_ripe = view.elapsed + RAMP >= move_at;
        (is_ripe && looks_good).then_some((
            RolloutStage::Trial {
                per_mille: RAMP_PER_MILLE,
            },
            StageReason::LooksGood,
        ))
    }
}

/// Whether a verdict rests on as many calls as the service gives.
fn is_known(verdict: &Verdict) -> bool {
    let is_unused = verdict.all_calls() < FEW_CALLS;
    let is_quiet = verdict.all_calls() < QUIET_CALLS;
    let least = if is_quiet { FEW_CALLS } else { LEAST_CALLS };
    is_unused || verdict.new_call_count() >= least
}

/// Whether the old targets may end.
fn end(view: &RolloutView) -> Option<(RolloutStage, StageReason)> {
    let completed = |reason| Some((RolloutStage::Completed, reason));
    if view.elapsed + LAST_CHANCE >= view.allowed {
        return completed(StageReason::OldUnheard);
    }
    let is_idle = view.old_at_work == 0 && view.old_unheard == 0;
    if view.stage_age >= MOVE_SETTLES && is_idle {
        return completed(StageReason::OldIdle);
    }
    None
}
