//! Tests when a call becomes a suspect, is held back, probed and cleared.

use std::time::{Duration, Instant};

use filbert_policy::identity::{CallIdentity, IdentityParts};
use filbert_policy::quarantine::{
    hold_duration, CallRecord, MergeOutcome, QuarantineState, QuarantineTable, TargetCrash,
};
use proptest::prelude::*;
use rstest::rstest;

const FIRST_HOLD: Duration = Duration::from_secs(5);

fn call(number: usize) -> CallIdentity {
    CallIdentity::of(&IdentityParts {
        method: "GET",
        host: "shop.example",
        target: &format!("/read/{number}"),
        caller: &[],
        body_prefix: b"",
        body_length: Some(0),
    })
}

/// State of call 0 on a daemon that may probe it later than the first daemon by the
/// fraction `delay` of the hold, rounded to whole milliseconds.
fn quarantine_state(table: &QuarantineTable, delay: f64, now: Instant) -> QuarantineState {
    const ROUNDING: f64 = 1e-9;
    let jitter = delay + ROUNDING + 1.0 - call(0).fraction();
    match table.quarantine_state(call(0), jitter, now) {
        QuarantineState::Held(remaining) => {
            let whole_ms = u64::try_from(remaining.as_millis()).expect("hours at most");
            QuarantineState::Held(Duration::from_millis(whole_ms))
        }
        other => other,
    }
}

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// When runs of a call began and when their targets crashed, in milliseconds.
type CrashTimes = &'static [(u64, u64)];

fn crashes(start: Instant, crash_times: CrashTimes) -> Vec<TargetCrash> {
    let crash = |(id, (began, ended)): (u64, &(u64, u64))| TargetCrash {
        id,
        began: at(start, *began),
        ended: at(start, *ended),
    };
    (0..).zip(crash_times).map(crash).collect()
}

fn table_with_crashes(
    start: Instant,
    crash_times: CrashTimes,
) -> (QuarantineTable, Vec<MergeOutcome>) {
    let mut table = QuarantineTable::default();
    let changes = crashes(start, crash_times)
        .into_iter()
        .map(|crash| table.merge(call(0), &CallRecord::from_crash(crash), crash.ended))
        .collect();
    (table, changes)
}

/// Crashes of targets that ran a call, and the expected effect on the call.
struct StrikesCase {
    crash_times: CrashTimes,
    strikes: u32,
    /// State of the call one millisecond after the last crash.
    state_after_last: QuarantineState,
}

#[rstest]
#[case::none(StrikesCase { crash_times: &[], strikes: 0, state_after_last: QuarantineState::Unrestricted })]
#[case::one(StrikesCase { crash_times: &[(900, 1_000)], strikes: 1, state_after_last: QuarantineState::Unrestricted })]
#[case::a_zone_at_one_moment(StrikesCase { crash_times: &[(700, 1_000), (800, 1_000), (900, 1_000), (950, 1_000)], strikes: 1, state_after_last: QuarantineState::Unrestricted })]
#[case::two_in_a_row(StrikesCase { crash_times: &[(800, 850), (900, 1_000)], strikes: 2, state_after_last: QuarantineState::ProbeAllowed })]
#[case::three_in_a_row(StrikesCase { crash_times: &[(700, 750), (800, 850), (900, 1_000)], strikes: 3, state_after_last: QuarantineState::Held(Duration::from_millis(4_999)) })]
#[case::two_in_a_row_after_a_zone(StrikesCase { crash_times: &[(700, 750), (710, 750), (720, 750), (900, 1_000)], strikes: 3, state_after_last: QuarantineState::Held(Duration::from_millis(4_999)) })]
#[case::three_of_four_in_a_row(StrikesCase { crash_times: &[(700, 750), (710, 760), (800, 850), (900, 1_000)], strikes: 3, state_after_last: QuarantineState::Held(Duration::from_millis(4_999)) })]
#[case::four_in_a_row(StrikesCase { crash_times: &[(600, 650), (700, 750), (800, 850), (900, 1_000)], strikes: 3, state_after_last: QuarantineState::Held(Duration::from_millis(4_999)) })]
#[case::a_try_after_the_hold(StrikesCase { crash_times: &[(0, 50), (60, 100), (110, 150), (6_000, 6_050)], strikes: 4, state_after_last: QuarantineState::Held(Duration::from_millis(49_999)) })]
fn crashes_in_a_row_are_strikes(#[case] case: StrikesCase) {
    let start = Instant::now();
    let (table, _) = table_with_crashes(start, case.crash_times);
    assert_eq!(table.strikes(call(0)), case.strikes);
    let last_crash_ms = case.crash_times.last().map_or(0, |(_, ended)| *ended);
    let state_after_last = quarantine_state(&table, 0.0, at(start, last_crash_ms + 1));
    assert_eq!(state_after_last, case.state_after_last);
}

const THREE_IN_A_ROW: CrashTimes = &[(0, 50), (100, 150), (200, 250)];

#[test]
fn the_third_crash_starts_the_hold() {
    let (_, changes) = table_with_crashes(Instant::now(), THREE_IN_A_ROW);
    let starts_hold: Vec<bool> = changes.iter().map(|change| change.starts_hold()).collect();
    assert_eq!(starts_hold, [false, false, true]);
    let needs_broadcast: Vec<bool> = changes
        .iter()
        .map(|change| change.needs_broadcast())
        .collect();
    assert_eq!(needs_broadcast, [false, true, true]);
}

#[test]
fn a_held_call_gets_one_probe_at_a_time_after_its_hold() {
    let start = Instant::now();
    let (mut table, _) = table_with_crashes(start, THREE_IN_A_ROW);
    let hold_over = at(start, 251) + FIRST_HOLD;
    assert_eq!(
        quarantine_state(&table, 0.0, hold_over),
        QuarantineState::ProbeAllowed
    );
    assert!(matches!(
        quarantine_state(&table, 0.5, hold_over),
        QuarantineState::Held(_)
    ));
    table.begin_probe(call(0), hold_over);
    assert_eq!(
        quarantine_state(&table, 0.0, hold_over),
        QuarantineState::ProbeInFlight
    );
    table.end_probe(call(0));
    assert_eq!(
        quarantine_state(&table, 0.0, hold_over),
        QuarantineState::ProbeAllowed
    );
}

#[test]
fn one_full_answer_clears_a_call_on_all_daemons() {
    let start = Instant::now();
    let (mut table, _) = table_with_crashes(start, THREE_IN_A_ROW);
    let (mut other, _) = table_with_crashes(start, THREE_IN_A_ROW);
    let now = at(start, 300);
    assert_eq!(table.record_success(call(0), now), 3);
    assert_eq!(
        quarantine_state(&table, 0.0, now),
        QuarantineState::Unrestricted
    );
    let cleared_record = table.record(call(0)).expect("the record is kept").clone();
    assert!(other.merge(call(0), &cleared_record, now).is_new);
    assert_eq!(
        other.quarantine_state(call(0), 0.0, now),
        QuarantineState::Unrestricted
    );
    // A daemon that missed the clearing sends the old crashes again.
    let stale_record = CallRecord::new(crashes(start, THREE_IN_A_ROW), None, None);
    let change = other.merge(call(0), &stale_record, now);
    assert!(change.is_sender_behind && !change.is_new);
    assert_eq!(other.strikes(call(0)), 0);
}

#[test]
fn a_harmful_call_gets_at_most_three_probes_in_an_hour() {
    let holds: Vec<Duration> = (3..7).map(|strikes| hold_duration(strikes, 0.0)).collect();
    let until_fourth: Duration = holds.iter().sum();
    assert!(until_fourth > Duration::from_hours(1), "{holds:?}");
    assert!(hold_duration(40, 1.0) <= Duration::from_hours(16));
}

/// The targets may have been fixed since, and no run of the call could show it, as
/// nobody sent the call again.
#[test]
fn a_suspect_expires_after_an_hour() {
    let start = Instant::now();
    let (mut table, _) = table_with_crashes(start, &[(0, 50), (60, 100)]);
    let later = at(start, 100) + Duration::from_hours(1) + Duration::from_secs(3);
    assert_eq!(
        quarantine_state(&table, 0.0, later),
        QuarantineState::Unrestricted
    );
    let crash = TargetCrash {
        id: 9,
        began: later,
        ended: later,
    };
    let change = table.merge(call(0), &CallRecord::from_crash(crash), later);
    assert_eq!((change.before, change.now), (0, 1));
}

/// Guards against a table that grows without bound, or drops held calls, when
/// callers make up paths and targets crash while they run thousands of them.
#[test]
fn the_table_is_bounded_and_keeps_held_calls() {
    let start = Instant::now();
    let (mut table, _) = table_with_crashes(start, THREE_IN_A_ROW);
    for number in 1..10_000 {
        let crash = TargetCrash {
            id: 1,
            began: at(start, 300),
            ended: at(start, 400),
        };
        table.merge(call(number), &CallRecord::from_crash(crash), at(start, 400));
    }
    assert_eq!(table.strikes(call(0)), 3);
    let known = (1..10_000).filter(|number| table.strikes(call(*number)) > 0);
    assert!(known.count() < 2_048);
}

proptest! {
    /// Crashes and clearings reach daemons in any order, some twice; the daemons'
    /// tables have to agree all the same.
    #[test]
    fn tables_agree_whatever_the_order(
        runs in prop::collection::vec((0_u64..5_000, 1_u64..500, any::<bool>()), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let start = Instant::now();
        let records: Vec<CallRecord> = (0..).zip(&runs).map(|(id, &(began, ran, is_success))| {
            let (began, ended) = (at(start, began), at(start, began + ran));
            if is_success {
                CallRecord::new(Vec::new(), Some(ended), None)
            } else {
                CallRecord::from_crash(TargetCrash { id, began, ended })
            }
        }).collect();
        let now = at(start, 6_000);
        let mut first = QuarantineTable::default();
        let mut second = QuarantineTable::default();
        for record in &records {
            first.merge(call(0), record, now);
        }
        for index in &order {
            second.merge(call(0), index.get(&records), now);
        }
        for record in records.iter().rev() {
            second.merge(call(0), record, now);
        }
        // Clearings within half a second of each other are taken for one, so the
        // tables may keep different ones of them.
        let cleared = |table: &QuarantineTable| table.record(call(0)).and_then(CallRecord::cleared);
        if cleared(&first) == cleared(&second) {
            prop_assert_eq!(first.strikes(call(0)), second.strikes(call(0)));
        } else {
            let (Some(one), Some(other)) = (cleared(&first), cleared(&second)) else {
                return Err(TestCaseError::fail("one table has no clearing"));
            };
            let apart = one.max(other).duration_since(one.min(other));
            prop_assert!(apart <= Duration::from_millis(500));
        }
    }
}
