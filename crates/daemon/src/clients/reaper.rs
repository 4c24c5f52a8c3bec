//! Ends connections that can be spared when there are too many.

use std::sync::Arc;
use std::time::Duration;

use super::sockets::{limit_receive_buffers, open_peers, shut_down};
use super::ClientConnections;

/// Interval at which the connections are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval while they are many.
const CROWDED_COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Size of a connection's receive buffer. The HTTP library doubles its own, up to 400 KiB for
/// each connection, whenever a read fills it.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Counts the connections to the local `port` and ends those beyond the limit, until the
/// process ends.
pub async fn end_spare_connections(connections: Arc<ClientConnections>, port: u16) {
    // The HTTP server opens its listening socket after the start.
    while !limit_receive_buffers(port, RECEIVE_BUFFER_BYTES) {
        tokio::time::sleep(CROWDED_COUNT_INTERVAL).await;
    }
    loop {
        let open = open_peers(port);
        let spared = connections.update_open(&open);
        if !spared.is_empty() {
            log::info!(
                "event=client_connections_ended reason=connections count={} open={}",
                spared.len(),
                open.len()
            );
            shut_down(port, &spared);
        }
        let interval = if connections.is_crowded(open.len()) {
            CROWDED_COUNT_INTERVAL
        } else {
            COUNT_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}
