//! What the local target states in its answers about the calls that it still accepts.

use filbert_platform::headers::TargetStatement;
use filbert_policy::instance::{InstanceChange, InstanceKey};
use filbert_policy::rate_limit::{CallRate, RateStatement};

use super::run::CallRun;
use super::{Gate, GateState};

/// What one instance of the target has stated in its answers so far.
#[derive(Default)]
pub(super) struct InstanceStatements {
    /// Whether the log names a limit that could not be read.
    has_logged_unreadable_rate: bool,
}

impl Gate {
    /// The current instance of the target; an empty key before its first report.
    pub(super) fn current_instance(&self) -> InstanceKey {
        let state = self.state.borrow();
        state.tracker.current().map_or_else(
            || InstanceKey {
                id: String::new(),
                born: None,
            },
            |report| report.key.clone(),
        )
    }

    /// Records what the answer to `run` states. An answer of an instance that was
    /// replaced since says nothing about the present one.
    pub(super) fn record_statement(&self, run: &CallRun<'_>, statement: TargetStatement) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if !state.is_current(run.instance) {
            return;
        }
        let statements = &mut state.statements;
        if statement.rate == RateStatement::Unreadable && !statements.has_logged_unreadable_rate {
            statements.has_logged_unreadable_rate = true;
            log::warn!("event=target_limit_unreadable instance={}", run.instance);
        }
        let change = state
            .queue
            .record_statement(statement.rate, run.started_at, now);
        if let Some(change) = change {
            log::info!(
                "event=target_limit instance={} before={} after={}",
                run.instance,
                rate_text(change.before),
                rate_text(change.after)
            );
        }
        if change.is_some() {
            self.status_changed.notify_waiters();
        }
        if statement.is_leaving
            && state.tracker.leave(run.instance, now) == InstanceChange::Draining
        {
            log::info!("event=target_says_leaving instance={}", run.instance);
            self.status_changed.notify_waiters();
        }
    }
}

impl GateState {
    fn is_current(&self, instance: &InstanceKey) -> bool {
        self.tracker
            .current()
            .is_some_and(|report| report.key == *instance)
    }
}

/// A limit in calls per second, or `none`.
pub(super) fn rate_text(rate: Option<CallRate>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}
