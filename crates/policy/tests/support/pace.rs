//! Simulates the targets of one service, with slow periods, and the daemons that place
//! calls on them. One step is a millisecond.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbert_policy::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, LinkTime, QueueLimits, WaitOutcome,
    WaitTicket,
};
use filbert_policy::numbers::count_to_f64;
use filbert_policy::pace::{PaceMark, PaceStatement, PaceTracker, TargetPace};
use filbert_policy::placement::{
    choose_target, estimated_occupancy, CrossZoneCost, PlacementRequest, TargetView,
};
use filbert_policy::run_times::{RunTime, RunTimeAverage, RunTimeEstimator};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const TARGETS: usize = 20;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];
const SLOTS: u32 = 11;
const DAEMONS: usize = 10;
const RUN_MS: f64 = 180.0;
const SOFT_DEADLINE: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(4);
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MS: f64 = 600.0;
const SLOW_SHARE: f64 = 0.15;
const UTILISATION: f64 = 0.9;
const UPDATE_MS: u32 = 200;
const MAX_TRIES: usize = 3;

/// What a target states as its pace, in percent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceClaim {
    /// The daemons have no tracker of the pace.
    Untracked,
    Nothing,
    Truth,
    Always(f64),
    Jumping,
}

#[derive(Clone)]
struct Call {
    daemon: usize,
    at: u32,
    work_ms: f64,
    /// Usual run time of the route, as known to the caller's daemon.
    usual: Option<RunTime>,
    tried: Vec<usize>,
}

struct Run {
    call: Call,
    left_ms: f64,
    started: Instant,
    mark: PaceMark,
    expected: Duration,
}

/// What a daemon knows of a target.
#[derive(Clone, Copy)]
struct Report {
    occupancy: u32,
    sent_since: u32,
    run_ms: f64,
    slowdown: f64,
    pace: Option<TargetPace>,
    at: Instant,
}

struct Target {
    speed: f64,
    claim: PaceClaim,
    slow_until: u32,
    usual_until: u32,
    queue: AdmissionQueue,
    run_times: RunTimeEstimator,
    tracker: PaceTracker,
    runs: Vec<Run>,
    /// Whether a change of the pace has to be told.
    has_news: bool,
    waiting: HashMap<WaitTicket, (Call, Duration)>,
}

impl Target {
    fn new(index: usize, claim: PaceClaim, rng: &mut StdRng) -> Target {
        let mut queue = AdmissionQueue::new(QueueLimits::default());
        queue.set_slots(SLOTS);
        queue.set_open(true);
        Target {
            speed: SPEEDS[index % SPEEDS.len()],
            claim,
            slow_until: 0,
            usual_until: rng.random_range(0..4_000),
            queue,
            run_times: RunTimeEstimator::default(),
            tracker: PaceTracker::default(),
            runs: Vec::new(),
            has_news: false,
            waiting: HashMap::new(),
        }
    }

    fn pace(&mut self, step: u32, rng: &mut StdRng) -> f64 {
        if step < self.usual_until {
            return 1.0;
        }
        if self.slow_until < self.usual_until {
            self.slow_until = self.usual_until + SLOW_MS as u32;
        }
        if step < self.slow_until {
            return SLOW_FACTOR;
        }
        let mean_ms = SLOW_MS * (1.0 - SLOW_SHARE) / SLOW_SHARE;
        self.usual_until = step + (-rng.random::<f64>().max(1e-9).ln() * mean_ms) as u32;
        1.0
    }

    fn statement(&self, pace: f64, rng: &mut StdRng) -> PaceStatement {
        let percent = match self.claim {
            PaceClaim::Untracked | PaceClaim::Nothing => return PaceStatement::Absent,
            PaceClaim::Truth => pace * 100.0,
            PaceClaim::Always(percent) => percent,
            PaceClaim::Jumping if rng.random() => 1.0,
            PaceClaim::Jumping => 10_000.0,
        };
        TargetPace::from_percent(percent).map_or(PaceStatement::Absent, PaceStatement::Stated)
    }

    fn scaled(&self, run: RunTime, now: Instant) -> RunTime {
        let pace = self.tracker.current(now);
        pace.map_or(run, |pace| run.slowed_by(pace.factor()))
    }

    fn factor(&self, now: Instant) -> f64 {
        self.tracker.current(now).map_or(1.0, TargetPace::factor)
    }

    fn update_queue(&mut self, now: Instant) {
        if self.claim != PaceClaim::Untracked {
            self.queue.set_run_factor(self.factor(now));
        }
    }

    fn mean_run(&self, now: Instant) -> Duration {
        let factor = self.factor(now);
        if self.runs.is_empty() {
            return self.run_times.mean().mul_f64(factor);
        }
        let run = |run: &Run| {
            let age = now.saturating_duration_since(run.started);
            let expected = run.expected.mul_f64(factor);
            if age > expected * 2 {
                age
            } else {
                expected
            }
        };
        let total: Duration = self.runs.iter().map(run).sum();
        total.div_f64(count_to_f64(self.runs.len()))
    }

    fn report(&self, now: Instant) -> Report {
        Report {
            occupancy: self.queue.running() + self.queue.waiting(),
            sent_since: 0,
            run_ms: self.mean_run(now).as_secs_f64() * 1_000.0,
            slowdown: self.run_times.slowdown(),
            pace: self.tracker.current(now),
            at: now,
        }
    }

    fn start(&mut self, call: Call, expected: Duration, now: Instant) {
        self.runs.push(Run {
            left_ms: call.work_ms * self.speed,
            call,
            started: now,
            mark: self.tracker.mark(now),
            expected,
        });
    }

    /// Offers a call; returns it if it is declined.
    fn offer(&mut self, call: Call, start: Instant, now: Instant) -> Option<Call> {
        let long_term = self.run_times.expect("read", call.usual);
        let arrived = start + Duration::from_millis(u64::from(call.at));
        let request = AdmissionRequest {
            priority: 0,
            soft_deadline: arrived + SOFT_DEADLINE,
            deadline: arrived + DEADLINE,
            run: self.scaled(long_term, now),
            link: LinkTime::default(),
        };
        self.update_queue(now);
        let mean_run = self.mean_run(now);
        match self.queue.offer(request, mean_run, now) {
            AdmissionDecision::Run => self.start(call, long_term.mean, now),
            AdmissionDecision::Wait(ticket) => {
                self.waiting.insert(ticket, (call, long_term.mean));
            }
            AdmissionDecision::Decline { .. } => return Some(call),
        }
        None
    }

    /// Runs one step; returns the answered and the declined calls.
    fn step(&mut self, step: u32, now: Instant, rng: &mut StdRng) -> (Vec<Run>, Vec<Call>) {
        let pace = self.pace(step, rng);
        for run in &mut self.runs {
            run.left_ms -= 1.0 / pace;
        }
        let (ended, runs) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.left_ms <= 0.0);
        self.runs = runs;
        let ended: Vec<Run> = ended;
        for run in &ended {
            let statement = self.statement(pace, rng);
            self.has_news |= self.tracker.record(statement, now).is_some();
            let took = now.saturating_duration_since(run.started);
            let usual = match self.claim {
                PaceClaim::Untracked => took,
                _ => self.tracker.usual_run(run.mark, took, now),
            };
            self.run_times.record("read", run.call.usual, usual);
            self.queue.finish_run();
        }
        let mut declined = Vec::new();
        self.update_queue(now);
        let mean_run = self.mean_run(now);
        for outcome in self.queue.dispatch(mean_run, now) {
            let (WaitOutcome::Run(ticket) | WaitOutcome::Decline { ticket, .. }) = outcome;
            let (call, expected) = self.waiting.remove(&ticket).expect("a waiting call");
            match outcome {
                WaitOutcome::Run(_) => self.start(call, expected, now),
                WaitOutcome::Decline { .. } => declined.push(call),
            }
        }
        (ended, declined)
    }
}

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
