//! Short randomized soak with crowds of clients that read no answers. It is a binary of its own, so
//! that it runs beside no other test.

#[path = "support/short_soak.rs"]
mod short_soak;

use std::time::Duration;

use filbert_platform_standin::soak::SoakExtra;
use rstest::rstest;
use short_soak::check_soak;

/// Guards against daemons that end, exceed their memory or break a guarantee when crowds press on
/// several hosts, beside stops of zones, endless answers and the other faults.
#[rstest]
#[case::beside_stops(9811, &[SoakExtra::Crowds, SoakExtra::Stops, SoakExtra::EndlessAnswers])]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_beside_crowds(#[case] seed: u64, #[case] extras: &[SoakExtra]) {
    check_soak(seed, Duration::from_secs(10), 6, extras).await;
}
