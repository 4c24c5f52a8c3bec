//! Which target a call goes to.

use rand::Rng;

use crate::admission::SHORT_RUN;
use crate::egress::MAX_UNPACED_BYTES;
use crate::numbers::{bytes_to_f64, count_to_f64};

/// A target as a caller's daemon sees it when it places a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetView {
    /// Whether it is in the caller's availability zone.
    pub in_zone: bool,
    /// Calls it runs at once.
    pub slots: u32,
    /// Calls that it runs or that wait for it: as last reported, and what was
    /// sent there since.
    pub occupancy: f64,
    /// Time that a run of the call is expected to take there, in milliseconds.
    pub run_ms: f64,
    /// Mean distance of such runs from that, in milliseconds.
    pub mean_deviation_ms: f64,
    /// Mean time of the runs that the call would wait behind, in milliseconds.
    pub queue_run_ms: f64,
    /// Share of its recent runs that ended ill, 0 to 1.
    pub failure_rate: f64,
    /// Whether it started so lately that it is still slow.
    pub is_cold: bool,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// Time until its host's link is free of the answers that are due now, in
    /// milliseconds; 0 for the target beside the caller.
    pub link_ms: f64,
    /// Time that a KiB takes on that link, in milliseconds.
    pub link_ms_per_kib: f64,
}

/// What placement needs to know of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Usual size of its answer and size of its body, in KiB.
    pub transfer_kib: f64,
    /// Time until an answer is worth less, in milliseconds.
    pub soft_deadline_ms: f64,
    /// Time until an answer is worth nothing, in milliseconds.
    pub deadline_ms: f64,
    /// Whether a target in the caller's zone takes calls, be it that it turned
    /// this one away.
    pub zone_has_target: bool,
    /// Whether it goes before other calls where it waits: its rank is not the
    /// last of those in force.
    pub is_above_lowest_priority: bool,
}

/// What it costs to cross into another availability zone, as parts of what a
/// call answered in time is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossZoneCost {
    /// For any call.
    pub base: f64,
    /// For each KiB of its answer.
    pub per_kib: f64,
    /// At most.
    pub most: f64,
}

impl CrossZoneCost {
    /// Part of the worth of a call that carries `kib` KiB, not bounded.
    fn of(&self, kib: f64) -> f64 {
        self.base + kib * self.per_kib
    }
}

/// Factor on a cold target's run time.
const COLD_FACTOR: f64 = 2.0;
/// Loss at a leaving target: only where there is no other.
const LEAVING_LOSS: f64 = 10.0;
/// Loss of an attempt that ends ill: it costs the time of another attempt, or
/// the call.
const ILL_LOSS: f64 = 0.8;
/// Loss of a call that is sure to be late, and what is lost besides as its
/// finish nears the time at which it is worth nothing.
const LATE_LOSS: f64 = 0.7;
const NEVER_LOSS: f64 = 0.3;
/// Loss by which choices are spread at random.
///
/// Load pattern: ten daemons see one target idle in the same report. Without
/// the spread all of them send there until the next report comes.
const SPREAD: f64 = 0.04;
/// Part of the other daemons that place calls as this one does.
const LIKE_MINDED: f64 = 0.5;
/// Calls by which a report is usually out of date.
const UNSEEN: f64 = 2.0;
/// Calls that a short call waits behind where all slots are in use: the one at
/// the target that ends first, and some of its own kind.
const SHORT_AHEAD: f64 = 2.0;
/// Loss at a target whose slots are all in use, against an idle one: keeps
/// load level among equals.
const LEVEL_LOSS: f64 = 0.05;

/// Calls at a target: as last reported, and what came since.
///
/// Load pattern: several daemons place calls by the same report. Each knows
/// only its own placements since; of the others, half are taken to place as
/// it does. Counting its own only, the worst target of seven had 25 calls at
/// once for 9 slots; with the guess it has 18.
#[must_use]
pub fn estimated_occupancy(reported: u32, sent_since: u32, daemons: usize) -> f64 {
    let others = count_to_f64(daemons.saturating_sub(1));
    f64::from(reported) + f64::from(sent_since) * (1.0 + LIKE_MINDED * others)
}

/// Calls that must end before a newcomer starts, when `over` more than the
/// slots were there at the last report. Rounded off by [`UNSEEN`]: calls that
/// others placed since, or that ended.
fn calls_ahead(over: f64) -> f64 {
    UNSEEN * (over / UNSEEN).exp().ln_1p()
}

/// Calls that a call waits behind at most.
///
/// Load pattern: a target with ten calls waiting, of 150 ms each, and lookups
/// of 30 ms that its gate lets go first. Reckoned behind all ten, 3,700 lookups
/// in a minute left their zone for a target that was no sooner done.
fn most_ahead(view: &TargetView) -> f64 {
    if view.run_ms <= view.queue_run_ms * SHORT_RUN {
        SHORT_AHEAD
    } else {
        f64::INFINITY
    }
}

/// Chance that a run takes longer than `spare_ms`.
///
/// As of exponential times where the spread says so; where runs take about the
/// same each, a target with a call's time to spare is as good as an idle one.
fn miss_chance(run_ms: f64, mean_deviation_ms: f64, spare_ms: f64) -> f64 {
    /// Chance at the mean, and the mean's multiple of the spread, of
    /// exponential times.
    const AT_MEAN: f64 = 0.37;
    const MEANS_OF_SPREAD: f64 = 1.36;
    if spare_ms >= run_ms {
        let scale_ms = (mean_deviation_ms * MEANS_OF_SPREAD).max(1.0);
        AT_MEAN * (-(spare_ms - run_ms) / scale_ms).exp()
    } else {
        1.0 - (1.0 - AT_MEAN) * spare_ms / run_ms
    }
}

/// Expected part of a call's worth that is lost when it is placed there.
///
/// Load pattern: targets of one service run at different speeds, from fast to
/// slow by more than two to one. An answer within its aim is worth the same
/// however early, so what counts is the chance of missing it. A fast target is worth a little waiting, a slow one is for when the fast are full,
/// and another zone's for when waiting at home would cost more than the way.
#[must_use]
pub fn expected_loss(view: &TargetView, call: &PlacementRequest, crossing: &CrossZoneCost) -> f64 {
    let factor = if view.is_cold { COLD_FACTOR } else { 1.0 };
    let run_ms = (view.run_ms * factor).max(1.0);
    let slots = f64::from(view.slots.max(1));
    let ahead = calls_ahead(view.occupancy + 1.0 - slots).min(most_ahead(view));
    let wait_ms = ahead * view.queue_run_ms * factor / slots;
    // The answer leaves when its run has ended and the host's link is free.
    let link_wait_ms = if call.transfer_kib * 1024.0 > bytes_to_f64(MAX_UNPACED_BYTES) {
        (view.link_ms - wait_ms - run_ms).max(0.0)
    } else {
        0.0
    };
    let link_ms = link_wait_ms + call.transfer_kib * view.link_ms_per_kib;
    let spare_ms = (call.soft_deadline_ms - wait_ms - link_ms).max(0.0);
    let late = miss_chance(run_ms, view.mean_deviation_ms * factor, spare_ms);
    let never = ((wait_ms + run_ms + link_ms) / call.deadline_ms.max(1.0)).min(1.0);
    let mut loss = late * LATE_LOSS
        + never * NEVER_LOSS
        + view.failure_rate * ILL_LOSS
        + (view.occupancy / slots).min(1.0) * LEVEL_LOSS;
    if !view.in_zone {
        loss += crossing.of(call.transfer_kib).min(crossing.most);
    }
    if view.is_leaving {
        loss += LEAVING_LOSS;
    }
    loss
}

/// Whether a call may go there at all.
///
/// Load pattern: all zones have more calls than slots. What one zone turned
/// away went to the next, which turned it away too or turned away a call of
/// its own for it: of 27,000 calls between zones 15,000 were refused. Another
/// zone is for what can run there at once, or goes before others there; one
/// without any target of its own waits elsewhere too.
fn is_eligible(view: &TargetView, call: &PlacementRequest, crossing: &CrossZoneCost) -> bool {
    let has_free_slot = view.occupancy + 1.0 <= f64::from(view.slots);
    let may_queue = call.is_above_lowest_priority && crossing.of(call.transfer_kib) < crossing.most;
    view.in_zone || has_free_slot || may_queue || !call.zone_has_target
}

/// The index of the target to send to; `None` when there is none.
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
        let loss = expected_loss(view, call, crossing) + SPREAD * rng.random::<f64>();
        if best.is_none_or(|(_, least)| loss < least) {
            best = Some((index, loss));
        }
    }
    best.map(|(index, _)| index)
}
