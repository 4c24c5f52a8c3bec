//! What daemons hold true of roll-outs, and when these go on.

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

fn clear() -> Verdict {
    let counts = |ended| CallCounts { ended, bad: 0 };
    Verdict {
        evidence: -5.0,
        new_calls: counts(500),
        old_calls: counts(10_000),
        watched: Duration::from_secs(8),
        ..Verdict::default()
    }
}

fn bad() -> Verdict {
    Verdict {
        evidence: 20.0,
        new_calls: CallCounts { ended: 60, bad: 30 },
        ..clear()
    }
}

/// What a decider sees some time after an order, with all else well.
fn view(stage: RolloutStage, elapsed_ms: u64) -> RolloutView {
    RolloutView {
        stage,
        stage_age: Duration::from_secs(1),
        elapsed: Duration::from_millis(elapsed_ms),
        allowed: ALLOWED,
        new_targets: 20,
        new_targets_stable_for: Duration::from_secs(1),
        old_targets: 20,
        verdict: clear(),
        old_at_work: 0,
        old_unheard: 0,
    }
}

struct StageCase {
    what: &'static str,
    view: RolloutView,
    next: Option<(RolloutStage, StageReason)>,
}

fn check(cases: &[StageCase]) {
    for StageCase { what, view, next } in cases {
        assert_eq!(budget().next_stage(view), *next, "{what}");
    }
}

#[test]
fn a_trial_begins_and_ends_when_it_is_time() {
    check(&[
        StageCase {
            what: "no target yet",
            view: RolloutView {
                new_targets: 0,
                ..view(WAITING, 3_000)
            },
            next: None,
        },
        StageCase {
            what: "targets still come",
            view: RolloutView {
                new_targets_stable_for: Duration::from_millis(100),
                ..view(WAITING, 2_000)
            },
            next: None,
        },
        StageCase {
            what: "no target at all",
            view: RolloutView {
                new_targets: 0,
                ..view(WAITING, 14_200)
            },
            next: Some((RolloutStage::RolledBack, StageReason::NoTargets)),
        },
        StageCase {
            what: "targets that come when the time is up",
            view: view(WAITING, 14_200),
            next: Some((RolloutStage::RolledBack, StageReason::NoTargets)),
        },
        StageCase {
            what: "it may still turn bad",
            view: view(TRIAL, 6_000),
            next: None,
        },
        StageCase {
            what: "it looked good long enough",
            view: view(TRIAL, 10_000),
            next: Some((RAMP, StageReason::LooksGood)),
        },
        StageCase {
            what: "it looked good with more calls too",
            view: view(RAMP, 10_600),
            next: Some((RolloutStage::Moved, StageReason::LooksGood)),
        },
        StageCase {
            what: "something speaks against it",
            view: RolloutView {
                verdict: Verdict {
                    evidence: 6.0,
                    ..clear()
                },
                ..view(TRIAL, 11_000)
            },
            next: None,
        },
        StageCase {
            what: "no verdict in time",
            view: RolloutView {
                verdict: Verdict {
                    evidence: 6.0,
                    ..clear()
                },
                ..view(TRIAL, 14_100)
            },
            next: Some((RolloutStage::RolledBack, StageReason::TimeUp)),
        },
        StageCase {
            what: "bad at once",
            view: RolloutView {
                verdict: bad(),
                ..view(TRIAL, 2_500)
            },
            next: Some((RolloutStage::RolledBack, StageReason::LooksBad)),
        },
    ]);
}

/// What a decider sees after all calls moved.
fn moved(change: fn(&mut RolloutView)) -> RolloutView {
    let mut view = view(RolloutStage::Moved, 11_500);
    change(&mut view);
    view
}

#[test]
fn old_targets_may_end_when_it_is_time() {
    check(&[
        StageCase {
            what: "bad under all calls",
            view: moved(|view| view.verdict = bad()),
            next: Some((RolloutStage::RolledBack, StageReason::LooksBad)),
        },
        StageCase {
            what: "calls still at work at old targets",
            view: moved(|view| view.old_at_work = 3),
            next: None,
        },
        StageCase {
            what: "an old target that does not know of the move",
            view: moved(|view| view.old_unheard = 1),
            next: None,
        },
        StageCase {
            what: "calls on their way to old targets",
            view: moved(|view| view.stage_age = Duration::from_millis(300)),
            next: None,
        },
        StageCase {
            what: "old targets idle",
            view: moved(|_| ()),
            next: Some((RolloutStage::Completed, StageReason::OldIdle)),
        },
        StageCase {
            what: "an old target that is cut off until the deadline",
            view: RolloutView {
                elapsed: Duration::from_millis(14_600),
                ..moved(|view| view.old_unheard = 1)
            },
            next: Some((RolloutStage::Completed, StageReason::OldUnheard)),
        },
        StageCase {
            what: "over",
            view: view(RolloutStage::RolledBack, 3_000),
            next: None,
        },
    ]);
}

/// The calls that a first trial takes leave room in the risked share for a fault
/// that shows as all calls move, found within a second.
#[rstest]
#[case(2_000.0)]
#[case(300.0)]
#[case(40.0)]
fn a_trial_leaves_room_for_what_shows_late(#[case] rate: f64) {
    let mut view = view(WAITING, 2_000);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let ended = (rate * 8.0) as u64;
    view.verdict.new_calls = CallCounts::default();
    view.verdict.old_calls = CallCounts { ended, bad: 0 };
    let budget = budget();
    let terms = budget.trial_size(&view);
    let trial = budget.move_at(ALLOWED).as_secs_f64() - 2.0;
    let on_trial = rate * trial * f64::from(terms.per_mille) / 1_000.0;
    let all = rate * ALLOWED.as_secs_f64();
    let late = rate * (0.7 * 0.25 + 0.3);
    assert!(
        on_trial + late < all * budget.share + budget.slack,
        "{terms:?}"
    );
    assert!(terms.canaries >= 3);
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

fn tried_by(decider: &str) -> RolloutRecord {
    RolloutRecord {
        decided_by: decider.to_owned(),
        canaries: vec![format!("tried-by-{decider}")],
        ..record((0, 5), 1, TRIAL, false)
    }
}

#[rstest]
#[case::a_later_step(record((0, 5), 2, RAMP, false), record((0, 5), 1, TRIAL, false))]
#[case::an_end(record((0, 5), 2, RolloutStage::RolledBack, false), record((0, 5), 3, RolloutStage::Moved, false))]
#[case::a_written_end(record((0, 5), 3, RolloutStage::Completed, true), record((0, 5), 4, RolloutStage::RolledBack, false))]
#[case::a_later_order(record((0, 9), 0, WAITING, false), record((0, 5), 4, RolloutStage::RolledBack, true))]
#[case::the_end_of_an_order_written_again(record((0, 9), 4, RolloutStage::Completed, true), record((1, 3), 0, WAITING, false))]
#[case::of_two_deciders_at_once(tried_by("host-2"), tried_by("host-1"))]
fn one_note_wins(#[case] winner: RolloutRecord, #[case] loser: RolloutRecord) {
    assert!(winner.supersedes(&loser));
    assert!(!loser.supersedes(&winner));
}

#[test]
fn lanes_and_gates_keep_to_the_stage() {
    let trial = record((0, 5), 1, RolloutStage::Trial { per_mille: 100 }, false);
    let tried = (0..10_000)
        .filter(|call| {
            trial.version_preference(&format!("call-{call}"), true) == VersionPreference::PreferNew
        })
        .count();
    assert!((900..1_100).contains(&tried), "{tried} of 10,000");
    let cut_off = (0..1_000).all(|call| {
        trial.version_preference(&format!("call-{call}"), false) == VersionPreference::OldOnly
    });
    assert!(cut_off, "a daemon that is cut off tried the new version");
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

fn any_note() -> impl Strategy<Value = RolloutRecord> {
    let stages = prop_oneof![
        Just(WAITING),
        Just(TRIAL),
        Just(RAMP),
        Just(RolloutStage::Moved),
        Just(RolloutStage::RolledBack),
        Just(RolloutStage::Completed),
    ];
    let deciders = prop_oneof![Just("host-1"), Just("host-2")];
    (0..3_u64, 0..5_u32, stages, any::<bool>(), deciders).prop_map(
        |(version, step, stage, is_written, decider)| RolloutRecord {
            decided_by: decider.to_owned(),
            canaries: vec![format!("tried-by-{decider}")],
            ..record((0, version), step, stage, is_written && stage.is_final())
        },
    )
}

proptest! {
    /// Guards against daemons that hold different notes for ever: whatever the
    /// order in which notes come, the same one is left.
    #[test]
    fn notes_merge_alike_in_any_order(
        notes in prop::collection::vec(any_note(), 1..6),
        turn in 0..6_usize,
    ) {
        let merged = |notes: &[RolloutRecord]| {
            let mut best = notes[0].clone();
            for record in notes {
                if record.supersedes(&best) {
                    best = record.clone();
                }
            }
            best
        };
        let mut turned = notes.clone();
        turned.rotate_left(turn % notes.len());
        prop_assert_eq!(merged(&notes), merged(&turned));
    }
}
