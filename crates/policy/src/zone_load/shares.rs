//! Computes which part of a zone's calls to place in which other zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Utilisation up to which a zone serves all of its own calls. Below it, calls seldom
/// wait for a slot.
const FULL_UTILISATION: f64 = 0.75;
/// Part of a zone's calls from which the zone begins to send calls to another.
const MIN_FIRST_PART: f64 = 0.02;
/// Part of a zone's calls below which a zone that sends calls to another ends this.
const MIN_PART: f64 = 0.01;
/// Free part of a zone's capacity from which the zone gets calls of others. A zone that
/// has as many calls as it can serve neither sends nor receives.
const MIN_FREE_PART: f64 = 0.02;
/// Number of open targets of a service, in all zones, from which its load is shared.
pub const MIN_OPEN_TARGETS: u32 = 2;

/// Largest demand or capacity that is accepted, in slots: far above that of any zone.
const MAX_SLOTS: f64 = 1_000_000.0;

/// Load of a service in one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneLoad {
    /// Number of slots that the calls that begin in the zone need.
    pub demand: f64,
    /// Number of slots of the zone's open targets, of usual speed.
    pub capacity: f64,
    /// Number of slots of the zone's open targets, whatever their speed.
    pub slots: u32,
    /// Number of the zone's open targets.
    pub open_targets: u32,
}

impl ZoneLoad {
    /// Whether all figures are numbers from 0 to [`MAX_SLOTS`].
    #[must_use]
    pub fn is_valid(&self) -> bool {
        [self.demand, self.capacity]
            .iter()
            .all(|figure| (0.0..=MAX_SLOTS).contains(figure))
    }

    /// Adds the load of another host or zone.
    pub fn add(&mut self, other: &ZoneLoad) {
        self.demand += other.demand;
        self.capacity += other.capacity;
        self.slots = self.slots.saturating_add(other.slots);
        self.open_targets = self.open_targets.saturating_add(other.open_targets);
    }
}

/// The parts of each zone's calls for one service that are placed in other zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneShares {
    /// Parts, 0 to 1, by sending and receiving zone. Parts of 0 are left out.
    parts: BTreeMap<String, Vec<(String, f64)>>,
}

impl ZoneShares {
    /// Computes the parts from the loads of the zones, by name.
    #[must_use]
    pub fn of(loads: &BTreeMap<String, ZoneLoad>) -> ZoneShares {
        ZoneShares::default().after(loads)
    }

    /// Computes the parts from the loads of the zones, by name, while the parts in `self`
    /// are in use: a zone begins to send calls at a larger part than that at which it
    /// ends this.
    ///
    /// Each zone keeps the calls that it can serve at the utilisation of all zones
    /// together, but at least at [`FULL_UTILISATION`]. It sends the rest to the zones
    /// below that, in proportion to what they have free. No other way to the same
    /// utilisation needs fewer calls between zones, and as a zone either sends or
    /// receives, no two zones send calls to each other. The parts grow from 0 as the
    /// first zone exceeds [`FULL_UTILISATION`], without a jump.
    #[must_use]
    pub fn after(&self, loads: &BTreeMap<String, ZoneLoad>) -> ZoneShares {
        let mut total = ZoneLoad::default();
        for load in loads.values() {
            total.add(load);
        }
        let is_shared = loads.len() > 1 && total.open_targets >= MIN_OPEN_TARGETS;
        if !is_shared || total.capacity <= 0.0 {
            return ZoneShares::default();
        }
        let utilisation = (total.demand / total.capacity).max(FULL_UTILISATION);
        let free: Vec<(&String, f64)> = loads
            .iter()
            .map(|(zone, load)| (zone, load.capacity * utilisation - load.demand, load))
            .filter(|(_, free, load)| *free > load.capacity * MIN_FREE_PART)
            .map(|(zone, free, _)| (zone, free))
            .collect();
        let total_free: f64 = free.iter().map(|(_, free)| free).sum();
        if total_free <= 0.0 {
            return ZoneShares::default();
        }
        let mut shares = ZoneShares::default();
        for (zone, load) in loads {
            let excess = load.demand - load.capacity * utilisation;
            let part = excess / load.demand.max(f64::MIN_POSITIVE);
            let min_part = if self.sends(zone) {
                MIN_PART
            } else {
                MIN_FIRST_PART
            };
            if part >= min_part {
                let parts = free
                    .iter()
                    .map(|(to, free)| ((*to).clone(), part * free / total_free));
                shares.parts.insert(zone.clone(), parts.collect());
            }
        }
        shares
    }

    /// Whether `zone` sends calls to other zones.
    #[must_use]
    pub fn sends(&self, zone: &str) -> bool {
        self.parts.contains_key(zone)
    }

    /// The parts of the calls of `from`, by the name of the zone that gets them.
    #[must_use]
    pub fn parts_of(&self, from: &str) -> &[(String, f64)] {
        self.parts.get(from).map_or(&[], Vec::as_slice)
    }

    /// The part of the calls of `from` that is placed in `to`.
    #[must_use]
    pub fn part(&self, from: &str, to: &str) -> f64 {
        let mut parts = self.parts_of(from).iter();
        let found = parts.find(|(zone, _)| zone == to);
        found.map_or(0.0, |(_, part)| *part)
    }

    /// The other zone in which to place a call of `from`, given a random number from 0
    /// to 1; `None` if the call stays in its zone.
    #[must_use]
    pub fn draw(&self, from: &str, random: f64) -> Option<&str> {
        let mut end = 0.0;
        self.parts_of(from).iter().find_map(|(zone, part)| {
            end += part;
            (random < end).then_some(zone.as_str())
        })
    }

    /// Largest difference between a part in `self` and the same part in `other`.
    #[must_use]
    pub fn max_change(&self, other: &ZoneShares, from: &str) -> f64 {
        let zones = self.parts_of(from).iter().chain(other.parts_of(from));
        zones
            .map(|(to, _)| (self.part(from, to) - other.part(from, to)).abs())
            .fold(0.0, f64::max)
    }
}
