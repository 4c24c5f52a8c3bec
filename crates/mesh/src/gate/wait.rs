//! Waiting for a turn at the target, and the right to be there.

use std::rc::Rc;
use std::time::Duration;

use filbert_policy::admission::{
    AdmissionDecision, AdmissionRequest, DeclineReason, WaitOutcome, WaitTicket,
};
use filbert_policy::health::RunOutcome;
use filbert_policy::identity::CallIdentity;
use tokio::sync::oneshot;

use super::{turn_time, Gate, StartedRun};
use crate::messages::{CallHead, TargetState};

/// How often waiting calls are checked for having become too late.
const SETTLE_EVERY: Duration = Duration::from_millis(25);

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
        self.gate.record(RunOutcome::Failure);
        if let Some(run) = self.started() {
            self.gate.mark_later(run.call, run.at);
        }
    }

    /// Notes that the target gave a whole answer that is no failure.
    pub fn ended_well(self) {
        if let Some(run) = self.started() {
            self.gate.quarantine.record_success(run.call);
        }
    }

    fn started(&self) -> Option<StartedRun> {
        self.gate.state.borrow().started.get(&self.run).copied()
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        {
            let mut state = self.gate.state.borrow_mut();
            state.queue.finish_run();
            state.started.remove(&self.run);
        }
        self.gate.dispatch();
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
                state.queue.finish_run();
            }
        }
        if was_started {
            self.gate.dispatch();
        }
    }
}

/// A call that was turned away.
#[derive(Clone, Copy, Debug)]
pub(super) struct Declined {
    /// Why.
    pub(super) reason: DeclineReason,
    /// When room is expected.
    pub(super) room_in: Duration,
}

impl Gate {
    /// Waits until the call may run.
    pub(super) async fn admit(
        self: &Rc<Self>,
        call: &CallHead,
        demand: AdmissionRequest,
    ) -> Result<RunPermit, Declined> {
        let now = self.clock.now();
        let waiting = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let is_here = state
                .tracker
                .current()
                .is_some_and(|report| report.service == call.service);
            let is_open = is_here && self.target_state(state, now) != TargetState::Closed;
            state.queue.set_open(is_open);
            let turn = turn_time(state, now);
            match state.queue.offer(demand, turn, now) {
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
        Ok(self.start_run(call.identity, demand.run.mean))
    }

    fn start_run(self: &Rc<Self>, call: CallIdentity, expected: Duration) -> RunPermit {
        let mut state = self.state.borrow_mut();
        let run = state.next_run;
        state.next_run += 1;
        let at = self.clock.now();
        state.started.insert(run, StartedRun { call, at, expected });
        RunPermit {
            gate: Rc::clone(self),
            run,
        }
    }

    /// Starts and turns away what the queue says.
    pub(super) fn dispatch(&self) {
        let now = self.clock.now();
        let mut freed = 0;
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            if state.queue.waiting() == 0 {
                return;
            }
            let turn = turn_time(state, now);
            let ends = if self.target_state(state, now) == TargetState::Closed {
                state.queue.decline_all(turn)
            } else {
                state.queue.dispatch(turn, now)
            };
            for end in ends {
                let (ticket, answer) = match end {
                    WaitOutcome::Run(ticket) => (ticket, Ok(())),
                    WaitOutcome::Decline { ticket, room_in } => (ticket, Err(room_in)),
                };
                let runs = answer.is_ok();
                let taken = state
                    .waiters
                    .remove(&ticket)
                    .is_some_and(|waiter| waiter.send(answer).is_ok());
                if runs && !taken {
                    state.queue.finish_run();
                    freed += 1;
                }
            }
        }
        if freed > 0 {
            self.dispatch();
        }
    }

    /// Turns away calls that became too late while they waited. Runs for ever.
    pub async fn run_queue_expiry(self: Rc<Self>) {
        loop {
            if self.state.borrow().queue.waiting() == 0 {
                self.crowd.notified().await;
            }
            tokio::time::sleep(SETTLE_EVERY).await;
            self.dispatch();
        }
    }
}
