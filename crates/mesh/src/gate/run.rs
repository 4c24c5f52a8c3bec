//! Running a call at the target, and what its end says.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_http1::ResponseHead;
use filbert_policy::admission::{AdmissionRequest, DeclineReason, LinkTime};
use filbert_policy::egress::MAX_UNPACED_BYTES;
use filbert_policy::health::RunOutcome;
use filbert_policy::run_times::RunTime;

use super::wait::Declined;
use super::{turn_time, Gate, StartedRun};
use crate::body::{AheadBody, AnswerBody, CallBody};
use crate::logging::LinePriority;
use crate::messages::{micros, AnswerHead, CallHead, ReplyHead};
use crate::quarantine::AgedCrash;
use crate::rollouts::tally::{RunTold, RunWatch};
use crate::target::{ExchangeEnd, ExchangeTerms};

/// From this status on an answer is the target's failure.
const FIRST_FAILURE: u16 = 500;

impl Gate {
    /// Runs a call at the target, after waiting for its turn.
    /// `link` is the time that its answer needs on the host's link.
    pub async fn run(
        self: &Rc<Self>,
        call: &CallHead,
        body: CallBody,
        link: LinkTime,
    ) -> (ReplyHead, AnswerBody) {
        let received = self.clock.now();
        let demand = AdmissionRequest {
            priority: call.priority,
            soft_deadline: received + Duration::from_micros(call.aim_us),
            deadline: received + Duration::from_micros(call.left_us),
            run: self.expected_run(call),
            link,
        };
        let none = AnswerBody::Whole(bytes::Bytes::new());
        if let Some(reply) = self.hold_back(call) {
            return (reply, none);
        }
        let permit = match self.admit(call, demand).await {
            Ok(permit) => permit,
            Err(declined) => {
                self.note_declined(call, received, declined);
                return (self.declined(declined), none);
            }
        };
        // It may have come to be held back while it waited.
        if let Some(reply) = self.hold_back(call).or_else(|| self.keep_apart(call)) {
            return (reply, none);
        }
        let instance = match self.state.borrow().tracker.current() {
            Some(report) => report.key.id.clone(),
            None => String::new(),
        };
        let started = self.clock.now();
        let watch = self.watch(call);
        let terms = ExchangeTerms {
            address: self.address.get(),
            instance: &instance,
            left: demand.deadline.saturating_duration_since(started),
            permit,
        };
        let end = self
            .connections
            .exchange(call, body, terms, &self.clock)
            .await;
        let run = CallRun {
            call,
            instance: &instance,
            received,
            started,
        };
        let (reply, body, told) = self.reply(&run, end).await;
        if let Some(watch) = watch {
            watch.end(told);
        }
        (reply, body)
    }

    /// Watches a run for a roll-out of the target's service.
    fn watch(&self, call: &CallHead) -> Option<RunWatch> {
        self.rollouts.is_watching(&call.service).then(|| {
            let usual = call.usual_run.map(|usual| RunTime::from(usual).mean);
            RunWatch::new(&self.rollouts, &self.clock, &call.kind, usual)
        })
    }

    /// What the caller's daemon is told of an exchange.
    async fn reply(&self, run: &CallRun<'_>, end: ExchangeEnd) -> (ReplyHead, AnswerBody, RunTold) {
        let none = AnswerBody::Whole(bytes::Bytes::new());
        match end {
            ExchangeEnd::Answer(head, body) => {
                let took = self.clock.now().saturating_duration_since(run.started);
                self.note_answer(run, &head, took);
                let told = if head.status < FIRST_FAILURE {
                    RunTold::Success
                } else {
                    RunTold::Failure
                };
                let reply = ReplyHead::Answer {
                    head: answer_head(&head),
                    ran_us: micros(took),
                    load: self.load(),
                };
                let is_short = head
                    .framing
                    .length()
                    .is_some_and(|length| length <= MAX_UNPACED_BYTES);
                let body = if is_short {
                    AnswerBody::Run(body)
                } else {
                    AnswerBody::Ahead(AheadBody::start(body, &self.ahead))
                };
                (reply, body, told)
            }
            ExchangeEnd::NotConnected(error) => {
                let reply = self.note_unreachable(run, &error);
                (reply, none, RunTold::Nothing)
            }
            ExchangeEnd::Rejected(load) => {
                self.note_ill(run, "rejected", &format!("stated load {load:?}"));
                let reply = ReplyHead::Rejected { load: self.load() };
                (reply, none, RunTold::Nothing)
            }
            ExchangeEnd::Lost(reason) => {
                self.note_ill(run, "lost", reason);
                (self.lost(None), none, RunTold::Failure)
            }
            ExchangeEnd::BrokenOff(reason) => {
                let ended = self.mark_if_ended(run.call.identity, run.started).await;
                let (verdict, told) = if ended.is_some() {
                    ("target_ended", RunTold::Nothing)
                } else {
                    ("lost", RunTold::Failure)
                };
                self.note_ill(run, verdict, reason);
                (self.lost(ended), none, told)
            }
        }
    }

    fn note_answer(&self, run: &CallRun<'_>, head: &ResponseHead, took: Duration) {
        self.metrics.record_gate_verdict("ran");
        self.metrics.record_run(run.waited(), took);
        {
            let mut state = self.state.borrow_mut();
            if head.status < FIRST_FAILURE {
                let usual = run.call.usual_run.map(RunTime::from);
                state.times.record(&run.call.kind, usual, took);
                state.health.record(RunOutcome::Success);
            } else {
                state.health.record(RunOutcome::Failure);
            }
        }
        if head.status >= FIRST_FAILURE {
            self.say_run(run, "answered_failure", &format!("status {}", head.status));
        }
    }

    fn note_ill(&self, run: &CallRun<'_>, verdict: &'static str, reason: &str) {
        self.metrics.record_gate_verdict(verdict);
        self.record(RunOutcome::Failure);
        self.say_run(run, verdict, reason);
    }

    fn note_unreachable(&self, run: &CallRun<'_>, error: &std::io::Error) -> ReplyHead {
        self.metrics.record_gate_verdict("unreachable");
        self.say_run(run, "unreachable", &error.to_string());
        let pause = self.mark_down();
        self.declined(Declined {
            reason: DeclineReason::Closed,
            room_in: pause,
        })
    }

    fn say_run(&self, run: &CallRun<'_>, verdict: &str, reason: &str) {
        let now = self.clock.now();
        if self.log_limiter.allows(LinePriority::Notable, now) {
            log::info!(
                "event=gate_ran request={} call={} instance={} verdict={verdict} reason=\"{reason}\" waited_ms={} ran_ms={}",
                run.call.id,
                run.call.identity,
                run.instance,
                run.waited().as_millis(),
                now.saturating_duration_since(run.started).as_millis()
            );
        }
    }

    /// Lines on declines are bounded, as an overload declines hundreds of
    /// calls a second; the caller's daemon writes a line on each attempt too.
    fn note_declined(&self, call: &CallHead, received: Instant, declined: Declined) {
        let now = self.clock.now();
        self.metrics.record_gate_verdict(match declined.reason {
            DeclineReason::Crowded => "crowded",
            DeclineReason::Closed => "closed",
        });
        if !self.log_limiter.allows(LinePriority::Notable, now) {
            return;
        }
        let load = self.load();
        log::info!(
            "event=gate_declined request={} service={} reason={:?} waited_ms={} room_in_ms={} running={} waiting={} slots={} run_ms={:.0} link_ms={:.0} aim_ms={} left_ms={} route={} priority={} own_run_ms={}",
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
            call.aim_us / 1_000,
            call.left_us / 1_000,
            call.kind,
            call.priority,
            self.expected_run(call).mean.as_millis()
        );
    }

    fn lost(&self, ended: Option<AgedCrash>) -> ReplyHead {
        let load = self.load();
        ReplyHead::Lost { ended, load }
    }

    /// Refuses a call that is held back: its own daemon may not have heard of it.
    fn hold_back(&self, call: &CallHead) -> Option<ReplyHead> {
        let left = self.quarantine.remaining_hold(call.identity);
        if left.is_zero() {
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
                left.as_millis()
            );
        }
        Some(ReplyHead::HeldBack {
            left_us: micros(left),
            load: self.load(),
        })
    }

    /// Declines a suspect while another runs here: were the target to end, both
    /// would be suspected of it again, and a bystander be held back.
    fn keep_apart(&self, call: &CallHead) -> Option<ReplyHead> {
        let is_suspect = |call| self.quarantine.is_suspect(call);
        let is_beside = |run: &StartedRun| run.call != call.identity && is_suspect(run.call);
        let state = self.state.borrow();
        if !is_suspect(call.identity) || !state.started.values().any(is_beside) {
            return None;
        }
        let room_in = turn_time(&state, self.clock.now());
        drop(state);
        Some(self.declined(Declined {
            reason: DeclineReason::Crowded,
            room_in,
        }))
    }

    fn declined(&self, declined: Declined) -> ReplyHead {
        ReplyHead::Declined {
            closed: crate::messages::is_closed(declined.reason),
            room_us: micros(declined.room_in),
            load: self.load(),
        }
    }
}

/// A call at the target.
struct CallRun<'a> {
    call: &'a CallHead,
    instance: &'a str,
    received: Instant,
    started: Instant,
}

impl CallRun<'_> {
    /// How long it waited for its turn.
    fn waited(&self) -> Duration {
        self.started.saturating_duration_since(self.received)
    }
}

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
