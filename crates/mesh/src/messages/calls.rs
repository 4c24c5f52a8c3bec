//! A call between daemons, and what becomes of it.

use std::time::Duration;

use filbert_policy::identity::CallIdentity;
use filbert_policy::run_times::RunTime;
use serde::{Deserialize, Serialize};

use super::{to_micros, TargetLoad};
use crate::quarantine::AgedCrash;

/// A call on its way to the target's daemon; its body follows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallHead {
    /// The call's id.
    pub id: String,
    /// What it is, whichever try of its client it belongs to.
    pub identity: CallIdentity,
    /// The service that it was routed to.
    pub service: String,
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub target: String,
    /// Its header lines, but for those of one attempt or connection.
    pub lines: Vec<u8>,
    /// Length of its body; `None` when not known ahead.
    pub body_length: Option<u64>,
    /// Whether it has a body.
    pub has_body: bool,
    /// Microseconds until an answer is worth nothing.
    pub deadline_us: u64,
    /// Microseconds until an answer is worth less; 0 when that is past.
    pub soft_deadline_us: u64,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Usual size of an answer to it, in bytes.
    pub answer_bytes: u64,
    /// Its kind: the name of its route.
    pub kind: String,
    /// Usual time of a run of this kind.
    pub expected_run_time: Option<ExpectedRunTime>,
}

/// What runs of a kind usually take, on all targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedRunTime {
    /// On average, in microseconds.
    pub mean_us: u64,
    /// Mean distance from that, in microseconds.
    pub mean_deviation_us: u64,
}

impl From<RunTime> for ExpectedRunTime {
    fn from(time: RunTime) -> ExpectedRunTime {
        ExpectedRunTime {
            mean_us: to_micros(time.mean),
            mean_deviation_us: to_micros(time.mean_deviation),
        }
    }
}

impl From<ExpectedRunTime> for RunTime {
    fn from(usual: ExpectedRunTime) -> RunTime {
        RunTime {
            mean: Duration::from_micros(usual.mean_us),
            mean_deviation: Duration::from_micros(usual.mean_deviation_us),
        }
    }
}

/// What the target's daemon says of a call; an answer's body follows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplyHead {
    /// The call did not reach the target.
    Declined {
        /// Whether the gate was closed rather than crowded.
        closed: bool,
        /// Microseconds until room is expected.
        room_in_us: u64,
        /// The target's load.
        load: TargetLoad,
    },
    /// The target said that it did not run the call.
    Rejected {
        /// The target's load.
        load: TargetLoad,
    },
    /// The call is held back, and was not sent.
    HeldBack {
        /// Microseconds for which it is.
        remaining_us: u64,
        /// The target's load.
        load: TargetLoad,
    },
    /// The call was sent and gave no usable answer.
    Lost {
        /// Set when the target ended under it.
        ended: Option<AgedCrash>,
        /// The target's load.
        load: TargetLoad,
    },
    /// The target's answer.
    Answer {
        /// Its head.
        head: AnswerHead,
        /// Time from the start of the run to that head, in microseconds.
        time_to_head_us: u64,
        /// The target's load.
        load: TargetLoad,
    },
}

/// The head of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Its status.
    pub status: u16,
    /// Its reason phrase.
    pub reason: String,
    /// Its end-to-end header lines.
    pub lines: Vec<u8>,
    /// Its body's length; `None` when not known ahead.
    pub body_length: Option<u64>,
}
