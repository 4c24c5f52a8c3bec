//! The targets a proxy may send to: its zone's announced targets, their
//! reported load, and the slots this proxy holds on each.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use filbert_platform::TargetRecord;

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

/// Calls this proxy has in flight per target address.
#[derive(Debug, Default)]
pub struct SlotTable {
    held: Mutex<HashMap<String, u32>>,
}

/// One slot held on a target; released when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    table: Arc<SlotTable>,
    address: String,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut held = self.table.lock();
        if let Some(count) = held.get_mut(&self.address) {
            *count = count.saturating_sub(1);
        }
    }
}

impl SlotTable {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, u32>> {
        // Counts stay consistent per operation, so a poisoned lock is still usable.
        self.held
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Picks the least loaded target of `service` that has a free slot and
    /// takes the slot, skipping the addresses in `tried`. Load is the target's
    /// reported calls plus this proxy's own.
    pub fn acquire(
        table: &Arc<SlotTable>,
        targets: &ZoneTargets,
        service: &str,
        slots: u32,
        tried: &[String],
    ) -> Option<(String, SlotGuard)> {
        let mut held = table.lock();
        let chosen = targets
            .serving(service)
            .filter(|record| !tried.contains(&record.address))
            .filter(|record| held.get(&record.address).copied().unwrap_or(0) < slots)
            .min_by_key(|record| record.load + held.get(&record.address).copied().unwrap_or(0))?
            .address
            .clone();
        *held.entry(chosen.clone()).or_default() += 1;
        let guard = SlotGuard {
            table: Arc::clone(table),
            address: chosen.clone(),
        };
        Some((chosen, guard))
    }
}
