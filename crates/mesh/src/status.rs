//! Tells the peers about the target here: at once when it opens or closes,
//! otherwise a few times a second while its load changes.

use std::rc::Rc;
use std::time::Duration;

use filbert_policy::numbers::count_to_f64;

use crate::messages::{encode, LinkMessage, TargetLoad, TargetStatus};
use crate::state::MeshShared;

/// Pause between descriptions of a changing load. Placement elsewhere goes by
/// them; answers carry the load besides.
const LOAD_EVERY: Duration = Duration::from_millis(200);
/// Daemons that are told each [`LOAD_EVERY`]; more are told less often, so
/// that a target costs the same at any size of the fleet.
const TOLD_OFTEN: usize = 12;
/// Change of a mean run time that is worth telling, as a share.
const RUN_CHANGE: f64 = 0.15;
/// Change of the share of ill runs that is worth telling.
const ILL_CHANGE: f64 = 0.08;

/// Change of the share of ill runs that is worth telling another zone.
const FAR_ILL_CHANGE: f64 = 0.2;
/// Change of the pace that is worth telling another zone, as a share.
const FAR_PACE_CHANGE: f64 = 0.3;

/// Describes the target to the peers. Runs for ever.
pub async fn send_updates(shared: Rc<MeshShared>) {
    let mut near: Option<TargetStatus> = None;
    let mut far: Option<TargetStatus> = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(load_pause(shared.peers.watchers())) => {}
            () = shared.gate.changed.notified() => {}
        }
        let status = shared.gate.status();
        let zone = shared.settings.borrow().zone.clone();
        let is_near_news = is_worth_telling(near.as_ref(), status.as_ref());
        let is_far_news = is_worth_crossing(far.as_ref(), status.as_ref());
        if !is_near_news && !is_far_news {
            continue;
        }
        let frame = encode(&LinkMessage::Target(status.clone()));
        if is_near_news {
            shared.peers.broadcast_in(&zone, &frame);
            near.clone_from(&status);
        }
        if is_far_news {
            shared.peers.broadcast_outside(&zone, &frame);
            far = status;
        }
    }
}

/// Room at a target, as far as another zone has a use for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoomLevel {
    /// A third of the slots or more is free.
    Ample,
    /// Some slots are free.
    Few,
    /// Calls wait, or would.
    None,
}

impl RoomLevel {
    fn of(load: &TargetLoad) -> RoomLevel {
        let taken = load.running + load.waiting;
        if taken >= load.slots {
            RoomLevel::None
        } else if (load.slots - taken) * 3 >= load.slots {
            RoomLevel::Ample
        } else {
            RoomLevel::Few
        }
    }
}

/// Whether a change is worth telling other zones.
///
/// Load pattern: calls seldom leave their zone, and bytes between zones are
/// billed. Told each change of the load, other zones got 1.2 MB in half a quiet
/// minute of fifteen hosts, more than the 0.8 MB of the calls between them.
fn is_worth_crossing(told: Option<&TargetStatus>, status: Option<&TargetStatus>) -> bool {
    match (told, status) {
        (Some(told), Some(status)) => {
            let (before, after) = (&told.load, &status.load);
            is_other_target(told, status)
                || RoomLevel::of(before) != RoomLevel::of(after)
                || (before.slowdown - after.slowdown).abs() > FAR_PACE_CHANGE * before.slowdown
                || (before.failure_rate - after.failure_rate).abs() > FAR_ILL_CHANGE
        }
        (told, status) => told.is_some() != status.is_some(),
    }
}

fn is_other_target(told: &TargetStatus, status: &TargetStatus) -> bool {
    told.instance != status.instance
        || told.service != status.service
        || told.state != status.state
        || told.is_cold != status.is_cold
        || told.load.slots != status.load.slots
}

fn load_pause(watchers: usize) -> Duration {
    LOAD_EVERY.mul_f64(count_to_f64(watchers.max(TOLD_OFTEN)) / count_to_f64(TOLD_OFTEN))
}

fn is_worth_telling(told: Option<&TargetStatus>, status: Option<&TargetStatus>) -> bool {
    match (told, status) {
        (None, None) => false,
        (Some(told), Some(status)) => {
            let before = &told.load;
            let after = &status.load;
            is_other_target(told, status)
                || (before.running + before.waiting) != (after.running + after.waiting)
                || (before.run_ms - after.run_ms).abs() > RUN_CHANGE * before.run_ms
                || (before.failure_rate - after.failure_rate).abs() > ILL_CHANGE
        }
        _ => true,
    }
}
