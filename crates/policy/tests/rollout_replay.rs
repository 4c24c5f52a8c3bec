//! Replays roll-outs: calls of a second at a time at old and new targets, as
//! their gates would count them, judged as a decider would.

use std::time::{Duration, Instant};

use filbert_policy::rollout::judge::{CallCounts, CanaryJudge, TargetCounts, Verdict, VersionSide};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Pause between two looks of a decider.
const LOOK: Duration = Duration::from_millis(250);
/// Looks in ten seconds of trial.
const LOOKS: usize = 40;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Kinds of call and their share of the calls.
const KINDS: [(&str, f64); 2] = [("reads", 0.97), ("rare", 0.03)];

/// What one target makes of its calls.
#[derive(Clone, Copy)]
struct Illness {
    /// Share of bad answers.
    bad: f64,
    /// Kind of call to which it is confined.
    only: Option<&'static str>,
    /// Look from which it shows.
    from: usize,
}

const WELL: Illness = Illness {
    bad: 0.01,
    only: None,
    from: 0,
};

struct Fleet {
    names: Vec<String>,
    counts: Vec<[CallCounts; 2]>,
    ills: Vec<Illness>,
    /// Old targets come first.
    old: usize,
    /// Calls at a target in one look.
    calls: usize,
}

impl Fleet {
    fn new(old: &[Illness], new: &[Illness], calls: usize) -> Fleet {
        let ills: Vec<Illness> = old.iter().chain(new).copied().collect();
        Fleet {
            names: (0..ills.len()).map(|target| format!("t{target}")).collect(),
            counts: vec![[CallCounts::default(); 2]; ills.len()],
            ills,
            old: old.len(),
            calls,
        }
    }

    fn serve(&mut self, look: usize, rng: &mut StdRng) {
        for (counts, ill) in self.counts.iter_mut().zip(&self.ills) {
            for _ in 0..self.calls {
                let kind = usize::from(rng.random::<f64>() > KINDS[0].1);
                let shows = look >= ill.from && ill.only.is_none_or(|only| only == KINDS[kind].0);
                let share = if shows { ill.bad } else { WELL.bad };
                counts[kind].ended += 1;
                counts[kind].bad += u64::from(rng.random::<f64>() < share);
            }
        }
    }

    fn read(&self) -> Vec<TargetCounts<'_>> {
        let read_one = |target: usize| TargetCounts {
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
        (0..self.names.len()).map(read_one).collect()
    }
}

/// Plays ten seconds; the look at which the new version was condemned, and the
/// last verdict.
fn play(old: &[Illness], new: &[Illness], calls: usize, seed: u64) -> (Option<usize>, Verdict) {
    let mut fleet = Fleet::new(old, new, calls);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut judge = CanaryJudge::default();
    let start = Instant::now();
    let mut last = judge.evaluate(&fleet.read(), start);
    for look in 0..LOOKS {
        fleet.serve(look, &mut rng);
        let now = start + LOOK * (u32::try_from(look).unwrap_or(0) + 1);
        last = judge.evaluate(&fleet.read(), now);
        if last.is_bad() {
            return (Some(look), last);
        }
    }
    (None, last)
}

fn ill(bad: f64) -> Illness {
    Illness { bad, ..WELL }
}

/// A way of being bad, and the looks in which it has to be found once it shows.
#[rstest]
#[case::at_once(ill(0.5), 3)]
#[case::mildly(ill(0.25), 8)]
#[case::later(Illness { bad: 0.5, only: None, from: 20 }, 24)]
#[case::on_the_rare_route(Illness { bad: 0.6, only: Some("rare"), from: 0 }, 40)]
fn a_bad_version_is_condemned(#[case] way: Illness, #[case] within: usize) {
    for seed in 0..20 {
        let (found, verdict) = play(&[WELL; 12], &[way; 4], 10, seed);
        assert!(
            found.is_some_and(|look| look >= way.from && look <= within),
            "seed {seed}: {found:?}, {verdict:?}"
        );
    }
}

/// Troubles that are not the new version's.
#[rstest]
#[case::none(vec![WELL; 12], vec![WELL; 4])]
#[case::one_new_target_is_ill(vec![WELL; 12], vec![ill(0.5), WELL, WELL, WELL])]
#[case::both_versions_are_ill(vec![ill(0.3); 12], vec![ill(0.3); 4])]
#[case::some_old_targets_are_ill(vec![ill(0.6), ill(0.6), WELL, WELL, WELL, WELL], vec![WELL; 4])]
#[case::one_zone_is_ill(
    vec![ill(0.4), WELL, WELL, ill(0.4), WELL, WELL, ill(0.4), WELL, WELL],
    vec![ill(0.4), WELL, WELL]
)]
fn a_good_version_is_not_condemned(#[case] old: Vec<Illness>, #[case] new: Vec<Illness>) {
    for seed in 0..200 {
        let (found, verdict) = play(&old, &new, 10, seed);
        assert_eq!(found, None, "seed {seed}: {verdict:?}");
    }
}

/// Guards against a bad version that hides behind an old one that is ill too.
#[test]
fn a_bad_version_does_not_hide_behind_an_ill_old_one() {
    for seed in 0..20 {
        let old = [ill(0.5), ill(0.5), WELL, WELL, WELL, WELL];
        let (found, verdict) = play(&old, &[ill(0.6); 4], 10, seed);
        assert!(
            found.is_some_and(|look| look < 20),
            "seed {seed}: {verdict:?}"
        );
    }
}
