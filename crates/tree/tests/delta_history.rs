//! Property tests of deltas between trees. The delta from one tree to another
//! turns the first into the second. Applied to a different base, it fails or
//! yields the same result, and never a mixture of the two trees.

use filbert_tree::{BranchPath, DeltaError, SettingsTree, TreeDelta, VersionCodec};
use proptest::prelude::*;

/// An edit in a generated history of edits.
#[derive(Clone, Debug)]
enum HistoryEdit {
    SetTimeout(BranchPath, u64),
    SetRoutePath(BranchPath, String),
    Remove(BranchPath),
}

fn numbered_name(prefix: &'static str) -> impl Strategy<Value = String> {
    (0..4_u8).prop_map(move |number| format!("{prefix}{number}"))
}

fn branch_path() -> impl Strategy<Value = BranchPath> {
    (
        numbered_name("m"),
        numbered_name("s"),
        numbered_name("r"),
        0..4_u8,
    )
        .prop_map(|(member, service, route, depth)| match depth {
            0 => BranchPath::Site,
            1 => BranchPath::Member { member },
            2 => BranchPath::Service { member, service },
            _ => BranchPath::Route {
                member,
                service,
                route,
            },
        })
}

fn history_edit() -> impl Strategy<Value = HistoryEdit> {
    prop_oneof![
        3 => (branch_path(), 1..9_000_u64).prop_map(|(path, value)| HistoryEdit::SetTimeout(path, value)),
        4 => (numbered_name("m"), numbered_name("s"), numbered_name("r"), numbered_name("/p")).prop_map(
            |(member, service, route, path)| {
                HistoryEdit::SetRoutePath(BranchPath::Route { member, service, route }, path)
            }
        ),
        1 => branch_path().prop_map(HistoryEdit::Remove),
    ]
}

/// Applies `edits` to a copy of `base`, ignoring the errors of edits that do not
/// fit the tree.
fn apply_edits(base: &SettingsTree, edits: &[HistoryEdit]) -> SettingsTree {
    let mut tree = base.clone();
    for edit in edits {
        let _ = match edit {
            HistoryEdit::SetTimeout(path, value) => {
                tree.set(path, "timeout_ms", &value.to_string())
            }
            HistoryEdit::SetRoutePath(path, prefix) => tree.set(path, "path", prefix),
            HistoryEdit::Remove(path) => tree.remove(path),
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

    /// `before` yields the older tree and `after` turns it into the newer one. The
    /// delta between them, encoded and decoded again, must turn the older tree into
    /// the newer one.
    #[test]
    fn delta_turns_the_older_tree_into_the_newer(
        before in proptest::collection::vec(history_edit(), 0..30),
        after in proptest::collection::vec(history_edit(), 0..30),
    ) {
        let old = apply_edits(&SettingsTree::default(), &before);
        let new = apply_edits(&old, &after);
        let encoded = VersionCodec::encode_delta(&TreeDelta::between(&old, &new));
        let delta = VersionCodec::decode_delta(&encoded).expect("a delta decodes");
        prop_assert_eq!(delta.apply(&old), Ok(new));
    }

    /// A delta may reach a daemon whose tree is not the sender's base. It must then
    /// fail or yield the sender's new tree: any other result would be a tree that
    /// no operator accepted.
    #[test]
    fn delta_on_another_base_fails_or_yields_the_newer_tree(
        before in proptest::collection::vec(history_edit(), 0..20),
        after in proptest::collection::vec(history_edit(), 1..20),
        unrelated in proptest::collection::vec(history_edit(), 1..20),
    ) {
        let old = apply_edits(&SettingsTree::default(), &before);
        let new = apply_edits(&old, &after);
        let other = apply_edits(&SettingsTree::default(), &unrelated);
        match TreeDelta::between(&old, &new).apply(&other) {
            Ok(tree) => prop_assert_eq!(tree, new),
            Err(error) => prop_assert!(matches!(
                error,
                DeltaError::DigestMismatch | DeltaError::MissingBranch
            )),
        }
    }
}
