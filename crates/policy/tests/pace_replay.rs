//! Simulated slow periods of the targets of one service.

// Times in the simulation are small enough for these casts.
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]

#[path = "support/pace.rs"]
mod simulation;

use rstest::rstest;
use simulation::{capacity_share, simulate, PaceClaim};

const SECONDS: u32 = 20;

/// Guards against calls that are placed on targets in a slow period and answered late,
/// while others would answer them in time.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn stated_pace_raises_the_share_of_calls_in_time(#[case] seed: u64) {
    let share = |claim| simulate(claim, claim, SECONDS, seed).share_in_time(None);
    let (without, with) = (share(PaceClaim::Nothing), share(PaceClaim::Truth));
    println!("seed {seed}: {without:.4} without, {with:.4} with pace");
    assert!(with >= without + 0.01, "{without} without, {with} with");
}

/// Guards against decisions that change where no target states a pace.
#[test]
fn targets_without_a_pace_get_the_same_calls_as_before() {
    let counts = |claim| simulate(claim, claim, 5, 1);
    assert_eq!(counts(PaceClaim::Nothing), counts(PaceClaim::Untracked));
}

/// Guards against a target whose false pace harms calls to other targets.
#[rstest]
fn a_false_pace_harms_at_most_its_own_share(
    #[values(
        PaceClaim::Always(1.0),
        PaceClaim::Always(10_000.0),
        PaceClaim::Jumping
    )]
    claim: PaceClaim,
    #[values(1, 2)] seed: u64,
) {
    let share = |claim| simulate(claim, PaceClaim::Truth, SECONDS, seed).share_in_time(Some(0));
    let (honest, lied) = (share(PaceClaim::Truth), share(claim));
    println!("{claim:?}, seed {seed}: {honest:.4} honest, {lied:.4} with a false pace");
    assert!(lied >= honest - capacity_share(0), "{honest} to {lied}");
}
