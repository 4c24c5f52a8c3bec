//! Decides what follows an attempt to run a call, so that no call runs twice
//! unless it may, and so that the caller is told correctly whether it ran.

use crate::budget::RetryCause;

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target sent a complete answer.
    Answered,
    /// The target sent a complete answer with a failure status (5xx).
    AnsweredFailure,
    /// The call did not reach a target: the daemon in front of the target
    /// declined it, or no connection could be made.
    Declined,
    /// The quarantine held the call back. It did not reach a target.
    HeldBack,
    /// The target rejected the call and stated that it did not run it.
    Rejected,
    /// The call may have run, but no complete answer arrived.
    Lost,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Forward the target's answer to the caller.
    PassOn,
    /// Send the call to another target.
    SendAgain,
    /// Answer that the call did not run, with a time after which to retry.
    SayNotRun,
    /// Answer that it is unknown whether the call ran.
    SayUnknown,
}

/// Which further attempts a call allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Whether running the call twice harms neither its caller nor targets.
    pub repeatable: bool,
    /// Whether an earlier attempt may have run the call.
    pub may_have_run: bool,
    /// Whether the call can be sent to a target that it has not tried yet.
    pub has_other_target: bool,
    /// Number of targets that the call may still reach.
    pub attempts_left: u32,
}

impl RetryAllowance {
    fn final_step(self) -> NextStep {
        if self.may_have_run {
            NextStep::SayUnknown
        } else {
            NextStep::SayNotRun
        }
    }
}

/// Decides what follows an attempt that ended with `end`.
///
/// After an attempt that may have run the call, only a repeatable call is sent
/// again, so that no other call runs twice. The caller is told that the call
/// did not run only if every attempt ended before a target could run it.
///
/// `try_spend` takes one retry from the retry budget and returns whether the
/// budget allowed it. It is called only if all other conditions for the retry
/// hold.
#[must_use]
pub fn next_step(
    end: AttemptEnd,
    allowance: RetryAllowance,
    mut try_spend: impl FnMut(RetryCause) -> bool,
) -> NextStep {
    let can_try_again = allowance.has_other_target && allowance.attempts_left > 0;
    let can_repeat = can_try_again && allowance.repeatable;
    match end {
        AttemptEnd::AnsweredFailure if can_repeat && try_spend(RetryCause::Failed) => {
            NextStep::SendAgain
        }
        AttemptEnd::Answered | AttemptEnd::AnsweredFailure => NextStep::PassOn,
        // The call reached no target, so another attempt costs no retry budget.
        AttemptEnd::Declined if allowance.has_other_target => NextStep::SendAgain,
        AttemptEnd::Rejected if can_try_again && try_spend(RetryCause::NoAnswer) => {
            NextStep::SendAgain
        }
        AttemptEnd::Declined | AttemptEnd::HeldBack | AttemptEnd::Rejected => {
            allowance.final_step()
        }
        AttemptEnd::Lost if can_repeat && try_spend(RetryCause::NoAnswer) => NextStep::SendAgain,
        AttemptEnd::Lost => NextStep::SayUnknown,
    }
}
