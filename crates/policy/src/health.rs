//! What a target's own calls say about it.

use std::time::Duration;

/// Weight of the newest run in the running mean: some thirty runs back count.
/// Fewer would make chance look like speed, as run times have long tails.
const NEWEST: f64 = 0.03;
/// Weight of the newest outcome in the share of failures.
const NEWEST_OUTCOME: f64 = 0.15;
/// Run time assumed before any was seen, in milliseconds.
const FIRST_GUESS_MS: f64 = 100.0;

/// How a run ended, as far as it says something about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSign {
    /// It answered in full.
    Well,
    /// It failed the call, broke off, spoiled the answer or rejected the call
    /// while it had room.
    Ill,
}

/// Running means over a target's calls.
///
/// Load pattern: a target that fails or rejects half of its calls while its
/// health check is good, or is several times slower than its like. It looks
/// idle, so it would draw more calls than the others.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    run_ms: f64,
    ill_share: f64,
    runs: u32,
}

impl Default for TargetHealth {
    fn default() -> Self {
        TargetHealth {
            run_ms: FIRST_GUESS_MS,
            ill_share: 0.0,
            runs: 0,
        }
    }
}

impl TargetHealth {
    /// Counts a run that answered in full after `took`.
    pub fn ran(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let weight = if self.runs == 0 {
            1.0
        } else {
            NEWEST.max(1.0 / (f64::from(self.runs) + 1.0))
        };
        self.run_ms += (took_ms - self.run_ms) * weight;
        self.runs = self.runs.saturating_add(1);
    }

    /// Counts how a run ended.
    pub fn note(&mut self, sign: RunSign) {
        let ill = match sign {
            RunSign::Well => 0.0,
            RunSign::Ill => 1.0,
        };
        self.ill_share += (ill - self.ill_share) * NEWEST_OUTCOME;
    }

    /// Mean time of a run, in milliseconds.
    #[must_use]
    pub fn run_ms(&self) -> f64 {
        self.run_ms
    }

    /// Share of recent runs that ended ill, 0 to 1.
    #[must_use]
    pub fn ill_share(&self) -> f64 {
        self.ill_share
    }
}
