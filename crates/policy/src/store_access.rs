//! Who asks the store, and when: a fleet's calls to it must not grow with its
//! hosts.

use std::time::Duration;

/// Pause after the first call in vain.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause of a daemon that asks for others: with a call that is given up
/// after a second, the store's return shows within 1.5 s.
const LONGEST_FOR_OTHERS: Duration = Duration::from_millis(500);
/// Longest pause of a daemon that asks for itself alone. The first of many that
/// finds the store back tells the others; one alone is back in time for the
/// three seconds within which a fleet has to be in step again.
const LONGEST_ALONE: Duration = Duration::from_secs(2);
/// Time in which the daemons of a fleet that starts for the first time spread
/// their first look at the hosts. Nobody calls yet. The table grows meanwhile,
/// so that each finds more hosts than the one before: within 1.5 s, 290 of 295
/// found the same four, which took seconds to answer them all.
const FIRST_LOOK_OVER: Duration = Duration::from_secs(4);
/// Time that a daemon without a version waits for word of a peer that has one:
/// a list of hosts, a link and a first message, on a host with a tenth of a
/// core.
const PEERS_WITHIN: Duration = Duration::from_millis(400);
/// The same while the fleet starts for the first time, where the first version
/// goes from host to host.
const PEERS_WITHIN_FIRST: Duration = Duration::from_secs(5);
/// Time that peers which have a version get to hand it over, before the store
/// is asked all the same: two peers, one after the other.
const TEXT_WITHIN: Duration = Duration::from_millis(1_500);

/// For whom a daemon asks the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    /// For all that follow it.
    ForFleet,
    /// For itself: no daemon that asks is linked.
    ForOwnHost,
}

/// The pause after `failures` calls in vain, one after the other; `spread` is a
/// random number in 0..1.
///
/// Load pattern: the store is away while 295 daemons start. By itself each
/// called it twice a second for two things, 11,760 calls on a day with an
/// outage; the pause doubles, to two seconds for a daemon that asks for itself
/// alone. It is spread, so that a herd does not call in step.
#[must_use]
pub fn backoff_delay(failures: u32, purpose: StoreAccess, spread: f64) -> Duration {
    /// Doublings after which every longest pause is reached.
    const MOST_DOUBLINGS: u32 = 8;
    let longest = match purpose {
        StoreAccess::ForFleet => LONGEST_FOR_OTHERS,
        StoreAccess::ForOwnHost => LONGEST_ALONE,
    };
    let doublings = failures.saturating_sub(1).min(MOST_DOUBLINGS);
    let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(longest);
    pause.mul_f64(0.6 + 0.4 * spread.clamp(0.0, 1.0))
}

/// How long a daemon that starts waits before it looks for the hosts.
///
/// Load pattern: a whole fleet starts within 0.3 s on an empty table. Were all
/// to look at once, each would find nobody and write its own row, 295 writes
/// for a table that takes 150 a second; one after the other all but the first
/// few of a zone find a daemon there that writes rows for them, many in one.
#[must_use]
pub fn initial_query_delay(is_first_start: bool, spread: f64) -> Duration {
    if is_first_start {
        FIRST_LOOK_OVER.mul_f64(spread.clamp(0.0, 1.0))
    } else {
        Duration::ZERO
    }
}

/// What a daemon without a version sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootstrapView {
    /// Time since it knows its peers.
    pub waited: Duration,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Whether it asks the store for others.
    pub is_source: bool,
    /// Daemons linked that it is told by.
    pub linked_upstreams: usize,
    /// Those of them that said that they have no version either.
    pub upstreams_without_version: usize,
    /// Linked peers of its zone that have a version.
    pub zone_peers_with_version: usize,
}

/// How a daemon gets its first version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BootstrapStep {
    /// From the store, now.
    QueryStore,
    /// From a peer that may still speak up; the store is asked after this time.
    WaitForPeers(Duration),
}

/// Decides where a daemon without a version gets one.
///
/// Load pattern: single hosts start all day, and all at once after a loss of
/// power. A single one gets the text from a neighbour that has it, 10 ms of its
/// link, and costs the store nothing. When nobody has one, as after a loss of
/// power, the store is the quickest for all.
#[must_use]
pub fn bootstrap_step(view: &BootstrapView) -> BootstrapStep {
    let nobody_has_one =
        view.linked_upstreams > 0 && view.upstreams_without_version >= view.linked_upstreams;
    let patience = if view.zone_peers_with_version > 0 {
        TEXT_WITHIN
    } else if view.is_source || (nobody_has_one && !view.is_first_start) {
        Duration::ZERO
    } else if view.is_first_start {
        PEERS_WITHIN_FIRST
    } else {
        PEERS_WITHIN
    };
    match patience.checked_sub(view.waited) {
        Some(left) if !left.is_zero() => BootstrapStep::WaitForPeers(left),
        _ => BootstrapStep::QueryStore,
    }
}
