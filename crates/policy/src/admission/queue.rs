//! The admission queue of one target.

use std::time::{Duration, Instant};

use super::order::{CallOrder, OfferedLoad};
use super::start_order::{RankedCall, StartOrder};
use super::wait::ExpectedWait;
use super::waiting::{CallsAhead, WaitingCall};
use super::{AdmissionRequest, DeclineReason, QueueLimits, WaitOutcome, WaitTicket};
use crate::fair_share::{FairShares, OrganisationShare};
use crate::numbers::count_to_f64;
use crate::target_limit::{CallAllowance, CallRate, LimitChange, LimitStatement, TargetLimit};

/// The admission queue of one target.
///
/// A call is accepted if the calls ahead of it leave time to answer it before
/// its soft deadline. A call that is likely to miss its soft deadline waits only
/// if the queue is expected to drain soon, or if its run is short compared with
/// the other runs at the target. Waiting calls start in order of run time
/// weighted by priority, then by the deadline that they can still meet. If calls of
/// several organisations wait, the share of each organisation counts too.
///
/// Load pattern: for seconds, more calls arrive than the target can run. If all
/// of them waited, every wait would grow with the queue and all answers would
/// be late.
#[derive(Debug)]
pub struct AdmissionQueue {
    pub(super) limits: QueueLimits,
    pub(super) slots: u32,
    pub(super) running: u32,
    pub(super) waiting: Vec<WaitingCall>,
    /// Calls that were removed from the full queue, until [`AdmissionQueue::dispatch`]
    /// returns their outcomes.
    pub(super) given_up: Vec<WaitingCall>,
    pub(super) shares: FairShares,
    /// Time at which a call waited last.
    pub(super) last_wait: Option<Instant>,
    pub(super) next_ticket: u64,
    pub(super) is_open: bool,
    /// Ratio of the run times now to the long-term ones.
    run_factor: f64,
    /// Mean time that the calls in progress were expected to run; `None` if not set.
    usual_run: Option<Duration>,
    pub(super) offered_load: OfferedLoad,
    pub(super) limit: TargetLimit,
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
            given_up: Vec::new(),
            shares: FairShares::default(),
            last_wait: None,
            next_ticket: 0,
            is_open: false,
            run_factor: 1.0,
            usual_run: None,
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

    /// Number of waiting calls, including those whose outcome is not known yet.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len() + self.given_up.len()).unwrap_or(u32::MAX)
    }

    /// Number of calls that the target runs at once.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Run time by which an organisation is ahead of its share of the target; zero if it
    /// is not ahead, and while no calls wait.
    #[must_use]
    pub fn run_ahead_of_share(&self, organisation: OrganisationShare) -> Duration {
        let claim = self.shares.claim(Some(organisation));
        Duration::try_from_secs_f64(self.shares.work_ahead(&claim)).unwrap_or(Duration::ZERO)
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
    pub(super) fn crowding(&self, mean_run: Duration, now: Instant) -> DeclineReason {
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

    /// Sets the mean time that the calls in progress were expected to run, however long
    /// they have run by now.
    pub fn set_usual_run(&mut self, usual_run: Duration) {
        self.usual_run = Some(usual_run);
    }

    /// Mean run time by which a call counts as short, where `mean_run` is the mean run time
    /// of the calls at the target.
    pub(super) fn usual_run(&self, mean_run: Duration) -> Duration {
        self.usual_run.map_or(mean_run, |usual| usual.min(mean_run))
    }

    /// Time of the target's whole capacity that the call takes: its share of the slots,
    /// or of the limit if that is scarcer.
    pub(super) fn capacity_time(&self, request: &AdmissionRequest) -> Duration {
        (request.run.mean / self.slots).max(self.limit.time_per_call())
    }

    pub(super) fn start_run(&mut self, now: Instant) {
        self.running += 1;
        self.limit.take(now);
    }

    /// Expected wait of a call with sort key `order` behind the waiting calls `ahead`.
    pub(super) fn expected_wait(
        &self,
        ahead: CallsAhead,
        order: CallOrder,
        is_contended: bool,
        mean_run: Duration,
        now: Instant,
    ) -> ExpectedWait {
        let without_arrivals = self.wait_behind(ahead, mean_run, now);
        ExpectedWait::under_load(
            without_arrivals,
            self.offered_load.ahead_of(order, is_contended, now),
            self.usual_run(mean_run),
        )
    }

    /// Removes a waiting call. Returns false if the call is not in the queue.
    pub fn cancel(&mut self, ticket: WaitTicket) -> bool {
        let before = self.waiting();
        self.waiting.retain(|call| call.ticket != ticket);
        self.given_up.retain(|call| call.ticket != ticket);
        before != self.waiting()
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
        if !self.waiting.is_empty() {
            self.last_wait = Some(now);
        }
        let calls = self.decline_late(mean_run, now, &mut outcomes);
        let free_slots = self.slots.saturating_sub(self.running) as usize;
        let wanted = free_slots.min(calls.len());
        let starting = self.limit.ready_calls(wanted, now);
        for (index, started) in calls[..starting].iter().enumerate() {
            self.start_run(now);
            let earliest = StartOrder::earliest_competing(
                &calls[index + 1..],
                started,
                &self.shares,
                self.share_burst(mean_run),
            );
            self.shares
                .record_start(&started.call.claim, started.call.work(), earliest);
            outcomes.push(WaitOutcome::Run(started.call.ticket));
        }
        self.waiting = calls[starting..].iter().map(|ranked| ranked.call).collect();
        outcomes
    }

    /// Returns the waiting calls in the order in which they start, and declines each
    /// call as soon as the calls ahead of it leave it no time. Otherwise a call that
    /// more urgent calls have overtaken would wait until its soft deadline and then be
    /// declined anyway.
    fn decline_late(
        &mut self,
        mean_run: Duration,
        now: Instant,
        outcomes: &mut Vec<WaitOutcome>,
    ) -> Vec<RankedCall> {
        let room_in = self.room_in(mean_run, now);
        let crowding = self.crowding(mean_run, now);
        let mut decline = |call: &WaitingCall, is_beyond_share| {
            outcomes.push(WaitOutcome::Decline {
                ticket: call.ticket,
                reason: if is_beyond_share {
                    DeclineReason::BeyondShare
                } else {
                    crowding
                },
                room_in,
            });
        };
        for call in self.given_up.drain(..) {
            decline(&call, true);
        }
        let StartOrder {
            calls,
            is_contended,
        } = self.start_order(None, mean_run, now);
        let mut kept = Vec::with_capacity(calls.len());
        let mut ahead = CallsAhead::default();
        for ranked in calls {
            let RankedCall { call, order, .. } = ranked;
            let wait = self.expected_wait(ahead, order, is_contended, mean_run, now);
            if wait.is_worth_keeping(&call.request, call.enqueued_at, now) {
                ahead.add(&call);
                kept.push(ranked);
            } else {
                decline(&call, order.is_beyond_share());
            }
        }
        kept
    }

    /// Declines all waiting calls, for example after the target has gone.
    pub fn decline_all(&mut self, mean_run: Duration) -> Vec<WaitOutcome> {
        self.shares.clear();
        self.given_up
            .drain(..)
            .chain(self.waiting.drain(..))
            .map(|call| WaitOutcome::Decline {
                ticket: call.ticket,
                reason: DeclineReason::Closed,
                room_in: mean_run,
            })
            .collect()
    }
}
