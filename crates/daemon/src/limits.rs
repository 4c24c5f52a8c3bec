//! The retry budget: how many calls may be sent a second time.

use std::collections::HashMap;
use std::sync::Mutex;

/// Share of a service's calls that may be sent again, in hundredths of a call
/// added to the budget by each call.
const EARNED_PER_CALL: u32 = 20;
/// What one retry takes from the budget, in hundredths.
const RETRY_COST: u32 = 100;
/// The most a budget holds, and what it starts with, in hundredths: ten retries.
const BUDGET_LIMIT: u32 = 1_000;

/// Per-service retry budgets.
///
/// Guards against retries that multiply the load of a service in trouble
/// (seen as an overload that outlasts its cause): a service gets at most a
/// fifth more calls than its callers made, plus a small reserve.
#[derive(Debug, Default)]
pub struct RetryBudget {
    left: Mutex<HashMap<String, u32>>,
}

impl RetryBudget {
    fn with<T>(&self, service: &str, act: impl FnOnce(&mut u32) -> T) -> T {
        // Each budget is one number, so a poisoned lock is still usable.
        let mut left = self
            .left
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(budget) = left.get_mut(service) {
            return act(budget);
        }
        act(left.entry(service.to_owned()).or_insert(BUDGET_LIMIT))
    }

    /// Counts a caller's call of `service`.
    pub fn record_call(&self, service: &str) {
        self.with(service, |left| {
            *left = (*left + EARNED_PER_CALL).min(BUDGET_LIMIT);
        });
    }

    /// Takes one retry from the budget; false when there is none left.
    pub fn try_spend(&self, service: &str) -> bool {
        self.with(service, |left| match left.checked_sub(RETRY_COST) {
            Some(rest) => {
                *left = rest;
                true
            }
            None => false,
        })
    }
}
