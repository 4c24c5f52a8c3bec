//! Tokens for the calls of rate-limited organisations: each call takes one from this
//! daemon's cache, or waits in order until the [`pools`](super::pools) grant more.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::organisations::keys::OrganisationRule;
use filbert_policy::organisations::quota::TokenGrant;
use filbert_policy::organisations::quota_retries::QuotaRetries;
use filbert_policy::organisations::token_queue::{TokenDecision, TokenQueue, WaitingId};
use filbert_policy::organisations::token_request::{QuotaRefusal, TokenRequest};
use rand::Rng;
use tokio::sync::oneshot;

use super::pools::POOL_RETRY_DELAY;
use super::OrganisationState;
use crate::logging::LinePriority;
use crate::state::MeshShared;

/// Age up to which the token of a call that did not run is returned. Older ones would be
/// spent in a later window, in addition to the tokens generated in it.
const MAX_REFUND_AGE: Duration = Duration::from_millis(500);

/// Tokens of one organisation at this daemon, and the calls that wait for one.
#[derive(Default)]
pub(super) struct OrganisationTokens {
    queue: TokenQueue,
    retries: QuotaRetries,
    /// Receivers of the outcome of each wait.
    waiting: HashMap<WaitingId, oneshot::Sender<Result<(), QuotaRefusal>>>,
    /// Whether a request for tokens is in progress or planned.
    is_requesting: bool,
    /// Whether tokens were short at the last check.
    was_short: bool,
}

impl OrganisationTokens {
    pub(super) fn has_waiting(&self) -> bool {
        self.queue.has_waiting()
    }

    /// Tells the calls whose wait has ended. Returns whether any of them got a token.
    fn deliver(&mut self) -> bool {
        let settled_calls = self.queue.take_settled();
        let has_granted = settled_calls.iter().any(|settled| settled.outcome.is_ok());
        for settled in settled_calls {
            if let Some(sender) = self.waiting.remove(&settled.id) {
                // The receiver exists: a cancelled call removes its sender.
                let _ = sender.send(settled.outcome);
            }
        }
        has_granted
    }

    /// Returns whether tokens are short now, if that has changed since the last check.
    fn shortage_change(&mut self, now: Instant) -> Option<bool> {
        let is_short = self.queue.is_short(now);
        let was_short = std::mem::replace(&mut self.was_short, is_short);
        (is_short != was_short).then_some(is_short)
    }

    /// Whether a request for tokens has to be started now.
    fn begin_request(&mut self, is_needed: bool) -> bool {
        is_needed && !std::mem::replace(&mut self.is_requesting, true)
    }

    /// Returns the time of the next request or the next end of a wait. Returns `None` and
    /// ends the requests if no call waits, and the calls that got tokens just now, if
    /// `has_granted`, have left enough for the next ones.
    fn next_request(&mut self, has_granted: bool, now: Instant) -> Option<Instant> {
        let needs_refill = has_granted && self.queue.needs_refill(now);
        self.is_requesting = self.queue.has_waiting() || needs_refill;
        self.is_requesting.then(|| self.queue.next_event(now))
    }
}

/// A token taken for one call.
pub struct CallToken {
    /// Name of the organisation whose token this is.
    organisation: String,
    taken_at: Instant,
    organisations: Rc<OrganisationState>,
}

impl CallToken {
    /// Returns the token for the next call, as this call did not run. A token older than
    /// [`MAX_REFUND_AGE`] is lost.
    pub fn refund(self) {
        let now = self.organisations.clock.now();
        if now.saturating_duration_since(self.taken_at) < MAX_REFUND_AGE {
            self.organisations.refund(&self.organisation);
        }
    }
}

/// A call in the queue for a token. It leaves the queue when it is dropped.
struct WaitingCall {
    id: WaitingId,
    organisation: String,
    organisations: Rc<OrganisationState>,
    outcome: oneshot::Receiver<Result<(), QuotaRefusal>>,
}

impl WaitingCall {
    /// Waits for a token until `wait_until`.
    async fn outcome(mut self, wait_until: Instant) -> Result<(), QuotaRefusal> {
        let outcome = tokio::time::timeout_at(wait_until.into(), &mut self.outcome).await;
        if let Ok(Ok(outcome)) = outcome {
            return outcome;
        }
        let now = self.organisations.clock.now();
        self.organisations
            .with_tokens(&self.organisation, |tokens| {
                tokens.queue.expire(now);
                tokens.deliver();
            });
        self.outcome
            .try_recv()
            .unwrap_or(Err(QuotaRefusal::NoToken))
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.outcome.close();
        // The client may cancel the call at the moment at which it gets a token.
        if let Ok(Ok(())) = self.outcome.try_recv() {
            self.organisations.refund(&self.organisation);
        }
        self.organisations
            .with_tokens(&self.organisation, |tokens| {
                tokens.queue.cancel(self.id);
                tokens.waiting.remove(&self.id);
            });
    }
}

impl MeshShared {
    /// Takes a token for a call of `organisation`, and waits for one while it may come
    /// in time. Returns `None` if the organisation has no rate limit.
    ///
    /// # Errors
    /// Why there is none.
    pub async fn take_token(
        self: &Rc<Self>,
        organisation: &OrganisationRule,
        request: &TokenRequest,
    ) -> Result<Option<CallToken>, QuotaRefusal> {
        if organisation.limit.is_none() {
            return Ok(None);
        }
        let outcome = match self.offer_call(organisation, request) {
            Ok(None) => Ok(()),
            Ok(Some((waiting, wait_until))) => waiting.outcome(wait_until).await,
            Err(refusal) => Err(refusal),
        };
        outcome.map(|()| {
            Some(CallToken {
                organisation: organisation.name.clone(),
                taken_at: self.clock.now(),
                organisations: Rc::clone(&self.organisations),
            })
        })
    }

    /// Offers a call to the queue. Returns `None` if it has a token, and otherwise the
    /// waiting call and the time until which it waits.
    fn offer_call(
        self: &Rc<Self>,
        organisation: &OrganisationRule,
        request: &TokenRequest,
    ) -> Result<Option<(WaitingCall, Instant)>, QuotaRefusal> {
        let now = self.clock.now();
        let name = organisation.name.as_str();
        let mut token_caches = self.organisations.token_caches.borrow_mut();
        let tokens = token_caches.entry(name.to_owned()).or_default();
        if let Some(is_short) = tokens.shortage_change(now) {
            self.log_shortage(name, is_short, now);
        }
        let decision = tokens.queue.offer(request, now);
        let (waiting, starts_request) = match decision {
            TokenDecision::Taken => {
                let is_needed = tokens.queue.needs_refill(now);
                (None, tokens.begin_request(is_needed))
            }
            TokenDecision::Wait(id, wait_until) => {
                let (sender, outcome) = oneshot::channel();
                tokens.waiting.insert(id, sender);
                let waiting = WaitingCall {
                    id,
                    organisation: name.to_owned(),
                    organisations: Rc::clone(&self.organisations),
                    outcome,
                };
                (Some((waiting, wait_until)), tokens.begin_request(true))
            }
            TokenDecision::Refused(refusal) => return Err(refusal),
        };
        tokens.deliver();
        drop(token_caches);
        if starts_request {
            self.request_in_background(organisation);
        }
        Ok(waiting)
    }

    /// Requests tokens until no call waits for one.
    fn request_in_background(self: &Rc<Self>, organisation: &OrganisationRule) {
        let shared = Rc::clone(self);
        let name = organisation.name.clone();
        tokio::task::spawn_local(async move {
            // Calls that arrive before the next poll of this task share the request.
            tokio::task::yield_now().await;
            loop {
                let grant = shared.request_tokens(&name).await;
                let mut next_event = shared.add_grant(&name, grant);
                while let Some(at) = next_event.filter(|at| *at > shared.clock.now()) {
                    tokio::time::sleep_until(at.into()).await;
                    next_event = shared.organisations.end_waits(&name);
                }
                if next_event.is_none() {
                    return;
                }
            }
        });
    }

    /// Adds a grant. Returns as [`OrganisationTokens::next_request`].
    fn add_grant(&self, organisation: &str, grant: TokenGrant) -> Option<Instant> {
        let now = self.clock.now();
        self.organisations
            .with_tokens(organisation, |tokens| {
                tokens.queue.granted(grant, rand::rng().random(), now);
                if let Some(is_short) = tokens.shortage_change(now) {
                    self.log_shortage(organisation, is_short, now);
                }
                let has_granted = tokens.deliver();
                tokens.next_request(has_granted, now)
            })
            .flatten()
    }

    /// Logs that an organisation's tokens became short, or are short no longer.
    fn log_shortage(&self, organisation: &str, is_short: bool, now: Instant) {
        if self.log_limiter.allows(LinePriority::Notable, now) {
            let event = if is_short {
                "tokens_short"
            } else {
                "tokens_suffice"
            };
            log::info!("event={event} organisation={organisation}");
        }
    }
}

impl OrganisationState {
    /// Number of tokens to request for the calls of `organisation`.
    pub(super) fn wanted(&self, organisation: &str) -> u32 {
        let token_caches = self.token_caches.borrow();
        token_caches
            .get(organisation)
            .map_or(1, |tokens| tokens.queue.wanted())
    }

    fn refund(&self, organisation: &str) {
        let now = self.clock.now();
        self.with_tokens(organisation, |tokens| {
            tokens.queue.refund(now);
            tokens.deliver();
        });
    }

    /// Ends the wait of calls whose time is up. Returns as
    /// [`OrganisationTokens::next_request`].
    fn end_waits(&self, organisation: &str) -> Option<Instant> {
        let now = self.clock.now();
        self.with_tokens(organisation, |tokens| {
            tokens.queue.expire(now);
            let has_granted = tokens.deliver();
            tokens.next_request(has_granted, now)
        })
        .flatten()
    }

    /// Reserves the time of the retry of a call that got no token, and returns the time
    /// until then.
    #[must_use]
    pub fn reserve_retry(&self, organisation: &str, request: &TokenRequest) -> Duration {
        let now = self.clock.now();
        let retry_after = self.with_tokens(organisation, |tokens| {
            let earliest = if tokens.queue.is_short(now) {
                Duration::ZERO
            } else {
                POOL_RETRY_DELAY
            };
            let OrganisationTokens { queue, retries, .. } = tokens;
            retries.retry_after(request, queue, earliest, now)
        });
        retry_after.unwrap_or(POOL_RETRY_DELAY)
    }

    fn with_tokens<T>(
        &self,
        organisation: &str,
        update: impl FnOnce(&mut OrganisationTokens) -> T,
    ) -> Option<T> {
        let mut token_caches = self.token_caches.borrow_mut();
        token_caches.get_mut(organisation).map(update)
    }
}
