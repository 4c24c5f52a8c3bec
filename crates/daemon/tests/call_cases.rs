//! The rules for a call after an attempt, the retry budget, the choice of
//! target and the frames between daemons, as tables of cases.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_daemon::limits::RetryBudget;
use filbert_daemon::messages::{
    encode_frame, FrameDecoder, FrameError, PeerMessage, MAX_FRAME_BYTES,
};
use filbert_daemon::proxy::policy::{
    is_repeatable, next_step, second_attempt_after, AttemptEnd, NextStep, RetryAllowance,
};
use filbert_daemon::targets::{SlotGuard, TargetBoard, TargetChoice, TargetSign, ZoneTargets};
use filbert_store::TargetRecord;
use filbert_tree::{BranchSettings, RouteSettings};
use rocket::http::Method;
use rstest::rstest;

/// An attempt's end, what is allowed after it, and what must follow.
struct StepCase {
    end: AttemptEnd,
    repeatable: bool,
    may_have_run: bool,
    another: bool,
    step: NextStep,
}

#[rstest]
#[case::answered(StepCase { end: AttemptEnd::Answered, repeatable: false, may_have_run: false, another: true, step: NextStep::PassOn })]
#[case::declined_goes_on(StepCase { end: AttemptEnd::Declined, repeatable: false, may_have_run: false, another: true, step: NextStep::SendAgain })]
#[case::declined_at_last(StepCase { end: AttemptEnd::Declined, repeatable: false, may_have_run: false, another: false, step: NextStep::SayNotRun })]
#[case::declined_after_loss(StepCase { end: AttemptEnd::Declined, repeatable: true, may_have_run: true, another: false, step: NextStep::SayUnknown })]
#[case::not_connected_goes_on(StepCase { end: AttemptEnd::NotConnected, repeatable: false, may_have_run: false, another: true, step: NextStep::SendAgain })]
#[case::not_connected_at_last(StepCase { end: AttemptEnd::NotConnected, repeatable: false, may_have_run: false, another: false, step: NextStep::SayNotRun })]
#[case::lost_order_is_not_sent_again(StepCase { end: AttemptEnd::Lost, repeatable: false, may_have_run: true, another: true, step: NextStep::SayUnknown })]
#[case::lost_lookup_is_sent_again(StepCase { end: AttemptEnd::Lost, repeatable: true, may_have_run: true, another: true, step: NextStep::SendAgain })]
#[case::lost_lookup_at_last(StepCase { end: AttemptEnd::Lost, repeatable: true, may_have_run: true, another: false, step: NextStep::SayUnknown })]
fn attempt_is_followed_by_what_is_safe(#[case] case: StepCase) {
    let allowance = RetryAllowance {
        repeatable: case.repeatable,
        may_have_run: case.may_have_run,
        another: case.another,
    };
    assert_eq!(next_step(case.end, allowance), case.step);
}

#[rstest]
#[case::lookup(Method::Get, false, true)]
#[case::lookup_on_an_order_route(Method::Get, true, false)]
#[case::order(Method::Post, true, false)]
#[case::unmarked_post(Method::Post, false, false)]
#[case::replace(Method::Put, false, true)]
fn only_idempotent_calls_are_repeatable(
    #[case] method: Method,
    #[case] at_most_once: bool,
    #[case] repeatable: bool,
) {
    let settings = RouteSettings::from_resolved(&BranchSettings {
        at_most_once: Some(at_most_once),
        ..BranchSettings::default()
    });
    assert_eq!(is_repeatable(method, &settings), repeatable);
}

#[test]
fn second_attempt_waits_its_share_of_the_time() {
    let left = Duration::from_millis(900);
    assert_eq!(second_attempt_after(left, 2, true), Some(left / 3));
    assert_eq!(second_attempt_after(left, 0, true), None);
    assert_eq!(second_attempt_after(left, 2, false), None);
}

#[test]
fn retries_stay_a_fifth_of_the_calls_beyond_the_reserve() {
    // A service is in trouble and every call fails. Its callers' 1,000 calls
    // may be sent again 10 + 200 times, not 1,000 times.
    let budget = RetryBudget::default();
    let retries = (0..1_000)
        .filter(|_| {
            budget.record_call("quoting");
            budget.try_spend("quoting")
        })
        .count();
    assert!((200..=210).contains(&retries), "{retries} retries");
    assert!(
        budget.try_spend("artwork"),
        "another service's budget is its own"
    );
}

fn target(address: &str, load: u32, leaving: bool) -> TargetRecord {
    TargetRecord {
        service: "quoting".to_owned(),
        address: address.to_owned(),
        zone: "zone-a".to_owned(),
        daemon: "a1".to_owned(),
        load,
        leaving,
        heard_at_ms: 0,
    }
}

/// A first choice among the quoting targets.
fn quoting_of(targets: &ZoneTargets, slots: u32) -> TargetChoice<'_> {
    TargetChoice {
        targets,
        service: "quoting",
        slots,
        tried: &[],
    }
}

/// Targets `(address, reported load, leaving)`, signs noted `(address, sign)`,
/// and the target that must be chosen for the next call.
struct ChoiceCase {
    targets: &'static [(&'static str, u32, bool)],
    signs: &'static [(&'static str, TargetSign)],
    chosen: Option<&'static str>,
}

const WELL: TargetSign = TargetSign::Well { load: None };
const BUSY: TargetSign = TargetSign::Well { load: Some(8) };

#[rstest]
#[case::least_loaded(ChoiceCase { targets: &[("a", 5, false), ("b", 2, false)], signs: &[], chosen: Some("b") })]
#[case::leaving_is_passed_over(ChoiceCase { targets: &[("a", 5, false), ("b", 0, true)], signs: &[], chosen: Some("a") })]
#[case::answers_tell_more_than_reports(ChoiceCase { targets: &[("a", 5, false), ("b", 0, false)], signs: &[("b", BUSY)], chosen: Some("a") })]
#[case::failing_is_passed_over(ChoiceCase { targets: &[("a", 9, false), ("b", 0, false)], signs: &[("b", TargetSign::Ill), ("b", TargetSign::Ill), ("b", TargetSign::Ill)], chosen: Some("a") })]
#[case::one_failure_is_not_enough(ChoiceCase { targets: &[("a", 9, false), ("b", 0, false)], signs: &[("b", TargetSign::Ill), ("b", WELL), ("b", TargetSign::Ill)], chosen: Some("b") })]
#[case::shedding_is_passed_over(ChoiceCase { targets: &[("a", 9, false), ("b", 0, false)], signs: &[("b", TargetSign::Full)], chosen: Some("a") })]
#[case::all_failing_are_still_tried(ChoiceCase { targets: &[("a", 0, false)], signs: &[("a", TargetSign::Full)], chosen: Some("a") })]
#[case::none_serving(ChoiceCase { targets: &[("a", 0, true)], signs: &[], chosen: None })]
fn target_choice_follows_load_and_health(#[case] case: ChoiceCase) {
    let records: Vec<TargetRecord> = case
        .targets
        .iter()
        .map(|(address, load, leaving)| target(address, *load, *leaving))
        .collect();
    let targets = ZoneTargets::from_records(&records);
    let board = Arc::new(TargetBoard::default());
    let now = Instant::now();
    let choice = quoting_of(&targets, 9);
    drop(TargetBoard::acquire(&board, choice, now));
    for (address, sign) in case.signs {
        board.note(address, *sign, now);
    }
    let chosen = TargetBoard::acquire(&board, choice, now);
    assert_eq!(chosen.as_ref().map(SlotGuard::address), case.chosen);
}

#[test]
fn target_that_just_appeared_is_spared_for_a_while() {
    // A cold target joins beside a warm one that runs two calls. It must not
    // get the next call just because it is idle; a few seconds later it must.
    let warm = target("warm", 2, false);
    let cold = target("cold", 0, false);
    let board = Arc::new(TargetBoard::default());
    let start = Instant::now();
    let chosen = |records: &[TargetRecord], now| {
        let targets = ZoneTargets::from_records(records);
        let choice = quoting_of(&targets, 9);
        let slot = TargetBoard::acquire(&board, choice, now).expect("a target");
        slot.address().to_owned()
    };
    let both = [warm.clone(), cold];
    assert_eq!(chosen(&[warm], start), "warm");
    let joined = start + Duration::from_secs(301);
    assert_eq!(chosen(&both, joined), "warm");
    assert_eq!(chosen(&both, joined + Duration::from_secs(4)), "cold");
}

#[test]
fn idle_targets_share_the_calls() {
    // Lookups come one at a time to a service with five idle targets. Each
    // target must get its part; before, the first by address got them all,
    // from every proxy of the zone.
    let names = ["a", "b", "c", "d", "e"];
    let records: Vec<TargetRecord> = names.iter().map(|name| target(name, 0, false)).collect();
    let targets = ZoneTargets::from_records(&records);
    let board = Arc::new(TargetBoard::default());
    let choice = quoting_of(&targets, 9);
    let mut calls = std::collections::BTreeMap::new();
    for _ in 0..1_000 {
        let slot = TargetBoard::acquire(&board, choice, Instant::now()).expect("a target");
        *calls.entry(slot.address().to_owned()).or_insert(0) += 1;
    }
    // 200 each on average; 100 is more than seven deviations off.
    assert_eq!(calls.len(), names.len(), "{calls:?}");
    assert!(calls.values().all(|count| *count > 100), "{calls:?}");
}

#[test]
fn slots_of_a_target_are_a_hard_limit() {
    let records = [target("a", 0, false)];
    let targets = ZoneTargets::from_records(&records);
    let board = Arc::new(TargetBoard::default());
    let now = Instant::now();
    let choice = quoting_of(&targets, 2);
    let first = TargetBoard::acquire(&board, choice, now);
    let second = TargetBoard::acquire(&board, choice, now);
    assert!(first.is_some() && second.is_some());
    assert!(TargetBoard::acquire(&board, choice, now).is_none());
    drop(first);
    assert!(TargetBoard::acquire(&board, choice, now).is_some());
}

/// Bytes that arrive on a link in pieces, and what the reader makes of them.
#[rstest]
#[case::whole(vec![encode_frame(&PeerMessage::Heartbeat).to_vec()], Ok(1))]
#[case::byte_by_byte(encode_frame(&PeerMessage::RequestFullVersion).iter().map(|byte| vec![*byte]).collect(), Ok(1))]
#[case::two_at_once(vec![[encode_frame(&PeerMessage::Heartbeat), encode_frame(&PeerMessage::Heartbeat)].concat()], Ok(2))]
#[case::cut_short(vec![encode_frame(&PeerMessage::Heartbeat)[..4].to_vec()], Ok(0))]
#[case::too_long(vec![u32::try_from(MAX_FRAME_BYTES + 1).unwrap_or(u32::MAX).to_be_bytes().to_vec()], Err(FrameError::TooLong))]
#[case::not_a_message(vec![vec![0, 0, 0, 1, 0xff]], Err(FrameError::Undecodable))]
#[case::trailing_bytes(vec![vec![0, 0, 0, 2, 5, 5]], Err(FrameError::Undecodable))]
fn frames_are_taken_whole_or_refused(
    #[case] pieces: Vec<Vec<u8>>,
    #[case] expected: Result<usize, FrameError>,
) {
    let mut reader = FrameDecoder::default();
    let mut taken = Ok(0);
    for piece in pieces {
        reader.push(&piece);
        while let Ok(count) = taken {
            match reader.decode_next::<PeerMessage>() {
                Ok(Some(_)) => taken = Ok(count + 1),
                Ok(None) => break,
                Err(error) => taken = Err(error),
            }
        }
    }
    assert_eq!(taken, expected);
}
