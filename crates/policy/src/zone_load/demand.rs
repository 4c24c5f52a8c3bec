//! Measures the demand for a service, and keeps it steady against random arrivals.

use std::time::{Duration, Instant};

/// Time constant of [`DemandAverage`]: its average covers about twice this time, so that
/// a rise is seen within a second.
const AVERAGE_TIME: Duration = Duration::from_millis(400);
/// Relative deviation of a [`SteadyLoad`] from a measured load of one slot. The random
/// variation of arrivals falls with the root of the load: 62 slots of calls of 150 ms vary
/// by 6% when measured by [`DemandAverage`], and their deviation may be 10%.
const STEADY_BAND: f64 = 1.0;
/// Largest relative deviation, of small loads.
const MAX_STEADY_BAND: f64 = 0.3;
/// Time in which a [`SteadyLoad`] closes the rest of a deviation within its band.
const STEADY_TIME: Duration = Duration::from_secs(2);
/// Time in which a [`SteadyLoad`] closes the part of a deviation beyond its band. A
/// short random excursion moves it less.
const CHANGE_TIME: Duration = Duration::from_millis(250);

/// Decaying average of the number of slots that calls need: calls per second times
/// expected run time.
#[derive(Clone, Copy, Debug)]
pub struct DemandAverage {
    slots: f64,
    updated_at: Instant,
}

impl DemandAverage {
    /// Creates an average without any calls.
    #[must_use]
    pub fn new(now: Instant) -> DemandAverage {
        DemandAverage {
            slots: 0.0,
            updated_at: now,
        }
    }

    /// Counts a call that is expected to run for `run`.
    pub fn record(&mut self, run: Duration, now: Instant) {
        self.slots = self.slots(now) + run.as_secs_f64() / AVERAGE_TIME.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Number of slots that the calls need.
    #[must_use]
    pub fn slots(&self, now: Instant) -> f64 {
        self.slots * decay(now.saturating_duration_since(self.updated_at), AVERAGE_TIME)
    }
}

/// A measured load that follows a change beyond the random variation fast, and a
/// smaller one slowly.
#[derive(Clone, Copy, Debug)]
pub struct SteadyLoad {
    value: f64,
    updated_at: Instant,
}

impl SteadyLoad {
    /// Starts at the measured load.
    #[must_use]
    pub fn new(measured: f64, now: Instant) -> SteadyLoad {
        SteadyLoad {
            value: measured,
            updated_at: now,
        }
    }

    /// Follows the measured load, and returns the steady one.
    pub fn follow(&mut self, measured: f64, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let band = (STEADY_BAND / measured.max(1.0).sqrt()).min(MAX_STEADY_BAND);
        let near = self
            .value
            .clamp(measured * (1.0 - band), measured * (1.0 + band));
        let within = measured + (near - measured) * decay(elapsed, STEADY_TIME);
        self.value = within + (self.value - near) * decay(elapsed, CHANGE_TIME);
        self.updated_at = now;
        self.value
    }
}

/// Fraction of a value that is left after `elapsed`.
fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
