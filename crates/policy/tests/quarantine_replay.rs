//! Replays generated histories of a fleet: targets that crash, one call that
//! crashes them, and bystanders.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbert_policy::identity::{CallIdentity, IdentityParts};
use filbert_policy::quarantine::{
    hold_duration, CallRecord, QuarantineState, QuarantineTable, TargetCrash,
};
use proptest::prelude::*;

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(10);
/// Time that a target takes to restart after a crash.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Most daemons in a history.
const MAX_DAEMONS: usize = 8;
/// Calls that a target runs at once.
const SLOTS: usize = 8;
/// Time after the third crash within which all daemons must hold the call.
const MAX_PROPAGATION: Duration = Duration::from_secs(3);
/// Most runs of the harmful call after that time.
const MAX_LATE_RUNS: usize = 3;
/// Most strikes of a refused bystander when only the harmful call crashes targets:
/// the bystander may have been running at each crash. It is refused for the first
/// hold, 10 s at most.
const MAX_BYSTANDER_STRIKES: u32 = 3;
/// Time beyond its hold for which a call may still be refused: another daemon
/// probes it first, and the result has to arrive.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(3);

fn identity(name: &str) -> CallIdentity {
    CallIdentity::of(&IdentityParts {
        method: "GET",
        host: "shop.example",
        target: name,
        caller: &[],
        body_prefix: b"",
        body_length: Some(0),
    })
}

/// Parameters of one replay, as generated.
#[derive(Clone, Debug)]
struct History {
    daemons: usize,
    /// Each daemon's jitter, as a fraction of a hold.
    jitters: [f64; MAX_DAEMONS],
    targets: usize,
    /// Steps until a message reaches all daemons.
    message_steps: usize,
    /// Steps between two requests for the harmful call.
    harmful_every: usize,
    /// Steps that the harmful call runs before its target crashes.
    harmful_runs: usize,
    /// Steps between two requests for the popular bystander.
    popular_every: usize,
    /// Steps that a bystander takes to run.
    bystander_runs: usize,
    /// Targets that crash by themselves, by step.
    unrelated_crashes: BTreeMap<usize, usize>,
}

fn histories() -> impl Strategy<Value = History> {
    (
        (2..=MAX_DAEMONS, 3_usize..12, 1_usize..25),
        (5_usize..100, 1_usize..15),
        (2_usize..20, 2_usize..30),
        prop::collection::btree_map(0_usize..4_000, 0_usize..12, 0..30),
        prop::array::uniform(0.0..1.0),
    )
        .prop_map(
            |(size, harmful, popular, unrelated_crashes, jitters)| History {
                daemons: size.0,
                jitters,
                targets: size.1,
                message_steps: size.2,
                harmful_every: harmful.0,
                harmful_runs: harmful.1,
                popular_every: popular.0,
                bystander_runs: popular.1,
                unrelated_crashes,
            },
        )
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
    down_until: Option<Instant>,
}

/// What happened to one call.
#[derive(Default)]
struct CallHistory {
    /// When targets crashed while they ran the call.
    crashes: Vec<Instant>,
    /// When runs of the call began.
    run_starts: Vec<Instant>,
    refused_since: Option<Instant>,
    longest_refused: Duration,
    /// Most strikes of the call at any refusal.
    max_strikes: u32,
}

struct Fleet {
    tables: Vec<QuarantineTable>,
    jitters: Vec<f64>,
    targets: Vec<Target>,
    /// Messages in transit, with the time of their arrival.
    messages: Vec<(Instant, CallIdentity, CallRecord)>,
    message_delay: Duration,
    call_histories: BTreeMap<CallIdentity, CallHistory>,
    now: Instant,
    last_crash_id: u64,
    requests: usize,
}

impl Fleet {
    fn new(history: &History) -> Fleet {
        Fleet {
            tables: vec![QuarantineTable::default(); history.daemons],
            jitters: history.jitters[..history.daemons].to_vec(),
            targets: (0..history.targets).map(|_| Target::default()).collect(),
            messages: Vec::new(),
            message_delay: STEP * u32::try_from(history.message_steps).unwrap_or(1),
            call_histories: BTreeMap::new(),
            now: Instant::now(),
            last_crash_id: 0,
            requests: 0,
        }
    }

    fn merge(&mut self, daemon: usize, call: CallIdentity, record: &CallRecord) {
        let change = self.tables[daemon].merge(call, record, self.now);
        if change.is_new || change.is_sender_behind {
            self.send(daemon, call);
        }
    }

    fn send(&mut self, daemon: usize, call: CallIdentity) {
        if let Some(record) = self.tables[daemon].record(call) {
            let message = (self.now + self.message_delay, call, record.clone());
            self.messages.push(message);
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.messages = left;
        for (_, call, record) in due {
            for daemon in 0..self.tables.len() {
                self.merge(daemon, call, &record);
            }
        }
    }

    fn crash_target(&mut self, target: usize) {
        let target = &mut self.targets[target];
        target.down_until = Some(self.now + RESTART_TIME);
        for run in std::mem::take(&mut target.runs) {
            self.last_crash_id += 1;
            let crash = TargetCrash {
                id: self.last_crash_id,
                began: run.began,
                ended: self.now,
            };
            self.call_histories
                .entry(run.call)
                .or_default()
                .crashes
                .push(self.now);
            self.merge(run.daemon, run.call, &CallRecord::from_crash(crash));
        }
    }

    /// Ends the runs that are due. A target crashes when its run of `harmful` is due.
    fn end_runs(&mut self, harmful: CallIdentity) {
        let now = self.now;
        for index in 0..self.targets.len() {
            let target = &mut self.targets[index];
            if target.down_until.is_some_and(|until| until <= now) {
                target.down_until = None;
            }
            let is_due = |run: &Run| run.ends_at <= now;
            if target
                .runs
                .iter()
                .any(|run| run.call == harmful && is_due(run))
            {
                self.crash_target(index);
                continue;
            }
            let (done, left): (Vec<_>, Vec<_>) = std::mem::take(&mut target.runs)
                .into_iter()
                .partition(is_due);
            target.runs = left;
            for run in done {
                let table = &mut self.tables[run.daemon];
                table.end_probe(run.call);
                let was_suspect = table.is_suspect(run.call);
                table.record_success(run.call, now);
                if was_suspect {
                    self.send(run.daemon, run.call);
                }
            }
        }
    }

    /// Sends `call`, which runs for `run_steps`, to the next daemon in turn.
    fn request(&mut self, call: CallIdentity, run_steps: usize) {
        self.requests += 1;
        let daemon = self.requests % self.tables.len();
        let now = self.now;
        let table = &mut self.tables[daemon];
        let state = table.quarantine_state(call, self.jitters[daemon], now);
        let mut is_probe = false;
        let call_history = self.call_histories.entry(call).or_default();
        match state {
            QuarantineState::Unrestricted => {}
            QuarantineState::ProbeAllowed => {
                table.begin_probe(call, now);
                is_probe = true;
            }
            QuarantineState::ProbeInFlight | QuarantineState::Held(_) => {
                let since = *call_history.refused_since.get_or_insert(now);
                call_history.max_strikes = call_history.max_strikes.max(table.strikes(call));
                call_history.longest_refused =
                    call_history.longest_refused.max(now.duration_since(since));
                return;
            }
        }
        call_history.refused_since = None;
        let table = &self.tables[daemon];
        let has_room = |target: &&mut Target| {
            let is_other_suspect = |run: &Run| run.call != call && table.is_suspect(run.call);
            target.down_until.is_none()
                && target.runs.len() < SLOTS
                && !(table.is_suspect(call) && target.runs.iter().any(is_other_suspect))
        };
        let best = self
            .targets
            .iter_mut()
            .filter(has_room)
            .min_by_key(|target| target.runs.len());
        let Some(target) = best else {
            self.tables[daemon].end_probe(call);
            return;
        };
        call_history.run_starts.push(now);
        target.runs.push(Run {
            call,
            daemon,
            began: now,
            ends_at: now + STEP * u32::try_from(run_steps).unwrap_or(1),
        });
        if is_probe {
            self.send(daemon, call);
        }
    }
}

fn replay(history: &History) -> Fleet {
    let mut fleet = Fleet::new(history);
    let harmful = identity("/harmful");
    let popular = identity("/popular");
    for step in 0..4_000 {
        fleet.deliver_messages();
        fleet.end_runs(harmful);
        if let Some(target) = history.unrelated_crashes.get(&step) {
            fleet.crash_target(target % history.targets);
        }
        if step % history.harmful_every == 0 {
            fleet.request(harmful, history.harmful_runs);
        }
        if step % history.popular_every == 0 {
            fleet.request(popular, history.bystander_runs);
            fleet.request(identity(&format!("/once/{step}")), history.bystander_runs);
        }
        fleet.now += STEP;
    }
    fleet
}

/// Generated histories; they take some seconds.
const CASES: u32 = 400;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// Whichever targets crash and whichever calls they run then, the call that
    /// crashes targets is held back, and bystanders are refused no longer than
    /// their strikes allow.
    #[test]
    fn the_harmful_call_is_held_back_and_bystanders_are_not(history in histories()) {
        let fleet = replay(&history);
        let harmful = &fleet.call_histories[&identity("/harmful")];
        if let Some(third_crash) = harmful.crashes.get(2) {
            let late_runs = harmful.run_starts.iter().filter(|at| **at > *third_crash + MAX_PROPAGATION).count();
            prop_assert!(late_runs <= MAX_LATE_RUNS, "{} late runs", late_runs);
        }
        for (call, call_history) in &fleet.call_histories {
            if *call != identity("/harmful") {
                let bound = hold_duration(call_history.max_strikes, 1.0) + MAX_PROBE_DELAY;
                prop_assert!(
                    call_history.longest_refused <= bound,
                    "refused for {:?} after {} strikes", call_history.longest_refused, call_history.max_strikes
                );
                prop_assert!(!history.unrelated_crashes.is_empty() || call_history.max_strikes <= MAX_BYSTANDER_STRIKES);
            }
        }
    }
}
