//! Replays loads of several kinds of call against the queue in front of one
//! target: what waits, what is turned away, and how soon.

// Counts and times of a replay are small.
#![allow(clippy::cast_precision_loss)]

#[path = "support/gate.rs"]
mod gate;

use std::time::Duration;

use gate::{replay, CallFate, LoadCall, SLOTS};
use rstest::rstest;

/// A stream of calls of one kind.
#[derive(Clone, Copy)]
struct CallKind {
    priority: u8,
    run_ms: u64,
    aim_ms: u64,
    left_ms: u64,
    /// Share of the target's slots that it wants.
    of_slots: f64,
}

/// Lookups that runs elsewhere wait for.
const LOOKUP: CallKind = CallKind {
    priority: 1,
    run_ms: 30,
    aim_ms: 100,
    left_ms: 350,
    of_slots: 0.3,
};
/// Long reads of the last rank.
const REPORT: CallKind = CallKind {
    priority: 2,
    run_ms: 480,
    aim_ms: 1_180,
    left_ms: 1_980,
    of_slots: 1.2,
};
/// Payments: the most urgent there is.
const PAYMENT: CallKind = CallKind {
    priority: 0,
    run_ms: 140,
    aim_ms: 230,
    left_ms: 580,
    of_slots: 1.1,
};

/// The calls of `kinds` over `from..until`, in order, each kind at an even
/// rate.
fn load(kinds: &[CallKind], from: Duration, until: Duration) -> Vec<LoadCall> {
    let mut calls = Vec::new();
    for kind in kinds {
        let run = Duration::from_millis(kind.run_ms);
        let gap = run.div_f64(kind.of_slots * f64::from(SLOTS));
        let mut at = from + gap / 2;
        while at < until {
            calls.push(LoadCall {
                at,
                priority: kind.priority,
                soft_deadline: Duration::from_millis(kind.aim_ms),
                left: Duration::from_millis(kind.left_ms),
                run,
                expected: run,
            });
            at += gap;
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn share_served(calls: &[LoadCall], fates: &[CallFate], kind: &CallKind) -> f64 {
    let run = Duration::from_millis(kind.run_ms);
    let (all, served) = calls
        .iter()
        .zip(fates)
        .filter(|(call, _)| call.run == run)
        .fold((0_u32, 0_u32), |(all, served), (_, fate)| {
            let is_served = matches!(fate, CallFate::Answered { .. });
            (all + 1, served + u32::from(is_served))
        });
    f64::from(served) / f64::from(all)
}

const SECOND: Duration = Duration::from_secs(1);

/// A target runs lookups that runs elsewhere wait for beside calls that want
/// all its slots. Turned away, each lookup costs the run that waits for it,
/// which a caller sees as a failed payment or order; all of them together take
/// a third of the slots at most.
#[rstest]
#[case("long reads", REPORT, 0.5)]
#[case("calls more urgent than the lookups", PAYMENT, 0.55)]
fn lookups_are_served_beside_calls_that_want_every_slot(
    #[case] story: &str,
    #[case] other: CallKind,
    #[case] other_at_least: f64,
) {
    let calls = load(&[LOOKUP, other], Duration::ZERO, SECOND * 8);
    let fates = replay(&calls);
    let lookups = share_served(&calls, &fates, &LOOKUP);
    assert!(lookups >= 0.97, "{story}: {lookups} of the lookups");
    let others = share_served(&calls, &fates, &other);
    assert!(others >= other_at_least, "{story}: {others} of the others");
}

/// Half as many calls again as the target can run, for eight seconds. Those
/// that are too late must not wait behind ever new ones that are not: nine of
/// ten that are refused must know at once.
#[test]
fn in_a_lasting_overload_refusals_come_at_once() {
    let kind = CallKind {
        of_slots: 1.5,
        ..PAYMENT
    };
    let calls = load(&[kind], Duration::ZERO, SECOND * 8);
    let fates = replay(&calls);
    let refused: Vec<Duration> = fates
        .iter()
        .filter_map(|fate| match fate {
            CallFate::Declined { held } => Some(*held),
            CallFate::Answered { .. } => None,
        })
        .collect();
    let at_once = refused
        .iter()
        .filter(|held| **held <= Duration::from_millis(30))
        .count();
    assert!(
        at_once * 10 >= refused.len() * 9,
        "{at_once} of {} refused at once",
        refused.len()
    );
}

/// A crowd of a moment: twice the slots at once, then a load that leaves room.
/// What is late by it may wait and is served, as room comes soon.
#[test]
fn a_crowd_of_a_moment_waits_and_is_served() {
    let kind = CallKind {
        of_slots: 0.3,
        aim_ms: 300,
        left_ms: 1_500,
        ..PAYMENT
    };
    let mut calls = load(&[kind], Duration::ZERO, SECOND * 4);
    let crowd = LoadCall {
        at: SECOND,
        ..calls[0]
    };
    calls.extend(std::iter::repeat_n(crowd, SLOTS as usize * 2));
    calls.sort_by_key(|call| call.at);
    let fates = replay(&calls);
    let served = share_served(&calls, &fates, &kind);
    assert!(served >= 0.9, "{served}");
}
