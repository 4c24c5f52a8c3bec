//! Messages between daemons about roll-outs.

use std::time::Duration;

use filbert_policy::rollout::record::{OrderId, RolloutRecord};
use filbert_policy::rollout::slow_runs::RunCounts;
use serde::{Deserialize, Serialize};

/// Record of a roll-out, sent to another daemon. Times are relative to the order,
/// as the clocks of hosts differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The record.
    pub record: RolloutRecord,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time from the order to the newest confirmation by a deciding daemon.
    pub confirmed_after: Duration,
}

/// State of one target and counters of its runs, reported by the daemon of its
/// host. The counters only grow until the target is replaced, so a newer report
/// replaces an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target's host.
    pub host: String,
    /// Random number drawn at the start of the daemon.
    pub incarnation: u64,
    /// Number of the report within one incarnation of the daemon. Newer reports have
    /// greater numbers.
    pub sequence: u64,
    /// The target's availability zone.
    pub zone: String,
    /// Service of the target.
    pub service: String,
    /// Software version of the target.
    pub software: String,
    /// Whether the target would take calls if the roll-out lets it.
    pub accepts_calls: bool,
    /// Calls that run or wait at the target.
    pub calls_in_progress: u32,
    /// Order and step of the roll-out that the daemon knows.
    pub known_step: Option<(OrderId, u32)>,
    /// Counters of the target's runs, by kind of call.
    pub kinds: Vec<KindCounts>,
}

/// Counters of the runs of one kind of call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindCounts {
    /// Name of the route.
    pub kind: String,
    /// The counters.
    pub runs: RunCounts,
}
