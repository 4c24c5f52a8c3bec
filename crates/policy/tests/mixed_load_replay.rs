//! Simulated loads of several kinds of call on the admission queue of one target:
//! which calls are answered, which are declined, and how soon.

// The counts and times of a simulation are small, so no conversion loses digits.
#![allow(clippy::cast_precision_loss)]

#[path = "support/gate.rs"]
mod gate;

use std::time::Duration;

use gate::{replay, CallOutcome, SimulatedCall, SLOTS};
use rstest::rstest;

/// A stream of calls of one kind.
#[derive(Clone, Copy)]
struct CallKind {
    priority: u8,
    run_ms: u64,
    soft_timeout_ms: u64,
    timeout_ms: u64,
    /// Offered load, as a ratio of the target's slots.
    load_factor: f64,
}

/// Lookups on which calls at other targets depend.
const LOOKUP: CallKind = CallKind {
    priority: 1,
    run_ms: 30,
    soft_timeout_ms: 100,
    timeout_ms: 350,
    load_factor: 0.3,
};
/// Long reads of the lowest priority.
const REPORT: CallKind = CallKind {
    priority: 2,
    run_ms: 480,
    soft_timeout_ms: 1_180,
    timeout_ms: 1_980,
    load_factor: 1.2,
};
/// Payments, the calls of the highest priority.
const PAYMENT: CallKind = CallKind {
    priority: 0,
    run_ms: 140,
    soft_timeout_ms: 230,
    timeout_ms: 580,
    load_factor: 1.1,
};

/// The calls of `kinds` in `from..until`, sorted by arrival, each kind at a constant
/// rate.
fn load(kinds: &[CallKind], from: Duration, until: Duration) -> Vec<SimulatedCall> {
    let mut calls = Vec::new();
    for kind in kinds {
        let run = Duration::from_millis(kind.run_ms);
        let gap = run.div_f64(kind.load_factor * f64::from(SLOTS));
        let mut at = from + gap / 2;
        while at < until {
            calls.push(SimulatedCall {
                at,
                priority: kind.priority,
                soft_timeout: Duration::from_millis(kind.soft_timeout_ms),
                timeout: Duration::from_millis(kind.timeout_ms),
                run,
                expected_run: run,
                organisation: None,
            });
            at += gap;
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn share_answered(calls: &[SimulatedCall], outcomes: &[CallOutcome], kind: &CallKind) -> f64 {
    let run = Duration::from_millis(kind.run_ms);
    let (all, answered) = calls
        .iter()
        .zip(outcomes)
        .filter(|(call, _)| call.run == run)
        .fold((0_u32, 0_u32), |(all, answered), (_, outcome)| {
            let is_answered = matches!(outcome, CallOutcome::Answered { .. });
            (all + 1, answered + u32::from(is_answered))
        });
    f64::from(answered) / f64::from(all)
}

const SECOND: Duration = Duration::from_secs(1);

/// A target runs lookups, on which calls at other targets depend, beside calls that
/// would fill all its slots. A declined lookup fails the call that depends on it,
/// which a caller sees as a failed payment or order, whereas all lookups together
/// take at most a third of the slots.
#[rstest]
#[case("long reads", REPORT, 0.5)]
#[case("calls more urgent than the lookups", PAYMENT, 0.55)]
fn lookups_are_answered_beside_calls_that_fill_all_slots(
    #[case] description: &str,
    #[case] other: CallKind,
    #[case] other_at_least: f64,
) {
    let calls = load(&[LOOKUP, other], Duration::ZERO, SECOND * 8);
    let outcomes = replay(&calls);
    let lookups = share_answered(&calls, &outcomes, &LOOKUP);
    assert!(lookups >= 0.97, "{description}: {lookups} of the lookups");
    let others = share_answered(&calls, &outcomes, &other);
    assert!(
        others >= other_at_least,
        "{description}: {others} of the others"
    );
}

/// For eight seconds, 1.5 times as many calls arrive as the target can run. Late
/// calls must not wait while new calls that are not late keep overtaking them: at
/// least nine in ten declined calls must be declined at once.
#[test]
fn in_a_lasting_overload_calls_are_declined_at_once() {
    let kind = CallKind {
        load_factor: 1.5,
        ..PAYMENT
    };
    let calls = load(&[kind], Duration::ZERO, SECOND * 8);
    let outcomes = replay(&calls);
    let decline_times: Vec<Duration> = outcomes
        .iter()
        .filter_map(|outcome| match outcome {
            CallOutcome::Declined { declined_after } => Some(*declined_after),
            CallOutcome::Answered { .. } => None,
        })
        .collect();
    let at_once = decline_times
        .iter()
        .filter(|declined_after| **declined_after <= Duration::from_millis(30))
        .count();
    assert!(
        at_once * 10 >= decline_times.len() * 9,
        "{at_once} of {} declined at once",
        decline_times.len()
    );
}

/// Twice as many calls as there are slots arrive at once, in a load that otherwise
/// leaves slots free. Calls that become late by this burst must wait and be
/// answered, because slots are soon free.
#[test]
fn a_short_burst_waits_and_is_answered() {
    let kind = CallKind {
        load_factor: 0.3,
        soft_timeout_ms: 300,
        timeout_ms: 1_500,
        ..PAYMENT
    };
    let mut calls = load(&[kind], Duration::ZERO, SECOND * 4);
    let burst = SimulatedCall {
        at: SECOND,
        ..calls[0]
    };
    calls.extend(std::iter::repeat_n(burst, SLOTS as usize * 2));
    calls.sort_by_key(|call| call.at);
    let outcomes = replay(&calls);
    let answered = share_answered(&calls, &outcomes, &kind);
    assert!(answered >= 0.9, "{answered}");
}
