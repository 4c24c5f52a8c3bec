//! How long a target's runs take, by kind of call.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest run in a running mean: some thirty runs back count.
/// Fewer would make chance look like speed, as run times have long tails.
const NEWEST: f64 = 0.03;
/// Run time assumed before any was seen.
const FIRST_GUESS: Duration = Duration::from_millis(100);
/// Runs that a guess from elsewhere counts for among a kind's first own runs.
const GUESS_RUNS: f64 = 3.0;
/// Kinds remembered. A target is called on a handful of routes; the limit
/// bounds memory where routes come and go for months.
const MOST_KINDS: usize = 256;

/// How long a run takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTime {
    /// On average.
    pub mean: Duration,
    /// Mean distance from that.
    pub mean_deviation: Duration,
}

impl RunTime {
    /// Time within which some nine of ten runs end, be their times even or
    /// with a long tail: 1.5 means where they differ by a quarter, 2.5 where
    /// they are exponential.
    #[must_use]
    pub fn most(&self) -> Duration {
        self.mean + self.mean_deviation * 2
    }

    /// Runs of which only the mean is known: taken as exponential.
    #[must_use]
    pub fn exponential(mean: Duration) -> RunTime {
        RunTime {
            mean,
            mean_deviation: mean.mul_f64(FIRST_SPREAD),
        }
    }

    /// The same run at a target `slowdown` times as slow.
    #[must_use]
    pub fn slowed_by(&self, slowdown: f64) -> RunTime {
        RunTime {
            mean: self.mean.mul_f64(slowdown),
            mean_deviation: self.mean_deviation.mul_f64(slowdown),
        }
    }
}

/// Spread taken for a kind whose runs were not seen yet, as a part of its mean:
/// as of exponential times.
const FIRST_SPREAD: f64 = 0.75;

/// A running mean of run times, and of their distance from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimeAverage {
    mean_ms: f64,
    spread_ms: f64,
    runs: u32,
    /// Number of the run, of all kinds, that was noted last.
    last: u64,
}

impl RunTimeAverage {
    /// Counts a run.
    pub fn record(&mut self, took: Duration) {
        let took_ms = millis(took);
        if self.runs == 0 {
            self.mean_ms = took_ms;
            self.spread_ms = took_ms * FIRST_SPREAD;
        }
        self.runs = self.runs.saturating_add(1);
        let weight = NEWEST.max(1.0 / (f64::from(self.runs) + 1.0));
        self.spread_ms += ((took_ms - self.mean_ms).abs() - self.spread_ms) * weight;
        self.mean_ms += (took_ms - self.mean_ms) * weight;
    }

    /// What is known; `None` before the first run.
    #[must_use]
    pub fn time(&self) -> Option<RunTime> {
        (self.runs > 0).then(|| RunTime {
            mean: Duration::from_secs_f64(self.mean_ms / 1_000.0),
            mean_deviation: Duration::from_secs_f64(self.spread_ms / 1_000.0),
        })
    }
}

/// Mean run times of one target, by kind of call.
///
/// Load pattern: one service runs lookups of 30 ms beside reports of 480 ms.
/// By one mean for all, a lookup with 350 ms left looks hopeless and is turned
/// away at once, and the payment that waits for it fails; with a mean for each
/// kind it is judged by its own 30 ms.
///
/// A kind that was not run here yet is judged by what callers say it usually
/// takes, and by the target's pace: how much slower than usual its runs are.
#[derive(Clone, Debug)]
pub struct RunTimeEstimator {
    kinds: HashMap<String, RunTimeAverage>,
    all: RunTimeAverage,
    slowdown: f64,
    noted: u64,
}

impl Default for RunTimeEstimator {
    fn default() -> Self {
        RunTimeEstimator {
            kinds: HashMap::new(),
            all: RunTimeAverage::default(),
            slowdown: 1.0,
            noted: 0,
        }
    }
}

impl RunTimeEstimator {
    /// Counts a run of `kind` that answered in full after `took`; `usual` is
    /// what such runs take elsewhere, as far as that is known.
    pub fn record(&mut self, kind: &str, usual: Option<RunTime>, took: Duration) {
        self.noted += 1;
        self.all.record(took);
        if let Some(usual) = usual.filter(|usual| !usual.mean.is_zero()) {
            let weight = NEWEST.max(1.0 / (f64::from(self.all.runs) + GUESS_RUNS));
            let slowdown = millis(took) / millis(usual.mean);
            self.slowdown += (slowdown - self.slowdown) * weight;
        }
        if !self.kinds.contains_key(kind) {
            self.make_room();
            self.kinds
                .insert(kind.to_owned(), RunTimeAverage::default());
        }
        if let Some(mean) = self.kinds.get_mut(kind) {
            mean.record(took);
            mean.last = self.noted;
        }
    }

    fn make_room(&mut self) {
        if self.kinds.len() < MOST_KINDS {
            return;
        }
        let oldest = self.kinds.iter().min_by_key(|(_, mean)| mean.last);
        if let Some(kind) = oldest.map(|(kind, _)| kind.clone()) {
            self.kinds.remove(&kind);
        }
    }

    /// How long a run of `kind` is expected to take here.
    #[must_use]
    pub fn expect(&self, kind: &str, usual: Option<RunTime>) -> RunTime {
        let own = self.kinds.get(kind).copied().unwrap_or_default();
        let guess = usual
            .map(|usual| usual.slowed_by(self.slowdown))
            .or_else(|| own.time())
            .unwrap_or_else(|| self.of_any_kind());
        let runs = f64::from(own.runs);
        let mixed = |own_ms: f64, guess: Duration| {
            let sum_ms = own_ms * runs + millis(guess) * GUESS_RUNS;
            Duration::from_secs_f64(sum_ms / (runs + GUESS_RUNS) / 1_000.0)
        };
        RunTime {
            mean: mixed(own.mean_ms, guess.mean),
            mean_deviation: mixed(own.spread_ms, guess.mean_deviation),
        }
    }

    fn of_any_kind(&self) -> RunTime {
        self.all.time().unwrap_or(RunTime::exponential(FIRST_GUESS))
    }

    /// Mean time of all runs.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.of_any_kind().mean
    }

    /// How much longer than usual runs take here; 1 for a usual target.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
