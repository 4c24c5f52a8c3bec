//! The retry budget, which limits the retries of all daemons together without
//! communication between them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::numbers::count_to_f64;

/// Number of slices that divide a window.
const WINDOW_SLICES: u32 = 20;

/// Limits on the retries of all daemons together, from the host's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per call in any window.
    pub ratio: f64,
    /// Additional retries per window and service, of all daemons together.
    pub slack: f64,
    /// Length of the window in which calls and retries are counted.
    pub window: Duration,
}

/// Share of the limits that daemons spend. The rest covers windows that start at
/// other times, and daemons that start with empty counts.
const SPENDABLE_SHARE: f64 = 0.7;
/// Share of [`SPENDABLE_SHARE`] for calls that a target ran and failed. Retrying
/// them helps least: if many calls fail, the cause is mostly in a service that
/// the target calls.
const FAILED_CALL_SHARE: f64 = 0.5;

/// Why a call is to be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// The target rejected the call or sent no complete answer.
    NoAnswer,
    /// The target ran the call and answered with a failure.
    Failed,
}

/// Calls and retries of one service in the current window.
#[derive(Debug)]
struct WindowCounts {
    /// Slice number, calls and retries of each slice.
    slices: [(u64, u32, u32); WINDOW_SLICES as usize],
}

impl WindowCounts {
    fn slice(&mut self, slice_number: u64) -> &mut (u64, u32, u32) {
        let index = usize::try_from(slice_number % u64::from(WINDOW_SLICES)).unwrap_or(0);
        let slice = &mut self.slices[index];
        if slice.0 != slice_number {
            *slice = (slice_number, 0, 0);
        }
        slice
    }

    fn totals(&self, slice_number: u64) -> (u32, u32) {
        self.slices
            .iter()
            .filter(|slice| {
                slice.0 + u64::from(WINDOW_SLICES) > slice_number && slice.0 <= slice_number
            })
            .fold((0, 0), |sum, slice| (sum.0 + slice.1, sum.1 + slice.2))
    }
}

/// Retry budgets of one daemon, one per service.
///
/// Each daemon may spend the ratio on the calls that it received itself, plus an
/// equal part of the slack. The retries of all daemons together then stay within
/// the limits without communication.
///
/// A retried run makes its own calls again, so a retry at one service also causes
/// retries at the services that it calls. The call graph is unknown, but a
/// service receives at most as many calls per run of another service as the
/// ratio of their call counts. That share of each retry is charged to every
/// other service.
///
/// Load pattern: many targets fail at once, and the load of the retries makes the
/// remaining targets fail as well.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    started_at: Instant,
    services: HashMap<String, WindowCounts>,
}

impl RetryBudget {
    /// Creates a budget without counted calls or retries.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits, now: Instant) -> RetryBudget {
        RetryBudget {
            limits,
            started_at: now,
            services: HashMap::new(),
        }
    }

    /// Number of the slice at `now`. Numbers start at [`WINDOW_SLICES`], so that
    /// unused slices, which have number 0, lie outside the first window.
    fn slice_number(&self, now: Instant) -> u64 {
        let slice_micros = (self.limits.window / WINDOW_SLICES).as_micros().max(1);
        let elapsed_micros = now.saturating_duration_since(self.started_at).as_micros();
        u64::try_from(elapsed_micros / slice_micros).unwrap_or(u64::MAX) + u64::from(WINDOW_SLICES)
    }

    fn counts(&mut self, service: &str) -> &mut WindowCounts {
        if !self.services.contains_key(service) {
            let empty = WindowCounts {
                slices: [(0, 0, 0); WINDOW_SLICES as usize],
            };
            self.services.insert(service.to_owned(), empty);
        }
        self.services
            .get_mut(service)
            .expect("the entry was just inserted")
    }

    /// Counts a new call to `service`.
    pub fn record_call(&mut self, service: &str, now: Instant) {
        let slice_number = self.slice_number(now);
        self.counts(service).slice(slice_number).1 += 1;
    }

    /// Takes one retry of a call to `service` from the budget and returns true, or
    /// returns false if the retry would exceed this daemon's share of the limits
    /// at any service. The slack is divided among `daemons` daemons.
    pub fn try_spend(
        &mut self,
        service: &str,
        cause: RetryCause,
        daemons: usize,
        now: Instant,
    ) -> bool {
        let slice_number = self.slice_number(now);
        self.counts(service);
        let share = match cause {
            RetryCause::NoAnswer => SPENDABLE_SHARE,
            RetryCause::Failed => SPENDABLE_SHARE * FAILED_CALL_SHARE,
        };
        let slack = self.limits.slack / count_to_f64(daemons.max(1));
        let totals: Vec<(f64, f64)> = self
            .services
            .iter()
            .map(|(name, counts)| {
                let (calls, retries) = counts.totals(slice_number);
                let new = if name == service { 1.0 } else { 0.0 };
                (f64::from(calls), f64::from(retries) + new)
            })
            .collect();
        let fits = totals.iter().enumerate().all(|(index, &(calls, direct))| {
            let indirect: f64 = totals
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
                .map(|(_, &(other_calls, retries))| {
                    retries * (calls / other_calls.max(1.0)).min(1.0)
                })
                .sum();
            direct + indirect <= share * (self.limits.ratio * calls + slack)
        });
        if fits {
            self.counts(service).slice(slice_number).2 += 1;
        }
        fits
    }
}
