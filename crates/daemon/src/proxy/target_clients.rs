//! The HTTP clients that send calls to targets.

use std::time::Duration;

use super::policy::ConnectionKind;

/// Timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for connecting to a target when no more time is left than [`CONNECT_TIMEOUT`]: the
/// call's own deadline would hide whether it reached a connection.
pub(super) const HURRIED_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Idle time before the first TCP keepalive probe on a connection to a target,
/// and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of unanswered TCP keepalive probes after which a connection is
/// closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum number of idle connections kept open per target.
const MAX_IDLE_CONNECTIONS_PER_TARGET: usize = 8;

/// The HTTP clients that send calls to targets.
pub(super) struct TargetClients {
    /// For calls with more time left than [`CONNECT_TIMEOUT`].
    patient: ClientPair,
    /// For calls with less time left.
    hurried: ClientPair,
}

/// Two clients with the same timeout for connecting.
struct ClientPair {
    /// Reuses connections from a pool.
    pooled: reqwest::Client,
    /// Opens a new connection for each attempt.
    unpooled: reqwest::Client,
}

impl TargetClients {
    pub(super) fn new() -> TargetClients {
        TargetClients {
            patient: ClientPair::new(CONNECT_TIMEOUT),
            hurried: ClientPair::new(HURRIED_CONNECT_TIMEOUT),
        }
    }

    /// The client for an attempt that may take `time_left`.
    pub(super) fn client(
        &self,
        connection: ConnectionKind,
        time_left: Duration,
    ) -> &reqwest::Client {
        let pair = if time_left > CONNECT_TIMEOUT {
            &self.patient
        } else {
            &self.hurried
        };
        match connection {
            ConnectionKind::Pooled => &pair.pooled,
            ConnectionKind::New => &pair.unpooled,
        }
    }
}

impl ClientPair {
    fn new(connect_timeout: Duration) -> ClientPair {
        let builder = || {
            reqwest::Client::builder()
                .connect_timeout(connect_timeout)
                .redirect(reqwest::redirect::Policy::none())
                .no_proxy()
        };
        // Idle connections are probed and closed when the probes stay
        // unanswered, so that few calls are sent on a connection whose other
        // end no longer responds.
        let pooled = builder()
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_TARGET)
            .tcp_keepalive(KEEPALIVE_INTERVAL)
            .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
            .tcp_keepalive_retries(KEEPALIVE_PROBES);
        let unpooled = builder().pool_max_idle_per_host(0);
        let build = |builder: reqwest::ClientBuilder| {
            builder
                .build()
                .expect("an HTTP client without TLS always builds")
        };
        ClientPair {
            pooled: build(pooled),
            unpooled: build(unpooled),
        }
    }
}
