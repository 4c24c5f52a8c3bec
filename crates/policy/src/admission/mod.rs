//! Admission control for one target: decides which calls run now, which wait in
//! the daemon's queue, and which are declined.
//!
//! All calls to a target pass through the daemon on its host, so the daemon
//! knows exactly which calls run there. It sends the target at most as many
//! calls at once as the target has slots, and no more per second than the limit
//! that the target states. The other calls wait in the daemon, where they can be
//! reordered, cancelled and timed out.

mod offer;
mod order;
mod queue;
mod start_order;
mod wait;
mod waiting;

use std::time::{Duration, Instant};

pub use queue::AdmissionQueue;
pub use wait::SHORT_RUN_RATIO;

use crate::fair_share::OrganisationShare;
use crate::run_times::RunTime;

/// What admission control needs to know of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Priority of the call; 0 is the most urgent.
    pub priority: u8,
    /// Time after which an answer loses part of its value.
    pub soft_deadline: Instant,
    /// Time after which an answer is worthless.
    pub deadline: Instant,
    /// Expected run time of the call at this target.
    pub run: RunTime,
    /// Time that the call's answer needs on the host's network link.
    pub link: LinkTime,
    /// The organisation that the call belongs to; `None` without organisations.
    pub organisation: Option<OrganisationShare>,
}

/// Time that an answer needs on the host's network link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTime {
    /// Time that the answer waits behind other answers after the run. The link sends
    /// the other answers during the run too, so the expected run time is deducted.
    pub wait: Duration,
    /// Time to transmit the answer.
    pub send: Duration,
}

impl LinkTime {
    fn total(self) -> Duration {
        self.wait + self.send
    }
}

/// Identifies a waiting call within one [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitTicket(u64);

/// Why a call was declined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// The calls or answers ahead of the call leave no time for its answer, or
    /// the queue is full.
    Crowded,
    /// The target's limit on the rate of calls leaves no time for the call's answer.
    Limited,
    /// There is no room for the call, whose organisation is beyond its share: calls of
    /// other organisations start first.
    BeyondShare,
    /// The target takes no calls, for example because it is shutting down.
    Closed,
}

/// What admission control decides for a new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call runs now.
    Run,
    /// The call waits in the queue.
    Wait(WaitTicket),
    /// The call is declined.
    Decline {
        /// Why the call was declined.
        reason: DeclineReason,
        /// Time until capacity for the call is expected.
        room_in: Duration,
    },
}

/// How the wait of a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The call runs now.
    Run(WaitTicket),
    /// The call is declined: waiting longer is no longer worthwhile, or the
    /// queue was emptied.
    Decline {
        /// The declined call.
        ticket: WaitTicket,
        /// Why the call was declined.
        reason: DeclineReason,
        /// Time until capacity for a new call is expected.
        room_in: Duration,
    },
}

/// Limits on the length of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of waiting calls per slot. It bounds memory when all calls
    /// have long deadlines. A longer queue is useless, because a slot never
    /// completes more than a few calls within their soft deadlines.
    pub max_waiting_per_slot: u32,
}

impl Default for QueueLimits {
    fn default() -> Self {
        QueueLimits {
            max_waiting_per_slot: 6,
        }
    }
}
