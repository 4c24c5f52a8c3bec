//! Plays a load against the queue in front of one target.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbert_policy::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, LinkTime, QueueLimits, WaitOutcome,
    WaitTicket,
};
use filbert_policy::run_times::RunTime;

/// Slots of the target.
pub const SLOTS: u32 = 9;

/// An open gate with nothing at it.
pub fn open_gate() -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    queue.set_slots(SLOTS);
    queue.set_open(true);
    queue
}

/// A call as the load brings it.
#[derive(Clone, Copy, Debug)]
pub struct LoadCall {
    pub at: Duration,
    pub priority: u8,
    pub soft_deadline: Duration,
    pub left: Duration,
    /// How long it takes.
    pub run: Duration,
    /// How long it is expected to take.
    pub expected: Duration,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFate {
    Declined { held: Duration },
    Answered { took: Duration },
}

/// Plays `calls` (in order of their arrival) and gives each one's fate.
pub fn replay(calls: &[LoadCall]) -> Vec<CallFate> {
    let start = Instant::now();
    let mut queue = open_gate();
    let mut fates = vec![
        CallFate::Declined {
            held: Duration::MAX
        };
        calls.len()
    ];
    let mut waiting: HashMap<WaitTicket, usize> = HashMap::new();
    let mut running: Vec<(Duration, usize)> = Vec::new();
    let mut next = 0;
    let mut now = Duration::ZERO;
    while next < calls.len() || !running.is_empty() || !waiting.is_empty() {
        now += Duration::from_millis(1);
        let mut ended = Vec::new();
        running.retain(|&(until, call)| {
            if until <= now {
                ended.push(call);
            }
            until > now
        });
        for call in ended {
            queue.finish_run();
            fates[call] = CallFate::Answered {
                took: now.saturating_sub(calls[call].at),
            };
        }
        while next < calls.len() && calls[next].at <= now {
            let call = calls[next];
            let demand = AdmissionRequest {
                priority: call.priority,
                soft_deadline: start + call.at + call.soft_deadline,
                deadline: start + call.at + call.left,
                run: RunTime::exponential(call.expected),
                link: LinkTime::default(),
            };
            match queue.offer(demand, turn(calls, &running), start + now) {
                AdmissionDecision::Run => running.push((now + call.run, next)),
                AdmissionDecision::Wait(ticket) => {
                    waiting.insert(ticket, next);
                }
                AdmissionDecision::Decline { .. } => {
                    fates[next] = CallFate::Declined {
                        held: now.saturating_sub(call.at),
                    };
                }
            }
            next += 1;
        }
        for end in queue.dispatch(turn(calls, &running), start + now) {
            match end {
                WaitOutcome::Run(ticket) => {
                    let call = waiting.remove(&ticket).expect("it waited");
                    running.push((now + calls[call].run, call));
                }
                WaitOutcome::Decline { ticket, .. } => {
                    let call = waiting.remove(&ticket).expect("it waited");
                    fates[call] = CallFate::Declined {
                        held: now.saturating_sub(calls[call].at),
                    };
                }
            }
        }
        assert!(
            running.len() <= SLOTS as usize,
            "more at the target than slots"
        );
    }
    fates
}

/// Mean time that the runs under way are expected to take.
fn turn(calls: &[LoadCall], running: &[(Duration, usize)]) -> Duration {
    let total: Duration = running.iter().map(|(_, call)| calls[*call].expected).sum();
    total / u32::try_from(running.len().max(1)).unwrap_or(u32::MAX)
}
