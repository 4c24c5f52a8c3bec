//! Simulated loads on a target that states a limit on the rate of calls.

// The counts of a simulation are small, so no conversion loses digits.
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]

#[path = "support/gate.rs"]
mod gate;

use std::time::{Duration, Instant};

use filbert_policy::admission::{AdmissionDecision, AdmissionRequest, DeclineReason, LinkTime};
use filbert_policy::numbers::count_to_f64;
use filbert_policy::run_times::RunTime;
use filbert_policy::target_limit::{CallRate, LimitStatement, TargetLimit};
use gate::{open_queue, replay_stated, CallOutcome, SimulatedCall};
use proptest::prelude::*;
use rstest::rstest;

const RUN: Duration = Duration::from_millis(60);
/// Time that the daemons have to keep to a limit after it was first stated.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Length of the windows in which calls are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);

fn rate(per_second: f64) -> CallRate {
    CallRate::new(per_second).expect("a rate")
}

fn limited(per_second: f64) -> LimitStatement {
    LimitStatement::Limited(rate(per_second))
}

/// Calls at a constant rate for `seconds`; every third has the highest priority.
fn load(per_second: f64, seconds: f64) -> Vec<SimulatedCall> {
    (0..(per_second * seconds) as u32)
        .map(|number| SimulatedCall {
            at: Duration::from_secs_f64(f64::from(number) / per_second),
            priority: u8::from(number % 3 != 0),
            soft_timeout: Duration::from_millis(600),
            timeout: Duration::from_secs(4),
            run: RUN,
            expected_run: RUN,
            organisation: None,
        })
        .collect()
}

/// Times at which calls reached the target, in order.
fn starts(calls: &[SimulatedCall], outcomes: &[CallOutcome]) -> Vec<Duration> {
    let mut starts: Vec<Duration> = calls
        .iter()
        .zip(outcomes)
        .filter_map(|(call, outcome)| match outcome {
            CallOutcome::Answered { took } => Some((call.at + *took).saturating_sub(call.run)),
            CallOutcome::Declined { .. } => None,
        })
        .collect();
    starts.sort();
    starts
}

/// Number of calls in the `COUNT_WINDOW` from `start` on.
fn count_from(start: Duration, starts: &[Duration]) -> f64 {
    let window = start..start + COUNT_WINDOW;
    count_to_f64(starts.iter().filter(|at| window.contains(at)).count())
}

/// Guards against a limited target that is sent much less than it takes.
#[rstest]
#[case(0.8)]
#[case(3.3)]
#[case(9.0)]
#[case(40.0)]
fn a_target_gets_nine_tenths_of_its_limit_under_demand(#[case] per_second: f64) {
    let calls = load(per_second * 3.0, 20.0);
    let outcomes = replay_stated(&calls, &[(Duration::ZERO, limited(per_second))]);
    let sent = count_to_f64(starts(&calls, &outcomes).len());
    assert!(sent >= 0.9 * per_second * 20.0, "{sent} calls in 20 s");
}

/// Guards against calls that wait for a limit until it is too late for their callers to
/// try elsewhere.
#[test]
fn calls_beyond_the_limit_are_declined_early() {
    let calls = load(60.0, 10.0);
    for outcome in replay_stated(&calls, &[(Duration::ZERO, limited(9.0))]) {
        if let CallOutcome::Declined { declined_after } = outcome {
            assert!(
                declined_after <= Duration::from_millis(600),
                "declined after {declined_after:?}"
            );
        }
    }
}

/// Guards against a limit that serves calls in the order of their arrival, so that
/// urgent ones fail with the others.
#[test]
fn urgent_calls_pass_a_limit_first() {
    let calls = load(27.0, 20.0);
    let outcomes = replay_stated(&calls, &[(Duration::ZERO, limited(9.0))]);
    let answered = |priority: u8| {
        let of_priority = calls.iter().zip(&outcomes);
        let answered = of_priority.filter(|(call, outcome)| {
            call.priority == priority && matches!(outcome, CallOutcome::Answered { .. })
        });
        answered.count()
    };
    // A third of the calls is urgent, and they alone are as many as the limit.
    assert!(answered(0) >= 150, "{} of 180 urgent calls", answered(0));
}

/// Guards against a refusal that names neither its cause nor when there is room again.
#[test]
fn a_call_beyond_the_limit_is_told_when_there_is_room() {
    let now = Instant::now();
    let mut queue = open_queue();
    queue.record_statement(limited(0.5), now, now);
    let request = AdmissionRequest {
        priority: 0,
        soft_deadline: now + Duration::from_millis(600),
        deadline: now + Duration::from_millis(800),
        run: RunTime::exponential(RUN),
        link: LinkTime::default(),
        organisation: None,
    };
    let decision = queue.offer(request, RUN, now);
    let expected = AdmissionDecision::Decline {
        reason: DeclineReason::Limited,
        room_in: Duration::from_secs(2),
    };
    assert_eq!(decision, expected);
}

/// What an answer states about the limit, and how the limit has changed before it.
struct StatementCase {
    before: LimitStatement,
    stated: LimitStatement,
    /// Whether the call of the answer was sent after the limit was last stated.
    is_newer: bool,
    after: Option<f64>,
}

/// Guards against a limit that ends, rises or is forgotten because of an older answer or
/// one that cannot be read.
#[rstest]
#[case::first(StatementCase { before: LimitStatement::Unlimited, stated: limited(9.0), is_newer: false, after: Some(9.0) })]
#[case::lower(StatementCase { before: limited(9.0), stated: limited(3.0), is_newer: false, after: Some(3.0) })]
#[case::higher(StatementCase { before: limited(3.0), stated: limited(9.0), is_newer: true, after: Some(9.0) })]
#[case::older_higher(StatementCase { before: limited(3.0), stated: limited(9.0), is_newer: false, after: Some(3.0) })]
#[case::ended(StatementCase { before: limited(3.0), stated: LimitStatement::Unlimited, is_newer: true, after: None })]
#[case::older_without(StatementCase { before: limited(3.0), stated: LimitStatement::Unlimited, is_newer: false, after: Some(3.0) })]
#[case::unreadable(StatementCase { before: limited(3.0), stated: LimitStatement::Unreadable, is_newer: true, after: Some(3.0) })]
fn an_older_answer_only_lowers_the_limit(#[case] case: StatementCase) {
    let start = Instant::now();
    let stated_at = start + Duration::from_secs(1);
    let mut limit = TargetLimit::default();
    limit.record(case.before, start, stated_at);
    let sent_at = if case.is_newer { stated_at } else { start };
    limit.record(case.stated, sent_at, stated_at + Duration::from_secs(1));
    assert_eq!(limit.rate().map(CallRate::per_second), case.after);
}

/// A history of statements, each with the time since the one before.
fn statements() -> impl Strategy<Value = Vec<(u64, Option<f64>)>> {
    let stated = prop_oneof![
        Just(Some(0.0)),
        (0.0..40.0_f64).prop_map(Some),
        (0.0..5.0_f64).prop_map(Some),
        Just(None),
    ];
    prop::collection::vec((0..6_000_u64, stated), 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against any order of limits and calls in which a target gets more in 4 s
    /// than half as much again as its highest limit in that time, and 5.
    #[test]
    fn no_history_exceeds_the_limit(history in statements(), per_second in 5.0..90.0_f64) {
        let calls = load(per_second, 25.0);
        let mut at = Duration::ZERO;
        let stated: Vec<(Duration, LimitStatement)> = history
            .iter()
            .map(|(pause, limit)| {
                at += Duration::from_millis(*pause);
                (at, limit.map_or(LimitStatement::Unlimited, limited))
            })
            .collect();
        let outcomes = replay_stated(&calls, &stated);
        let starts = starts(&calls, &outcomes);
        let in_force_at = |time: Duration| {
            let stated_before = stated.iter().rfind(|(at, _)| *at <= time);
            stated_before.map_or(LimitStatement::Unlimited, |(_, statement)| *statement)
        };
        for start in &starts {
            // Every limit that was in force in the window or while the target was told.
            let reach = start.saturating_sub(STABLE_WINDOW)..*start + COUNT_WINDOW;
            let changed = stated.iter().filter(|(at, _)| reach.contains(at));
            let all = changed
                .map(|(_, statement)| *statement)
                .chain([in_force_at(reach.start)]);
            let limits: Option<Vec<f64>> = all
                .map(|statement| match statement {
                    LimitStatement::Limited(rate) => Some(rate.per_second()),
                    _ => None,
                })
                .collect();
            let Some(limits) = limits else { continue };
            let highest = limits.into_iter().fold(0.0, f64::max);
            let allowed = 1.5 * highest * COUNT_WINDOW.as_secs_f64() + 5.0;
            let count = count_from(*start, &starts);
            prop_assert!(count <= allowed, "{} calls from {:?}, {} allowed", count, start, allowed);
        }
    }
}
