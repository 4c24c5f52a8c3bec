//! What may be done with a call after an attempt: the rules that keep a call
//! from running twice and a caller from being told the wrong thing.

use crate::budget::RetryCause;

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target gave its whole answer.
    Answered,
    /// The target gave its whole answer, a failure of its own (5xx).
    AnsweredFailure,
    /// The call certainly did not run: declined by the daemon in front of the
    /// target, or no connection to it was made. The target saw nothing.
    Declined,
    /// The call is held back; no target saw it.
    HeldBack,
    /// The target itself rejected the call and said that it did not run it.
    Rejected,
    /// The call may have run; no whole answer came.
    Lost,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the target's answer on.
    PassOn,
    /// Send the call to another target.
    SendAgain,
    /// Answer that the call was not run, with a time to come back.
    SayNotRun,
    /// Answer that the outcome is unknown.
    SayUnknown,
}

/// What is left for a call after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Whether running the call twice does no harm, to its caller or to targets.
    pub repeatable: bool,
    /// Whether an earlier attempt may have run it.
    pub may_have_run: bool,
    /// Whether a target that was not tried yet would take it.
    pub has_other_target: bool,
    /// Targets that the call may still be sent to.
    pub attempts_left: u32,
}

impl RetryAllowance {
    fn say_end(self) -> NextStep {
        if self.may_have_run {
            NextStep::SayUnknown
        } else {
            NextStep::SayNotRun
        }
    }
}

/// Decides what follows an attempt.
///
/// Guards against a call that runs twice: once an attempt may have run it,
/// only a repeatable call is sent again; any other ends as unknown. Guards
/// against telling a caller "not run" of a call that ran: that is said only
/// when every attempt ended before a target could have run it.
///
/// `try_spend` takes one arrival from the shared budget; it is asked only when
/// nothing else stands against another one.
#[must_use]
pub fn next_step(
    end: AttemptEnd,
    allowance: RetryAllowance,
    mut try_spend: impl FnMut(RetryCause) -> bool,
) -> NextStep {
    let again = allowance.has_other_target && allowance.attempts_left > 0;
    let repeat = again && allowance.repeatable;
    match end {
        AttemptEnd::AnsweredFailure if repeat && try_spend(RetryCause::Failed) => {
            NextStep::SendAgain
        }
        AttemptEnd::Answered | AttemptEnd::AnsweredFailure => NextStep::PassOn,
        // No target saw it, so another try is no repeat and costs no budget.
        AttemptEnd::Declined if allowance.has_other_target => NextStep::SendAgain,
        AttemptEnd::Rejected if again && try_spend(RetryCause::NoAnswer) => NextStep::SendAgain,
        AttemptEnd::Declined | AttemptEnd::HeldBack | AttemptEnd::Rejected => allowance.say_end(),
        AttemptEnd::Lost if repeat && try_spend(RetryCause::NoAnswer) => NextStep::SendAgain,
        AttemptEnd::Lost => NextStep::SayUnknown,
    }
}
