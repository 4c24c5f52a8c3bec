//! The load of services by availability zone, as the daemons' metrics state it.

use std::collections::BTreeMap;

use serde::Serialize;

/// Load of a service in one zone. Demand and capacity are in slots of usual speed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ZoneServiceLoad {
    /// Slots that the calls that begin in the zone need.
    pub demand: f64,
    /// Slots of the zone's open targets, each divided by its slowdown and pace.
    pub capacity: f64,
    /// Slots of the zone's open targets.
    pub slots: f64,
    /// Number of the zone's open targets.
    pub targets: f64,
    /// Slowdown of the zone's open targets at their pace now; 1 is the usual speed of all
    /// targets, `None` without open targets.
    pub slowdown: Option<f64>,
    /// Parts of the zone's calls that other zones take, by zone.
    pub sent_to: BTreeMap<String, f64>,
}

/// Loads by service and zone.
pub type ServiceLoads = BTreeMap<String, BTreeMap<String, ZoneServiceLoad>>;

/// Adds the loads in a daemon's metrics to `loads`. Where daemons differ, the last one
/// applies. Samples that do not parse are skipped.
pub fn add_service_loads(text: &str, loads: &mut ServiceLoads) {
    for line in text.lines() {
        let Some((labels, value)) = sample_of(line, "filbert_zone_load{") else {
            if let Some((labels, part)) = sample_of(line, "filbert_zone_share{") {
                if let [service, from, to] = labels.as_slice() {
                    let zone = zone_load(loads, service, from);
                    zone.sent_to.insert(to.clone(), part);
                }
            }
            continue;
        };
        let [service, zone, figure] = labels.as_slice() else {
            continue;
        };
        let load = zone_load(loads, service, zone);
        match figure.as_str() {
            "demand" => load.demand = value,
            "capacity" => load.capacity = value,
            "slots" => load.slots = value,
            "targets" => load.targets = value,
            _ => {}
        }
        load.slowdown = (load.capacity > 0.0).then(|| load.slots / load.capacity);
    }
}

fn zone_load<'a>(
    loads: &'a mut ServiceLoads,
    service: &str,
    zone: &str,
) -> &'a mut ZoneServiceLoad {
    let zones = loads.entry(service.to_owned()).or_default();
    zones.entry(zone.to_owned()).or_default()
}

/// Returns the label values and the value of the sample on `line` if it is one of the
/// metric whose name and opening brace are `name`.
fn sample_of(line: &str, name: &str) -> Option<(Vec<String>, f64)> {
    let (labels, value) = line.strip_prefix(name)?.rsplit_once("} ")?;
    let values = labels
        .split(',')
        .filter_map(|label| Some(label.split_once("=\"")?.1.trim_end_matches('"').to_owned()));
    Some((values.collect(), value.parse().ok()?))
}
