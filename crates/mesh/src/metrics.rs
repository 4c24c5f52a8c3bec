//! Metrics of the daemon: counters, gauges and latency histograms of `opentelemetry`,
//! served in the Prometheus text format.

mod answer_faults;
mod clients;
pub mod server;
mod settings;
mod target;

use std::time::Duration;

use filbert_policy::organisations::token_request::QuotaRefusal;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::codec::skipped::SkippedRows;
use crate::supervision::panic_count;
use answer_faults::AnswerFaults;
use clients::{ClientFigures, ClientMetrics};
use settings::SettingsGauges;
use target::{TargetFigures, TargetGauges};

/// Upper bounds of the buckets of the latency histograms, in seconds. The soft
/// deadlines of calls are between 0.1 and 1 s.
const LATENCY_BOUNDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Path of the metrics of all organisations. Those of the busiest ones are among the
/// daemon's metrics.
pub const ORGANISATIONS_PATH: &str = "/metrics/organisations";

/// State of the daemon at one moment, for its gauges.
struct DaemonFigures {
    clients: ClientFigures,
    /// Number of the version in force; 0 if there is none.
    version: u64,
    /// Number of links that are up.
    links: u64,
    /// Number of other hosts known.
    peers: u64,
    /// Number of calls that are held back.
    held_calls: u64,
    /// The target on this host; `None` if there is none.
    target: Option<TargetFigures>,
}

/// Kinds of traffic on links to other availability zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrossZoneCause {
    /// Calls and their bodies.
    Call,
    /// Answers and their bodies.
    Answer,
    /// Replies without an answer: the call was not run, or may have been run.
    Refusal,
    /// State and load of targets.
    Load,
    /// Versions of the configuration, and requests for them.
    Version,
    /// Members of the fleet, and which daemons follow the store.
    Member,
    /// Calls that were in progress when a target ended.
    Suspect,
    /// Records of roll-outs, and the runs that gates counted for them.
    Rollout,
    /// Quotas of organisations: requests for tokens and grants of them.
    Token,
}

impl CrossZoneCause {
    /// Value of the metric label `cause`.
    fn label(self) -> &'static str {
        match self {
            CrossZoneCause::Call => "call",
            CrossZoneCause::Answer => "answer",
            CrossZoneCause::Refusal => "refusal",
            CrossZoneCause::Load => "load",
            CrossZoneCause::Version => "version",
            CrossZoneCause::Member => "member",
            CrossZoneCause::Suspect => "suspect",
            CrossZoneCause::Rollout => "rollout",
            CrossZoneCause::Token => "token",
        }
    }
}

/// Whether a call that one zone takes instead of another was sent or received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCallDirection {
    /// Sent to the other zone because of its part of this zone's calls.
    Sent,
    /// Received from the other zone, for any reason.
    Received,
}

impl ZoneCallDirection {
    /// Value of the metric label `direction`.
    fn label(self) -> &'static str {
        match self {
            ZoneCallDirection::Sent => "sent",
            ZoneCallDirection::Received => "received",
        }
    }
}

/// All metric instruments of the daemon, and the registry that holds them.
pub struct MeshMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    call_time: Histogram<f64>,
    answer_faults: AnswerFaults,
    clients: ClientMetrics,
    settings: SettingsGauges,
    attempts: Counter<u64>,
    gate_calls: Counter<u64>,
    gate_wait: Histogram<f64>,
    run_time: Histogram<f64>,
    store_calls: Counter<u64>,
    cross_zone_bytes: Counter<u64>,
    zone_calls: Counter<u64>,
    quarantine_changes: Counter<u64>,
    held_calls: Gauge<u64>,
    rollout_stages: Counter<u64>,
    key_checks: Counter<u64>,
    quota_refusals: Counter<u64>,
    version: Gauge<u64>,
    target: TargetGauges,
    links: Gauge<u64>,
    peers: Gauge<u64>,
    memory_bytes: Gauge<u64>,
    panics: Gauge<u64>,
    /// Rows of the store that cannot be read.
    pub skipped_rows: SkippedRows,
}

impl MeshMetrics {
    /// Creates the instruments in a registry of their own.
    ///
    /// # Panics
    /// Never: registering fails only for a name that is in use, and the registry is new.
    #[must_use]
    pub fn new() -> MeshMetrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts every name");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("filbertd");
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let latency = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        MeshMetrics {
            calls: counter("filbert.calls", "Calls of clients, by service and outcome"),
            call_time: latency("filbert.call.duration", "Time to answer clients' calls"),
            answer_faults: AnswerFaults::new(&meter),
            clients: ClientMetrics::new(&meter),
            settings: SettingsGauges::new(&meter),
            attempts: counter(
                "filbert.attempts",
                "Attempts at targets, by service and ending",
            ),
            gate_calls: counter("filbert.gate.calls", "Calls at the gate, by verdict"),
            gate_wait: latency("filbert.gate.wait", "Time that calls waited at the gate"),
            run_time: latency(
                "filbert.gate.run",
                "Time from sending a call to its answer's head",
            ),
            store_calls: counter(
                "filbert.store.calls",
                "Calls to the store, by subject and outcome",
            ),
            cross_zone_bytes: counter(
                "filbert.zone.bytes",
                "Bytes over own links to other availability zones, by cause",
            ),
            zone_calls: counter(
                "filbert.zone.calls",
                "Calls sent to other availability zones to share load, and calls received",
            ),
            rollout_stages: counter("filbert.rollouts", "Stages of roll-outs, by service"),
            key_checks: counter(
                "filbert.keyed.calls",
                "Calls that need a key, by what became of it",
            ),
            quota_refusals: counter(
                "filbert.quota.refusals",
                "Calls over their organisation's limit, by why they got no token",
            ),
            quarantine_changes: counter(
                "filbert.quarantine.changes",
                "Calls suspected, held back, refused and cleared",
            ),
            held_calls: gauge("filbert.quarantine.held", "Calls held back now"),
            version: gauge("filbert.version", "The version in force"),
            target: TargetGauges::new(&meter),
            links: gauge("filbert.links", "Links to other daemons that are up"),
            peers: gauge("filbert.peers", "Other daemons known"),
            skipped_rows: SkippedRows::new(&meter),
            panics: gauge("filbert.panics", "Panics of tasks since the daemon's start"),
            memory_bytes: meter
                .u64_gauge("process.resident_memory")
                .with_unit("By")
                .with_description("Resident memory")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Counts a client's call that ended with `outcome`, and records how long it took.
    pub fn record_call(&self, service: &str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.calls.add(1, &labels);
        self.call_time.record(took.as_secs_f64(), &labels[..1]);
    }

    /// Counts an answer that ended before its end.
    pub fn record_answer_fault(&self, reason: &'static str) {
        self.answer_faults.record(reason);
    }

    /// Sets the number of changed settings that take a restart.
    pub fn set_unfollowed_keys(&self, count: usize) {
        self.settings.set_unfollowed_keys(count);
    }

    /// Sets whether the settings name an address of the store that is not in force.
    pub fn set_unfollowed_store(&self, is_pending: bool) {
        self.settings.set_unfollowed_store(is_pending);
    }

    /// Counts an attempt that ended at a target of `service` with `end`.
    pub fn record_attempt(&self, service: &str, end: &'static str) {
        self.attempts.add(
            1,
            &[
                KeyValue::new("service", service.to_owned()),
                KeyValue::new("end", end),
            ],
        );
    }

    /// Counts that the roll-out of `service` entered `stage`.
    pub fn record_rollout_stage(&self, service: &str, stage: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("stage", stage),
        ];
        self.rollout_stages.add(1, &labels);
    }

    /// Counts a call at the gate, by what the gate decided or how the run ended.
    pub fn record_gate_verdict(&self, verdict: &'static str) {
        self.gate_calls.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Records how long a call waited at the gate, and the time from sending it to the
    /// target until the head of the answer.
    pub fn record_run(&self, waited: Duration, took: Duration) {
        self.gate_wait.record(waited.as_secs_f64(), &[]);
        self.run_time.record(took.as_secs_f64(), &[]);
    }

    /// Counts a call to the store, by its subject and outcome.
    pub fn record_store_call(&self, subject: &'static str, outcome: &'static str) {
        self.store_calls.add(
            1,
            &[
                KeyValue::new("subject", subject),
                KeyValue::new("outcome", outcome),
            ],
        );
    }

    /// Counts bytes sent to or received from another availability zone over a link that
    /// this daemon opened, without the overhead of the transport.
    pub fn record_cross_zone_bytes(&self, cause: CrossZoneCause, bytes: usize) {
        let labels = [KeyValue::new("cause", cause.label())];
        self.cross_zone_bytes.add(bytes as u64, &labels);
    }

    /// Counts a call sent to or received from another availability zone.
    pub fn record_zone_call(&self, direction: ZoneCallDirection, zone: &str) {
        let labels = [
            KeyValue::new("direction", direction.label()),
            KeyValue::new("zone", zone.to_owned()),
        ];
        self.zone_calls.add(1, &labels);
    }

    /// Counts a client's connection that was ended, or a call that was refused, to make room.
    pub fn record_ended_connection(&self, reason: &'static str) {
        self.clients.record_ended(reason);
    }

    /// Counts a change in the quarantine of a call that was in progress when targets
    /// ended.
    pub fn record_quarantine_change(&self, change: &'static str) {
        self.quarantine_changes
            .add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a call that needs an API key, by the verdict on the key.
    pub fn record_key_check(&self, verdict: &'static str) {
        self.key_checks.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts a call that got no token, by the reason.
    pub fn record_quota_refusal(&self, refusal: QuotaRefusal) {
        let reason = KeyValue::new("reason", refusal.label());
        self.quota_refusals.add(1, &[reason]);
    }

    /// Updates the gauges from `figures`, and returns the metrics in the Prometheus text
    /// format.
    fn render(&self, figures: &DaemonFigures) -> String {
        self.clients.record(&figures.clients);
        self.version.record(figures.version, &[]);
        self.links.record(figures.links, &[]);
        self.peers.record(figures.peers, &[]);
        self.held_calls.record(figures.held_calls, &[]);
        if let Some(target) = &figures.target {
            self.target.record(target);
        }
        self.panics.record(panic_count(), &[]);
        if let Some(bytes) = resident_memory_bytes() {
            self.memory_bytes.record(bytes, &[]);
        }
        let mut out = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::error!("event=metrics_failed error=\"{error}\"");
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

impl Default for MeshMetrics {
    fn default() -> Self {
        MeshMetrics::new()
    }
}

/// Returns the resident memory of the process in bytes; `None` if `/proc` does not
/// state it.
fn resident_memory_bytes() -> Option<u64> {
    /// Size of a memory page on the hosts that the daemon runs on.
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
