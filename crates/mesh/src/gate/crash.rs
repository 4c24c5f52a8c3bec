//! Detects that the target has ended, and records crashes of it for the
//! quarantine.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::identity::CallIdentity;

use super::Gate;
use crate::messages::AgedCrash;

/// Shortest time for which no call is sent to a target that accepted no
/// connection, unless the target reports before. A live target reports soon;
/// each call that is sent to a dead one loses the time of a failed connect.
const MIN_DOWN_TIME: Duration = Duration::from_millis(500);

impl Gate {
    /// Marks the target as down after a failed connect, and drops the pooled
    /// connections. Returns how long the target stays down unless it reports.
    pub(super) fn mark_down(&self) -> Duration {
        let down_time = self.report_interval.get().max(MIN_DOWN_TIME);
        self.state.borrow_mut().down_until = Some(self.clock.now() + down_time);
        self.connections.clear();
        self.status_changed.notify_waiters();
        down_time
    }

    /// Checks whether the target has ended after the connection of a run was lost,
    /// and if so records a crash for the run's `call`, which started at `started_at`.
    /// Returns the crash for the daemon that sent the call; `None` if the target is
    /// still up or is leaving.
    ///
    /// A lost connection alone does not show a crash, so the check opens another
    /// one: only a target that has ended refuses it or does not accept it in time.
    /// A target that is leaving ends as planned, which is no evidence against the
    /// calls that it was running.
    pub(super) async fn record_crash_if_ended(
        &self,
        call: CallIdentity,
        started_at: Instant,
    ) -> Option<AgedCrash> {
        if self.is_leaving() {
            return None;
        }
        let is_up = match self
            .connections
            .check_accepts(self.address.get(), &self.clock)
            .await
        {
            Ok(()) => true,
            Err(error) => !matches!(
                error.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::TimedOut
            ),
        };
        if is_up {
            return None;
        }
        self.mark_down();
        Some(self.quarantine.record_crash(call, started_at))
    }

    /// Runs [`Gate::record_crash_if_ended`] in the background, for a run whose answer
    /// has already begun: the reply to the client's daemon is sent by then, so the crash
    /// cannot be part of it.
    pub(super) fn record_crash_in_background(
        self: &Rc<Self>,
        call: CallIdentity,
        started_at: Instant,
    ) {
        let gate = Rc::clone(self);
        tokio::task::spawn_local(async move { gate.record_crash_if_ended(call, started_at).await });
    }
}
