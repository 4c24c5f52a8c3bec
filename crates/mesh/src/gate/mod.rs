//! Admission gate of the local target, the target on the daemon's own host.
//!
//! All calls to the local target pass the gate. It queues them, limits how many
//! run at a time to the target's slots, runs them, and tracks the target's
//! instance, health and run times.

mod crash;
mod estimate;
mod restart;
mod run;
mod shares;
mod statements;
mod wait;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::admission::{AdmissionQueue, QueueLimits, WaitTicket};
use filbert_policy::call_limits::OverheadLimits;
use filbert_policy::clock::Clock;
use filbert_policy::health::{RunOutcome, TargetHealth};
use filbert_policy::identity::CallIdentity;
use filbert_policy::instance::{
    accepts_while_leaving, InstanceChange, InstanceKey, InstanceReport, InstanceTracker,
};
use filbert_policy::pace::PaceTracker;
use filbert_policy::restart_check::RestartCheck;
use filbert_policy::routing::ClientLimits;
use filbert_policy::run_times::RunTimeEstimator;
use filbert_policy::target_limit::CallRate;
use filbert_policy::target_memory::ReportedLimits;
use tokio::sync::{oneshot, Notify};

use crate::answer_buffer::AnswerBuffer;
use crate::egress::EgressPacer;
use crate::logging::LogRateLimiter;
use crate::messages::{TargetLoad, TargetState, TargetStatus};
use crate::metrics::MeshMetrics;
use crate::quarantine::SharedQuarantine;
use crate::rollouts::RolloutTable;
use crate::settings::{MeshSettings, TimeSettings};
use crate::target::TargetConnectionPool;
use wait::Declined;
pub use wait::RunPermit;

struct GateState {
    queue: AdmissionQueue,
    health: TargetHealth,
    /// Long-term run times, without the target's momentary pace.
    run_times: RunTimeEstimator,
    pace: PaceTracker,
    tracker: InstanceTracker,
    restart_check: RestartCheck,
    /// Senders of the gate's decision to each waiting call: `Ok` if the call runs,
    /// otherwise why it is declined.
    waiters: HashMap<WaitTicket, oneshot::Sender<Result<(), Declined>>>,
    /// End of the time in which no call is sent to a target that accepted no
    /// connection; a report of the target ends it early.
    down_until: Option<Instant>,
    /// Runs in progress by run number.
    active_runs: HashMap<u64, ActiveRun>,
    next_run: u64,
    /// Whether the log says that the current instance has a limit that cannot be read.
    has_logged_unreadable_limit: bool,
    /// Whether the log says that the current instance has a pace that cannot be read.
    has_logged_unreadable_pace: bool,
    /// Limits of the target that peers remember from before a restart of this daemon.
    reported_limits: ReportedLimits,
}

/// A run in progress.
#[derive(Clone, Copy)]
struct ActiveRun {
    call: CallIdentity,
    started_at: Instant,
    /// Long-term run time of the call, without pace and cold factor.
    expected: Duration,
}

/// The admission gate of the local target.
pub struct Gate {
    state: RefCell<GateState>,
    connections: Rc<TargetConnectionPool>,
    quarantine: Rc<SharedQuarantine>,
    rollouts: Rc<RolloutTable>,
    /// Name of this host.
    host: String,
    metrics: Rc<MeshMetrics>,
    egress: Rc<EgressPacer>,
    pub(crate) answer_buffer: Rc<AnswerBuffer>,
    log_limiter: LogRateLimiter,
    /// Whether the log says that a call came with an invalid weight.
    has_logged_invalid_weight: Cell<bool>,
    clock: Rc<dyn Clock>,
    started_at: Instant,
    address: Cell<SocketAddr>,
    drain_time: Cell<Duration>,
    report_interval: Cell<Duration>,
    /// Limits on what is read for a call besides bodies.
    overhead_limits: Cell<OverheadLimits>,
    /// Whether the daemon itself is stopping.
    is_stopping: Cell<bool>,
    /// Signals that a call was queued.
    call_queued: Notify,
    /// Signals a change of [`Gate::status`] that other daemons must learn at once.
    pub status_changed: Notify,
    /// Signals a change of the target's pace.
    pub pace_changed: Notify,
}

impl Gate {
    /// Creates a gate without a target; it is closed until the target's first
    /// report.
    #[must_use]
    pub fn new(
        settings: &MeshSettings,
        quarantine: Rc<SharedQuarantine>,
        rollouts: Rc<RolloutTable>,
        metrics: Rc<MeshMetrics>,
        egress: Rc<EgressPacer>,
        clock: Rc<dyn Clock>,
    ) -> Rc<Gate> {
        Rc::new(Gate {
            state: RefCell::new(GateState {
                queue: AdmissionQueue::new(QueueLimits::default()),
                health: TargetHealth::default(),
                run_times: RunTimeEstimator::default(),
                pace: PaceTracker::default(),
                tracker: InstanceTracker::default(),
                restart_check: if settings.first_start {
                    RestartCheck::first_start()
                } else {
                    RestartCheck::restarted()
                },
                waiters: HashMap::new(),
                down_until: None,
                active_runs: HashMap::new(),
                next_run: 0,
                has_logged_unreadable_limit: false,
                has_logged_unreadable_pace: false,
                reported_limits: ReportedLimits::default(),
            }),
            connections: Rc::new(TargetConnectionPool::default()),
            quarantine,
            rollouts,
            host: settings.id.clone(),
            metrics,
            egress,
            answer_buffer: AnswerBuffer::new(Rc::clone(&clock)),
            log_limiter: LogRateLimiter::new(clock.now()),
            started_at: clock.now(),
            has_logged_invalid_weight: Cell::new(false),
            clock,
            address: Cell::new(settings.target),
            drain_time: Cell::new(settings.times.drain),
            report_interval: Cell::new(settings.times.report_every),
            overhead_limits: Cell::new(OverheadLimits::new(ClientLimits::default().head_bytes)),
            is_stopping: Cell::new(false),
            call_queued: Notify::new(),
            status_changed: Notify::new(),
            pace_changed: Notify::new(),
        })
    }

    /// Applies reloaded settings: the target's address, its drain time and the
    /// interval of the target's reports.
    pub fn apply_settings(&self, address: SocketAddr, times: &TimeSettings) {
        self.address.set(address);
        self.drain_time.set(times.drain);
        self.report_interval.set(times.report_every);
    }

    /// Applies the limits of a configuration version.
    pub fn apply_limits(&self, limits: &ClientLimits) {
        self.overhead_limits
            .set(OverheadLimits::new(limits.head_bytes));
    }

    /// Closes the gate for good, as the daemon is stopping.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        self.status_changed.notify_waiters();
    }

    /// Returns the number of calls that run at the target or wait for it.
    #[must_use]
    pub fn calls_in_progress(&self) -> u32 {
        let state = self.state.borrow();
        state.queue.running() + state.queue.waiting()
    }

    /// Returns whether the target is leaving, that is whether it sent a shutdown notice.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.state.borrow().tracker.leaving_since().is_some()
    }

    /// The limit that the target states on the rate of calls; `None` if it states none.
    #[must_use]
    pub fn call_limit(&self) -> Option<CallRate> {
        let allowance = self.state.borrow().queue.allowance(self.clock.now());
        allowance.map(|allowance| allowance.rate)
    }

    /// Handles a report of the target. A report of a new instance resets the
    /// health and the run times, and drops the connections to the old one. Any
    /// report that is not stale sets the slots and ends the down time.
    pub fn report(&self, report: InstanceReport) -> InstanceChange {
        let now = self.clock.now();
        let slots = report.slots;
        let key = report.key.clone();
        let service = report.service.clone();
        let change = {
            let mut state = self.state.borrow_mut();
            let former = state.tracker.current().map(|former| former.service.clone());
            let change = state.tracker.report(report, now);
            if change == InstanceChange::Replaced && former.is_some_and(|former| former != service)
            {
                state.decline_waiting(now);
            }
            if change != InstanceChange::Stale {
                self.check_after_restart(&mut state, &key, now);
            }
            match change {
                InstanceChange::Stale => {}
                InstanceChange::Replaced => {
                    state.health = TargetHealth::default();
                    state.run_times = RunTimeEstimator::default();
                    state.pace = PaceTracker::default();
                    state.has_logged_unreadable_pace = false;
                    state.has_logged_unreadable_limit = false;
                    state.queue.reset_limit();
                    state.restore_reported_limit(now);
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
            self.rollouts.run_counters.reset_for_new_target(now);
        }
        if change != InstanceChange::None && change != InstanceChange::Stale {
            self.status_changed.notify_waiters();
        }
        change
    }

    /// Handles the shutdown notice of instance `key`.
    pub fn leave(&self, key: &InstanceKey) -> InstanceChange {
        let now = self.clock.now();
        let change = self.state.borrow_mut().tracker.leave(key, now);
        if change == InstanceChange::Draining {
            self.status_changed.notify_waiters();
        }
        change
    }

    /// Marks instance `key` as leaving since before this daemon started, as the
    /// daemon's peers reported.
    pub fn mark_left_before_restart(&self, key: &InstanceKey) {
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .tracker
            .mark_left_before_restart(key, now);
        self.status_changed.notify_waiters();
    }

    /// Returns the target's state, including the effect of roll-outs: the target is
    /// closed while a roll-out sends no calls to its software version on this host.
    fn target_state(&self, state: &GateState, now: Instant) -> TargetState {
        let is_admitted = state.tracker.current().is_some_and(|report| {
            self.rollouts
                .admits(&report.service, &report.software, &self.host)
        });
        if is_admitted {
            self.state_without_rollouts(state, now)
        } else {
            TargetState::Closed
        }
    }

    /// Returns whether the target would be open if no roll-out closed it.
    #[must_use]
    pub fn is_open_without_rollouts(&self) -> bool {
        self.state_without_rollouts(&self.state.borrow(), self.clock.now()) == TargetState::Open
    }

    /// Applies a roll-out's change of stage: declines the calls that wait if the
    /// target is closed now, and signals the change of status.
    pub fn apply_rollout_change(&self) {
        self.dispatch();
        self.status_changed.notify_waiters();
    }

    /// Returns the target's state apart from roll-outs. A leaving target is closed
    /// before its drain time is over.
    fn state_without_rollouts(&self, state: &GateState, now: Instant) -> TargetState {
        let is_down = state.down_until.is_some_and(|until| now < until);
        let may_get_calls = state.tracker.current().is_some() && state.restart_check.allows_calls();
        if self.is_stopping.get() || is_down || !may_get_calls {
            return TargetState::Closed;
        }
        match state.tracker.leaving_since() {
            None => TargetState::Open,
            Some(_) if state.tracker.is_gone() => TargetState::Closed,
            Some(since) if accepts_while_leaving(since, self.drain_time.get(), now) => {
                TargetState::Leaving
            }
            Some(_) => TargetState::Closed,
        }
    }

    /// Returns the target's status, as sent to other daemons; `None` before the
    /// target's first report, and while it may be late.
    #[must_use]
    pub fn status(&self) -> Option<TargetStatus> {
        let state = self.state.borrow();
        let now = self.clock.now();
        let report = state.tracker.current()?;
        if !state.restart_check.allows_calls() {
            return None;
        }
        Some(TargetStatus {
            service: report.service.clone(),
            software: report.software.clone(),
            instance: report.key.clone(),
            state: self.target_state(&state, now),
            is_cold: state.tracker.is_cold(now),
            load: self.load_at(&state, now),
        })
    }

    fn load(&self) -> TargetLoad {
        self.load_at(&self.state.borrow(), self.clock.now())
    }

    fn load_at(&self, state: &GateState, now: Instant) -> TargetLoad {
        const KIB: u64 = 1024;
        let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
        TargetLoad {
            slots: state.queue.slots(),
            running: state.queue.running(),
            waiting: state.queue.waiting(),
            // Placement applies the cold factor itself.
            run_ms: millis(state.mean_run_time(now)) / state.cold_factor(now),
            slowdown: state.run_times.slowdown(),
            failure_rate: state.health.failure_rate(),
            link_ms: millis(self.egress.backlog()),
            link_ms_per_kib: millis(self.egress.transmission_time(KIB)),
            allowance: state.queue.allowance(now),
            pace: state.pace.current(now),
        }
    }

    fn record_outcome(&self, outcome: RunOutcome) {
        self.state.borrow_mut().health.record(outcome);
    }
}
