//! Places a call: tries targets until one answers or nothing is left to try.

mod ending;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::attempt::{next_step, AttemptEnd, NextStep, RetryAllowance};
use filbert_policy::budget::RetryCause;
use filbert_policy::quarantine::QuarantineState;
use filbert_policy::routing::RouteRule;
use filbert_policy::run_times::RunTime;

use super::attempt::{first_end, start, AttemptOutcome, RunningAttempt};
use super::message::{aim_of, into_message, BodyCopies};
use super::pick::{pick, Candidate, PickedTarget};
use super::story::CallStory;
use super::{ClientAnswer, ClientCall, FIRST_FAILURE};
use crate::body::AnswerBody;
use crate::messages::{micros, AnswerHead, CallHead};
use crate::quarantine::ProbePermit;
use crate::state::MeshShared;
use ending::end_label;

/// Gates asked before a call is refused. Each costs a round trip and no work;
/// when the best few have no room, the others have none either.
const MOST_DECLINES: u32 = 4;
/// Time that must be left for another attempt: a target that gets a call with
/// less can only run out of it. Shorter than the quickest usual runs.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// When to come back for a service without any open target.
const NO_TARGET: Duration = Duration::from_millis(300);

/// Time for the first link to a target of a service that was not called of
/// late: a connection and a description of the target, with the retries of a
/// lost packet. A call that finds none by then is refused as without one.
const FIRST_LINK_WITHIN: Duration = Duration::from_millis(600);

/// What has happened to a call so far; read when its time is up.
#[derive(Default)]
pub(super) struct CallProgress {
    /// A target may have run it.
    pub(super) may_have_run: Cell<bool>,
    /// An attempt is under way.
    pub(super) in_attempt: Cell<bool>,
}

/// A call on its way to an answer.
pub(super) struct Placing<'a> {
    shared: &'a Rc<MeshShared>,
    route: &'a RouteRule,
    progress: &'a CallProgress,
    story: &'a mut CallStory,
    head: CallHead,
    bodies: BodyCopies,
    limit: Instant,
    soft_deadline: Instant,
    tried: Vec<String>,
    arrivals: u32,
    declines: u32,
    room: Option<Duration>,
    failure: Option<(AnswerHead, AnswerBody)>,
    last_end: Option<AttemptEnd>,
    /// Set while this call is the one try of a suspect.
    probe: Option<ProbePermit>,
    /// For how long the call is held back, once it is.
    held_for: Option<Duration>,
    /// Whether the next attempt was paid for from the budget already.
    is_paid: Cell<bool>,
}

impl<'a> Placing<'a> {
    /// Deals the call to a service of its route and prepares its message.
    pub(super) fn new(
        shared: &'a Rc<MeshShared>,
        route: &'a RouteRule,
        call: ClientCall,
        limit: Instant,
        progress: &'a CallProgress,
        story: &'a mut CallStory,
    ) -> Placing<'a> {
        let service = shared
            .weighted_round_robin
            .borrow_mut()
            .next_service(route, shared.seed)
            .to_owned();
        let now = shared.clock.now();
        shared.retry_budget.borrow_mut().record_call(&service, now);
        let soft_deadline = aim_of(shared, route, &call);
        story.service.clone_from(&service);
        story.aim_ms = soft_deadline
            .saturating_duration_since(call.received)
            .as_millis();
        let (head, body) = into_message(shared, route, &service, call);
        Placing {
            shared,
            route,
            progress,
            story,
            head,
            bodies: BodyCopies::new(body),
            limit,
            soft_deadline,
            tried: Vec::new(),
            arrivals: 0,
            declines: 0,
            room: None,
            failure: None,
            last_end: None,
            probe: None,
            held_for: None,
            is_paid: Cell::new(false),
        }
    }

    /// Tries targets until one answers or nothing is left to try.
    pub(super) async fn run(mut self) -> ClientAnswer {
        // Attempts over links that fell silent. They go on beside the others:
        // a target that is merely slow may still answer first, and a call is
        // not ended while one is at work on it.
        let mut silent = Vec::new();
        if !self.may_go() {
            return self.finish(silent).await;
        }
        self.await_links().await;
        loop {
            let now = self.shared.clock.now();
            let exit_deadline = self.shared.stop.exit_deadline().unwrap_or(self.limit);
            let limit = self.limit.min(exit_deadline);
            self.head.left_us = micros(limit.saturating_duration_since(now));
            self.head.aim_us = micros(self.soft_deadline.saturating_duration_since(now));
            if !self.may_go() {
                return self.finish(silent).await;
            }
            let Some(target) = pick(self.shared, self.route, &self.head, &self.tried) else {
                return self.finish(silent).await;
            };
            // Noted before the attempt: the line at the end names the host
            // also when the call's time ends first.
            self.story.host.clone_from(&target.host);
            self.story.software.clone_from(&target.software);
            self.story.attempts += 1;
            self.progress.in_attempt.set(true);
            let body = self.bodies.next();
            let mut running = start(self.shared, &target, &self.head, body);
            let ended = self.await_end(&target, &mut running, &mut silent).await;
            let outcome = ended.unwrap_or_else(|| {
                silent.push(running);
                AttemptOutcome::Lost
            });
            self.progress.in_attempt.set(false);
            let end = self.count(&target, &outcome);
            let step = self.decide(end);
            self.tell(&target, end, step);
            match (step, outcome) {
                (NextStep::PassOn, AttemptOutcome::Answer { head, body, ran }) => {
                    if head.status < FIRST_FAILURE {
                        let length = head.body_length.unwrap_or(0);
                        self.shared.record_answer(&self.route.name, length, ran);
                        if matches!(body, AnswerBody::Whole(_)) {
                            self.shared.quarantine.ran_well(self.head.identity);
                        }
                    }
                    return ClientAnswer::Target(head, body);
                }
                (NextStep::SendAgain, AttemptOutcome::Answer { head, body, .. }) => {
                    self.failure = Some((head, body));
                }
                (NextStep::SendAgain, _) => {}
                _ => return self.finish(silent).await,
            }
        }
    }

    /// Whether the call is not held back now. Looked at before each attempt: it
    /// may have been since the one before.
    fn may_go(&mut self) -> bool {
        let quarantine = &self.shared.quarantine;
        let usual = self.head.usual_run.map(RunTime::from);
        match quarantine.quarantine_state(self.head.identity) {
            QuarantineState::Unrestricted => return true,
            QuarantineState::ProbeInFlight if self.probe.is_some() => return true,
            QuarantineState::ProbeAllowed => {
                self.probe = Some(quarantine.begin_probe(self.head.identity));
                return true;
            }
            QuarantineState::ProbeInFlight => {
                self.held_for = Some(usual.map_or(NO_TARGET, |usual| usual.mean));
            }
            QuarantineState::Held(left) => self.held_for = Some(left),
        }
        false
    }

    fn is_suspect(&self) -> bool {
        self.shared.quarantine.is_suspect(self.head.identity)
    }

    /// Waits for a first target when the service was not linked to until now.
    async fn await_links(&self) {
        let service = self.head.service.as_str();
        let now = self.shared.clock.now();
        if !self.shared.members.note_call(service, now) {
            return;
        }
        let until = self.limit.min(now + FIRST_LINK_WITHIN);
        loop {
            let described = self.shared.peers.described.notified();
            if pick(self.shared, self.route, &self.head, &[]).is_some() {
                return;
            }
            tokio::select! {
                () = described => {}
                () = tokio::time::sleep_until(until.into()) => return,
            }
        }
    }

    /// Waits for the end of an attempt, or of an earlier one that went on;
    /// `None` when its link fell silent and another target is to be tried.
    async fn await_end(
        &mut self,
        target: &PickedTarget,
        running: &mut RunningAttempt,
        silent: &mut Vec<RunningAttempt>,
    ) -> Option<AttemptOutcome> {
        loop {
            tokio::select! {
                biased;
                outcome = running.end() => return Some(outcome),
                (host, earlier) = first_end(silent) => {
                    if matches!(earlier, AttemptOutcome::Answer { .. }) {
                        self.story.host = host;
                        return Some(earlier);
                    }
                }
                () = fall_silent(&target.candidate) => {
                    if self.may_leave(&target.host) {
                        return None;
                    }
                }
            }
        }
    }

    /// Waits for attempts that went on over silent links, and gives up when
    /// none of them answers.
    async fn finish(self, mut silent: Vec<RunningAttempt>) -> ClientAnswer {
        self.progress.in_attempt.set(!silent.is_empty());
        while !silent.is_empty() {
            let (host, outcome) = first_end(&mut silent).await;
            if let AttemptOutcome::Answer { head, body, .. } = outcome {
                self.story.host = host;
                return ClientAnswer::Target(head, body);
            }
        }
        self.give_up()
    }

    /// Counts how an attempt ended.
    fn count(&mut self, target: &PickedTarget, outcome: &AttemptOutcome) -> AttemptEnd {
        self.tried.push(target.host.clone());
        let end = match outcome {
            AttemptOutcome::Answer { head, .. } if head.status >= FIRST_FAILURE => {
                AttemptEnd::AnsweredFailure
            }
            AttemptOutcome::Answer { .. } => AttemptEnd::Answered,
            AttemptOutcome::Declined { room_in } => {
                self.declines += 1;
                self.room = Some(self.room.map_or(*room_in, |least| least.min(*room_in)));
                AttemptEnd::Declined
            }
            AttemptOutcome::HeldBack { left } => {
                self.held_for = Some(*left);
                AttemptEnd::HeldBack
            }
            AttemptOutcome::Rejected => AttemptEnd::Rejected,
            AttemptOutcome::Lost => {
                self.progress.may_have_run.set(true);
                AttemptEnd::Lost
            }
        };
        self.last_end = Some(end);
        if !matches!(end, AttemptEnd::Declined | AttemptEnd::HeldBack) {
            self.arrivals += 1;
        }
        self.story.declines = self.declines;
        self.shared
            .metrics
            .record_attempt(&self.head.service, end_label(end));
        end
    }

    fn decide(&self, end: AttemptEnd) -> NextStep {
        next_step(end, self.allowance(self.arrivals), |cause| {
            self.is_paid.take() || self.try_spend(cause)
        })
    }

    fn allowance(&self, arrivals: u32) -> RetryAllowance {
        let now = self.shared.clock.now();
        let left = self.limit.saturating_duration_since(now);
        RetryAllowance {
            // A call under which targets ended twice in a row is not sent on to
            // a third by itself.
            repeatable: self.route.kind.is_repeatable() && !self.is_suspect(),
            may_have_run: self.progress.may_have_run.get(),
            has_other_target: self.declines < MOST_DECLINES
                && self.bodies.is_copyable()
                && left > LEAST_LEFT,
            attempts_left: self.route.max_attempts.saturating_sub(arrivals),
        }
    }

    /// Whether the call, which is at `host`, may be sent to another target
    /// without waiting for what becomes of it there. If so the other attempt
    /// is paid for.
    fn may_leave(&self, host: &str) -> bool {
        let mut tried = self.tried.clone();
        tried.push(host.to_owned());
        let allowance = self.allowance(self.arrivals + 1);
        let step = next_step(AttemptEnd::Lost, allowance, |cause| {
            pick(self.shared, self.route, &self.head, &tried).is_some() && self.try_spend(cause)
        });
        let leaves = step == NextStep::SendAgain;
        self.is_paid.set(leaves);
        leaves
    }

    fn try_spend(&self, cause: RetryCause) -> bool {
        let daemon_count = self.shared.daemon_count();
        let now = self.shared.clock.now();
        let mut budget = self.shared.retry_budget.borrow_mut();
        budget.try_spend(&self.head.service, cause, daemon_count, now)
    }
}

/// Waits until the link to a target falls silent; for ever beside it.
async fn fall_silent(candidate: &Candidate) {
    match candidate {
        Candidate::Here => std::future::pending().await,
        Candidate::Peer(peer) => peer.fell_silent.notified().await,
    }
}
