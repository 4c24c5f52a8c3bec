//! The daemon's counters, kept with `opentelemetry` and read back through a
//! manual reader for the admin endpoint `/metrics`.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use opentelemetry::metrics::{Counter, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::{AggregatedMetrics, MetricData, ResourceMetrics};
use opentelemetry_sdk::metrics::reader::MetricReader;
use opentelemetry_sdk::metrics::{
    InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
};

/// How a proxied call ended, as counted per service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target answered with a status below 500.
    Answered,
    /// The target answered with a status of 500 or more.
    Failed,
    /// The call certainly did not reach a target.
    NotRun,
    /// The call may or may not have run.
    Unknown,
    /// The call ran before; it got the recorded answer.
    Replayed,
    /// The call was refused as malformed.
    Refused,
}

impl CallOutcome {
    /// The outcome's label in counters.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            CallOutcome::Answered => "answered",
            CallOutcome::Failed => "failed",
            CallOutcome::NotRun => "not_run",
            CallOutcome::Unknown => "unknown",
            CallOutcome::Replayed => "replayed",
            CallOutcome::Refused => "refused",
        }
    }
}

/// Every counter the daemon keeps.
pub struct DaemonCounters {
    reader: Arc<ManualReader>,
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    versions_applied: Counter<u64>,
    versions_rejected: Counter<u64>,
    platform_failures: Counter<u64>,
    control_bytes: Counter<u64>,
    link_bytes_received: Counter<u64>,
    link_bytes_sent: Counter<u64>,
    platform_reads: Counter<u64>,
    platform_writes: Counter<u64>,
    lease_changes: Counter<u64>,
}

impl Default for DaemonCounters {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonCounters {
    /// Creates the counters with their own meter provider.
    #[must_use]
    pub fn new() -> DaemonCounters {
        let reader = Arc::new(ManualReader::builder().build());
        let provider = SdkMeterProvider::builder()
            .with_reader(SharedReader(Arc::clone(&reader)))
            .build();
        let meter = provider.meter("filbertd");
        DaemonCounters {
            reader,
            calls: meter.u64_counter("calls").build(),
            versions_applied: meter.u64_counter("versions_applied").build(),
            versions_rejected: meter.u64_counter("versions_rejected").build(),
            platform_failures: meter.u64_counter("platform_failures").build(),
            control_bytes: meter.u64_counter("control_bytes").with_unit("By").build(),
            link_bytes_received: meter
                .u64_counter("link_bytes_received")
                .with_unit("By")
                .build(),
            link_bytes_sent: meter.u64_counter("link_bytes_sent").with_unit("By").build(),
            platform_reads: meter.u64_counter("platform_reads").build(),
            platform_writes: meter.u64_counter("platform_writes").build(),
            lease_changes: meter.u64_counter("lease_changes").build(),
            _provider: provider,
        }
    }

    /// Counts one proxied call of `service`.
    pub fn record_call(&self, service: &str, outcome: CallOutcome) {
        self.calls.add(
            1,
            &[
                KeyValue::new("service", service.to_owned()),
                KeyValue::new("outcome", outcome.label()),
            ],
        );
    }

    /// Counts an applied version.
    pub fn record_applied_version(&self) {
        self.versions_applied.add(1, &[]);
    }

    /// Counts a version refused as invalid.
    pub fn record_rejected_version(&self) {
        self.versions_rejected.add(1, &[]);
    }

    /// Counts a failed platform call.
    pub fn record_platform_failure(&self) {
        self.platform_failures.add(1, &[]);
    }

    /// Counts configuration bytes received.
    pub fn record_control_bytes(&self, bytes: usize) {
        self.control_bytes.add(bytes as u64, &[]);
    }

    /// Counts bytes of messages received on links between daemons.
    pub fn record_link_bytes_received(&self, bytes: usize) {
        self.link_bytes_received.add(bytes as u64, &[]);
    }

    /// Counts bytes of messages sent on links between daemons.
    pub fn record_link_bytes_sent(&self, bytes: usize) {
        self.link_bytes_sent.add(bytes as u64, &[]);
    }

    /// Counts one read of the platform's table or object store.
    pub fn record_platform_read(&self) {
        self.platform_reads.add(1, &[]);
    }

    /// Counts one write to the platform's table.
    pub fn record_platform_write(&self) {
        self.platform_writes.add(1, &[]);
    }

    /// Counts a lease taken or lost by this daemon.
    pub fn record_lease_change(&self) {
        self.lease_changes.add(1, &[]);
    }

    /// Every counter's current total, keyed `name` or `name{key=value,...}`.
    #[must_use]
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        let mut metrics = ResourceMetrics::default();
        let mut totals = BTreeMap::new();
        if self.reader.collect(&mut metrics).is_err() {
            return totals;
        }
        for scope in metrics.scope_metrics() {
            for metric in scope.metrics() {
                let AggregatedMetrics::U64(MetricData::Sum(sum)) = metric.data() else {
                    continue;
                };
                for point in sum.data_points() {
                    let labels: Vec<String> = point
                        .attributes()
                        .map(|pair| format!("{}={}", pair.key, pair.value))
                        .collect();
                    let key = if labels.is_empty() {
                        metric.name().to_owned()
                    } else {
                        format!("{}{{{}}}", metric.name(), labels.join(","))
                    };
                    totals.insert(key, point.value());
                }
            }
        }
        totals
    }
}

/// Lets the provider own a reader that [`DaemonCounters`] also keeps.
#[derive(Debug)]
struct SharedReader(Arc<ManualReader>);

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.0.register_pipeline(pipeline);
    }

    fn collect(&self, metrics: &mut ResourceMetrics) -> OTelSdkResult {
        self.0.collect(metrics)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}
