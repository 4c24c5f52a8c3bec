//! Which connection ends when a process has no room left.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Time without progress that every connection is taken to have had. Without it, a
/// connection that progresses would never end, however much it holds.
const MIN_STALL: Duration = Duration::from_secs(1);

/// What a connection is used for at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// It has brought no call since it was opened.
    Unused {
        /// Time at which it was opened.
        since: Instant,
    },
    /// All its calls are answered.
    Idle {
        /// Time at which the last answer was written.
        since: Instant,
    },
    /// It has calls in progress, or a part of one.
    Active {
        /// Size of what is held for it, in bytes.
        held_bytes: u64,
        /// Time since which the daemon waits for the client to send or to read;
        /// `None` while it does not.
        waits_since: Option<Instant>,
    },
}

impl ConnectionUse {
    /// Time without progress of the client while the daemon waits for it.
    fn stall(self, now: Instant) -> Duration {
        match self {
            ConnectionUse::Active {
                waits_since: Some(since),
                ..
            } => now.saturating_duration_since(since),
            _ => Duration::ZERO,
        }
    }

    /// Memory held, by how long it has been held without progress of the client, in
    /// byte-milliseconds.
    fn held_cost(self, now: Instant) -> u128 {
        match self {
            ConnectionUse::Unused { .. } | ConnectionUse::Idle { .. } => 0,
            ConnectionUse::Active { held_bytes, .. } => {
                u128::from(held_bytes) * self.stall(now).max(MIN_STALL).as_millis()
            }
        }
    }
}

/// Chooses the one that ends among those whose clients have made no progress for a while: the
/// one that holds most for longest. `None` if all progress.
pub fn choose_stalled<T>(
    connections: impl Iterator<Item = (T, ConnectionUse)>,
    now: Instant,
) -> Option<T> {
    connections
        .filter(|(_, usage)| usage.stall(now) > MIN_STALL)
        .map(|(id, usage)| (id, usage.held_cost(now)))
        .filter(|(_, cost)| *cost > 0)
        .max_by_key(|(_, cost)| *cost)
        .map(|(id, _)| id)
}

/// Chooses the connection that ends when `requester` asks for more memory than is left: the
/// one that holds most and progresses least. `None` if no connection holds anything.
///
/// Among equals it is the requester, so that of many long bodies those that are on their way
/// reach their ends.
pub fn choose_for_memory<T: PartialEq>(
    connections: impl Iterator<Item = (T, ConnectionUse)>,
    requester: &T,
    now: Instant,
) -> Option<T> {
    connections
        .map(|(id, usage)| (id, usage.held_cost(now)))
        .filter(|(_, cost)| *cost > 0)
        .max_by_key(|(id, cost)| (*cost, id == requester))
        .map(|(id, _)| id)
}

/// Chooses the connection that ends when there are too many: the oldest that brought no call for
/// a while, otherwise the one that has been idle longest, otherwise the one that holds most and
/// progresses least.
///
/// One that was just opened may be about to send its call, and a busy process may not have read
/// it. It ends before the others only if most connections are of this kind: clients that connect
/// again and again would end all others.
pub fn choose_for_room<T>(
    connections: impl Iterator<Item = (T, ConnectionUse)>,
    now: Instant,
) -> Option<T> {
    let connections: Vec<(T, ConnectionUse)> = connections.collect();
    let is_new = |usage: ConnectionUse| match usage {
        ConnectionUse::Unused { since } => now.saturating_duration_since(since) < MIN_STALL,
        ConnectionUse::Idle { .. } | ConnectionUse::Active { .. } => false,
    };
    let new = connections
        .iter()
        .filter(|(_, usage)| is_new(*usage))
        .count();
    let are_mostly_new = new * 2 >= connections.len();
    let order = |usage: ConnectionUse| match usage {
        ConnectionUse::Unused { since } if are_mostly_new || !is_new(usage) => {
            (0, Some(since), Reverse(0))
        }
        ConnectionUse::Idle { since } => (1, Some(since), Reverse(0)),
        ConnectionUse::Active { .. } => (2, None, Reverse(usage.held_cost(now))),
        ConnectionUse::Unused { since } => (3, Some(since), Reverse(0)),
    };
    connections
        .into_iter()
        .min_by_key(|(_, usage)| order(*usage))
        .map(|(id, _)| id)
}
