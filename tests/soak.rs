//! A short soak, and every seed that ever failed.

use std::path::PathBuf;
use std::time::Duration;

use filbert_platform_standin::soak::{self, SoakSpec};
use rstest::rstest;

/// What comes with the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Company {
    None,
    HarmfulCall,
    Rollout,
}

/// Six daemons are killed, paused, stopped, cut off and reloaded while targets,
/// store and links misbehave and versions change. Callers must never see a
/// promise broken: nothing doubled, nothing told "not run" that ran, whole
/// answers, versions never back and in force in time, no call cut by a planned
/// stop, no work for a target that left.
#[rstest]
#[case::short(1, 6, Company::None)]
// Two replacements of one target overlap. The soak took the second's word of
// leaving for that of the target that the first had put in its place.
#[case::overlapping_replacements(201, 8, Company::None)]
// A call ends each target that runs it while daemons and links fail too.
#[case::short_with_a_harmful_call(2, 6, Company::HarmfulCall)]
// A roll-out is ordered, and the store comes back from an older copy.
#[case::short_with_a_roll_out(3, 6, Company::Rollout)]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_through_a_soak(
    #[case] seed: u64,
    #[case] hosts: usize,
    #[case] company: Company,
) {
    let report = soak::run(&SoakSpec {
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_filbertd")),
        seed,
        length: Duration::from_secs(12),
        hosts,
        callers: 3,
        has_harmful_call: company == Company::HarmfulCall,
        has_rollout: company == Company::Rollout,
    })
    .await;
    println!("{}", report.text());
    assert!(report.violations.is_empty(), "{}", report.text());
}
