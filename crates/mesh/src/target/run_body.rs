//! The body of an answer of the local target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbert_http1::{BodyDecoder, BodyFraming, ResponseHead};
use filbert_policy::call_limits::{is_silent, AnswerDeadline, OverheadLimits};
use filbert_policy::clock::Clock;

use super::{TargetConnection, TargetConnectionPool};
use crate::body::BodyTruncated;
use crate::gate::RunPermit;

/// Lowest status code of an answer that counts as a failure of the target.
const MIN_SERVER_ERROR_STATUS: u16 = 500;
/// Maximum time for reading the rest of a rejection's body.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(300);

/// The body of an answer, read from the target as it arrives. Dropping a `RunBody`
/// before the end of the body closes the connection, which makes the target abandon
/// the run.
pub struct RunBody {
    connection: Option<TargetConnection>,
    decoder: BodyDecoder,
    /// Whether the connection may go back to the pool after the body.
    is_reusable: bool,
    pool: Rc<TargetConnectionPool>,
    clock: Rc<dyn Clock>,
    permit: Option<RunPermit>,
    /// Whether the end of the connection would cut the answer: the answer ends with the
    /// connection, and that was broken off.
    is_cut_by_end: bool,
    /// Whether the answer has a failure status.
    is_failure: bool,
    deadline: AnswerDeadline,
    /// Time at which the target sent data last.
    last_data: Instant,
}

/// Parameters of a [`RunBody`], besides the connection and the answer's head.
pub(super) struct RunBodyParams {
    /// Whether a write has shown that the target broke the connection off.
    pub(super) is_broken: bool,
    /// Whether the connection may go back to the pool after the body.
    pub(super) is_reusable: bool,
    pub(super) pool: Rc<TargetConnectionPool>,
    pub(super) clock: Rc<dyn Clock>,
    /// The call's slot.
    pub(super) permit: RunPermit,
    /// Deadline of the answer.
    pub(super) deadline: AnswerDeadline,
    /// Limits on what is read besides the body's data.
    pub(super) limits: OverheadLimits,
}

impl std::fmt::Debug for RunBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("RunBody")
            .field("reusable", &self.is_reusable)
            .finish_non_exhaustive()
    }
}

impl RunBody {
    /// Creates the body of the answer with this head, whose rest is read from `connection`.
    pub(super) fn new(
        connection: TargetConnection,
        head: &ResponseHead,
        params: RunBodyParams,
    ) -> Box<RunBody> {
        let max_overhead = params.limits.framing();
        let last_data = params.clock.now();
        Box::new(RunBody {
            connection: Some(connection),
            decoder: BodyDecoder::new(head.framing).with_max_overhead(max_overhead),
            is_reusable: params.is_reusable,
            pool: params.pool,
            clock: params.clock,
            permit: Some(params.permit),
            is_cut_by_end: params.is_broken && head.framing == BodyFraming::UntilClose,
            is_failure: head.status >= MIN_SERVER_ERROR_STATUS,
            deadline: params.deadline,
            last_data,
        })
    }

    /// Reads the next data; `None` at the end of the body. The run ends with the body,
    /// as successful unless the answer has a failure status, or at its deadline.
    ///
    /// # Errors
    /// [`BodyTruncated`] if the connection was lost, or the deadline has passed, before the
    /// end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyTruncated> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        let until = self.deadline.read_until();
        // A target that sends without a pause would never be found waiting.
        if self.clock.now() >= until {
            return Err(self.end_at_deadline());
        }
        let data = connection.reader.read_body_data(&mut self.decoder);
        match tokio::time::timeout_at(until.into(), data).await {
            Ok(Ok(Some(data))) => {
                self.last_data = self.clock.now();
                Ok(Some(data))
            }
            Ok(Ok(None)) if !self.is_cut_by_end => {
                self.finish();
                Ok(None)
            }
            Ok(Ok(None) | Err(_)) => {
                self.connection = None;
                if let Some(permit) = self.permit.take() {
                    permit.end_truncated();
                }
                Err(BodyTruncated::BrokenOff)
            }
            Err(_) => Err(self.end_at_deadline()),
        }
    }

    /// Closes the connection and ends the run, as failed if the target has fallen silent.
    fn end_at_deadline(&mut self) -> BodyTruncated {
        self.connection = None;
        let permit = self.permit.take();
        if is_silent(self.last_data, self.clock.now()) {
            if let Some(permit) = permit {
                permit.end_silent();
            }
        }
        BodyTruncated::AtDeadline
    }

    /// Deadline of the answer.
    #[must_use]
    pub fn deadline(&self) -> AnswerDeadline {
        self.deadline
    }

    /// Returns the connection to the pool and ends the run.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            if self.is_reusable {
                self.pool.put_back(connection, self.clock.now());
            }
        }
        if let Some(permit) = self.permit.take() {
            if !self.is_failure {
                permit.end_successful();
            }
        }
    }

    /// Frees the slot, then reads the body of a rejection to its end in the
    /// background, so that the connection can be reused. A body that takes longer
    /// than [`MAX_DRAIN_TIME`] is dropped with its connection.
    pub(super) fn drain_in_background(mut self: Box<Self>) {
        self.permit = None;
        tokio::task::spawn_local(async move {
            let drain = async { while let Ok(Some(_)) = self.next().await {} };
            let _ = tokio::time::timeout(MAX_DRAIN_TIME, drain).await;
        });
    }
}
