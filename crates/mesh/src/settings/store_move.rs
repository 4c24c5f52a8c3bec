//! Follows a change of the store's address in the settings.
//!
//! The new address comes into force when the store has answered there. Until then the old
//! one is used: an address that never answers would cut the daemon off from the versions
//! and hosts that the store still gives it.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::Notify;

use crate::state::MeshShared;

/// Interval at which an address that has not answered is asked again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time over which the daemons spread their first question that do not read the store for
/// others. The settings of all hosts may change at the same moment.
const FOLLOWER_SPREAD: Duration = Duration::from_secs(2);

/// Signals of a change of the store's address.
#[derive(Default)]
pub struct StoreMove {
    /// Notified when the settings name another address.
    pub requested: Notify,
    /// Notified when another address has come into force.
    pub done: Notify,
}

/// Moves to the address that the settings name, whenever it is not the one in force.
pub async fn follow_store_address(shared: Rc<MeshShared>) {
    loop {
        let requested = shared.store_move.requested.notified();
        let is_pending = wanted_address(&shared) != *shared.store.address();
        shared.metrics.set_unfollowed_store(is_pending);
        if is_pending {
            tokio::select! {
                () = move_store(&shared) => {}
                () = requested => {}
            }
        } else {
            requested.await;
        }
    }
}

fn wanted_address(shared: &MeshShared) -> String {
    shared.settings.borrow().store.clone()
}

/// Asks the new address until it answers, then puts it in force.
async fn move_store(shared: &MeshShared) {
    let to = wanted_address(shared);
    let from = shared.store.address();
    if shared.follows() {
        let spread = rand::rng().random::<f64>();
        tokio::time::sleep(FOLLOWER_SPREAD.mul_f64(spread)).await;
    }
    let mut has_logged = false;
    while let Err(report) = shared.store.probe(&to).await {
        if !has_logged {
            let error = report.current_context();
            log::warn!("event=store_move_pending from={from} to={to:?} error=\"{error}\"");
            has_logged = true;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    shared.store.set_address(&to);
    log::info!("event=store_moved from={from} to={to}");
    shared.store_move.done.notify_waiters();
}
