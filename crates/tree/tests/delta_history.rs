//! Deltas between trees: for any two trees, the delta turns the one into the
//! other, and applied to any other base it is refused rather than applied in
//! part.

use filbert_tree::{BranchPath, DeltaError, SettingsTree, TreeDelta, VersionCodec};
use proptest::prelude::*;

/// One edit of a generated history.
#[derive(Clone, Debug)]
enum AnyEdit {
    Set(BranchPath, u64),
    Route(BranchPath, String),
    Remove(BranchPath),
}

fn name(prefix: &'static str) -> impl Strategy<Value = String> {
    (0..4_u8).prop_map(move |number| format!("{prefix}{number}"))
}

fn any_path() -> impl Strategy<Value = BranchPath> {
    (name("m"), name("s"), name("r"), 0..4_u8).prop_map(|(member, service, route, depth)| {
        match depth {
            0 => BranchPath::Site,
            1 => BranchPath::Member { member },
            2 => BranchPath::Service { member, service },
            _ => BranchPath::Route {
                member,
                service,
                route,
            },
        }
    })
}

fn any_edit() -> impl Strategy<Value = AnyEdit> {
    prop_oneof![
        3 => (any_path(), 1..9_000_u64).prop_map(|(path, value)| AnyEdit::Set(path, value)),
        4 => (name("m"), name("s"), name("r"), name("/p")).prop_map(
            |(member, service, route, path)| {
                AnyEdit::Route(BranchPath::Route { member, service, route }, path)
            }
        ),
        1 => any_path().prop_map(AnyEdit::Remove),
    ]
}

/// Applies edits, passing over those that do not fit the tree.
fn edited(base: &SettingsTree, edits: &[AnyEdit]) -> SettingsTree {
    let mut tree = base.clone();
    for edit in edits {
        let _ = match edit {
            AnyEdit::Set(path, value) => tree.set(path, "timeout_ms", &value.to_string()),
            AnyEdit::Route(path, prefix) => tree.set(path, "path", prefix),
            AnyEdit::Remove(path) => tree.remove(path),
        };
    }
    tree
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(2026),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any history of edits, cut in two: the delta over the second part, sent
    /// through its encoding, rebuilds the newer tree from the older one.
    #[test]
    fn delta_rebuilds_the_newer_tree(
        before in proptest::collection::vec(any_edit(), 0..30),
        after in proptest::collection::vec(any_edit(), 0..30),
    ) {
        let old = edited(&SettingsTree::default(), &before);
        let new = edited(&old, &after);
        let sent = VersionCodec::encode_delta(&TreeDelta::between(&old, &new));
        let delta = VersionCodec::decode_delta(&sent).expect("a delta decodes");
        prop_assert_eq!(delta.apply(&old), Ok(new));
    }

    /// A delta that reaches a daemon with another base must not yield a tree
    /// that no operator accepted: either it is refused, or the result is the
    /// very tree that was accepted.
    #[test]
    fn delta_on_another_base_is_refused_or_right(
        before in proptest::collection::vec(any_edit(), 0..20),
        after in proptest::collection::vec(any_edit(), 1..20),
        elsewhere in proptest::collection::vec(any_edit(), 1..20),
    ) {
        let old = edited(&SettingsTree::default(), &before);
        let new = edited(&old, &after);
        let other = edited(&SettingsTree::default(), &elsewhere);
        match TreeDelta::between(&old, &new).apply(&other) {
            Ok(tree) => prop_assert_eq!(tree, new),
            Err(error) => prop_assert!(matches!(
                error,
                DeltaError::DigestMismatch | DeltaError::MissingBranch
            )),
        }
    }
}
