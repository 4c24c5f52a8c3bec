//! Estimates of run times at the local target.
//!
//! Every estimate is the long-term run time, multiplied by the target's pace now, and by
//! the cold factor of placement while the target is cold. At a target that states no pace
//! it is the average of its runs, which then contain both factors.

use std::time::{Duration, Instant};

use filbert_policy::admission::LinkTime;
use filbert_policy::numbers::count_to_f64;
use filbert_policy::pace::{PaceMark, TargetPace};
use filbert_policy::placement::COLD_RUN_TIME_FACTOR;
use filbert_policy::run_times::RunTime;

use super::{Gate, GateState};
use crate::messages::CallHead;

/// Multiple of a run's expected time from which the run is overdue.
const OVERDUE_FACTOR: f64 = 2.0;

/// Expected run time of a call at the local target.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunEstimate {
    /// Long-term run time.
    pub(super) long_term: RunTime,
    /// Run time if the call starts now.
    pub(super) now: RunTime,
}

impl Gate {
    /// Estimates the run time of `call` at the local target.
    #[must_use]
    pub fn estimate_run_time(&self, call: &CallHead) -> RunTime {
        self.run_estimate(call).now
    }

    pub(super) fn run_estimate(&self, call: &CallHead) -> RunEstimate {
        let expected_run_time = call.expected_run_time.map(RunTime::from);
        let state = self.state.borrow();
        let long_term = state.run_times.expect(&call.kind, expected_run_time);
        let factor = state.run_factor(self.clock.now());
        RunEstimate {
            long_term,
            now: factor.map_or(long_term, |factor| long_term.slowed_by(factor)),
        }
    }

    /// Ratio of the target's run times now to the usual ones; 1 if it states no pace.
    #[must_use]
    pub fn pace_factor(&self) -> f64 {
        let pace = self.state.borrow().pace.current(self.clock.now());
        pace.map_or(1.0, TargetPace::factor)
    }

    /// Returns the time that the answer to `call` would need on this host's link:
    /// its queueing delay, less the part that passes during the run, and its
    /// transmission time.
    #[must_use]
    pub fn link_time(&self, call: &CallHead) -> LinkTime {
        let bytes = call.answer_bytes;
        LinkTime {
            wait: self
                .egress
                .queueing_delay(bytes)
                .saturating_sub(self.estimate_run_time(call).mean),
            send: self.egress.transmission_time(bytes),
        }
    }
}

impl GateState {
    /// Ratio of the run times now to the long-term ones; `None` if the target states no
    /// pace.
    pub(super) fn run_factor(&self, now: Instant) -> Option<f64> {
        let pace = self.pace.current(now).map_or(1.0, TargetPace::factor);
        self.pace
            .has_statement()
            .then(|| pace * self.cold_factor(now))
    }

    /// Factor by which runs take longer because the target is cold; 1 if the target states
    /// no pace, as its long-term run times then contain the factor.
    pub(super) fn cold_factor(&self, now: Instant) -> f64 {
        if self.pace.has_statement() && self.tracker.is_cold(now) {
            COLD_RUN_TIME_FACTOR
        } else {
            1.0
        }
    }

    /// Tells the queue how the run times of its calls have changed, and what is usual now.
    pub(super) fn update_queue_estimates(&mut self, now: Instant) {
        let factor = self.run_factor(now).unwrap_or(1.0);
        self.queue.set_run_factor(factor);
        self.queue.set_usual_run(self.usual_run_time(now));
    }

    /// Mean time that the runs in progress were expected to take, or of past runs if there
    /// are none.
    fn usual_run_time(&self, now: Instant) -> Duration {
        let factor = self.run_factor(now).unwrap_or(1.0);
        let runs = self.active_runs.values();
        let expected: Duration = runs.map(|run| run.expected).sum();
        let usual = if self.active_runs.is_empty() {
            self.run_times.mean()
        } else {
            expected.div_f64(count_to_f64(self.active_runs.len()))
        };
        usual.mul_f64(factor)
    }

    /// Long-term part of a run that took `took`.
    pub(super) fn long_term_run(
        &mut self,
        mark: PaceMark,
        took: Duration,
        now: Instant,
    ) -> Duration {
        let usual = self.pace.usual_run(mark, took, now);
        if self.pace.has_statement() {
            usual.div_f64(self.cold_factor(now))
        } else {
            usual
        }
    }

    /// Mean run time of the runs in progress, or of past runs if there are none.
    ///
    /// A run counts with its expected time, and with its age so far once it is
    /// overdue. So a target that has become slow shows it before its slow runs end.
    pub(super) fn mean_run_time(&self, now: Instant) -> Duration {
        let factor = self.run_factor(now);
        let at_pace = |run: Duration| factor.map_or(run, |factor| run.mul_f64(factor));
        if self.active_runs.is_empty() {
            return at_pace(self.run_times.mean());
        }
        let total: Duration = self
            .active_runs
            .values()
            .map(|run| {
                let expected = at_pace(run.expected);
                let age = now.saturating_duration_since(run.started_at);
                if age > expected.mul_f64(OVERDUE_FACTOR) {
                    age
                } else {
                    expected
                }
            })
            .sum();
        total.div_f64(count_to_f64(self.active_runs.len()))
    }
}
