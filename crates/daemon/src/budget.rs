//! The retry budget, which limits how many calls are sent again.

use std::collections::HashMap;
use std::sync::Mutex;

/// Tokens that each call adds to the budget of the call's service. A token is
/// a hundredth of a retry, so retries are limited to a fifth of the calls.
const TOKENS_PER_CALL: u32 = 20;
/// Tokens that one retry takes from the budget.
const TOKENS_PER_RETRY: u32 = 100;
/// Maximum and initial number of tokens of a budget, enough for ten retries.
const MAX_TOKENS: u32 = 1_000;

/// Retry budgets, one for each service.
///
/// A service gets at most a fifth more calls than its callers made, plus a
/// reserve of ten retries. Without the limit, retries multiply the load of a
/// failing service, and the overload outlasts its cause.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Tokens left, by service.
    tokens_by_service: Mutex<HashMap<String, u32>>,
}

impl RetryBudget {
    fn with_tokens<T>(&self, service: &str, update: impl FnOnce(&mut u32) -> T) -> T {
        // Each budget is a single number, so a poisoned lock is still usable.
        let mut tokens_by_service = self
            .tokens_by_service
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(tokens) = tokens_by_service.get_mut(service) {
            return update(tokens);
        }
        update(
            tokens_by_service
                .entry(service.to_owned())
                .or_insert(MAX_TOKENS),
        )
    }

    /// Adds the tokens for one call of `service` by a caller.
    pub fn record_call(&self, service: &str) {
        self.with_tokens(service, |tokens| {
            *tokens = (*tokens + TOKENS_PER_CALL).min(MAX_TOKENS);
        });
    }

    /// Takes the tokens for one retry from the budget of `service`. Returns
    /// false, and takes nothing, when too few tokens are left.
    pub fn try_spend(&self, service: &str) -> bool {
        self.with_tokens(service, |tokens| {
            match tokens.checked_sub(TOKENS_PER_RETRY) {
                Some(remaining) => {
                    *tokens = remaining;
                    true
                }
                None => false,
            }
        })
    }
}
