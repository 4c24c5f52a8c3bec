//! Burn rates: how fast each service uses up its error budget, over a short and a long
//! window. A burn rate of 1 uses exactly the budget that the objective leaves. Rates far
//! above 1 in both windows mean that a problem exists now and has lasted for a while.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::sample::{CallSample, CallTotals};

/// Objective and windows of a burn report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnSettings {
    /// Fraction of calls that must succeed, such as 0.999.
    pub objective: f64,
    /// Length of the short window.
    pub short: Duration,
    /// Length of the long window.
    pub long: Duration,
}

/// Calls counted between two consecutive samples of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallIncrement {
    /// Time of the later sample in seconds since the Unix epoch.
    pub at: u64,
    /// Calls counted between the samples.
    pub calls: CallTotals,
}

/// Burn rates of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: String,
    /// Calls in the long window.
    pub calls: CallTotals,
    /// Burn rate over the short window; `None` if it has no calls.
    pub short: Option<f64>,
    /// Burn rate over the long window; `None` if it has no calls.
    pub long: Option<f64>,
    /// Increments in the long window, in order of time, for the plot.
    pub increments: Vec<CallIncrement>,
}

/// Burn rates of all services at the time of the newest sample.
#[derive(Clone, Debug, PartialEq)]
pub struct BurnReport {
    /// Objective and windows of the report.
    pub settings: BurnSettings,
    /// Time of the newest sample in seconds since the Unix epoch.
    pub as_of: u64,
    /// Services, sorted by the burn rate over the long window, highest first.
    pub services: Vec<ServiceBurn>,
}

impl BurnReport {
    /// Computes the report from samples in any order; `None` if there are none.
    #[must_use]
    pub fn new(samples: &[CallSample], settings: BurnSettings) -> Option<BurnReport> {
        let as_of = samples.iter().map(|sample| sample.at).max()?;
        let mut services: Vec<ServiceBurn> = increments_by_service(samples)
            .into_iter()
            .map(|(service, increments)| service_burn(service, &increments, as_of, settings))
            .collect();
        services.sort_by(|left, right| {
            let rate = |burn: &ServiceBurn| burn.long.unwrap_or(0.0);
            rate(right)
                .total_cmp(&rate(left))
                .then_with(|| left.service.cmp(&right.service))
        });
        Some(BurnReport {
            settings,
            as_of,
            services,
        })
    }
}

/// Computes the calls counted between consecutive samples of each daemon, by service.
fn increments_by_service(samples: &[CallSample]) -> BTreeMap<String, Vec<CallIncrement>> {
    let mut ordered: Vec<&CallSample> = samples.iter().collect();
    ordered.sort_by_key(|sample| sample.at);
    let mut last_samples: BTreeMap<&str, &CallSample> = BTreeMap::new();
    let mut increments: BTreeMap<String, Vec<CallIncrement>> = BTreeMap::new();
    for sample in ordered {
        // The first sample of a daemon is only the base of the next one.
        if let Some(earlier) = last_samples.insert(&sample.daemon, sample) {
            for (service, totals) in &sample.services {
                let before = earlier.services.get(service).copied().unwrap_or_default();
                increments
                    .entry(service.clone())
                    .or_default()
                    .push(CallIncrement {
                        at: sample.at,
                        calls: totals.since(before),
                    });
            }
        }
    }
    increments
}

/// Computes the burn rates of `service` in the windows that end at `as_of`.
fn service_burn(
    service: String,
    increments: &[CallIncrement],
    as_of: u64,
    settings: BurnSettings,
) -> ServiceBurn {
    let calls = calls_within(increments, as_of, settings.long);
    let recent = calls_within(increments, as_of, settings.short);
    let start = as_of.saturating_sub(settings.long.as_secs());
    ServiceBurn {
        service,
        calls,
        short: burn_rate(recent, settings.objective),
        long: burn_rate(calls, settings.objective),
        increments: increments
            .iter()
            .copied()
            .filter(|increment| increment.at > start)
            .collect(),
    }
}

/// Adds up the calls in the window that ends at `as_of`.
fn calls_within(increments: &[CallIncrement], as_of: u64, window: Duration) -> CallTotals {
    let start = as_of.saturating_sub(window.as_secs());
    let mut totals = CallTotals::default();
    for increment in increments.iter().filter(|increment| increment.at > start) {
        totals.add(increment.calls);
    }
    totals
}

/// Returns the fraction of bad calls, divided by the fraction that `objective` allows;
/// `None` if there are no calls.
#[must_use]
#[allow(clippy::cast_precision_loss)] // Call counts stay far below 2^52.
pub fn burn_rate(calls: CallTotals, objective: f64) -> Option<f64> {
    let total = calls.good + calls.bad;
    (total > 0).then(|| calls.bad as f64 / total as f64 / (1.0 - objective))
}

impl fmt::Display for BurnReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BurnSettings {
            objective,
            short,
            long,
        } = self.settings;
        writeln!(
            formatter,
            "objective {objective}, windows {} s and {} s, as of {}",
            short.as_secs(),
            long.as_secs(),
            self.as_of
        )?;
        writeln!(
            formatter,
            "{:<24} {:>10} {:>8} {:>10} {:>10}",
            "service", "calls", "bad", "short", "long"
        )?;
        for burn in &self.services {
            writeln!(
                formatter,
                "{:<24} {:>10} {:>8} {:>10} {:>10}",
                burn.service,
                burn.calls.good + burn.calls.bad,
                burn.calls.bad,
                format_rate(burn.short),
                format_rate(burn.long)
            )?;
        }
        Ok(())
    }
}

/// Formats a burn rate for the table; `-` stands for no calls.
fn format_rate(rate: Option<f64>) -> String {
    rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"))
}
