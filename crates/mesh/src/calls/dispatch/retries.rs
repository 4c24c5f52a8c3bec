//! Decides whether a call is sent to another target, and charges the retry budget.

use filbert_policy::attempt::{next_step, AttemptEnd, NextStep, RetryAllowance};
use filbert_policy::budget::RetryCause;

use super::{CallDispatch, MAX_DECLINES, MIN_ATTEMPT_TIME};

impl CallDispatch<'_> {
    pub(super) fn decide_next_step(&self, end: AttemptEnd) -> NextStep {
        next_step(
            end,
            self.retry_allowance(self.delivered_attempts),
            |cause| self.is_retry_paid.take() || self.try_spend(cause),
        )
    }

    /// Returns which further attempts are allowed after `delivered_attempts` attempts
    /// that may have reached a target.
    fn retry_allowance(&self, delivered_attempts: u32) -> RetryAllowance {
        let now = self.shared.clock.now();
        let time_left = self.deadline.saturating_duration_since(now);
        RetryAllowance {
            // A suspect, a call during whose runs two targets have crashed since its last
            // success, is not sent to a third one by a daemon.
            repeatable: self.route.kind.is_repeatable() && !self.is_suspect(),
            may_have_run: self.progress.may_have_run.get(),
            has_other_target: self.declines < MAX_DECLINES
                && self.replay_body.is_replayable()
                && time_left > MIN_ATTEMPT_TIME,
            attempts_left: self.route.max_attempts.saturating_sub(delivered_attempts),
        }
    }

    /// Returns whether the call may be sent to another target while the outcome of
    /// the attempt at `host` is still unknown. If so, the retry budget is charged for
    /// the other attempt.
    pub(super) fn try_reserve_retry(&self, host: &str) -> bool {
        let mut tried_hosts = self.tried_hosts.clone();
        tried_hosts.push(host.to_owned());
        let retry_allowance = self.retry_allowance(self.delivered_attempts + 1);
        let step = next_step(AttemptEnd::Lost, retry_allowance, |cause| {
            self.pick_target(&tried_hosts).is_some() && self.try_spend(cause)
        });
        let is_reserved = step == NextStep::SendAgain;
        self.is_retry_paid.set(is_reserved);
        is_reserved
    }

    fn try_spend(&self, cause: RetryCause) -> bool {
        let daemon_count = self.shared.daemon_count();
        let now = self.shared.clock.now();
        let mut budget = self.shared.retry_budget.borrow_mut();
        budget.try_spend(self.head.budget_account(), cause, daemon_count, now)
    }
}
