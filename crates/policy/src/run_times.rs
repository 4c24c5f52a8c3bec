//! Estimates of a target's run times by kind of call.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest run in a moving average, which covers about thirty runs. Run
/// times have long tails, so an average of fewer runs would show chance as a change
/// of speed. The first runs have a higher weight.
const MIN_NEWEST_RUN_WEIGHT: f64 = 0.03;
/// Run time assumed before any run is recorded.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);
/// Weight of a prior estimate against the recorded runs of a kind, in runs.
const PRIOR_WEIGHT_RUNS: f64 = 3.0;
/// Maximum number of kinds with recorded runs. A target is called on a few routes;
/// the limit bounds memory if routes are added and removed for months.
const MAX_KINDS: usize = 256;

/// Distribution of a run time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTime {
    /// Mean run time.
    pub mean: Duration,
    /// Mean absolute deviation from [`RunTime::mean`].
    pub mean_deviation: Duration,
}

impl RunTime {
    /// Approximate 90th percentile of the run time, for even as well as long-tailed
    /// run times: 1.5 times the mean if the mean deviation is a quarter of the mean,
    /// 2.5 times the mean if run times are exponential.
    #[must_use]
    pub fn p90(&self) -> Duration {
        self.mean + self.mean_deviation * 2
    }

    /// Exponential run time, assumed if only the mean is known.
    #[must_use]
    pub fn exponential(mean: Duration) -> RunTime {
        RunTime {
            mean,
            mean_deviation: mean.mul_f64(EXPONENTIAL_DEVIATION_RATIO),
        }
    }

    /// Run time of the same call at a target that is slower by the factor `slowdown`.
    #[must_use]
    pub fn slowed_by(&self, slowdown: f64) -> RunTime {
        RunTime {
            mean: self.mean.mul_f64(slowdown),
            mean_deviation: self.mean_deviation.mul_f64(slowdown),
        }
    }
}

/// Mean deviation of exponential run times, as a ratio of their mean. Assumed while
/// the deviation is not known from recorded runs.
const EXPONENTIAL_DEVIATION_RATIO: f64 = 0.75;

/// Moving averages of run times and of their deviation from the average.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimeAverage {
    mean_ms: f64,
    mean_deviation_ms: f64,
    runs: u32,
    /// Number of the latest run, counted over all kinds of a [`RunTimeEstimator`].
    last_recorded: u64,
}

impl RunTimeAverage {
    /// Records a run that took `took`.
    pub fn record(&mut self, took: Duration) {
        let took_ms = millis(took);
        if self.runs == 0 {
            self.mean_ms = took_ms;
            self.mean_deviation_ms = took_ms * EXPONENTIAL_DEVIATION_RATIO;
        }
        self.runs = self.runs.saturating_add(1);
        let weight = MIN_NEWEST_RUN_WEIGHT.max(1.0 / (f64::from(self.runs) + 1.0));
        self.mean_deviation_ms +=
            ((took_ms - self.mean_ms).abs() - self.mean_deviation_ms) * weight;
        self.mean_ms += (took_ms - self.mean_ms) * weight;
    }

    /// Average run time, or `None` before the first run.
    #[must_use]
    pub fn time(&self) -> Option<RunTime> {
        (self.runs > 0).then(|| RunTime {
            mean: Duration::from_secs_f64(self.mean_ms / 1_000.0),
            mean_deviation: Duration::from_secs_f64(self.mean_deviation_ms / 1_000.0),
        })
    }
}

/// Run time estimates of one target, by kind of call.
///
/// The run time of a kind that the target has not run yet is estimated from its
/// usual run time at other targets, as reported by the caller, and the target's
/// slowdown: the ratio of its run times to the usual ones.
///
/// Load pattern: one service runs lookups of 30 ms and reports of 480 ms. With one
/// average for all kinds, a lookup with 350 ms left would be declined at once as
/// too late, and the payment that depends on it would fail.
#[derive(Clone, Debug)]
pub struct RunTimeEstimator {
    kinds: HashMap<String, RunTimeAverage>,
    all_kinds: RunTimeAverage,
    slowdown: f64,
    recorded_runs: u64,
}

impl Default for RunTimeEstimator {
    fn default() -> Self {
        RunTimeEstimator {
            kinds: HashMap::new(),
            all_kinds: RunTimeAverage::default(),
            slowdown: 1.0,
            recorded_runs: 0,
        }
    }
}

impl RunTimeEstimator {
    /// Records a run of `kind` that sent a complete answer after `took`. `usual` is
    /// the run time of `kind` at other targets, if known.
    pub fn record(&mut self, kind: &str, usual: Option<RunTime>, took: Duration) {
        self.recorded_runs += 1;
        self.all_kinds.record(took);
        if let Some(usual) = usual.filter(|usual| !usual.mean.is_zero()) {
            let weight = MIN_NEWEST_RUN_WEIGHT
                .max(1.0 / (f64::from(self.all_kinds.runs) + PRIOR_WEIGHT_RUNS));
            let slowdown = millis(took) / millis(usual.mean);
            self.slowdown += (slowdown - self.slowdown) * weight;
        }
        if !self.kinds.contains_key(kind) {
            self.evict_oldest_kind();
            self.kinds
                .insert(kind.to_owned(), RunTimeAverage::default());
        }
        if let Some(mean) = self.kinds.get_mut(kind) {
            mean.record(took);
            mean.last_recorded = self.recorded_runs;
        }
    }

    fn evict_oldest_kind(&mut self) {
        if self.kinds.len() < MAX_KINDS {
            return;
        }
        let oldest = self.kinds.iter().min_by_key(|(_, mean)| mean.last_recorded);
        if let Some(kind) = oldest.map(|(kind, _)| kind.clone()) {
            self.kinds.remove(&kind);
        }
    }

    /// Expected run time of `kind` at this target. `usual` is the run time of `kind` at
    /// other targets, if known.
    #[must_use]
    pub fn expect(&self, kind: &str, usual: Option<RunTime>) -> RunTime {
        let own = self.kinds.get(kind).copied().unwrap_or_default();
        let prior = usual
            .map(|usual| usual.slowed_by(self.slowdown))
            .or_else(|| own.time())
            .unwrap_or_else(|| self.time_of_any_kind());
        let runs = f64::from(own.runs);
        let mixed = |own_ms: f64, prior: Duration| {
            let sum_ms = own_ms * runs + millis(prior) * PRIOR_WEIGHT_RUNS;
            Duration::from_secs_f64(sum_ms / (runs + PRIOR_WEIGHT_RUNS) / 1_000.0)
        };
        RunTime {
            mean: mixed(own.mean_ms, prior.mean),
            mean_deviation: mixed(own.mean_deviation_ms, prior.mean_deviation),
        }
    }

    fn time_of_any_kind(&self) -> RunTime {
        self.all_kinds
            .time()
            .unwrap_or(RunTime::exponential(DEFAULT_RUN_TIME))
    }

    /// Mean run time over all kinds; a default before the first run.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.time_of_any_kind().mean
    }

    /// Ratio of the target's run times to the usual ones; 1 for an average target.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
