//! How long a target's runs take, by kind of call.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest run in a running mean: some thirty runs back count.
/// Fewer would make chance look like speed, as run times have long tails.
const NEWEST: f64 = 0.03;
/// Run time assumed before any was seen, in milliseconds.
const FIRST_GUESS_MS: f64 = 100.0;
/// Runs that a guess from elsewhere counts for among a kind's first own runs.
const GUESS_RUNS: f64 = 3.0;
/// Kinds remembered. A target is called on a handful of routes; the limit
/// bounds memory where routes come and go for months.
const MOST_KINDS: usize = 256;

/// A running mean of run times.
#[derive(Clone, Copy, Debug, Default)]
struct RunMean {
    mean_ms: f64,
    runs: u32,
    /// Number of the run, of all kinds, that was noted last.
    last: u64,
}

impl RunMean {
    fn note(&mut self, took_ms: f64) {
        self.runs = self.runs.saturating_add(1);
        let weight = NEWEST.max(1.0 / f64::from(self.runs));
        self.mean_ms += (took_ms - self.mean_ms) * weight;
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
pub struct RunTimes {
    kinds: HashMap<String, RunMean>,
    all: RunMean,
    pace: f64,
    noted: u64,
}

impl Default for RunTimes {
    fn default() -> Self {
        RunTimes {
            kinds: HashMap::new(),
            all: RunMean::default(),
            pace: 1.0,
            noted: 0,
        }
    }
}

impl RunTimes {
    /// Counts a run of `kind` that answered in full after `took`; `usual` is
    /// what such runs take elsewhere, as far as that is known.
    pub fn note(&mut self, kind: &str, usual: Option<Duration>, took: Duration) {
        let took_ms = millis(took);
        self.noted += 1;
        self.all.note(took_ms);
        if let Some(usual) = usual.map(millis).filter(|usual| *usual > 0.0) {
            let weight = NEWEST.max(1.0 / (f64::from(self.all.runs) + GUESS_RUNS));
            self.pace += (took_ms / usual - self.pace) * weight;
        }
        if !self.kinds.contains_key(kind) {
            self.make_room();
            self.kinds.insert(kind.to_owned(), RunMean::default());
        }
        if let Some(mean) = self.kinds.get_mut(kind) {
            mean.note(took_ms);
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
    pub fn expect(&self, kind: &str, usual: Option<Duration>) -> Duration {
        let own = self.kinds.get(kind).copied().unwrap_or_default();
        let guess_ms = match usual.map(millis) {
            Some(usual) if usual > 0.0 => usual * self.pace,
            _ if own.runs > 0 => own.mean_ms,
            _ => self.mean_ms(),
        };
        let runs = f64::from(own.runs);
        let mean_ms = (own.mean_ms * runs + guess_ms * GUESS_RUNS) / (runs + GUESS_RUNS);
        Duration::from_secs_f64(mean_ms / 1_000.0)
    }

    /// Mean time of all runs, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        if self.all.runs == 0 {
            FIRST_GUESS_MS
        } else {
            self.all.mean_ms
        }
    }

    /// How much longer than usual runs take here; 1 for a usual target.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.pace
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
