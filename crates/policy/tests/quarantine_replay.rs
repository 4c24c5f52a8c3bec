//! Generated histories of a fleet: targets that end, one call that ends them,
//! and bystanders.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbert_policy::identity::{CallIdentity, IdentityParts};
use filbert_policy::quarantine::{
    hold_duration, CallRecord, QuarantineState, QuarantineTable, TargetCrash,
};
use proptest::prelude::*;

/// One step of time.
const STEP: Duration = Duration::from_millis(10);
/// Time that a target is away after its end.
const AWAY: Duration = Duration::from_secs(3);
/// Daemons in a history.
const MOST_DAEMONS: usize = 8;
/// Calls that a target runs at once.
const SLOTS: usize = 8;
/// Time from the third end within which all daemons must know.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Runs of the harmful call after that.
const MOST_LATE_RUNS: usize = 3;
/// Strikes of a bystander where only the harmful call ends targets: it may have
/// been at work at each end. It is refused for the first hold, 10 s at most.
const MOST_STRIKES: u32 = 3;
/// Time beyond a hold for which a call may be refused: another daemon tries it
/// first, and its answer is told.
const ASKED_AGAIN: Duration = Duration::from_secs(3);

fn identity(name: &str) -> CallIdentity {
    CallIdentity::of(&IdentityParts {
        method: "GET",
        host: "shop.example",
        target: name,
        caller: &[],
        body_start: b"",
        body_length: Some(0),
    })
}

/// What happens, as drawn.
#[derive(Clone, Debug)]
struct History {
    daemons: usize,
    /// Each daemon's fraction of a hold.
    spreads: [f64; MOST_DAEMONS],
    targets: usize,
    /// Steps until news are everywhere.
    news_steps: usize,
    /// Steps between two tries of the harmful call.
    harmful_every: usize,
    /// Steps that it runs before its target ends.
    harmful_runs: usize,
    /// Steps between two calls of the popular bystander.
    popular_every: usize,
    /// Steps that a bystander runs.
    bystander_runs: usize,
    /// Targets that end by themselves, by step.
    ends: BTreeMap<usize, usize>,
}

fn histories() -> impl Strategy<Value = History> {
    (
        (2..=MOST_DAEMONS, 3_usize..12, 1_usize..25),
        (5_usize..100, 1_usize..15),
        (2_usize..20, 2_usize..30),
        prop::collection::btree_map(0_usize..4_000, 0_usize..12, 0..30),
        prop::array::uniform(0.0..1.0),
    )
        .prop_map(|(size, harmful, popular, ends, spreads)| History {
            daemons: size.0,
            spreads,
            targets: size.1,
            news_steps: size.2,
            harmful_every: harmful.0,
            harmful_runs: harmful.1,
            popular_every: popular.0,
            bystander_runs: popular.1,
            ends,
        })
}

struct Run {
    call: CallIdentity,
    daemon: usize,
    began: Instant,
    ends_at: Instant,
}

#[derive(Default)]
struct Target {
    runs: Vec<Run>,
    away_until: Option<Instant>,
}

/// What was seen of one call.
#[derive(Default)]
struct Sight {
    /// When targets ended under it.
    ends: Vec<Instant>,
    begun: Vec<Instant>,
    refused_since: Option<Instant>,
    longest_refused: Duration,
    /// The most strikes of which a daemon refused it.
    most_strikes: u32,
}

struct Fleet {
    books: Vec<QuarantineTable>,
    spreads: Vec<f64>,
    targets: Vec<Target>,
    /// News under way: when they arrive, and what they say.
    news: Vec<(Instant, CallIdentity, CallRecord)>,
    news_time: Duration,
    sights: BTreeMap<CallIdentity, Sight>,
    now: Instant,
    crashes: u64,
    turn: usize,
}

impl Fleet {
    fn new(history: &History) -> Fleet {
        Fleet {
            books: vec![QuarantineTable::default(); history.daemons],
            spreads: history.spreads[..history.daemons].to_vec(),
            targets: (0..history.targets).map(|_| Target::default()).collect(),
            news: Vec::new(),
            news_time: STEP * u32::try_from(history.news_steps).unwrap_or(1),
            sights: BTreeMap::new(),
            now: Instant::now(),
            crashes: 0,
            turn: 0,
        }
    }

    fn note(&mut self, daemon: usize, call: CallIdentity, record: &CallRecord) {
        let change = self.books[daemon].merge(call, record, self.now);
        if change.is_new || change.is_sender_behind {
            self.send(daemon, call);
        }
    }

    fn send(&mut self, daemon: usize, call: CallIdentity) {
        if let Some(record) = self.books[daemon].record(call) {
            let news = (self.now + self.news_time, call, record.clone());
            self.news.push(news);
        }
    }

    fn hear_news(&mut self) {
        let now = self.now;
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.news)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.news = left;
        for (_, call, record) in due {
            for daemon in 0..self.books.len() {
                self.note(daemon, call, &record);
            }
        }
    }

    fn end_target(&mut self, target: usize) {
        let target = &mut self.targets[target];
        target.away_until = Some(self.now + AWAY);
        for run in std::mem::take(&mut target.runs) {
            self.crashes += 1;
            let crash = TargetCrash {
                id: self.crashes,
                began: run.began,
                ended: self.now,
            };
            self.sights.entry(run.call).or_default().ends.push(self.now);
            self.note(run.daemon, run.call, &CallRecord::from_crash(crash));
        }
    }

    /// Ends what is due; a target that has run `harmful` for long enough ends.
    fn end_runs(&mut self, harmful: CallIdentity) {
        let now = self.now;
        for index in 0..self.targets.len() {
            let target = &mut self.targets[index];
            if target.away_until.is_some_and(|until| until <= now) {
                target.away_until = None;
            }
            let is_over = |run: &Run| run.ends_at <= now;
            if target
                .runs
                .iter()
                .any(|run| run.call == harmful && is_over(run))
            {
                self.end_target(index);
                continue;
            }
            let (done, left): (Vec<_>, Vec<_>) = std::mem::take(&mut target.runs)
                .into_iter()
                .partition(is_over);
            target.runs = left;
            for run in done {
                let table = &mut self.books[run.daemon];
                table.end_probe(run.call);
                let was_suspect = table.is_suspect(run.call);
                table.record_success(run.call, now);
                if was_suspect {
                    self.send(run.daemon, run.call);
                }
            }
        }
    }

    /// Asks the next daemon for `call`.
    fn ask(&mut self, call: CallIdentity, runs_for: usize) {
        self.turn += 1;
        let daemon = self.turn % self.books.len();
        let now = self.now;
        let table = &mut self.books[daemon];
        let quarantine_state = table.quarantine_state(call, self.spreads[daemon], now);
        let mut is_trial = false;
        let sight = self.sights.entry(call).or_default();
        match quarantine_state {
            QuarantineState::Unrestricted => {}
            QuarantineState::ProbeAllowed => {
                table.begin_probe(call, now);
                is_trial = true;
            }
            QuarantineState::ProbeInFlight | QuarantineState::Held(_) => {
                let since = *sight.refused_since.get_or_insert(now);
                sight.most_strikes = sight.most_strikes.max(table.strikes(call));
                sight.longest_refused = sight.longest_refused.max(now.duration_since(since));
                return;
            }
        }
        sight.refused_since = None;
        let table = &self.books[daemon];
        let is_open = |target: &&mut Target| {
            let is_beside = |run: &Run| run.call != call && table.is_suspect(run.call);
            target.away_until.is_none()
                && target.runs.len() < SLOTS
                && !(table.is_suspect(call) && target.runs.iter().any(is_beside))
        };
        let open = self
            .targets
            .iter_mut()
            .filter(is_open)
            .min_by_key(|target| target.runs.len());
        let Some(target) = open else {
            self.books[daemon].end_probe(call);
            return;
        };
        sight.begun.push(now);
        target.runs.push(Run {
            call,
            daemon,
            began: now,
            ends_at: now + STEP * u32::try_from(runs_for).unwrap_or(1),
        });
        if is_trial {
            self.send(daemon, call);
        }
    }
}

fn play(history: &History) -> Fleet {
    let mut fleet = Fleet::new(history);
    let harmful = identity("/harmful");
    let popular = identity("/popular");
    for step in 0..4_000 {
        fleet.hear_news();
        fleet.end_runs(harmful);
        if let Some(target) = history.ends.get(&step) {
            fleet.end_target(target % history.targets);
        }
        if step % history.harmful_every == 0 {
            fleet.ask(harmful, history.harmful_runs);
        }
        if step % history.popular_every == 0 {
            fleet.ask(popular, history.bystander_runs);
            fleet.ask(identity(&format!("/once/{step}")), history.bystander_runs);
        }
        fleet.now += STEP;
    }
    fleet
}

/// Histories played; some seconds.
const CASES: u32 = 400;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// Whatever ends and whoever is at work then, the call that ends targets is
    /// stopped, and a call that many ask for is hardly ever refused.
    #[test]
    fn the_harmful_call_is_stopped_and_no_bystander(history in histories()) {
        let fleet = play(&history);
        let harmful = &fleet.sights[&identity("/harmful")];
        if let Some(third) = harmful.ends.get(2) {
            let late = harmful.begun.iter().filter(|at| **at > *third + KNOWN_WITHIN).count();
            prop_assert!(late <= MOST_LATE_RUNS, "{} late runs", late);
        }
        for (call, sight) in &fleet.sights {
            if *call != identity("/harmful") {
                let bound = hold_duration(sight.most_strikes, 1.0) + ASKED_AGAIN;
                prop_assert!(
                    sight.longest_refused <= bound,
                    "refused for {:?} after {} strikes", sight.longest_refused, sight.most_strikes
                );
                prop_assert!(!history.ends.is_empty() || sight.most_strikes <= MOST_STRIKES);
            }
        }
    }
}
