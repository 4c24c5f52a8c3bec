//! Metrics of what the process holds for clients, and of what it may hold.

use filbert_policy::client_budget::ResourceLimits;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use opentelemetry::KeyValue;

/// What is held for clients at one moment.
pub(super) struct ClientFigures {
    pub(super) limits: ResourceLimits,
    pub(super) connections: usize,
    /// Memory that is charged for calls and answers of clients, in bytes.
    pub(super) held_bytes: u64,
    pub(super) calls_ahead: usize,
    /// Answers that are read ahead of their clients, in bytes.
    pub(super) answer_bytes: u64,
    pub(super) max_answer_bytes: u64,
}

/// Counter and gauges of what is held for clients.
pub(super) struct ClientMetrics {
    connections: Gauge<u64>,
    max_connections: Gauge<u64>,
    held_bytes: Gauge<u64>,
    max_held_bytes: Gauge<u64>,
    calls_ahead: Gauge<u64>,
    answer_bytes: Gauge<u64>,
    max_answer_bytes: Gauge<u64>,
    ended: Counter<u64>,
}

impl ClientMetrics {
    pub(super) fn new(meter: &Meter) -> ClientMetrics {
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        ClientMetrics {
            connections: gauge("filbert.clients.connections", "Connections of clients"),
            max_connections: gauge(
                "filbert.clients.max_connections",
                "Connections of clients that may be open",
            ),
            held_bytes: gauge(
                "filbert.clients.held_bytes",
                "Memory that is charged for calls and answers of clients",
            ),
            max_held_bytes: gauge(
                "filbert.clients.max_held_bytes",
                "Memory that may be charged for calls and answers of clients",
            ),
            calls_ahead: gauge(
                "filbert.clients.calls_ahead",
                "Calls read ahead of the answer to an earlier one",
            ),
            answer_bytes: gauge(
                "filbert.answer_buffer.held_bytes",
                "Answers of the target that are read ahead of their clients",
            ),
            max_answer_bytes: gauge(
                "filbert.answer_buffer.max_held_bytes",
                "Answers of the target that may be read ahead of their clients",
            ),
            ended: meter
                .u64_counter("filbert.clients.ended")
                .with_description("Connections ended, and calls refused, to make room")
                .build(),
        }
    }

    /// Counts a connection that was ended, or a call that was refused, for `reason`.
    pub(super) fn record_ended(&self, reason: &'static str) {
        self.ended.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Updates the gauges.
    pub(super) fn record(&self, figures: &ClientFigures) {
        let limits = &figures.limits;
        self.connections.record(figures.connections as u64, &[]);
        self.max_connections.record(limits.connections as u64, &[]);
        self.held_bytes.record(figures.held_bytes, &[]);
        self.max_held_bytes.record(limits.held_bytes, &[]);
        self.calls_ahead.record(figures.calls_ahead as u64, &[]);
        self.answer_bytes.record(figures.answer_bytes, &[]);
        self.max_answer_bytes.record(figures.max_answer_bytes, &[]);
    }
}
