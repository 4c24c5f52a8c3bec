//! The expected wait of a call in the admission queue, and whether the call is
//! worth queueing or keeping. A call is likely late if it was expected on arrival to
//! miss its soft deadline.

use std::time::{Duration, Instant};

use super::AdmissionRequest;

/// Time that must be left between the start of a waiting call and its soft deadline,
/// besides the mean run time, as a ratio of the run time's mean deviation.
const KEPT_CALL_DEVIATIONS: f64 = 0.5;
/// Time that must be left between the start of a new, likely late call and its
/// deadline, in mean run times of the call.
const LATE_CALL_RUNS: f64 = 1.5;
/// Maximum time that the answer to a likely late call waits for the host's link, in
/// mean run times of the call. With longer waits, late answers would delay answers
/// that are still in time.
const MAX_LATE_LINK_WAIT_RUNS: f64 = 0.6;
/// Wait up to which a short, likely late call is queued even beyond the limits below,
/// in usual run times of the calls at the target. A few slots become free in that time.
const SHORT_CALL_WAIT_RUNS: f64 = 0.6;
/// Maximum run time of a short call, as a ratio of the usual run time of the calls at
/// the target.
pub const SHORT_RUN_RATIO: f64 = 0.5;
/// Maximum wait of a likely late call, as a ratio of the time from its arrival to
/// its deadline. A client that is refused later has little time left to retry.
const MAX_LATE_WAIT_RATIO: f64 = 0.5;
/// Maximum wait of a likely late call, as a ratio of the time from its arrival to
/// its soft deadline. It applies if the call arrived before its soft deadline.
const MAX_SOFT_DEADLINE_WAIT_RATIO: f64 = 0.6;

/// Upper bound of the load ahead of a call, as a share of the slots. It keeps the
/// expected wait finite.
const MAX_LOAD_AHEAD: f64 = 0.95;

/// Expected wait of a call until it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ExpectedWait {
    /// Wait if no further calls arrive.
    without_arrivals: Duration,
    /// Wait if further calls arrive at the present rate; some start ahead of the call.
    with_arrivals: Duration,
    /// Mean run time that the calls at the target usually have. Calls that hold their slots
    /// without an end make no other call short.
    usual_run: Duration,
}

impl ExpectedWait {
    /// The wait of a call that starts immediately.
    pub(super) fn none(usual_run: Duration) -> ExpectedWait {
        ExpectedWait {
            without_arrivals: Duration::ZERO,
            with_arrivals: Duration::ZERO,
            usual_run,
        }
    }

    /// The wait of a call that is overtaken by later arrivals, which take the share
    /// `load_ahead` of the slots. As in a priority queue, the wait without arrivals
    /// is divided by the share that is left for the other calls.
    pub(super) fn under_load(
        without_arrivals: Duration,
        load_ahead: f64,
        usual_run: Duration,
    ) -> ExpectedWait {
        ExpectedWait {
            without_arrivals,
            with_arrivals: without_arrivals.div_f64(1.0 - load_ahead.min(MAX_LOAD_AHEAD)),
            usual_run,
        }
    }

    /// Returns whether a call with this wait is likely to be answered by its soft
    /// deadline.
    pub(super) fn meets_soft_deadline(&self, request: &AdmissionRequest, now: Instant) -> bool {
        now + self.with_arrivals + request.run.p90() + request.link.total() <= request.soft_deadline
    }

    /// Returns whether a new call that is likely late is still worth queueing.
    pub(super) fn is_worth_queueing(&self, request: &AdmissionRequest, now: Instant) -> bool {
        let time_left = request.deadline.saturating_duration_since(now);
        let link = request.link.total();
        let run = request.run.mean.mul_f64(LATE_CALL_RUNS);
        if request.link.wait > request.run.mean.mul_f64(MAX_LATE_LINK_WAIT_RUNS) {
            return false;
        }
        if self.starts_within_wait_limits(request, now, now) {
            return self.with_arrivals + run + link <= time_left;
        }
        self.without_arrivals + request.link.wait <= self.short_call_wait(request)
            && self.without_arrivals + run + link <= time_left
    }

    /// Wait that a call is allowed if it is short; zero for other calls.
    ///
    /// Load pattern: calls at other targets depend on lookups of 30 ms at a target
    /// whose other runs take 480 ms. Declining a lookup fails the call that
    /// depends on it, whereas running it occupies a slot only briefly.
    fn short_call_wait(&self, request: &AdmissionRequest) -> Duration {
        if request.run.mean <= self.usual_run.mul_f64(SHORT_RUN_RATIO) {
            self.usual_run.mul_f64(SHORT_CALL_WAIT_RUNS)
        } else {
            Duration::ZERO
        }
    }

    /// Returns whether a call that has waited since `enqueued_at` is worth keeping
    /// in the queue. The conditions are weaker than for a new call, and a short call
    /// may wait twice as long, so that an accepted call is not declined as soon as
    /// one run takes slightly longer than expected.
    pub(super) fn is_worth_keeping(
        &self,
        request: &AdmissionRequest,
        enqueued_at: Instant,
        now: Instant,
    ) -> bool {
        let run = request.run.mean + request.run.mean_deviation.mul_f64(KEPT_CALL_DEVIATIONS);
        let run_and_send = run + request.link.send;
        if now + self.with_arrivals + run_and_send <= request.soft_deadline {
            return true;
        }
        if now + self.without_arrivals + request.run.mean + request.link.send > request.deadline {
            return false;
        }
        self.starts_within_wait_limits(request, enqueued_at, now)
            || now + self.without_arrivals <= enqueued_at + self.short_call_wait(request) * 2
    }

    /// Returns whether a likely late call that arrived at `enqueued_at` starts
    /// within both limits on its wait: [`MAX_LATE_WAIT_RATIO`] with the expected
    /// arrivals, and [`MAX_SOFT_DEADLINE_WAIT_RATIO`] without arrivals.
    fn starts_within_wait_limits(
        &self,
        request: &AdmissionRequest,
        enqueued_at: Instant,
        now: Instant,
    ) -> bool {
        let time_to_deadline = request.deadline.saturating_duration_since(enqueued_at);
        let time_to_soft_deadline = request.soft_deadline.saturating_duration_since(enqueued_at);
        let start = now + request.link.wait;
        start + self.with_arrivals <= enqueued_at + time_to_deadline.mul_f64(MAX_LATE_WAIT_RATIO)
            && (time_to_soft_deadline.is_zero()
                || start + self.without_arrivals
                    <= enqueued_at + time_to_soft_deadline.mul_f64(MAX_SOFT_DEADLINE_WAIT_RATIO))
    }
}
