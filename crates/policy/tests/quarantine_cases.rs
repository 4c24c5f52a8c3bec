//! When a call is suspected, held back, tried and cleared.

use std::time::{Duration, Instant};

use filbert_policy::identity::{CallIdentity, IdentityParts};
use filbert_policy::quarantine::{
    hold_after, CallRecord, CallStanding, CrashMark, QuarantineBook, RecordChange,
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

/// What a daemon lets be done with call 0 that comes `later`, as a part of the
/// hold, than the first that may try it.
fn standing(book: &QuarantineBook, later: f64, now: Instant) -> CallStanding {
    const ROUNDING: f64 = 1e-9;
    let spread = later + ROUNDING + 1.0 - call(0).fraction();
    match book.standing(call(0), spread, now) {
        CallStanding::Held(left) => {
            let whole = u64::try_from(left.as_millis()).expect("hours at most");
            CallStanding::Held(Duration::from_millis(whole))
        }
        other => other,
    }
}

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Runs by their beginning and the end of their target, in milliseconds.
type Ends = &'static [(u64, u64)];

fn marks(start: Instant, ends: Ends) -> Vec<CrashMark> {
    let mark = |(id, (began, ended)): (u64, &(u64, u64))| CrashMark {
        id,
        began: at(start, *began),
        ended: at(start, *ended),
    };
    (0..).zip(ends).map(mark).collect()
}

fn book_of(start: Instant, ends: Ends) -> (QuarantineBook, Vec<RecordChange>) {
    let mut book = QuarantineBook::default();
    let changes = marks(start, ends)
        .into_iter()
        .map(|mark| book.merge(call(0), &CallRecord::of_mark(mark), mark.ended))
        .collect();
    (book, changes)
}

/// Ends of targets under a call, and what is made of them.
struct StrikesCase {
    ends: Ends,
    strikes: u32,
    /// One millisecond after the last of them.
    standing_after_last: CallStanding,
}

#[rstest]
#[case::none(StrikesCase { ends: &[], strikes: 0, standing_after_last: CallStanding::Free })]
#[case::one(StrikesCase { ends: &[(900, 1_000)], strikes: 1, standing_after_last: CallStanding::Free })]
#[case::a_zone_at_one_moment(StrikesCase { ends: &[(700, 1_000), (800, 1_000), (900, 1_000), (950, 1_000)], strikes: 1, standing_after_last: CallStanding::Free })]
#[case::two_in_a_row(StrikesCase { ends: &[(800, 850), (900, 1_000)], strikes: 2, standing_after_last: CallStanding::Trial })]
#[case::three_in_a_row(StrikesCase { ends: &[(700, 750), (800, 850), (900, 1_000)], strikes: 3, standing_after_last: CallStanding::Held(Duration::from_millis(4_999)) })]
#[case::two_in_a_row_after_a_zone(StrikesCase { ends: &[(700, 750), (710, 750), (720, 750), (900, 1_000)], strikes: 3, standing_after_last: CallStanding::Held(Duration::from_millis(4_999)) })]
#[case::three_of_four_in_a_row(StrikesCase { ends: &[(700, 750), (710, 760), (800, 850), (900, 1_000)], strikes: 3, standing_after_last: CallStanding::Held(Duration::from_millis(4_999)) })]
#[case::four_in_a_row(StrikesCase { ends: &[(600, 650), (700, 750), (800, 850), (900, 1_000)], strikes: 3, standing_after_last: CallStanding::Held(Duration::from_millis(4_999)) })]
#[case::a_try_after_the_hold(StrikesCase { ends: &[(0, 50), (60, 100), (110, 150), (6_000, 6_050)], strikes: 4, standing_after_last: CallStanding::Held(Duration::from_millis(49_999)) })]
fn ends_in_a_row_count(#[case] case: StrikesCase) {
    let start = Instant::now();
    let (book, _) = book_of(start, case.ends);
    assert_eq!(book.strikes(call(0)), case.strikes);
    let last_end = case.ends.last().map_or(0, |(_, ended)| *ended);
    let after_last = standing(&book, 0.0, at(start, last_end + 1));
    assert_eq!(after_last, case.standing_after_last);
}

const THREE: Ends = &[(0, 50), (100, 150), (200, 250)];

#[test]
fn the_third_end_is_told_as_the_one_that_holds() {
    let (_, changes) = book_of(Instant::now(), THREE);
    let holds: Vec<bool> = changes.iter().map(|change| change.holds()).collect();
    assert_eq!(holds, [false, false, true]);
    let serious: Vec<bool> = changes.iter().map(|change| change.is_serious()).collect();
    assert_eq!(serious, [false, true, true]);
}

#[test]
fn a_held_call_is_tried_once_after_its_hold() {
    let start = Instant::now();
    let (mut book, _) = book_of(start, THREE);
    let over = at(start, 251) + FIRST_HOLD;
    assert_eq!(standing(&book, 0.0, over), CallStanding::Trial);
    assert!(matches!(standing(&book, 0.5, over), CallStanding::Held(_)));
    book.begin_trial(call(0), over);
    assert_eq!(standing(&book, 0.0, over), CallStanding::Tried);
    book.end_trial(call(0));
    assert_eq!(standing(&book, 0.0, over), CallStanding::Trial);
}

#[test]
fn one_whole_answer_clears_a_call_everywhere() {
    let start = Instant::now();
    let (mut book, _) = book_of(start, THREE);
    let (mut other, _) = book_of(start, THREE);
    let now = at(start, 300);
    assert_eq!(book.note_success(call(0), now), 3);
    assert_eq!(standing(&book, 0.0, now), CallStanding::Free);
    let told = book.record(call(0)).expect("it is remembered").clone();
    assert!(other.merge(call(0), &told, now).is_new);
    assert_eq!(other.standing(call(0), 0.0, now), CallStanding::Free);
    // A daemon that has not heard of it says the old marks again.
    let late = CallRecord::new(marks(start, THREE), None, None);
    let change = other.merge(call(0), &late, now);
    assert!(change.is_sender_behind && !change.is_new);
    assert_eq!(other.strikes(call(0)), 0);
}

#[test]
fn a_harmful_call_gets_three_tries_in_a_working_day_hour() {
    let holds: Vec<Duration> = (3..7).map(|strikes| hold_after(strikes, 0.0)).collect();
    let until_fourth: Duration = holds.iter().sum();
    assert!(until_fourth > Duration::from_hours(1), "{holds:?}");
    assert!(hold_after(40, 1.0) <= Duration::from_hours(16));
}

/// What ended targets once may be mended; nobody has asked for it since.
#[test]
fn a_suspect_is_forgotten_after_an_hour() {
    let start = Instant::now();
    let (mut book, _) = book_of(start, &[(0, 50), (60, 100)]);
    let later = at(start, 100) + Duration::from_hours(1) + Duration::from_secs(3);
    assert_eq!(standing(&book, 0.0, later), CallStanding::Free);
    let mark = CrashMark {
        id: 9,
        began: later,
        ended: later,
    };
    let change = book.merge(call(0), &CallRecord::of_mark(mark), later);
    assert_eq!((change.before, change.now), (0, 1));
}

/// Callers make up paths, and targets end under them by the thousand.
#[test]
fn the_book_does_not_grow_and_keeps_what_is_held() {
    let start = Instant::now();
    let (mut book, _) = book_of(start, THREE);
    for number in 1..10_000 {
        let mark = CrashMark {
            id: 1,
            began: at(start, 300),
            ended: at(start, 400),
        };
        book.merge(call(number), &CallRecord::of_mark(mark), at(start, 400));
    }
    assert_eq!(book.strikes(call(0)), 3);
    let known = (1..10_000).filter(|number| book.strikes(call(*number)) > 0);
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
                CallRecord::of_mark(CrashMark { id, began, ended })
            }
        }).collect();
        let now = at(start, 6_000);
        let mut first = QuarantineBook::default();
        let mut second = QuarantineBook::default();
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
        let spread = |book: &QuarantineBook| book.record(call(0)).and_then(CallRecord::cleared);
        if spread(&first) == spread(&second) {
            prop_assert_eq!(first.strikes(call(0)), second.strikes(call(0)));
        } else {
            let (Some(one), Some(other)) = (spread(&first), spread(&second)) else {
                return Err(TestCaseError::fail("one book has no clearing"));
            };
            let apart = one.max(other).duration_since(one.min(other));
            prop_assert!(apart <= Duration::from_millis(500));
        }
    }
}
