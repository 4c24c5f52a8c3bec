//! Which calls a target runs, which wait in the daemon in front of it, and
//! which are turned away at once.
//!
//! The daemon is the only way to its target, so it knows exactly what runs.
//! It keeps as many calls at the target as the target has slots and lets the
//! rest wait here, where they can be put in order, cancelled and timed out.

use std::time::{Duration, Instant};

use crate::numbers::whole_of;

/// A call at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallDemand {
    /// Rank of the call; 0 goes first.
    pub priority: u8,
    /// Until when an answer is worth most.
    pub aim: Instant,
    /// Until when an answer is worth anything.
    pub deadline: Instant,
    /// How long its run is expected to take here.
    pub run: Duration,
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
pub enum GateVerdict {
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
pub enum WaitEnd {
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
pub struct WaitLimits {
    /// Calls that may wait for each slot. More than a handful is never worked
    /// off within the aim; the limit bounds memory when every call is patient.
    pub per_slot: u32,
}

impl Default for WaitLimits {
    fn default() -> Self {
        WaitLimits { per_slot: 6 }
    }
}

/// Runs that must fit between a call's start and its aim for it to wait: run
/// times have long tails, and a wait that leaves just the mean is lost on half
/// of the calls.
const AIM_RUNS: f64 = 2.7;
/// The same for a call that waits already.
const STAY_RUNS: f64 = 1.5;
/// Runs that must fit between the start of a call whose aim is lost and its
/// deadline.
const LATE_RUNS: f64 = 1.5;
/// Part of its remaining time that a call whose aim is lost may wait: whoever
/// is refused after that has no time left to come back.
const LATE_HOLD: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    ticket: WaitTicket,
    demand: CallDemand,
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
/// call is taken only if what is ahead of it leaves time to answer within its
/// aim; those that are late already fill gaps only. The waiting are run by
/// rank, then by the time at which they must start; a call that a lower rank
/// could push out would make urgent kinds fare worse than others.
#[derive(Debug)]
pub struct GateQueue {
    limits: WaitLimits,
    slots: u32,
    running: u32,
    waiting: Vec<WaitingCall>,
    next_ticket: u64,
    is_open: bool,
    load: OfferedLoad,
}

impl GateQueue {
    /// A closed gate with nothing at it.
    #[must_use]
    pub fn new(limits: WaitLimits) -> GateQueue {
        GateQueue {
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
        let ahead = self.waiting.iter().map(|call| call.demand.run).sum();
        self.wait_behind(ahead, turn)
    }

    /// Takes a call, if those at the target take `turn`.
    pub fn offer(&mut self, demand: CallDemand, turn: Duration, now: Instant) -> GateVerdict {
        if !self.is_open {
            return GateVerdict::Decline {
                reason: DeclineReason::Closed,
                room_in: turn,
            };
        }
        self.load.note(&demand, self.slots, now);
        if self.running < self.slots && self.waiting.is_empty() {
            // Guards against work whose answer the host's link cannot carry in
            // time: with free slots alone to go by, answers of 90 KB pile up
            // in front of a link of 7.5 Mbit/s until all of them are late.
            let has_link = demand.link.wait.is_zero()
                || Self::meets_aim(&demand, Duration::ZERO, now)
                || Self::fits_in(&demand, Duration::ZERO, now);
            if !has_link {
                return GateVerdict::Decline {
                    reason: DeclineReason::Crowded,
                    room_in: demand.link.wait,
                };
            }
            self.running += 1;
            return GateVerdict::Run;
        }
        let is_filler = !Self::meets_aim(&demand, self.wait_as(&demand, false, turn, now), now);
        let wait = self.wait_as(&demand, is_filler, turn, now);
        let most = (self.limits.per_slot * self.slots) as usize;
        let is_in_vain = is_filler && !Self::fits_in(&demand, wait, now);
        if is_in_vain || self.waiting.len() >= most {
            return GateVerdict::Decline {
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
        GateVerdict::Wait(ticket)
    }

    /// Time until `demand` starts, as a filler or not.
    fn wait_as(
        &self,
        demand: &CallDemand,
        is_filler: bool,
        turn: Duration,
        now: Instant,
    ) -> Duration {
        let order = CallOrder::of(demand, is_filler, now);
        let ahead = self
            .waiting
            .iter()
            .filter(|other| other.order(now) <= order)
            .map(|other| other.demand.run)
            .sum();
        self.stretched(self.wait_behind(ahead, turn), order, now)
    }

    /// A wait made longer by the calls that come in the meantime and go before:
    /// behind a share of the slots that they take, by that share's complement.
    fn stretched(&self, wait: Duration, order: CallOrder, now: Instant) -> Duration {
        wait.div_f64(1.0 - self.load.before(order, now).min(MOST_BEFORE))
    }

    /// Whether a call that starts after `wait` is likely answered in time.
    fn meets_aim(demand: &CallDemand, wait: Duration, now: Instant) -> bool {
        now + wait + demand.run.mul_f64(AIM_RUNS) + demand.link.total() <= demand.aim
    }

    /// Whether a call that is likely late is worth its wait all the same.
    fn fits_in(demand: &CallDemand, wait: Duration, now: Instant) -> bool {
        let left = demand.deadline.saturating_duration_since(now);
        wait + demand.link.wait <= left.mul_f64(LATE_HOLD)
            && wait + demand.run.mul_f64(LATE_RUNS) + demand.link.total() <= left
    }

    /// Whether a call that waits still has a use for it. Milder than for a
    /// newcomer, so that a call is not taken only to be turned away when the
    /// next run takes a little longer than most.
    fn worth_staying(call: &WaitingCall, wait: Duration, now: Instant) -> bool {
        let demand = &call.demand;
        let start = now + wait;
        if start + demand.run.mul_f64(STAY_RUNS) + demand.link.send <= demand.aim {
            return true;
        }
        let had = demand.deadline.saturating_duration_since(call.since);
        start <= call.since + had.mul_f64(LATE_HOLD)
            && start + demand.run + demand.link.send <= demand.deadline
    }

    /// Takes back a call that waits; false when it does not wait (any more).
    pub fn cancel(&mut self, ticket: WaitTicket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|call| call.ticket != ticket);
        before != self.waiting.len()
    }

    /// Counts the end of a run.
    pub fn finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Starts what can start and turns away what can no longer be answered in
    /// time. To be called after each change and from time to time.
    /// Calls at the target take `turn`.
    pub fn settle(&mut self, turn: Duration, now: Instant) -> Vec<WaitEnd> {
        let mut ends = Vec::new();
        self.turn_away_late(turn, now, &mut ends);
        // Sorted by now: the first goes first.
        let room = self.slots.saturating_sub(self.running) as usize;
        let starting = room.min(self.waiting.len());
        for call in self.waiting.drain(..starting) {
            self.running += 1;
            ends.push(WaitEnd::Run(call.ticket));
        }
        ends
    }

    /// Guards against calls held until their aim is lost and then turned away
    /// all the same, as when more urgent ones came behind them: a call is told
    /// as soon as what is now ahead of it leaves no time.
    fn turn_away_late(&mut self, turn: Duration, now: Instant, ends: &mut Vec<WaitEnd>) {
        let room_in = self.room_in(turn);
        self.waiting
            .sort_by_key(|call| (call.order(now), call.ticket));
        let mut kept = Vec::with_capacity(self.waiting.len());
        let mut ahead = Duration::ZERO;
        for call in std::mem::take(&mut self.waiting) {
            let wait = self.stretched(self.wait_behind(ahead, turn), call.order(now), now);
            if Self::worth_staying(&call, wait, now) {
                ahead += call.demand.run;
                kept.push(call);
            } else {
                ends.push(WaitEnd::Decline {
                    ticket: call.ticket,
                    room_in,
                });
            }
        }
        self.waiting = kept;
    }

    /// Turns away all that wait, as when the target is gone.
    pub fn turn_away_all(&mut self, turn: Duration) -> Vec<WaitEnd> {
        self.waiting
            .drain(..)
            .map(|call| WaitEnd::Decline {
                ticket: call.ticket,
                room_in: turn,
            })
            .collect()
    }
}

/// Where a call stands among those that wait; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallOrder {
    /// Slot time that it takes for what it is worth, in quarters of a doubling.
    cost: u64,
    /// Whether its aim is lost.
    is_late: bool,
    /// When it must start.
    by: Instant,
}

/// Quarters of a doubling in [`CallOrder::cost`]: fine enough to keep ranks
/// apart, coarse enough that calls of one kind go by their time.
const QUARTERS: f64 = 4.0;
/// Doublings that each rank counts for.
const RANK_DOUBLINGS: f64 = 1.0;

impl CallOrder {
    /// The order in which calls run: by the slot time that they take for what
    /// they are worth, then by the moment at which they must start.
    ///
    /// Load pattern: a service runs lookups of 30 ms, made by runs elsewhere
    /// that wait for them, beside calls of 140 ms that are more urgent. Each
    /// lookup that is put behind the others until it is late costs a run
    /// elsewhere, which took more slot time than the lookup would have. A
    /// rank counts for a doubling of the slot time.
    fn of(demand: &CallDemand, is_filler: bool, now: Instant) -> CallOrder {
        let is_late = is_filler || now + demand.run.mul_f64(0.5) > demand.aim;
        let run_ms = (demand.run.as_secs_f64() * 1_000.0).max(1.0);
        let doublings = run_ms.log2() + f64::from(demand.priority) * RANK_DOUBLINGS;
        CallOrder {
            cost: whole_of(doublings * QUARTERS),
            is_late,
            by: if is_late { demand.deadline } else { demand.aim },
        }
    }

    /// The step of [`OfferedLoad`] that it is counted in.
    fn step(self) -> usize {
        usize::try_from(self.cost / whole_of(QUARTERS)).unwrap_or(STEPS)
    }
}

/// Steps told apart in [`OfferedLoad`], a doubling each; those beyond count as
/// the last. A run of 16 s at the first rank, or of 1 s at the fifth.
const STEPS: usize = 15;
/// Time constant of [`OfferedLoad`]: a few waits long, so that it tells a
/// lasting overload from a moment's crowd.
const LOAD_OVER: Duration = Duration::from_secs(1);
/// Share of the slots above which the calls that go before are not counted.
const MOST_BEFORE: f64 = 0.95;

/// Share of the slots that calls want, of late, by where they stand.
///
/// Load pattern: more calls than slots for seconds. A late call that waits
/// behind those whose aim can be met waits for ever, as more of them come, and
/// is turned away in the end with no time left. By the load it is told at
/// once; in a crowd of a moment it waits and is served.
#[derive(Clone, Copy, Debug, Default)]
struct OfferedLoad {
    steps: [f64; STEPS],
    at: Option<Instant>,
}

impl OfferedLoad {
    fn fade(&self, now: Instant) -> f64 {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-passed.as_secs_f64() / LOAD_OVER.as_secs_f64()).exp()
    }

    fn note(&mut self, demand: &CallDemand, slots: u32, now: Instant) {
        let fade = self.fade(now);
        for share in &mut self.steps {
            *share *= fade;
        }
        self.at = Some(now);
        let share = demand.run.as_secs_f64() / LOAD_OVER.as_secs_f64() / f64::from(slots);
        let step = CallOrder::of(demand, false, now).step();
        self.steps[step.min(STEPS - 1)] += share;
    }

    /// Share that calls before `order` want; before a late call those that
    /// stand with it and are not late.
    fn before(&self, order: CallOrder, now: Instant) -> f64 {
        let steps = (order.step() + usize::from(order.is_late)).min(STEPS);
        self.steps[..steps].iter().sum::<f64>() * self.fade(now)
    }
}
