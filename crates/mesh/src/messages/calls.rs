//! Messages for a call between daemons: its head, and the reply.

use std::time::Duration;

use filbert_http1::BodyFraming;
use filbert_policy::budget::BudgetAccount;
use filbert_policy::fair_share::OrganisationShare;
use filbert_policy::identity::CallIdentity;
use filbert_policy::instance::InstanceKey;
use filbert_policy::run_times::RunTime;
use serde::{Deserialize, Serialize};

use super::suspects::AgedCrash;
use super::{to_micros, TargetLoad};

/// Head of a call to the target's daemon. The call's body follows on the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallHead {
    /// Request id of the call.
    pub id: String,
    /// Identity of the call, which is the same for all retries by its client.
    pub identity: CallIdentity,
    /// Service to which the call was routed.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query of the URL.
    pub target: String,
    /// Header lines, without those that belong to a single attempt or connection.
    pub lines: Vec<u8>,
    /// Length of the call's body, in bytes; `None` if not known in advance.
    pub body_length: Option<u64>,
    /// Whether the call has a body.
    pub has_body: bool,
    /// Time until the call's deadline, after which an answer is of no use, in
    /// microseconds.
    pub deadline_us: u64,
    /// Time until the call's soft deadline, after which an answer is worth less, in
    /// microseconds; 0 if it has passed.
    pub soft_deadline_us: u64,
    /// Priority of the call; 0 is the highest.
    pub priority: u8,
    /// Usual size of an answer on the call's route, in bytes.
    pub answer_bytes: u64,
    /// Name of the call's route.
    pub kind: String,
    /// Expected run time on the call's route; `None` if not known.
    pub expected_run_time: Option<ExpectedRunTime>,
    /// The organisation that the call belongs to; `None` without organisations.
    pub organisation: Option<OrganisationShare>,
}

impl CallHead {
    /// Subtracts `elapsed`, for which the call has been on its way, from its deadlines.
    pub fn count_elapsed(&mut self, elapsed: Duration) {
        let elapsed_us = to_micros(elapsed);
        self.deadline_us = self.deadline_us.saturating_sub(elapsed_us);
        self.soft_deadline_us = self.soft_deadline_us.saturating_sub(elapsed_us);
    }

    /// Shortens the deadlines to `time_left` from now, if they are later.
    pub fn shorten_deadlines(&mut self, time_left: Duration) {
        let time_left_us = to_micros(time_left);
        self.deadline_us = self.deadline_us.min(time_left_us);
        self.soft_deadline_us = self.soft_deadline_us.min(time_left_us);
    }

    /// Framing of the call's body on the connection to the target.
    #[must_use]
    pub fn body_framing(&self) -> BodyFraming {
        match (self.has_body, self.body_length) {
            (false, _) => BodyFraming::Empty,
            (true, Some(length)) => BodyFraming::Length(length),
            (true, None) => BodyFraming::Chunked,
        }
    }

    /// The account of the retry budget that retries of the call are charged to.
    #[must_use]
    pub fn budget_account(&self) -> BudgetAccount<'_> {
        BudgetAccount {
            service: &self.service,
            organisation: self.organisation.map(|share| share.id),
        }
    }
}

/// Expected run time of the calls on a route, over all targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedRunTime {
    /// Mean run time, in microseconds.
    pub mean_us: u64,
    /// Mean absolute deviation from the mean, in microseconds.
    pub mean_deviation_us: u64,
}

impl From<RunTime> for ExpectedRunTime {
    fn from(run_time: RunTime) -> ExpectedRunTime {
        ExpectedRunTime {
            mean_us: to_micros(run_time.mean),
            mean_deviation_us: to_micros(run_time.mean_deviation),
        }
    }
}

impl From<ExpectedRunTime> for RunTime {
    fn from(expected: ExpectedRunTime) -> RunTime {
        RunTime {
            mean: Duration::from_micros(expected.mean_us),
            mean_deviation: Duration::from_micros(expected.mean_deviation_us),
        }
    }
}

/// Reply of the target's daemon to a call. The body of an `Answer` follows on the
/// stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplyHead {
    /// The gate declined the call; it did not reach the target.
    Declined {
        /// Whether the gate is closed. Otherwise the target is overloaded.
        closed: bool,
        /// Time until the gate expects to have room for the call, in microseconds.
        room_in_us: u64,
        /// Load of the target.
        load: TargetLoad,
    },
    /// The target stated that it did not run the call.
    Rejected {
        /// Load of the target.
        load: TargetLoad,
    },
    /// The call is held back by quarantine, and was not sent to the target.
    HeldBack {
        /// Time until the hold ends, in microseconds.
        remaining_us: u64,
        /// Load of the target.
        load: TargetLoad,
    },
    /// The call was sent to the target, but no valid answer came back.
    Lost {
        /// Crash of the target, if the target ended while it ran the call.
        crash: Option<AgedCrash>,
        /// Load of the target.
        load: TargetLoad,
    },
    /// The target's answer.
    Answer {
        /// Head of the answer.
        head: AnswerHead,
        /// Time from the start of the run until the head arrived, in microseconds.
        time_to_head_us: u64,
        /// Instance that answered, if it states that it is leaving.
        leaving: Option<InstanceKey>,
        /// Load of the target.
        load: TargetLoad,
    },
}

/// Head of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// End-to-end header lines.
    pub lines: Vec<u8>,
    /// Length of the answer's body, in bytes; `None` if not known in advance.
    pub body_length: Option<u64>,
}
