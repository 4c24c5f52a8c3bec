//! Metrics of the clients' connections.

use opentelemetry::metrics::{Counter, Gauge, Meter};
use opentelemetry::KeyValue;

use crate::clients::ClientTable;

/// Counter and gauges of the clients' connections.
pub(super) struct ClientMetrics {
    connections: Gauge<u64>,
    held_bytes: Gauge<u64>,
    max_held_bytes: Gauge<u64>,
    ended: Counter<u64>,
}

impl ClientMetrics {
    pub(super) fn new(meter: &Meter) -> ClientMetrics {
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        ClientMetrics {
            connections: gauge("filbert.clients.connections", "Connections of clients"),
            held_bytes: gauge(
                "filbert.clients.held_bytes",
                "Memory that is charged for calls and answers of clients",
            ),
            max_held_bytes: gauge(
                "filbert.clients.max_held_bytes",
                "Memory that may be charged for calls and answers of clients",
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
    pub(super) fn record(&self, clients: &ClientTable) {
        self.connections
            .record(clients.connection_count() as u64, &[]);
        self.held_bytes.record(clients.held_bytes(), &[]);
        self.max_held_bytes.record(clients.max_held_bytes(), &[]);
    }
}
