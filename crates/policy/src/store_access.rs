//! When a daemon calls the store, and when it waits for its peers instead, so
//! that a fleet's calls to the store do not grow with the number of its hosts.

use std::time::{Duration, Instant};

/// Delay after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay of a daemon that queries the store for the fleet. As a call
/// times out after a second, the daemon notices within 1.5 s that the store is
/// back.
const MAX_BACKOFF_FOR_FLEET: Duration = Duration::from_millis(500);
/// Maximum delay of a daemon that queries the store for its own host. The first
/// of many such daemons that finds the store back informs the others. A single
/// one still meets the three seconds within which a fleet has to be consistent
/// again.
const MAX_BACKOFF_FOR_OWN_HOST: Duration = Duration::from_secs(2);
/// Time over which the daemons of a fleet that starts for the first time spread
/// their initial query for the hosts. There are no calls to serve yet. The table
/// of hosts grows meanwhile, so that later daemons find more hosts: with a
/// spread of 1.5 s, 290 of 295 daemons found the same four hosts, which took
/// seconds to answer them all.
const INITIAL_QUERY_SPREAD: Duration = Duration::from_secs(4);
/// How long a daemon without a version waits to hear of a peer that has one. It
/// covers a list of hosts, a link and a first message, on a host with a tenth of
/// a core.
const PEER_VERSION_TIMEOUT: Duration = Duration::from_millis(400);
/// Replaces [`PEER_VERSION_TIMEOUT`] while the fleet starts for the first time,
/// when the first version spreads from host to host.
const PEER_VERSION_TIMEOUT_FIRST_START: Duration = Duration::from_secs(5);
/// How long peers that have a version may take to transfer it before the daemon
/// queries the store. Enough for two peers in succession.
const VERSION_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// For whom a daemon calls the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    /// For all daemons that follow this one.
    ForFleet,
    /// For its own host only.
    ForOwnHost,
}

/// Returns the delay before the next call to the store after `failures`
/// consecutive failed calls. `jitter` is a random number in 0..1.
///
/// The delay doubles up to a maximum that depends on `access`; the jitter keeps
/// daemons from retrying in step. When 295 daemons started while the store was
/// down, each called it twice a second for each of two feeds, which made 11,760
/// calls on a day with an outage.
#[must_use]
pub fn backoff_delay(failures: u32, access: StoreAccess, jitter: f64) -> Duration {
    /// Number of doublings after which every maximum delay is reached.
    const MAX_DOUBLINGS: u32 = 8;
    let max_delay = match access {
        StoreAccess::ForFleet => MAX_BACKOFF_FOR_FLEET,
        StoreAccess::ForOwnHost => MAX_BACKOFF_FOR_OWN_HOST,
    };
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let delay = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(max_delay);
    delay.mul_f64(0.6 + 0.4 * jitter.clamp(0.0, 1.0))
}

/// The consecutive failures of one kind of call, and when the next may be made.
///
/// It outlives the wait after a failure: a daemon that gives up that wait, for
/// instance because an upstream has been found, and is without an upstream again
/// soon after, still calls no earlier.
#[derive(Debug, Default)]
pub struct StoreBackoff {
    failures: u32,
    last_failure: Option<FailedCall>,
}

#[derive(Clone, Copy, Debug)]
struct FailedCall {
    at: Instant,
    jitter: f64,
}

impl StoreBackoff {
    /// Records a call that failed at `now`. `jitter` is a random number in 0..1.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.failures += 1;
        self.last_failure = Some(FailedCall { at: now, jitter });
    }

    /// Records a call that was answered. Returns how many had failed before it.
    pub fn record_answer(&mut self) -> u32 {
        self.last_failure = None;
        std::mem::take(&mut self.failures)
    }

    /// Allows the next call at once: the store has answered another call.
    pub fn end_wait(&mut self) {
        self.last_failure = None;
    }

    /// Number of calls that have failed since the last answer.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the time from `now` until the next call, zero if it may be made.
    #[must_use]
    pub fn remaining(&self, now: Instant, access: StoreAccess) -> Duration {
        let Some(failed) = self.last_failure else {
            return Duration::ZERO;
        };
        let delay = backoff_delay(self.failures, access, failed.jitter);
        delay.saturating_sub(now.saturating_duration_since(failed.at))
    }
}

/// Returns how long a starting daemon waits before it queries the store for the
/// hosts. `jitter` is a random number in 0..1.
///
/// The delay is zero unless the whole fleet starts for the first time: then all
/// hosts start within 0.3 s on an empty table. If they all queried it at once,
/// each would find no other host and write its own row, which makes 295 writes
/// to a table that takes 150 a second. With the queries spread, all but the
/// first few hosts of a zone find a daemon that registers them, many in one
/// write.
#[must_use]
pub fn initial_query_delay(is_first_start: bool, jitter: f64) -> Duration {
    if is_first_start {
        INITIAL_QUERY_SPREAD.mul_f64(jitter.clamp(0.0, 1.0))
    } else {
        Duration::ZERO
    }
}

/// The state of a daemon that has no version yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootstrapView {
    /// Time since the daemon learned of its peers.
    pub waited: Duration,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Whether the daemon queries the store for the fleet.
    pub is_source: bool,
    /// Number of upstream daemons that are linked.
    pub linked_upstreams: usize,
    /// Number of linked upstreams that reported having no version either.
    pub upstreams_without_version: usize,
    /// Number of linked peers in the daemon's zone that have a version.
    pub zone_peers_with_version: usize,
}

/// What a daemon without a version does to get one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BootstrapStep {
    /// Query the store now.
    QueryStore,
    /// Wait for a version from a peer, for at most this long before the store is
    /// queried.
    WaitForPeers(Duration),
}

/// Decides where a daemon without a version gets its first one.
///
/// A single host that starts gets the version from a peer in its zone, which
/// takes 10 ms of the link and costs the store nothing. If no peer has a version,
/// as when all hosts lost power, the store is the fastest way for all of them.
#[must_use]
pub fn bootstrap_step(view: &BootstrapView) -> BootstrapStep {
    let no_upstream_has_version =
        view.linked_upstreams > 0 && view.upstreams_without_version >= view.linked_upstreams;
    let timeout = if view.zone_peers_with_version > 0 {
        VERSION_TRANSFER_TIMEOUT
    } else if view.is_source || (no_upstream_has_version && !view.is_first_start) {
        Duration::ZERO
    } else if view.is_first_start {
        PEER_VERSION_TIMEOUT_FIRST_START
    } else {
        PEER_VERSION_TIMEOUT
    };
    match timeout.checked_sub(view.waited) {
        Some(left) if !left.is_zero() => BootstrapStep::WaitForPeers(left),
        _ => BootstrapStep::QueryStore,
    }
}
