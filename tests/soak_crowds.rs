//! Short randomized soak with crowds of clients that read no answers. It is a binary of its own, so
//! that it runs beside no other test.

use std::path::PathBuf;
use std::time::Duration;

use filbert_platform_standin::soak::{self, SoakExtra, SoakSpec};
use rstest::rstest;

/// Guards against daemons that end, exceed their memory or break a guarantee when crowds press on
/// several hosts, beside stops of zones, endless answers and the other faults.
#[rstest]
#[case::beside_stops(9811, &[SoakExtra::Crowds, SoakExtra::Stops, SoakExtra::EndlessAnswers])]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_beside_crowds(#[case] seed: u64, #[case] extras: &[SoakExtra]) {
    let report = soak::run(&SoakSpec {
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_filbertd")),
        seed,
        length: Duration::from_secs(10),
        hosts: 6,
        callers: 3,
        extras: extras.to_vec(),
        has_random_faults: true,
        logs: None,
    })
    .await;
    println!("{}", report.text());
    assert!(report.violations.is_empty(), "{}", report.text());
}
