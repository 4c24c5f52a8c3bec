//! Counters of the daemon. They are `opentelemetry` instruments; a manual reader
//! collects their totals for the admin endpoint `/metrics`.

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

/// Outcome of a proxied call. Calls are counted by service and outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target answered with a status below 500.
    Answered,
    /// The target answered with a status of 500 or more.
    Failed,
    /// No target ran the call.
    NotRun,
    /// A target may have run the call.
    Unknown,
    /// An earlier attempt ran the call, and its recorded answer was returned.
    Replayed,
    /// The call was refused because it was malformed.
    Refused,
}

impl CallOutcome {
    /// Value of the `outcome` label in the `calls` counter.
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

/// All counters of the daemon.
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
    /// Creates the counters, all 0, with a meter provider of their own.
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

    /// Counts one proxied call to `service`.
    pub fn record_call(&self, service: &str, outcome: CallOutcome) {
        self.calls.add(
            1,
            &[
                KeyValue::new("service", service.to_owned()),
                KeyValue::new("outcome", outcome.label()),
            ],
        );
    }

    /// Counts one applied settings version.
    pub fn record_applied_version(&self) {
        self.versions_applied.add(1, &[]);
    }

    /// Counts one settings version that was rejected as invalid.
    pub fn record_rejected_version(&self) {
        self.versions_rejected.add(1, &[]);
    }

    /// Counts one change from a reachable to an unreachable platform. Further failed
    /// calls are not counted while the platform is unreachable.
    pub fn record_platform_outage(&self) {
        self.platform_failures.add(1, &[]);
    }

    /// Counts the size of an applied settings version, in bytes as received.
    pub fn record_control_bytes(&self, bytes: usize) {
        self.control_bytes.add(bytes as u64, &[]);
    }

    /// Counts bytes received on links between daemons.
    pub fn record_link_bytes_received(&self, bytes: usize) {
        self.link_bytes_received.add(bytes as u64, &[]);
    }

    /// Counts bytes of frames to be sent on links between daemons.
    pub fn record_link_bytes_sent(&self, bytes: usize) {
        self.link_bytes_sent.add(bytes as u64, &[]);
    }

    /// Counts one read from the platform's table or object store.
    pub fn record_platform_read(&self) {
        self.platform_reads.add(1, &[]);
    }

    /// Counts one write to the platform's table.
    pub fn record_platform_write(&self) {
        self.platform_writes.add(1, &[]);
    }

    /// Counts one acquisition or loss of the zone's lease by this daemon.
    pub fn record_lease_change(&self) {
        self.lease_changes.add(1, &[]);
    }

    /// Returns the total of each counter that has been incremented. Keys have the form
    /// `name` or `name{label=value,...}`. The map is empty if collecting the totals fails.
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

/// Shares one reader between the meter provider, which takes ownership of its reader,
/// and [`DaemonCounters`], which collects from it.
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
