//! What may be done with a call after an attempt: the rules that keep a call
//! from running twice and a caller from being told the wrong thing.

use std::time::Duration;

use filbert_tree::RouteSettings;
use rocket::http::Method;

/// How one attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target gave its whole answer.
    Answered,
    /// The target said that it did not run the call (draining, shedding load,
    /// or not the service meant).
    Declined,
    /// The connection was never made, so the target never saw the call.
    NotConnected,
    /// The call may have reached the target; no whole answer came.
    Lost,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the target's answer on.
    PassOn,
    /// Send the call to another target.
    SendAgain,
    /// Answer that the call was not run.
    SayNotRun,
    /// Answer that the outcome is unknown.
    SayUnknown,
}

/// What is left for a call after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Whether running the call twice does no harm.
    pub repeatable: bool,
    /// Whether an earlier attempt may have run it.
    pub may_have_run: bool,
    /// Whether attempts, time and the retry budget allow another one.
    pub another: bool,
}

/// Whether a call on a route may run twice: the route does not forbid it and
/// the method is idempotent.
#[must_use]
pub fn is_repeatable(method: Method, settings: &RouteSettings) -> bool {
    let idempotent = matches!(
        method,
        Method::Get | Method::Head | Method::Put | Method::Delete
    );
    idempotent && !settings.at_most_once
}

/// Decides what follows an attempt.
///
/// Guards against a call that runs twice: once an attempt may have run it,
/// only a repeatable call is sent again; any other ends as unknown. Guards
/// against telling a caller "not run" of a call that ran: that is said only
/// when every attempt ended before the target could have run it.
#[must_use]
pub fn next_step(end: AttemptEnd, allowance: RetryAllowance) -> NextStep {
    match end {
        AttemptEnd::Answered => NextStep::PassOn,
        AttemptEnd::Declined | AttemptEnd::NotConnected if allowance.another => NextStep::SendAgain,
        AttemptEnd::Lost if allowance.another && allowance.repeatable => NextStep::SendAgain,
        AttemptEnd::Lost => NextStep::SayUnknown,
        AttemptEnd::Declined | AttemptEnd::NotConnected => no_more_attempts(allowance),
    }
}

/// What to say when there is no further attempt and the last one did not run
/// the call.
#[must_use]
pub fn no_more_attempts(allowance: RetryAllowance) -> NextStep {
    if allowance.may_have_run {
        NextStep::SayUnknown
    } else {
        NextStep::SayNotRun
    }
}

/// Which kind of connection to a target an attempt goes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// One kept open from an earlier call, where there is one.
    Kept,
    /// One opened for this attempt.
    Fresh,
}

/// Which connection a first attempt goes over.
///
/// Guards against an order that ends as unknown because the kept connection
/// it was sent on had gone silent for good: a call that may not be sent
/// again gets a connection of its own, which costs it about 1 ms. A
/// repeatable call takes a kept one and has its second attempt besides.
#[must_use]
pub fn first_connection(repeatable: bool) -> ConnectionKind {
    if repeatable {
        ConnectionKind::Kept
    } else {
        ConnectionKind::Fresh
    }
}

/// How long to wait for an attempt before a second one is started beside it,
/// on another target where there is one and on a connection of its own; `None` when there must not be one.
///
/// Guards against a connection that went silent taking the whole time a
/// caller has: the second attempt answers while the first still hangs. The
/// first is not given up for it, so a target that is merely slow still
/// answers its call.
#[must_use]
pub fn second_attempt_after(
    left: Duration,
    retries_left: u32,
    repeatable: bool,
) -> Option<Duration> {
    (repeatable && retries_left > 0).then(|| left / (retries_left + 1))
}
