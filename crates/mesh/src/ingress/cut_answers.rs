//! Counts and logs the answers that end before their end.

use std::time::Duration;

use super::answers::AnswerFault;
use crate::logging::LinePriority;
use crate::state::MeshShared;

/// Reports an answer that is being written, unless it is written to its end.
///
/// Dropping it reports that the client has left, which the reader of the connection notices
/// first and ends the writer, or that a planned stop has ended the process.
pub(super) struct CutAnswerReport<'a> {
    shared: &'a MeshShared,
    /// Id of the call.
    id: &'a str,
    has_ended: bool,
}

impl<'a> CutAnswerReport<'a> {
    pub(super) fn new(shared: &'a MeshShared, id: &'a str) -> CutAnswerReport<'a> {
        CutAnswerReport {
            shared,
            id,
            has_ended: false,
        }
    }

    /// Ends the report with the outcome of writing the answer, and returns that.
    pub(super) fn end<T>(mut self, outcome: Result<T, AnswerFault>) -> Result<T, AnswerFault> {
        self.has_ended = true;
        outcome.inspect_err(|fault| self.write(fault))
    }

    fn write(&self, fault: &AnswerFault) {
        let (id, reason) = (self.id, fault.label());
        self.shared.metrics.record_answer_fault(reason);
        let now = self.shared.clock.now();
        if self.shared.log_limiter.allows(LinePriority::Notable, now) {
            log::info!("event=answer_cut request={id} reason={reason}");
        }
    }
}

impl Drop for CutAnswerReport<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let time_to_exit = self.shared.stop.time_to_exit(self.shared.clock.now());
        self.write(&match time_to_exit {
            Some(Duration::ZERO) => AnswerFault::ProcessEnded,
            _ => AnswerFault::Disconnected,
        });
    }
}
