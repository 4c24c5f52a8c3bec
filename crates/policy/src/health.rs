//! What a target's own calls say about it.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest run in the running mean: some thirty runs back count.
/// Fewer would make chance look like speed, as run times have long tails.
const NEWEST: f64 = 0.03;
/// Weight of the newest outcome in the share of failures.
const NEWEST_OUTCOME: f64 = 0.15;
/// Run time assumed before any was seen, in milliseconds.
const FIRST_GUESS_MS: f64 = 100.0;

/// Runs of a route after which its own mean counts.
const ENOUGH_RUNS: u32 = 5;
/// Routes with a mean of their own; bounds memory where routes are many.
const MOST_ROUTES: usize = 256;

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
    all: RunMean,
    by_route: HashMap<String, RunMean>,
    ill_share: f64,
}

/// A running mean of run times.
#[derive(Clone, Copy, Debug)]
struct RunMean {
    ms: f64,
    runs: u32,
}

impl RunMean {
    const UNSEEN: RunMean = RunMean {
        ms: FIRST_GUESS_MS,
        runs: 0,
    };

    fn add(&mut self, took_ms: f64) {
        let weight = NEWEST.max(1.0 / (f64::from(self.runs) + 1.0));
        self.ms += (took_ms - self.ms) * weight;
        self.runs = self.runs.saturating_add(1);
    }
}

impl Default for TargetHealth {
    fn default() -> Self {
        TargetHealth {
            all: RunMean::UNSEEN,
            by_route: HashMap::new(),
            ill_share: 0.0,
        }
    }
}

impl TargetHealth {
    /// Counts a run of a call on `route` that answered in full after `took`.
    pub fn ran(&mut self, route: &str, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        self.all.add(took_ms);
        if let Some(mean) = self.by_route.get_mut(route) {
            mean.add(took_ms);
        } else if self.by_route.len() < MOST_ROUTES {
            let mut mean = RunMean::UNSEEN;
            mean.add(took_ms);
            self.by_route.insert(route.to_owned(), mean);
        }
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
        self.all.ms
    }

    /// Mean time of a run of a call on `route`, in milliseconds; that of all
    /// runs until a few were seen.
    #[must_use]
    pub fn route_run_ms(&self, route: &str) -> f64 {
        match self.by_route.get(route) {
            Some(mean) if mean.runs >= ENOUGH_RUNS => mean.ms,
            _ => self.all.ms,
        }
    }

    /// Share of recent runs that ended ill, 0 to 1.
    #[must_use]
    pub fn ill_share(&self) -> f64 {
        self.ill_share
    }
}
