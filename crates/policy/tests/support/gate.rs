//! Simulates a load of calls on the admission queue of one target.

#![allow(dead_code)] // Each test binary uses only some of the helpers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbert_policy::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, LinkTime, QueueLimits, WaitOutcome,
    WaitTicket,
};
use filbert_policy::fair_share::OrganisationShare;
use filbert_policy::run_times::RunTime;
use filbert_policy::target_limit::LimitStatement;

/// Slots of the target.
pub const SLOTS: u32 = 9;

/// Creates an empty queue that accepts calls.
pub fn open_queue() -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    queue.set_slots(SLOTS);
    queue.set_open(true);
    queue
}

/// One call of a simulated load. Times are relative to the start of the replay, and
/// the timeouts to the arrival of the call.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedCall {
    pub at: Duration,
    pub priority: u8,
    pub soft_timeout: Duration,
    pub timeout: Duration,
    /// Actual run time.
    pub run: Duration,
    /// Expected run time, known to the queue.
    pub expected_run: Duration,
    /// The organisation that the call belongs to.
    pub organisation: Option<OrganisationShare>,
}

/// How a simulated call ended, and how long after its arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    Declined { declined_after: Duration },
    Answered { took: Duration },
}

/// Simulates `calls`, sorted by arrival, and returns the outcome of each call.
pub fn replay(calls: &[SimulatedCall]) -> Vec<CallOutcome> {
    replay_stated(calls, &[])
}

/// Simulates `calls` like [`replay`], at a target that makes each of `statements` on its
/// limit at the time given with it.
pub fn replay_stated(
    calls: &[SimulatedCall],
    statements: &[(Duration, LimitStatement)],
) -> Vec<CallOutcome> {
    let is_limited = !statements.is_empty();
    let mut statements = statements.iter().peekable();
    let start = Instant::now();
    let mut queue = open_queue();
    let mut outcomes = vec![
        CallOutcome::Declined {
            declined_after: Duration::MAX
        };
        calls.len()
    ];
    let mut waiting: HashMap<WaitTicket, usize> = HashMap::new();
    let mut running: Vec<(Duration, usize)> = Vec::new();
    let mut next = 0;
    let mut now = Duration::ZERO;
    while next < calls.len() || !running.is_empty() || !waiting.is_empty() {
        now += Duration::from_millis(1);
        while let Some((_, statement)) = statements.next_if(|(at, _)| *at <= now) {
            queue.record_statement(*statement, start + now, start + now);
        }
        for (_, call) in running.extract_if(.., |(until, _)| *until <= now) {
            queue.finish_run();
            outcomes[call] = CallOutcome::Answered {
                took: now.saturating_sub(calls[call].at),
            };
        }
        while next < calls.len() && calls[next].at <= now {
            let call = calls[next];
            let request = AdmissionRequest {
                priority: call.priority,
                soft_deadline: start + call.at + call.soft_timeout,
                deadline: start + call.at + call.timeout,
                run: RunTime::exponential(call.expected_run),
                link: LinkTime::default(),
                organisation: call.organisation,
            };
            match queue.offer(request, mean_run(calls, &running), start + now) {
                AdmissionDecision::Run => running.push((now + call.run, next)),
                AdmissionDecision::Wait(ticket) => {
                    waiting.insert(ticket, next);
                }
                AdmissionDecision::Decline { .. } => {
                    outcomes[next] = CallOutcome::Declined {
                        declined_after: now.saturating_sub(call.at),
                    };
                }
            }
            next += 1;
        }
        for end in queue.dispatch(mean_run(calls, &running), start + now) {
            match end {
                WaitOutcome::Run(ticket) => {
                    let call = waiting
                        .remove(&ticket)
                        .expect("the ticket belongs to a waiting call");
                    running.push((now + calls[call].run, call));
                }
                WaitOutcome::Decline { ticket, .. } => {
                    let call = waiting
                        .remove(&ticket)
                        .expect("the ticket belongs to a waiting call");
                    outcomes[call] = CallOutcome::Declined {
                        declined_after: now.saturating_sub(calls[call].at),
                    };
                }
            }
        }
        assert!(
            running.len() <= SLOTS as usize,
            "more running calls than slots"
        );
        assert!(
            is_limited || waiting.is_empty() || running.len() == SLOTS as usize,
            "a slot is idle while a call waits"
        );
    }
    outcomes
}

/// Mean expected run time of the running calls.
fn mean_run(calls: &[SimulatedCall], running: &[(Duration, usize)]) -> Duration {
    let total: Duration = running
        .iter()
        .map(|(_, call)| calls[*call].expected_run)
        .sum();
    total / u32::try_from(running.len().max(1)).unwrap_or(u32::MAX)
}
