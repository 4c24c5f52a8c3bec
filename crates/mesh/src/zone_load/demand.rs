//! Measures the demand of this daemon's callers, and finds the services that use most of
//! their capacity.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbert_policy::pace::slowdown_at_pace;
use filbert_policy::zone_load::demand::DemandAverage;
use filbert_policy::zone_load::shares::{ZoneLoad, MIN_OPEN_TARGETS};
use filbert_policy::zone_load::sums::{ServiceLoad, MAX_SERVICES};

use crate::messages::{TargetState, TargetStatus};
use crate::state::MeshShared;

/// Run time assumed of a call whose route has not been run yet.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);
/// Use of a service's slots in its zone from which the service is reported. It leaves time
/// for the reports before a zone has more calls than it can serve.
const PRESSED_USE: f64 = 0.6;
/// Weight of the newest figure in the average use of a service's slots, at each check.
const USE_WEIGHT: f64 = 0.4;
/// Time for which a service is reported after its use has fallen below [`PRESSED_USE`].
const PRESSED_TIME: Duration = Duration::from_secs(2);
/// Demand, in slots, below which a service counts as not called.
const MIN_DEMAND: f64 = 0.001;
/// Smallest slowdown by which a target's capacity is raised. Like the largest, it only
/// bounds errors of measurement: targets of one service differ in speed by 2.3 to 1, and a
/// pace is 4 at most.
const MIN_SLOWDOWN: f64 = 0.25;
/// Largest slowdown by which a target's capacity is lowered.
const MAX_SLOWDOWN: f64 = 10.0;

/// How much of its capacity a service uses in this daemon's zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServicePressure {
    /// Average use of the slots; above 1 if calls wait.
    slot_use: f64,
    /// Time of the last check at which the use was high.
    pressed_at: Option<Instant>,
}

impl ServicePressure {
    fn record(&mut self, slot_use: f64, now: Instant) {
        self.slot_use += (slot_use - self.slot_use) * USE_WEIGHT;
        if self.slot_use > PRESSED_USE {
            self.pressed_at = Some(now);
        }
    }

    fn is_pressed(&self, now: Instant) -> bool {
        self.pressed_at.is_some_and(|at| now < at + PRESSED_TIME)
    }
}

/// Calls and slots of the targets of a service that this daemon knows.
#[derive(Clone, Copy, Debug, Default)]
struct KnownTargets {
    in_zone: SlotUse,
    elsewhere: SlotUse,
}

#[derive(Clone, Copy, Debug, Default)]
struct SlotUse {
    calls: f64,
    slots: f64,
    targets: u32,
}

impl SlotUse {
    fn add(&mut self, status: &TargetStatus) {
        self.calls += f64::from(status.load.running) + f64::from(status.load.waiting);
        self.slots += f64::from(status.load.slots);
        self.targets += 1;
    }
}

impl KnownTargets {
    fn add(&mut self, status: &TargetStatus, is_in_zone: bool) {
        if is_in_zone {
            self.in_zone.add(status);
        } else {
            self.elsewhere.add(status);
        }
    }

    /// Use of the slots in this zone, or in the others if this zone has no target;
    /// `None` if there are no two zones between which to share the load.
    fn slot_use(&self) -> Option<f64> {
        let count = self.in_zone.targets + self.elsewhere.targets;
        if count < MIN_OPEN_TARGETS || self.elsewhere.targets == 0 {
            return None;
        }
        let counted = if self.in_zone.targets > 0 {
            self.in_zone
        } else {
            self.elsewhere
        };
        Some(counted.calls / counted.slots.max(1.0))
    }
}

impl MeshShared {
    /// Counts a call to `service` in the demand of this host. Called once for each call,
    /// at its first attempt.
    pub fn record_demand(&self, service: &str, expected_run: Option<Duration>) {
        let now = self.clock.now();
        let run = expected_run.unwrap_or(DEFAULT_RUN_TIME);
        let mut demands = self.zone_load.demands.borrow_mut();
        match demands.get_mut(service) {
            Some(demand) => demand.record(run, now),
            None => demands
                .entry(service.to_owned())
                .or_insert(DemandAverage::new(now))
                .record(run, now),
        }
    }

    /// Updates the use of the capacity of each service that is called from this host or
    /// runs on it.
    pub(super) fn update_pressures(&self, now: Instant) {
        let state = &self.zone_load;
        let mut demands = state.demands.borrow_mut();
        demands.retain(|_, demand| demand.slots(now) >= MIN_DEMAND);
        let own = self.gate.status();
        let mut known: BTreeMap<String, KnownTargets> = demands
            .keys()
            .cloned()
            .chain(own.iter().map(|status| status.service.clone()))
            .map(|service| (service, KnownTargets::default()))
            .collect();
        drop(demands);
        let zone = self.settings.borrow().zone.clone();
        let peers = self.peers.all().into_iter();
        let targets = peers.filter_map(|peer| {
            let (status, _) = peer.target(now)?;
            Some((status, peer.address.zone == zone))
        });
        for (status, is_in_zone) in own.into_iter().map(|status| (status, true)).chain(targets) {
            if status.state == TargetState::Open {
                if let Some(known) = known.get_mut(&status.service) {
                    known.add(&status, is_in_zone);
                }
            }
        }
        let mut pressures = state.pressures.borrow_mut();
        pressures.retain(|service, _| known.contains_key(service));
        for (service, known) in known {
            if let Some(slot_use) = known.slot_use() {
                pressures.entry(service).or_default().record(slot_use, now);
            } else {
                pressures.remove(&service);
            }
        }
    }

    /// The load of this host: the demand of its callers and the capacity of its target,
    /// for the services that use most of their capacity here or in another zone.
    pub(super) fn own_load(&self, now: Instant) -> Vec<ServiceLoad> {
        let state = &self.zone_load;
        let pressures = state.pressures.borrow();
        let pressed_here = pressures
            .iter()
            .filter(|(_, pressure)| pressure.is_pressed(now))
            .map(|(service, _)| service.clone());
        let mut services = state.sums.borrow().pressed_services();
        services.extend(pressed_here);
        let demands = state.demands.borrow();
        let target = self.gate.status();
        let load_of = |service: String| {
            let own_target = target.as_ref().filter(|target| target.service == service);
            let demand = demands.get(&service);
            let is_pressed = pressures
                .get(&service)
                .is_some_and(|pressure| pressure.is_pressed(now));
            let mut load = own_target.map(target_capacity).unwrap_or_default();
            load.demand = demand.map_or(0.0, |demand| demand.slots(now));
            let is_concerned = own_target.is_some() || demand.is_some();
            is_concerned.then_some(ServiceLoad {
                service,
                is_pressed,
                is_complete: true,
                load,
            })
        };
        services
            .into_iter()
            .filter_map(load_of)
            .take(MAX_SERVICES)
            .collect()
    }
}

/// Capacity of a target in slots of usual speed; 0 unless it is open.
fn target_capacity(target: &TargetStatus) -> ZoneLoad {
    if target.state != TargetState::Open {
        return ZoneLoad::default();
    }
    let slowdown = slowdown_at_pace(target.load.slowdown, target.load.pace);
    ZoneLoad {
        demand: 0.0,
        capacity: f64::from(target.load.slots) / slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN),
        slots: target.load.slots,
        open_targets: 1,
    }
}
