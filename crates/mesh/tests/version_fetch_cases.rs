//! The slot that permits one request for a full text at a time.

use std::time::{Duration, Instant};

use filbert_mesh::version_fetch::FullTextSlot;
use rstest::rstest;

/// What happens to a first request, and when a second one is made.
struct SlotCase {
    /// When parts of the text arrive, in milliseconds after the first request.
    parts_ms: &'static [u64],
    /// When the first request is answered or its link ends, if it does, in
    /// milliseconds after its start.
    ended_ms: Option<u64>,
    /// When a second peer is asked, in milliseconds after the first request.
    second_request_ms: u64,
    /// Whether the slot is granted to the second request.
    is_granted: bool,
}

/// A second peer is asked for a text of 600 KB only when the first request has
/// ended, or nothing has arrived for 700 ms. Two at a time would fill the link
/// with copies.
#[rstest]
#[case::at_once(SlotCase { parts_ms: &[], ended_ms: None, second_request_ms: 0, is_granted: false })]
#[case::behind_its_end(SlotCase { parts_ms: &[], ended_ms: Some(100), second_request_ms: 101, is_granted: true })]
#[case::while_nothing_comes(SlotCase { parts_ms: &[], ended_ms: None, second_request_ms: 699, is_granted: false })]
#[case::nothing_came(SlotCase { parts_ms: &[], ended_ms: None, second_request_ms: 700, is_granted: true })]
#[case::slowly_on_its_way(SlotCase { parts_ms: &[600, 1_200], ended_ms: None, second_request_ms: 1_800, is_granted: false })]
#[case::got_stuck(SlotCase { parts_ms: &[600, 1_200], ended_ms: None, second_request_ms: 1_900, is_granted: true })]
fn a_second_peer_is_asked(#[case] case: SlotCase) {
    let started = Instant::now();
    let after = |ms| started + Duration::from_millis(ms);
    let slot = FullTextSlot::default();
    let first = slot.try_acquire(started).expect("a free slot");
    for part in case.parts_ms {
        first.renew(after(*part));
    }
    let mut first = Some(first);
    if case
        .ended_ms
        .is_some_and(|ended| ended <= case.second_request_ms)
    {
        first = None;
    }
    assert_eq!(
        slot.try_acquire(after(case.second_request_ms)).is_ok(),
        case.is_granted
    );
    drop(first);
}

/// A request that was given up ends after another one has acquired the slot. It
/// must neither free nor extend the lease of the other request.
#[test]
fn a_late_end_does_not_affect_the_next_request() {
    let started = Instant::now();
    let slot = FullTextSlot::default();
    let first = slot.try_acquire(started).expect("a free slot");
    let later = started + Duration::from_secs(1);
    let second = slot.try_acquire(later).expect("a slot that nobody holds");
    first.renew(later + Duration::from_millis(500));
    drop(first);
    let soon = later + Duration::from_millis(600);
    assert_eq!(
        slot.try_acquire(soon).err(),
        Some(later + Duration::from_millis(700))
    );
    drop(second);
    assert!(slot.try_acquire(soon).is_ok());
}
