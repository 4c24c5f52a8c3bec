//! Statements of a target's pace, and what the tracker derives from them.

use std::time::{Duration, Instant};

use filbert_policy::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, LinkTime, QueueLimits, WaitOutcome,
};
use filbert_policy::pace::{PaceStatement, PaceTracker, TargetPace, MIN_CHANGE_INTERVAL};
use filbert_policy::run_times::RunTime;
use proptest::prelude::*;
use rstest::rstest;

fn stated(percent: f64) -> PaceStatement {
    PaceStatement::Stated(TargetPace::from_percent(percent).expect("a pace"))
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against an old statement that keeps calls from a target, and against a false
/// one with an effect beyond the bounds.
#[rstest]
#[case::fresh(250.0, 0, 2.5)]
#[case::half_a_slow_period_old(250.0, 300, 1.75)]
#[case::old(250.0, 600, 1.0)]
#[case::very_old(250.0, 600_000, 1.0)]
#[case::absurdly_slow(10_000.0, 0, 4.0)]
#[case::absurdly_fast(1.0, 0, 0.5)]
fn a_pace_is_bounded_and_decays(#[case] percent: f64, #[case] age_ms: u64, #[case] factor: f64) {
    let pace = TargetPace::from_percent(percent).expect("a pace");
    let aged = pace.after(millis(age_ms));
    assert!((aged.factor() - factor).abs() < 1e-9, "{}", aged.factor());
    assert_eq!(aged.is_usual(), (factor - 1.0).abs() < 1e-9);
}

/// Guards against numbers that would make every estimate useless.
#[rstest]
fn a_pace_that_is_no_positive_number_is_refused(
    #[values(0.0, -100.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY)] percent: f64,
) {
    assert_eq!(TargetPace::from_percent(percent), None);
}

/// A run and the statements of its target, with times since the start of the run.
struct RunCase {
    /// Statements, in percent.
    statements: &'static [(u64, f64)],
    run_ms: u64,
    usual_ms: u64,
}

/// Guards against slow periods that are averaged into the long-term run time, also where
/// a target gets one call at a time.
#[rstest]
#[case::no_statement(RunCase { statements: &[], run_ms: 450, usual_ms: 450 })]
#[case::usual(RunCase { statements: &[(180, 100.0)], run_ms: 180, usual_ms: 180 })]
#[case::single_slow_run(RunCase { statements: &[(450, 250.0)], run_ms: 450, usual_ms: 180 })]
#[case::slow_first_half(RunCase { statements: &[(250, 250.0), (330, 100.0)], run_ms: 330, usual_ms: 180 })]
#[case::slow_at_the_end_only(RunCase { statements: &[(1_600, 250.0)], run_ms: 1_600, usual_ms: 1_240 })]
fn a_run_is_divided_by_the_pace_during_it(#[case] case: RunCase) {
    let start = Instant::now();
    let mut tracker = PaceTracker::default();
    let mark = tracker.mark(start);
    for (at, percent) in case.statements {
        tracker.record(stated(*percent), start + millis(*at));
    }
    let took = millis(case.run_ms);
    let usual = tracker.usual_run(mark, took, start + took);
    if case.statements.is_empty() {
        assert_eq!(usual, took);
    }
    let difference = usual.abs_diff(millis(case.usual_ms));
    assert!(difference <= millis(1), "{usual:?}");
}

/// Guards against a missing or unreadable figure that discards what is known.
#[rstest]
fn statements_without_a_pace_change_nothing(
    #[values(PaceStatement::Absent, PaceStatement::Unreadable)] statement: PaceStatement,
) {
    let start = Instant::now();
    let mut tracker = PaceTracker::default();
    tracker.record(stated(250.0), start);
    let before = tracker.current(start);
    assert_eq!(tracker.record(statement, start), None);
    assert_eq!(tracker.current(start), before);
}

/// Guards against calls that arrived in a slow period and start behind later ones of their
/// kind, as the queue starts short runs first.
#[test]
fn waiting_calls_follow_the_pace() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    queue.set_open(true);
    let request = |run_ms, soft_ms| AdmissionRequest {
        organisation: None,
        priority: 0,
        soft_deadline: now + millis(soft_ms),
        deadline: now + millis(9_000),
        run: RunTime::exponential(millis(run_ms)),
        link: LinkTime::default(),
    };
    queue.offer(request(180, 4_000), millis(180), now);
    queue.set_run_factor(2.5);
    let AdmissionDecision::Wait(first) = queue.offer(request(450, 4_000), millis(450), now) else {
        panic!("the call does not wait");
    };
    queue.set_run_factor(1.0);
    queue.offer(request(180, 4_100), millis(180), now);
    queue.finish_run();
    assert_eq!(queue.dispatch(millis(180), now), [WaitOutcome::Run(first)]);
}

proptest! {
    /// Guards against a target whose statements cause log lines and messages without a
    /// limit, or an estimate that is not finite.
    #[test]
    fn changes_are_reported_seldom(history in prop::collection::vec((0..50_u64, 1.0..2_000.0_f64), 1..200)) {
        let start = Instant::now();
        let mut tracker = PaceTracker::default();
        let mark = tracker.mark(start);
        let mut now = start;
        let mut last: Option<Instant> = None;
        for (pause, percent) in history {
            now += millis(pause);
            if tracker.record(stated(percent), now).is_some() {
                prop_assert!(last.is_none_or(|last| now >= last + MIN_CHANGE_INTERVAL));
                last = Some(now);
            }
            let took = now - start;
            let usual = tracker.usual_run(mark, took, now);
            prop_assert!(usual <= took * 2 + millis(1) && usual * 4 + millis(1) >= took);
        }
    }
}
