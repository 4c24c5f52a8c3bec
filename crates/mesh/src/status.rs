//! Tells the peers about the target here: at once when it opens or closes,
//! otherwise a few times a second while its load changes.

use std::rc::Rc;
use std::time::Duration;

use filbert_policy::numbers::count_of;

use crate::messages::{encode, LinkMessage, TargetStatus};
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

/// Describes the target to the peers. Runs for ever.
pub async fn keep_told(shared: Rc<MeshShared>) {
    let mut told: Option<TargetStatus> = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(load_pause(shared.peers.watchers())) => {}
            () = shared.gate.changed.notified() => {}
        }
        let status = shared.gate.status();
        if is_worth_telling(told.as_ref(), status.as_ref()) {
            shared
                .peers
                .broadcast(&encode(&LinkMessage::Target(status.clone())));
            told = status;
        }
    }
}

fn load_pause(watchers: usize) -> Duration {
    LOAD_EVERY.mul_f64(count_of(watchers.max(TOLD_OFTEN)) / count_of(TOLD_OFTEN))
}

fn is_worth_telling(told: Option<&TargetStatus>, status: Option<&TargetStatus>) -> bool {
    match (told, status) {
        (None, None) => false,
        (Some(told), Some(status)) => {
            let before = &told.load;
            let after = &status.load;
            told.instance != status.instance
                || told.service != status.service
                || told.state != status.state
                || told.is_cold != status.is_cold
                || before.slots != after.slots
                || (before.running + before.waiting) != (after.running + after.waiting)
                || (before.run_ms - after.run_ms).abs() > RUN_CHANGE * before.run_ms
                || (before.ill_share - after.ill_share).abs() > ILL_CHANGE
        }
        _ => true,
    }
}
