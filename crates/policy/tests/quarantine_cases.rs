//! When a call is suspected, held back, tried and cleared.

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
        body_start: b"",
        body_length: Some(0),
    })
}

/// What a daemon lets be done with call 0 that comes `later`, as a part of the
/// hold, than the first that may try it.
fn quarantine_state(table: &QuarantineTable, later: f64, now: Instant) -> QuarantineState {
    const ROUNDING: f64 = 1e-9;
    let jitter = later + ROUNDING + 1.0 - call(0).fraction();
    match table.quarantine_state(call(0), jitter, now) {
        QuarantineState::Held(left) => {
            let whole = u64::try_from(left.as_millis()).expect("hours at most");
            QuarantineState::Held(Duration::from_millis(whole))
        }
        other => other,
    }
}

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Runs by their beginning and the end of their target, in milliseconds.
type Ends = &'static [(u64, u64)];

fn crashes(start: Instant, ends: Ends) -> Vec<TargetCrash> {
    let crash = |(id, (began, ended)): (u64, &(u64, u64))| TargetCrash {
        id,
        began: at(start, *began),
        ended: at(start, *ended),
    };
    (0..).zip(ends).map(crash).collect()
}

fn book_of(start: Instant, ends: Ends) -> (QuarantineTable, Vec<MergeOutcome>) {
    let mut table = QuarantineTable::default();
    let changes = crashes(start, ends)
        .into_iter()
        .map(|crash| table.merge(call(0), &CallRecord::from_crash(crash), crash.ended))
        .collect();
    (table, changes)
}

/// Ends of targets under a call, and what is made of them.
struct StrikesCase {
    ends: Ends,
    strikes: u32,
    /// One millisecond after the last of them.
    standing_after_last: QuarantineState,
}

#[rstest]
#[case::none(StrikesCase { ends: &[], strikes: 0, standing_after_last: QuarantineState::Unrestricted })]
#[case::one(StrikesCase { ends: &[(900, 1_000)], strikes: 1, standing_after_last: QuarantineState::Unrestricted })]
#[case::a_zone_at_one_moment(StrikesCase { ends: &[(700, 1_000), (800, 1_000), (900, 1_000), (950, 1_000)], strikes: 1, standing_after_last: QuarantineState::Unrestricted })]
#[case::two_in_a_row(StrikesCase { ends: &[(800, 850), (900, 1_000)], strikes: 2, standing_after_last: QuarantineState::ProbeAllowed })]
#[case::three_in_a_row(StrikesCase { ends: &[(700, 750), (800, 850), (900, 1_000)], strikes: 3, standing_after_last: QuarantineState::Held(Duration::from_millis(4_999)) })]
#[case::two_in_a_row_after_a_zone(StrikesCase { ends: &[(700, 750), (710, 750), (720, 750), (900, 1_000)], strikes: 3, standing_after_last: QuarantineState::Held(Duration::from_millis(4_999)) })]
#[case::three_of_four_in_a_row(StrikesCase { ends: &[(700, 750), (710, 760), (800, 850), (900, 1_000)], strikes: 3, standing_after_last: QuarantineState::Held(Duration::from_millis(4_999)) })]
#[case::four_in_a_row(StrikesCase { ends: &[(600, 650), (700, 750), (800, 850), (900, 1_000)], strikes: 3, standing_after_last: QuarantineState::Held(Duration::from_millis(4_999)) })]
#[case::a_try_after_the_hold(StrikesCase { ends: &[(0, 50), (60, 100), (110, 150), (6_000, 6_050)], strikes: 4, standing_after_last: QuarantineState::Held(Duration::from_millis(49_999)) })]
fn ends_in_a_row_count(#[case] case: StrikesCase) {
    let start = Instant::now();
    let (table, _) = book_of(start, case.ends);
    assert_eq!(table.strikes(call(0)), case.strikes);
    let last_end = case.ends.last().map_or(0, |(_, ended)| *ended);
    let after_last = quarantine_state(&table, 0.0, at(start, last_end + 1));
    assert_eq!(after_last, case.standing_after_last);
}

const THREE: Ends = &[(0, 50), (100, 150), (200, 250)];

#[test]
fn the_third_end_is_told_as_the_one_that_holds() {
    let (_, changes) = book_of(Instant::now(), THREE);
    let starts_hold: Vec<bool> = changes.iter().map(|change| change.starts_hold()).collect();
    assert_eq!(starts_hold, [false, false, true]);
    let suspects: Vec<bool> = changes
        .iter()
        .map(|change| change.needs_broadcast())
        .collect();
    assert_eq!(suspects, [false, true, true]);
}

#[test]
fn a_held_call_is_tried_once_after_its_hold() {
    let start = Instant::now();
    let (mut table, _) = book_of(start, THREE);
    let over = at(start, 251) + FIRST_HOLD;
    assert_eq!(
        quarantine_state(&table, 0.0, over),
        QuarantineState::ProbeAllowed
    );
    assert!(matches!(
        quarantine_state(&table, 0.5, over),
        QuarantineState::Held(_)
    ));
    table.begin_probe(call(0), over);
    assert_eq!(
        quarantine_state(&table, 0.0, over),
        QuarantineState::ProbeInFlight
    );
    table.end_probe(call(0));
    assert_eq!(
        quarantine_state(&table, 0.0, over),
        QuarantineState::ProbeAllowed
    );
}

#[test]
fn one_whole_answer_clears_a_call_everywhere() {
    let start = Instant::now();
    let (mut table, _) = book_of(start, THREE);
    let (mut other, _) = book_of(start, THREE);
    let now = at(start, 300);
    assert_eq!(table.record_success(call(0), now), 3);
    assert_eq!(
        quarantine_state(&table, 0.0, now),
        QuarantineState::Unrestricted
    );
    let told = table.record(call(0)).expect("it is remembered").clone();
    assert!(other.merge(call(0), &told, now).is_new);
    assert_eq!(
        other.quarantine_state(call(0), 0.0, now),
        QuarantineState::Unrestricted
    );
    // A daemon that has not heard of it says the old marks again.
    let late = CallRecord::new(crashes(start, THREE), None, None);
    let change = other.merge(call(0), &late, now);
    assert!(change.is_sender_behind && !change.is_new);
    assert_eq!(other.strikes(call(0)), 0);
}

#[test]
fn a_harmful_call_gets_three_tries_in_a_working_day_hour() {
    let starts_hold: Vec<Duration> = (3..7).map(|strikes| hold_duration(strikes, 0.0)).collect();
    let until_fourth: Duration = starts_hold.iter().sum();
    assert!(until_fourth > Duration::from_hours(1), "{starts_hold:?}");
    assert!(hold_duration(40, 1.0) <= Duration::from_hours(16));
}

/// What ended targets once may be mended; nobody has asked for it since.
#[test]
fn a_suspect_is_forgotten_after_an_hour() {
    let start = Instant::now();
    let (mut table, _) = book_of(start, &[(0, 50), (60, 100)]);
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

/// Callers make up paths, and targets end under them by the thousand.
#[test]
fn the_book_does_not_grow_and_keeps_what_is_held() {
    let start = Instant::now();
    let (mut table, _) = book_of(start, THREE);
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
    /// Marks and clearings reach daemons in any order, some twice: they come to
    /// the same belief.
    #[test]
    fn books_agree_whatever_the_order(
        runs in prop::collection::vec((0_u64..5_000, 1_u64..500, any::<bool>()), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let start = Instant::now();
        let told: Vec<CallRecord> = (0..).zip(&runs).map(|(id, &(began, ran, is_well))| {
            let (began, ended) = (at(start, began), at(start, began + ran));
            if is_well {
                CallRecord::new(Vec::new(), Some(ended), None)
            } else {
                CallRecord::from_crash(TargetCrash { id, began, ended })
            }
        }).collect();
        let now = at(start, 6_000);
        let mut first = QuarantineTable::default();
        let mut second = QuarantineTable::default();
        for record in &told {
            first.merge(call(0), record, now);
        }
        for index in &order {
            second.merge(call(0), index.get(&told), now);
        }
        for record in told.iter().rev() {
            second.merge(call(0), record, now);
        }
        // Clearings within half a second of each other are taken for one.
        let jitter = |table: &QuarantineTable| table.record(call(0)).and_then(CallRecord::cleared);
        if jitter(&first) == jitter(&second) {
            prop_assert_eq!(first.strikes(call(0)), second.strikes(call(0)));
        } else {
            let (Some(one), Some(other)) = (jitter(&first), jitter(&second)) else {
                return Err(TestCaseError::fail("one book has no clearing"));
            };
            let apart = one.max(other).duration_since(one.min(other));
            prop_assert!(apart <= Duration::from_millis(500));
        }
    }
}
