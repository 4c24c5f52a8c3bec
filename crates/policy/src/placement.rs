//! Selects the target for a call by the least expected loss.

use rand::Rng;

use crate::admission::SHORT_RUN_RATIO;
use crate::egress::MAX_UNPACED_BYTES;
use crate::numbers::{bytes_to_f64, count_to_f64};

/// State of a target as known to the daemon that places a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetView {
    /// Whether the target is in the caller's availability zone.
    pub in_zone: bool,
    /// Maximum number of calls that the target runs concurrently.
    pub slots: u32,
    /// Calls that run or wait at the target: the last reported number plus an
    /// estimate of those sent since (see [`estimated_occupancy`]).
    pub occupancy: f64,
    /// Expected run time of the call at the target, in milliseconds.
    pub run_ms: f64,
    /// Mean absolute deviation of the run time, in milliseconds.
    pub mean_deviation_ms: f64,
    /// Mean run time of the calls that are ahead of this one at the target, in
    /// milliseconds.
    pub queue_run_ms: f64,
    /// Share of the target's recent runs that failed, 0 to 1.
    pub failure_rate: f64,
    /// Whether the target started recently and is still warming up.
    pub is_cold: bool,
    /// Whether the target is shutting down.
    pub is_leaving: bool,
    /// Time until the link of the target's host has sent all pending answers, in
    /// milliseconds; 0 for the target on the caller's own host.
    pub link_ms: f64,
    /// Transmission time of 1 KiB on that link, in milliseconds; 0 for the target
    /// on the caller's own host.
    pub link_ms_per_kib: f64,
    /// Time until the target's limit on the rate of calls leaves room for the call, in
    /// milliseconds; 0 without a limit.
    pub limit_wait_ms: f64,
}

impl TargetView {
    /// Whether the call would start at once.
    fn has_room(&self) -> bool {
        self.occupancy + 1.0 <= f64::from(self.slots) && self.limit_wait_ms <= 0.0
    }
}

/// Properties of a call that placement depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Usual size of the answer plus size of the request body, in KiB.
    pub transfer_kib: f64,
    /// Time until the call's soft deadline, after which an answer is worth less,
    /// in milliseconds.
    pub soft_deadline_ms: f64,
    /// Time until the call's deadline, after which an answer is worth nothing, in
    /// milliseconds.
    pub deadline_ms: f64,
    /// Whether any target in the caller's zone accepts calls, including targets
    /// that have already declined this call.
    pub zone_has_target: bool,
    /// Whether the call has a higher priority than the lowest one configured, so
    /// that it overtakes other calls in a queue.
    pub is_above_lowest_priority: bool,
}

/// Cost of sending a call to another availability zone, as a fraction of the
/// value of a call that is answered in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossZoneCost {
    /// Cost of any call, whatever its size.
    pub base: f64,
    /// Cost of each KiB transferred.
    pub per_kib: f64,
    /// Upper limit of the cost.
    pub most: f64,
}

impl CrossZoneCost {
    /// Cost of a call that transfers `kib` KiB, before the upper limit applies.
    fn uncapped(&self, kib: f64) -> f64 {
        self.base + kib * self.per_kib
    }
}

/// Factor by which the run time of a cold target is multiplied.
pub const COLD_RUN_TIME_FACTOR: f64 = 2.0;
/// Loss at a target that is shutting down: larger than all other losses
/// together, so that such a target is chosen only when there is no other.
const LEAVING_TARGET_LOSS: f64 = 10.0;
/// Loss of a failed attempt, which costs another attempt's time or the whole
/// call.
const FAILURE_LOSS: f64 = 0.8;
/// Loss of a call that is certain to miss its soft deadline.
const SOFT_DEADLINE_LOSS: f64 = 0.7;
/// Additional loss of a call that is expected to finish at its deadline or later;
/// an earlier finish loses proportionally less.
const DEADLINE_LOSS: f64 = 0.3;
/// Upper limit of the random loss that is added to each target's loss.
///
/// Without it, ten daemons that see one target idle in the same report would all
/// send their calls there until the next report arrives.
const MAX_RANDOM_LOSS: f64 = 0.04;
/// Fraction of the other daemons assumed to choose the same target as this one.
const SAME_CHOICE_FRACTION: f64 = 0.5;
/// Usual difference between a target's reported and actual number of calls.
const UNREPORTED_CALLS: f64 = 2.0;
/// Most calls that a short call is assumed to wait behind when all slots are in
/// use: the running call that ends first, and a few other short calls.
const MAX_AHEAD_OF_SHORT_CALL: f64 = 2.0;
/// Additional loss at a target whose slots are all in use, compared with an idle
/// target. It balances the load among otherwise equal targets.
const FULL_TARGET_LOSS: f64 = 0.05;
/// Additional loss at a target whose limit on the rate of calls is used up. A call waits
/// for it only if the other targets have no room.
const LIMIT_WAIT_LOSS: f64 = 0.1;

/// Estimated number of calls at a target: the `reported` number, the
/// `sent_since` calls that this daemon has sent there after the report, and as
/// many for each of half of the other `daemons`.
///
/// Several daemons place calls based on the same report, and each knows only the
/// calls it has sent itself. When daemons counted only their own calls, the
/// most loaded of seven targets had 25 calls at once for 9 slots; with this
/// estimate it has 18.
#[must_use]
pub fn estimated_occupancy(reported: u32, sent_since: u32, daemons: usize) -> f64 {
    let others = count_to_f64(daemons.saturating_sub(1));
    f64::from(reported) + f64::from(sent_since) * (1.0 + SAME_CHOICE_FRACTION * others)
}

/// Calls that must end before a new call starts, given that the estimated number
/// of calls exceeds the slots by `over` (negative when slots are free).
///
/// A softplus function smooths the result on the scale of
/// [`UNREPORTED_CALLS`], because other daemons have sent calls since the report
/// and some calls have ended.
fn calls_ahead(over: f64) -> f64 {
    UNREPORTED_CALLS * (over / UNREPORTED_CALLS).exp().ln_1p()
}

/// Upper limit of the calls that a call waits behind at a target.
///
/// The limit applies to short calls, because the target's admission queue lets
/// them overtake long ones. Without it, lookups of 30 ms were assumed to wait
/// behind all ten queued calls of 150 ms, and 3,700 lookups in a minute left
/// their zone for a target that did not answer any sooner.
fn max_calls_ahead(view: &TargetView) -> f64 {
    if view.run_ms <= view.queue_run_ms * SHORT_RUN_RATIO {
        MAX_AHEAD_OF_SHORT_CALL
    } else {
        f64::INFINITY
    }
}

/// Probability that a run with a mean of `run_ms` takes longer than `spare_ms`.
///
/// The tail beyond the mean is exponential, scaled by the mean absolute
/// deviation: a large deviation gives the tail of an exponential distribution.
/// With a small one, a busy target that leaves just enough time for the run is
/// as good as an idle target.
fn miss_probability(run_ms: f64, mean_deviation_ms: f64, spare_ms: f64) -> f64 {
    /// Probability that an exponentially distributed time exceeds its mean.
    const TAIL_AT_MEAN: f64 = 0.37;
    /// Ratio of mean to mean absolute deviation of an exponential distribution.
    const MEAN_TO_DEVIATION: f64 = 1.36;
    if spare_ms >= run_ms {
        let scale_ms = (mean_deviation_ms * MEAN_TO_DEVIATION).max(1.0);
        TAIL_AT_MEAN * (-(spare_ms - run_ms) / scale_ms).exp()
    } else {
        1.0 - (1.0 - TAIL_AT_MEAN) * spare_ms / run_ms
    }
}

/// Expected loss, as a fraction of the call's value, if the call is sent to the
/// target. The separate losses are summed, so that the result can exceed 1.
///
/// Every answer before the soft deadline has the same value, so the loss depends
/// on the probability of missing that deadline and not on the expected time
/// alone. Targets of one service differ in speed by more than two to one: a
/// short wait at a fast target is acceptable, a slow target is used when the
/// fast ones are full, and a target in another zone when waiting in the caller's
/// zone would cost more than the transfer.
#[must_use]
pub fn expected_loss(view: &TargetView, call: &PlacementRequest, crossing: &CrossZoneCost) -> f64 {
    let factor = if view.is_cold {
        COLD_RUN_TIME_FACTOR
    } else {
        1.0
    };
    let run_ms = (view.run_ms * factor).max(1.0);
    let slots = f64::from(view.slots.max(1));
    let ahead = calls_ahead(view.occupancy + 1.0 - slots).min(max_calls_ahead(view));
    let slot_wait_ms = ahead * view.queue_run_ms * factor / slots;
    let wait_ms = slot_wait_ms.max(view.limit_wait_ms);
    // A paced answer is sent when its run has ended and the host's link is free.
    let link_wait_ms = if call.transfer_kib * 1024.0 > bytes_to_f64(MAX_UNPACED_BYTES) {
        (view.link_ms - wait_ms - run_ms).max(0.0)
    } else {
        0.0
    };
    let link_ms = link_wait_ms + call.transfer_kib * view.link_ms_per_kib;
    let spare_ms = (call.soft_deadline_ms - wait_ms - link_ms).max(0.0);
    let miss_probability = miss_probability(run_ms, view.mean_deviation_ms * factor, spare_ms);
    let deadline_fraction = ((wait_ms + run_ms + link_ms) / call.deadline_ms.max(1.0)).min(1.0);
    let mut loss = miss_probability * SOFT_DEADLINE_LOSS
        + deadline_fraction * DEADLINE_LOSS
        + view.failure_rate * FAILURE_LOSS
        + (view.occupancy / slots).min(1.0) * FULL_TARGET_LOSS;
    if !view.in_zone {
        loss += crossing.uncapped(call.transfer_kib).min(crossing.most);
    }
    if view.limit_wait_ms > 0.0 {
        loss += LIMIT_WAIT_LOSS;
    }
    if view.is_leaving {
        loss += LEAVING_TARGET_LOSS;
    }
    loss
}

/// Whether a call may be sent to the target at all.
///
/// A target in another zone is eligible only if it has room, if the call
/// overtakes others in the queue there and the transfer costs less than its
/// upper limit, or if the caller's zone has no target. Otherwise, when all zones
/// have more calls than slots, calls declined in one zone are sent to the next,
/// which declines them as well or declines a call of its own instead: of 27,000
/// calls between zones 15,000 were refused.
fn is_eligible(view: &TargetView, call: &PlacementRequest, crossing: &CrossZoneCost) -> bool {
    let may_queue =
        call.is_above_lowest_priority && crossing.uncapped(call.transfer_kib) < crossing.most;
    view.in_zone || view.has_room() || may_queue || !call.zone_has_target
}

/// Returns the index in `views` of the eligible target with the least expected
/// loss; `None` if no target is eligible.
pub fn choose_target<R: Rng>(
    views: &[TargetView],
    call: &PlacementRequest,
    crossing: &CrossZoneCost,
    rng: &mut R,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (index, view) in views.iter().enumerate() {
        if !is_eligible(view, call, crossing) {
            continue;
        }
        let loss = expected_loss(view, call, crossing) + MAX_RANDOM_LOSS * rng.random::<f64>();
        if best.is_none_or(|(_, least)| loss < least) {
            best = Some((index, loss));
        }
    }
    best.map(|(index, _)| index)
}
