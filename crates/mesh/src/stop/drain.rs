//! Carries out a planned stop.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::planned_stop::MIN_DRAIN_TIME;
use tokio::signal::unix::{signal, Signal, SignalKind};

use super::{StopPhase, StopState};
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

/// Signals that order a stop.
pub struct StopSignals {
    sigterm: Signal,
    sigint: Signal,
}

impl StopSignals {
    /// Receives the signals from now on.
    ///
    /// # Errors
    /// If a signal handler cannot be installed.
    pub fn install() -> std::io::Result<StopSignals> {
        Ok(StopSignals {
            sigterm: signal(SignalKind::terminate())?,
            sigint: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals.
    async fn received(&mut self) {
        tokio::select! {
            _ = self.sigterm.recv() => {}
            _ = self.sigint.recv() => {}
        }
    }
}

/// Waits for a signal, then performs a planned stop. Returns when the process may exit.
pub async fn drain_on_signal(shared: Rc<MeshShared>, mut signals: StopSignals) {
    signals.received().await;
    let clock = Rc::clone(&shared.clock);
    let started = clock.now();
    let grace = shared.settings.borrow().times.grace;
    let stop = &shared.stop;
    log::info!("event=stop_ordered calls={}", stop.active_calls.get());
    let exit_deadline = started + grace.saturating_sub(EXIT_MARGIN);
    stop.begin(exit_deadline);
    while !may_close(stop, clock.now(), started, grace) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let closing_since = clock.now();
    stop.close(closing_since, exit_deadline);
    shared.gate.stop();
    log::info!(
        "event=stop_closing misses={} calls={} at_target={}",
        stop.failed_checks.get(),
        stop.active_calls.get(),
        shared.gate.calls_in_progress()
    );
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
            let is_idle = stop.active_calls.get() == 0 && shared.gate.calls_in_progress() == 0;
            if is_idle && clock.now() >= closing_since + MIN_DRAIN_TIME {
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
}

/// Waits until the answers to the calls that were read last are handed to their connections,
/// for [`LAST_ANSWERS_TIME`] at most.
async fn write_last_answers(shared: &MeshShared) {
    let until = shared.clock.now() + LAST_ANSWERS_TIME;
    loop {
        tokio::time::sleep(LAST_ANSWERS_POLL_INTERVAL).await;
        let stop = &shared.stop;
        let is_idle = stop.active_calls.get() == 0 && stop.unused_connections.get() == 0;
        if is_idle || shared.clock.now() >= until {
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
