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
use std::time::{Duration, Instant};

use filbert_policy::client_budget::eviction::{choose_for_memory, choose_for_room, ConnectionUse};
use filbert_policy::client_budget::{
    CallSize, MachineSize, MemoryFull, RefusalPause, ResourceLimits,
};
use nix::sys::resource::{getrlimit, Resource};

use crate::clock::Clock;
pub use call::ClientCall;
use sockets::OpenSocket;

/// Memory that the daemon may use, in bytes.
const MEMORY_BYTES: u64 = 128 * 1024 * 1024;
/// Memory of a connection, whose buffer the HTTP server fills with calls that were sent ahead,
/// in bytes.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// Time that it takes to read which connections are open, at most.
const MAX_SCAN_TIME: Duration = Duration::from_millis(5);
/// Maximum number of bytes that come before a call begins: a head of 64 KiB, and the start of
/// its body. The HTTP server reads up to 400 KiB of a head.
const MAX_BYTES_BEFORE_CALL: u64 = 96 * 1024;
/// Divisor of the length of a head: that much of it comes after the former answer unless its call
/// was sent ahead. The length is known to within a few bytes for each field.
const LATE_HEAD_DIVISOR: u64 = 2;

/// One connection.
#[derive(Clone, Copy, Debug)]
struct ClientConnection {
    /// Number of its last call; 0 before the first.
    call: u64,
    usage: ConnectionUse,
    /// Its socket, once it has been found.
    socket: Option<OpenSocket>,
    /// Bytes of the calls that have ended: as received until then, or as the calls state while
    /// the socket is not known.
    ended_bytes: u64,
    /// Whether bytes had come and were not read when its last call ended.
    left_unread: bool,
    /// How many of its calls the daemon has refused.
    refusals: RefusalPause,
}

impl ClientConnection {
    fn opened(now: Instant) -> ClientConnection {
        ClientConnection {
            call: 0,
            usage: ConnectionUse::Unused { since: now },
            socket: None,
            ended_bytes: 0,
            left_unread: false,
            refusals: RefusalPause::default(),
        }
    }

    /// Whether a call that has just begun was sent before the former one was answered: bytes
    /// were left unread then, or hardly any of its head have come since. `None` while the socket
    /// is not known.
    fn was_sent_ahead(&self, head_bytes: u64, port: u16) -> Option<bool> {
        if self.call == 0 {
            return Some(false);
        }
        let bytes = self.socket?.received(port)?;
        let bytes_since = bytes.total.saturating_sub(self.ended_bytes);
        Some(self.left_unread || bytes_since < head_bytes / LATE_HEAD_DIVISOR)
    }

    /// Whether it may have been opened after the open connections were read.
    fn may_be_newer(&self, now: Instant) -> bool {
        match self.usage {
            ConnectionUse::Active { .. } => true,
            ConnectionUse::Idle { since } | ConnectionUse::Unused { since } => {
                let age = now.saturating_duration_since(since);
                self.socket.is_none() && age <= MAX_SCAN_TIME
            }
        }
    }

    fn is_active(&self) -> bool {
        matches!(self.usage, ConnectionUse::Active { .. })
    }
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
    fn begin_call(&mut self, peer: SocketAddr, now: Instant) -> u64 {
        let former = self.remove(peer);
        self.last_call += 1;
        let connection = ClientConnection {
            call: self.last_call,
            usage: ConnectionUse::Active {
                held_bytes: 0,
                waits_since: None,
            },
            ..former.unwrap_or_else(|| ClientConnection::opened(now))
        };
        self.connections.insert(peer, connection);
        self.last_call
    }

    /// Adds a connection that is open, unless it is known.
    fn add_open(&mut self, socket: OpenSocket, now: Instant) {
        let connection = self.connections.entry(socket.peer);
        let connection = connection.or_insert_with(|| ClientConnection::opened(now));
        connection.socket = Some(socket);
    }

    /// The connection of `peer`, if `call` is its last call.
    fn connection_of(&mut self, peer: SocketAddr, call: u64) -> Option<&mut ClientConnection> {
        let connection = self.connections.get_mut(&peer)?;
        (connection.call == call).then_some(connection)
    }

    fn remove(&mut self, peer: SocketAddr) -> Option<ClientConnection> {
        let removed = self.connections.remove(&peer)?;
        if let ConnectionUse::Active { held_bytes, .. } = removed.usage {
            self.held_bytes = self.held_bytes.saturating_sub(held_bytes);
        }
        Some(removed)
    }

    fn uses(&self) -> impl Iterator<Item = (SocketAddr, ConnectionUse)> + '_ {
        let connections = self.connections.iter();
        connections.map(|(peer, connection)| (*peer, connection.usage))
    }
}

/// All connections of clients, with what is held for them.
pub struct ClientConnections {
    limits: ResourceLimits,
    /// Maximum number of bytes before a call begins; `None` at a port whose calls are not
    /// counted.
    max_bytes_before_call: Option<u64>,
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
            max_bytes_before_call: Some(MAX_BYTES_BEFORE_CALL),
            state: Mutex::default(),
            clock,
        }
    }

    /// Creates an empty table of at most `connections`, fewer if the process has few
    /// descriptors, at a port whose calls are not counted.
    #[must_use]
    pub fn with_uncounted_calls(connections: usize, clock: Arc<dyn Clock>) -> ClientConnections {
        let mut table = ClientConnections::new(clock);
        table.limits.connections = table.limits.connections.min(connections);
        table.max_bytes_before_call = None;
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
    fn update_open(&self, open: &[OpenSocket]) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_open: HashSet<SocketAddr> = open.iter().map(|socket| socket.peer).collect();
        state
            .connections
            .retain(|peer, connection| is_open.contains(peer) || connection.may_be_newer(now));
        for socket in open {
            state.add_open(*socket, now);
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

    /// Whether the `open` connections have to be looked at often.
    fn needs_close_watch(&self, open: usize) -> bool {
        self.max_bytes_before_call.is_some() || open >= self.limits.connections / 2
    }

    /// Removes the connections to the local `port` whose clients have sent too long a head.
    /// Returns them.
    fn take_long_heads(&self, port: u16) -> Vec<SocketAddr> {
        let Some(max_bytes_before_call) = self.max_bytes_before_call else {
            return Vec::new();
        };
        let between_calls = self.between_calls();
        let long = between_calls.into_iter().filter(|connection| {
            let received = connection.socket.and_then(|open| open.received(port));
            received
                .is_some_and(|bytes| bytes.total > connection.ended_bytes + max_bytes_before_call)
        });
        let peers = long.filter_map(|connection| {
            let peer = connection.socket?.peer;
            self.remove_between_calls(peer, connection.call)
                .then_some(peer)
        });
        peers.collect()
    }

    /// The connections without a call in progress.
    fn between_calls(&self) -> Vec<ClientConnection> {
        let state = self.lock();
        let connections = state.connections.values().copied();
        connections.filter(|known| !known.is_active()).collect()
    }

    /// Removes the connection of `peer`, unless it has brought a call after `call`.
    fn remove_between_calls(&self, peer: SocketAddr, call: u64) -> bool {
        let mut state = self.lock();
        let connection = state.connection_of(peer, call);
        let is_between = connection.is_some_and(|known| !known.is_active());
        is_between && state.remove(peer).is_some()
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
