//! Samples of the daemons' call counters. A file of samples has one JSON object per line.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Prefix of the names of the call counters in a daemon's `/metrics`. The labels of a
/// counter follow, and a closing brace.
const CALLS_COUNTER_PREFIX: &str = "calls{";

/// Numbers of good and bad calls of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTotals {
    /// Calls answered by a target, or from the record of an earlier run.
    pub good: u64,
    /// Calls that failed at the target, did not run, or ended with an unknown outcome.
    pub bad: u64,
}

impl CallTotals {
    /// Returns the calls counted since `earlier`. A daemon that was restarted counts
    /// from zero again: if a count has fallen, all of `self` is new.
    #[must_use]
    pub fn since(self, earlier: CallTotals) -> CallTotals {
        if self.good < earlier.good || self.bad < earlier.bad {
            return self;
        }
        CallTotals {
            good: self.good - earlier.good,
            bad: self.bad - earlier.bad,
        }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: CallTotals) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

/// Call totals of one daemon at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallSample {
    /// Time of the sample in seconds since the Unix epoch.
    pub at: u64,
    /// Admin URL of the daemon.
    pub daemon: String,
    /// Call totals by service.
    pub services: BTreeMap<String, CallTotals>,
}

impl CallSample {
    /// Adds up the call totals from a daemon's `/metrics`. Refused calls are not counted:
    /// they were malformed, which is the caller's fault.
    #[must_use]
    pub fn from_metrics(at: u64, daemon: &str, metrics: &BTreeMap<String, u64>) -> CallSample {
        let mut services: BTreeMap<String, CallTotals> = BTreeMap::new();
        for (name, count) in metrics {
            let Some(labels) = name
                .strip_prefix(CALLS_COUNTER_PREFIX)
                .and_then(|rest| rest.strip_suffix('}'))
            else {
                continue;
            };
            let label = |key: &str| {
                labels
                    .split(',')
                    .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
            };
            let (Some(service), Some(outcome)) = (label("service"), label("outcome")) else {
                continue;
            };
            let totals = services.entry(service.to_owned()).or_default();
            match outcome {
                "answered" | "replayed" => totals.good += count,
                "failed" | "not_run" | "unknown" => totals.bad += count,
                _ => {}
            }
        }
        CallSample {
            at,
            daemon: daemon.to_owned(),
            services,
        }
    }
}
