//! Samples of the daemons' call counters, kept as one JSON object a line.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Name of the daemon's call counter in `/metrics`.
const CALLS_COUNTER: &str = "calls{";

/// How many calls of a service ended well and badly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTotals {
    /// Answered by a target, or from the record of an earlier run.
    pub good: u64,
    /// Failed at the target, not run, or ended with an unknown outcome.
    pub bad: u64,
}

impl CallTotals {
    /// What was added since `earlier`. A daemon that restarted counts from
    /// zero again: then all it has is new.
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

    /// Adds `other`.
    pub fn add(&mut self, other: CallTotals) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

/// One daemon's call totals at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallSample {
    /// When it was taken, in seconds since the Unix epoch.
    pub at: u64,
    /// The daemon's admin URL.
    pub daemon: String,
    /// Totals by service.
    pub services: BTreeMap<String, CallTotals>,
}

impl CallSample {
    /// Reads the call totals out of a daemon's `/metrics`. Calls refused as
    /// malformed are the caller's fault and count neither way.
    #[must_use]
    pub fn from_metrics(at: u64, daemon: &str, metrics: &BTreeMap<String, u64>) -> CallSample {
        let mut services: BTreeMap<String, CallTotals> = BTreeMap::new();
        for (name, count) in metrics {
            let Some(labels) = name
                .strip_prefix(CALLS_COUNTER)
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
