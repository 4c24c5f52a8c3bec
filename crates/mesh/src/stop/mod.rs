//! Planned stop of the daemon. It reports that it is not ready and goes on serving
//! until callers have moved to other hosts. Then it closes its persistent connections,
//! each behind the calls that were read, and exits when no call is left. A call that would
//! end later than those is refused.

mod drain;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::planned_stop::drain_end;
use tokio::sync::Notify;

use crate::state::MeshShared;
pub use drain::{drain_on_signal, StopSignals};

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop is in progress.
    #[default]
    Serving,
    /// Readiness checks fail; calls are still served.
    NotReady,
    /// The connections that are open are closed behind the calls that were read, or behind
    /// one more. Only calls are accepted that do not prolong the stop.
    Closing,
    /// The process ends: no connection is accepted, and each call that is left is answered
    /// at once.
    Ending,
}

/// State of a planned stop, and the calls that it waits for.
#[derive(Default)]
pub struct StopState {
    phase: Cell<StopPhase>,
    /// Number of readiness checks that failed during the stop.
    failed_checks: Cell<u32>,
    last_failed_check: Cell<Option<Instant>>,
    /// Number of [`ActiveCallGuard`]s.
    active_calls: Cell<u32>,
    /// Number of [`UnusedConnection`]s.
    unused_connections: Cell<u32>,
    /// Latest time at which a call that was accepted is expected to end.
    last_expected_end: Cell<Option<Instant>>,
    /// Time by which calls must end that are accepted now; `None` if no stop is in progress.
    accept_until: Cell<Option<Instant>>,
    /// Time at which the process exits at the latest; `None` if no stop is in progress.
    exit_deadline: Cell<Option<Instant>>,
    /// Notified of each change of the phase.
    phase_changed: Notify,
}

/// Counts a call of a client or of another daemon as active until dropped, from its
/// reception until its whole answer is handed to its connection.
///
/// Without this count, a stop would cut off an answer that the target has finished but
/// that is still buffered here and sent over a slow link: the gate has no call in
/// progress at that time.
pub struct ActiveCallGuard {
    shared: Rc<MeshShared>,
}

impl ActiveCallGuard {
    /// Counts a call as active from now on.
    #[must_use]
    pub fn new(shared: &Rc<MeshShared>) -> ActiveCallGuard {
        let stop = &shared.stop;
        stop.active_calls.set(stop.active_calls.get() + 1);
        ActiveCallGuard {
            shared: Rc::clone(shared),
        }
    }
}

impl Drop for ActiveCallGuard {
    fn drop(&mut self) {
        let stop = &self.shared.stop;
        stop.active_calls
            .set(stop.active_calls.get().saturating_sub(1));
    }
}

/// Counts a client's connection as unused until dropped, from its opening until its first
/// call has been read. Without this count, a stop would end under a connection that it has just accepted.
pub struct UnusedConnection {
    shared: Rc<MeshShared>,
}

impl UnusedConnection {
    /// Counts a connection as unused from now on.
    #[must_use]
    pub fn new(shared: &Rc<MeshShared>) -> UnusedConnection {
        let count = &shared.stop.unused_connections;
        count.set(count.get() + 1);
        UnusedConnection {
            shared: Rc::clone(shared),
        }
    }
}

impl Drop for UnusedConnection {
    fn drop(&mut self) {
        let count = &self.shared.stop.unused_connections;
        count.set(count.get().saturating_sub(1));
    }
}

impl StopState {
    /// Returns whether a planned stop is in progress.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.phase.get() > StopPhase::Serving
    }

    /// Returns the phase of the stop.
    #[must_use]
    pub fn phase(&self) -> StopPhase {
        self.phase.get()
    }

    /// Waits for the next change of the phase.
    pub async fn phase_changed(&self) {
        self.phase_changed.notified().await;
    }

    /// Waits until the stop has reached `phase`.
    pub async fn reached(&self, phase: StopPhase) {
        loop {
            let changed = self.phase_changed.notified();
            if self.phase.get() >= phase {
                return;
            }
            changed.await;
        }
    }

    fn enter(&self, phase: StopPhase) {
        self.phase.set(phase);
        self.phase_changed.notify_waiters();
    }

    /// Returns the time until the process exits at the latest; `None` if no stop is in
    /// progress. A call has no more time than that, however long its client would wait.
    #[must_use]
    pub fn time_to_exit(&self, now: Instant) -> Option<Duration> {
        let exit_deadline = self.exit_deadline.get()?;
        Some(exit_deadline.saturating_duration_since(now))
    }

    /// Returns the time within which a call must end that is accepted now; `None` if no stop
    /// is in progress.
    #[must_use]
    pub fn time_to_accept(&self, now: Instant) -> Option<Duration> {
        let accept_until = self.accept_until.get()?;
        Some(accept_until.saturating_duration_since(now))
    }

    /// Records that a call was accepted which is expected to end at `expected_end`.
    pub fn record_expected_end(&self, expected_end: Instant) {
        let last = self.last_expected_end.get();
        self.last_expected_end.set(last.max(Some(expected_end)));
    }

    /// Begins a stop of a process that exits at `exit_deadline` at the latest.
    fn begin(&self, exit_deadline: Instant) {
        self.exit_deadline.set(Some(exit_deadline));
        self.accept_until.set(Some(exit_deadline));
        self.enter(StopPhase::NotReady);
    }

    /// Begins to close connections. From now on, only calls are accepted that do not prolong
    /// the stop.
    fn close(&self, now: Instant, exit_deadline: Instant) {
        let end = drain_end(now, self.last_expected_end.get(), exit_deadline);
        self.accept_until.set(Some(end));
        self.enter(StopPhase::Closing);
    }

    /// Records a readiness check that failed because of the stop.
    pub fn record_failed_check(&self, now: Instant) {
        self.failed_checks.set(self.failed_checks.get() + 1);
        self.last_failed_check.set(Some(now));
    }
}
