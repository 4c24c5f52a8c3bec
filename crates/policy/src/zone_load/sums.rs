//! Adds up the loads of hosts by service, and keeps the sums of the zones with their age.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::demand::SteadyLoad;
use super::shares::ZoneLoad;

/// Age from which a report or a sum counts as absent.
pub const MAX_LOAD_AGE: Duration = Duration::from_secs(2);
/// Age of the latest sum of a reader from which the sums of another reader of its zone are
/// used. Two sums may be late.
const MAX_READER_AGE: Duration = Duration::from_millis(1_200);
/// Maximum number of services in a report or a sum. With four zones and two readers in
/// each, a daemon gets 16 sums a second of half a KB at most.
pub const MAX_SERVICES: usize = 16;
/// Maximum number of zones whose sums are kept, and of readers of each.
const MAX_SOURCES: usize = 64;
/// Maximum number of hosts whose reports a reader keeps; a zone has some 600.
const MAX_HOSTS: usize = 4_096;
/// Maximum length of the name of a service, zone or host, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Time from the first report on a service in which the other hosts of the zone report on
/// it: they are told of the service, and report at most every half second.
const COMPLETION_TIME: Duration = Duration::from_millis(600);

/// Load of one service, on one host or in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Whether a daemon there has seen the service use most of its capacity. Otherwise
    /// it is reported because this is so in another zone.
    pub is_pressed: bool,
    /// Whether all hosts of the zone have had the time to report. Always true in the
    /// report of a host.
    pub is_complete: bool,
    /// Demand and capacity.
    pub load: ZoneLoad,
}

/// Removes the loads that cannot be used. Returns why the first of them cannot; `None` if
/// all can.
pub fn remove_unusable(loads: &mut Vec<ServiceLoad>) -> Option<&'static str> {
    let mut fault = None;
    loads.retain(|load| {
        let found = find_fault(load);
        fault = fault.or(found);
        found.is_none()
    });
    if loads.len() > MAX_SERVICES {
        loads.truncate(MAX_SERVICES);
        fault = fault.or(Some("too many services"));
    }
    fault
}

fn find_fault(load: &ServiceLoad) -> Option<&'static str> {
    if load.service.len() > MAX_NAME_BYTES {
        Some("the name of a service is too long")
    } else if load.load.is_valid() {
        None
    } else {
        Some("a load is negative, too large or not a number")
    }
}

/// The latest reports of the hosts of a zone, at one reader.
#[derive(Debug, Default)]
pub struct HostReports {
    reports: BTreeMap<String, (Vec<ServiceLoad>, Instant)>,
    services: BTreeMap<String, ReportedService>,
}

/// What a reader keeps of a service between sums.
#[derive(Clone, Copy, Debug)]
struct ReportedService {
    demand: SteadyLoad,
    reported_since: Instant,
}

impl HostReports {
    /// Whether there are no reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Replaces the report of `host`. It is ignored if there are too many hosts.
    pub fn record(&mut self, host: &str, loads: Vec<ServiceLoad>, now: Instant) {
        if self.reports.len() >= MAX_HOSTS && !self.reports.contains_key(host) {
            return;
        }
        self.reports.insert(host.to_owned(), (loads, now));
    }

    /// Adds up the reports by service. If there are more services than a sum may have,
    /// those with the largest demand for their capacity are kept.
    pub fn sum(&mut self, now: Instant) -> Vec<ServiceLoad> {
        self.reports
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < MAX_LOAD_AGE);
        let mut sums: BTreeMap<&str, (bool, ZoneLoad)> = BTreeMap::new();
        for report in self.reports.values().flat_map(|(loads, _)| loads) {
            let (is_pressed, sum) = sums.entry(&report.service).or_default();
            *is_pressed |= report.is_pressed;
            sum.add(&report.load);
        }
        self.services
            .retain(|service, _| sums.contains_key(service.as_str()));
        let mut loads = Vec::new();
        for (service, (is_pressed, mut load)) in sums {
            let reported = self
                .services
                .entry(service.to_owned())
                .or_insert(ReportedService {
                    demand: SteadyLoad::new(load.demand, now),
                    reported_since: now,
                });
            load.demand = reported.demand.follow(load.demand, now);
            let reported_for = now.saturating_duration_since(reported.reported_since);
            loads.push(ServiceLoad {
                service: service.to_owned(),
                is_pressed,
                is_complete: reported_for >= COMPLETION_TIME,
                load,
            });
        }
        let excess = |entry: &ServiceLoad| entry.load.demand - entry.load.capacity;
        loads.sort_by(|a, b| {
            let by_excess = excess(b).total_cmp(&excess(a));
            b.is_pressed.cmp(&a.is_pressed).then(by_excess)
        });
        loads.truncate(MAX_SERVICES);
        loads
    }
}

/// The sum of one zone, as one of its readers has computed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneSum {
    /// Name of the zone.
    pub zone: String,
    /// Host of the reader.
    pub reader: String,
    /// Random number of the reader's process, and the number of the sum in it.
    pub sequence: (u64, u64),
    /// Time since the sum was computed.
    pub age: Duration,
    /// Loads by service.
    pub loads: Vec<ServiceLoad>,
}

/// The latest sums of all zones, by zone and reader.
#[derive(Debug, Default)]
pub struct ZoneSums {
    sums: BTreeMap<(String, String), (ZoneSum, Instant)>,
}

impl ZoneSums {
    /// Records a sum that arrived at `now`. Returns whether it was not known yet.
    pub fn record(&mut self, sum: ZoneSum, now: Instant) -> bool {
        self.remove_old(now);
        let Some(computed_at) = now.checked_sub(sum.age) else {
            return false;
        };
        let is_named = sum.zone.len().max(sum.reader.len()) <= MAX_NAME_BYTES;
        if sum.age >= MAX_LOAD_AGE || !is_named {
            return false;
        }
        let key = (sum.zone.clone(), sum.reader.clone());
        let is_known = self.sums.get(&key).is_some_and(|(known, _)| {
            known.sequence.0 == sum.sequence.0 && known.sequence.1 >= sum.sequence.1
        });
        let is_full = self.sums.len() >= MAX_SOURCES && !self.sums.contains_key(&key);
        if is_known || is_full {
            return false;
        }
        self.sums.insert(key, (sum, computed_at));
        true
    }

    /// Removes the sums that count as absent.
    pub fn remove_old(&mut self, now: Instant) {
        self.sums
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < MAX_LOAD_AGE);
    }

    /// All services of which a load is known.
    #[must_use]
    pub fn services(&self) -> BTreeSet<String> {
        let all = self.sums.values().flat_map(|(sum, _)| &sum.loads);
        all.map(|load| load.service.clone()).collect()
    }

    /// The services that are pressed in any zone.
    #[must_use]
    pub fn pressed_services(&self) -> BTreeSet<String> {
        let all = self.sums.values().flat_map(|(sum, _)| &sum.loads);
        let pressed = all.filter(|load| load.is_pressed);
        pressed.map(|load| load.service.clone()).collect()
    }

    /// The reader whose sums of `zone` are used: the first by name that has heard of all
    /// hosts, unless its latest sum is older than [`MAX_READER_AGE`]. All daemons thereby
    /// use the same sums, as two readers differ.
    #[must_use]
    pub fn used_reader(&self, zone: &str, now: Instant) -> Option<&str> {
        let of_zone = || self.sums.iter().filter(|((of, _), _)| of == zone);
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MAX_READER_AGE;
        let is_complete = |sum: &ZoneSum| sum.loads.iter().any(|load| load.is_complete);
        let recent = of_zone().find(|(_, (sum, at))| is_recent(at) && is_complete(sum));
        let used = recent.or_else(|| of_zone().max_by_key(|(_, (_, at))| *at));
        used.map(|((_, reader), _)| reader.as_str())
    }

    /// The loads of `service`, by zone, and the age of the oldest of these.
    #[must_use]
    pub fn loads_of(&self, service: &str, now: Instant) -> (BTreeMap<String, ZoneLoad>, Duration) {
        let mut loads = BTreeMap::new();
        let mut oldest = now;
        for ((zone, reader), (sum, at)) in &self.sums {
            let is_wanted = |load: &&ServiceLoad| load.is_complete && load.service == service;
            let Some(found) = sum.loads.iter().find(is_wanted) else {
                continue;
            };
            if self.used_reader(zone, now) == Some(reader) {
                loads.insert(zone.clone(), found.load);
                oldest = oldest.min(*at);
            }
        }
        (loads, now.saturating_duration_since(oldest))
    }
}
