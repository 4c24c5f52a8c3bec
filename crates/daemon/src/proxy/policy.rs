//! The retry policy: what follows an attempt, over which kind of connection a
//! call is sent, and when a hedged attempt starts. The rules keep a call that
//! must not be repeated from running twice, and a caller from getting a wrong
//! outcome.

use std::time::Duration;

use filbert_tree::RouteSettings;
use rocket::http::Method;

/// How one attempt to send a call to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target's complete answer arrived.
    Answered,
    /// The target answered that it did not run the call (draining, shedding
    /// load, or not of the service that the call is for).
    Declined,
    /// No connection was established, so the target did not receive the call.
    NotConnected,
    /// The call may have reached the target, but no complete answer arrived.
    Lost,
}

/// What the proxy does after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Return the target's answer to the caller.
    PassOn,
    /// Send the call to another target.
    SendAgain,
    /// Answer that the call did not run.
    SayNotRun,
    /// Answer that the call may have run.
    SayUnknown,
}

/// The conditions that decide whether a call is retried after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether one of the call's attempts may have run the call.
    pub may_have_run: bool,
    /// Whether the route's number of retries, the time left and the retry
    /// budget allow another attempt.
    pub can_retry: bool,
}

/// Returns whether a call may run more than once: its method is idempotent and
/// its route is not marked at-most-once.
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
/// After an attempt that may have run the call, only a repeatable call is sent
/// again; any other call ends with the outcome unknown, so that it cannot run
/// twice. The outcome is "not run" only if every attempt ended before a target
/// could have run the call, so that no caller is told "not run" for a call
/// that ran.
#[must_use]
pub fn next_step(end: AttemptEnd, allowance: RetryAllowance) -> NextStep {
    match end {
        AttemptEnd::Answered => NextStep::PassOn,
        AttemptEnd::Declined | AttemptEnd::NotConnected if allowance.can_retry => {
            NextStep::SendAgain
        }
        AttemptEnd::Lost if allowance.can_retry && allowance.repeatable => NextStep::SendAgain,
        AttemptEnd::Lost => NextStep::SayUnknown,
        AttemptEnd::Declined | AttemptEnd::NotConnected => final_step(allowance),
    }
}

/// Returns the step that ends a call when no further attempt is made and the
/// last attempt did not run the call.
#[must_use]
pub fn final_step(allowance: RetryAllowance) -> NextStep {
    if allowance.may_have_run {
        NextStep::SayUnknown
    } else {
        NextStep::SayNotRun
    }
}

/// The kind of connection on which an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// A connection from the pool; a new one if the pool has none.
    Pooled,
    /// A connection that is opened for this attempt alone.
    New,
}

/// Returns the kind of connection for an attempt that is not hedged.
///
/// A call that is not repeatable gets a new connection, which costs about
/// 1 ms. On a pooled connection whose other end no longer responds, the call
/// would be lost and its outcome unknown. A repeatable call uses a pooled
/// connection, as a hedged attempt can still answer the call.
#[must_use]
pub fn connection_kind(repeatable: bool) -> ConnectionKind {
    if repeatable {
        ConnectionKind::Pooled
    } else {
        ConnectionKind::New
    }
}

/// Returns how long an attempt may run before a hedged attempt starts in
/// parallel: the time left, divided equally among the running attempt and the
/// retries left. Returns `None` if the call is not repeatable or has no
/// retries left.
///
/// The hedged attempt uses a new connection, and another target if there is
/// one. Otherwise a connection whose other end no longer responds would use up
/// the call's whole deadline. The running attempt continues, so that a target
/// that is only slow can still answer.
#[must_use]
pub fn hedge_delay(time_left: Duration, retries_left: u32, repeatable: bool) -> Option<Duration> {
    (repeatable && retries_left > 0).then(|| time_left / (retries_left + 1))
}
