//! What the gate knows of its target after a restart of the daemon.

use std::time::Instant;

use filbert_policy::first_report::TargetNews;
use filbert_policy::instance::InstanceKey;

use super::{Gate, GateState};

impl Gate {
    /// Waits until the target has reported itself.
    pub async fn first_report(&self) {
        loop {
            let status_changed = self.status_changed.notified();
            if self.state.borrow().tracker.current().is_some() {
                return;
            }
            status_changed.await;
        }
    }

    /// What has been heard of the target on this host since the start of this daemon.
    #[must_use]
    pub fn target_news(&self) -> TargetNews {
        let state = self.state.borrow();
        if state.tracker.current().is_some() && state.restart_check.allows_calls() {
            TargetNews::Heard
        } else {
            TargetNews::UnreportedSince(self.started_at)
        }
    }

    /// The key under which the instance that `key` names has reported itself; `key` if it
    /// names another one.
    #[must_use]
    pub fn reported_key(&self, key: &InstanceKey) -> InstanceKey {
        self.state.borrow().tracker.reported_key(key)
    }

    /// Whether all shutdowns that this host's daemon acknowledged before its restart are
    /// known.
    #[must_use]
    pub fn are_shutdowns_known(&self) -> bool {
        self.state.borrow().restart_check.are_shutdowns_known()
    }

    /// Applies the shutdowns that this host's daemon acknowledged before its restart,
    /// which are all those of `instances`.
    pub fn restore_shutdowns(&self, instances: &[InstanceKey]) {
        let now = self.clock.now();
        {
            let mut state = self.state.borrow_mut();
            for instance in instances {
                state.tracker.mark_left_before_restart(instance, now);
            }
            state.restart_check.record_shutdowns_known();
        }
        self.status_changed.notify_waiters();
    }

    /// Checks with a report of `instance` whether the target may get calls after a restart
    /// of the daemon.
    pub(super) fn check_after_restart(
        &self,
        state: &mut GateState,
        instance: &InstanceKey,
        now: Instant,
    ) {
        let allowed_calls = state.restart_check.allows_calls();
        let interval = self.report_interval.get();
        state.restart_check.record_report(instance, interval, now);
        match (allowed_calls, state.restart_check.allows_calls()) {
            (false, true) => {
                log::info!("event=target_confirmed instance={instance} by=reports");
                self.status_changed.notify_waiters();
            }
            (_, false) => log::info!("event=target_unconfirmed instance={instance}"),
            (true, true) => {}
        }
    }
}
