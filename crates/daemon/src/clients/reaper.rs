//! Ends connections that can be spared when there are too many, and those with too long a head.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::sockets::{limit_receive_buffers, open_sockets, shut_down, OpenSocket};
use super::ClientConnections;

/// Interval at which the connections are looked at where they are many or their heads are
/// limited: a crowd that comes at once sends some 25 MB in this time.
const CLOSE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval otherwise.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Size of a connection's receive buffer. The HTTP library doubles its own, up to 400 KiB for
/// each connection, whenever a read fills it.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Counts the connections to the local `port` and ends those beyond the limits, until the
/// process ends.
pub async fn end_spare_connections(connections: Arc<ClientConnections>, port: u16) {
    // The HTTP server opens its listening socket after the start.
    while !limit_receive_buffers(port, RECEIVE_BUFFER_BYTES) {
        tokio::time::sleep(CLOSE_INTERVAL).await;
    }
    loop {
        let open = open_sockets(port);
        let spared = connections.update_open(&open);
        end_connections(port, "connections", &spared, &open);
        let long = connections.take_long_heads(port);
        end_connections(port, "head", &long, &open);
        let interval = if connections.needs_close_watch(open.len()) {
            CLOSE_INTERVAL
        } else {
            COUNT_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}

fn end_connections(port: u16, reason: &str, ended: &[SocketAddr], open: &[OpenSocket]) {
    if !ended.is_empty() {
        let (count, open) = (ended.len(), open.len());
        log::info!("event=client_connections_ended reason={reason} count={count} open={open}");
        shut_down(port, ended);
    }
}
