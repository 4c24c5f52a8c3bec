//! Failure rate of a target, derived from the outcomes of its calls.

/// Weight of the newest outcome in the exponential moving average of the failure
/// rate.
const NEWEST_OUTCOME_WEIGHT: f64 = 0.15;

/// Outcome of a run, as evidence of the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target sent a complete answer.
    Success,
    /// The target answered with a failure, closed the connection early, sent an
    /// invalid answer, or rejected the call although it had free slots.
    Failure,
}

/// Exponential moving average of a target's failure rate.
///
/// It detects a target that passes its health check but fails or rejects half of
/// its calls. Such a target looks idle, and would otherwise attract more calls
/// than the others.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failure_rate: f64,
}

impl TargetHealth {
    /// Adds the outcome of a run to the average.
    pub fn record(&mut self, outcome: RunOutcome) {
        let failure = match outcome {
            RunOutcome::Success => 0.0,
            RunOutcome::Failure => 1.0,
        };
        self.failure_rate += (failure - self.failure_rate) * NEWEST_OUTCOME_WEIGHT;
    }

    /// Share of recent runs that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
