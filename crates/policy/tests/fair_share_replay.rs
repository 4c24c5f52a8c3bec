//! Simulated loads of competing organisations on the admission queue of one target.

// The counts and times of a simulation are small, so no conversion loses digits.
#![allow(clippy::cast_precision_loss)]

#[path = "support/gate.rs"]
mod gate;

use std::time::{Duration, Instant};

use filbert_policy::admission::{
    AdmissionDecision, AdmissionRequest, DeclineReason, LinkTime, QueueLimits, WaitOutcome,
};
use filbert_policy::fair_share::{FairShares, OrganisationShare, MAX_TRACKED_ORGANISATIONS};
use filbert_policy::organisations::keys::{OrganisationRule, RateLimit};
use filbert_policy::run_times::RunTime;
use gate::{open_queue, replay, CallOutcome, SimulatedCall, SLOTS};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// A kind of call.
#[derive(Clone, Copy)]
struct CallKind {
    priority: u8,
    run_ms: u64,
    soft_timeout_ms: u64,
    timeout_ms: u64,
    /// Share of the calls.
    share: f64,
}

const STOCK: CallKind = CallKind {
    priority: 2,
    run_ms: 150,
    soft_timeout_ms: 500,
    timeout_ms: 3_000,
    share: 5.2,
};
const ORDER: CallKind = CallKind {
    priority: 1,
    run_ms: 200,
    soft_timeout_ms: 600,
    timeout_ms: 4_000,
    share: 1.6,
};
const FIRMWARE: CallKind = CallKind {
    priority: 3,
    run_ms: 120,
    soft_timeout_ms: 1_200,
    timeout_ms: 4_000,
    share: 0.7,
};
const TELEMETRY: CallKind = CallKind {
    priority: 0,
    run_ms: 60,
    soft_timeout_ms: 250,
    timeout_ms: 1_500,
    share: 1.9,
};

/// The organisation over its usual load.
const LARGE: u64 = 0;
/// Organisations beside it, of equal size.
const OTHERS: u64 = 72;
/// Usual load of the large organisation and of all others together, as a ratio of
/// the target's slots.
const LARGE_LOAD: f64 = 0.16;
const OTHERS_LOAD: f64 = 0.49;
/// Length of the simulated load.
const LENGTH: Duration = Duration::from_mins(1);

/// Share of one of the other organisations in their load. One in twelve is six times as
/// large as the rest.
fn size_of(organisation: u64) -> f64 {
    let parts = if organisation.is_multiple_of(12) {
        6.0
    } else {
        1.0
    };
    parts / (OTHERS as f64 / 12.0 * 17.0)
}

/// Calls of one organisation with random gaps, of `kinds` in their shares.
fn calls_of(organisation: u64, kinds: &[CallKind], load: f64, seed: u64) -> Vec<SimulatedCall> {
    let mut random = StdRng::seed_from_u64(seed ^ organisation.wrapping_mul(0x9E37_79B9));
    let total: f64 = kinds.iter().map(|kind| kind.share).sum();
    let work: f64 = kinds
        .iter()
        .map(|k| k.share * k.run_ms as f64 / 1_000.0)
        .sum();
    let per_s = load * f64::from(SLOTS) * total / work;
    let usual_load = if organisation == LARGE {
        LARGE_LOAD
    } else {
        OTHERS_LOAD * size_of(organisation)
    };
    let mut calls = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / per_s);
        if at >= LENGTH {
            return calls;
        }
        let mut point = random.random::<f64>() * total;
        let kind = kinds.iter().find(|kind| {
            point -= kind.share;
            point < 0.0
        });
        let kind = kind.unwrap_or(&kinds[0]);
        let run = Duration::from_millis(kind.run_ms);
        calls.push(SimulatedCall {
            at,
            priority: kind.priority,
            soft_timeout: Duration::from_millis(kind.soft_timeout_ms),
            timeout: Duration::from_millis(kind.timeout_ms),
            run: run.mul_f64(0.5 + random.random::<f64>()),
            expected_run: run,
            organisation: Some(OrganisationShare {
                id: organisation,
                weight: usual_load * 1_000.0,
            }),
        });
    }
}

/// Calls of the others that were late or declined, of all their calls, beside the large
/// organisation at `large_factor` times its usual load.
fn lost_of_others(kinds: &[CallKind], large_factor: f64, seed: u64) -> f64 {
    let mut calls: Vec<SimulatedCall> = (1..=OTHERS)
        .flat_map(|id| calls_of(id, kinds, OTHERS_LOAD * size_of(id), seed))
        .collect();
    if large_factor > 0.0 {
        calls.extend(calls_of(LARGE, kinds, LARGE_LOAD * large_factor, seed));
    }
    calls.sort_by_key(|call| call.at);
    let outcomes = replay(&calls);
    let is_of_others = |call: &SimulatedCall| call.organisation.is_some_and(|o| o.id != LARGE);
    let of_others: Vec<_> = calls
        .iter()
        .zip(&outcomes)
        .filter(|(c, _)| is_of_others(c))
        .collect();
    let lost = of_others.iter().filter(|(call, outcome)| match outcome {
        CallOutcome::Answered { took } => *took > call.soft_timeout,
        CallOutcome::Declined { .. } => true,
    });
    lost.count() as f64 / of_others.len() as f64
}

/// One organisation sends seven times its usual calls beside many small ones, whose own
/// calls fit into the target's slots. Without a share for each organisation, the others
/// lose a third of their calls; they must lose under one in a hundred.
#[rstest]
#[case("one kind", &[STOCK])]
#[case("calls that are cheaper by run time and priority", &[STOCK, TELEMETRY])]
#[case("all kinds", &[STOCK, ORDER, FIRMWARE, TELEMETRY])]
fn others_keep_their_calls_beside_an_organisation_over_its_load(
    #[case] description: &str,
    #[case] kinds: &[CallKind],
    #[values(1, 2, 3)] seed: u64,
) {
    let without = lost_of_others(kinds, 0.0, seed);
    let beside = lost_of_others(kinds, 7.0, seed);
    assert!(
        beside - without < 0.01,
        "{description}: {beside} lost, {without} without the organisation"
    );
}

/// Lookups that targets make for their own calls. They belong to no organisation.
const LOOKUP: CallKind = CallKind {
    priority: 0,
    run_ms: 38,
    soft_timeout_ms: 150,
    timeout_ms: 500,
    share: 1.0,
};
/// Load of the lookups, as a ratio of the target's slots.
const LOOKUP_LOAD: f64 = 0.25;

/// Guards against calls at other targets that fail because the lookups they depend on,
/// which belong to no organisation, are taken for those of one small organisation.
#[test]
fn lookups_of_targets_are_not_passed_over_for_organisations() {
    for seed in 1..=3 {
        let mut calls = calls_of(OTHERS + 1, &[LOOKUP], LOOKUP_LOAD, seed);
        for call in &mut calls {
            call.organisation = None;
        }
        for organisation in 1..=OTHERS {
            let load = OTHERS_LOAD * size_of(organisation);
            calls.extend(calls_of(organisation, &[TELEMETRY], load, seed));
        }
        calls.extend(calls_of(LARGE, &[TELEMETRY], LARGE_LOAD * 7.0, seed));
        calls.sort_by_key(|call| call.at);
        let outcomes = replay(&calls);
        let lookups = calls.iter().zip(&outcomes);
        let lookups: Vec<_> = lookups.filter(|(c, _)| c.organisation.is_none()).collect();
        let lost = lookups.iter().filter(|(call, outcome)| match outcome {
            CallOutcome::Answered { took } => *took > call.soft_timeout,
            CallOutcome::Declined { .. } => true,
        });
        let lost = lost.count() as f64 / lookups.len() as f64;
        assert!(lost < 0.01, "seed {seed}: {lost} of the lookups");
    }
}

/// Calls at a target that serves one organisation, or none, must be decided as if there
/// were no shares.
fn same_outcomes(calls: &[SimulatedCall], organisation: OrganisationShare) {
    let of = |organisation: Option<OrganisationShare>| {
        let calls: Vec<SimulatedCall> = calls
            .iter()
            .map(|call| SimulatedCall {
                organisation,
                ..*call
            })
            .collect();
        replay(&calls)
    };
    assert_eq!(of(None), of(Some(organisation)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A single organisation has no one to share with: its calls must be decided like
    /// those that belong to none, whatever its weight.
    #[test]
    fn a_single_organisation_is_decided_like_none(
        arrivals in prop::collection::vec((0u64..30, 0u8..3, 50u64..900, 1u64..500), 1..200),
        weight in prop::num::f64::ANY,
    ) {
        let mut at = Duration::ZERO;
        let calls: Vec<SimulatedCall> = arrivals
            .iter()
            .map(|&(gap, priority, soft_timeout, run)| {
                at += Duration::from_millis(gap);
                SimulatedCall {
                    at,
                    priority,
                    soft_timeout: Duration::from_millis(soft_timeout),
                    timeout: Duration::from_millis(soft_timeout * 2),
                    run: Duration::from_millis(run),
                    expected_run: Duration::from_millis(150),
                    organisation: None,
                }
            })
            .collect();
        same_outcomes(&calls, OrganisationShare { id: 1, weight });
    }
}

const RUN: Duration = Duration::from_millis(100);

/// A call with a distant deadline, so that it waits as long as the queue has room.
fn patient_request(organisation: u64, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        priority: 0,
        soft_deadline: now + Duration::from_secs(100),
        deadline: now + Duration::from_secs(200),
        run: RunTime::exponential(RUN),
        link: LinkTime::default(),
        organisation: Some(OrganisationShare {
            id: organisation,
            weight: 1.0,
        }),
    }
}

/// An organisation fills the whole queue. A call of another one must not be declined for
/// want of room; the queue gives up a call of the first one instead.
#[test]
fn a_full_queue_gives_up_a_call_beyond_its_share() {
    let now = Instant::now();
    let mut queue = open_queue();
    let places = QueueLimits::default().max_waiting_per_slot * SLOTS;
    for _ in 0..SLOTS + places {
        queue.offer(patient_request(LARGE, now), RUN, now);
    }
    assert_eq!(queue.waiting(), places);
    assert!(matches!(
        queue.offer(patient_request(LARGE, now), RUN, now),
        AdmissionDecision::Decline { .. }
    ));
    let AdmissionDecision::Wait(ticket) = queue.offer(patient_request(1, now), RUN, now) else {
        panic!("the call waits");
    };
    let outcomes = queue.dispatch(RUN, now);
    assert!(matches!(
        outcomes[..],
        [WaitOutcome::Decline { ticket: other, reason: DeclineReason::BeyondShare, .. }]
            if other != ticket
    ));
    assert_eq!(queue.waiting(), places);
}

/// A weight that is no positive, finite number must count as 1, and must not make the
/// order or the state invalid.
#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(f64::NEG_INFINITY)]
#[case(-3.0)]
#[case(0.0)]
fn an_invalid_weight_counts_as_one(#[case] weight: f64) {
    let share = OrganisationShare { id: 1, weight };
    assert!(!share.has_valid_weight());
    let shares = FairShares::default();
    let one = OrganisationShare { id: 1, weight: 1.0 };
    assert_eq!(shares.claim(Some(share)), shares.claim(Some(one)));
}

/// Guards against an organisation that gets another share on each host, or none without
/// a limit.
#[rstest]
#[case(None, 1.0)]
#[case(Some(RateLimit { per_s: 40.0, burst: 8.0 }), 40.0)]
fn the_weight_is_the_rate_of_the_limit(#[case] limit: Option<RateLimit>, #[case] weight: f64) {
    let share = |name: &str| {
        OrganisationShare::of(&OrganisationRule {
            name: name.to_owned(),
            keys: Vec::new(),
            priority: None,
            limit,
        })
    };
    assert_eq!(
        share("north"),
        OrganisationShare {
            weight,
            ..share("north")
        }
    );
    assert_ne!(share("north").id, share("south").id);
}

/// Ten times as many organisations as are tracked send calls. The state must stay
/// bounded.
#[test]
fn the_number_of_tracked_organisations_is_bounded() {
    let mut shares = FairShares::default();
    for id in 0..MAX_TRACKED_ORGANISATIONS as u64 * 10 {
        let claim = shares.claim(Some(OrganisationShare { id, weight: 1.0 }));
        let earliest = shares.time_with_burst(&claim, 1.0);
        shares.record_start(&claim, 1.0 + id as f64, earliest);
        assert!(shares.tracked() <= MAX_TRACKED_ORGANISATIONS + 1);
    }
}
