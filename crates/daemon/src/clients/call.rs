//! What one call of a client holds, until its answer is written.

use std::net::SocketAddr;
use std::sync::Arc;

use filbert_policy::client_budget::eviction::ConnectionUse;
use filbert_policy::client_budget::{CallSize, MemoryFull};

use super::sockets::shut_down;
use super::ClientConnections;

/// A call in progress on a connection, which has one at a time. Dropping it ends the call.
pub struct ClientCall {
    connections: Arc<ClientConnections>,
    peer: SocketAddr,
    /// Number of the call.
    number: u64,
    /// Local port of the connection.
    port: u16,
}

impl ClientCall {
    /// Begins a call on the connection of `peer` to the local `port`.
    #[must_use]
    pub fn begin(connections: &Arc<ClientConnections>, peer: SocketAddr, port: u16) -> ClientCall {
        let number = connections.lock().begin_call(peer);
        ClientCall {
            connections: Arc::clone(connections),
            peer,
            number,
            port,
        }
    }

    /// Charges `bytes` of the call or its answer, which have this `size`, until the call
    /// ends. Ends other connections
    /// if too much is held then.
    ///
    /// # Errors
    /// [`MemoryFull`] if this connection is the one that holds most and progresses least, or
    /// has been ended.
    pub fn charge(&self, size: CallSize, bytes: usize) -> Result<(), MemoryFull> {
        let spared = self
            .connections
            .charge(self.peer, self.number, size, bytes as u64)?;
        if !spared.is_empty() {
            log::info!(
                "event=client_connections_ended reason=memory count={}",
                spared.len()
            );
            shut_down(self.port, &spared);
        }
        Ok(())
    }

    /// Records that the daemon waits for the client to send or to read, or no longer does.
    pub fn set_waiting(&self, waiting: bool) {
        let now = self.connections.clock.now();
        self.update(|usage| {
            if let ConnectionUse::Active { waits_since, .. } = usage {
                *waits_since = waiting.then_some(now);
            }
        });
    }

    fn update(&self, change: impl FnOnce(&mut ConnectionUse)) {
        let mut state = self.connections.lock();
        if let Some(connection) = state.connection_of(self.peer, self.number) {
            change(&mut connection.usage);
        }
    }
}

impl Drop for ClientCall {
    fn drop(&mut self) {
        let since = self.connections.clock.now();
        let mut held = 0;
        self.update(|usage| {
            if let ConnectionUse::Active { held_bytes, .. } = usage {
                held = *held_bytes;
            }
            *usage = ConnectionUse::Idle { since };
        });
        let mut state = self.connections.lock();
        state.held_bytes = state.held_bytes.saturating_sub(held);
    }
}
