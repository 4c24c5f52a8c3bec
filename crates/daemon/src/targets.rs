//! The targets a proxy may send to: its zone's announced targets, and what
//! this proxy knows of each from its own calls: slots held, load, health.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use filbert_store::TargetRecord;
use rand::seq::IndexedRandom;

/// Failures in a row after which a target gets no calls for a while.
const FAILURES_TO_EJECT: u32 = 3;
/// Length of a target's first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// How long a target that sheds load is passed over. Without the pause each
/// call would try it first, as it looks idle, and spend a retry on it.
const SHED_PAUSE: Duration = Duration::from_secs(1);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// Targets drawn at random for each call, of which the less loaded gets it.
const TARGETS_COMPARED: usize = 2;
/// How long a reported load counts; after that it says nothing.
const LOAD_LIFETIME: Duration = Duration::from_secs(5);
/// How long a target that just appeared counts as cold.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Load a cold target is taken to have on top of its own.
const COLD_LOAD: u32 = 3;

/// The zone's targets per service, as the proxy reads them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneTargets {
    by_service: BTreeMap<String, Vec<TargetRecord>>,
}

impl ZoneTargets {
    /// Builds the view from records already filtered for expiry.
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

    /// The targets of `service` that take new work (not leaving).
    pub fn serving<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a TargetRecord> + 'a {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter(|record| !record.leaving)
    }

    /// How many targets per service take new work.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<String, usize> {
        self.by_service
            .keys()
            .map(|service| (service.clone(), self.serving(service).count()))
            .collect()
    }
}

/// What a call says about the target it went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetSign {
    /// It answered; its load, when the answer carried one.
    Well { load: Option<u32> },
    /// It declined to run the call, as when shedding load.
    Full,
    /// It took no connection, broke off, failed or did not answer in time.
    Ill,
}

/// What this proxy knows of one target.
#[derive(Clone, Copy, Debug)]
struct TargetEntry {
    held: u32,
    load: Option<(u32, Instant)>,
    failures: u32,
    ejected_until: Option<Instant>,
    first_seen: Instant,
}

impl TargetEntry {
    fn new(now: Instant) -> TargetEntry {
        TargetEntry {
            held: 0,
            load: None,
            failures: 0,
            ejected_until: None,
            first_seen: now,
        }
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn expected_load(&self, record: &TargetRecord, now: Instant) -> u32 {
        let fresh = self
            .load
            .filter(|(_, at)| now.saturating_duration_since(*at) <= LOAD_LIFETIME);
        let reported = fresh.map_or(record.load, |(load, _)| load);
        let cold = now.saturating_duration_since(self.first_seen) < COLD_TIME;
        reported + self.held + if cold { COLD_LOAD } else { 0 }
    }

    fn note(&mut self, sign: TargetSign, now: Instant) {
        match sign {
            TargetSign::Well { load } => {
                self.failures = 0;
                self.ejected_until = None;
                if let Some(load) = load {
                    self.load = Some((load, now));
                }
            }
            TargetSign::Full => self.ejected_until = Some(now + SHED_PAUSE),
            TargetSign::Ill => {
                self.failures += 1;
                let ejections = self.failures.checked_sub(FAILURES_TO_EJECT);
                if let Some(ejections) = ejections {
                    let length = FIRST_EJECTION * 2u32.saturating_pow(ejections.min(8));
                    self.ejected_until = Some(now + length.min(LONGEST_EJECTION));
                }
            }
        }
    }
}

/// What this proxy knows of every target, by address.
#[derive(Debug, Default)]
pub struct TargetBoard {
    entries: Mutex<HashMap<String, TargetEntry>>,
}

/// One slot held on a target; released when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    board: Arc<TargetBoard>,
    address: String,
}

impl SlotGuard {
    /// The target's address.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut entries = self.board.lock();
        if let Some(entry) = entries.get_mut(&self.address) {
            entry.held = entry.held.saturating_sub(1);
        }
    }
}

/// A choice of target to make.
#[derive(Clone, Copy, Debug)]
pub struct TargetChoice<'a> {
    /// The zone's targets.
    pub targets: &'a ZoneTargets,
    /// The service called.
    pub service: &'a str,
    /// Calls one target may hold at once from this proxy.
    pub slots: u32,
    /// Addresses already tried for the call.
    pub tried: &'a [String],
}

impl TargetBoard {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, TargetEntry>> {
        // Entries stay consistent per operation, so a poisoned lock is still usable.
        self.entries
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Picks the less loaded of two targets with a free slot, drawn at random,
    /// and takes the slot.
    ///
    /// Guards against a target whose health or load report lies (seen as
    /// calls that fail on it again and again while it looks idle): one that
    /// failed several calls in a row is passed over for a while, whatever it
    /// reports. When that would leave none, ejections are ignored, since
    /// then the fault more likely lies elsewhere.
    ///
    /// Guards against many proxies sending to the one target that all take
    /// for the least loaded (seen as one target full and the others idle):
    /// reports lag, so each proxy draws two and compares only those.
    #[must_use]
    pub fn acquire(
        board: &Arc<TargetBoard>,
        choice: TargetChoice<'_>,
        now: Instant,
    ) -> Option<SlotGuard> {
        let mut entries = board.lock();
        let mut sound = Vec::new();
        let mut ejected = Vec::new();
        for record in choice.targets.serving(choice.service) {
            let entry = entries
                .entry(record.address.clone())
                .or_insert_with(|| TargetEntry::new(now));
            if entry.held >= choice.slots || choice.tried.contains(&record.address) {
                continue;
            }
            let load = entry.expected_load(record, now);
            if entry.is_ejected(now) {
                ejected.push((load, &record.address));
            } else {
                sound.push((load, &record.address));
            }
        }
        let open = if sound.is_empty() { ejected } else { sound };
        let (_, address) = open
            .choose_multiple(&mut rand::rng(), TARGETS_COMPARED)
            .min_by_key(|(load, _)| *load)?;
        let address = (*address).clone();
        if let Some(entry) = entries.get_mut(&address) {
            entry.held += 1;
        }
        Some(SlotGuard {
            board: Arc::clone(board),
            address,
        })
    }

    /// Takes note of how a call on the target at `address` went.
    pub fn note(&self, address: &str, sign: TargetSign, now: Instant) {
        if let Some(entry) = self.lock().get_mut(address) {
            entry.note(sign, now);
        }
    }
}
