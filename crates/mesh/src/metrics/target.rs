//! Gauges of the target on this host.

use filbert_policy::target_limit::CallRate;
use opentelemetry::metrics::{Gauge, Meter};

use crate::messages::TargetLoad;

/// The target on this host at one moment.
pub(super) struct TargetFigures {
    pub(super) load: TargetLoad,
    /// Limit on the calls that the target accepts; `None` without one.
    pub(super) call_limit: Option<CallRate>,
    /// Run times of the target now, as a ratio of the usual ones.
    pub(super) pace_factor: f64,
    pub(super) is_leaving: bool,
}

/// Gauges of the target on this host. They keep their last values once the target has
/// gone.
pub(super) struct TargetGauges {
    running: Gauge<u64>,
    waiting: Gauge<u64>,
    failure_rate: Gauge<f64>,
    call_limit: Gauge<f64>,
    leaving: Gauge<u64>,
    pace: Gauge<f64>,
}

impl TargetGauges {
    pub(super) fn new(meter: &Meter) -> TargetGauges {
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        let ratio = |name: &'static str, description: &'static str| {
            meter.f64_gauge(name).with_description(description).build()
        };
        TargetGauges {
            running: gauge("filbert.gate.running", "Calls at the target"),
            waiting: gauge("filbert.gate.waiting", "Calls that wait for the target"),
            failure_rate: ratio(
                "filbert.target.ill_share",
                "Share of the target's recent runs that ended ill",
            ),
            call_limit: ratio(
                "filbert.target.call_limit",
                "Calls per second that the target accepts, +Inf without a limit",
            ),
            pace: ratio(
                "filbert.target.pace",
                "Run times of the target now, as a ratio of the usual ones; 1 if not stated",
            ),
            leaving: gauge(
                "filbert.target.leaving",
                "Whether the target is shutting down, 0 or 1",
            ),
        }
    }

    /// Updates the gauges.
    pub(super) fn record(&self, figures: &TargetFigures) {
        let load = &figures.load;
        self.running.record(u64::from(load.running), &[]);
        self.waiting.record(u64::from(load.waiting), &[]);
        self.failure_rate.record(load.failure_rate, &[]);
        let call_limit = figures
            .call_limit
            .map_or(f64::INFINITY, CallRate::per_second);
        self.call_limit.record(call_limit, &[]);
        self.pace.record(figures.pace_factor, &[]);
        self.leaving.record(u64::from(figures.is_leaving), &[]);
    }
}
