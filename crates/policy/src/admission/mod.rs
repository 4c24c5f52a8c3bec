//! Admission control for one target: decides which calls run now, which wait in
//! the daemon's queue, and which are declined.
//!
//! All calls to a target pass through the daemon on its host, so the daemon
//! knows exactly which calls run there. It sends the target at most as many
//! calls as the target has slots. The other calls wait in the daemon, where
//! they can be reordered, cancelled and timed out.

mod order;
mod wait;

use std::time::{Duration, Instant};

use order::{CallOrder, OfferedLoad};
use wait::ExpectedWait;
pub use wait::SHORT_RUN_RATIO;

use crate::run_times::RunTime;

/// What admission control needs to know of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Priority of the call; 0 is the most urgent.
    pub priority: u8,
    /// Time after which an answer loses part of its value.
    pub soft_deadline: Instant,
    /// Time after which an answer is worthless.
    pub deadline: Instant,
    /// Expected run time of the call at this target.
    pub run: RunTime,
    /// Time that the call's answer needs on the host's network link.
    pub link: LinkTime,
}

/// Time that an answer needs on the host's network link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTime {
    /// Time that the answer waits behind other answers after the run. The link sends
    /// the other answers during the run too, so the expected run time is deducted.
    pub wait: Duration,
    /// Time to transmit the answer.
    pub send: Duration,
}

impl LinkTime {
    fn total(self) -> Duration {
        self.wait + self.send
    }
}

/// Identifies a waiting call within one [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitTicket(u64);

/// Why a call was declined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// The calls or answers ahead of the call leave no time for its answer, or
    /// the queue is full.
    Crowded,
    /// The target takes no calls, for example because it is shutting down.
    Closed,
}

/// What admission control decides for a new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call runs now.
    Run,
    /// The call waits in the queue.
    Wait(WaitTicket),
    /// The call is declined.
    Decline {
        /// Why the call was declined.
        reason: DeclineReason,
        /// Time until capacity for the call is expected.
        room_in: Duration,
    },
}

/// How the wait of a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The call runs now.
    Run(WaitTicket),
    /// The call is declined: waiting longer is no longer worthwhile, or the
    /// queue was emptied.
    Decline {
        /// The declined call.
        ticket: WaitTicket,
        /// Time until capacity for a new call is expected.
        room_in: Duration,
    },
}

/// Limits on the length of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of waiting calls per slot. It bounds memory when all calls
    /// have long deadlines. A longer queue is useless, because a slot never
    /// completes more than a few calls within their soft deadlines.
    pub max_waiting_per_slot: u32,
}

impl Default for QueueLimits {
    fn default() -> Self {
        QueueLimits {
            max_waiting_per_slot: 6,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    ticket: WaitTicket,
    request: AdmissionRequest,
    enqueued_at: Instant,
    /// Whether the call was expected to miss its soft deadline when it arrived.
    is_likely_late: bool,
}

impl WaitingCall {
    fn order(&self, now: Instant) -> CallOrder {
        CallOrder::of(&self.request, self.is_likely_late, now)
    }
}

/// The admission queue of one target.
///
/// A call is accepted if the calls ahead of it leave time to answer it before
/// its soft deadline. A call that is likely to miss its soft deadline waits only
/// if the queue is expected to drain soon, or if its run is short compared with
/// the other runs at the target. Waiting calls start in order of run time
/// weighted by priority, then by the deadline that they can still meet.
///
/// Load pattern: for seconds, more calls arrive than the target can run. If all
/// of them waited, every wait would grow with the queue and all answers would
/// be late.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    slots: u32,
    running: u32,
    waiting: Vec<WaitingCall>,
    next_ticket: u64,
    is_open: bool,
    offered_load: OfferedLoad,
}

impl AdmissionQueue {
    /// Creates an empty queue that is closed for new calls.
    #[must_use]
    pub fn new(limits: QueueLimits) -> AdmissionQueue {
        AdmissionQueue {
            limits,
            slots: 1,
            running: 0,
            waiting: Vec::new(),
            next_ticket: 0,
            is_open: false,
            offered_load: OfferedLoad::default(),
        }
    }

    /// Sets the number of calls that the target runs at once, at least 1.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Opens or closes the queue for new calls. Waiting calls stay in it.
    pub fn set_open(&mut self, is_open: bool) {
        self.is_open = is_open;
    }

    /// Returns whether new calls are accepted.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Number of calls that run at the target.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting calls.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Number of calls that the target runs at once.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Expected time until a call starts behind waiting calls whose run times
    /// add up to `ahead`, where `mean_run` is the mean run time of the calls at
    /// the target.
    fn wait_behind(&self, ahead: Duration, mean_run: Duration) -> Duration {
        if self.running < self.slots && ahead.is_zero() {
            return Duration::ZERO;
        }
        (mean_run + ahead) / self.slots
    }

    /// Expected time until a new call of the lowest priority could start, where
    /// `mean_run` is the mean run time of the calls at the target.
    #[must_use]
    pub fn room_in(&self, mean_run: Duration) -> Duration {
        let ahead = self.waiting.iter().map(|call| call.request.run.mean).sum();
        self.wait_behind(ahead, mean_run)
    }

    /// Decides whether a new call runs, waits or is declined, where `mean_run`
    /// is the mean run time of the calls at the target.
    pub fn offer(
        &mut self,
        request: AdmissionRequest,
        mean_run: Duration,
        now: Instant,
    ) -> AdmissionDecision {
        if !self.is_open {
            return AdmissionDecision::Decline {
                reason: DeclineReason::Closed,
                room_in: mean_run,
            };
        }
        self.offered_load.record(&request, self.slots, now);
        if self.running < self.slots && self.waiting.is_empty() {
            // Declines a call whose answer the host's link cannot transmit in
            // time, even if a slot is free. Otherwise answers of 90 KB queue
            // up for a link of 7.5 Mbit/s until all of them are late.
            let no_wait = ExpectedWait::none(mean_run);
            let link_has_capacity = request.link.wait.is_zero()
                || no_wait.meets_soft_deadline(&request, now)
                || no_wait.is_worth_queueing(&request, now);
            if !link_has_capacity {
                return AdmissionDecision::Decline {
                    reason: DeclineReason::Crowded,
                    room_in: request.link.wait,
                };
            }
            self.running += 1;
            return AdmissionDecision::Run;
        }
        let on_time_wait = self.expected_wait_of_new(&request, false, mean_run, now);
        let is_likely_late = !on_time_wait.meets_soft_deadline(&request, now);
        let max_waiting = (self.limits.max_waiting_per_slot * self.slots) as usize;
        let is_futile = is_likely_late
            && !self
                .expected_wait_of_new(&request, true, mean_run, now)
                .is_worth_queueing(&request, now);
        if is_futile || self.waiting.len() >= max_waiting {
            return AdmissionDecision::Decline {
                reason: DeclineReason::Crowded,
                room_in: self.room_in(mean_run),
            };
        }
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(WaitingCall {
            ticket,
            request,
            enqueued_at: now,
            is_likely_late,
        });
        AdmissionDecision::Wait(ticket)
    }

    /// Expected wait of a new call if the queue orders the call by `is_likely_late`.
    fn expected_wait_of_new(
        &self,
        request: &AdmissionRequest,
        is_likely_late: bool,
        mean_run: Duration,
        now: Instant,
    ) -> ExpectedWait {
        let order = CallOrder::of(request, is_likely_late, now);
        let ahead = self
            .waiting
            .iter()
            .filter(|other| other.order(now) <= order)
            .map(|other| other.request.run.mean)
            .sum();
        self.expected_wait(ahead, order, mean_run, now)
    }

    /// Expected wait of a call with sort key `order` behind waiting calls whose run
    /// times add up to `ahead`.
    fn expected_wait(
        &self,
        ahead: Duration,
        order: CallOrder,
        mean_run: Duration,
        now: Instant,
    ) -> ExpectedWait {
        let without_arrivals = self.wait_behind(ahead, mean_run);
        ExpectedWait::under_load(
            without_arrivals,
            self.offered_load.ahead_of(order, now),
            mean_run,
        )
    }

    /// Removes a waiting call. Returns false if the call is not in the queue.
    pub fn cancel(&mut self, ticket: WaitTicket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|call| call.ticket != ticket);
        before != self.waiting.len()
    }

    /// Frees the slot of a call that ran.
    pub fn finish_run(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Starts waiting calls in free slots and declines calls that are no longer
    /// worth keeping, where `mean_run` is the mean run time of the calls at the
    /// target. Must be called after each change and periodically.
    pub fn dispatch(&mut self, mean_run: Duration, now: Instant) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        self.decline_late(mean_run, now, &mut outcomes);
        // `decline_late` left the waiting calls in the order in which they start.
        let free_slots = self.slots.saturating_sub(self.running) as usize;
        let starting = free_slots.min(self.waiting.len());
        for call in self.waiting.drain(..starting) {
            self.running += 1;
            outcomes.push(WaitOutcome::Run(call.ticket));
        }
        outcomes
    }

    /// Sorts the waiting calls and declines each call as soon as the calls ahead
    /// of it leave it no time. Otherwise a call that more urgent calls have
    /// overtaken would wait until its soft deadline and then be declined
    /// anyway.
    fn decline_late(&mut self, mean_run: Duration, now: Instant, outcomes: &mut Vec<WaitOutcome>) {
        let room_in = self.room_in(mean_run);
        self.waiting
            .sort_by_key(|call| (call.order(now), call.ticket));
        let mut kept = Vec::with_capacity(self.waiting.len());
        let mut ahead = Duration::ZERO;
        for call in std::mem::take(&mut self.waiting) {
            let wait = self.expected_wait(ahead, call.order(now), mean_run, now);
            if wait.is_worth_keeping(&call.request, call.enqueued_at, now) {
                ahead += call.request.run.mean;
                kept.push(call);
            } else {
                outcomes.push(WaitOutcome::Decline {
                    ticket: call.ticket,
                    room_in,
                });
            }
        }
        self.waiting = kept;
    }

    /// Declines all waiting calls, for example after the target has gone.
    pub fn decline_all(&mut self, mean_run: Duration) -> Vec<WaitOutcome> {
        self.waiting
            .drain(..)
            .map(|call| WaitOutcome::Decline {
                ticket: call.ticket,
                room_in: mean_run,
            })
            .collect()
    }
}
