//! The gate's admission: calls wait for a free slot and get a [`RunPermit`].

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::admission::{
    AdmissionDecision, AdmissionRequest, DeclineReason, WaitOutcome, WaitTicket,
};
use filbert_policy::health::RunOutcome;
use filbert_policy::identity::CallIdentity;
use filbert_policy::run_times::RunTime;
use tokio::sync::oneshot;

use super::{ActiveRun, Gate, GateState};
use crate::messages::{CallHead, TargetState};

/// Interval at which waiting calls that have become too late are declined.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(25);

/// A call's slot at the target. Dropping the permit ends the run: it frees the
/// slot for the next call.
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
    /// Ends a run whose answer was truncated, as failed. If the target has ended,
    /// records its crash in the background.
    pub fn end_truncated(self) {
        self.gate.record_outcome(RunOutcome::Failure);
        if let Some(run) = self.active_run() {
            self.gate
                .record_crash_in_background(run.call, run.started_at);
        }
    }

    /// Ends a run whose target fell silent inside the answer, as failed.
    pub fn end_silent(self) {
        self.gate.record_outcome(RunOutcome::Failure);
    }

    /// Ends a run whose answer was complete and no failure. Clears the call in the
    /// quarantine.
    pub fn end_successful(self) {
        if let Some(run) = self.active_run() {
            self.gate.quarantine.record_success(run.call);
        }
    }

    fn active_run(&self) -> Option<ActiveRun> {
        self.gate.state.borrow().active_runs.get(&self.run).copied()
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        {
            let mut state = self.gate.state.borrow_mut();
            state.queue.finish_run();
            state.active_runs.remove(&self.run);
        }
        self.gate.dispatch();
    }
}

/// Removes a waiting call from the queue when the call's future is dropped, for
/// example because the client has disconnected.
///
/// If the queue has just given the call a slot, the guard frees that slot.
/// Otherwise the slot would stay taken for good, as the call is never run.
struct WaitGuard<'a> {
    gate: &'a Gate,
    ticket: WaitTicket,
    /// Receives the gate's decision, as described at [`GateState::waiters`].
    decision: oneshot::Receiver<Result<(), Declined>>,
    is_received: bool,
}

impl WaitGuard<'_> {
    /// Waits for the gate's decision.
    async fn decision(mut self) -> Result<(), Declined> {
        let decision = (&mut self.decision).await;
        self.is_received = true;
        // The gate keeps the sender in `waiters` until it sends a decision. If the
        // sender is dropped without one, none will come: the call is declined.
        decision.unwrap_or(Err(Declined {
            reason: DeclineReason::Crowded,
            room_in: Duration::ZERO,
        }))
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.is_received {
            return;
        }
        let was_started = matches!(self.decision.try_recv(), Ok(Ok(())));
        {
            let mut state = self.gate.state.borrow_mut();
            state.waiters.remove(&self.ticket);
            state.queue.cancel(self.ticket);
            if was_started {
                state.queue.abort_run(self.gate.clock.now());
            }
        }
        if was_started {
            self.gate.dispatch();
        }
    }
}

/// A decline of a call: its reason, and when the gate expects capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Declined {
    /// Why the gate declined the call.
    pub(super) reason: DeclineReason,
    /// Time until capacity for the call is expected.
    pub(super) room_in: Duration,
}

impl Gate {
    /// Waits for a slot at the target. `long_term_run` is the call's run time without
    /// pace and cold factor.
    ///
    /// # Errors
    /// [`Declined`] if the target is closed or belongs to another service, if the
    /// call would start too late, or if the queue is full.
    pub(super) async fn wait_for_slot(
        self: &Rc<Self>,
        call: &CallHead,
        request: AdmissionRequest,
        long_term_run: RunTime,
    ) -> Result<RunPermit, Declined> {
        let now = self.clock.now();
        let waiting = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let accepts = self.accepts(state, &call.service, now);
            state.queue.set_open(accepts);
            state.update_queue_estimates(now);
            let mean_run = state.mean_run_time(now);
            match state.queue.offer(request, mean_run, now) {
                AdmissionDecision::Run => None,
                AdmissionDecision::Decline { reason, room_in } => {
                    return Err(Declined { reason, room_in })
                }
                AdmissionDecision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    Some((ticket, receiver))
                }
            }
        };
        if let Some((ticket, decision)) = waiting {
            self.call_queued.notify_one();
            let guard = WaitGuard {
                gate: self,
                ticket,
                decision,
                is_received: false,
            };
            guard.decision().await?;
        }
        let permit = self.start_run(call.identity, long_term_run.mean);
        // The target may have been replaced, or closed by a roll-out, while the call waited.
        let now = self.clock.now();
        if self.accepts(&self.state.borrow(), &call.service, now) {
            return Ok(permit);
        }
        Err(Declined {
            reason: DeclineReason::Closed,
            room_in: Duration::ZERO,
        })
    }

    /// Whether the target accepts calls of `service` now.
    fn accepts(&self, state: &GateState, service: &str, now: Instant) -> bool {
        let report = state.tracker.current();
        report.is_some_and(|report| report.service == service)
            && self.target_state(state, now) != TargetState::Closed
    }

    fn start_run(self: &Rc<Self>, call: CallIdentity, expected: Duration) -> RunPermit {
        let mut state = self.state.borrow_mut();
        let run = state.next_run;
        state.next_run += 1;
        let started_at = self.clock.now();
        state.active_runs.insert(
            run,
            ActiveRun {
                call,
                started_at,
                expected,
            },
        );
        RunPermit {
            gate: Rc::clone(self),
            run,
        }
    }

    /// Starts the waiting calls for which there are slots, and declines those that
    /// are too late, or all of them if the target is closed.
    pub(super) fn dispatch(&self) {
        let now = self.clock.now();
        let mut freed_slots = 0;
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            if state.queue.waiting() == 0 {
                return;
            }
            state.update_queue_estimates(now);
            let mean_run = state.mean_run_time(now);
            let outcomes = if self.target_state(state, now) == TargetState::Closed {
                state.queue.decline_all(mean_run)
            } else {
                state.queue.dispatch(mean_run, now)
            };
            for outcome in outcomes {
                if state.send_decision(outcome) == Delivery::SlotUnused {
                    state.queue.abort_run(now);
                    freed_slots += 1;
                }
            }
        }
        if freed_slots > 0 {
            self.dispatch();
        }
    }

    /// Declines waiting calls that have become too late, every
    /// `EXPIRY_INTERVAL` while any call waits. Never returns.
    pub async fn run_queue_expiry(self: Rc<Self>) {
        loop {
            if self.state.borrow().queue.waiting() == 0 {
                self.call_queued.notified().await;
            }
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.dispatch();
        }
    }
}

/// Whether a decision to run reached the call that waited for it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// The decision was received, or was one to decline.
    Done,
    /// The call's future was dropped, so its slot is free for another call.
    SlotUnused,
}

impl GateState {
    /// Declines all waiting calls: the target that they wait for was replaced by one of
    /// another service.
    pub(super) fn decline_waiting(&mut self, now: Instant) {
        let mean_run = self.mean_run_time(now);
        for outcome in self.queue.decline_all(mean_run) {
            self.send_decision(outcome);
        }
    }

    /// Sends the decision on a call to the task that waits for it.
    fn send_decision(&mut self, outcome: WaitOutcome) -> Delivery {
        let (ticket, decision) = match outcome {
            WaitOutcome::Run(ticket) => (ticket, Ok(())),
            WaitOutcome::Decline {
                ticket,
                reason,
                room_in,
            } => (ticket, Err(Declined { reason, room_in })),
        };
        let may_run = decision.is_ok();
        let was_received = self
            .waiters
            .remove(&ticket)
            .is_some_and(|waiter| waiter.send(decision).is_ok());
        if may_run && !was_received {
            Delivery::SlotUnused
        } else {
            Delivery::Done
        }
    }
}
