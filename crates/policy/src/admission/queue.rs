//! The admission queue of one target.

use std::time::{Duration, Instant};

use super::order::{CallOrder, OfferedLoad};
use super::wait::ExpectedWait;
use super::{
    AdmissionDecision, AdmissionRequest, DeclineReason, QueueLimits, WaitOutcome, WaitTicket,
};
use crate::numbers::count_to_f64;
use crate::target_limit::{CallAllowance, CallRate, LimitChange, LimitStatement, TargetLimit};

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

/// Waiting calls that start before another one.
#[derive(Clone, Copy, Debug, Default)]
struct CallsAhead {
    count: usize,
    /// Sum of the run times.
    run: Duration,
}

impl CallsAhead {
    fn of<'a>(calls: impl Iterator<Item = &'a WaitingCall>) -> CallsAhead {
        let mut ahead = CallsAhead::default();
        for call in calls {
            ahead.add(call);
        }
        ahead
    }

    fn add(&mut self, call: &WaitingCall) {
        self.count += 1;
        self.run += call.request.run.mean;
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
    /// Ratio of the run times now to the long-term ones.
    run_factor: f64,
    offered_load: OfferedLoad,
    limit: TargetLimit,
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
            run_factor: 1.0,
            offered_load: OfferedLoad::default(),
            limit: TargetLimit::default(),
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

    /// Removes the limit on the rate of calls, as the target was replaced.
    pub fn reset_limit(&mut self) {
        self.limit = TargetLimit::default();
    }

    /// Records what the answer to a call that was sent at `sent_at` states about the
    /// target's limit. Returns the change of the limit, if any.
    pub fn record_statement(
        &mut self,
        statement: LimitStatement,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        self.limit.record(statement, sent_at, now)
    }

    /// Restores the limit after a restart of the daemon, as [`TargetLimit::restore`].
    pub fn restore_limit(&mut self, rate: CallRate, now: Instant) -> Option<LimitChange> {
        self.limit.restore(rate, now)
    }

    /// What the target's limit leaves for calls besides those that wait; `None`
    /// without a limit.
    #[must_use]
    pub fn allowance(&self, now: Instant) -> Option<CallAllowance> {
        let allowance = self.limit.allowance(now)?;
        Some(CallAllowance {
            ready: allowance.ready - count_to_f64(self.waiting.len()),
            ..allowance
        })
    }

    /// Expected time until a call gets a slot behind the waiting calls `ahead`, where
    /// `mean_run` is the mean run time of the calls at the target.
    fn slot_wait(&self, ahead: CallsAhead, mean_run: Duration) -> Duration {
        if self.running < self.slots && ahead.run.is_zero() {
            return Duration::ZERO;
        }
        (mean_run + ahead.run) / self.slots
    }

    /// Expected time until a call starts behind the waiting calls `ahead`: it needs a
    /// slot, and room within the target's limit.
    fn wait_behind(&self, ahead: CallsAhead, mean_run: Duration, now: Instant) -> Duration {
        let limit_wait = self.limit.wait_behind(count_to_f64(ahead.count), now);
        self.slot_wait(ahead, mean_run).max(limit_wait)
    }

    /// Expected time until a new call of the lowest priority could start, where
    /// `mean_run` is the mean run time of the calls at the target.
    #[must_use]
    pub fn room_in(&self, mean_run: Duration, now: Instant) -> Duration {
        self.wait_behind(CallsAhead::of(self.waiting.iter()), mean_run, now)
    }

    /// Why a call is declined for want of room: the limit, if the call would wait
    /// longer for it than for a slot.
    fn crowding(&self, mean_run: Duration, now: Instant) -> DeclineReason {
        let ahead = CallsAhead::of(self.waiting.iter());
        if self.wait_behind(ahead, mean_run, now) > self.slot_wait(ahead, mean_run) {
            DeclineReason::Limited
        } else {
            DeclineReason::Crowded
        }
    }

    /// Sets the ratio of the target's run times now to its long-term ones. The run times
    /// of the calls that wait change with it; new calls are expected to contain it.
    pub fn set_run_factor(&mut self, factor: f64) {
        let change = factor / self.run_factor;
        if (change - 1.0).abs() > f64::EPSILON {
            for call in &mut self.waiting {
                call.request.run = call.request.run.slowed_by(change);
            }
        }
        self.run_factor = factor;
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
        self.offered_load
            .record(&request, self.capacity_time(&request), now);
        let is_within_limit = self.limit.ready_calls(1, now) == 1;
        if self.running < self.slots && self.waiting.is_empty() && is_within_limit {
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
            self.start_run(now);
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
                reason: self.crowding(mean_run, now),
                room_in: self.room_in(mean_run, now),
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

    /// Time of the target's whole capacity that the call takes: its share of the slots,
    /// or of the limit if that is scarcer.
    fn capacity_time(&self, request: &AdmissionRequest) -> Duration {
        (request.run.mean / self.slots).max(self.limit.time_per_call())
    }

    fn start_run(&mut self, now: Instant) {
        self.running += 1;
        self.limit.take(now);
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
        let ahead = CallsAhead::of(
            self.waiting
                .iter()
                .filter(|other| other.order(now) <= order),
        );
        self.expected_wait(ahead, order, mean_run, now)
    }

    /// Expected wait of a call with sort key `order` behind the waiting calls `ahead`.
    fn expected_wait(
        &self,
        ahead: CallsAhead,
        order: CallOrder,
        mean_run: Duration,
        now: Instant,
    ) -> ExpectedWait {
        let without_arrivals = self.wait_behind(ahead, mean_run, now);
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

    /// Frees the slot of a call that was started but not sent to the target.
    pub fn abort_run(&mut self, now: Instant) {
        self.finish_run();
        self.limit.give_back(now);
    }

    /// Starts waiting calls in free slots and declines calls that are no longer
    /// worth keeping, where `mean_run` is the mean run time of the calls at the
    /// target. Must be called after each change and periodically.
    pub fn dispatch(&mut self, mean_run: Duration, now: Instant) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        self.decline_late(mean_run, now, &mut outcomes);
        // `decline_late` left the waiting calls in the order in which they start.
        let free_slots = self.slots.saturating_sub(self.running) as usize;
        let wanted = free_slots.min(self.waiting.len());
        let starting = self.limit.ready_calls(wanted, now);
        let started: Vec<WaitingCall> = self.waiting.drain(..starting).collect();
        for call in started {
            self.start_run(now);
            outcomes.push(WaitOutcome::Run(call.ticket));
        }
        outcomes
    }

    /// Sorts the waiting calls and declines each call as soon as the calls ahead
    /// of it leave it no time. Otherwise a call that more urgent calls have
    /// overtaken would wait until its soft deadline and then be declined
    /// anyway.
    fn decline_late(&mut self, mean_run: Duration, now: Instant, outcomes: &mut Vec<WaitOutcome>) {
        let room_in = self.room_in(mean_run, now);
        let reason = self.crowding(mean_run, now);
        self.waiting
            .sort_by_key(|call| (call.order(now), call.ticket));
        let mut kept = Vec::with_capacity(self.waiting.len());
        let mut ahead = CallsAhead::default();
        for call in std::mem::take(&mut self.waiting) {
            let wait = self.expected_wait(ahead, call.order(now), mean_run, now);
            if wait.is_worth_keeping(&call.request, call.enqueued_at, now) {
                ahead.add(&call);
                kept.push(call);
            } else {
                outcomes.push(WaitOutcome::Decline {
                    ticket: call.ticket,
                    reason,
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
                reason: DeclineReason::Closed,
                room_in: mean_run,
            })
            .collect()
    }
}
