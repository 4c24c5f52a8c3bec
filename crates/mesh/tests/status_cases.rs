//! When other daemons are told of a change of the local target's pace.

use std::time::{Duration, Instant};

use filbert_mesh::messages::{TargetLoad, TargetState, TargetStatus};
use filbert_mesh::status::{needs_update_in_zone, needs_update_outside, SentStatus, UpdateCheck};
use filbert_policy::instance::InstanceKey;
use filbert_policy::pace::TargetPace;
use rstest::rstest;

/// Interval at which the target states its pace.
const STEP: Duration = Duration::from_millis(20);
const SECONDS: u32 = 10;

/// Status of a target whose run time follows its pace.
fn status(percent: Option<f64>) -> TargetStatus {
    let pace = percent.and_then(TargetPace::from_percent);
    TargetStatus {
        service: "stock".to_owned(),
        software: "1".to_owned(),
        instance: InstanceKey {
            id: "i-1".to_owned(),
            born: None,
        },
        state: TargetState::Open,
        is_cold: false,
        load: TargetLoad {
            slots: 11,
            running: 5,
            run_ms: pace.map_or(180.0, |pace| 180.0 * pace.factor()),
            slowdown: 1.0,
            pace: pace.filter(|pace| !pace.is_usual()),
            ..TargetLoad::default()
        },
    }
}

/// A pace by the number of the statement, and the bounds on the updates in ten seconds.
struct PaceCase {
    description: &'static str,
    percent: fn(u32) -> Option<f64>,
    /// Daemons that get the updates.
    subscribers: usize,
    in_zone: std::ops::RangeInclusive<usize>,
    outside: std::ops::RangeInclusive<usize>,
}

/// Guards against updates of a pace without a limit, and against a slow period that other
/// daemons do not learn.
#[rstest]
#[case(PaceCase { description: "states no pace", subscribers: 12, percent: |_| None, in_zone: 0..=0, outside: 0..=0 })]
#[case(PaceCase { description: "usual", subscribers: 12, percent: |_| Some(100.0), in_zone: 0..=0, outside: 0..=0 })]
#[case(PaceCase { description: "varies by less than a level", subscribers: 12, percent: |step| Some(if step % 2 == 0 { 100.0 } else { 140.0 }), in_zone: 0..=0, outside: 0..=0 })]
#[case(PaceCase { description: "a slow period of 600 ms each 2 s", subscribers: 12, percent: |step| Some(if step % 100 < 30 { 250.0 } else { 100.0 }), in_zone: 10..=30, outside: 5..=15 })]
#[case(PaceCase { description: "jumps", subscribers: 12, percent: |step| Some(if step % 2 == 0 { 1.0 } else { 10_000.0 }), in_zone: 20..=100, outside: 1..=20 })]
#[case(PaceCase { description: "slow throughout", subscribers: 12, percent: |_| Some(400.0), in_zone: 1..=100, outside: 1..=20 })]
#[case(PaceCase {
    description: "jumps, with many subscribers",
    subscribers: 120,
    percent: |step| Some(if step % 2 == 0 { 1.0 } else { 10_000.0 }),
    in_zone: 2..=10,
    outside: 1..=2,
})]
fn a_change_of_pace_is_sent_a_bounded_number_of_times(#[case] case: PaceCase) {
    let start = Instant::now();
    let count = |needs_update: fn(&SentStatus, Option<&TargetStatus>, UpdateCheck) -> bool| {
        let mut last = SentStatus {
            status: Some(status(None)),
            at: start,
        };
        let steps = 1..SECONDS * 50;
        let updates = steps.filter(|step| {
            let now = start + STEP * *step;
            let status = status((case.percent)(*step));
            let is_needed = needs_update(
                &last,
                Some(&status),
                UpdateCheck {
                    now,
                    subscribers: case.subscribers,
                },
            );
            if is_needed {
                last = SentStatus {
                    status: Some(status),
                    at: now,
                };
            }
            is_needed
        });
        updates.count()
    };
    let (in_zone, outside) = (count(needs_update_in_zone), count(needs_update_outside));
    println!(
        "{}: {in_zone} in the zone, {outside} outside",
        case.description
    );
    assert!(
        case.in_zone.contains(&in_zone),
        "{}: {in_zone} in the zone",
        case.description
    );
    assert!(
        case.outside.contains(&outside),
        "{}: {outside} outside",
        case.description
    );
}
