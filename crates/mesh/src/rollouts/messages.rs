//! What daemons tell each other of roll-outs.

use std::time::Duration;

use filbert_policy::rollout::record::{OrderId, RolloutRecord};
use serde::{Deserialize, Serialize};

/// A note on its way, with ages in place of times: clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The note.
    pub record: RolloutRecord,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time from the order to the newest confirmation by a decider.
    pub confirmed: Duration,
}

/// Counters of the gate beside one target. They only grow, so the newest of two
/// replaces the older.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target's host.
    pub host: String,
    /// A random number of the gate's start.
    pub start: u64,
    /// Grows with each tally of one start.
    pub sequence: u64,
    /// The target's availability zone.
    pub zone: String,
    /// Its service.
    pub service: String,
    /// Its software version.
    pub software: String,
    /// Whether it takes calls, but for what the roll-out says.
    pub is_open: bool,
    /// Calls at work or waiting there.
    pub at_work: u32,
    /// The order and step that its daemon knows.
    pub known: Option<(OrderId, u32)>,
    /// Its runs, by kind of call.
    pub kinds: Vec<KindCounts>,
}

/// Runs of one kind of call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindCounts {
    /// The route's name.
    pub kind: String,
    /// Runs that ended.
    pub ended: u64,
    /// Those that failed or took far longer than usual.
    pub bad: u64,
}
