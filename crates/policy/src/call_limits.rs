//! How long a call may last, and how much that is no body may be read for it. One statement
//! for all hosts that carry a part of the call and for both directions.
//!
//! Load pattern: targets fall silent inside an answer, or send bytes that are no answer until
//! their caller closes. Each such call holds a slot, a connection at both ends and a stream
//! of a link, and costs processor time for each byte.

use std::time::{Duration, Instant};

/// Time beyond its deadline in which an answer that is nearly complete may end. Its caller
/// has been kept waiting for the whole deadline by then, and would start again from nothing.
const COMPLETION_TIME: Duration = Duration::from_millis(200);
/// Time without data after which a target counts as silent.
const MAX_DATA_GAP: Duration = Duration::from_millis(300);
/// Time without data from the other host after which an answer past its deadline has ended.
/// The target's host ends it at the deadline; what it had read by then is still on its way.
const MAX_RELAY_GAP: Duration = Duration::from_millis(400);
/// Heads that may be read for one answer, in header limits: interim responses, and the
/// response with what the target adds to a client's fields.
const HEADS_PER_ANSWER: usize = 8;
/// Chunk extensions and trailer fields that may be read with one body, in header limits.
const FRAMING_PER_BODY: usize = 8;
/// Late answers to other calls that may be read ahead of an answer, in header limits.
const OTHER_ANSWERS_PER_ANSWER: usize = 256;

/// Deadline of a call, once its answer has begun.
///
/// The answer is read from the target until shortly after the deadline. What was read by then
/// goes on to the client, which may read more slowly than the target sends. A target's silence
/// ends nothing sooner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerDeadline(Instant);

impl AnswerDeadline {
    /// Deadline of an answer to a call with this `deadline`.
    #[must_use]
    pub fn new(deadline: Instant) -> AnswerDeadline {
        AnswerDeadline(deadline)
    }

    /// Time until which the answer is read from its target.
    #[must_use]
    pub fn read_until(self) -> Instant {
        self.0 + COMPLETION_TIME
    }

    /// Time until which a wait for data from the target's host may last that began at
    /// `since`.
    #[must_use]
    pub fn receive_until(self, since: Instant) -> Instant {
        self.0.max(since) + MAX_RELAY_GAP
    }

    /// Time until which an answer may hold its target's slot.
    #[must_use]
    pub fn slot_until(self) -> Instant {
        self.0 + MAX_RELAY_GAP
    }

    /// Time until which the answer is sent on to a client that may be idle for
    /// `idle_timeout`.
    #[must_use]
    pub fn send_until(self, idle_timeout: Duration) -> Instant {
        self.0 + idle_timeout
    }
}

/// Whether a target that sent its last data at `last_data` is silent at `now`. The answers of
/// one that still sends end at their deadlines too, but it is slow rather than ill.
#[must_use]
pub fn is_silent(last_data: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last_data) >= MAX_DATA_GAP
}

/// Limits on what is read for a call besides bodies, in bytes. They follow from the
/// configuration's limit on the head of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverheadLimits {
    head_bytes: usize,
}

impl OverheadLimits {
    /// Limits for a configuration that limits the head of a call to `head_bytes`.
    #[must_use]
    pub fn new(head_bytes: usize) -> OverheadLimits {
        OverheadLimits { head_bytes }
    }

    /// Heads of an answer, those of interim responses included.
    #[must_use]
    pub fn answer_heads(self) -> usize {
        self.head_bytes * HEADS_PER_ANSWER
    }

    /// Chunk extensions and trailer fields of a body.
    #[must_use]
    pub fn framing(self) -> usize {
        self.head_bytes * FRAMING_PER_BODY
    }

    /// Bodies of answers to other calls that come ahead of an answer.
    #[must_use]
    pub fn other_answers(self) -> usize {
        self.head_bytes * OTHER_ANSWERS_PER_ANSWER
    }
}
