//! Sends a call to targets, with the retries and hedged attempts that the
//! policy allows.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbert_policy::client_budget::{slots_for_calls_ahead, CallSize};
use filbert_tree::RouteEntry;
use rocket::http::Method;

use super::answer::{ProxyAnswer, NOT_RUN};
use super::call_result::{call_result, CallResult};
use super::policy::{
    connection_kind, final_step, hedge_delay, is_repeatable, next_step, AttemptEnd, ConnectionKind,
    NextStep, RetryAllowance,
};
use super::target_clients::HURRIED_CONNECT_TIMEOUT;
use super::{ProxyShared, OUTCOME_HEADER, REQUEST_ID_HEADER, SERVICE_HEADER};
use crate::clients::ClientCall;
use crate::targets::{PlacementRequest, SlotGuard, TargetHealth, TargetOutcome, TargetTable};

/// Response header with which a target reports its load.
const LOAD_HEADER: &str = "x-filbert-load";
/// Highest status that an answer may have.
const MAX_STATUS: u16 = 599;
/// Status of a target that is not of the service that the call is for (HTTP
/// 421, Misdirected Request).
const MISDIRECTED_REQUEST: u16 = 421;

/// The parts of a caller's call that are forwarded to the target.
pub(super) struct ForwardedCall {
    pub(super) method: Method,
    pub(super) path_and_query: String,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: Bytes,
    /// What is held for the call, and for its answer.
    pub(super) client: Arc<ClientCall>,
    pub(super) request_id: String,
    /// The time at which the caller must have the answer.
    pub(super) deadline: Instant,
}

/// The result of one attempt; `answer` is set if the attempt was answered.
struct Attempt {
    end: AttemptEnd,
    answer: Option<ProxyAnswer>,
}

/// Sends a call to one target after another until a target answers or the
/// policy allows no further attempt.
pub(super) async fn run_call(
    shared: &ProxyShared,
    route: &RouteEntry,
    call: &ForwardedCall,
) -> CallResult {
    shared.retry_budget.record_call(&route.service);
    let mut dispatch = CallDispatch {
        shared,
        route,
        call,
        repeatable: is_repeatable(call.method, &route.settings),
        tried_addresses: Vec::new(),
        free_tries: 0,
        may_have_run: false,
    };
    let mut next_slot = dispatch.choose_target();
    loop {
        let Some(slot) = next_slot else {
            // No target has a free slot. The caller is answered at once, with
            // a `Retry-After` header if the call certainly did not run, rather
            // than kept waiting until the deadline.
            let step = final_step(dispatch.allowance(false));
            return call_result(step, None, &route.service, call);
        };
        let attempt = dispatch.attempt_with_hedge(slot).await;
        next_slot = dispatch.choose_free_target(attempt.end);
        if next_slot.is_some() {
            continue;
        }
        let can_retry = dispatch.try_reserve_retry(attempt.end);
        match next_step(attempt.end, dispatch.allowance(can_retry)) {
            NextStep::SendAgain => next_slot = dispatch.choose_target(),
            step => return call_result(step, attempt.answer, &route.service, call),
        }
    }
}

/// The state of one call while it is sent to targets.
struct CallDispatch<'a> {
    shared: &'a ProxyShared,
    route: &'a RouteEntry,
    call: &'a ForwardedCall,
    repeatable: bool,
    /// The address of each attempt's target, hedged attempts included.
    tried_addresses: Vec<String>,
    /// Number of attempts that took no retry, since the one before reached no connection.
    free_tries: u32,
    may_have_run: bool,
}

impl<'a> CallDispatch<'a> {
    fn retries_left(&self) -> u32 {
        let attempts = u32::try_from(self.tried_addresses.len()).unwrap_or(u32::MAX);
        // The first attempt is not a retry.
        (self.route.settings.retries + 1).saturating_sub(attempts.saturating_sub(self.free_tries))
    }

    fn time_left(&self) -> Duration {
        let now = self.shared.clock.now();
        self.call.deadline.saturating_duration_since(now)
    }

    /// Whether another attempt may follow one that ended with `end`. After one that reached no
    /// connection, only if the next can be seen to reach none: else the call, which did not run,
    /// would end with the outcome unknown.
    fn has_time_after(&self, end: AttemptEnd) -> bool {
        self.time_left()
            > match end {
                AttemptEnd::NotConnected => HURRIED_CONNECT_TIMEOUT,
                _ => Duration::ZERO,
            }
    }

    fn allowance(&self, can_retry: bool) -> RetryAllowance {
        RetryAllowance {
            repeatable: self.repeatable,
            may_have_run: self.may_have_run,
            can_retry,
        }
    }

    /// Takes a slot on a target that was not tried yet, and adds the target's
    /// address to the tried ones.
    fn choose_target(&mut self) -> Option<SlotGuard> {
        let slot = self.acquire_slot(&self.tried_addresses, TargetHealth::Any)?;
        self.tried_addresses.push(slot.address().to_owned());
        Some(slot)
    }

    /// Takes a slot for an attempt that takes no retry, as the one before, which ended with
    /// `end`, reached no connection and so put no load on any target.
    ///
    /// Only a healthy target that was not tried yet gets it: otherwise each call of a service
    /// without a live target would be tried at all of them.
    fn choose_free_target(&mut self, end: AttemptEnd) -> Option<SlotGuard> {
        if end != AttemptEnd::NotConnected || !self.has_time_after(end) {
            return None;
        }
        let slot = self.acquire_slot(&self.tried_addresses, TargetHealth::Healthy)?;
        self.tried_addresses.push(slot.address().to_owned());
        self.free_tries += 1;
        Some(slot)
    }

    /// Takes a slot for a hedged attempt, on a target that was not tried yet if
    /// there is one. Otherwise a tried target is used again, since the fault may
    /// be in the connection rather than in the target.
    fn choose_hedge_target(&mut self) -> Option<SlotGuard> {
        let slot = self
            .acquire_slot(&self.tried_addresses, TargetHealth::Any)
            .or_else(|| self.acquire_slot(&[], TargetHealth::Any))?;
        self.tried_addresses.push(slot.address().to_owned());
        Some(slot)
    }

    fn acquire_slot(&self, excluded: &[String], health: TargetHealth) -> Option<SlotGuard> {
        let targets = self.shared.targets.load();
        let slots = self.route.settings.slots_per_target;
        let slots_per_target = if self.call.client.may_be_sent_ahead() {
            slots_for_calls_ahead(slots)
        } else {
            slots
        };
        let request = PlacementRequest {
            targets: &targets,
            service: &self.route.service,
            slots_per_target,
            excluded,
            health,
        };
        TargetTable::acquire_slot(&self.shared.target_table, request, self.shared.clock.now())
    }

    /// Prepares an attempt on the target of `slot`, over the given kind of
    /// connection.
    fn attempt(&self, slot: SlotGuard, connection: ConnectionKind) -> PendingAttempt<'a> {
        PendingAttempt {
            shared: self.shared,
            route: self.route,
            call: self.call,
            slot,
            timeout: self.time_left(),
            connection,
        }
    }

    /// Returns whether the call may be sent again after an attempt that ended
    /// with `end`. If so, the retry is taken from the service's retry budget.
    fn try_reserve_retry(&self, end: AttemptEnd) -> bool {
        let is_retryable = match end {
            AttemptEnd::Answered => false,
            AttemptEnd::Lost => self.repeatable,
            AttemptEnd::Declined | AttemptEnd::NotConnected => true,
        };
        let has_retries_and_time = self.retries_left() > 0 && self.has_time_after(end);
        is_retryable
            && has_retries_and_time
            && self.shared.retry_budget.try_spend(&self.route.service)
    }

    /// Runs an attempt and, if the attempt exceeds the hedge delay and the policy
    /// allows, a hedged attempt in parallel. The first complete answer is used.
    async fn attempt_with_hedge(&mut self, slot: SlotGuard) -> Attempt {
        let delay = hedge_delay(self.time_left(), self.retries_left(), self.repeatable);
        let connection = connection_kind(self.repeatable);
        let primary = self.attempt(slot, connection).run();
        let mut primary = pin!(primary);
        let Some(delay) = delay else {
            return self.record_end(primary.await);
        };
        if let Ok(attempt) = tokio::time::timeout(delay, primary.as_mut()).await {
            return self.record_end(attempt);
        }
        if !self.shared.retry_budget.try_spend(&self.route.service) {
            return self.record_end(primary.await);
        }
        let Some(slot) = self.choose_hedge_target() else {
            return self.record_end(primary.await);
        };
        let mut hedged = pin!(self.attempt(slot, ConnectionKind::New).run());
        let first = tokio::select! {
            attempt = primary.as_mut() => (attempt, true),
            attempt = hedged.as_mut() => (attempt, false),
        };
        let second = match first {
            (attempt, _) if attempt.end == AttemptEnd::Answered => {
                // The attempt that is dropped may run the call as well.
                self.may_have_run = true;
                return attempt;
            }
            (attempt, is_primary) => {
                self.record_end(attempt);
                if is_primary {
                    hedged.await
                } else {
                    primary.await
                }
            }
        };
        self.record_end(second)
    }

    fn record_end(&mut self, attempt: Attempt) -> Attempt {
        self.may_have_run |= attempt.end == AttemptEnd::Lost;
        attempt
    }
}

/// An attempt that is ready to be sent to the target of its slot.
struct PendingAttempt<'a> {
    shared: &'a ProxyShared,
    route: &'a RouteEntry,
    call: &'a ForwardedCall,
    slot: SlotGuard,
    timeout: Duration,
    connection: ConnectionKind,
}

impl PendingAttempt<'_> {
    /// Sends the call to the target and records the outcome in the target table.
    async fn run(self) -> Attempt {
        let attempt = self.send().await;
        record_target_outcome(self.shared, self.slot.address(), &attempt);
        attempt
    }

    async fn send(&self) -> Attempt {
        let (call, address) = (self.call, self.slot.address());
        let clients = &self.shared.target_clients;
        let client = clients.client(self.connection, self.timeout);
        let ended = |end| Attempt { end, answer: None };
        let method = reqwest::Method::from_bytes(call.method.as_str().as_bytes())
            .unwrap_or(reqwest::Method::GET);
        let mut request = client
            .request(method, format!("http://{address}{}", call.path_and_query))
            .timeout(self.timeout)
            .header(REQUEST_ID_HEADER, &call.request_id)
            .header(SERVICE_HEADER, &self.route.service)
            .body(call.body.clone());
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let response = match request.send().await {
            Ok(response) => response,
            // An address that gives no URL cannot be sent to either.
            Err(error) if error.is_connect() || error.is_builder() => {
                return ended(AttemptEnd::NotConnected)
            }
            Err(_) => return ended(AttemptEnd::Lost),
        };
        let status = response.status().as_u16();
        // The library takes any three digits for a status.
        if status > MAX_STATUS {
            return ended(AttemptEnd::Lost);
        }
        let header = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some((name.to_owned(), value.to_owned()))
        };
        let mut headers = vec![
            (REQUEST_ID_HEADER.to_owned(), call.request_id.clone()),
            ("x-filbert-target".to_owned(), address.to_owned()),
        ];
        headers.extend(["content-type", LOAD_HEADER].into_iter().filter_map(header));
        // The service header lets a target decline a call for another service.
        // Without the check, a call sent to an address that another service has
        // taken over would run on the wrong service.
        let declined = status == MISDIRECTED_REQUEST
            || header(OUTCOME_HEADER).is_some_and(|(_, outcome)| outcome == NOT_RUN);
        // The complete answer is read before any of it is returned, so that a
        // caller never gets a truncated answer that looks complete.
        if declined {
            return ended(AttemptEnd::Declined);
        }
        match read_answer(response, &call.client).await {
            Some(body) => Attempt {
                end: AttemptEnd::Answered,
                answer: Some(ProxyAnswer {
                    status,
                    headers,
                    body,
                    is_local: false,
                }),
            },
            None => ended(AttemptEnd::Lost),
        }
    }
}

/// Reads the body of an answer, which is charged to `client` as it comes; `None` if it is cut
/// or no memory is left for it.
async fn read_answer(mut response: reqwest::Response, client: &ClientCall) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(part) = response.chunk().await.ok()? {
        client.charge(CallSize::Short, part.len()).ok()?;
        body.extend_from_slice(&part);
    }
    Some(body)
}

fn record_target_outcome(shared: &ProxyShared, address: &str, attempt: &Attempt) {
    let failed = attempt
        .answer
        .as_ref()
        .is_some_and(|answer| answer.status >= 500);
    let load = attempt
        .answer
        .as_ref()
        .and_then(|answer| answer.header(LOAD_HEADER)?.parse().ok());
    let outcome = match attempt.end {
        AttemptEnd::Answered if failed => TargetOutcome::Failure,
        AttemptEnd::Answered => TargetOutcome::Success { load },
        AttemptEnd::Declined => TargetOutcome::Declined,
        AttemptEnd::NotConnected => TargetOutcome::Unreachable,
        AttemptEnd::Lost => TargetOutcome::Failure,
    };
    shared
        .target_table
        .record_outcome(address, outcome, shared.clock.now());
}
