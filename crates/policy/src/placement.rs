//! Which target a call goes to.

use rand::Rng;

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
    /// Mean time of its runs, in milliseconds.
    pub run_ms: f64,
    /// Share of its recent runs that ended ill, 0 to 1.
    pub ill_share: f64,
    /// Whether it started so lately that it is still slow.
    pub is_cold: bool,
    /// Whether it is about to leave.
    pub is_leaving: bool,
}

/// What placement needs to know of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallShape {
    /// Usual size of its answer, in KiB.
    pub answer_kib: f64,
}

/// What it costs to cross into another availability zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossingCost {
    /// Milliseconds of waiting at home that are better than any crossing.
    pub base_ms: f64,
    /// Milliseconds of waiting at home that one KiB of answer is worth.
    pub ms_per_kib: f64,
    /// The most that both come to, in milliseconds.
    pub most_ms: f64,
}

/// Factor on a cold target's run time.
const COLD_FACTOR: f64 = 2.0;
/// Cost of a leaving target, in milliseconds: only where there is no other.
const LEAVING_MS: f64 = 10_000.0;
/// Cost of an attempt that ends ill, in milliseconds, beside the run itself.
const ILL_MS: f64 = 400.0;
/// Part of a run by which costs are spread at random.
///
/// Load pattern: ten daemons see one target idle in the same report. Without
/// the spread all of them send there until the next report comes.
const SPREAD: f64 = 0.25;

/// Expected time until a call placed there is answered, in milliseconds, with
/// what a crossing and the target's failures cost.
#[must_use]
pub fn expected_cost_ms(view: &TargetView, call: &CallShape, crossing: &CrossingCost) -> f64 {
    let run_ms = if view.is_cold {
        view.run_ms * COLD_FACTOR
    } else {
        view.run_ms
    };
    let slots = f64::from(view.slots.max(1));
    let ahead = (view.occupancy + 1.0 - slots).max(0.0);
    // Below full, a target with more work is slightly worse: it keeps load
    // level among equals.
    let level = 0.2 * run_ms * (view.occupancy / slots).min(1.0);
    let wait = ahead * run_ms / slots;
    let mut cost = wait + level + run_ms + view.ill_share * (ILL_MS + run_ms);
    if !view.in_zone {
        cost += (crossing.base_ms + call.answer_kib * crossing.ms_per_kib).min(crossing.most_ms);
    }
    if view.is_leaving {
        cost += LEAVING_MS;
    }
    cost
}

/// The index of the target to send to; `None` when there is none.
pub fn choose<R: Rng>(
    views: &[TargetView],
    call: &CallShape,
    crossing: &CrossingCost,
    rng: &mut R,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (index, view) in views.iter().enumerate() {
        let spread = 1.0 + SPREAD * (rng.random::<f64>() - 0.5);
        let cost = expected_cost_ms(view, call, crossing) * spread;
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((index, cost));
        }
    }
    best.map(|(index, _)| index)
}
