//! Tokens for the calls of rate-limited organisations: each call takes one from this
//! daemon's cache, or waits until the [`pools`](super::pools) grant more.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::organisations::keys::OrganisationRule;
use filbert_policy::organisations::token_cache::TakeOutcome;

use super::pools::POOL_RETRY_DELAY;
use super::{OrganisationState, TokenCacheEntry};
use crate::state::MeshShared;

/// Maximum time for which a call waits for a token.
const TOKEN_WAIT_TIMEOUT: Duration = Duration::from_millis(250);
/// A token taken for one call.
pub struct CallToken {
    /// Name of the organisation whose token this is.
    organisation: String,
    organisations: Rc<OrganisationState>,
}

impl CallToken {
    /// Returns the token to the cache, as the call did not run.
    pub fn refund(self) {
        let now = self.organisations.clock.now();
        let mut token_caches = self.organisations.token_caches.borrow_mut();
        if let Some(entry) = token_caches.get_mut(&self.organisation) {
            entry.token_cache.refund(now);
        }
    }
}

/// Counts a call as waiting for a token until it is dropped.
struct WaitingCall {
    organisation: String,
    organisations: Rc<OrganisationState>,
}

impl WaitingCall {
    fn new(
        organisations: &Rc<OrganisationState>,
        organisation: &str,
        entry: &mut TokenCacheEntry,
    ) -> WaitingCall {
        entry.waiting += 1;
        WaitingCall {
            organisation: organisation.to_owned(),
            organisations: Rc::clone(organisations),
        }
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        let mut token_caches = self.organisations.token_caches.borrow_mut();
        if let Some(entry) = token_caches.get_mut(&self.organisation) {
            entry.waiting -= 1;
        }
    }
}

impl MeshShared {
    /// Takes a token for a call of `organisation`, and waits for one until `deadline`
    /// at most. Returns `None` if the organisation has no rate limit.
    ///
    /// # Errors
    /// The time after which a token may be available, if there is none.
    pub async fn take_token(
        self: &Rc<Self>,
        organisation: &OrganisationRule,
        deadline: Instant,
    ) -> Result<Option<CallToken>, Duration> {
        if organisation.limit.is_none() {
            return Ok(None);
        }
        let name = organisation.name.as_str();
        let wait_until = deadline.min(self.clock.now() + TOKEN_WAIT_TIMEOUT);
        loop {
            let now = self.clock.now();
            let (changed, waiting) = {
                let mut token_caches = self.organisations.token_caches.borrow_mut();
                let entry = token_caches.entry(name.to_owned()).or_default();
                match entry.token_cache.take(now) {
                    TakeOutcome::Taken => {
                        let starts_request =
                            entry.token_cache.needs_refill(now) && !entry.is_requesting;
                        entry.is_requesting |= starts_request;
                        drop(token_caches);
                        if starts_request {
                            self.request_in_background(organisation);
                        }
                        return Ok(Some(self.call_token(name)));
                    }
                    TakeOutcome::Exhausted(left) => return Err(left),
                    TakeOutcome::RequestMore => {}
                }
                let waiting = WaitingCall::new(&self.organisations, name, entry);
                let starts_request = !std::mem::replace(&mut entry.is_requesting, true);
                let changed = Rc::clone(&entry.changed);
                drop(token_caches);
                if starts_request {
                    self.request_in_background(organisation);
                }
                (changed, waiting)
            };
            let waited = tokio::time::timeout_at(wait_until.into(), changed.notified()).await;
            drop(waiting);
            if waited.is_err() {
                return Err(POOL_RETRY_DELAY);
            }
        }
    }

    fn call_token(&self, organisation: &str) -> CallToken {
        CallToken {
            organisation: organisation.to_owned(),
            organisations: Rc::clone(&self.organisations),
        }
    }

    fn request_in_background(self: &Rc<Self>, organisation: &OrganisationRule) {
        let shared = Rc::clone(self);
        let name = organisation.name.clone();
        tokio::task::spawn_local(async move {
            // Calls that arrive before the next poll of this task share the request.
            tokio::task::yield_now().await;
            let grant = shared.request_tokens(&name).await;
            let now = shared.clock.now();
            let mut token_caches = shared.organisations.token_caches.borrow_mut();
            if let Some(entry) = token_caches.get_mut(&name) {
                entry.is_requesting = false;
                entry.token_cache.granted(grant, now);
                entry.changed.notify_waiters();
            }
        });
    }
}

impl OrganisationState {
    /// Number of tokens to request for the calls of `organisation`.
    pub(super) fn wanted(&self, organisation: &str) -> u32 {
        let token_caches = self.token_caches.borrow();
        token_caches
            .get(organisation)
            .map_or(1, |entry| entry.token_cache.wanted(entry.waiting))
    }
}
