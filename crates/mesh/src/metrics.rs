//! Counters and latency histograms, kept with `opentelemetry` and served as
//! text in the Prometheus format.

use std::rc::Rc;
use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tokio::net::TcpListener;

use crate::small_server::{accept_for_ever, serve_requests, SmallAnswer};
use crate::state::MeshShared;

/// Upper bounds of the latency histograms, in seconds: the aims of calls lie
/// between 0.1 and 1.
const LATENCY_BOUNDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// What bytes on a link to another availability zone are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrossZoneCause {
    /// A call and its body.
    Call,
    /// An answer and its body.
    Answer,
    /// Word that a call was not run, or may have been.
    Refusal,
    /// How busy a target is.
    Load,
    /// Versions of the configuration, and asking for them.
    Version,
    /// Which hosts there are, and who follows the store.
    Member,
    /// Which calls were at work as targets ended.
    Suspect,
    /// How far roll-outs are, and what gates counted.
    Rollout,
    /// What organisations may run.
    Token,
}

impl CrossZoneCause {
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

/// Every instrument of the daemon.
pub struct MeshMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    call_time: Histogram<f64>,
    attempts: Counter<u64>,
    gate: Counter<u64>,
    gate_wait: Histogram<f64>,
    run_time: Histogram<f64>,
    store_calls: Counter<u64>,
    zone_bytes: Counter<u64>,
    quarantined: Counter<u64>,
    held: Gauge<u64>,
    rollouts: Counter<u64>,
    keyed: Counter<u64>,
    version: Gauge<u64>,
    running: Gauge<u64>,
    waiting: Gauge<u64>,
    failure_rate: Gauge<f64>,
    links: Gauge<u64>,
    peers: Gauge<u64>,
    memory: Gauge<u64>,
}

impl MeshMetrics {
    /// Creates the instruments in a registry of their own.
    ///
    /// # Panics
    /// Never: the registry is new, so no name is taken.
    #[must_use]
    pub fn new() -> MeshMetrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry takes every name");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("filbertd");
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let latency = |name: &'static str, text: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(text)
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        MeshMetrics {
            calls: counter("filbert.calls", "Calls of clients, by service and outcome"),
            call_time: latency("filbert.call.duration", "Time to answer clients' calls"),
            attempts: counter(
                "filbert.attempts",
                "Attempts at targets, by service and ending",
            ),
            gate: counter("filbert.gate.calls", "Calls at the gate, by verdict"),
            gate_wait: latency("filbert.gate.wait", "Time that calls waited at the gate"),
            run_time: latency(
                "filbert.gate.run",
                "Time from sending a call to its answer's head",
            ),
            store_calls: counter(
                "filbert.store.calls",
                "Calls to the store, by subject and outcome",
            ),
            zone_bytes: counter(
                "filbert.zone.bytes",
                "Bytes over own links to other availability zones, by cause",
            ),
            rollouts: counter("filbert.rollouts", "Stages of roll-outs, by service"),
            keyed: counter(
                "filbert.keyed.calls",
                "Calls that need a key, by what became of it",
            ),
            quarantined: counter(
                "filbert.quarantine.changes",
                "Calls suspected, held back, refused and cleared",
            ),
            held: gauge("filbert.quarantine.held", "Calls held back now"),
            version: gauge("filbert.version", "The version in force"),
            running: gauge("filbert.gate.running", "Calls at the target"),
            waiting: gauge("filbert.gate.waiting", "Calls that wait for the target"),
            failure_rate: meter
                .f64_gauge("filbert.target.ill_share")
                .with_description("Share of the target's recent runs that ended ill")
                .build(),
            links: gauge("filbert.links", "Links to other daemons that are up"),
            peers: gauge("filbert.peers", "Other daemons known"),
            memory: meter
                .u64_gauge("process.resident_memory")
                .with_unit("By")
                .with_description("Resident memory")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Counts the end of a client's call.
    pub fn record_call(&self, service: &str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.calls.add(1, &labels);
        self.call_time.record(took.as_secs_f64(), &labels[..1]);
    }

    /// Counts the end of an attempt at a target.
    pub fn record_attempt(&self, service: &str, end: &'static str) {
        self.attempts.add(
            1,
            &[
                KeyValue::new("service", service.to_owned()),
                KeyValue::new("end", end),
            ],
        );
    }

    /// Counts a stage of the roll-out of `service`.
    pub fn record_rollout_stage(&self, service: &str, stage: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("stage", stage),
        ];
        self.rollouts.add(1, &labels);
    }

    /// Counts what became of a call at the gate.
    pub fn record_gate_verdict(&self, verdict: &'static str) {
        self.gate.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts a run: how long its call waited, and how long it took.
    pub fn record_run(&self, waited: Duration, took: Duration) {
        self.gate_wait.record(waited.as_secs_f64(), &[]);
        self.run_time.record(took.as_secs_f64(), &[]);
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, subject: &'static str, outcome: &'static str) {
        self.store_calls.add(
            1,
            &[
                KeyValue::new("subject", subject),
                KeyValue::new("outcome", outcome),
            ],
        );
    }

    /// Counts bytes, without those of the transport, that went to another
    /// availability zone or came from there over a link that this daemon opened.
    pub fn record_cross_zone_bytes(&self, cause: CrossZoneCause, bytes: usize) {
        let labels = [KeyValue::new("cause", cause.label())];
        self.zone_bytes.add(bytes as u64, &labels);
    }

    /// Counts what became of a call that was at work as targets ended.
    pub fn record_quarantine_change(&self, change: &'static str) {
        self.quarantined.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a call that needs a key.
    pub fn record_key_check(&self, verdict: &'static str) {
        self.keyed.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    fn text(&self, shared: &MeshShared) -> String {
        self.version.record(shared.versions.number(), &[]);
        self.links.record(shared.peers.linked() as u64, &[]);
        self.peers.record((shared.members.count() - 1) as u64, &[]);
        self.held.record(shared.quarantine.held() as u64, &[]);
        if let Some(status) = shared.gate.status() {
            self.running.record(u64::from(status.load.running), &[]);
            self.waiting.record(u64::from(status.load.waiting), &[]);
            self.failure_rate.record(status.load.failure_rate, &[]);
        }
        if let Some(bytes) = resident_memory() {
            self.memory.record(bytes, &[]);
        }
        let mut out = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::error!("event=metrics_failed error=\"{error}\"");
        }
        String::from_utf8_lossy(&out).into_owned() + &shared.organisations.counts.text()
    }
}

impl Default for MeshMetrics {
    fn default() -> Self {
        MeshMetrics::new()
    }
}

/// Resident memory in bytes, where the system tells it.
fn resident_memory() -> Option<u64> {
    /// Bytes of a page on the hosts that the daemon runs on.
    const PAGE: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

/// Serves the metrics until the process ends.
pub async fn serve(shared: Rc<MeshShared>, listener: TcpListener) {
    accept_for_ever("metrics", listener, |stream| {
        let shared = Rc::clone(&shared);
        serve_requests(stream, move |_, _| SmallAnswer {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body: shared.metrics.text(&shared),
        })
    })
    .await;
}
