//! Planned stop of the daemon. It reports that it is not ready and goes on serving
//! until callers have moved to other hosts. Then it closes its persistent connections,
//! each behind the calls that were read, and exits when no call is left. Clients that have
//! nowhere else to go are served until the process ends; a call that cannot be answered by
//! then is refused.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;

use crate::rows;
use crate::state::MeshShared;

/// Number of failed readiness checks after which the platform sends callers elsewhere.
const FAILED_CHECKS_TO_REROUTE: u32 = 2;
/// Time from the last failed readiness check until callers use other hosts.
const REROUTE_DELAY: Duration = Duration::from_millis(300);
/// Longest time for which the daemon waits for failed readiness checks, as a fraction of
/// the grace time.
const MAX_NOT_READY_FRACTION: f64 = 0.55;
/// Time before the end of the grace time at which the process exits by itself. The last
/// log lines take up to 0.2 s, and the process runs only once in 0.1 s on a host with a
/// tenth of a core. This is at most a sixth of a grace time of 3 s or more.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which a stop checks whether it can go on.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that the last answers get to reach their connections.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Interval at which the end of the last answers is checked.
const LAST_ANSWERS_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time without calls before the process exits, so that calls on connections that were
/// opened just before are answered.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop is in progress.
    #[default]
    Serving,
    /// Readiness checks fail; calls are still served.
    NotReady,
    /// The connections that are open are closed behind the calls that were read, or behind
    /// one more.
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
    last_call_end: Cell<Option<Instant>>,
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
        stop.last_call_end.set(Some(self.shared.clock.now()));
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

    /// Records a readiness check that failed because of the stop.
    pub fn record_failed_check(&self, now: Instant) {
        self.failed_checks.set(self.failed_checks.get() + 1);
        self.last_failed_check.set(Some(now));
    }
}

/// Waits for SIGTERM or SIGINT, then performs a planned stop. Returns when the process
/// may exit.
///
/// # Errors
/// If a signal handler cannot be installed.
pub async fn drain_on_signal(shared: Rc<MeshShared>) -> std::io::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
    }
    let clock = Rc::clone(&shared.clock);
    let started = clock.now();
    let grace = shared.settings.borrow().times.grace;
    let stop = &shared.stop;
    log::info!("event=stop_ordered calls={}", stop.active_calls.get());
    let exit_deadline = started + grace.saturating_sub(EXIT_MARGIN);
    stop.exit_deadline.set(Some(exit_deadline));
    stop.enter(StopPhase::NotReady);
    while !may_close(stop, clock.now(), started, grace) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    stop.enter(StopPhase::Closing);
    shared.gate.stop();
    log::info!(
        "event=stop_closing misses={} calls={} at_target={}",
        stop.failed_checks.get(),
        stop.active_calls.get(),
        shared.gate.calls_in_progress()
    );
    let closing_since = clock.now();
    // Waits for the store to confirm the removal of the row and for the last calls at the
    // same time. One after the other, they took longer than the grace time when the store
    // did not respond, and the daemon was killed.
    let row_removal = async {
        // The target has announced that it leaves for good, and its host with it. The row
        // is removed so that no daemon expects this host any more.
        if shared.gate.is_leaving() {
            rows::remove_own_row(&shared).await;
        }
    };
    let last_calls = async {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let quiet_since = stop
                .last_call_end
                .get()
                .unwrap_or(closing_since)
                .max(closing_since);
            let is_idle = stop.active_calls.get() == 0 && shared.gate.calls_in_progress() == 0;
            if is_idle && clock.now() >= quiet_since + QUIET_PERIOD {
                break;
            }
        }
    };
    let all_done = async { tokio::join!(row_removal, last_calls) };
    if tokio::time::timeout_at(exit_deadline.into(), all_done)
        .await
        .is_err()
    {
        log::warn!("event=stop_cut_short reason=\"the grace time is over\"");
    }
    stop.enter(StopPhase::Ending);
    write_last_answers(&shared).await;
    log::info!(
        "event=stopped calls={} at_target={}",
        stop.active_calls.get(),
        shared.gate.calls_in_progress()
    );
    Ok(())
}

/// Waits until the answers to the calls that were read last are handed to their connections,
/// for [`LAST_ANSWERS_TIME`] at most.
async fn write_last_answers(shared: &MeshShared) {
    let until = shared.clock.now() + LAST_ANSWERS_TIME;
    loop {
        tokio::time::sleep(LAST_ANSWERS_POLL_INTERVAL).await;
        if shared.stop.active_calls.get() == 0 || shared.clock.now() >= until {
            return;
        }
    }
}

/// Returns whether the stop may go on to [`StopPhase::Closing`]: callers have been sent
/// elsewhere, or the time to wait for this is over.
fn may_close(stop: &StopState, now: Instant, started: Instant, grace: Duration) -> bool {
    let are_callers_elsewhere = stop.failed_checks.get() >= FAILED_CHECKS_TO_REROUTE
        && stop
            .last_failed_check
            .get()
            .is_some_and(|checked_at| now >= checked_at + REROUTE_DELAY);
    are_callers_elsewhere || now >= started + grace.mul_f64(MAX_NOT_READY_FRACTION)
}
