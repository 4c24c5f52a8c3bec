//! A planned stop, step by step: say not ready, serve on until nobody sends
//! new work, close kept connections behind their last answer, end.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;

use crate::rows;
use crate::state::MeshShared;

/// Readiness checks answered with "no" after which callers are sent elsewhere.
const MISSES: u32 = 2;
/// Time from the last such check until callers act on it.
const MISS_MARGIN: Duration = Duration::from_millis(300);
/// Longest time spent waiting for the checks, as a share of the grace time.
const LONGEST_LEAVING: f64 = 0.55;
/// Time before the end of the grace time at which the process ends by itself:
/// the last log lines take up to 0.2 s, and a host with a tenth of a core has its
/// turn once in 0.1 s. Within the last sixth of any grace time from 3 s on.
const LAST_MARGIN: Duration = Duration::from_millis(500);
/// How often the steps are checked.
const CHECK_EVERY: Duration = Duration::from_millis(50);
/// Quiet time before the process ends: connections made just before have
/// their call answered.
const QUIET: Duration = Duration::from_millis(300);

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// None is under way.
    #[default]
    Serving,
    /// Not ready any more; callers still come.
    Leaving,
    /// Answers close their connections; idle ones are closed.
    Closing,
}

/// The state of a planned stop.
#[derive(Default)]
pub struct StopState {
    phase: Cell<StopPhase>,
    misses: Cell<u32>,
    last_miss: Cell<Option<Instant>>,
    calls: Cell<u32>,
    last_call: Cell<Option<Instant>>,
    exit_deadline: Cell<Option<Instant>>,
    /// Wakes connections when the phase changes.
    pub phase_changed: Notify,
}

/// Counts a call, of a client or of another daemon, from when it is taken until
/// its answer is handed to its connection.
///
/// Guards against stops that cut an answer whose run is over: it still leaves
/// over a slow link, read ahead of its taker, while nothing is in work at the
/// target any more.
pub struct ActiveCallGuard {
    shared: Rc<MeshShared>,
}

impl ActiveCallGuard {
    /// Counts a call from now on.
    #[must_use]
    pub fn new(shared: &Rc<MeshShared>) -> ActiveCallGuard {
        let stop = &shared.stop;
        stop.calls.set(stop.calls.get() + 1);
        ActiveCallGuard {
            shared: Rc::clone(shared),
        }
    }
}

impl Drop for ActiveCallGuard {
    fn drop(&mut self) {
        let stop = &self.shared.stop;
        stop.calls.set(stop.calls.get().saturating_sub(1));
        stop.last_call.set(Some(self.shared.clock.now()));
    }
}

impl StopState {
    /// Whether a stop is under way.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.phase.get() > StopPhase::Serving
    }

    /// Whether connections are to be closed behind their last answer.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.phase.get() == StopPhase::Closing
    }

    /// When the process ends at the latest, while a stop is under way: a call
    /// taken now has no more time than that, whatever its client would wait.
    #[must_use]
    pub fn exit_deadline(&self) -> Option<Instant> {
        self.exit_deadline.get()
    }

    /// Counts a readiness check that was answered with "no" during the stop.
    pub fn record_failed_check(&self, now: Instant) {
        self.misses.set(self.misses.get() + 1);
        self.last_miss.set(Some(now));
    }
}

/// Waits for the order to stop and sees the stop through; returns when the
/// process may end.
///
/// # Errors
/// When the signal cannot be watched.
pub async fn drain_on_signal(shared: Rc<MeshShared>) -> std::io::Result<()> {
    let mut ordered = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = ordered.recv() => {}
        _ = interrupted.recv() => {}
    }
    let clock = Rc::clone(&shared.clock);
    let began = clock.now();
    let grace = shared.settings.borrow().times.grace;
    let stop = &shared.stop;
    log::info!("event=stop_ordered calls={}", stop.calls.get());
    let last = began + grace.saturating_sub(LAST_MARGIN);
    stop.exit_deadline.set(Some(last));
    stop.phase.set(StopPhase::Leaving);
    while !may_close(stop, clock.now(), began, grace) {
        tokio::time::sleep(CHECK_EVERY).await;
    }
    stop.phase.set(StopPhase::Closing);
    shared.gate.stop();
    stop.phase_changed.notify_waiters();
    log::info!(
        "event=stop_closing misses={} calls={} at_target={}",
        stop.misses.get(),
        stop.calls.get(),
        shared.gate.in_work()
    );
    let closing = clock.now();
    // Guards against a daemon that is ended by force: the store's word on the
    // row and the last calls are waited for side by side. One behind the other
    // they took longer than the grace time when the store was silent.
    let row = async {
        // The host goes with its target: nobody is to look for it any more.
        if shared.gate.has_left() {
            rows::part(&shared).await;
        }
    };
    let calls = async {
        loop {
            tokio::time::sleep(CHECK_EVERY).await;
            let quiet_since = stop.last_call.get().unwrap_or(closing).max(closing);
            let is_idle = stop.calls.get() == 0 && shared.gate.in_work() == 0;
            if is_idle && clock.now() >= quiet_since + QUIET {
                break;
            }
        }
    };
    let all_done = async { tokio::join!(row, calls) };
    if tokio::time::timeout_at(last.into(), all_done)
        .await
        .is_err()
    {
        log::warn!("event=stop_cut_short reason=\"the grace time is over\"");
    }
    log::info!(
        "event=stopped calls={} at_target={}",
        stop.calls.get(),
        shared.gate.in_work()
    );
    Ok(())
}

fn may_close(stop: &StopState, now: Instant, began: Instant, grace: Duration) -> bool {
    let was_missed = stop.misses.get() >= MISSES
        && stop
            .last_miss
            .get()
            .is_some_and(|last| now >= last + MISS_MARGIN);
    was_missed || now >= began + grace.mul_f64(LONGEST_LEAVING)
}
