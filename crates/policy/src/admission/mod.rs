//! Which calls a target runs, which wait in the daemon in front of it, and
//! which are turned away at once.
//!
//! The daemon is the only way to its target, so it knows exactly what runs.
//! It keeps as many calls at the target as the target has slots and lets the
//! rest wait here, where they can be put in order, cancelled and timed out.

mod order;
mod wait;

use std::time::{Duration, Instant};

use order::{CallOrder, OfferedLoad};
use wait::ExpectedWait;
pub use wait::SHORT_RUN_RATIO;

use crate::run_times::RunTime;

/// A call at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Rank of the call; 0 goes first.
    pub priority: u8,
    /// Until when an answer is worth most.
    pub soft_deadline: Instant,
    /// Until when an answer is worth anything.
    pub deadline: Instant,
    /// How long its run is expected to take here.
    pub run: RunTime,
    /// Time that its answer waits for the host's link, behind others', and
    /// that it takes there.
    pub link: LinkTime,
}

/// Time of an answer on the host's link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTime {
    /// Behind other answers, beyond a usual run.
    pub wait: Duration,
    /// On the way out.
    pub send: Duration,
}

impl LinkTime {
    fn total(self) -> Duration {
        self.wait + self.send
    }
}

/// Names a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitTicket(u64);

/// Why a call was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// Too much is ahead of it for an answer in time.
    Crowded,
    /// The target takes no work: it leaves, or it is not there.
    Closed,
}

/// What becomes of a call at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run,
    /// It waits.
    Wait(WaitTicket),
    /// It is turned away, with the time after which room is expected.
    Decline {
        /// Why.
        reason: DeclineReason,
        /// When room is expected.
        room_in: Duration,
    },
}

/// What became of calls that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// It runs now.
    Run(WaitTicket),
    /// It can no longer be answered in time.
    Decline {
        /// The call.
        ticket: WaitTicket,
        /// When room is expected.
        room_in: Duration,
    },
}

/// Limits of waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueLimits {
    /// Calls that may wait for each slot. More than a handful is never worked
    /// off within the aim; the limit bounds memory when every call is patient.
    pub per_slot: u32,
}

impl Default for QueueLimits {
    fn default() -> Self {
        QueueLimits { per_slot: 6 }
    }
}

#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    ticket: WaitTicket,
    demand: AdmissionRequest,
    since: Instant,
    /// Whether its aim was taken for lost when it came.
    is_filler: bool,
}

impl WaitingCall {
    fn order(&self, now: Instant) -> CallOrder {
        CallOrder::of(&self.demand, self.is_filler, now)
    }
}

/// The queue in front of one target.
///
/// Load pattern: more calls than the target can run, for seconds. Were all to
/// wait, each would wait as long as the queue is and all would be late. So a
/// call is taken if what is ahead of it leaves time to answer within its aim.
/// One that is likely late waits only in a crowd that is soon worked off, or
/// where it is short for what runs there. The waiting are run by the slot time
/// that they take for what they are worth, then by the time at which they must
/// start.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    slots: u32,
    running: u32,
    waiting: Vec<WaitingCall>,
    next_ticket: u64,
    is_open: bool,
    load: OfferedLoad,
}

impl AdmissionQueue {
    /// A closed gate with nothing at it.
    #[must_use]
    pub fn new(limits: QueueLimits) -> AdmissionQueue {
        AdmissionQueue {
            limits,
            slots: 1,
            running: 0,
            waiting: Vec::new(),
            next_ticket: 0,
            is_open: false,
            load: OfferedLoad::default(),
        }
    }

    /// Sets how many calls the target runs at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Opens or closes the gate for new calls; those that wait stay.
    pub fn set_open(&mut self, is_open: bool) {
        self.is_open = is_open;
    }

    /// Whether new calls are taken.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Calls at the target.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Slots of the target.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Time until a call starts behind calls that take `ahead` together, if
    /// those at the target take `turn`.
    fn wait_behind(&self, ahead: Duration, turn: Duration) -> Duration {
        if self.running < self.slots && ahead.is_zero() {
            return Duration::ZERO;
        }
        (turn + ahead) / self.slots
    }

    /// When a newcomer of the lowest rank could start, if calls at the target
    /// take `turn`.
    #[must_use]
    pub fn room_in(&self, turn: Duration) -> Duration {
        let ahead = self.waiting.iter().map(|call| call.demand.run.mean).sum();
        self.wait_behind(ahead, turn)
    }

    /// Takes a call, if those at the target take `turn`.
    pub fn offer(
        &mut self,
        demand: AdmissionRequest,
        turn: Duration,
        now: Instant,
    ) -> AdmissionDecision {
        if !self.is_open {
            return AdmissionDecision::Decline {
                reason: DeclineReason::Closed,
                room_in: turn,
            };
        }
        self.load.record(&demand, self.slots, now);
        if self.running < self.slots && self.waiting.is_empty() {
            // Guards against work whose answer the host's link cannot carry in
            // time: with free slots alone to go by, answers of 90 KB pile up
            // in front of a link of 7.5 Mbit/s until all of them are late.
            let at_once = ExpectedWait::none(turn);
            let has_link = demand.link.wait.is_zero()
                || at_once.meets_aim(&demand, now)
                || at_once.fits_in(&demand, now);
            if !has_link {
                return AdmissionDecision::Decline {
                    reason: DeclineReason::Crowded,
                    room_in: demand.link.wait,
                };
            }
            self.running += 1;
            return AdmissionDecision::Run;
        }
        let at_best = self.wait_as(&demand, false, turn, now);
        let is_filler = !at_best.meets_aim(&demand, now);
        let most = (self.limits.per_slot * self.slots) as usize;
        let is_in_vain = is_filler && !self.wait_as(&demand, true, turn, now).fits_in(&demand, now);
        if is_in_vain || self.waiting.len() >= most {
            return AdmissionDecision::Decline {
                reason: DeclineReason::Crowded,
                room_in: self.room_in(turn),
            };
        }
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(WaitingCall {
            ticket,
            demand,
            since: now,
            is_filler,
        });
        AdmissionDecision::Wait(ticket)
    }

    /// The wait of `demand`, as a filler or not.
    fn wait_as(
        &self,
        demand: &AdmissionRequest,
        is_filler: bool,
        turn: Duration,
        now: Instant,
    ) -> ExpectedWait {
        let order = CallOrder::of(demand, is_filler, now);
        let ahead = self
            .waiting
            .iter()
            .filter(|other| other.order(now) <= order)
            .map(|other| other.demand.run.mean)
            .sum();
        self.expected_wait(ahead, order, turn, now)
    }

    /// The wait behind calls that take `ahead` together.
    fn expected_wait(
        &self,
        ahead: Duration,
        order: CallOrder,
        turn: Duration,
        now: Instant,
    ) -> ExpectedWait {
        let plain = self.wait_behind(ahead, turn);
        ExpectedWait::among(plain, self.load.before(order, now), turn)
    }

    /// Takes back a call that waits; false when it does not wait (any more).
    pub fn cancel(&mut self, ticket: WaitTicket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|call| call.ticket != ticket);
        before != self.waiting.len()
    }

    /// Counts the end of a run.
    pub fn finish_run(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Starts what can start and turns away what can no longer be answered in
    /// time. To be called after each change and from time to time.
    /// Calls at the target take `turn`.
    pub fn dispatch(&mut self, turn: Duration, now: Instant) -> Vec<WaitOutcome> {
        let mut ends = Vec::new();
        self.turn_away_late(turn, now, &mut ends);
        // Sorted by now: the first goes first.
        let room = self.slots.saturating_sub(self.running) as usize;
        let starting = room.min(self.waiting.len());
        for call in self.waiting.drain(..starting) {
            self.running += 1;
            ends.push(WaitOutcome::Run(call.ticket));
        }
        ends
    }

    /// Guards against calls held until their aim is lost and then turned away
    /// all the same, as when more urgent ones came behind them: a call is told
    /// as soon as what is now ahead of it leaves no time.
    fn turn_away_late(&mut self, turn: Duration, now: Instant, ends: &mut Vec<WaitOutcome>) {
        let room_in = self.room_in(turn);
        self.waiting
            .sort_by_key(|call| (call.order(now), call.ticket));
        let mut kept = Vec::with_capacity(self.waiting.len());
        let mut ahead = Duration::ZERO;
        for call in std::mem::take(&mut self.waiting) {
            let wait = self.expected_wait(ahead, call.order(now), turn, now);
            if wait.is_worth_staying(&call.demand, call.since, now) {
                ahead += call.demand.run.mean;
                kept.push(call);
            } else {
                ends.push(WaitOutcome::Decline {
                    ticket: call.ticket,
                    room_in,
                });
            }
        }
        self.waiting = kept;
    }

    /// Turns away all that wait, as when the target is gone.
    pub fn decline_all(&mut self, turn: Duration) -> Vec<WaitOutcome> {
        self.waiting
            .drain(..)
            .map(|call| WaitOutcome::Decline {
                ticket: call.ticket,
                room_in: turn,
            })
            .collect()
    }
}
