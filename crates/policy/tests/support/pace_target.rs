//! A simulated target with slow periods, and its admission queue.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbert_policy::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, LinkTime, QueueLimits, WaitOutcome,
    WaitTicket,
};
use filbert_policy::numbers::count_to_f64;
use filbert_policy::pace::{PaceMark, PaceStatement, PaceTracker, TargetPace};
use filbert_policy::run_times::{RunTime, RunTimeEstimator};
use rand::rngs::StdRng;
use rand::Rng;

pub const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];
pub const SLOTS: u32 = 11;
pub const RUN_MS: f64 = 180.0;
pub const SOFT_DEADLINE: Duration = Duration::from_millis(600);
pub const DEADLINE: Duration = Duration::from_secs(4);
pub const SLOW_FACTOR: f64 = 2.5;
pub const SLOW_MS: f64 = 600.0;
pub const SLOW_SHARE: f64 = 0.15;

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
pub struct Call {
    pub daemon: usize,
    pub at: u32,
    pub work_ms: f64,
    /// Usual run time of the route, as known to the caller's daemon.
    pub usual: Option<RunTime>,
    pub tried: Vec<usize>,
}

pub struct Run {
    pub call: Call,
    pub left_ms: f64,
    pub started: Instant,
    pub mark: PaceMark,
    pub expected: Duration,
}

/// What a daemon knows of a target.
#[derive(Clone, Copy)]
pub struct Report {
    pub occupancy: u32,
    pub sent_since: u32,
    pub run_ms: f64,
    pub slowdown: f64,
    pub pace: Option<TargetPace>,
    pub at: Instant,
}

pub struct Target {
    pub speed: f64,
    pub claim: PaceClaim,
    pub slow_until: u32,
    pub usual_until: u32,
    pub queue: AdmissionQueue,
    pub run_times: RunTimeEstimator,
    pub tracker: PaceTracker,
    pub runs: Vec<Run>,
    /// Whether a change of the pace has to be told.
    pub has_news: bool,
    pub waiting: HashMap<WaitTicket, (Call, Duration)>,
}

impl Target {
    pub fn new(index: usize, claim: PaceClaim, rng: &mut StdRng) -> Target {
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

    pub fn pace(&mut self, step: u32, rng: &mut StdRng) -> f64 {
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

    pub fn statement(&self, pace: f64, rng: &mut StdRng) -> PaceStatement {
        let percent = match self.claim {
            PaceClaim::Untracked | PaceClaim::Nothing => return PaceStatement::Absent,
            PaceClaim::Truth => pace * 100.0,
            PaceClaim::Always(percent) => percent,
            PaceClaim::Jumping if rng.random() => 1.0,
            PaceClaim::Jumping => 10_000.0,
        };
        TargetPace::from_percent(percent).map_or(PaceStatement::Absent, PaceStatement::Stated)
    }

    pub fn scaled(&self, run: RunTime, now: Instant) -> RunTime {
        let pace = self.tracker.current(now);
        pace.map_or(run, |pace| run.slowed_by(pace.factor()))
    }

    pub fn factor(&self, now: Instant) -> f64 {
        self.tracker.current(now).map_or(1.0, TargetPace::factor)
    }

    pub fn update_queue(&mut self, now: Instant) {
        if self.claim != PaceClaim::Untracked {
            self.queue.set_run_factor(self.factor(now));
        }
    }

    pub fn mean_run(&self, now: Instant) -> Duration {
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

    pub fn report(&self, now: Instant) -> Report {
        Report {
            occupancy: self.queue.running() + self.queue.waiting(),
            sent_since: 0,
            run_ms: self.mean_run(now).as_secs_f64() * 1_000.0,
            slowdown: self.run_times.slowdown(),
            pace: self.tracker.current(now),
            at: now,
        }
    }

    pub fn start(&mut self, call: Call, expected: Duration, now: Instant) {
        self.runs.push(Run {
            left_ms: call.work_ms * self.speed,
            call,
            started: now,
            mark: self.tracker.mark(now),
            expected,
        });
    }

    /// Offers a call; returns it if it is declined.
    pub fn offer(&mut self, call: Call, start: Instant, now: Instant) -> Option<Call> {
        let long_term = self.run_times.expect("read", call.usual);
        let arrived = start + Duration::from_millis(u64::from(call.at));
        let request = AdmissionRequest {
            organisation: None,
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
    pub fn step(&mut self, step: u32, now: Instant, rng: &mut StdRng) -> (Vec<Run>, Vec<Call>) {
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
