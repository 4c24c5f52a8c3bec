//! What the local target states in its answers about the calls that it still accepts
//! and about its pace.

use std::time::Instant;

use filbert_platform::headers::TargetStatement;
use filbert_policy::instance::{InstanceChange, InstanceKey};
use filbert_policy::pace::PaceStatement;
use filbert_policy::target_limit::{CallRate, LimitChange, LimitStatement};

use super::run::CallRun;
use super::{Gate, GateState};
use crate::logging::LinePriority;

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
        if statement.limit == LimitStatement::Unreadable && !state.has_logged_unreadable_limit {
            state.has_logged_unreadable_limit = true;
            log::warn!("event=target_limit_unreadable instance={}", run.instance);
        }
        self.record_pace(&mut state, run.instance, statement.pace, now);
        let change = state
            .queue
            .record_statement(statement.limit, run.started_at, now);
        if let Some(change) = change {
            log_limit(run.instance, change, "answer");
            self.status_changed.notify_waiters();
        }
        if statement.is_leaving
            && state.tracker.leave(run.instance, now) == InstanceChange::Draining
        {
            log::info!("event=target_says_leaving instance={}", run.instance);
            self.status_changed.notify_waiters();
        }
    }

    /// Records the pace that `instance` states. A change by a level is logged and sent to
    /// other daemons.
    fn record_pace(
        &self,
        state: &mut GateState,
        instance: &InstanceKey,
        statement: PaceStatement,
        now: Instant,
    ) {
        if statement == PaceStatement::Unreadable && !state.has_logged_unreadable_pace {
            state.has_logged_unreadable_pace = true;
            log::warn!("event=target_pace_unreadable instance={instance}");
        }
        let Some(change) = state.pace.record(statement, now) else {
            return;
        };
        self.pace_changed.notify_waiters();
        if self.log_limiter.allows(LinePriority::Notable, now) {
            log::info!(
                "event=target_pace instance={instance} before={:.2} after={:.2}",
                change.before,
                change.after
            );
        }
    }

    /// Restores the limit of `instance` after a restart of this daemon, as a peer
    /// remembers it.
    pub fn restore_limit(&self, instance: &InstanceKey, rate: CallRate) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.reported_limits.record(instance, rate);
        state.restore_reported_limit(now);
    }
}

impl GateState {
    /// Applies the limit that peers have reported, if it is one of the current instance
    /// and the instance itself has not stated any.
    pub(super) fn restore_reported_limit(&mut self, now: Instant) {
        let Some(instance) = self.tracker.current().map(|report| report.key.clone()) else {
            return;
        };
        let reported = self.reported_limits.of(&instance);
        if let Some(change) = reported.and_then(|rate| self.queue.restore_limit(rate, now)) {
            log_limit(&instance, change, "peer");
        }
    }

    fn is_current(&self, instance: &InstanceKey) -> bool {
        self.tracker
            .current()
            .is_some_and(|report| report.key == *instance)
    }
}

/// Logs a change of the limit of `instance`, and `from` whom it is known.
fn log_limit(instance: &InstanceKey, change: LimitChange, from: &str) {
    log::info!(
        "event=target_limit instance={instance} before={} after={} from={from}",
        rate_text(change.before),
        rate_text(change.after)
    );
}

/// A limit in calls per second, or `none`.
pub(super) fn rate_text(rate: Option<CallRate>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}
