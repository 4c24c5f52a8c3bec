//! Replays of generated lives of the targets on one host: reports that come late, crashes,
//! shutdowns and restarts of the daemon, against the rules by which reports are believed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbert_policy::instance::{InstanceChange, InstanceKey, InstanceReport, InstanceTracker};
use filbert_policy::restart_check::RestartCheck;
use proptest::prelude::*;

/// Time between two reports of a target, and the length of a step of the replay.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(100);
const STEPS_PER_REPORT: u64 = 15;
/// Time within which a live target has to get calls again, behind its start, the last late
/// report and the last restart of the daemon: half of the time that the users allow for a
/// recovery.
const MAX_SHUT_OUT: Duration = Duration::from_millis(7_500);

fn key(number: usize) -> InstanceKey {
    InstanceKey {
        id: format!("i-{number}"),
        born: None,
    }
}

/// How the life of a target ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// It sends nothing any more.
    Crash,
    /// It deregisters, which is acknowledged.
    Deregistration,
    /// It reports that it drains, which is acknowledged.
    Draining,
}

/// The life of one target. The next one begins when it has ended.
#[derive(Clone, Debug)]
struct Life {
    reports: u64,
    end: End,
    /// By how many steps each of its last reports is late.
    lateness: Vec<u64>,
    /// Steps until the next target starts.
    pause: u64,
}

fn lives() -> impl Strategy<Value = Vec<Life>> {
    let life = (
        1_u64..12,
        prop_oneof![
            Just(End::Crash),
            Just(End::Deregistration),
            Just(End::Draining)
        ],
        prop::collection::vec(0_u64..60, 0..3),
        0_u64..30,
    )
        .prop_map(|(reports, end, lateness, pause)| Life {
            reports,
            end,
            lateness,
            pause,
        });
    prop::collection::vec(life, 1..5)
}

/// What reaches the daemon in a step.
enum Arrival {
    Report(usize, u64),
    Deregistration(usize),
    Draining(usize, u64),
}

/// The arrivals by step, and the steps in which each target lives.
struct History {
    arrivals: BTreeMap<u64, Vec<Arrival>>,
    /// Steps in which a report is sent that arrives later.
    delays: BTreeSet<u64>,
    spans: Vec<(u64, u64)>,
    end: u64,
}

impl History {
    /// The last life goes on for 20 reports more, without any late one.
    fn of(lives: &[Life]) -> History {
        let mut arrivals: BTreeMap<u64, Vec<Arrival>> = BTreeMap::new();
        let mut delays = BTreeSet::new();
        let mut spans = Vec::new();
        let mut step = 0;
        for (number, life) in lives.iter().enumerate() {
            let is_last = number + 1 == lives.len();
            let reports = life.reports + if is_last { 20 } else { 0 };
            let started = step;
            for report in 0..reports {
                let from_end = usize::try_from(reports - 1 - report).expect("a short life");
                let late = if is_last {
                    None
                } else {
                    life.lateness.get(from_end)
                };
                let at = step + late.copied().unwrap_or(0);
                if at > step {
                    delays.insert(step);
                }
                arrivals
                    .entry(at)
                    .or_default()
                    .push(Arrival::Report(number, report + 1));
                step += STEPS_PER_REPORT;
            }
            let announcement = match life.end {
                End::Crash => None,
                End::Deregistration => Some(Arrival::Deregistration(number)),
                End::Draining => Some(Arrival::Draining(number, reports + 1)),
            };
            if !is_last {
                arrivals.entry(step).or_default().extend(announcement);
            }
            spans.push((started, step));
            step += life.pause;
        }
        History {
            arrivals,
            delays,
            spans,
            end: step,
        }
    }

    /// The target that lives in `step`.
    fn live(&self, step: u64) -> Option<usize> {
        let mut spans = self.spans.iter();
        spans.position(|(from, to)| (*from..*to).contains(&step))
    }
}

/// The daemon, and what it has put into the store.
struct Daemon {
    tracker: InstanceTracker,
    check: RestartCheck,
    stored_shutdowns: Vec<InstanceKey>,
}

impl Daemon {
    fn receive(&mut self, arrival: &Arrival, now: Instant) {
        match arrival {
            Arrival::Report(number, sequence) => self.report(*number, *sequence, false, now),
            Arrival::Draining(number, sequence) => {
                self.stored_shutdowns.push(key(*number));
                self.report(*number, *sequence, true, now);
            }
            Arrival::Deregistration(number) => {
                self.stored_shutdowns.push(key(*number));
                self.tracker.leave(&key(*number), now);
            }
        }
    }

    fn report(&mut self, number: usize, sequence: u64, is_draining: bool, now: Instant) {
        let report = InstanceReport {
            key: key(number),
            service: "quotes".to_owned(),
            software: "v1".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            slots: 9,
            is_draining,
            sequence,
            cold_left: Duration::ZERO,
        };
        if self.tracker.report(report, now) != InstanceChange::Stale {
            self.check.record_report(&key(number), REPORT_INTERVAL, now);
        }
    }

    /// Restarts the daemon, which reads the store at its first report at the latest.
    fn restart(&mut self, now: Instant) {
        self.tracker = InstanceTracker::default();
        self.check = RestartCheck::restarted();
        for instance in &self.stored_shutdowns {
            self.tracker.mark_left_before_restart(instance, now);
        }
        self.check.record_shutdowns_known();
    }

    /// The instance that gets calls.
    fn open_instance(&self) -> Option<&InstanceKey> {
        let current = self.tracker.current()?;
        let is_open = self.tracker.leaving_since().is_none() && self.check.allows_calls();
        is_open.then_some(&current.key)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(495),
        ..ProptestConfig::default()
    })]

    /// Guards against calls to a target that has announced its shutdown, and against a live
    /// one that is shut out for good because a late report took its place.
    #[test]
    fn a_live_target_gets_calls_again_and_one_that_left_never(
        lives in lives(),
        mut restarts in prop::collection::vec(0_u64..400, 0..4),
    ) {
        let history = History::of(&lives);
        restarts.sort_unstable();
        let started = Instant::now();
        let mut daemon = Daemon {
            tracker: InstanceTracker::default(),
            check: RestartCheck::first_start(),
            stored_shutdowns: Vec::new(),
        };
        let mut undisturbed_since = started;
        for step in 0..history.end {
            let now = started + STEP * u32::try_from(step).expect("a short history");
            let live = history.live(step);
            if restarts.contains(&step) {
                daemon.restart(now);
                undisturbed_since = now;
            }
            for arrival in history.arrivals.get(&step).into_iter().flatten() {
                daemon.receive(arrival, now);
                let is_of_live = matches!(arrival, Arrival::Report(number, _) if Some(*number) == live);
                if !is_of_live {
                    undisturbed_since = now;
                }
            }
            let begins = history.spans.iter().any(|(from, _)| *from == step);
            if begins || history.delays.contains(&step) {
                undisturbed_since = now;
            }
            let open = daemon.open_instance();
            prop_assert!(open.is_none_or(|open| !daemon.stored_shutdowns.contains(open)));
            if let Some(live) = live.filter(|_| now >= undisturbed_since + MAX_SHUT_OUT) {
                prop_assert_eq!(open, Some(&key(live)), "step {}", step);
            }
        }
    }
}

/// Guards against a live target that is shut out for good: a late report of a crashed one
/// comes behind its first report to a restarted daemon.
#[test]
fn a_late_report_does_not_shut_out_a_live_target_for_good() {
    let started = Instant::now();
    let mut daemon = Daemon {
        tracker: InstanceTracker::default(),
        check: RestartCheck::first_start(),
        stored_shutdowns: Vec::new(),
    };
    daemon.receive(&Arrival::Report(1, 1), started);
    daemon.receive(&Arrival::Report(0, 90), started + STEP);
    assert_eq!(daemon.open_instance(), Some(&key(0)));
    let mut now = started;
    for sequence in 2..7 {
        now += REPORT_INTERVAL;
        daemon.receive(&Arrival::Report(1, sequence), now);
    }
    assert_eq!(daemon.open_instance(), Some(&key(1)));
}

/// Guards against an acknowledged shutdown that is forgotten, as a late report had taken
/// the target's place when it announced it.
#[test]
fn a_replaced_target_that_drains_has_left() {
    let started = Instant::now();
    let mut daemon = Daemon {
        tracker: InstanceTracker::default(),
        check: RestartCheck::first_start(),
        stored_shutdowns: Vec::new(),
    };
    daemon.receive(&Arrival::Report(1, 1), started);
    daemon.receive(&Arrival::Report(0, 90), started + STEP);
    daemon.receive(&Arrival::Draining(1, 2), started + REPORT_INTERVAL);
    for sequence in 3..8 {
        let now = started + REPORT_INTERVAL * sequence;
        daemon.receive(&Arrival::Report(1, u64::from(sequence)), now);
        assert_ne!(daemon.open_instance(), Some(&key(1)));
    }
}

fn started_report(born: u64, sequence: u64) -> InstanceReport {
    InstanceReport {
        key: InstanceKey {
            id: "i-0".to_owned(),
            born: Some(born),
        },
        service: "quotes".to_owned(),
        software: "v1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        slots: 9,
        is_draining: false,
        sequence,
        cold_left: Duration::ZERO,
    }
}

/// Guards against a shutdown without a start time that does not bind the start that it
/// meant: a restarted daemon hears of it, or reads it, before or after a late report.
#[test]
fn a_shutdown_without_a_start_time_binds_the_start_that_it_meant() {
    let now = Instant::now();
    let mut tracker = InstanceTracker::default();
    tracker.leave(&key(0), now);
    let late = now + REPORT_INTERVAL * 2;
    assert_eq!(
        tracker.report(started_report(1_000, 17), late),
        InstanceChange::Stale
    );
    assert!(tracker.current().is_none());
    let mut tracker = InstanceTracker::default();
    tracker.report(started_report(1_000, 17), now);
    tracker.mark_left_before_restart(&key(0), now + STEP);
    assert!(tracker.current().is_none());
    let late = now + REPORT_INTERVAL;
    assert_eq!(
        tracker.report(started_report(1_000, 18), late),
        InstanceChange::Stale
    );
}

/// Guards against a target that is shut out for good, as it started again under an id that
/// was deregistered without a start time.
#[test]
fn a_new_start_under_a_deregistered_id_gets_calls_within_the_recovery_time() {
    let now = Instant::now();
    let mut tracker = InstanceTracker::default();
    tracker.leave(&key(0), now);
    for sequence in 1..=8 {
        let at = now + REPORT_INTERVAL * sequence;
        tracker.report(started_report(2_000, u64::from(sequence)), at);
    }
    assert!(tracker.current().is_some());
    assert!(tracker.leaving_since().is_none());
}

/// Guards against a report of another writer that lacks its start time and replaces a live
/// target, which states one.
#[test]
fn a_report_without_a_start_time_does_not_replace_a_live_target() {
    let report = |id: &str, born, sequence| InstanceReport {
        key: InstanceKey {
            id: id.to_owned(),
            born,
        },
        ..started_report(0, sequence)
    };
    let now = Instant::now();
    let mut tracker = InstanceTracker::default();
    tracker.report(report("live", Some(5), 1), now);
    let change = tracker.report(report("other", None, 1), now + REPORT_INTERVAL);
    assert_eq!(change, InstanceChange::Stale);
    let change = tracker.report(report("live", Some(5), 2), now + REPORT_INTERVAL);
    assert_eq!(change, InstanceChange::None);
    let change = tracker.report(report("next", Some(9), 1), now + REPORT_INTERVAL);
    assert_eq!(change, InstanceChange::Replaced);
    let much_later = now + REPORT_INTERVAL * 8;
    let change = tracker.report(report("other", None, 2), much_later);
    assert_eq!(change, InstanceChange::Replaced);
}
