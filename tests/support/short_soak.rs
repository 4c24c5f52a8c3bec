//! Runs a short soak of the tested `filbertd`.

use std::path::PathBuf;
use std::time::Duration;

use filbert_platform_standin::soak::{self, SoakExtra, SoakSpec};

/// Runs a soak with random faults for `length` and asserts that it has no violation.
pub async fn check_soak(seed: u64, length: Duration, hosts: usize, extras: &[SoakExtra]) {
    let report = soak::run(&SoakSpec {
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_filbertd")),
        seed,
        length,
        hosts,
        callers: 3,
        extras: extras.to_vec(),
        has_random_faults: true,
        logs: None,
    })
    .await;
    println!("{}", report.text());
    assert!(report.violations.is_empty(), "{}", report.text());
}
