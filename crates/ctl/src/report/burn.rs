//! Service-level burn: how fast each service uses up its error budget, over a
//! short and a long window. A rate of 1 uses exactly the budget that the
//! objective leaves; both windows far above 1 mean that something is wrong now
//! and has been for a while.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::sample::{CallSample, CallTotals};

/// What the report is made with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnSettings {
    /// Share of calls that must end well, such as 0.999.
    pub objective: f64,
    /// The short window.
    pub short: Duration,
    /// The long window.
    pub long: Duration,
}

/// Calls added between two samples of a daemon, at the later one's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BurnStep {
    /// Seconds since the Unix epoch.
    pub at: u64,
    /// Calls added.
    pub calls: CallTotals,
}

/// One service's burn.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceBurn {
    /// The service.
    pub service: String,
    /// Calls in the long window.
    pub calls: CallTotals,
    /// Burn rate over the short window; `None` without calls in it.
    pub short: Option<f64>,
    /// Burn rate over the long window; `None` without calls in it.
    pub long: Option<f64>,
    /// Every step of the long window, in order of time, for the plot.
    pub steps: Vec<BurnStep>,
}

/// The burn of every service, as of the newest sample.
#[derive(Clone, Debug, PartialEq)]
pub struct BurnReport {
    /// What it was made with.
    pub settings: BurnSettings,
    /// When the newest sample was taken, in seconds since the Unix epoch.
    pub as_of: u64,
    /// Services, the fastest burning over the long window first.
    pub services: Vec<ServiceBurn>,
}

impl BurnReport {
    /// Makes the report from samples in any order; `None` without samples.
    #[must_use]
    pub fn new(samples: &[CallSample], settings: BurnSettings) -> Option<BurnReport> {
        let as_of = samples.iter().map(|sample| sample.at).max()?;
        let mut services: Vec<ServiceBurn> = steps_by_service(samples)
            .into_iter()
            .map(|(service, steps)| service_burn(service, &steps, as_of, settings))
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

/// The calls added from sample to sample of each daemon, by service.
fn steps_by_service(samples: &[CallSample]) -> BTreeMap<String, Vec<BurnStep>> {
    let mut ordered: Vec<&CallSample> = samples.iter().collect();
    ordered.sort_by_key(|sample| sample.at);
    let mut last: BTreeMap<&str, &CallSample> = BTreeMap::new();
    let mut steps: BTreeMap<String, Vec<BurnStep>> = BTreeMap::new();
    for sample in ordered {
        // A daemon's first sample only sets where it counts from.
        if let Some(earlier) = last.insert(&sample.daemon, sample) {
            for (service, totals) in &sample.services {
                let before = earlier.services.get(service).copied().unwrap_or_default();
                steps.entry(service.clone()).or_default().push(BurnStep {
                    at: sample.at,
                    calls: totals.since(before),
                });
            }
        }
    }
    steps
}

fn service_burn(
    service: String,
    steps: &[BurnStep],
    as_of: u64,
    settings: BurnSettings,
) -> ServiceBurn {
    let calls = calls_within(steps, as_of, settings.long);
    let recent = calls_within(steps, as_of, settings.short);
    let start = as_of.saturating_sub(settings.long.as_secs());
    ServiceBurn {
        service,
        calls,
        short: burn_rate(recent, settings.objective),
        long: burn_rate(calls, settings.objective),
        steps: steps
            .iter()
            .copied()
            .filter(|step| step.at > start)
            .collect(),
    }
}

fn calls_within(steps: &[BurnStep], as_of: u64, window: Duration) -> CallTotals {
    let start = as_of.saturating_sub(window.as_secs());
    let mut totals = CallTotals::default();
    for step in steps.iter().filter(|step| step.at > start) {
        totals.add(step.calls);
    }
    totals
}

/// Share of bad calls over the share the objective allows.
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
                shown(burn.short),
                shown(burn.long)
            )?;
        }
        Ok(())
    }
}

fn shown(rate: Option<f64>) -> String {
    rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"))
}
