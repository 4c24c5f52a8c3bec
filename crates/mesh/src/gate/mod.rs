//! The only way to the target beside the daemon: holds the queue, the slots
//! and what is known of the target, and runs calls there.

mod end;
mod run;
mod wait;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_policy::admission::{AdmissionQueue, LinkTime, QueueLimits, WaitTicket};
use filbert_policy::clock::Clock;
use filbert_policy::health::{RunOutcome, TargetHealth};
use filbert_policy::identity::CallIdentity;
use filbert_policy::instance::{InstanceChange, InstanceKey, InstanceReport, InstanceTracker};
use filbert_policy::numbers::count_to_f64;
use filbert_policy::run_times::{RunTime, RunTimeEstimator};
use tokio::sync::{oneshot, Notify, Semaphore};

use crate::body::MOST_AHEAD_KIB;
use crate::egress::EgressPacer;
use crate::logging::LogRateLimiter;
use crate::messages::{CallHead, TargetLoad, TargetState, TargetStatus};
use crate::metrics::MeshMetrics;
use crate::quarantine::SharedQuarantine;
use crate::rollouts::RolloutBook;
use crate::settings::{MeshSettings, TimeSettings};
use crate::target::TargetConnections;
pub use wait::RunPermit;

/// Part of the draining time after which a leaving target gets no more calls.
/// The rest covers a call that is on its way through the daemon.
const DRAIN_SHARE: f64 = 0.5;

struct GateState {
    queue: AdmissionQueue,
    health: TargetHealth,
    times: RunTimeEstimator,
    tracker: InstanceTracker,
    waiters: HashMap<WaitTicket, oneshot::Sender<Result<(), Duration>>>,
    down_until: Option<Instant>,
    /// Calls that started, by number.
    started: HashMap<u64, StartedRun>,
    next_run: u64,
}

/// A run under way.
#[derive(Clone, Copy)]
struct StartedRun {
    call: CallIdentity,
    at: Instant,
    /// How long it was expected to take.
    expected: Duration,
}

/// The gate of the target beside the daemon.
pub struct Gate {
    state: RefCell<GateState>,
    connections: Rc<TargetConnections>,
    quarantine: Rc<SharedQuarantine>,
    rollouts: Rc<RolloutBook>,
    /// This host's name.
    host: String,
    metrics: Rc<MeshMetrics>,
    egress: Rc<EgressPacer>,
    /// Room for answers that are read ahead of their takers, in KiB.
    ahead: Arc<Semaphore>,
    log_limiter: LogRateLimiter,
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

impl Gate {
    /// A gate with no target yet.
    #[must_use]
    pub fn new(
        settings: &MeshSettings,
        quarantine: Rc<SharedQuarantine>,
        rollouts: Rc<RolloutBook>,
        metrics: Rc<MeshMetrics>,
        egress: Rc<EgressPacer>,
        clock: Rc<dyn Clock>,
    ) -> Rc<Gate> {
        Rc::new(Gate {
            state: RefCell::new(GateState {
                queue: AdmissionQueue::new(QueueLimits::default()),
                health: TargetHealth::default(),
                times: RunTimeEstimator::default(),
                tracker: InstanceTracker::default(),
                waiters: HashMap::new(),
                down_until: None,
                started: HashMap::new(),
                next_run: 0,
            }),
            connections: Rc::new(TargetConnections::default()),
            quarantine,
            rollouts,
            host: settings.id.clone(),
            metrics,
            egress,
            ahead: Arc::new(Semaphore::new(MOST_AHEAD_KIB)),
            log_limiter: LogRateLimiter::new(clock.now()),
            clock,
            address: Cell::new(settings.target),
            drain: Cell::new(settings.times.drain),
            report_every: Cell::new(settings.times.report_every),
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

    /// Whether the target said that it leaves.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.state.borrow().tracker.leaving_since().is_some()
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
                    state.times = RunTimeEstimator::default();
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
            self.rollouts.own.target_replaced(now);
        }
        if change != InstanceChange::None && change != InstanceChange::Stale {
            self.changed.notify_waiters();
        }
        change
    }

    /// Takes a farewell of the target.
    pub fn leave(&self, key: &InstanceKey) -> InstanceChange {
        let now = self.clock.now();
        let change = self.state.borrow_mut().tracker.leave(key, now);
        if change == InstanceChange::Draining {
            self.changed.notify_waiters();
        }
        change
    }

    /// Takes word of peers that instance `key` was leaving before this daemon
    /// started.
    pub fn mark_left_before_restart(&self, key: &InstanceKey) {
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .tracker
            .mark_left_before_restart(key, now);
        self.changed.notify_waiters();
    }

    /// The target's state as a roll-out lets it be: a version that takes no
    /// calls now is closed to all.
    fn target_state(&self, state: &GateState, now: Instant) -> TargetState {
        let is_admitted = state.tracker.current().is_some_and(|report| {
            self.rollouts
                .admits(&report.service, &report.software, &self.host)
        });
        if is_admitted {
            self.own_state(state, now)
        } else {
            TargetState::Closed
        }
    }

    /// Whether the target takes calls, but for what a roll-out says.
    #[must_use]
    pub fn would_take(&self) -> bool {
        self.own_state(&self.state.borrow(), self.clock.now()) == TargetState::Open
    }

    /// Takes word that a roll-out is at another stage: calls that wait for a
    /// target that is closed now are turned away, and others hear of it.
    pub fn rollout_changed(&self) {
        self.dispatch();
        self.changed.notify_waiters();
    }

    fn own_state(&self, state: &GateState, now: Instant) -> TargetState {
        let is_down = state.down_until.is_some_and(|until| now < until);
        if self.is_stopping.get() || is_down || state.tracker.current().is_none() {
            return TargetState::Closed;
        }
        match state.tracker.leaving_since() {
            None => TargetState::Open,
            Some(_) if state.tracker.is_gone() => TargetState::Closed,
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
            software: report.software.clone(),
            instance: report.key.clone(),
            state: self.target_state(&state, now),
            is_cold: state.tracker.is_cold(now),
            load: self.load_of(&state, now),
        })
    }

    fn load(&self) -> TargetLoad {
        self.load_of(&self.state.borrow(), self.clock.now())
    }

    fn load_of(&self, state: &GateState, now: Instant) -> TargetLoad {
        const KIB: u64 = 1024;
        let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
        TargetLoad {
            slots: state.queue.slots(),
            running: state.queue.running(),
            waiting: state.queue.waiting(),
            run_ms: millis(turn_time(state, now)),
            slowdown: state.times.slowdown(),
            failure_rate: state.health.failure_rate(),
            link_ms: millis(self.egress.backlog()),
            link_ms_per_kib: millis(self.egress.transmission_time(KIB)),
        }
    }

    fn record(&self, sign: RunOutcome) {
        self.state.borrow_mut().health.record(sign);
    }

    /// How long a run of `call` is expected to take here.
    #[must_use]
    pub fn expected_run(&self, call: &CallHead) -> RunTime {
        let usual = call.usual_run.map(RunTime::from);
        self.state.borrow().times.expect(&call.kind, usual)
    }

    /// Time that the answer to `call` over the host's link would need, beyond
    /// its run.
    #[must_use]
    pub fn link_time(&self, call: &CallHead) -> LinkTime {
        let bytes = call.answer_bytes;
        LinkTime {
            wait: self
                .egress
                .queueing_delay(bytes)
                .saturating_sub(self.expected_run(call).mean),
            send: self.egress.transmission_time(bytes),
        }
    }
}

/// Mean time that the runs under way are expected to take; of all runs when
/// there is none. Raised by runs that already take longer: a target that turned
/// slow shows it before its slow runs end.
fn turn_time(state: &GateState, now: Instant) -> Duration {
    /// Part of its expected time by which a run is overdue.
    const OVERDUE: f64 = 2.0;
    if state.started.is_empty() {
        return state.times.mean();
    }
    let total: Duration = state
        .started
        .values()
        .map(|run| {
            let age = now.saturating_duration_since(run.at);
            if age > run.expected.mul_f64(OVERDUE) {
                age
            } else {
                run.expected
            }
        })
        .sum();
    total.div_f64(count_to_f64(state.started.len()))
}
