//! What a target's own calls say about it.

/// Weight of the newest outcome in the share of failures.
const NEWEST_OUTCOME: f64 = 0.15;

/// How a run ended, as far as it says something about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It answered in full.
    Success,
    /// It failed the call, broke off, spoiled the answer or rejected the call
    /// while it had room.
    Failure,
}

/// The share of a target's calls that end ill.
///
/// Load pattern: a target that fails or rejects half of its calls while its
/// health check is good. It looks idle, so it would draw more calls than the
/// others.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failure_rate: f64,
}

impl TargetHealth {
    /// Counts how a run ended.
    pub fn note(&mut self, sign: RunOutcome) {
        let ill = match sign {
            RunOutcome::Success => 0.0,
            RunOutcome::Failure => 1.0,
        };
        self.failure_rate += (ill - self.failure_rate) * NEWEST_OUTCOME;
    }

    /// Share of recent runs that ended ill, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
