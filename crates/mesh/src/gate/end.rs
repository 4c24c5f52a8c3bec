//! Whether the target has ended, and under which calls.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::identity::CallIdentity;

use super::Gate;
use crate::quarantine::AgedCrash;

/// Shortest time for which a target that took no connection is left alone,
/// unless it reports. A live one reports soon; each try at a dead one costs a
/// call the time of a connection that is not made.
const DOWN_PAUSE: Duration = Duration::from_millis(500);

impl Gate {
    /// Leaves a target alone that took no connection; how long, unless it
    /// reports.
    pub(super) fn mark_down(&self) -> Duration {
        let pause = self.report_every.get().max(DOWN_PAUSE);
        self.state.borrow_mut().down_until = Some(self.clock.now() + pause);
        self.connections.clear();
        self.status_changed.notify_waiters();
        pause
    }

    /// Marks `call`, whose run began at `began` and was broken off, if the
    /// target has ended.
    ///
    /// A lost answer and a target that ended look alike on the connection; only
    /// the latter takes no new one. An end that was planned says nothing about
    /// the calls that were cut by it.
    pub(super) async fn mark_if_ended(
        &self,
        call: CallIdentity,
        began: Instant,
    ) -> Option<AgedCrash> {
        if self.is_leaving() {
            return None;
        }
        let is_up = match self
            .connections
            .check(self.address.get(), &self.clock)
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
        Some(self.quarantine.record_crash(call, began))
    }

    /// The same for a run whose answer had begun; nobody waits for the mark.
    pub(super) fn mark_later(self: &Rc<Self>, call: CallIdentity, began: Instant) {
        let gate = Rc::clone(self);
        tokio::task::spawn_local(async move { gate.mark_if_ended(call, began).await });
    }
}
