//! Sends the status of the target on this host to other daemons: at once when the gate
//! reports a change, otherwise a few times per second while the load changes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::numbers::count_to_f64;
use filbert_policy::pace::{differs_by_level, MIN_CHANGE_INTERVAL};
use filbert_policy::target_limit::CallRate;

use crate::messages::{encode, LinkMessage, TargetLoad, TargetStatus};
use crate::state::MeshShared;

/// Interval at which a changing load is sent. Other daemons place calls by it; they also
/// get the load with each answer.
const LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of subscribers that get updates at [`LOAD_UPDATE_INTERVAL`]. With more,
/// updates are less frequent, so that their cost per target does not grow with the fleet.
const MAX_FULL_RATE_SUBSCRIBERS: usize = 12;
/// Relative change of the mean run time from which daemons in the zone are updated.
const RUN_TIME_CHANGE: f64 = 0.15;
/// Change of the failure rate from which daemons in the zone are updated.
const FAILURE_RATE_CHANGE: f64 = 0.08;

/// Change of the failure rate from which daemons in other zones are updated.
const OUTSIDE_FAILURE_RATE_CHANGE: f64 = 0.2;
/// Relative change of the slowdown from which daemons in other zones are updated.
const OUTSIDE_SLOWDOWN_CHANGE: f64 = 0.3;

/// Minimum time between two updates of daemons in other zones because of the target's
/// pace. About one is sent per slow period; calls seldom leave their zone.
const OUTSIDE_PACE_INTERVAL: Duration = Duration::from_millis(500);

/// Sends the status of the target on this host to other daemons when it has changed
/// enough. Runs until the process ends.
pub async fn send_updates(shared: Rc<MeshShared>) {
    let mut sent_in_zone = SentStatus::none(shared.clock.now());
    let mut sent_outside = SentStatus::none(shared.clock.now());
    let mut last_check = tokio::time::Instant::now();
    loop {
        let subscribers = shared.peers.subscriber_count();
        let next_check = last_check + load_update_interval(subscribers);
        let is_pace_only = tokio::select! {
            () = tokio::time::sleep_until(next_check) => false,
            () = shared.gate.status_changed.notified() => false,
            () = shared.gate.pace_changed.notified() => true,
        };
        let (zone_rule, outside_rule): (UpdateRule, UpdateRule) = if is_pace_only {
            (needs_pace_in_zone, needs_pace_outside)
        } else {
            last_check = tokio::time::Instant::now();
            (needs_update_in_zone, needs_update_outside)
        };
        let status = shared.gate.status();
        let check = UpdateCheck {
            now: shared.clock.now(),
            subscribers,
        };
        let updates_zone = zone_rule(&sent_in_zone, status.as_ref(), check);
        let updates_outside = outside_rule(&sent_outside, status.as_ref(), check);
        if !updates_zone && !updates_outside {
            continue;
        }
        let zone = shared.settings.borrow().zone.clone();
        let frame = encode(&LinkMessage::Target(status.clone()));
        if updates_zone {
            shared.peers.broadcast_in(&zone, &frame);
            sent_in_zone = SentStatus {
                status: status.clone(),
                at: check.now,
            };
            // The update contains the load, too.
            if subscribers > MAX_FULL_RATE_SUBSCRIBERS {
                last_check = tokio::time::Instant::now();
            }
        }
        if updates_outside {
            shared.peers.broadcast_outside(&zone, &frame);
            sent_outside = SentStatus {
                status,
                at: check.now,
            };
        }
    }
}

/// Status of the target as last sent to other daemons.
#[derive(Clone, Debug)]
pub struct SentStatus {
    /// The status; `None` if there was no target, or nothing was sent.
    pub status: Option<TargetStatus>,
    /// Time at which it was sent.
    pub at: Instant,
}

impl SentStatus {
    /// Nothing was sent until `now`.
    #[must_use]
    pub fn none(now: Instant) -> SentStatus {
        SentStatus {
            status: None,
            at: now,
        }
    }

    /// Whether the pace differs by a level from the one that the receivers assume by now,
    /// and no update was sent within `min_interval`.
    fn needs_pace(
        &self,
        status: Option<&TargetStatus>,
        min_interval: Duration,
        check: UpdateCheck,
    ) -> bool {
        let (Some(sent), Some(status)) = (&self.status, status) else {
            return false;
        };
        let elapsed = check.now.saturating_duration_since(self.at);
        let assumed = sent.load.pace.map(|pace| pace.after(elapsed));
        elapsed >= min_interval && differs_by_level(assumed, status.load.pace)
    }
}

/// When it is checked whether an update is needed.
#[derive(Clone, Copy, Debug)]
pub struct UpdateCheck {
    /// Time of the check.
    pub now: Instant,
    /// Number of daemons that get the updates.
    pub subscribers: usize,
}

impl UpdateCheck {
    /// Minimum time between two updates of the zone because of the pace. With many subscribers it is
    /// the interval of the load, so that a pace does not multiply the updates.
    fn pace_interval_in_zone(self) -> Duration {
        if self.subscribers > MAX_FULL_RATE_SUBSCRIBERS {
            load_update_interval(self.subscribers)
        } else {
            MIN_CHANGE_INTERVAL
        }
    }
}

/// Whether a status differs enough from what was sent last for an update.
type UpdateRule = fn(&SentStatus, Option<&TargetStatus>, UpdateCheck) -> bool;

/// Returns whether daemons in the zone need an update because of the target's pace.
#[must_use]
pub fn needs_pace_in_zone(
    last: &SentStatus,
    status: Option<&TargetStatus>,
    check: UpdateCheck,
) -> bool {
    last.needs_pace(status, check.pace_interval_in_zone(), check)
}

/// Returns whether daemons in other zones need an update because of the target's pace.
#[must_use]
pub fn needs_pace_outside(
    last: &SentStatus,
    status: Option<&TargetStatus>,
    check: UpdateCheck,
) -> bool {
    let min_interval = for_subscribers(OUTSIDE_PACE_INTERVAL, check.subscribers);
    last.needs_pace(status, min_interval, check)
}

/// Free capacity of a target, in the steps that daemons in other zones distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Headroom {
    /// At least a third of the slots is free.
    Ample,
    /// Fewer slots are free, but at least one.
    Few,
    /// No slot is free, or the target's limit is used up: calls wait, or the next call
    /// would.
    None,
}

impl Headroom {
    fn of(load: &TargetLoad) -> Headroom {
        let in_use = load.running + load.waiting;
        let is_limit_used_up = load
            .allowance
            .is_some_and(|allowance| allowance.ready < 1.0);
        if in_use >= load.slots || is_limit_used_up {
            Headroom::None
        } else if (load.slots - in_use) * 3 >= load.slots {
            Headroom::Ample
        } else {
            Headroom::Few
        }
    }
}

/// Returns whether `status` differs enough from what was sent last for an update of the
/// daemons in other zones.
///
/// Calls seldom leave their zone, and traffic between zones is billed. When every change
/// of the load was sent, fifteen hosts with little traffic sent 1.2 MB of updates to
/// other zones in half a minute, more than the 0.8 MB of the calls between the zones.
#[must_use]
pub fn needs_update_outside(
    last: &SentStatus,
    status: Option<&TargetStatus>,
    check: UpdateCheck,
) -> bool {
    match (last.status.as_ref(), status) {
        (Some(sent), Some(status)) => {
            let (before, after) = (&sent.load, &status.load);
            has_target_changed(sent, status)
                || Headroom::of(before) != Headroom::of(after)
                || (before.slowdown - after.slowdown).abs()
                    > OUTSIDE_SLOWDOWN_CHANGE * before.slowdown
                || (before.failure_rate - after.failure_rate).abs() > OUTSIDE_FAILURE_RATE_CHANGE
                || needs_pace_outside(last, Some(status), check)
        }
        (sent, status) => sent.is_some() != status.is_some(),
    }
}

/// Returns whether the target was replaced or its state changed, apart from its load.
fn has_target_changed(sent: &TargetStatus, status: &TargetStatus) -> bool {
    sent.instance != status.instance
        || sent.service != status.service
        || sent.state != status.state
        || sent.is_cold != status.is_cold
        || sent.load.slots != status.load.slots
        || limit_of(&sent.load) != limit_of(&status.load)
}

fn limit_of(load: &TargetLoad) -> Option<CallRate> {
    load.allowance.map(|allowance| allowance.rate)
}

/// Mean run time at the usual pace, in milliseconds.
fn usual_run_ms(load: &TargetLoad) -> f64 {
    load.pace
        .map_or(load.run_ms, |pace| load.run_ms / pace.factor())
}

/// Returns the interval between updates of the load for this number of subscribers.
fn load_update_interval(subscriber_count: usize) -> Duration {
    for_subscribers(LOAD_UPDATE_INTERVAL, subscriber_count)
}

/// Lengthens `interval`, which is meant for few subscribers, in proportion to their number.
fn for_subscribers(interval: Duration, subscriber_count: usize) -> Duration {
    interval.mul_f64(
        count_to_f64(subscriber_count.max(MAX_FULL_RATE_SUBSCRIBERS))
            / count_to_f64(MAX_FULL_RATE_SUBSCRIBERS),
    )
}

/// Returns whether `status` differs enough from what was sent last for an update of the
/// daemons in the zone.
#[must_use]
pub fn needs_update_in_zone(
    last: &SentStatus,
    status: Option<&TargetStatus>,
    check: UpdateCheck,
) -> bool {
    match (last.status.as_ref(), status) {
        (None, None) => false,
        (Some(sent), Some(status)) => {
            let before = &sent.load;
            let after = &status.load;
            has_target_changed(sent, status)
                || (before.running + before.waiting) != (after.running + after.waiting)
                || (usual_run_ms(before) - usual_run_ms(after)).abs()
                    > RUN_TIME_CHANGE * usual_run_ms(before)
                || needs_pace_in_zone(last, Some(status), check)
                || (before.failure_rate - after.failure_rate).abs() > FAILURE_RATE_CHANGE
        }
        _ => true,
    }
}
