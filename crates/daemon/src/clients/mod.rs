//! The clients' connections to the proxy, and what is held for them.
//!
//! The HTTP server accepts and serves the connections; it tells neither that one is open nor
//! how to end it. [`reaper`] finds their sockets among the process's own and ends those that
//! can best be spared; the sums here come from the calls that pass the proxy.

mod call;
pub mod reaper;
mod sockets;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use filbert_policy::client_budget::eviction::{choose_for_memory, choose_for_room, ConnectionUse};
use filbert_policy::client_budget::{CallSize, MachineSize, MemoryFull, ResourceLimits};
use nix::sys::resource::{getrlimit, Resource};

use crate::clock::Clock;
pub use call::ClientCall;

/// Memory that the daemon may use, in bytes.
const MEMORY_BYTES: u64 = 128 * 1024 * 1024;
/// Memory of a connection, whose buffer the HTTP server fills with calls that were sent ahead,
/// in bytes.
const CONNECTION_BYTES: u64 = 64 * 1024;

/// One connection.
#[derive(Clone, Copy, Debug)]
struct ClientConnection {
    /// Number of its last call; 0 before the first.
    call: u64,
    usage: ConnectionUse,
}

#[derive(Debug, Default)]
struct ClientState {
    connections: HashMap<SocketAddr, ClientConnection>,
    last_call: u64,
    held_bytes: u64,
}

impl ClientState {
    /// Begins a call on the connection of `peer`, and returns its number. The former call ends
    /// if its answer is not dropped yet.
    fn begin_call(&mut self, peer: SocketAddr) -> u64 {
        self.remove(peer);
        self.last_call += 1;
        let connection = ClientConnection {
            call: self.last_call,
            usage: ConnectionUse::Active {
                held_bytes: 0,
                waits_since: None,
            },
        };
        self.connections.insert(peer, connection);
        self.last_call
    }

    /// Adds a connection that is open, unless it is known.
    fn add_open(&mut self, peer: SocketAddr, now: Instant) {
        let usage = ConnectionUse::Unused { since: now };
        let unused = ClientConnection { call: 0, usage };
        self.connections.entry(peer).or_insert(unused);
    }

    /// The connection of `peer`, if `call` is its last call.
    fn connection_of(&mut self, peer: SocketAddr, call: u64) -> Option<&mut ClientConnection> {
        let connection = self.connections.get_mut(&peer)?;
        (connection.call == call).then_some(connection)
    }

    fn remove(&mut self, peer: SocketAddr) {
        let removed = self.connections.remove(&peer);
        if let Some(ConnectionUse::Active { held_bytes, .. }) = removed.map(|gone| gone.usage) {
            self.held_bytes = self.held_bytes.saturating_sub(held_bytes);
        }
    }

    fn uses(&self) -> impl Iterator<Item = (SocketAddr, ConnectionUse)> + '_ {
        let connections = self.connections.iter();
        connections.map(|(peer, connection)| (*peer, connection.usage))
    }
}

/// All connections of clients, with what is held for them.
pub struct ClientConnections {
    limits: ResourceLimits,
    state: Mutex<ClientState>,
    clock: Arc<dyn Clock>,
}

impl ClientConnections {
    /// Creates an empty table.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> ClientConnections {
        let descriptors = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
        let machine = MachineSize {
            memory_bytes: MEMORY_BYTES,
            descriptors,
        };
        ClientConnections {
            limits: ResourceLimits::new(machine, CONNECTION_BYTES),
            state: Mutex::default(),
            clock,
        }
    }

    /// Creates an empty table of at most `connections`, fewer if the process has few
    /// descriptors.
    #[must_use]
    pub fn with_limit(connections: usize, clock: Arc<dyn Clock>) -> ClientConnections {
        let mut table = ClientConnections::new(clock);
        table.limits.connections = table.limits.connections.min(connections);
        table
    }

    /// Maximum number of links of other daemons whose first message has not come.
    #[must_use]
    pub fn max_pending_links(&self) -> usize {
        self.limits.pending_links
    }

    fn lock(&self) -> MutexGuard<'_, ClientState> {
        // Every operation leaves the sums consistent, so a poisoned lock is still usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over which connections are open. Returns those that are to end, as there are too
    /// many.
    fn update_open(&self, open: &[SocketAddr]) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_open: HashSet<&SocketAddr> = open.iter().collect();
        // A connection with a call may have been opened after `open` was read.
        state.connections.retain(|peer, connection| {
            is_open.contains(peer) || matches!(connection.usage, ConnectionUse::Active { .. })
        });
        for peer in open {
            state.add_open(*peer, now);
        }
        let mut spared = Vec::new();
        while state.connections.len() > self.limits.connections {
            let Some(peer) = choose_for_room(state.uses(), now) else {
                break;
            };
            state.remove(peer);
            spared.push(peer);
        }
        spared
    }

    /// Whether connections are so many that they have to be watched closely.
    fn is_crowded(&self, open: usize) -> bool {
        open >= self.limits.connections / 2
    }

    /// Adds `bytes` to what is held for `call` of `peer`, which has this `size`. Returns the
    /// connections that are to end, as too much is held.
    ///
    /// # Errors
    /// [`MemoryFull`] if this connection is the one that holds most and progresses least;
    /// it counts as ended then.
    fn charge(
        &self,
        peer: SocketAddr,
        call: u64,
        size: CallSize,
        bytes: u64,
    ) -> Result<Vec<SocketAddr>, MemoryFull> {
        let now = self.clock.now();
        let mut state = self.lock();
        let connection = state.connection_of(peer, call).ok_or(MemoryFull)?;
        let ConnectionUse::Active { held_bytes, .. } = &mut connection.usage else {
            return Err(MemoryFull);
        };
        *held_bytes += bytes;
        state.held_bytes += bytes;
        let mut spared = Vec::new();
        while state.held_bytes > self.limits.max_held_bytes(size) {
            match choose_for_memory(state.uses(), &peer, now) {
                None => break,
                Some(chosen) if chosen == peer => {
                    state.remove(peer);
                    return Err(MemoryFull);
                }
                Some(chosen) => {
                    state.remove(chosen);
                    spared.push(chosen);
                }
            }
        }
        Ok(spared)
    }
}
