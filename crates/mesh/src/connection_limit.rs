//! Limit on the connections to a port that clients have no business with.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use filbert_policy::client_budget::eviction::{choose_for_room, ConnectionUse};
use tokio::task::AbortHandle;

/// What a connection is used for, which the task that serves it updates.
#[derive(Clone)]
pub struct UsageCell(Rc<Cell<ConnectionUse>>);

impl UsageCell {
    /// Usage of a connection that was opened at `now`.
    #[must_use]
    pub fn opened(now: Instant) -> UsageCell {
        UsageCell(Rc::new(Cell::new(ConnectionUse::Unused { since: now })))
    }

    /// Records that a request is in progress.
    pub fn set_active(&self) {
        self.0.set(ConnectionUse::Active {
            held_bytes: 0,
            waits_since: None,
        });
    }

    /// Records that a request has been answered.
    pub fn set_idle(&self, now: Instant) {
        self.0.set(ConnectionUse::Idle { since: now });
    }

    /// Whether the connection is in use.
    #[must_use]
    pub fn is_active(&self) -> bool {
        matches!(self.0.get(), ConnectionUse::Active { .. })
    }
}

/// The connections to a port, of which only so many may be open.
#[derive(Default)]
pub struct ConnectionLimit {
    connections: RefCell<Vec<(UsageCell, AbortHandle)>>,
}

impl ConnectionLimit {
    /// Adds a connection that `task` serves. Ends the one that can best be spared if there
    /// are `max` others.
    pub fn add(&self, max: usize, usage: UsageCell, task: AbortHandle) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|(_, task)| !task.is_finished());
        if connections.len() >= max {
            let uses = connections.iter().map(|(usage, _)| usage.0.get());
            if let Some(index) = choose_for_room(uses.enumerate(), Instant::now()) {
                let (_, spared) = connections.swap_remove(index);
                spared.abort();
            }
        }
        connections.push((usage, task));
    }

    /// Stops counting the connections that are active.
    pub fn release_active(&self) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|(usage, _)| !usage.is_active());
    }
}
