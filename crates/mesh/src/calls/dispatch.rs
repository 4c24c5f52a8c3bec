//! Dispatches a call: tries targets until one answers or no attempt is left.

mod ending;
mod first_target;
mod retries;
mod zone;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::attempt::{AttemptEnd, NextStep};
use filbert_policy::call_limits::AnswerDeadline;
use filbert_policy::quarantine::QuarantineState;
use filbert_policy::routing::RouteRule;
use filbert_policy::run_times::RunTime;

use super::access_log::AccessLogEntry;
use super::admit::CallDeadlines;
use super::attempt::{first_outcome, start_attempt, AttemptOutcome, RunningAttempt};
use super::outgoing::{client_deadline, into_call_parts, ReplayBody};
use super::pick::{Destination, PickedTarget};
use super::{ClientAnswer, ClientCall, TargetAnswer, MIN_SERVER_ERROR_STATUS, UNKNOWN_RUN_TIME};
use crate::body::AnswerBody;
use crate::messages::{to_micros, AnswerHead, CallHead};
use crate::quarantine::ProbePermit;
use crate::state::MeshShared;
use ending::attempt_end_label;

/// Maximum number of targets that decline a call before it is refused. A decline
/// costs a round trip but no run. If the best few targets have no capacity, the
/// others have none either.
const MAX_DECLINES: u32 = 4;
/// Minimum time left before the deadline for another attempt. A target that gets a
/// call with less time cannot complete it: the fastest usual runs take longer than
/// this.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// Time after which a client should retry if the service has no open target.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Progress of a call, read when its deadline passes.
#[derive(Default)]
pub(super) struct CallProgress {
    /// Whether a target may have run the call.
    pub(super) may_have_run: Cell<bool>,
    /// Whether an attempt is in progress.
    pub(super) in_attempt: Cell<bool>,
}

/// A call that is dispatched to targets until one of them answers.
pub(super) struct CallDispatch<'a> {
    shared: &'a Rc<MeshShared>,
    route: &'a RouteRule,
    progress: &'a CallProgress,
    log_entry: &'a mut AccessLogEntry,
    head: CallHead,
    replay_body: ReplayBody,
    deadline: Instant,
    soft_deadline: Instant,
    /// Time at which the client gives up, if the call belongs to an organisation with a
    /// rate limit.
    limited_client_deadline: Option<Instant>,
    tried_hosts: Vec<String>,
    /// Number of attempts that may have reached a target.
    delivered_attempts: u32,
    declines: u32,
    /// Shortest time until a target that declined the call expects capacity.
    min_room_in: Option<Duration>,
    /// Latest failure answer of a target, returned if no retry is answered.
    failed_answer: Option<(AnswerHead, AnswerBody)>,
    last_end: Option<AttemptEnd>,
    /// Permit for the probe, if the quarantine lets this call run as the only probe
    /// of its identity.
    probe: Option<ProbePermit>,
    /// Remaining time for which the quarantine holds the call back, if it does.
    remaining_hold: Option<Duration>,
    /// Zone that takes the call instead of this one; `None` if the call is placed in this
    /// zone.
    other_zone: Option<String>,
    /// Whether the retry budget was already charged for the next attempt.
    is_retry_paid: Cell<bool>,
}

impl<'a> CallDispatch<'a> {
    /// Chooses a service of the route for the call and prepares the call's head and
    /// body.
    pub(super) fn new(
        shared: &'a Rc<MeshShared>,
        route: &'a RouteRule,
        call: ClientCall,
        deadlines: CallDeadlines,
        progress: &'a CallProgress,
        log_entry: &'a mut AccessLogEntry,
    ) -> CallDispatch<'a> {
        let service = shared
            .weighted_round_robin
            .borrow_mut()
            .next_service(route, shared.seed)
            .to_owned();
        let now = shared.clock.now();
        if let Some(client_timeout) = call.headers.time_left {
            shared.record_client_timeout(&route.name, client_timeout);
        }
        let organisation = call.organisation.as_ref();
        let limited_client_deadline = organisation
            .filter(|organisation| organisation.limit.is_some())
            .map(|_| client_deadline(route, &call));
        log_entry.service.clone_from(&service);
        log_entry.soft_deadline_ms = deadlines
            .soft
            .saturating_duration_since(call.received)
            .as_millis();
        let (head, body) = into_call_parts(shared, route, &service, call);
        shared
            .retry_budget
            .borrow_mut()
            .record_call(head.budget_account(), now);
        CallDispatch {
            shared,
            route,
            progress,
            log_entry,
            head,
            replay_body: ReplayBody::new(body),
            deadline: deadlines.hard,
            soft_deadline: deadlines.soft,
            limited_client_deadline,
            tried_hosts: Vec::new(),
            delivered_attempts: 0,
            declines: 0,
            min_room_in: None,
            failed_answer: None,
            last_end: None,
            probe: None,
            remaining_hold: None,
            other_zone: None,
            is_retry_paid: Cell::new(false),
        }
    }

    /// Tries targets until one answers or no attempt is left.
    pub(super) async fn run(mut self) -> ClientAnswer {
        // Attempts over links that became unresponsive. They continue in parallel
        // with later attempts: a target that is merely slow may still answer first, and
        // the call does not end while a target may be running it.
        let mut stalled_attempts = Vec::new();
        if !self.passes_quarantine() {
            return self.finish(stalled_attempts).await;
        }
        let service = self.head.service.as_str();
        let now = self.shared.clock.now();
        let is_unlinked = self.shared.members.record_service_call(service, now);
        let mut may_wait_for_target = true;
        loop {
            self.set_deadlines();
            if !self.passes_quarantine() {
                return self.finish(stalled_attempts).await;
            }
            let is_first_attempt = self.log_entry.attempts == 0;
            if is_first_attempt && may_wait_for_target {
                self.choose_zone();
            }
            let Some(target) = self.pick_target(&self.tried_hosts) else {
                let may_wait = is_first_attempt && std::mem::take(&mut may_wait_for_target);
                if may_wait && self.wait_for_first_target(is_unlinked).await {
                    continue;
                }
                return self.finish(stalled_attempts).await;
            };
            if is_first_attempt {
                self.count_sent_to_zone(&target);
            }
            // Set before the attempt, so that the access log line names the host even
            // if the deadline passes during the attempt.
            self.log_entry.host.clone_from(&target.host);
            self.log_entry.software.clone_from(&target.software);
            self.log_entry.attempts += 1;
            self.progress.in_attempt.set(true);
            let body = self.replay_body.next();
            let mut current = start_attempt(self.shared, &target, &self.head, body);
            let ended = self
                .wait_for_outcome(&target, &mut current, &mut stalled_attempts)
                .await;
            let outcome = ended.unwrap_or_else(|| {
                stalled_attempts.push(current);
                AttemptOutcome::Lost
            });
            self.progress.in_attempt.set(false);
            let end = self.record_outcome(&target, &outcome);
            let step = self.decide_next_step(end);
            self.log_attempt(&target, end, step);
            match (step, outcome) {
                (
                    NextStep::PassOn,
                    AttemptOutcome::Answer {
                        head,
                        body,
                        time_to_head,
                    },
                ) => {
                    if head.status < MIN_SERVER_ERROR_STATUS {
                        let body_length = head.body_length.unwrap_or(0);
                        // The usual run time must not adapt to a version that is slow.
                        let is_on_trial = self
                            .shared
                            .rollouts
                            .is_on_trial(&self.head.service, &target.software);
                        let run_time = (!is_on_trial).then_some(time_to_head);
                        self.shared
                            .record_answer(&self.route.name, body_length, run_time);
                        if matches!(body, AnswerBody::Whole(_)) {
                            self.shared.quarantine.record_success(self.head.identity);
                        }
                    }
                    return self.target_answer(head, body);
                }
                (NextStep::SendAgain, AttemptOutcome::Answer { head, body, .. }) => {
                    self.failed_answer = Some((head, body));
                }
                (NextStep::SendAgain, _) => {}
                _ => return self.finish(stalled_attempts).await,
            }
        }
    }

    /// Sets the deadlines in the call's head for an attempt that begins now.
    fn set_deadlines(&mut self) {
        let now = self.shared.clock.now();
        let time_to = |deadline: Instant| to_micros(deadline.saturating_duration_since(now));
        self.head.deadline_us = time_to(self.deadline);
        self.head.soft_deadline_us = time_to(self.soft_deadline);
        if let Some(time_to_exit) = self.shared.stop.time_to_exit(now) {
            self.head.shorten_deadlines(time_to_exit);
        }
    }

    /// Returns whether the quarantine lets the call run now. Starts the probe of a
    /// suspect call if that is allowed, and sets `remaining_hold` if the call is held
    /// back. Checked before each attempt, since a hold may have started during the
    /// previous one.
    fn passes_quarantine(&mut self) -> bool {
        let quarantine = &self.shared.quarantine;
        let expected_run_time = self.head.expected_run_time.map(RunTime::from);
        match quarantine.quarantine_state(self.head.identity) {
            QuarantineState::Unrestricted => return true,
            QuarantineState::ProbeInFlight if self.probe.is_some() => return true,
            QuarantineState::ProbeAllowed => {
                self.probe = Some(quarantine.begin_probe(self.head.identity));
                return true;
            }
            QuarantineState::ProbeInFlight => {
                self.remaining_hold = Some(
                    expected_run_time
                        .map_or(UNKNOWN_RUN_TIME, |expected_run_time| expected_run_time.mean),
                );
            }
            QuarantineState::Held(remaining_hold) => self.remaining_hold = Some(remaining_hold),
        }
        false
    }

    fn is_suspect(&self) -> bool {
        self.shared.quarantine.is_suspect(self.head.identity)
    }

    /// Waits until the current attempt ends or a stalled one gets an answer. Returns
    /// `None` if the current attempt's link became unresponsive and another target
    /// is to be tried.
    async fn wait_for_outcome(
        &mut self,
        target: &PickedTarget,
        current: &mut RunningAttempt,
        stalled_attempts: &mut Vec<RunningAttempt>,
    ) -> Option<AttemptOutcome> {
        loop {
            tokio::select! {
                biased;
                outcome = current.outcome() => return Some(outcome),
                (host, stalled_outcome) = first_outcome(stalled_attempts) => {
                    if matches!(stalled_outcome, AttemptOutcome::Answer { .. }) {
                        self.log_entry.host = host;
                        return Some(stalled_outcome);
                    }
                }
                () = wait_until_unresponsive(&target.destination) => {
                    if self.try_reserve_retry(&target.host) {
                        return None;
                    }
                }
            }
        }
    }

    fn target_answer(&self, head: AnswerHead, body: AnswerBody) -> ClientAnswer {
        ClientAnswer::Target(TargetAnswer {
            head,
            body,
            organisation: self.head.organisation,
            deadline: AnswerDeadline::new(self.deadline),
        })
    }

    /// Waits for the stalled attempts, and returns the final answer if none of them
    /// is answered.
    async fn finish(self, mut stalled_attempts: Vec<RunningAttempt>) -> ClientAnswer {
        self.progress.in_attempt.set(!stalled_attempts.is_empty());
        while !stalled_attempts.is_empty() {
            let (host, outcome) = first_outcome(&mut stalled_attempts).await;
            if let AttemptOutcome::Answer { head, body, .. } = outcome {
                self.log_entry.host = host;
                return self.target_answer(head, body);
            }
        }
        self.final_answer()
    }

    /// Records the outcome of an attempt, and returns it without the answer, as the
    /// retry policy needs it.
    fn record_outcome(&mut self, target: &PickedTarget, outcome: &AttemptOutcome) -> AttemptEnd {
        self.tried_hosts.push(target.host.clone());
        let end = match outcome {
            AttemptOutcome::Answer { head, .. } if head.status >= MIN_SERVER_ERROR_STATUS => {
                AttemptEnd::AnsweredFailure
            }
            AttemptOutcome::Answer { .. } => AttemptEnd::Answered,
            AttemptOutcome::Declined { room_in } => {
                self.declines += 1;
                self.min_room_in = Some(
                    self.min_room_in
                        .map_or(*room_in, |shortest| shortest.min(*room_in)),
                );
                AttemptEnd::Declined
            }
            AttemptOutcome::HeldBack { remaining_hold } => {
                self.remaining_hold = Some(*remaining_hold);
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
            self.delivered_attempts += 1;
        }
        self.record_accepted(end);
        self.log_entry.declines = self.declines;
        self.shared
            .metrics
            .record_attempt(&self.head.service, attempt_end_label(end));
        end
    }
}

/// Waits until the link to a target becomes unresponsive. Never completes for the
/// target on this host.
async fn wait_until_unresponsive(destination: &Destination) {
    match destination {
        Destination::Local => std::future::pending().await,
        Destination::Peer(peer) => peer.became_unresponsive.notified().await,
    }
}
