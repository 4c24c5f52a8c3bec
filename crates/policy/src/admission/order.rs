//! The order in which a target's waiting calls start, and the load offered to the
//! target by position in that order.

use std::time::{Duration, Instant};

use super::AdmissionRequest;
use crate::numbers::truncate_to_u64;

/// Sort key of a waiting call; the call with the least key starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallOrder {
    /// Logarithm of the run time weighted by priority, in steps of
    /// [`COST_STEPS_PER_DOUBLING`].
    cost: u64,
    /// Whether the call was likely late on arrival, or has less than half of its mean
    /// run time left until its soft deadline.
    is_late: bool,
    /// Whether the call is beyond the share of its organisation.
    is_beyond_share: bool,
    /// The soft deadline, or the deadline if the call is late.
    due: Instant,
}

/// Steps of [`CallOrder::cost`] per doubling of the run time. Four steps keep
/// priorities apart, but are coarse enough that calls of one kind compare equal
/// and start in order of their deadlines.
const COST_STEPS_PER_DOUBLING: f64 = 4.0;
/// Doublings of the run time that one level of priority is equivalent to.
const DOUBLINGS_PER_PRIORITY: f64 = 1.0;

impl CallOrder {
    /// Creates the sort key of a call. Calls start by run time weighted by
    /// priority, then calls that are not late first, then by deadline. One level
    /// of priority weighs as much as a doubling of the run time.
    ///
    /// Load pattern: a service runs lookups of 30 ms, on which calls at other
    /// targets depend, beside more urgent calls of 140 ms. If the urgent calls
    /// always went first, lookups would be late, and each late lookup would fail
    /// a call at another target that has used more slot time than the lookup
    /// needs.
    ///
    /// Of calls of one cost that are not late, or that are all late, those of
    /// organisations within their share start first.
    pub(super) fn of(request: &AdmissionRequest, is_likely_late: bool, now: Instant) -> CallOrder {
        let is_late = is_likely_late || now + request.run.mean.mul_f64(0.5) > request.soft_deadline;
        let run_ms = (request.run.mean.as_secs_f64() * 1_000.0).max(1.0);
        let doublings = run_ms.log2() + f64::from(request.priority) * DOUBLINGS_PER_PRIORITY;
        CallOrder {
            cost: truncate_to_u64(doublings * COST_STEPS_PER_DOUBLING),
            is_late,
            is_beyond_share: false,
            due: if is_late {
                request.deadline
            } else {
                request.soft_deadline
            },
        }
    }

    /// Sets whether the call is beyond the share of its organisation. It is not at first.
    pub(super) fn set_beyond_share(&mut self, is_beyond_share: bool) {
        self.is_beyond_share = is_beyond_share;
    }

    /// Whether the call is beyond the share of its organisation.
    pub(super) fn is_beyond_share(self) -> bool {
        self.is_beyond_share
    }

    /// Whether the call is in time, and starts no later than `other` by its cost.
    pub(super) fn is_in_time_by_cost_of(self, other: CallOrder) -> bool {
        !self.is_late && self.cost <= other.cost
    }

    /// Whether the call is in time and within the share of its organisation.
    pub(super) fn has_claim(self) -> bool {
        !self.is_late && !self.is_beyond_share
    }

    /// Index of the [`OfferedLoad`] bucket that counts the call. It may exceed
    /// the last bucket.
    fn bucket(self) -> usize {
        usize::try_from(self.cost / truncate_to_u64(COST_STEPS_PER_DOUBLING)).unwrap_or(BUCKETS)
    }
}

/// Number of buckets in [`OfferedLoad`]. Each bucket covers one doubling of the run
/// time weighted by priority. The last one also counts all higher values, such as
/// runs of 16 s at the first priority or of 1 s at the fifth.
const BUCKETS: usize = 15;
/// Time constant of the decay of [`OfferedLoad`]. It spans a few waits, so that
/// the load distinguishes a lasting overload from a short burst.
const LOAD_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Recent load offered to the target, as a share of its capacity, by
/// [`CallOrder::cost`].
///
/// Load pattern: for seconds, more calls arrive than there are slots. A late
/// call starts after the calls that can still meet their soft deadlines, so each
/// new call of that sort overtakes it. Without a measure of the offered load, the
/// late call would wait and be declined in the end with no time left.
/// With it, the late call is declined on arrival in a lasting overload, and waits
/// and is answered in a short burst.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OfferedLoad {
    buckets: [f64; BUCKETS],
    /// The part of `buckets` by calls that have no other call of their organisation
    /// ahead of them.
    within_share: [f64; BUCKETS],
    updated_at: Option<Instant>,
}

impl OfferedLoad {
    /// Factor by which the shares have decayed since the last update.
    fn decay(&self, now: Instant) -> f64 {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |updated_at| {
            now.saturating_duration_since(updated_at)
        });
        (-elapsed.as_secs_f64() / LOAD_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Adds the load of a new call that takes `capacity_time` of the target's whole
    /// capacity.
    pub(super) fn record(
        &mut self,
        request: &AdmissionRequest,
        is_first_of_share: bool,
        capacity_time: Duration,
        now: Instant,
    ) {
        let decay = self.decay(now);
        for share in self.buckets.iter_mut().chain(&mut self.within_share) {
            *share *= decay;
        }
        self.updated_at = Some(now);
        let share = capacity_time.as_secs_f64() / LOAD_TIME_CONSTANT.as_secs_f64();
        let order = CallOrder::of(request, false, now);
        let bucket = order.bucket().min(BUCKETS - 1);
        self.buckets[bucket] += share;
        if is_first_of_share {
            self.within_share[bucket] += share;
        }
    }

    /// Share of the capacity requested by calls that start ahead of `order`. A late
    /// call also starts behind the calls of its own bucket that are not late, so
    /// that bucket counts as well. A call beyond the share of its organisation starts
    /// behind the calls of its own bucket that are within theirs. If organisations
    /// compete, as `is_contended` says, calls beyond a share yield to those with a claim.
    pub(super) fn ahead_of(&self, order: CallOrder, is_contended: bool, now: Instant) -> f64 {
        let buckets = (order.bucket() + usize::from(order.is_late)).min(BUCKETS);
        let counted = if is_contended && order.has_claim() {
            &self.within_share
        } else {
            &self.buckets
        };
        let mut share = counted[..buckets].iter().sum::<f64>();
        if order.is_beyond_share && !order.is_late {
            share += self.within_share.get(buckets).copied().unwrap_or(0.0);
        }
        share * self.decay(now)
    }
}
