//! When calls are tried at a second target beside the first.

use std::time::Duration;

use filbert_policy::hedge::{hedge_now, HedgeView};
use filbert_policy::run_times::RunTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const USUAL: RunTime = RunTime {
    mean: Duration::from_millis(220),
    spread: Duration::from_millis(130),
};

/// A call that was sent `passed` ago to a target whose runs took 200 ms then
/// and take `turn_ms` now.
fn view(passed: Duration, turn_ms: f64) -> HedgeView {
    HedgeView {
        passed,
        wait: Duration::ZERO,
        usual: USUAL,
        placed_turn_ms: 200.0,
        turn_ms,
    }
}

/// When a call is tried elsewhere, if its target's runs take `turn_ms` from the
/// start.
fn hedged_after(turn_ms: f64) -> Duration {
    let mut passed = Duration::ZERO;
    while let Err(look_again) = hedge_now(&view(passed, turn_ms)) {
        assert!(!look_again.is_zero());
        passed += look_again;
    }
    passed
}

/// Two in five targets turn twelve times slower, and lookups that were just
/// sent there would take 2.6 s. They must be tried elsewhere while a usual run
/// still ends within the aim of 800 ms; at a sound target only once they take
/// longer than nearly all of their kind.
#[test]
fn calls_at_a_slowed_target_are_tried_elsewhere_within_their_aim() {
    const AIM: Duration = Duration::from_millis(800);
    let slowed = hedged_after(2_400.0);
    assert!(slowed + USUAL.mean <= AIM, "{slowed:?}");
    assert!(hedged_after(210.0) > slowed);
}

/// A quiet minute: run times have a long tail, and nothing is wrong. Few calls
/// may be sent twice, or the budget is spent when answers are lost.
#[test]
fn a_quiet_minute_costs_few_second_tries() {
    const CALLS: u32 = 10_000;
    let mut rng = StdRng::seed_from_u64(11);
    let mut again = 0;
    for _ in 0..CALLS {
        // Log-normal around the usual mean, by a sum of even numbers.
        let even: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let ran = USUAL.mean.mul_f64((0.6 * even - 0.18).exp());
        again += u32::from(ran > hedged_after(210.0));
    }
    assert!(again * 100 <= CALLS * 3, "{again} of {CALLS}");
}
