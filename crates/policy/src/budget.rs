//! The retry budget that all daemons share without talking about it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::numbers::count_to_f64;

/// Slices a window is counted in.
const SLICES: u32 = 20;

/// What the daemons together may spend, from the host's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetTerms {
    /// Repeated arrivals per call, in any window.
    pub ratio: f64,
    /// Repeated arrivals per window and service on top, of all daemons together.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Part of the terms that daemons give out. The rest covers windows that begin
/// at other moments, and daemons that start with an empty count.
const USED_SHARE: f64 = 0.7;
/// Part of that for calls that a target ran and failed. Repeating them helps
/// least: where many fail, the cause is mostly further down.
const FAILED_SHARE: f64 = 0.5;

/// Why an attempt is to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatCause {
    /// The target rejected the call or gave no whole answer.
    NoAnswer,
    /// The target ran the call and answered with a failure of its own.
    Failed,
}

#[derive(Debug)]
struct WindowCounts {
    slices: [(u64, u32, u32); SLICES as usize],
}

impl WindowCounts {
    fn slice(&mut self, slot: u64) -> &mut (u64, u32, u32) {
        let index = usize::try_from(slot % u64::from(SLICES)).unwrap_or(0);
        let slice = &mut self.slices[index];
        if slice.0 != slot {
            *slice = (slot, 0, 0);
        }
        slice
    }

    fn totals(&self, slot: u64) -> (u32, u32) {
        self.slices
            .iter()
            .filter(|slice| slice.0 + u64::from(SLICES) > slot && slice.0 <= slot)
            .fold((0, 0), |sum, slice| (sum.0 + slice.1, sum.1 + slice.2))
    }
}

/// Per-service budgets of one daemon.
///
/// Load pattern: many targets fail at once, and each call sent a second time
/// makes the rest fail too. Each daemon spends a share: the ratio on the calls
/// it took itself, and its part of the slack. When all do, the sum stays within
/// the terms without a message between them.
///
/// A run that is a repeat makes its own calls again, so repeats at one service
/// are repeats at the services behind it. Which those are is not known, but a
/// service gets at most as many calls per run of another as their counts
/// stand to each other; so much of every repeat is charged to each of them.
#[derive(Debug)]
pub struct RetryBudget {
    terms: BudgetTerms,
    start: Instant,
    services: HashMap<String, WindowCounts>,
}

impl RetryBudget {
    /// An unspent budget.
    #[must_use]
    pub fn new(terms: BudgetTerms, now: Instant) -> RetryBudget {
        RetryBudget {
            terms,
            start: now,
            services: HashMap::new(),
        }
    }

    fn slot(&self, now: Instant) -> u64 {
        let width = (self.terms.window / SLICES).as_micros().max(1);
        let since = now.saturating_duration_since(self.start).as_micros();
        u64::try_from(since / width).unwrap_or(u64::MAX) + u64::from(SLICES)
    }

    fn counts(&mut self, service: &str) -> &mut WindowCounts {
        if !self.services.contains_key(service) {
            let fresh = WindowCounts {
                slices: [(0, 0, 0); SLICES as usize],
            };
            self.services.insert(service.to_owned(), fresh);
        }
        self.services
            .get_mut(service)
            .expect("the entry was just made")
    }

    /// Counts a call for `service`.
    pub fn earn(&mut self, service: &str, now: Instant) {
        let slot = self.slot(now);
        self.counts(service).slice(slot).1 += 1;
    }

    /// Takes one repeated arrival from the budget, if `daemons` daemons with
    /// this one's share leave room for it, here and at the services behind.
    pub fn spend(
        &mut self,
        service: &str,
        cause: RepeatCause,
        daemons: usize,
        now: Instant,
    ) -> bool {
        let slot = self.slot(now);
        self.counts(service);
        let share = match cause {
            RepeatCause::NoAnswer => USED_SHARE,
            RepeatCause::Failed => USED_SHARE * FAILED_SHARE,
        };
        let slack = self.terms.slack / count_to_f64(daemons.max(1));
        let totals: Vec<(f64, f64)> = self
            .services
            .iter()
            .map(|(name, counts)| {
                let (calls, repeats) = counts.totals(slot);
                let new = if name == service { 1.0 } else { 0.0 };
                (f64::from(calls), f64::from(repeats) + new)
            })
            .collect();
        let fits = totals.iter().enumerate().all(|(at, &(calls, own))| {
            let behind: f64 = totals
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != at)
                .map(|(_, &(others, repeats))| repeats * (calls / others.max(1.0)).min(1.0))
                .sum();
            own + behind <= share * (self.terms.ratio * calls + slack)
        });
        if fits {
            self.counts(service).slice(slot).2 += 1;
        }
        fits
    }
}
