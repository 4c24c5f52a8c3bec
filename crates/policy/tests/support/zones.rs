//! Simulates three zones whose daemons report their load and place calls by the parts
//! that result.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use filbert_policy::numbers::{count_to_f64, truncate_to_u64};
use filbert_policy::zone_load::demand::DemandAverage;
use filbert_policy::zone_load::shares::{ZoneLoad, ZoneShares};
use filbert_policy::zone_load::sums::{HostReports, ServiceLoad, ZoneSum, ZoneSums};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const ZONES: usize = 3;
/// Step of the simulation, in seconds.
pub const TICK_S: f64 = 0.005;
/// Mean run time, in seconds.
pub const RUN_S: f64 = 0.15;
/// Time in which an answer is in time, in seconds.
const SOFT_DEADLINE_S: f64 = 0.5;
/// Interval of reports and of sums, in ticks.
const REPORT_TICKS: usize = 100;
/// Interval at which daemons compute their parts, in ticks.
const SHARE_TICKS: usize = 20;
/// Time for a sum to reach the daemons of other zones, in ticks.
const SPREAD_TICKS: usize = 10;
const SERVICE: &str = "quotes";

/// A load on the zones. Zones are numbered from 0, times are in seconds.
#[derive(Clone, Copy)]
pub struct Pattern {
    pub seconds: f64,
    /// Slots that the calls of a zone need.
    pub demand: fn(usize, f64) -> f64,
    /// Slots of a zone.
    pub capacity: fn(usize, f64) -> f64,
    /// Whether a zone has links to the others.
    pub is_linked: fn(usize, f64) -> bool,
    /// Whether calls are placed by the parts.
    pub is_shared: bool,
}

/// Calls that began in a zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneCalls {
    pub calls: f64,
    pub in_time: f64,
}

/// What a simulation has given.
pub struct Replay {
    pub zones: [ZoneCalls; ZONES],
    /// Number of calls that were placed in another zone.
    pub crossing: f64,
    /// Number of times at which two zones sent calls to each other.
    pub mutual: usize,
    /// The parts by which each zone placed its calls, at each computation.
    pub history: Vec<(f64, [ZoneShares; ZONES])>,
}

pub fn name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The targets of a zone, with one queue.
#[derive(Default)]
struct ZoneTargets {
    /// Ticks at which the running calls end.
    ends: BinaryHeap<Reverse<usize>>,
    /// Ticks at which waiting calls began, and their zones.
    waiting: VecDeque<(usize, usize)>,
}

impl ZoneTargets {
    /// Starts the waiting calls for which there are slots.
    fn run(&mut self, tick: usize, slots: f64, zones: &mut [ZoneCalls; ZONES], rng: &mut StdRng) {
        while self.ends.peek().is_some_and(|Reverse(end)| *end <= tick) {
            self.ends.pop();
        }
        let deadline_ticks = SOFT_DEADLINE_S / TICK_S;
        while count_to_f64(self.ends.len()) < slots {
            let Some((began, zone)) = self.waiting.pop_front() else {
                return;
            };
            // The run times are even from half to one and a half of the mean.
            let run_ticks = RUN_S / TICK_S * rng.random_range(0.5..1.5);
            let waited = count_to_f64(tick - began);
            // The gate declines what would be late.
            if waited + run_ticks > deadline_ticks {
                continue;
            }
            zones[zone].in_time += 1.0;
            let run_ticks = usize::try_from(truncate_to_u64(run_ticks)).expect("a short run");
            self.ends.push(Reverse(tick + run_ticks));
        }
    }
}

/// Daemons of a zone: what they measure, and what they know of the zones.
struct ZoneDaemons {
    demand: DemandAverage,
    reports: HostReports,
    sums: ZoneSums,
    shares: ZoneShares,
}

/// A simulation in progress.
struct Simulation<'a> {
    pattern: &'a Pattern,
    rng: StdRng,
    daemons: [ZoneDaemons; ZONES],
    targets: [ZoneTargets; ZONES],
    /// Sums that other zones have not received yet: the tick at which they do, and the
    /// zone that sent them.
    in_flight: VecDeque<(usize, usize, ZoneSum)>,
    replay: Replay,
}

/// Plays a load.
pub fn play(pattern: &Pattern, seed: u64) -> Replay {
    let start = Instant::now() + Duration::from_secs(10);
    let mut simulation = Simulation {
        pattern,
        rng: StdRng::seed_from_u64(seed),
        daemons: std::array::from_fn(|_| ZoneDaemons {
            demand: DemandAverage::new(start),
            reports: HostReports::default(),
            sums: ZoneSums::default(),
            shares: ZoneShares::default(),
        }),
        targets: std::array::from_fn(|_| ZoneTargets::default()),
        in_flight: VecDeque::new(),
        replay: Replay {
            zones: [ZoneCalls::default(); ZONES],
            crossing: 0.0,
            mutual: 0,
            history: Vec::new(),
        },
    };
    let ticks = usize::try_from(truncate_to_u64(pattern.seconds / TICK_S)).expect("a short time");
    for tick in 0..ticks {
        let at = count_to_f64(tick) * TICK_S;
        let now = start + Duration::from_secs_f64(at);
        for zone in 0..ZONES {
            simulation.begin_calls(zone, tick, now);
        }
        for (zone, targets) in simulation.targets.iter_mut().enumerate() {
            let slots = (pattern.capacity)(zone, at);
            targets.run(
                tick,
                slots,
                &mut simulation.replay.zones,
                &mut simulation.rng,
            );
        }
        simulation.send_sums(tick, now);
        simulation.receive_sums(tick, now);
        if tick.is_multiple_of(SHARE_TICKS) {
            simulation
                .replay
                .compute_shares(&mut simulation.daemons, at, now);
        }
    }
    simulation.replay
}

impl Simulation<'_> {
    /// Begins the calls of a zone and sends each to a zone's targets.
    fn begin_calls(&mut self, zone: usize, tick: usize, now: Instant) {
        /// Callers of a zone; each begins at most one call in a tick.
        const CALLERS: u32 = 10;
        let at = count_to_f64(tick) * TICK_S;
        let rate = (self.pattern.demand)(zone, at) / RUN_S * TICK_S;
        let daemon = &mut self.daemons[zone];
        for _ in 0..CALLERS {
            if !self.rng.random_bool(rate / f64::from(CALLERS)) {
                continue;
            }
            daemon.demand.record(Duration::from_secs_f64(RUN_S), now);
            self.replay.zones[zone].calls += 1.0;
            let drawn = daemon.shares.draw(&name(zone), self.rng.random());
            let to = (0..ZONES).find(|to| Some(name(*to).as_str()) == drawn);
            let to = to.filter(|_| self.pattern.is_shared);
            let to = to.unwrap_or_else(|| usual_zone(self.pattern, zone, at, &self.targets));
            self.replay.crossing += if to == zone { 0.0 } else { 1.0 };
            self.targets[to].waiting.push_back((tick, zone));
        }
    }

    fn send_sums(&mut self, tick: usize, now: Instant) {
        for (zone, daemon) in self.daemons.iter_mut().enumerate() {
            // The zones report at different times.
            if (tick + zone * 33).is_multiple_of(REPORT_TICKS) {
                let sum = daemon.sum(self.pattern, zone, tick, now);
                daemon.sums.record(sum.clone(), now);
                self.in_flight.push_back((tick + SPREAD_TICKS, zone, sum));
            }
        }
    }

    fn receive_sums(&mut self, tick: usize, now: Instant) {
        let at = count_to_f64(tick) * TICK_S;
        let is_linked = |zone: usize| (self.pattern.is_linked)(zone, at);
        while self.in_flight.front().is_some_and(|(due, ..)| *due <= tick) {
            let (_, from, mut sum) = self.in_flight.pop_front().expect("a sum");
            sum.age = Duration::from_secs_f64(count_to_f64(SPREAD_TICKS) * TICK_S);
            for (to, daemon) in self.daemons.iter_mut().enumerate() {
                if to != from && is_linked(from) && is_linked(to) {
                    daemon.sums.record(sum.clone(), now);
                }
            }
        }
    }
}

/// The zone of a call that is placed without parts: its own, or the one with the fewest
/// calls if its own has no targets.
fn usual_zone(pattern: &Pattern, zone: usize, at: f64, targets: &[ZoneTargets; ZONES]) -> usize {
    if (pattern.capacity)(zone, at) > 0.0 {
        return zone;
    }
    let others = (0..ZONES).filter(|other| (pattern.capacity)(*other, at) > 0.0);
    others
        .min_by_key(|other| targets[*other].ends.len() + targets[*other].waiting.len())
        .unwrap_or(zone)
}

impl ZoneDaemons {
    fn sum(&mut self, pattern: &Pattern, zone: usize, tick: usize, now: Instant) -> ZoneSum {
        let at = count_to_f64(tick) * TICK_S;
        let capacity = (pattern.capacity)(zone, at);
        let load = ServiceLoad {
            service: SERVICE.to_owned(),
            is_pressed: true,
            is_complete: true,
            load: ZoneLoad {
                demand: self.demand.slots(now),
                capacity,
                open_targets: u32::from(capacity > 0.0) * 8,
                ..ZoneLoad::default()
            },
        };
        self.reports.record("host", vec![load], now);
        ZoneSum {
            zone: name(zone),
            reader: format!("reader-{zone}"),
            sequence: (1, tick as u64),
            age: Duration::ZERO,
            loads: self.reports.sum(now),
        }
    }
}

impl Replay {
    fn compute_shares(&mut self, daemons: &mut [ZoneDaemons; ZONES], at: f64, now: Instant) {
        for zone in daemons.iter_mut() {
            zone.sums.remove_old(now);
            let (loads, _) = zone.sums.loads_of(SERVICE, now);
            zone.shares = zone.shares.after(&loads);
        }
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            let sends =
                |from: usize, to: usize| daemons[from].shares.part(&name(from), &name(to)) > 0.0;
            self.mutual += usize::from(sends(a, b) && sends(b, a));
        }
        let shares = std::array::from_fn(|zone| daemons[zone].shares.clone());
        self.history.push((at, shares));
    }
}
