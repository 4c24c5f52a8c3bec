//! Replays roll-outs: simulated calls to old and new targets are counted as daemons
//! count them, and evaluated in each interval as a deciding daemon does.

use std::time::{Duration, Instant};

use filbert_policy::rollout::judge::{CallCounts, CanaryJudge, TargetCounts, Verdict, VersionSide};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Interval between two evaluations.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Evaluations in a trial of ten seconds.
const EVALUATIONS: usize = 40;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Kinds of call and their shares of the calls.
const KINDS: [(&str, f64); 2] = [("reads", 0.97), ("rare", 0.03)];

/// How a target answers its calls.
#[derive(Clone, Copy)]
struct TargetBehaviour {
    /// Share of bad answers, 0 to 1.
    bad: f64,
    /// Kind of call that shows this share; all kinds if `None`.
    only_kind: Option<&'static str>,
    /// Index of the evaluation from which on the share applies.
    from_evaluation: usize,
}

const HEALTHY: TargetBehaviour = TargetBehaviour {
    bad: 0.01,
    only_kind: None,
    from_evaluation: 0,
};

struct Fleet {
    names: Vec<String>,
    counts: Vec<[CallCounts; 2]>,
    behaviours: Vec<TargetBehaviour>,
    /// Number of old targets, which come before the new ones.
    old: usize,
    /// Calls to each target per interval.
    calls: usize,
}

impl Fleet {
    fn new(old: &[TargetBehaviour], new: &[TargetBehaviour], calls: usize) -> Fleet {
        let behaviours: Vec<TargetBehaviour> = old.iter().chain(new).copied().collect();
        Fleet {
            names: (0..behaviours.len())
                .map(|target| format!("t{target}"))
                .collect(),
            counts: vec![[CallCounts::default(); 2]; behaviours.len()],
            behaviours,
            old: old.len(),
            calls,
        }
    }

    /// Runs the calls of one interval.
    fn serve(&mut self, evaluation: usize, rng: &mut StdRng) {
        for (counts, behaviour) in self.counts.iter_mut().zip(&self.behaviours) {
            for _ in 0..self.calls {
                let kind = usize::from(rng.random::<f64>() > KINDS[0].1);
                let is_faulty = evaluation >= behaviour.from_evaluation
                    && behaviour.only_kind.is_none_or(|only| only == KINDS[kind].0);
                let share = if is_faulty {
                    behaviour.bad
                } else {
                    HEALTHY.bad
                };
                counts[kind].ended += 1;
                counts[kind].bad += u64::from(rng.random::<f64>() < share);
            }
        }
    }

    fn counts(&self) -> Vec<TargetCounts<'_>> {
        let counts_of = |target: usize| TargetCounts {
            target_id: self.names[target].as_str(),
            zone: ZONES[target % ZONES.len()],
            side: if target < self.old {
                VersionSide::Old
            } else {
                VersionSide::New
            },
            kinds: KINDS
                .iter()
                .zip(self.counts[target])
                .map(|((kind, _), counts)| (*kind, counts))
                .collect(),
        };
        (0..self.names.len()).map(counts_of).collect()
    }
}

/// Simulates ten seconds. Returns the index of the evaluation that condemned the new
/// version, if one did, and the last verdict.
fn replay(
    old: &[TargetBehaviour],
    new: &[TargetBehaviour],
    calls: usize,
    seed: u64,
) -> (Option<usize>, Verdict) {
    let mut fleet = Fleet::new(old, new, calls);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut judge = CanaryJudge::default();
    let start = Instant::now();
    let mut last = judge.evaluate(&fleet.counts(), start);
    for evaluation in 0..EVALUATIONS {
        fleet.serve(evaluation, &mut rng);
        let now = start + EVALUATION_INTERVAL * (u32::try_from(evaluation).unwrap_or(0) + 1);
        last = judge.evaluate(&fleet.counts(), now);
        if last.is_bad() {
            return (Some(evaluation), last);
        }
    }
    (None, last)
}

fn faulty(bad: f64) -> TargetBehaviour {
    TargetBehaviour { bad, ..HEALTHY }
}

/// A fault of the new version, and the evaluation by which it has to be found. A
/// version is not condemned before its fault shows.
#[rstest]
#[case::at_once(faulty(0.5), 3)]
#[case::mildly(faulty(0.25), 8)]
#[case::later(TargetBehaviour { bad: 0.5, only_kind: None, from_evaluation: 20 }, 24)]
#[case::on_the_rare_route(TargetBehaviour { bad: 0.6, only_kind: Some("rare"), from_evaluation: 0 }, 40)]
fn a_bad_version_is_condemned(#[case] behaviour: TargetBehaviour, #[case] within: usize) {
    for seed in 0..20 {
        let (found, verdict) = replay(&[HEALTHY; 12], &[behaviour; 4], 10, seed);
        assert!(
            found.is_some_and(
                |evaluation| evaluation >= behaviour.from_evaluation && evaluation <= within
            ),
            "seed {seed}: {found:?}, {verdict:?}"
        );
    }
}

/// Guards against a good version that is condemned for faults of single targets, of
/// both versions, or of an availability zone.
#[rstest]
#[case::none(vec![HEALTHY; 12], vec![HEALTHY; 4])]
#[case::one_new_target_is_ill(vec![HEALTHY; 12], vec![faulty(0.5), HEALTHY, HEALTHY, HEALTHY])]
#[case::both_versions_are_ill(vec![faulty(0.3); 12], vec![faulty(0.3); 4])]
#[case::some_old_targets_are_ill(vec![faulty(0.6), faulty(0.6), HEALTHY, HEALTHY, HEALTHY, HEALTHY], vec![HEALTHY; 4])]
#[case::one_zone_is_ill(
    vec![faulty(0.4), HEALTHY, HEALTHY, faulty(0.4), HEALTHY, HEALTHY, faulty(0.4), HEALTHY, HEALTHY],
    vec![faulty(0.4), HEALTHY, HEALTHY]
)]
fn a_good_version_is_not_condemned(
    #[case] old: Vec<TargetBehaviour>,
    #[case] new: Vec<TargetBehaviour>,
) {
    for seed in 0..200 {
        let (found, verdict) = replay(&old, &new, 10, seed);
        assert_eq!(found, None, "seed {seed}: {verdict:?}");
    }
}

/// Guards against a bad version that passes because some old targets are faulty and
/// raise the rate that it is compared with.
#[test]
fn a_bad_version_is_condemned_although_old_targets_are_faulty() {
    for seed in 0..20 {
        let old = [faulty(0.5), faulty(0.5), HEALTHY, HEALTHY, HEALTHY, HEALTHY];
        let (found, verdict) = replay(&old, &[faulty(0.6); 4], 10, seed);
        assert!(
            found.is_some_and(|evaluation| evaluation < 20),
            "seed {seed}: {verdict:?}"
        );
    }
}
