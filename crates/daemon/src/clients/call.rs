//! What one call of a client holds, until its answer is written.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

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
    /// Whether it was sent before the former call was answered; `None` if that is not known.
    sent_ahead: Option<bool>,
    /// Length of the call's head and body as they were read, in bytes.
    request_bytes: AtomicU64,
}

impl ClientCall {
    /// Begins a call on the connection of `peer` to the local `port`, whose head has this
    /// length.
    #[must_use]
    pub fn begin(
        connections: &Arc<ClientConnections>,
        peer: SocketAddr,
        port: u16,
        head_bytes: usize,
    ) -> ClientCall {
        let now = connections.clock.now();
        let head_bytes = head_bytes as u64;
        let (former, number) = {
            let mut state = connections.lock();
            (
                state.connections.get(&peer).copied(),
                state.begin_call(peer, now),
            )
        };
        ClientCall {
            connections: Arc::clone(connections),
            peer,
            number,
            port,
            sent_ahead: former.map_or(Some(false), |known| known.was_sent_ahead(head_bytes, port)),
            request_bytes: AtomicU64::new(head_bytes),
        }
    }

    /// Records that a part of the call's body has been read, with its length.
    pub fn record_read(&self, bytes: usize) {
        self.request_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records whether the daemon has refused the call.
    pub fn record_refusal(&self, is_refusal: bool) {
        let mut state = self.connections.lock();
        if let Some(connection) = state.connection_of(self.peer, self.number) {
            connection.refusals = connection.refusals.after(is_refusal);
        }
    }

    /// Whether the call may have been sent before the former one was answered.
    #[must_use]
    pub fn may_be_sent_ahead(&self) -> bool {
        self.sent_ahead != Some(false)
    }

    /// Time to wait before the call, whose head has been read, goes on: many calls of its
    /// connection were refused, and it was sent before the last of them was answered.
    #[must_use]
    pub fn refusal_pause(&self) -> Duration {
        if self.sent_ahead != Some(true) {
            return Duration::ZERO;
        }
        let mut state = self.connections.lock();
        let connection = state.connection_of(self.peer, self.number);
        connection.map_or(Duration::ZERO, |known| known.refusals.pause())
    }

    /// Charges `bytes` of the call or its answer, which have this `size`, until the call
    /// ends. Ends other connections if too much is held then.
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
        let mut state = self.connections.lock();
        let Some(connection) = state.connection_of(self.peer, self.number) else {
            return;
        };
        let received = connection
            .socket
            .and_then(|socket| socket.received(self.port));
        let request_bytes = self.request_bytes.load(Ordering::Relaxed);
        connection.ended_bytes =
            received.map_or(connection.ended_bytes + request_bytes, |bytes| bytes.total);
        connection.left_unread = received.is_some_and(|bytes| bytes.are_unread);
        let ended = std::mem::replace(&mut connection.usage, ConnectionUse::Idle { since });
        if let ConnectionUse::Active { held_bytes, .. } = ended {
            state.held_bytes = state.held_bytes.saturating_sub(held_bytes);
        }
    }
}
