//! Runs an admitted call at the local target, and evaluates how the run ended.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_http1::ResponseHead;
use filbert_platform::headers;
use filbert_policy::admission::{AdmissionRequest, DeclineReason, LinkTime};
use filbert_policy::call_limits::AnswerDeadline;
use filbert_policy::egress::MAX_UNPACED_BYTES;
use filbert_policy::health::RunOutcome;
use filbert_policy::instance::InstanceKey;
use filbert_policy::pace::PaceMark;
use filbert_policy::run_times::RunTime;

use super::statements::rate_text;
use super::wait::Declined;
use super::{ActiveRun, Gate};
use crate::body::{AnswerBody, BufferedBody, CallBody};
use crate::logging::LinePriority;
use crate::messages::AgedCrash;
use crate::messages::{to_micros, AnswerHead, CallHead, ReplyHead};
use crate::rollouts::counters::{CountedOutcome, RunObservation};
use crate::target::{ExchangeOutcome, ExchangeParams};

/// Lowest status code of an answer that counts as a failure of the target.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

impl Gate {
    /// Waits for a slot at the target and runs a call there. Returns the reply for
    /// the client's daemon, and the body of the answer if the target gave one.
    ///
    /// `link` is the time that the answer needs on this host's link.
    pub async fn run(
        self: &Rc<Self>,
        call: &CallHead,
        body: CallBody,
        link: LinkTime,
    ) -> (ReplyHead, AnswerBody) {
        let received = self.clock.now();
        let estimate = self.run_estimate(call);
        let request = AdmissionRequest {
            priority: call.priority,
            soft_deadline: received + Duration::from_micros(call.soft_deadline_us),
            deadline: received + Duration::from_micros(call.deadline_us),
            run: estimate.now,
            link,
            organisation: self.organisation_share(call),
        };
        let empty_body = AnswerBody::Whole(bytes::Bytes::new());
        if let Some(reply) = self.refuse_held(call) {
            return (reply, empty_body);
        }
        let permit = match self.wait_for_slot(call, request, estimate.long_term).await {
            Ok(permit) => permit,
            Err(declined) => {
                self.record_decline(call, received, declined);
                return (self.decline_reply(declined), empty_body);
            }
        };
        // The call may have become held, or a suspect, while it waited.
        if let Some(reply) = self
            .refuse_held(call)
            .or_else(|| self.decline_second_suspect(call))
        {
            return (reply, empty_body);
        }
        let instance = self.current_instance();
        let started_at = self.clock.now();
        let pace_mark = self.state.borrow_mut().pace.mark(started_at);
        let observation = self.observe_run(call);
        let params = ExchangeParams {
            address: self.address.get(),
            instance_id: &instance.id,
            time_to_deadline: request.deadline.saturating_duration_since(started_at),
            deadline: AnswerDeadline::new(request.deadline),
            limits: self.overhead_limits.get(),
            permit,
        };
        let outcome = self
            .connections
            .exchange(call, body, params, &self.clock)
            .await;
        let run = CallRun {
            call,
            instance: &instance,
            received,
            started_at,
            pace_mark,
        };
        let (reply, body, counted_outcome) = self.evaluate(&run, outcome).await;
        if let Some(observation) = observation {
            observation.end(counted_outcome);
        }
        (reply, body)
    }

    /// Starts observing a run of `call` for the roll-out of its service; `None` if
    /// there is no roll-out.
    fn observe_run(&self, call: &CallHead) -> Option<RunObservation> {
        self.rollouts
            .has_live_rollout(&call.service)
            .then(|| RunObservation::new(&self.rollouts, &self.clock, &call.kind))
    }

    /// Records how the run ended. Returns the reply for the client's daemon, the
    /// body of the answer, and the outcome that a roll-out of the service counts.
    async fn evaluate(
        &self,
        run: &CallRun<'_>,
        outcome: ExchangeOutcome,
    ) -> (ReplyHead, AnswerBody, CountedOutcome) {
        let empty_body = AnswerBody::Whole(bytes::Bytes::new());
        match outcome {
            ExchangeOutcome::Answer(head, body) => {
                let time_to_head = self.clock.now().saturating_duration_since(run.started_at);
                let statement = headers::read_target_statement(&head);
                self.record_statement(run, statement);
                self.record_answer(run, &head, time_to_head);
                let counted_outcome = if head.status < MIN_SERVER_ERROR_STATUS {
                    CountedOutcome::Success
                } else {
                    CountedOutcome::Failure
                };
                let reply = ReplyHead::Answer {
                    head: answer_head(&head),
                    time_to_head_us: to_micros(time_to_head),
                    leaving: statement.is_leaving.then(|| run.instance.clone()),
                    load: self.load(),
                };
                let is_short = head
                    .framing
                    .length()
                    .is_some_and(|length| length <= MAX_UNPACED_BYTES);
                let body = if is_short {
                    AnswerBody::Run(body)
                } else {
                    AnswerBody::Buffered(BufferedBody::start(
                        body,
                        &self.answer_buffer,
                        &self.clock,
                    ))
                };
                (reply, body, counted_outcome)
            }
            ExchangeOutcome::NotConnected(error) => {
                let reply = self.record_unreachable(run, &error);
                (reply, empty_body, CountedOutcome::NotCounted)
            }
            ExchangeOutcome::Rejected(rejection) => {
                self.record_statement(run, rejection.statement);
                let reason = format!("stated load {:?}", rejection.load);
                self.record_failure(run, "rejected", &reason);
                let reply = ReplyHead::Rejected { load: self.load() };
                (reply, empty_body, CountedOutcome::NotCounted)
            }
            ExchangeOutcome::Lost(reason) => {
                self.record_failure(run, "lost", reason);
                (self.lost_reply(None), empty_body, CountedOutcome::Failure)
            }
            ExchangeOutcome::ConnectionLost(reason) => {
                let crash = self
                    .record_crash_if_ended(run.call.identity, run.started_at)
                    .await;
                let (verdict, counted_outcome) = if crash.is_some() {
                    ("target_ended", CountedOutcome::NotCounted)
                } else {
                    ("lost", CountedOutcome::Failure)
                };
                self.record_failure(run, verdict, reason);
                (self.lost_reply(crash), empty_body, counted_outcome)
            }
        }
    }

    /// Records an answer whose head came `time_to_head` after the start of the run.
    fn record_answer(&self, run: &CallRun<'_>, head: &ResponseHead, time_to_head: Duration) {
        self.metrics.record_gate_verdict("ran");
        self.metrics.record_run(run.waited(), time_to_head);
        {
            let mut state = self.state.borrow_mut();
            if head.status < MIN_SERVER_ERROR_STATUS {
                let expected_run_time = run.call.expected_run_time.map(RunTime::from);
                let long_term_run =
                    state.long_term_run(run.pace_mark, time_to_head, self.clock.now());
                state
                    .run_times
                    .record(&run.call.kind, expected_run_time, long_term_run);
                state.health.record(RunOutcome::Success);
            } else {
                state.health.record(RunOutcome::Failure);
            }
        }
        if head.status >= MIN_SERVER_ERROR_STATUS {
            self.log_run(run, "answered_failure", &format!("status {}", head.status));
            return;
        }
        let soft_deadline = run.received + Duration::from_micros(run.call.soft_deadline_us);
        let now = self.clock.now();
        let pace = self.state.borrow().pace.current(now);
        if let Some(pace) = pace.filter(|_| now > soft_deadline) {
            self.log_run(run, "answered_late", &format!("pace {:.2}", pace.factor()));
        }
    }

    fn record_failure(&self, run: &CallRun<'_>, verdict: &'static str, reason: &str) {
        self.metrics.record_gate_verdict(verdict);
        self.record_outcome(RunOutcome::Failure);
        self.log_run(run, verdict, reason);
    }

    /// Records that the target accepted no connection, and marks the target as down.
    /// Returns a reply that declines the call, as the call did not reach the target.
    fn record_unreachable(&self, run: &CallRun<'_>, error: &std::io::Error) -> ReplyHead {
        self.metrics.record_gate_verdict("unreachable");
        self.log_run(run, "unreachable", &error.to_string());
        let down_time = self.mark_down();
        self.decline_reply(Declined {
            reason: DeclineReason::Closed,
            room_in: down_time,
        })
    }

    fn log_run(&self, run: &CallRun<'_>, verdict: &str, reason: &str) {
        let now = self.clock.now();
        if self.log_limiter.allows(LinePriority::Notable, now) {
            log::info!(
                "event=gate_ran request={} call={} instance={} verdict={verdict} reason=\"{reason}\" waited_ms={} ran_ms={}",
                run.call.id,
                run.call.identity,
                run.instance.id,
                run.waited().as_millis(),
                now.saturating_duration_since(run.started_at).as_millis()
            );
        }
    }

    /// Counts and logs a declined call. The number of log lines is limited, as an
    /// overloaded target declines hundreds of calls per second; the client's daemon
    /// logs each attempt too.
    fn record_decline(&self, call: &CallHead, received: Instant, declined: Declined) {
        let now = self.clock.now();
        self.metrics.record_gate_verdict(match declined.reason {
            DeclineReason::Crowded => "crowded",
            DeclineReason::Limited => "limited",
            DeclineReason::BeyondShare => "beyond_share",
            DeclineReason::Closed => "closed",
        });
        if !self.log_limiter.allows(LinePriority::Notable, now) {
            return;
        }
        let load = self.load();
        log::info!(
            "event=gate_declined request={} service={} reason={:?} waited_ms={} room_in_ms={} running={} waiting={} slots={} run_ms={:.0} link_ms={:.0} aim_ms={} left_ms={} route={} priority={} own_run_ms={} limit={} {}",
            call.id,
            call.service,
            declined.reason,
            now.saturating_duration_since(received).as_millis(),
            declined.room_in.as_millis(),
            load.running,
            load.waiting,
            load.slots,
            load.run_ms,
            load.link_ms,
            call.soft_deadline_us / 1_000,
            call.deadline_us / 1_000,
            call.kind,
            call.priority,
            self.estimate_run_time(call).mean.as_millis(),
            rate_text(load.allowance.map(|allowance| allowance.rate)),
            self.share_text(call)
        );
    }

    fn lost_reply(&self, crash: Option<AgedCrash>) -> ReplyHead {
        let load = self.load();
        ReplyHead::Lost { crash, load }
    }

    /// Refuses a call that the quarantine holds back; `None` if the call may run.
    /// The client's daemon may not know of the hold yet.
    fn refuse_held(&self, call: &CallHead) -> Option<ReplyHead> {
        let remaining_hold = self.quarantine.remaining_hold(call.identity);
        if remaining_hold.is_zero() {
            return None;
        }
        self.metrics.record_gate_verdict("held_back");
        if self
            .log_limiter
            .allows(LinePriority::Notable, self.clock.now())
        {
            log::info!(
                "event=gate_held_back request={} call={} left_ms={}",
                call.id,
                call.identity,
                remaining_hold.as_millis()
            );
        }
        Some(ReplyHead::HeldBack {
            remaining_us: to_micros(remaining_hold),
            load: self.load(),
        })
    }

    /// Declines a suspect while another suspect runs at the target; `None` if the
    /// call may run. If the target crashed under two suspects, both would get a
    /// strike, and the one that is a bystander could be held back.
    fn decline_second_suspect(&self, call: &CallHead) -> Option<ReplyHead> {
        let is_suspect = |call| self.quarantine.is_suspect(call);
        let is_other_suspect = |run: &ActiveRun| run.call != call.identity && is_suspect(run.call);
        let state = self.state.borrow();
        if !is_suspect(call.identity) || !state.active_runs.values().any(is_other_suspect) {
            return None;
        }
        let room_in = state.mean_run_time(self.clock.now());
        drop(state);
        Some(self.decline_reply(Declined {
            reason: DeclineReason::Crowded,
            room_in,
        }))
    }

    fn decline_reply(&self, declined: Declined) -> ReplyHead {
        ReplyHead::Declined {
            closed: crate::messages::is_closed(declined.reason),
            room_in_us: to_micros(declined.room_in),
            load: self.load(),
        }
    }
}

/// A call that was admitted and sent to the target.
pub(super) struct CallRun<'a> {
    call: &'a CallHead,
    /// Instance to which the call was addressed.
    pub(super) instance: &'a InstanceKey,
    received: Instant,
    pub(super) started_at: Instant,
    pace_mark: PaceMark,
}

impl CallRun<'_> {
    /// Time that the call waited for a slot.
    fn waited(&self) -> Duration {
        self.started_at.saturating_duration_since(self.received)
    }
}

/// The head of the target's answer for the client's daemon, without the headers
/// that apply to one connection only.
fn answer_head(head: &ResponseHead) -> AnswerHead {
    let mut lines = Vec::with_capacity(256);
    head.fields.write_end_to_end(&mut lines, |_| false);
    AnswerHead {
        status: head.status,
        reason: head.reason.clone(),
        lines,
        body_length: head.framing.length(),
    }
}
