//! Decides on a new call in the admission queue.

use std::time::{Duration, Instant};

use super::order::CallOrder;
use super::queue::AdmissionQueue;
use super::wait::ExpectedWait;
use super::waiting::{CallsAhead, WaitingCall};
use super::{AdmissionDecision, AdmissionRequest, DeclineReason, WaitTicket};
use crate::fair_share::ShareClaim;

/// Time without waiting calls after which a shortage is over. The queue of a target
/// that is short of slots is empty for moments too.
const SHARE_MEMORY: Duration = Duration::from_secs(1);

/// A new call's rank among the waiting calls, and its expected wait.
#[derive(Clone, Copy, Debug)]
struct NewRank {
    wait: ExpectedWait,
    is_beyond_share: bool,
}

impl AdmissionQueue {
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
        self.forget_shares_after_shortage(now);
        let claim = self.shares.claim(request.organisation);
        let capacity_time = self.capacity_time(&request);
        let is_first = self.is_first_of_share(&claim);
        self.offered_load
            .record(&request, is_first, capacity_time, now);
        let is_within_limit = self.limit.ready_calls(1, now) == 1;
        if self.running < self.slots && self.waiting.is_empty() && is_within_limit {
            // Declines a call whose answer the host's link cannot transmit in
            // time, even if a slot is free. Otherwise answers of 90 KB queue
            // up for a link of 7.5 Mbit/s until all of them are late.
            let no_wait = ExpectedWait::none(self.usual_run(mean_run));
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
        let new = WaitingCall {
            ticket: WaitTicket(self.next_ticket),
            request,
            enqueued_at: now,
            is_likely_late: false,
            claim,
        };
        self.offer_to_queue(new, mean_run, now)
    }

    /// Decides whether a new call that cannot run at once waits or is declined.
    fn offer_to_queue(
        &mut self,
        new: WaitingCall,
        mean_run: Duration,
        now: Instant,
    ) -> AdmissionDecision {
        let in_time = self.rank_new(new, mean_run, now);
        let is_likely_late = !in_time.wait.meets_soft_deadline(&new.request, now);
        let new = WaitingCall {
            is_likely_late,
            ..new
        };
        let is_futile = is_likely_late
            && !self
                .rank_new(new, mean_run, now)
                .wait
                .is_worth_queueing(&new.request, now);
        let max_waiting = (self.limits.max_waiting_per_slot * self.slots) as usize;
        let has_room = self.waiting.len() < max_waiting
            || (!is_futile
                && !in_time.is_beyond_share
                && self.give_up_beyond_share(new, mean_run, now));
        if is_futile || !has_room {
            return AdmissionDecision::Decline {
                reason: if in_time.is_beyond_share {
                    DeclineReason::BeyondShare
                } else {
                    self.crowding(mean_run, now)
                },
                room_in: self.room_in(mean_run, now),
            };
        }
        self.next_ticket += 1;
        self.waiting.push(new);
        self.last_wait = Some(now);
        AdmissionDecision::Wait(new.ticket)
    }

    /// Forgets the shares if no call has waited for [`SHARE_MEMORY`].
    fn forget_shares_after_shortage(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SHARE_MEMORY;
        if self.waiting.is_empty() && !self.last_wait.is_some_and(is_recent) {
            self.shares.clear();
        }
    }

    /// Whether no work of a share is ahead of its next call.
    fn is_first_of_share(&self, claim: &ShareClaim) -> bool {
        self.shares.work_ahead(claim) <= 0.0
            && !self
                .waiting
                .iter()
                .any(|call| call.claim.has_share_of(claim))
    }

    /// Ranks a new call and estimates its wait.
    fn rank_new(&self, new: WaitingCall, mean_run: Duration, now: Instant) -> NewRank {
        let start_order = self.start_order(Some(new), mean_run, now);
        let mut ahead = CallsAhead::default();
        let mut order = CallOrder::of(&new.request, new.is_likely_late, now);
        for ranked in &start_order.calls {
            if ranked.call.ticket == new.ticket {
                order = ranked.order;
                break;
            }
            ahead.add(&ranked.call);
        }
        NewRank {
            wait: self.expected_wait(ahead, order, start_order.is_contended, mean_run, now),
            is_beyond_share: order.is_beyond_share(),
        }
    }

    /// Removes the waiting call that is furthest beyond the share of its organisation
    /// from the full queue, to make room for `new`. Returns false if there is none.
    fn give_up_beyond_share(&mut self, new: WaitingCall, mean_run: Duration, now: Instant) -> bool {
        let start_order = self.start_order(Some(new), mean_run, now);
        let furthest = start_order
            .calls
            .iter()
            .filter(|ranked| ranked.order.is_beyond_share() && ranked.call.ticket != new.ticket)
            .max_by(|one, other| one.work_ahead.total_cmp(&other.work_ahead));
        let Some(furthest) = furthest else {
            return false;
        };
        let ticket = furthest.call.ticket;
        self.waiting.retain(|call| call.ticket != ticket);
        self.given_up.push(furthest.call);
        true
    }
}
