//! The only way to the target beside the daemon: holds the queue, the slots
//! and what is known of the target, and runs calls there.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_http1::ResponseHead;
use filbert_policy::admission::{
    CallDemand, DeclineReason, GateQueue, GateVerdict, WaitEnd, WaitLimits, WaitTicket,
};
use filbert_policy::clock::Clock;
use filbert_policy::health::{RunSign, TargetHealth};
use filbert_policy::instance::{InstanceChange, InstanceReport, InstanceTracker};
use filbert_policy::numbers::count_of;
use tokio::sync::{oneshot, Notify};

use crate::body::{AnswerBody, CallBody};
use crate::logging::{LineBudget, LineWeight};
use crate::messages::{AnswerHead, CallHead, ReplyHead, TargetLoad, TargetState, TargetStatus};
use crate::metrics::MeshMetrics;
use crate::settings::TimeSettings;
use crate::target::{ExchangeEnd, ExchangeTerms, TargetConnections};

/// Shortest time for which a target that took no connection is left alone,
/// unless it reports. A live one reports soon; each try at a dead one costs a
/// call the time of a connection that is not made.
const DOWN_PAUSE: Duration = Duration::from_millis(500);
/// Part of the draining time after which a leaving target gets no more calls.
/// The rest covers a call that is on its way through the daemon.
const DRAIN_SHARE: f64 = 0.5;
/// From this status on an answer is the target's failure.
const FIRST_FAILURE: u16 = 500;
/// How often waiting calls are checked for having become too late.
const SETTLE_EVERY: Duration = Duration::from_millis(25);

struct GateState {
    queue: GateQueue,
    health: TargetHealth,
    tracker: InstanceTracker,
    waiters: HashMap<WaitTicket, oneshot::Sender<Result<(), Duration>>>,
    down_until: Option<Instant>,
    /// Calls that started, by number, with when they did.
    started: HashMap<u64, Instant>,
    next_run: u64,
}

/// The gate of the target beside the daemon.
pub struct Gate {
    state: RefCell<GateState>,
    connections: Rc<TargetConnections>,
    metrics: Rc<MeshMetrics>,
    lines: LineBudget,
    clock: Rc<dyn Clock>,
    address: Cell<SocketAddr>,
    drain: Cell<Duration>,
    report_every: Cell<Duration>,
    /// Set when the daemon itself is about to end.
    is_stopping: Cell<bool>,
    crowd: Notify,
    /// Signals a change of the status that others must learn at once.
    pub changed: Notify,
}

/// A call's right to be at the target. Dropping it ends the run.
pub struct RunPermit {
    gate: Rc<Gate>,
    run: u64,
}

impl std::fmt::Debug for RunPermit {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "RunPermit({})", self.run)
    }
}

impl RunPermit {
    /// Notes that the target broke the answer off.
    pub fn broke_off(self) {
        self.gate.note(RunSign::Ill);
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        {
            let mut state = self.gate.state.borrow_mut();
            state.queue.finished();
            state.started.remove(&self.run);
        }
        self.gate.settle();
    }
}

/// Takes a waiting call back when its caller leaves.
///
/// Guards against a slot that is never freed: the queue may have started the
/// call in the same moment, with nobody left to run it.
struct WaitGuard<'a> {
    gate: &'a Gate,
    ticket: WaitTicket,
    answer: oneshot::Receiver<Result<(), Duration>>,
    is_heard: bool,
}

impl WaitGuard<'_> {
    async fn outcome(mut self) -> Result<(), Duration> {
        let answer = (&mut self.answer).await;
        self.is_heard = true;
        // The sender lives in the gate's table and is dropped only with an
        // answer; without one there is nothing to wait for.
        answer.unwrap_or(Err(Duration::ZERO))
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.is_heard {
            return;
        }
        let was_started = matches!(self.answer.try_recv(), Ok(Ok(())));
        {
            let mut state = self.gate.state.borrow_mut();
            state.waiters.remove(&self.ticket);
            state.queue.cancel(self.ticket);
            if was_started {
                state.queue.finished();
            }
        }
        if was_started {
            self.gate.settle();
        }
    }
}

/// A call that was turned away.
#[derive(Clone, Copy, Debug)]
pub struct Declined {
    /// Why.
    pub reason: DeclineReason,
    /// When room is expected.
    pub room_in: Duration,
}

impl Gate {
    /// A gate with no target yet.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        times: &TimeSettings,
        metrics: Rc<MeshMetrics>,
        clock: Rc<dyn Clock>,
    ) -> Rc<Gate> {
        Rc::new(Gate {
            state: RefCell::new(GateState {
                queue: GateQueue::new(WaitLimits::default()),
                health: TargetHealth::default(),
                tracker: InstanceTracker::default(),
                waiters: HashMap::new(),
                down_until: None,
                started: HashMap::new(),
                next_run: 0,
            }),
            connections: Rc::new(TargetConnections::default()),
            metrics,
            lines: LineBudget::new(clock.now()),
            clock,
            address: Cell::new(address),
            drain: Cell::new(times.drain),
            report_every: Cell::new(times.report_every),
            is_stopping: Cell::new(false),
            crowd: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Takes over changed settings.
    pub fn set_terms(&self, address: SocketAddr, times: &TimeSettings) {
        self.address.set(address);
        self.drain.set(times.drain);
        self.report_every.set(times.report_every);
    }

    /// Closes the gate for good: the daemon is about to end.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        self.changed.notify_waiters();
    }

    /// Calls at the target or waiting for it.
    #[must_use]
    pub fn in_work(&self) -> u32 {
        let state = self.state.borrow();
        state.queue.running() + state.queue.waiting()
    }

    /// Takes a report of the target.
    pub fn report(&self, report: InstanceReport) -> InstanceChange {
        let now = self.clock.now();
        let slots = report.slots;
        let change = {
            let mut state = self.state.borrow_mut();
            let change = state.tracker.report(report, now);
            match change {
                InstanceChange::Stale => {}
                InstanceChange::Replaced => {
                    state.health = TargetHealth::default();
                    state.queue.set_slots(slots);
                    state.down_until = None;
                }
                _ => {
                    state.queue.set_slots(slots);
                    state.down_until = None;
                }
            }
            change
        };
        if change == InstanceChange::Replaced {
            self.connections.clear();
        }
        if change != InstanceChange::None && change != InstanceChange::Stale {
            self.changed.notify_waiters();
        }
        change
    }

    /// Takes a farewell of the target.
    pub fn leave(&self, id: &str) -> InstanceChange {
        let change = self.state.borrow_mut().tracker.leave(id, self.clock.now());
        if change == InstanceChange::Draining {
            self.changed.notify_waiters();
        }
        change
    }

    fn target_state(&self, state: &GateState, now: Instant) -> TargetState {
        let is_down = state.down_until.is_some_and(|until| now < until);
        if self.is_stopping.get() || is_down || state.tracker.current().is_none() {
            return TargetState::Closed;
        }
        match state.tracker.leaving_since() {
            None => TargetState::Open,
            Some(since) if now < since + self.drain.get().mul_f64(DRAIN_SHARE) => {
                TargetState::Leaving
            }
            Some(_) => TargetState::Closed,
        }
    }

    /// The target as others should know it; `None` before its first report.
    #[must_use]
    pub fn status(&self) -> Option<TargetStatus> {
        let state = self.state.borrow();
        let now = self.clock.now();
        let report = state.tracker.current()?;
        Some(TargetStatus {
            service: report.service.clone(),
            instance: report.id.clone(),
            state: self.target_state(&state, now),
            is_cold: state.tracker.is_cold(now),
            load: load_of(&state, now),
        })
    }

    fn load(&self) -> TargetLoad {
        load_of(&self.state.borrow(), self.clock.now())
    }

    fn note(&self, sign: RunSign) {
        self.state.borrow_mut().health.note(sign);
    }

    fn run_time(state: &GateState, now: Instant) -> Duration {
        Duration::from_secs_f64(run_ms(state, now) / 1_000.0)
    }

    /// Waits until the call may run.
    async fn admit(
        self: &Rc<Self>,
        service: &str,
        demand: CallDemand,
    ) -> Result<RunPermit, Declined> {
        let now = self.clock.now();
        let waiting = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let is_here = state
                .tracker
                .current()
                .is_some_and(|report| report.service == service);
            let is_open = is_here && self.target_state(state, now) != TargetState::Closed;
            state.queue.set_open(is_open);
            let run = Self::run_time(state, now);
            match state.queue.offer(demand, run, now) {
                GateVerdict::Run => None,
                GateVerdict::Decline { reason, room_in } => {
                    return Err(Declined { reason, room_in })
                }
                GateVerdict::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    Some((ticket, receiver))
                }
            }
        };
        if let Some((ticket, answer)) = waiting {
            self.crowd.notify_one();
            let guard = WaitGuard {
                gate: self,
                ticket,
                answer,
                is_heard: false,
            };
            guard.outcome().await.map_err(|room_in| Declined {
                reason: DeclineReason::Crowded,
                room_in,
            })?;
        }
        Ok(self.start_run())
    }

    fn start_run(self: &Rc<Self>) -> RunPermit {
        let mut state = self.state.borrow_mut();
        let run = state.next_run;
        state.next_run += 1;
        state.started.insert(run, self.clock.now());
        RunPermit {
            gate: Rc::clone(self),
            run,
        }
    }

    /// Starts and turns away what the queue says.
    fn settle(&self) {
        let now = self.clock.now();
        let mut freed = 0;
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            if state.queue.waiting() == 0 {
                return;
            }
            let run = Self::run_time(state, now);
            let ends = if self.target_state(state, now) == TargetState::Closed {
                state.queue.turn_away_all(run)
            } else {
                state.queue.settle(run, now)
            };
            for end in ends {
                let (ticket, answer) = match end {
                    WaitEnd::Run(ticket) => (ticket, Ok(())),
                    WaitEnd::Decline { ticket, room_in } => (ticket, Err(room_in)),
                };
                let runs = answer.is_ok();
                let taken = state
                    .waiters
                    .remove(&ticket)
                    .is_some_and(|waiter| waiter.send(answer).is_ok());
                if runs && !taken {
                    state.queue.finished();
                    freed += 1;
                }
            }
        }
        if freed > 0 {
            self.settle();
        }
    }

    /// Turns away calls that became too late while they waited. Runs for ever.
    pub async fn keep_settled(self: Rc<Self>) {
        loop {
            if self.state.borrow().queue.waiting() == 0 {
                self.crowd.notified().await;
            }
            tokio::time::sleep(SETTLE_EVERY).await;
            self.settle();
        }
    }

    /// Runs a call at the target, after waiting for its turn.
    pub async fn run(self: &Rc<Self>, call: &CallHead, body: CallBody) -> (ReplyHead, AnswerBody) {
        let received = self.clock.now();
        let demand = CallDemand {
            priority: call.priority,
            aim: received + Duration::from_micros(call.aim_us),
            deadline: received + Duration::from_micros(call.left_us),
        };
        let none = AnswerBody::Whole(bytes::Bytes::new());
        let permit = match self.admit(&call.service, demand).await {
            Ok(permit) => permit,
            Err(declined) => {
                self.note_declined(call, received, declined);
                return (self.declined(declined), none);
            }
        };
        let instance = match self.state.borrow().tracker.current() {
            Some(report) => report.id.clone(),
            None => String::new(),
        };
        let started = self.clock.now();
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
        match end {
            ExchangeEnd::Answer(head, body) => {
                self.note_answer(&run, &head);
                let reply = ReplyHead::Answer {
                    head: answer_head(&head),
                    load: self.load(),
                };
                (reply, AnswerBody::Run(body))
            }
            ExchangeEnd::NotConnected(error) => (self.note_unreachable(&run, &error), none),
            ExchangeEnd::Rejected(load) => {
                self.note_ill(&run, "rejected", &format!("stated load {load:?}"));
                (ReplyHead::Rejected { load: self.load() }, none)
            }
            ExchangeEnd::Lost(reason) => {
                self.note_ill(&run, "lost", reason);
                (ReplyHead::Lost { load: self.load() }, none)
            }
        }
    }

    fn note_answer(&self, run: &CallRun<'_>, head: &ResponseHead) {
        let took = self.clock.now().saturating_duration_since(run.started);
        self.metrics.gate("ran");
        self.metrics.run(run.waited(), took);
        {
            let mut state = self.state.borrow_mut();
            if head.status < FIRST_FAILURE {
                state.health.ran(took);
                state.health.note(RunSign::Well);
            } else {
                state.health.note(RunSign::Ill);
            }
        }
        if head.status >= FIRST_FAILURE {
            self.say_run(run, "answered_failure", &format!("status {}", head.status));
        }
    }

    fn note_ill(&self, run: &CallRun<'_>, verdict: &'static str, reason: &str) {
        self.metrics.gate(verdict);
        self.note(RunSign::Ill);
        self.say_run(run, verdict, reason);
    }

    fn note_unreachable(&self, run: &CallRun<'_>, error: &std::io::Error) -> ReplyHead {
        self.metrics.gate("unreachable");
        self.say_run(run, "unreachable", &error.to_string());
        let pause = self.report_every.get().max(DOWN_PAUSE);
        self.state.borrow_mut().down_until = Some(self.clock.now() + pause);
        self.connections.clear();
        self.changed.notify_waiters();
        self.declined(Declined {
            reason: DeclineReason::Closed,
            room_in: pause,
        })
    }

    fn say_run(&self, run: &CallRun<'_>, verdict: &str, reason: &str) {
        let now = self.clock.now();
        if self.lines.takes(LineWeight::Notable, now) {
            log::info!(
                "event=gate_ran request={} instance={} verdict={verdict} reason=\"{reason}\" waited_ms={} ran_ms={}",
                run.call.id,
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
        self.metrics.gate(match declined.reason {
            DeclineReason::Crowded => "crowded",
            DeclineReason::Closed => "closed",
        });
        if !self.lines.takes(LineWeight::Notable, now) {
            return;
        }
        let load = self.load();
        log::info!(
            "event=gate_declined request={} service={} reason={:?} waited_ms={} room_in_ms={} running={} waiting={} slots={} run_ms={:.0} aim_ms={} left_ms={}",
            call.id,
            call.service,
            declined.reason,
            now.saturating_duration_since(received).as_millis(),
            declined.room_in.as_millis(),
            load.running,
            load.waiting,
            load.slots,
            load.run_ms,
            call.aim_us / 1_000,
            call.left_us / 1_000
        );
    }

    fn declined(&self, declined: Declined) -> ReplyHead {
        ReplyHead::Declined {
            closed: crate::messages::is_closed(declined.reason),
            room_us: u64::try_from(declined.room_in.as_micros()).unwrap_or(u64::MAX),
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

/// Mean run time, raised by runs that already take longer: a target that
/// turned slow shows it before its slow runs end.
fn run_ms(state: &GateState, now: Instant) -> f64 {
    let mean = state.health.run_ms();
    let overdue: Vec<f64> = state
        .started
        .values()
        .map(|started| now.saturating_duration_since(*started).as_secs_f64() * 1_000.0)
        .filter(|age| *age > 2.0 * mean)
        .collect();
    if overdue.is_empty() {
        return mean;
    }
    let share = count_of(overdue.len()) / count_of(state.started.len());
    let age = overdue.iter().sum::<f64>() / count_of(overdue.len());
    mean + (age - mean) * share
}

fn load_of(state: &GateState, now: Instant) -> TargetLoad {
    TargetLoad {
        slots: state.queue.slots(),
        running: state.queue.running(),
        waiting: state.queue.waiting(),
        run_ms: run_ms(state, now),
        ill_share: state.health.ill_share(),
    }
}
