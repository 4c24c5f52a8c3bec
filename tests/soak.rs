//! Short randomized soak tests, among them every seed that has ever failed.

#[path = "support/short_soak.rs"]
mod short_soak;

use std::time::Duration;

use filbert_platform_standin::soak::SoakExtra;
use rstest::rstest;
use short_soak::check_soak;

/// Daemons are killed, paused, stopped, cut off and reloaded while targets, the
/// store and links misbehave and versions change. The guarantees to callers must
/// hold: no order runs twice, no order that is reported as not run has run,
/// responses are whole, versions come into force in time and never go back, a
/// planned stop cuts no call, a target that has left gets no calls, no organisation
/// exceeds its limit, and without faults one below its limit is served.
#[rstest]
#[case::short(1, 6, &[])]
// Two replacements of one target overlap. The soak counted the drain that the
// second replacement had ordered as one of the new target that the first
// replacement had started since.
#[case::overlapping_replacements(201, 8, &[])]
// A call ends each target that runs it while daemons and links fail too.
#[case::short_with_a_harmful_call(2, 6, &[SoakExtra::HarmfulCall])]
// A roll-out is ordered, and the store is restored from an older copy.
#[case::short_with_a_roll_out(3, 6, &[SoakExtra::Rollout])]
// Targets state limits and that they leave while daemons and links fail too.
#[case::short_with_statements(4, 6, &[SoakExtra::Statements])]
// An organisation asks for more than its limit while all hosts lose power and links of
// whole zones fail. Daemons that were ready before they knew any target answered 503.
#[case::organisations(3, 8, &[SoakExtra::Organisations])]
// Long after the last fault, hosts of a zone named different readers, and an organisation
// below its limit was answered 429 there.
#[case::different_readers(13, 8, &[SoakExtra::Organisations])]
// Targets have slow periods, and one zone has one target for a third of the calls. As
// above, daemons were ready before they knew any target.
#[case::slow_periods(3, 8, &[SoakExtra::Pace])]
// Targets send without end, whole zones stop under clients that pipeline, the store moves, and
// hosts stand still while calls are cancelled, all beside the other faults.
#[case::endless_stops_moves_freezes(5, 6, &[
    SoakExtra::EndlessAnswers,
    SoakExtra::Stops,
    SoakExtra::StoreMoves,
    SoakExtra::Freezes,
])]
// Other writers fill a page of the table of hosts, and all hosts lose power twice. A name with a
// line break made two lines of a log.
#[case::odd_entries(38, 6, &[SoakExtra::OddEntries])]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_during_a_soak(
    #[case] seed: u64,
    #[case] hosts: usize,
    #[case] extras: &[SoakExtra],
) {
    check_soak(seed, Duration::from_secs(12), hosts, extras).await;
}
