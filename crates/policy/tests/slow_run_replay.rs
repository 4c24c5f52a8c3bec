//! Replays of roll-outs on hosts with other load, judged by the run times of both
//! versions.

use std::time::{Duration, Instant};

use filbert_policy::rollout::judge::{CanaryJudge, Verdict, VersionSide};
use filbert_policy::rollout::slow_runs::{RunCounts, SlowRunCounter, TargetRuns};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);
/// Evaluations in a trial of nine seconds.
const EVALUATIONS: u32 = 45;
/// Run time of the old version on an idle host, in milliseconds.
const RUN_MS: f64 = 30.0;
const KIND: &str = "reads";

/// Load of a roll-out with two old and two new targets.
#[derive(Clone, Copy)]
struct TrialLoad {
    /// Run time of the new version, as a multiple of the old version's.
    slowdown: f64,
    /// Most that other load on the hosts adds to any run, in milliseconds.
    overload_ms: f64,
    /// Factor on the run times of both versions from the middle of the trial on.
    late_factor: f64,
    /// Share of the new version's slow runs that callers abandon at 120 ms.
    abandoned: f64,
    /// Evaluation from which the old targets get no more calls.
    old_until: u32,
}

const USUAL: TrialLoad = TrialLoad {
    slowdown: 1.0,
    overload_ms: 5.0,
    late_factor: 1.0,
    abandoned: 0.0,
    old_until: EVALUATIONS,
};

/// Simulates a trial with `runs` runs a target and interval. Returns whether the version
/// was condemned, and the last verdict.
fn replay(load: TrialLoad, runs: u32, seed: u64) -> (bool, Verdict) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counts = vec![RunCounts::default(); 4];
    let (mut slow_runs, mut judge) = (SlowRunCounter::default(), CanaryJudge::default());
    let start = Instant::now();
    let mut verdict = Verdict::default();
    for evaluation in 0..EVALUATIONS {
        for (target, counts) in counts.iter_mut().enumerate() {
            let is_new = target >= 2;
            if !is_new && evaluation >= load.old_until {
                continue;
            }
            for _ in 0..runs {
                let factor = if is_new { load.slowdown } else { 1.0 };
                let is_late = evaluation > EVALUATIONS / 2;
                let stretch = if is_late { load.late_factor } else { 1.0 };
                let spread = 0.7 + 0.6 * rng.random::<f64>();
                let overload_ms = load.overload_ms * (0.5 + 0.5 * rng.random::<f64>());
                let took_ms = (RUN_MS * factor * spread + overload_ms) * stretch;
                let took = Duration::from_secs_f64(took_ms / 1_000.0);
                let limit = Duration::from_millis(120);
                if is_new && took > limit && rng.random::<f64>() < load.abandoned {
                    counts.abandoned.record(limit);
                } else {
                    counts.ended += 1;
                    counts.completed.record(took);
                }
            }
        }
        let now = start + EVALUATION_INTERVAL * evaluation;
        let names = ["old-a", "old-b", "new-a", "new-b"];
        let targets: Vec<TargetRuns<'_>> = counts
            .iter()
            .enumerate()
            .map(|(target, counts)| TargetRuns {
                target_id: names[target],
                zone: "a",
                side: if target < 2 {
                    VersionSide::Old
                } else {
                    VersionSide::New
                },
                kinds: vec![(KIND, counts)],
            })
            .collect();
        verdict = judge.evaluate(&slow_runs.count(&targets, now), now);
        if verdict.is_bad() {
            return (true, verdict);
        }
    }
    (false, verdict)
}

/// Guards against a slow version that passes because other load on the hosts stretches
/// the old version's runs, too, or because callers abandon its slow runs.
#[rstest]
#[case::idle_hosts(TrialLoad { slowdown: 8.0, ..USUAL })]
#[case::overloaded_hosts(TrialLoad { slowdown: 8.0, overload_ms: 60.0, ..USUAL })]
#[case::hosts_overloaded_late(TrialLoad { slowdown: 8.0, overload_ms: 40.0, late_factor: 2.0, ..USUAL })]
#[case::most_slow_runs_abandoned(TrialLoad { slowdown: 8.0, abandoned: 0.9, ..USUAL })]
#[case::five_times_slower(TrialLoad { slowdown: 5.0, ..USUAL })]
fn a_slow_version_is_condemned(#[case] load: TrialLoad) {
    for seed in 0..20 {
        let (is_bad, verdict) = replay(load, 1, seed);
        assert!(is_bad, "seed {seed}: {verdict:?}");
    }
}

/// Guards against a good version that is condemned as all runs become slower, or as its
/// targets are the slower ones.
#[rstest]
#[case::usual(USUAL)]
#[case::slower_targets(TrialLoad { slowdown: 1.6, ..USUAL })]
#[case::twice_slower_targets(TrialLoad { slowdown: 2.0, ..USUAL })]
#[case::overloaded_hosts(TrialLoad { overload_ms: 200.0, ..USUAL })]
#[case::all_runs_slower(TrialLoad { late_factor: 3.0, ..USUAL })]
#[case::slower_after_the_move(TrialLoad { late_factor: 2.5, old_until: EVALUATIONS / 3, ..USUAL })]
fn a_good_version_is_not_condemned(#[case] load: TrialLoad) {
    for seed in 0..50 {
        let (is_bad, verdict) = replay(load, 10, seed);
        assert!(!is_bad, "seed {seed}: {verdict:?}");
    }
}

/// Guards against counts of a replaced target that count for the one that follows it,
/// also if that one has had more runs when it is first seen.
#[rstest]
#[case::fewer_runs(3)]
#[case::more_runs(25)]
fn a_replaced_target_starts_without_slow_runs(#[case] runs_after: u32) {
    let mut slow_runs = SlowRunCounter::default();
    let now = Instant::now();
    let run_counts = |runs: u32, took_ms: u64| {
        let mut counts = RunCounts::default();
        for _ in 0..runs {
            counts.ended += 1;
            counts.completed.record(Duration::from_millis(took_ms));
        }
        counts
    };
    let old = run_counts(50, 30);
    let mut bad_counts = |new: &RunCounts| {
        let target = |target_id, side, counts| TargetRuns {
            target_id,
            zone: "a",
            side,
            kinds: vec![(KIND, counts)],
        };
        let targets = [
            target("old-a", VersionSide::Old, &old),
            target("new-a", VersionSide::New, new),
        ];
        slow_runs.count(&targets, now)[1].kinds[0].1
    };
    assert_eq!(bad_counts(&run_counts(20, 300)).bad, 20);
    let replaced = bad_counts(&run_counts(runs_after, 30));
    assert_eq!((replaced.ended, replaced.bad), (u64::from(runs_after), 0));
}
