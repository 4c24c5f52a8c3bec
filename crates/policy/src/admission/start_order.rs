//! The order in which waiting calls of several organisations start.
//!
//! Three orders combine. Calls start by run time weighted by priority, then those that
//! are in time, then those within the share of their organisation, then by deadline.
//! The first of them yields to the third: a call that is in time and within its share
//! passes calls that are late or beyond their share if it is likely to miss its soft
//! deadline behind them. Calls with such a claim keep their order among themselves.
//!
//! Load pattern: an organisation sends seven times its usual number of calls of all
//! kinds. Its short, urgent calls alone fill the target. If run time and priority
//! always came first, no organisation could run a longer call.

use std::time::{Duration, Instant};

use super::order::CallOrder;
use super::queue::AdmissionQueue;
use super::waiting::{CallsAhead, WaitingCall};
use crate::fair_share::{FairShares, ShareClaim, VirtualTime};

/// Burst by which an organisation may be ahead of its share, in mean run times per slot
/// of the target. Calls of small organisations arrive in bursts of a few. A larger burst
/// lets the first calls of a flood delay the others by up to this part of a run.
const SHARE_BURST: f64 = 0.7;

/// A waiting call and its place in the order.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedCall {
    pub(super) call: WaitingCall,
    pub(super) order: CallOrder,
    /// Work by which the call's organisation is ahead of its share when the call
    /// starts, in seconds of run time.
    pub(super) work_ahead: f64,
    /// Whether the call has a claim, and is likely to miss its soft deadline in the order
    /// by run time and priority.
    is_at_risk: bool,
}

/// Waiting calls in the order in which they start.
#[derive(Clone, Debug)]
pub(super) struct StartOrder {
    pub(super) calls: Vec<RankedCall>,
    /// Whether calls of several organisations compete. An organisation alone has no one
    /// to share with, and all of its calls are within its share.
    pub(super) is_contended: bool,
}

impl StartOrder {
    /// Earliest virtual time at which one of the organisations that compete with the
    /// call `started` is ahead by `burst`. Those compete whose calls in `waiting` are in
    /// time and start by the same cost, or are at risk.
    pub(super) fn earliest_competing(
        waiting: &[RankedCall],
        started: &RankedCall,
        shares: &FairShares,
        burst: f64,
    ) -> VirtualTime {
        waiting
            .iter()
            .filter(|other| other.is_at_risk || other.order.is_in_time_by_cost_of(started.order))
            .map(|other| shares.time_with_burst(&other.call.claim, burst))
            .fold(
                shares.time_with_burst(&started.call.claim, burst),
                VirtualTime::min,
            )
    }

    /// Marks the calls that are beyond the share of their organisation. The calls of
    /// one organisation count in the order in which they start.
    fn mark_beyond_share(&mut self, shares: &FairShares, burst: f64) {
        let mut work_ahead: Vec<(ShareClaim, f64)> = Vec::new();
        for ranked in &mut self.calls {
            let claim = ranked.call.claim;
            let index = work_ahead
                .iter()
                .position(|(other, _)| other.has_share_of(&claim))
                .unwrap_or_else(|| {
                    work_ahead.push((claim, shares.work_ahead(&claim)));
                    work_ahead.len() - 1
                });
            let work = &mut work_ahead[index].1;
            ranked.work_ahead = *work;
            ranked.order.set_beyond_share(claim.is_beyond(*work, burst));
            *work += ranked.call.work();
        }
    }

    fn sort(&mut self) {
        self.calls
            .sort_by_key(|ranked| (ranked.order, ranked.call.ticket));
    }
}

impl AdmissionQueue {
    /// Work by which an organisation may be ahead of its share, in seconds of run time.
    pub(super) fn share_burst(&self, mean_run: Duration) -> f64 {
        mean_run.as_secs_f64() * f64::from(self.slots) * SHARE_BURST
    }

    /// Returns the waiting calls, and `new` if given, in the order in which they start.
    pub(super) fn start_order(
        &self,
        new: Option<WaitingCall>,
        mean_run: Duration,
        now: Instant,
    ) -> StartOrder {
        let rank = |call: WaitingCall| RankedCall {
            call,
            order: CallOrder::of(&call.request, call.is_likely_late, now),
            work_ahead: 0.0,
            is_at_risk: false,
        };
        let calls: Vec<RankedCall> = self.waiting.iter().copied().chain(new).map(rank).collect();
        let is_contended = calls
            .first()
            .is_some_and(|first| has_other_share(&calls, &first.call.claim));
        let mut start_order = StartOrder {
            calls,
            is_contended,
        };
        start_order.sort();
        if is_contended {
            start_order.mark_beyond_share(&self.shares, self.share_burst(mean_run));
            start_order.sort();
            self.move_calls_at_risk(&mut start_order, mean_run, now);
        }
        start_order
    }

    /// Moves the calls at risk, and the calls with a claim that start before them, ahead
    /// of the calls without a claim.
    fn move_calls_at_risk(&self, start_order: &mut StartOrder, mean_run: Duration, now: Instant) {
        let mut ahead = CallsAhead::default();
        let mut moved_end = 0;
        for (index, ranked) in start_order.calls.iter_mut().enumerate() {
            if ranked.order.has_claim() {
                let wait = self.expected_wait(ahead, ranked.order, true, mean_run, now);
                ranked.is_at_risk = !wait.meets_soft_deadline(&ranked.call.request, now);
                if ranked.is_at_risk {
                    moved_end = index + 1;
                }
            }
            ahead.add(&ranked.call);
        }
        start_order.calls[..moved_end].sort_by_key(|ranked| !ranked.order.has_claim());
    }
}

fn has_other_share(calls: &[RankedCall], claim: &ShareClaim) -> bool {
    calls
        .iter()
        .any(|other| !other.call.claim.has_share_of(claim))
}
