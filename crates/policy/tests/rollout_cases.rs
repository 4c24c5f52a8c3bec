//! Tests which record of a roll-out wins, which version gets a call, and when a
//! roll-out enters its next stage.

use std::time::Duration;

use filbert_policy::rollout::judge::{CallCounts, Verdict};
use filbert_policy::rollout::record::{
    OrderId, RolloutRecord, RolloutStage, StageReason, VersionPreference,
};
use filbert_policy::rollout::schedule::{ExposureBudget, RolloutView, TrialPlacement};
use proptest::prelude::*;
use rstest::rstest;

const ALLOWED: Duration = Duration::from_secs(15);
const TRIAL: RolloutStage = RolloutStage::Trial { per_mille: 60 };
const RAMP: RolloutStage = RolloutStage::Trial { per_mille: 250 };
const WAITING: RolloutStage = RolloutStage::Trial { per_mille: 0 };

fn budget() -> ExposureBudget {
    ExposureBudget {
        share: 0.1,
        slack: 50.0,
        longest_call: Duration::from_secs(3),
        placement: TrialPlacement::FewTargets,
    }
}

fn good_verdict() -> Verdict {
    let counts = |ended| CallCounts { ended, bad: 0 };
    Verdict {
        evidence: -5.0,
        new_calls: counts(500),
        old_calls: counts(10_000),
        observed: Duration::from_secs(8),
        ..Verdict::default()
    }
}

fn bad_verdict() -> Verdict {
    Verdict {
        evidence: 20.0,
        new_calls: CallCounts { ended: 60, bad: 30 },
        ..good_verdict()
    }
}

/// View of a deciding daemon in `stage`, `elapsed_ms` after the order, with a good
/// verdict, new targets that have started and idle old targets.
fn view(stage: RolloutStage, elapsed_ms: u64) -> RolloutView {
    RolloutView {
        stage,
        stage_age: Duration::from_secs(1),
        elapsed: Duration::from_millis(elapsed_ms),
        allowed: ALLOWED,
        new_targets: 20,
        new_targets_stable_for: Duration::from_secs(1),
        old_targets: 20,
        verdict: good_verdict(),
        old_at_work: 0,
        old_unheard: 0,
    }
}

struct StageCase {
    description: &'static str,
    view: RolloutView,
    next: Option<(RolloutStage, StageReason)>,
}

fn check(cases: &[StageCase]) {
    for StageCase {
        description,
        view,
        next,
    } in cases
    {
        assert_eq!(budget().next_stage(view), *next, "{description}");
    }
}

#[test]
fn a_trial_moves_through_its_stages() {
    check(&[
        StageCase {
            description: "no target yet",
            view: RolloutView {
                new_targets: 0,
                ..view(WAITING, 3_000)
            },
            next: None,
        },
        StageCase {
            description: "targets are still starting",
            view: RolloutView {
                new_targets_stable_for: Duration::from_millis(100),
                ..view(WAITING, 2_000)
            },
            next: None,
        },
        StageCase {
            description: "no target until the deadline",
            view: RolloutView {
                new_targets: 0,
                ..view(WAITING, 14_200)
            },
            next: Some((RolloutStage::RolledBack, StageReason::NoTargets)),
        },
        StageCase {
            description: "targets that start too late",
            view: view(WAITING, 14_200),
            next: Some((RolloutStage::RolledBack, StageReason::NoTargets)),
        },
        StageCase {
            description: "too early to move",
            view: view(TRIAL, 6_000),
            next: None,
        },
        StageCase {
            description: "a good verdict when the ramp is due",
            view: view(TRIAL, 10_000),
            next: Some((RAMP, StageReason::LooksGood)),
        },
        StageCase {
            description: "a good verdict after the ramp",
            view: view(RAMP, 10_600),
            next: Some((RolloutStage::Moved, StageReason::LooksGood)),
        },
        StageCase {
            description: "some evidence against the new version",
            view: RolloutView {
                verdict: Verdict {
                    evidence: 6.0,
                    ..good_verdict()
                },
                ..view(TRIAL, 11_000)
            },
            next: None,
        },
        StageCase {
            description: "no verdict in time",
            view: RolloutView {
                verdict: Verdict {
                    evidence: 6.0,
                    ..good_verdict()
                },
                ..view(TRIAL, 14_100)
            },
            next: Some((RolloutStage::RolledBack, StageReason::TimeUp)),
        },
        StageCase {
            description: "a bad verdict early in the trial",
            view: RolloutView {
                verdict: bad_verdict(),
                ..view(TRIAL, 2_500)
            },
            next: Some((RolloutStage::RolledBack, StageReason::LooksBad)),
        },
    ]);
}

/// View of a deciding daemon after all calls moved, with one `change`.
fn moved(change: fn(&mut RolloutView)) -> RolloutView {
    let mut view = view(RolloutStage::Moved, 11_500);
    change(&mut view);
    view
}

#[test]
fn a_moved_roll_out_completes_when_old_targets_are_idle() {
    check(&[
        StageCase {
            description: "a bad verdict after the move",
            view: moved(|view| view.verdict = bad_verdict()),
            next: Some((RolloutStage::RolledBack, StageReason::LooksBad)),
        },
        StageCase {
            description: "calls still running at old targets",
            view: moved(|view| view.old_at_work = 3),
            next: None,
        },
        StageCase {
            description: "an old target that does not know of the move",
            view: moved(|view| view.old_unheard = 1),
            next: None,
        },
        StageCase {
            description: "calls on their way to old targets",
            view: moved(|view| view.stage_age = Duration::from_millis(300)),
            next: None,
        },
        StageCase {
            description: "old targets idle",
            view: moved(|_| ()),
            next: Some((RolloutStage::Completed, StageReason::OldIdle)),
        },
        StageCase {
            description: "an old target that is cut off until the deadline",
            view: RolloutView {
                elapsed: Duration::from_millis(14_600),
                ..moved(|view| view.old_unheard = 1)
            },
            next: Some((RolloutStage::Completed, StageReason::OldUnheard)),
        },
        StageCase {
            description: "already rolled back",
            view: view(RolloutStage::RolledBack, 3_000),
            next: None,
        },
    ]);
}

/// Guards against a first trial that uses up the exposure budget. Enough of it has to
/// be left for a fault that shows only as all calls move and is found within a second.
#[rstest]
#[case(2_000.0)]
#[case(300.0)]
#[case(40.0)]
fn a_trial_leaves_budget_for_a_late_fault(#[case] rate: f64) {
    let mut view = view(WAITING, 2_000);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let ended = (rate * 8.0) as u64;
    view.verdict.new_calls = CallCounts::default();
    view.verdict.old_calls = CallCounts { ended, bad: 0 };
    let budget = budget();
    let size = budget.trial_size(&view);
    let trial_s = budget.move_at(ALLOWED).as_secs_f64() - 2.0;
    let trial_calls = rate * trial_s * f64::from(size.per_mille) / 1_000.0;
    let all_calls = rate * ALLOWED.as_secs_f64();
    let late_calls = rate * (0.7 * 0.25 + 0.3);
    assert!(
        trial_calls + late_calls < all_calls * budget.share + budget.slack,
        "{size:?}"
    );
    assert!(size.canaries >= 3);
}

fn record(order: (u64, u64), step: u32, stage: RolloutStage, is_written: bool) -> RolloutRecord {
    let order = OrderId {
        era: order.0,
        version: order.1,
    };
    RolloutRecord {
        step,
        stage,
        is_written,
        ..RolloutRecord::ordered("quotes", "v2", ALLOWED, order)
    }
}

fn trial_decided_by(host: &str) -> RolloutRecord {
    RolloutRecord {
        decided_by: host.to_owned(),
        canaries: vec![format!("tried-by-{host}")],
        ..record((0, 5), 1, TRIAL, false)
    }
}

#[rstest]
#[case::a_later_step(record((0, 5), 2, RAMP, false), record((0, 5), 1, TRIAL, false))]
#[case::an_end(record((0, 5), 2, RolloutStage::RolledBack, false), record((0, 5), 3, RolloutStage::Moved, false))]
#[case::a_written_end(record((0, 5), 3, RolloutStage::Completed, true), record((0, 5), 4, RolloutStage::RolledBack, false))]
#[case::a_later_order(record((0, 9), 0, WAITING, false), record((0, 5), 4, RolloutStage::RolledBack, true))]
#[case::the_end_of_an_order_written_again(record((0, 9), 4, RolloutStage::Completed, true), record((1, 3), 0, WAITING, false))]
#[case::of_two_deciders_at_once(trial_decided_by("host-2"), trial_decided_by("host-1"))]
fn one_record_supersedes_the_other(#[case] winner: RolloutRecord, #[case] loser: RolloutRecord) {
    assert!(winner.supersedes(&loser));
    assert!(!loser.supersedes(&winner));
}

#[test]
fn calls_and_targets_follow_the_stage() {
    let trial = record((0, 5), 1, RolloutStage::Trial { per_mille: 100 }, false);
    let new_count = (0..10_000)
        .filter(|call| {
            trial.version_preference(&format!("call-{call}"), true) == VersionPreference::PreferNew
        })
        .count();
    assert!((900..1_100).contains(&new_count), "{new_count} of 10,000");
    let is_old_only = (0..1_000).all(|call| {
        trial.version_preference(&format!("call-{call}"), false) == VersionPreference::OldOnly
    });
    assert!(
        is_old_only,
        "a daemon that is cut off sent calls to the new version"
    );
    let cases = [
        (trial.stage, true, [true, true]),
        (trial.stage, false, [true, false]),
        (WAITING, true, [true, false]),
        (RolloutStage::Moved, true, [false, true]),
        (RolloutStage::Completed, false, [false, true]),
        (RolloutStage::RolledBack, true, [true, false]),
    ];
    for (stage, is_fresh, [old, new]) in cases {
        let record = record((0, 5), 1, stage, false);
        assert_eq!(record.admits("v1", is_fresh), old, "{stage:?}, old");
        assert_eq!(record.admits("v2", is_fresh), new, "{stage:?}, new");
    }
}

fn any_record() -> impl Strategy<Value = RolloutRecord> {
    let stages = prop_oneof![
        Just(WAITING),
        Just(TRIAL),
        Just(RAMP),
        Just(RolloutStage::Moved),
        Just(RolloutStage::RolledBack),
        Just(RolloutStage::Completed),
    ];
    let hosts = prop_oneof![Just("host-1"), Just("host-2")];
    (0..3_u64, 0..5_u32, stages, any::<bool>(), hosts).prop_map(
        |(version, step, stage, is_written, host)| RolloutRecord {
            decided_by: host.to_owned(),
            canaries: vec![format!("tried-by-{host}")],
            ..record((0, version), step, stage, is_written && stage.is_final())
        },
    )
}

proptest! {
    /// Guards against daemons that keep different records for ever: whatever the order
    /// in which records arrive, the same one has to win.
    #[test]
    fn the_same_record_wins_in_any_order(
        records in prop::collection::vec(any_record(), 1..6),
        rotation in 0..6_usize,
    ) {
        let merged = |records: &[RolloutRecord]| {
            let mut best = records[0].clone();
            for record in records {
                if record.supersedes(&best) {
                    best = record.clone();
                }
            }
            best
        };
        let mut rotated = records.clone();
        rotated.rotate_left(rotation % records.len());
        prop_assert_eq!(merged(&records), merged(&rotated));
    }
}
