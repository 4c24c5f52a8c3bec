//! Simulates the targets of one service, with slow periods, and the daemons that place
//! calls on them. One step is a millisecond.

#[path = "pace_target.rs"]
mod target;

use std::time::{Duration, Instant};

use filbert_policy::pace::TargetPace;
use filbert_policy::placement::{
    choose_target, estimated_occupancy, CrossZoneCost, PlacementRequest, TargetView,
};
use filbert_policy::run_times::{RunTime, RunTimeAverage};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub use target::PaceClaim;
use target::{
    Call, Report, Run, Target, DEADLINE, RUN_MS, SLOTS, SLOW_FACTOR, SLOW_SHARE, SOFT_DEADLINE,
    SPEEDS,
};

pub const TARGETS: usize = 20;
const DAEMONS: usize = 10;
const UTILISATION: f64 = 0.9;
const UPDATE_MS: u32 = 200;
const MAX_TRIES: usize = 3;

/// Ends of the calls of a simulation.
#[derive(Debug, Default, PartialEq)]
pub struct CallCounts {
    in_time: [f64; TARGETS],
    late: [f64; TARGETS],
    refused: f64,
}

impl CallCounts {
    /// Share of the calls answered in time, of those that `skipped` did not answer.
    pub fn share_in_time(&self, skipped: Option<usize>) -> f64 {
        let sum = |counts: &[f64]| -> f64 {
            let kept = counts.iter().enumerate();
            kept.filter(|(index, _)| Some(*index) != skipped)
                .map(|(_, count)| count)
                .sum()
        };
        let in_time = sum(&self.in_time);
        in_time / (in_time + sum(&self.late) + self.refused)
    }
}

/// Share of the service's capacity that the target has.
pub fn capacity_share(target: usize) -> f64 {
    let speed = |index: usize| 1.0 / SPEEDS[index % SPEEDS.len()];
    speed(target) / (0..TARGETS).map(speed).sum::<f64>()
}

struct Simulation {
    targets: Vec<Target>,
    reports: Vec<Vec<Report>>,
    /// Run times of the route at all targets.
    route_runs: RunTimeAverage,
    counts: CallCounts,
    /// Time to the next call, in mean times between calls.
    next_arrival: f64,
    rng: StdRng,
    start: Instant,
}

impl Simulation {
    fn place(&mut self, mut call: Call, now: Instant) {
        while call.tried.len() < MAX_TRIES {
            let Some(index) = self.choose(&call, now) else {
                break;
            };
            call.tried.push(index);
            self.reports[call.daemon][index].sent_since += 1;
            let daemon = call.daemon;
            match self.targets[index].offer(call, self.start, now) {
                None => return,
                Some(declined) => call = declined,
            }
            self.reports[daemon][index] = self.targets[index].report(now);
        }
        self.counts.refused += 1.0;
    }

    fn choose(&mut self, call: &Call, now: Instant) -> Option<usize> {
        let arrived = self.start + Duration::from_millis(u64::from(call.at));
        let left_ms = |timeout: Duration| {
            (arrived + timeout)
                .saturating_duration_since(now)
                .as_secs_f64()
                * 1_000.0
        };
        let request = PlacementRequest {
            transfer_kib: 1.0,
            soft_deadline_ms: left_ms(SOFT_DEADLINE),
            deadline_ms: left_ms(DEADLINE),
            zone_has_target: true,
            is_above_lowest_priority: false,
        };
        let candidates: Vec<usize> = (0..TARGETS).filter(|i| !call.tried.contains(i)).collect();
        let reports = &self.reports[call.daemon];
        let views: Vec<TargetView> = candidates
            .iter()
            .map(|index| view(&reports[*index], call.usual, now))
            .collect();
        let crossing = CrossZoneCost {
            base: 0.01,
            per_kib: 0.006,
            most: 0.9,
        };
        choose_target(&views, &request, &crossing, &mut self.rng).map(|index| candidates[index])
    }

    fn step(&mut self, step: u32, rate_per_ms: f64) {
        let now = self.start + Duration::from_millis(u64::from(step));
        for index in 0..TARGETS {
            let target = &mut self.targets[index];
            let (answered, declined) = target.step(step, now, &mut self.rng);
            let report = target.report(now);
            for Run { call, started, .. } in answered {
                self.route_runs
                    .record(now.saturating_duration_since(started));
                self.reports[call.daemon][index] = report;
                let took = Duration::from_millis(u64::from(step - call.at));
                let counts = if took <= SOFT_DEADLINE {
                    &mut self.counts.in_time
                } else {
                    &mut self.counts.late
                };
                counts[index] += 1.0;
            }
            let has_news = std::mem::take(&mut self.targets[index].has_news);
            if has_news || (step + 7 * index as u32).is_multiple_of(UPDATE_MS) {
                for reports in &mut self.reports {
                    reports[index] = report;
                }
            }
            for call in declined {
                self.reports[call.daemon][index] = report;
                self.place(call, now);
            }
        }
        self.next_arrival -= rate_per_ms;
        while self.next_arrival <= 0.0 {
            self.next_arrival -= self.rng.random::<f64>().max(1e-9).ln();
            let call = Call {
                daemon: self.rng.random_range(0..DAEMONS),
                at: step,
                work_ms: RUN_MS * self.rng.random_range(0.5..1.5),
                usual: self.route_runs.time(),
                tried: Vec::new(),
            };
            self.place(call, now);
        }
    }
}

fn view(report: &Report, usual: Option<RunTime>, now: Instant) -> TargetView {
    let aged = now.saturating_duration_since(report.at);
    let factor = report.pace.map_or(1.0, |pace| pace.after(aged).factor());
    let reported_factor = report.pace.map_or(1.0, TargetPace::factor);
    let mean = Duration::from_secs_f64(report.run_ms / reported_factor / 1_000.0);
    let long_term = usual.map_or(RunTime::exponential(mean), |usual| {
        usual.slowed_by(report.slowdown)
    });
    let run = long_term.slowed_by(factor);
    TargetView {
        in_zone: true,
        slots: SLOTS,
        occupancy: estimated_occupancy(report.occupancy, report.sent_since, DAEMONS),
        run_ms: run.mean.as_secs_f64() * 1_000.0,
        mean_deviation_ms: run.mean_deviation.as_secs_f64() * 1_000.0,
        queue_run_ms: report.run_ms * factor / reported_factor,
        failure_rate: 0.0,
        is_cold: false,
        is_leaving: false,
        link_ms: 0.0,
        link_ms_per_kib: 0.0,
        limit_wait_ms: 0.0,
    }
}

/// Simulates `seconds` of calls at nine tenths of the service's capacity. Target 0 makes
/// the claim `first`, and all others make the claim `others`.
pub fn simulate(first: PaceClaim, others: PaceClaim, seconds: u32, seed: u64) -> CallCounts {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let targets: Vec<Target> = (0..TARGETS)
        .map(|index| Target::new(index, if index == 0 { first } else { others }, &mut rng))
        .collect();
    let report = targets[0].report(start);
    let mean_speed = 1.0 - SLOW_SHARE * (1.0 - 1.0 / SLOW_FACTOR);
    let slot_speed: f64 = targets.iter().map(|target| 1.0 / target.speed).sum();
    let rate_per_ms = UTILISATION * f64::from(SLOTS) * slot_speed * mean_speed / RUN_MS;
    let mut simulation = Simulation {
        targets,
        route_runs: RunTimeAverage::default(),
        reports: vec![vec![report; TARGETS]; DAEMONS],
        counts: CallCounts::default(),
        next_arrival: 0.0,
        rng,
        start,
    };
    for step in 0..seconds * 1_000 {
        simulation.step(step, rate_per_ms);
    }
    simulation.counts
}
