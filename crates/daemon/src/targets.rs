//! Target selection: the announced targets of the proxy's zone, and the calls
//! in flight, load and health that this proxy observed for each target.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use filbert_store::TargetRecord;
use rand::seq::IndexedRandom;

/// Consecutive failed calls after which a target is ejected, that is, gets no
/// calls for a limited time.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
/// Duration of a target's first ejection; each further failure in a row
/// doubles the duration.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Ejection time of a target that declined a call, for example to shed load.
/// A target that sheds load looks idle, so without the ejection every call
/// would try that target first and spend a retry.
const DECLINED_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Upper limit of an ejection's duration.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Number of targets drawn at random for each call; the least loaded of the
/// drawn targets gets the call ("power of two choices").
const RANDOM_CHOICES: usize = 2;
/// Age up to which a load reported in an answer is used. When the report is
/// older, the load in the target's record is used instead.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// Time during which a target counts as cold, from when this proxy first
/// considers the target for a call.
const COLD_PERIOD: Duration = Duration::from_secs(3);
/// Load added to a cold target's own load when targets are compared.
const COLD_LOAD_PENALTY: u32 = 3;

/// An immutable view of the zone's targets, grouped by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneTargets {
    by_service: BTreeMap<String, Vec<TargetRecord>>,
}

impl ZoneTargets {
    /// Builds the view from `records`, from which the caller has removed
    /// expired ones.
    #[must_use]
    pub fn from_records<'a>(records: impl IntoIterator<Item = &'a TargetRecord>) -> ZoneTargets {
        let mut by_service: BTreeMap<String, Vec<TargetRecord>> = BTreeMap::new();
        for record in records {
            by_service
                .entry(record.service.clone())
                .or_default()
                .push(record.clone());
        }
        ZoneTargets { by_service }
    }

    /// Returns the targets of `service` that accept new calls, that is, the
    /// targets that are not leaving.
    pub fn serving<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a TargetRecord> + 'a {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter(|record| !record.leaving)
    }

    /// Returns the number of targets that accept new calls, per service.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<String, usize> {
        self.by_service
            .keys()
            .map(|service| (service.clone(), self.serving(service).count()))
            .collect()
    }
}

/// The outcome of one attempt, as it bears on the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The target answered; `load` is the load reported in the answer, if any.
    Success { load: Option<u32> },
    /// The target declined to run the call, for example to shed load.
    Declined,
    /// No connection to the target could be opened.
    Unreachable,
    /// The target closed the connection before the whole answer
    /// was read, answered with a server error or did not answer in time.
    Failure,
}

/// The state of one target, as this proxy observed it.
#[derive(Clone, Copy, Debug)]
struct TargetEntry {
    /// Slots held, that is, this proxy's calls in flight on the target.
    in_flight: u32,
    /// The last load reported in an answer, and when the answer arrived.
    load: Option<(u32, Instant)>,
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
    first_seen: Instant,
}

impl TargetEntry {
    fn new(now: Instant) -> TargetEntry {
        TargetEntry {
            in_flight: 0,
            load: None,
            consecutive_failures: 0,
            ejected_until: None,
            first_seen: now,
        }
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn expected_load(&self, record: &TargetRecord, now: Instant) -> u32 {
        let current = self
            .load
            .filter(|(_, at)| now.saturating_duration_since(*at) <= LOAD_REPORT_LIFETIME);
        let reported = current.map_or(record.load, |(load, _)| load);
        let cold = now.saturating_duration_since(self.first_seen) < COLD_PERIOD;
        let penalty = if cold { COLD_LOAD_PENALTY } else { 0 };
        reported
            .saturating_add(self.in_flight)
            .saturating_add(penalty)
    }

    fn record_outcome(&mut self, outcome: TargetOutcome, now: Instant) {
        match outcome {
            TargetOutcome::Success { load } => {
                self.consecutive_failures = 0;
                self.ejected_until = None;
                if let Some(load) = load {
                    self.load = Some((load, now));
                }
            }
            TargetOutcome::Declined => self.ejected_until = Some(now + DECLINED_EJECTION_TIME),
            TargetOutcome::Unreachable => {
                // That nobody is there needs no second call to be sure of.
                let failures = self.consecutive_failures.saturating_add(1);
                self.consecutive_failures = failures.max(CONSECUTIVE_FAILURES_TO_EJECT);
                self.eject_if_failing(now);
            }
            TargetOutcome::Failure => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.eject_if_failing(now);
            }
        }
    }

    fn eject_if_failing(&mut self, now: Instant) {
        let ejections = self
            .consecutive_failures
            .checked_sub(CONSECUTIVE_FAILURES_TO_EJECT);
        if let Some(ejections) = ejections {
            let ejection_time = BASE_EJECTION_TIME * 2u32.saturating_pow(ejections.min(8));
            self.ejected_until = Some(now + ejection_time.min(MAX_EJECTION_TIME));
        }
    }
}

/// The observed state of every target, by address.
#[derive(Debug, Default)]
pub struct TargetTable {
    entries: Mutex<HashMap<String, TargetEntry>>,
}

/// A slot held on a target: one of the calls that this proxy may have in flight
/// to the target. Dropping the guard releases the slot.
#[derive(Debug)]
pub struct SlotGuard {
    table: Arc<TargetTable>,
    address: String,
}

impl SlotGuard {
    /// Returns the address of the target on which the slot is held.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut entries = self.table.lock();
        if let Some(entry) = entries.get_mut(&self.address) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }
}

/// The input for choosing a target for one call.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The zone's targets.
    pub targets: &'a ZoneTargets,
    /// The service that the call is for.
    pub service: &'a str,
    /// Maximum number of calls in flight from this proxy to one target.
    pub slots_per_target: u32,
    /// Addresses of targets that must not be chosen, as the call was already
    /// sent to them.
    pub excluded: &'a [String],
    /// Which targets may be chosen.
    pub health: TargetHealth,
}

/// Which targets a call may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetHealth {
    /// Those that are not ejected, or ejected ones if there is no other.
    Any,
    /// Those that are not ejected.
    Healthy,
}

impl TargetTable {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, TargetEntry>> {
        // Every operation leaves the entries consistent, so a poisoned lock is
        // still usable.
        self.entries
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Draws two targets with a free slot at random and takes a slot on the
    /// less loaded of the two. Returns `None` when no target has a free slot.
    ///
    /// A target that failed several calls in a row is ejected for a limited
    /// time, whatever health or load it reports. Otherwise a target with a
    /// wrong report would look idle and fail call after call. When every
    /// target with a free slot is ejected, ejections are ignored, since the
    /// fault then more likely lies elsewhere.
    ///
    /// Only two targets are compared because load reports lag. If every proxy
    /// compared all targets, all proxies would send to the same least loaded
    /// target and fill that target while the others stay idle.
    #[must_use]
    pub fn acquire_slot(
        table: &Arc<TargetTable>,
        request: PlacementRequest<'_>,
        now: Instant,
    ) -> Option<SlotGuard> {
        let mut entries = table.lock();
        let mut healthy = Vec::new();
        let mut ejected = Vec::new();
        for record in request.targets.serving(request.service) {
            let entry = entries
                .entry(record.address.clone())
                .or_insert_with(|| TargetEntry::new(now));
            if entry.in_flight >= request.slots_per_target
                || request.excluded.contains(&record.address)
            {
                continue;
            }
            let load = entry.expected_load(record, now);
            if entry.is_ejected(now) {
                ejected.push((load, &record.address));
            } else {
                healthy.push((load, &record.address));
            }
        }
        let candidates = match request.health {
            TargetHealth::Any if healthy.is_empty() => ejected,
            _ => healthy,
        };
        let (_, address) = candidates
            .choose_multiple(&mut rand::rng(), RANDOM_CHOICES)
            .min_by_key(|(load, _)| *load)?;
        let address = (*address).clone();
        if let Some(entry) = entries.get_mut(&address) {
            entry.in_flight += 1;
        }
        Some(SlotGuard {
            table: Arc::clone(table),
            address,
        })
    }

    /// Records the outcome of an attempt on the target at `address`. An
    /// address without an entry is ignored.
    pub fn record_outcome(&self, address: &str, outcome: TargetOutcome, now: Instant) {
        if let Some(entry) = self.lock().get_mut(address) {
            entry.record_outcome(outcome, now);
        }
    }
}
