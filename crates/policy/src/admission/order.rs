//! Which of the calls that wait at a target goes first.

use std::time::{Duration, Instant};

use super::CallDemand;
use crate::numbers::truncate_to_u64;

/// Where a call stands among those that wait; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallOrder {
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
    pub(super) fn of(demand: &CallDemand, is_filler: bool, now: Instant) -> CallOrder {
        let is_late = is_filler || now + demand.run.mean.mul_f64(0.5) > demand.aim;
        let run_ms = (demand.run.mean.as_secs_f64() * 1_000.0).max(1.0);
        let doublings = run_ms.log2() + f64::from(demand.priority) * RANK_DOUBLINGS;
        CallOrder {
            cost: truncate_to_u64(doublings * QUARTERS),
            is_late,
            by: if is_late { demand.deadline } else { demand.aim },
        }
    }

    /// The step of [`OfferedLoad`] that it is counted in.
    fn step(self) -> usize {
        usize::try_from(self.cost / truncate_to_u64(QUARTERS)).unwrap_or(STEPS)
    }
}

/// Steps told apart in [`OfferedLoad`], a doubling each; those beyond count as
/// the last. A run of 16 s at the first rank, or of 1 s at the fifth.
const STEPS: usize = 15;
/// Time constant of [`OfferedLoad`]: a few waits long, so that it tells a
/// lasting overload from a moment's crowd.
const LOAD_OVER: Duration = Duration::from_secs(1);
/// Share of the slots that calls want, of late, by where they stand.
///
/// Load pattern: more calls than slots for seconds. A late call that waits
/// behind those whose aim can be met waits for ever, as more of them come, and
/// is turned away in the end with no time left. By the load it is told at
/// once; in a crowd of a moment it waits and is served.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OfferedLoad {
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

    pub(super) fn note(&mut self, demand: &CallDemand, slots: u32, now: Instant) {
        let fade = self.fade(now);
        for share in &mut self.steps {
            *share *= fade;
        }
        self.at = Some(now);
        let share = demand.run.mean.as_secs_f64() / LOAD_OVER.as_secs_f64() / f64::from(slots);
        let step = CallOrder::of(demand, false, now).step();
        self.steps[step.min(STEPS - 1)] += share;
    }

    /// Share that calls before `order` want; before a late call those that
    /// stand with it and are not late.
    pub(super) fn before(&self, order: CallOrder, now: Instant) -> f64 {
        let steps = (order.step() + usize::from(order.is_late)).min(STEPS);
        self.steps[..steps].iter().sum::<f64>() * self.fade(now)
    }
}
