//! Metric of the answers that ended before their end.

use opentelemetry::metrics::{Counter, Meter};
use opentelemetry::KeyValue;

/// Counter of the answers that ended before their end.
pub struct AnswerFaults {
    answers: Counter<u64>,
}

impl AnswerFaults {
    /// Creates the counter.
    #[must_use]
    pub fn new(meter: &Meter) -> AnswerFaults {
        AnswerFaults {
            answers: meter
                .u64_counter("filbert.answers.cut")
                .with_description("Answers that ended before their end, by reason")
                .build(),
        }
    }

    /// Counts an answer that ended early for `reason`.
    pub fn record(&self, reason: &'static str) {
        self.answers.add(1, &[KeyValue::new("reason", reason)]);
    }
}
