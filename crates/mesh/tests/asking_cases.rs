//! The one ask for a whole text that may be under way.

use std::time::{Duration, Instant};

use filbert_mesh::asking::FullTextSlot;
use rstest::rstest;

/// What becomes of a first ask, and when a second one may follow it.
struct SlotCase {
    /// Parts of the text that come, in ms behind the ask.
    parts_ms: &'static [u64],
    /// When the first ask is answered or its link ends, if ever, in ms.
    ends_ms: Option<u64>,
    /// When another peer is turned to, in ms.
    asks_ms: u64,
    is_let: bool,
}

/// A peer is asked for a text of 600 KB. Another is asked only when the first
/// is done, or says nothing for 700 ms.
#[rstest]
#[case::at_once(SlotCase { parts_ms: &[], ends_ms: None, asks_ms: 0, is_let: false })]
#[case::behind_its_end(SlotCase { parts_ms: &[], ends_ms: Some(100), asks_ms: 101, is_let: true })]
#[case::while_nothing_comes(SlotCase { parts_ms: &[], ends_ms: None, asks_ms: 699, is_let: false })]
#[case::nothing_came(SlotCase { parts_ms: &[], ends_ms: None, asks_ms: 700, is_let: true })]
#[case::slowly_on_its_way(SlotCase { parts_ms: &[600, 1_200], ends_ms: None, asks_ms: 1_800, is_let: false })]
#[case::got_stuck(SlotCase { parts_ms: &[600, 1_200], ends_ms: None, asks_ms: 1_900, is_let: true })]
fn another_peer_is_asked(#[case] case: SlotCase) {
    let began = Instant::now();
    let after = |ms| began + Duration::from_millis(ms);
    let slot = FullTextSlot::default();
    let first = slot.take(began).expect("a free slot");
    for part in case.parts_ms {
        first.go_on(after(*part));
    }
    let mut first = Some(first);
    if case.ends_ms.is_some_and(|ends| ends <= case.asks_ms) {
        first = None;
    }
    assert_eq!(slot.take(after(case.asks_ms)).is_ok(), case.is_let);
    drop(first);
}

/// A peer was given up, another is asked, and then the first ends: it must not
/// free the other's slot, nor keep it.
#[test]
fn a_late_end_leaves_the_next_ask_alone() {
    let began = Instant::now();
    let slot = FullTextSlot::default();
    let first = slot.take(began).expect("a free slot");
    let later = began + Duration::from_secs(1);
    let second = slot.take(later).expect("a slot that nobody holds");
    first.go_on(later + Duration::from_millis(500));
    drop(first);
    let soon = later + Duration::from_millis(600);
    assert_eq!(
        slot.take(soon).err(),
        Some(later + Duration::from_millis(700))
    );
    drop(second);
    assert!(slot.take(soon).is_ok());
}
