//! Metrics of the sums and parts that this daemon uses.

use std::fmt::Write;
use std::time::Instant;

use filbert_policy::zone_load::shares::ZoneLoad;

use super::ZoneLoadState;

/// Maximum number of services in the metrics: the number of time series must not grow
/// with the number of services.
const MAX_REPORTED_SERVICES: usize = 16;

impl ZoneLoadState {
    /// Returns the loads by zone and the parts of `own` zone's calls in the Prometheus
    /// text format; empty while no service uses most of its capacity.
    #[must_use]
    pub fn metrics_text(&self, own: &str, now: Instant) -> String {
        let sums = self.sums.borrow();
        let shares = self.shares.borrow();
        let mut text = String::new();
        for service in sums.services().iter().take(MAX_REPORTED_SERVICES) {
            let (loads, age) = sums.loads_of(service, now);
            for (zone, load) in &loads {
                write_load(&mut text, service, zone, load);
            }
            let parts = shares
                .get(service)
                .map_or(&[][..], |found| found.parts_of(own));
            for (to, part) in parts {
                // Writing to a `String` does not fail.
                let _ = writeln!(
                    text,
                    "filbert_zone_share{{service={service:?},from={own:?},to={to:?}}} {part}"
                );
            }
            let age_s = age.as_secs_f64();
            let _ = writeln!(text, "filbert_zone_load_age{{service={service:?}}} {age_s}");
        }
        text
    }
}

fn write_load(text: &mut String, service: &str, zone: &str, load: &ZoneLoad) {
    let figures = [
        ("demand", load.demand),
        ("capacity", load.capacity),
        ("slots", f64::from(load.slots)),
        ("targets", f64::from(load.open_targets)),
    ];
    for (figure, value) in figures {
        // Writing to a `String` does not fail.
        let _ = writeln!(
            text,
            "filbert_zone_load{{service={service:?},zone={zone:?},figure=\"{figure}\"}} {value}"
        );
    }
}
