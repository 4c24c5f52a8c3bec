//! Decides when a roll-out moves to its next stage, and how many calls a trial gets.
//!
//! Load pattern: the targets of the old version are nearly full, and the new
//! version fails only when its targets are as full. Spread over all new targets,
//! the share of calls that a trial may risk would leave each of them nearly idle,
//! and the fault would show only after all calls have moved. A trial therefore
//! sends its calls to a few new targets, the canaries.

use std::time::Duration;

use super::judge::Verdict;
use super::record::{RolloutStage, StageReason};
use crate::numbers::{count_to_f64, truncate_to_u64};

/// Limits on the calls that a bad version may get, and how a trial uses them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBudget {
    /// Share of the service's calls, from the order to its deadline, that a bad
    /// version may get; 0 to 1.
    pub share: f64,
    /// Number of calls that a bad version may get beyond that share.
    pub slack: f64,
    /// Longest time that a call takes to end at an old target.
    pub longest_call: Duration,
    /// New targets that get the trial's calls.
    pub placement: TrialPlacement,
}

/// New targets that get a trial's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialPlacement {
    /// As many as the trial's calls make about as full as the old targets.
    FewTargets,
    /// All new targets.
    AllTargets,
}

/// Part of [`ExposureBudget::share`] that a trial uses. The rest covers the calls
/// between a fault that appears only later and its detection.
const TRIAL_SHARE_FRACTION: f64 = 0.6;
/// Part of [`ExposureBudget::slack`] that a trial uses. These calls make a verdict
/// possible for a service with few calls.
const TRIAL_SLACK_FRACTION: f64 = 0.5;
/// Most calls of each thousand that a first trial gets.
const MAX_TRIAL_PER_MILLE: f64 = 500.0;
/// Fewest canaries: one in each of three availability zones, and enough to tell one
/// faulty target from a faulty version.
const MIN_CANARIES: usize = 3;
/// Time before the move for which the trial is enlarged to [`RAMP_PER_MILLE`].
const RAMP_TIME: Duration = Duration::from_millis(700);
/// Calls of each thousand that go to the new version during the ramp.
const RAMP_PER_MILLE: u16 = 250;
/// Time between the move and the deadline, beyond the longest call: the messages
/// about the move and about its completion need time to arrive.
const COMPLETION_MARGIN: Duration = Duration::from_millis(1_500);
/// Least part of the allowed time that passes before the move.
const MIN_TRIAL_FRACTION: f64 = 0.5;
/// Time after the move within which calls that were on their way to old targets
/// have arrived or were declined.
const MOVE_SETTLE_TIME: Duration = Duration::from_millis(600);
/// Time before the deadline at which a moved roll-out completes, even if calls are
/// still running at old targets.
const FORCED_COMPLETION_BEFORE: Duration = Duration::from_millis(500);
/// Fewest calls of the new version that a good verdict is based on.
const MIN_VERDICT_CALLS: u64 = 40;
/// The same for a quiet service, which has fewer than [`QUIET_SERVICE_CALLS`].
const MIN_QUIET_VERDICT_CALLS: u64 = 5;
/// Calls of both versions during a roll-out below which a service counts as quiet.
const QUIET_SERVICE_CALLS: u64 = 800;
/// Time without a change in the number of new targets after which all of them are
/// taken to have started: they start within a second or two of each other.
const TARGETS_STABLE_TIME: Duration = Duration::from_millis(600);
/// Part of the allowed time after which a trial begins with the new targets that
/// have started, even if their number still changes.
const LATEST_TRIAL_START: f64 = 0.25;
/// Time before the deadline at which a roll-out that has not moved is rolled back.
const GIVE_UP_BEFORE: Duration = Duration::from_secs(1);

/// State of a roll-out as the deciding daemon sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutView {
    /// Current stage.
    pub stage: RolloutStage,
    /// Time since the stage began.
    pub stage_age: Duration,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time from the order to the deadline.
    pub allowed: Duration,
    /// Targets of the new version that take calls.
    pub new_targets: usize,
    /// Time since the number of new targets last changed.
    pub new_targets_stable_for: Duration,
    /// Targets of the old version that take calls.
    pub old_targets: usize,
    /// Comparison of the new version with the old one.
    pub verdict: Verdict,
    /// Calls that run or wait at old targets, as last reported.
    pub old_at_work: u32,
    /// Old targets whose daemons sent no recent report, or do not know the current
    /// stage yet.
    pub old_unheard: usize,
}

/// Calls and targets of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialSize {
    /// Calls of each thousand that go to the new version.
    pub per_mille: u16,
    /// Number of new targets that get these calls.
    pub canaries: usize,
}

impl ExposureBudget {
    /// Size of a trial that begins now, in the state `view`.
    #[must_use]
    pub fn trial_size(&self, view: &RolloutView) -> TrialSize {
        let (new, old) = (view.new_targets, view.old_targets);
        let trial_time = self.move_at(view.allowed).saturating_sub(view.elapsed);
        let expected = (view.verdict.call_rate() * trial_time.as_secs_f64()).max(1.0);
        let share =
            self.share * TRIAL_SHARE_FRACTION + self.slack * TRIAL_SLACK_FRACTION / expected;
        let per_mille = truncate_to_u64((share * 1_000.0).min(MAX_TRIAL_PER_MILLE));
        let per_mille = u16::try_from(per_mille).unwrap_or(u16::MAX);
        let equally_full =
            usize::try_from(truncate_to_u64((share * count_to_f64(old)).round())).unwrap_or(new);
        let canaries = match self.placement {
            TrialPlacement::FewTargets => equally_full.max(MIN_CANARIES).min(new),
            TrialPlacement::AllTargets => new,
        };
        TrialSize {
            per_mille: per_mille.max(1),
            canaries,
        }
    }

    /// Time from the order to the move of all calls to the new version.
    ///
    /// The move is late, so that a fault that appears only after some time is
    /// found in the trial. It leaves time for the calls at old targets to end
    /// before the deadline, but not if the trial would get less than half of the
    /// allowed time.
    #[must_use]
    pub fn move_at(&self, allowed: Duration) -> Duration {
        let latest = allowed.saturating_sub(self.longest_call + COMPLETION_MARGIN);
        latest.max(allowed.mul_f64(MIN_TRIAL_FRACTION))
    }

    /// The stage to enter now and the reason for it; `None` to stay in the current
    /// stage.
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
            RolloutStage::Trial { per_mille: 0 } => self.stage_after_waiting(view),
            RolloutStage::Trial { per_mille } => self.stage_after_trial(view, per_mille),
            RolloutStage::Moved => stage_after_move(view),
            RolloutStage::RolledBack | RolloutStage::Completed => None,
        }
    }

    /// Next stage of a roll-out that waits for its targets.
    fn stage_after_waiting(&self, view: &RolloutView) -> Option<(RolloutStage, StageReason)> {
        if view.elapsed + GIVE_UP_BEFORE >= view.allowed {
            return Some((RolloutStage::RolledBack, StageReason::NoTargets));
        }
        let are_targets_started = view.new_targets_stable_for >= TARGETS_STABLE_TIME
            || view.elapsed >= view.allowed.mul_f64(LATEST_TRIAL_START);
        if view.new_targets > 0 && are_targets_started {
            let trial = self.trial_size(view);
            let stage = RolloutStage::Trial {
                per_mille: trial.per_mille,
            };
            return Some((stage, StageReason::TargetsReady));
        }
        None
    }

    /// Next stage of a trial: the ramp, then the move. A trial that is as large as the
    /// ramp moves without one.
    fn stage_after_trial(
        &self,
        view: &RolloutView,
        per_mille: u16,
    ) -> Option<(RolloutStage, StageReason)> {
        let move_at = self.move_at(view.allowed);
        let is_good = view.verdict.looks_good() && has_enough_calls(&view.verdict);
        if view.elapsed + GIVE_UP_BEFORE >= view.allowed {
            return Some((RolloutStage::RolledBack, StageReason::TimeUp));
        }
        if per_mille >= RAMP_PER_MILLE {
            let is_due = view.stage_age >= RAMP_TIME && view.elapsed >= move_at;
            return (is_due && is_good).then_some((RolloutStage::Moved, StageReason::LooksGood));
        }
        let is_due = view.elapsed + RAMP_TIME >= move_at;
        (is_due && is_good).then_some((
            RolloutStage::Trial {
                per_mille: RAMP_PER_MILLE,
            },
            StageReason::LooksGood,
        ))
    }
}

/// Whether a verdict is based on enough calls for a service with this many. A
/// service that is hardly called at all passes.
fn has_enough_calls(verdict: &Verdict) -> bool {
    let is_unused = verdict.total_call_count() < MIN_QUIET_VERDICT_CALLS;
    let is_quiet = verdict.total_call_count() < QUIET_SERVICE_CALLS;
    let min_calls = if is_quiet {
        MIN_QUIET_VERDICT_CALLS
    } else {
        MIN_VERDICT_CALLS
    };
    is_unused || verdict.new_call_count() >= min_calls
}

/// Next stage after the move: completed, once the old targets may be stopped.
fn stage_after_move(view: &RolloutView) -> Option<(RolloutStage, StageReason)> {
    let completed = |reason| Some((RolloutStage::Completed, reason));
    if view.elapsed + FORCED_COMPLETION_BEFORE >= view.allowed {
        return completed(StageReason::OldUnheard);
    }
    let is_idle = view.old_at_work == 0 && view.old_unheard == 0;
    if view.stage_age >= MOVE_SETTLE_TIME && is_idle {
        return completed(StageReason::OldIdle);
    }
    None
}
