//! Sending a call to targets: one attempt after another, as the policy allows.

use std::pin::pin;
use std::time::{Duration, Instant};

use filbert_tree::RouteEntry;
use rocket::http::Method;

use super::answer::{ProxyAnswer, NOT_RUN};
use super::policy::{
    first_connection, is_repeatable, next_step, no_more_attempts, second_attempt_after, AttemptEnd,
    ConnectionKind, NextStep, RetryAllowance,
};
use super::{ProxyShared, OUTCOME_HEADER, REQUEST_ID_HEADER, SERVICE_HEADER};
use crate::counters::CallOutcome;
use crate::targets::{SlotGuard, TargetBoard, TargetChoice, TargetSign};

/// Header in which a target reports its load with an answer.
const LOAD_HEADER: &str = "x-filbert-load";
/// Status of a target that is not the service meant.
const MISDIRECTED: u16 = 421;

/// The parts of a caller's call the proxy forwards.
#[derive(Clone, Debug)]
pub(super) struct CallParts {
    pub(super) method: Method,
    pub(super) path_and_query: String,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: Vec<u8>,
    pub(super) request_id: String,
    /// When the caller must have its answer.
    pub(super) deadline: Instant,
}

/// The answer to a call and how it counts.
pub(super) struct CallResult {
    pub(super) answer: ProxyAnswer,
    pub(super) outcome: CallOutcome,
}

/// One attempt: how it ended, and the target's answer where there is one.
struct Attempt {
    end: AttemptEnd,
    answer: Option<ProxyAnswer>,
}

/// Sends a call to targets until one answers or the policy says stop.
pub(super) async fn run_call(
    shared: &ProxyShared,
    route: &RouteEntry,
    call: &CallParts,
) -> CallResult {
    shared.retries.record_call(&route.service);
    let mut run = CallRun {
        shared,
        route,
        call,
        repeatable: is_repeatable(call.method, &route.settings),
        tried: Vec::new(),
        may_have_run: false,
    };
    loop {
        let Some(slot) = run.choose() else {
            // No target can take the call now. The caller is told at once,
            // with when to come back, rather than held until its deadline.
            let step = no_more_attempts(run.allowance(false));
            return finish(step, None, &route.service, call);
        };
        let attempt = run.attempt_with_second(slot).await;
        let another = run.may_send_again(attempt.end);
        match next_step(attempt.end, run.allowance(another)) {
            NextStep::SendAgain => {}
            step => return finish(step, attempt.answer, &route.service, call),
        }
    }
}

/// A call on its way: what was tried for it so far.
struct CallRun<'a> {
    shared: &'a ProxyShared,
    route: &'a RouteEntry,
    call: &'a CallParts,
    repeatable: bool,
    tried: Vec<String>,
    may_have_run: bool,
}

impl<'a> CallRun<'a> {
    fn retries_left(&self) -> u32 {
        let made = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        // The first attempt is not a retry.
        (self.route.settings.retries + 1).saturating_sub(made)
    }

    fn time_left(&self) -> Duration {
        let now = self.shared.clock.now();
        self.call.deadline.saturating_duration_since(now)
    }

    fn allowance(&self, another: bool) -> RetryAllowance {
        RetryAllowance {
            repeatable: self.repeatable,
            may_have_run: self.may_have_run,
            another,
        }
    }

    /// Picks the next target and counts it as tried.
    fn choose(&mut self) -> Option<SlotGuard> {
        let slot = self.acquire(&self.tried)?;
        self.tried.push(slot.address().to_owned());
        Some(slot)
    }

    /// Picks the target of a second attempt: another one where there is one,
    /// or the same, since it may be the connection that hangs.
    fn choose_second(&mut self) -> Option<SlotGuard> {
        let slot = self.acquire(&self.tried).or_else(|| self.acquire(&[]))?;
        self.tried.push(slot.address().to_owned());
        Some(slot)
    }

    fn acquire(&self, tried: &[String]) -> Option<SlotGuard> {
        let targets = self.shared.targets.load();
        let choice = TargetChoice {
            targets: &targets,
            service: &self.route.service,
            slots: self.route.settings.slots_per_target,
            tried,
        };
        TargetBoard::acquire(&self.shared.board, choice, self.shared.clock.now())
    }

    /// The attempt on the target whose slot is held, over `connection`.
    fn attempt(&self, slot: SlotGuard, connection: ConnectionKind) -> AttemptOn<'a> {
        AttemptOn {
            shared: self.shared,
            route: self.route,
            call: self.call,
            slot,
            time: self.time_left(),
            connection,
        }
    }

    /// Whether the call may be sent once more after an attempt that ended so;
    /// takes the retry from the service's budget if so.
    fn may_send_again(&self, end: AttemptEnd) -> bool {
        let allowed = match end {
            AttemptEnd::Answered => false,
            AttemptEnd::Lost => self.repeatable,
            AttemptEnd::Declined | AttemptEnd::NotConnected => true,
        };
        let possible = self.retries_left() > 0 && !self.time_left().is_zero();
        allowed && possible && self.shared.retries.try_spend(&self.route.service)
    }

    /// Makes an attempt and, when it takes long and the policy allows, a
    /// second one beside it; the first whole answer counts.
    async fn attempt_with_second(&mut self, slot: SlotGuard) -> Attempt {
        let wait = second_attempt_after(self.time_left(), self.retries_left(), self.repeatable);
        let connection = first_connection(self.repeatable);
        let first = self.attempt(slot, connection).make();
        let mut first = pin!(first);
        let Some(wait) = wait else {
            return self.note_end(first.await);
        };
        if let Ok(attempt) = tokio::time::timeout(wait, first.as_mut()).await {
            return self.note_end(attempt);
        }
        if !self.shared.retries.try_spend(&self.route.service) {
            return self.note_end(first.await);
        }
        let Some(slot) = self.choose_second() else {
            return self.note_end(first.await);
        };
        let mut second = pin!(self.attempt(slot, ConnectionKind::Fresh).make());
        let attempt = tokio::select! {
            attempt = first.as_mut() => match attempt.end {
                AttemptEnd::Answered => attempt,
                _ => second.await,
            },
            attempt = second.as_mut() => match attempt.end {
                AttemptEnd::Answered => attempt,
                _ => first.await,
            },
        };
        // The one that lost may have run the call as well.
        self.may_have_run = true;
        attempt
    }

    fn note_end(&mut self, attempt: Attempt) -> Attempt {
        self.may_have_run |= attempt.end == AttemptEnd::Lost;
        attempt
    }
}

/// One attempt: what is sent to whom, over which connection.
struct AttemptOn<'a> {
    shared: &'a ProxyShared,
    route: &'a RouteEntry,
    call: &'a CallParts,
    slot: SlotGuard,
    time: Duration,
    connection: ConnectionKind,
}

impl AttemptOn<'_> {
    /// Makes the attempt and takes note of how it went.
    async fn make(self) -> Attempt {
        let attempt = self.send().await;
        note_sign(self.shared, self.slot.address(), &attempt);
        attempt
    }

    async fn send(&self) -> Attempt {
        let (call, address) = (self.call, self.slot.address());
        let connections = &self.shared.connections;
        let client = match self.connection {
            ConnectionKind::Kept => &connections.kept,
            ConnectionKind::Fresh => &connections.fresh,
        };
        let ended = |end| Attempt { end, answer: None };
        let method = reqwest::Method::from_bytes(call.method.as_str().as_bytes())
            .unwrap_or(reqwest::Method::GET);
        let mut outgoing = client
            .request(method, format!("http://{address}{}", call.path_and_query))
            .timeout(self.time)
            .header(REQUEST_ID_HEADER, &call.request_id)
            .header(SERVICE_HEADER, &self.route.service)
            .body(call.body.clone());
        for (name, value) in &call.headers {
            outgoing = outgoing.header(*name, value);
        }
        let reply = match outgoing.send().await {
            Ok(reply) => reply,
            Err(error) if error.is_connect() => return ended(AttemptEnd::NotConnected),
            Err(_) => return ended(AttemptEnd::Lost),
        };
        let status = reply.status().as_u16();
        let header = |name: &str| {
            let value = reply.headers().get(name)?.to_str().ok()?;
            Some((name.to_owned(), value.to_owned()))
        };
        let mut headers = vec![
            (REQUEST_ID_HEADER.to_owned(), call.request_id.clone()),
            ("x-filbert-target".to_owned(), address.to_owned()),
        ];
        headers.extend(["content-type", LOAD_HEADER].into_iter().filter_map(header));
        // Guards against calls that go to an address which another service has
        // taken over since (seen as one service's call run by another): a target
        // is told which service is meant and declines when it is not that one.
        let declined = status == MISDIRECTED
            || header(OUTCOME_HEADER).is_some_and(|(_, outcome)| outcome == NOT_RUN);
        // The whole answer is read before anything goes back, so a caller never
        // gets a cut answer that looks complete.
        match reply.bytes().await {
            _ if declined => ended(AttemptEnd::Declined),
            Ok(bytes) => Attempt {
                end: AttemptEnd::Answered,
                answer: Some(ProxyAnswer {
                    status,
                    headers,
                    body: bytes.to_vec(),
                }),
            },
            Err(_) => ended(AttemptEnd::Lost),
        }
    }
}

fn finish(
    step: NextStep,
    answer: Option<ProxyAnswer>,
    service: &str,
    call: &CallParts,
) -> CallResult {
    match (step, answer) {
        (NextStep::PassOn, Some(answer)) => {
            let outcome = if answer.status >= 500 {
                CallOutcome::Failed
            } else {
                CallOutcome::Answered
            };
            CallResult { answer, outcome }
        }
        (NextStep::SayNotRun, _) => {
            let text = format!("no target of service {service} can take the call now");
            CallResult {
                answer: ProxyAnswer::not_run(&call.request_id, &text),
                outcome: CallOutcome::NotRun,
            }
        }
        _ => {
            let text = format!(
                "outcome unknown: no whole answer from service {service}; request id {}",
                call.request_id
            );
            CallResult {
                answer: ProxyAnswer::unknown(&call.request_id, &text),
                outcome: CallOutcome::Unknown,
            }
        }
    }
}

fn note_sign(shared: &ProxyShared, address: &str, attempt: &Attempt) {
    let failed = attempt
        .answer
        .as_ref()
        .is_some_and(|answer| answer.status >= 500);
    let load = attempt
        .answer
        .as_ref()
        .and_then(|answer| answer.header(LOAD_HEADER)?.parse().ok());
    let sign = match attempt.end {
        AttemptEnd::Answered if failed => TargetSign::Ill,
        AttemptEnd::Answered => TargetSign::Well { load },
        AttemptEnd::Declined => TargetSign::Full,
        AttemptEnd::NotConnected | AttemptEnd::Lost => TargetSign::Ill,
    };
    shared.board.note(address, sign, shared.clock.now());
}
