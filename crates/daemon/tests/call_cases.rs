//! Table-driven tests of the step after an attempt, the retry budget, target
//! selection and the decoding of frames between daemons.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_daemon::budget::RetryBudget;
use filbert_daemon::messages::{
    encode_frame, FrameDecoder, FrameError, PeerMessage, MAX_FRAME_BYTES,
};
use filbert_daemon::proxy::policy::{
    hedge_delay, is_repeatable, next_step, AttemptEnd, NextStep, RetryAllowance,
};
use filbert_daemon::targets::{
    PlacementRequest, SlotGuard, TargetHealth, TargetOutcome, TargetTable, ZoneTargets,
};
use filbert_store::TargetRecord;
use filbert_tree::{BranchSettings, RouteSettings};
use rocket::http::Method;
use rstest::rstest;

/// How an attempt ended, what is allowed afterwards, and the expected step.
struct StepCase {
    attempt_end: AttemptEnd,
    repeatable: bool,
    may_have_run: bool,
    can_retry: bool,
    step: NextStep,
}

#[rstest]
#[case::answered(StepCase { attempt_end: AttemptEnd::Answered, repeatable: false, may_have_run: false, can_retry: true, step: NextStep::PassOn })]
#[case::declined_goes_on(StepCase { attempt_end: AttemptEnd::Declined, repeatable: false, may_have_run: false, can_retry: true, step: NextStep::SendAgain })]
#[case::declined_at_last(StepCase { attempt_end: AttemptEnd::Declined, repeatable: false, may_have_run: false, can_retry: false, step: NextStep::SayNotRun })]
#[case::declined_after_loss(StepCase { attempt_end: AttemptEnd::Declined, repeatable: true, may_have_run: true, can_retry: false, step: NextStep::SayUnknown })]
#[case::not_connected_goes_on(StepCase { attempt_end: AttemptEnd::NotConnected, repeatable: false, may_have_run: false, can_retry: true, step: NextStep::SendAgain })]
#[case::not_connected_at_last(StepCase { attempt_end: AttemptEnd::NotConnected, repeatable: false, may_have_run: false, can_retry: false, step: NextStep::SayNotRun })]
#[case::lost_order_is_not_sent_again(StepCase { attempt_end: AttemptEnd::Lost, repeatable: false, may_have_run: true, can_retry: true, step: NextStep::SayUnknown })]
#[case::lost_lookup_is_sent_again(StepCase { attempt_end: AttemptEnd::Lost, repeatable: true, may_have_run: true, can_retry: true, step: NextStep::SendAgain })]
#[case::lost_lookup_at_last(StepCase { attempt_end: AttemptEnd::Lost, repeatable: true, may_have_run: true, can_retry: false, step: NextStep::SayUnknown })]
fn next_step_follows_attempt_end_and_allowance(#[case] case: StepCase) {
    let allowance = RetryAllowance {
        repeatable: case.repeatable,
        may_have_run: case.may_have_run,
        can_retry: case.can_retry,
    };
    assert_eq!(next_step(case.attempt_end, allowance), case.step);
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
fn hedge_delay_is_an_equal_share_of_the_time_left() {
    let left = Duration::from_millis(900);
    assert_eq!(hedge_delay(left, 2, true), Some(left / 3));
    assert_eq!(hedge_delay(left, 0, true), None);
    assert_eq!(hedge_delay(left, 2, false), None);
}

#[test]
fn retries_are_limited_to_a_fifth_of_the_calls_plus_the_reserve() {
    // When every call of a service fails, 1,000 calls may cause 10 + 200
    // retries. Without the budget they would cause 1,000 retries.
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
        "each service must have its own budget"
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

/// A request for a target of the quoting service by a call's first attempt.
fn quoting_request(targets: &ZoneTargets, slots_per_target: u32) -> PlacementRequest<'_> {
    PlacementRequest {
        targets,
        service: "quoting",
        slots_per_target,
        excluded: &[],
        health: TargetHealth::Any,
    }
}

/// Targets as `(address, load in the record, leaving)`, recorded outcomes as
/// `(address, outcome)`, and the expected target of the next call.
struct ChoiceCase {
    targets: &'static [(&'static str, u32, bool)],
    outcomes: &'static [(&'static str, TargetOutcome)],
    chosen: Option<&'static str>,
}

const SUCCESS: TargetOutcome = TargetOutcome::Success { load: None };
const SUCCESS_WITH_LOAD: TargetOutcome = TargetOutcome::Success { load: Some(8) };

#[rstest]
#[case::least_loaded(ChoiceCase { targets: &[("a", 5, false), ("b", 2, false)], outcomes: &[], chosen: Some("b") })]
#[case::leaving_is_passed_over(ChoiceCase { targets: &[("a", 5, false), ("b", 0, true)], outcomes: &[], chosen: Some("a") })]
#[case::answers_tell_more_than_reports(ChoiceCase { targets: &[("a", 5, false), ("b", 0, false)], outcomes: &[("b", SUCCESS_WITH_LOAD)], chosen: Some("a") })]
#[case::failing_is_passed_over(ChoiceCase { targets: &[("a", 9, false), ("b", 0, false)], outcomes: &[("b", TargetOutcome::Failure), ("b", TargetOutcome::Failure), ("b", TargetOutcome::Failure)], chosen: Some("a") })]
#[case::unreachable_is_passed_over_at_once(ChoiceCase { targets: &[("a", 9, false), ("b", 0, false)], outcomes: &[("b", TargetOutcome::Unreachable)], chosen: Some("a") })]
#[case::one_failure_is_not_enough(ChoiceCase { targets: &[("a", 9, false), ("b", 0, false)], outcomes: &[("b", TargetOutcome::Failure), ("b", SUCCESS), ("b", TargetOutcome::Failure)], chosen: Some("b") })]
#[case::shedding_is_passed_over(ChoiceCase { targets: &[("a", 9, false), ("b", 0, false)], outcomes: &[("b", TargetOutcome::Declined)], chosen: Some("a") })]
#[case::all_failing_are_still_tried(ChoiceCase { targets: &[("a", 0, false)], outcomes: &[("a", TargetOutcome::Declined)], chosen: Some("a") })]
#[case::none_serving(ChoiceCase { targets: &[("a", 0, true)], outcomes: &[], chosen: None })]
fn target_choice_follows_load_and_health(#[case] case: ChoiceCase) {
    let records: Vec<TargetRecord> = case
        .targets
        .iter()
        .map(|(address, load, leaving)| target(address, *load, *leaving))
        .collect();
    let targets = ZoneTargets::from_records(&records);
    let table = Arc::new(TargetTable::default());
    let now = Instant::now();
    let request = quoting_request(&targets, 9);
    drop(TargetTable::acquire_slot(&table, request, now));
    for (address, outcome) in case.outcomes {
        table.record_outcome(address, *outcome, now);
    }
    let chosen = TargetTable::acquire_slot(&table, request, now);
    assert_eq!(chosen.as_ref().map(SlotGuard::address), case.chosen);
}

#[test]
fn cold_target_is_not_preferred_until_it_is_warm() {
    // A cold, idle target joins a warm target that runs two calls. The cold
    // target must not get the next call, although it has the lower load. Four
    // seconds later the target is warm and must get the call.
    let warm = target("warm", 2, false);
    let cold = target("cold", 0, false);
    let table = Arc::new(TargetTable::default());
    let start = Instant::now();
    let chosen = |records: &[TargetRecord], now| {
        let targets = ZoneTargets::from_records(records);
        let request = quoting_request(&targets, 9);
        let slot = TargetTable::acquire_slot(&table, request, now).expect("a target");
        slot.address().to_owned()
    };
    let both = [warm.clone(), cold];
    assert_eq!(chosen(&[warm], start), "warm");
    let joined = start + Duration::from_secs(301);
    assert_eq!(chosen(&both, joined), "warm");
    assert_eq!(chosen(&both, joined + Duration::from_secs(4)), "cold");
}

#[test]
fn calls_are_spread_over_idle_targets() {
    // Calls arrive one at a time at a service with five idle targets, and
    // every target must get a share. Choosing the first of equally loaded
    // targets would send all calls from every proxy of the zone to the target
    // with the lowest address.
    let names = ["a", "b", "c", "d", "e"];
    let records: Vec<TargetRecord> = names.iter().map(|name| target(name, 0, false)).collect();
    let targets = ZoneTargets::from_records(&records);
    let table = Arc::new(TargetTable::default());
    let request = quoting_request(&targets, 9);
    let mut calls = std::collections::BTreeMap::new();
    for _ in 0..1_000 {
        let slot = TargetTable::acquire_slot(&table, request, Instant::now()).expect("a target");
        *calls.entry(slot.address().to_owned()).or_insert(0) += 1;
    }
    // The mean is 200 calls per target; 100 is more than seven standard
    // deviations below the mean.
    assert_eq!(calls.len(), names.len(), "{calls:?}");
    assert!(calls.values().all(|count| *count > 100), "{calls:?}");
}

#[test]
fn target_never_gets_more_calls_than_its_slots() {
    let records = [target("a", 0, false)];
    let targets = ZoneTargets::from_records(&records);
    let table = Arc::new(TargetTable::default());
    let now = Instant::now();
    let request = quoting_request(&targets, 2);
    let first = TargetTable::acquire_slot(&table, request, now);
    let second = TargetTable::acquire_slot(&table, request, now);
    assert!(first.is_some() && second.is_some());
    assert!(TargetTable::acquire_slot(&table, request, now).is_none());
    drop(first);
    assert!(TargetTable::acquire_slot(&table, request, now).is_some());
}

/// Feeds the chunks of bytes received on a link to the frame reader and checks
/// the number of decoded messages, or the error.
#[rstest]
#[case::whole(vec![encode_frame(&PeerMessage::Heartbeat).to_vec()], Ok(1))]
#[case::byte_by_byte(encode_frame(&PeerMessage::RequestFullVersion).iter().map(|byte| vec![*byte]).collect(), Ok(1))]
#[case::two_at_once(vec![[encode_frame(&PeerMessage::Heartbeat), encode_frame(&PeerMessage::Heartbeat)].concat()], Ok(2))]
#[case::cut_short(vec![encode_frame(&PeerMessage::Heartbeat)[..4].to_vec()], Ok(0))]
#[case::too_long(vec![u32::try_from(MAX_FRAME_BYTES + 1).unwrap_or(u32::MAX).to_be_bytes().to_vec()], Err(FrameError::TooLong))]
#[case::not_a_message(vec![vec![0, 0, 0, 1, 0xff]], Err(FrameError::Undecodable))]
#[case::trailing_bytes(vec![vec![0, 0, 0, 2, 5, 5]], Err(FrameError::Undecodable))]
fn frames_are_decoded_whole_or_rejected(
    #[case] chunks: Vec<Vec<u8>>,
    #[case] expected: Result<usize, FrameError>,
) {
    let mut reader = FrameDecoder::default();
    let mut decoded = Ok(0);
    for chunk in chunks {
        reader.push(&chunk);
        while let Ok(count) = decoded {
            match reader.decode_next::<PeerMessage>() {
                Ok(Some(_)) => decoded = Ok(count + 1),
                Ok(None) => break,
                Err(error) => decoded = Err(error),
            }
        }
    }
    assert_eq!(decoded, expected);
}
