//! Ends connections that can be spared when there are too many.

use std::sync::Arc;
use std::time::Duration;

use super::sockets::{open_peers, shut_down};
use super::ClientConnections;

/// Interval at which the connections are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval while they are many.
const CROWDED_COUNT_INTERVAL: Duration = Duration::from_millis(50);

/// Counts the connections to the local `port` and ends those beyond the limit, until the
/// process ends.
pub async fn end_spare_connections(connections: Arc<ClientConnections>, port: u16) {
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
