//! Tests of the settings tree: parse errors, validation, inheritance, route
//! lookup, diffs and the encoding of versions.

use filbert_tree::{diff_trees, BranchPath, RouteTable, SettingsTree, VersionCodec, VersionRecord};
use rstest::rstest;

const COOP: &str = include_str!("../../../examples/coop.toml");
const AUTHORITY: &str = include_str!("../../../examples/authority.toml");

fn coop() -> SettingsTree {
    SettingsTree::from_toml(COOP).expect("the Co-op example parses")
}

/// An invalid settings file, and the line and key that its error must name.
struct ParseCase {
    text: &'static str,
    line: usize,
    key: &'static str,
}

#[rstest]
#[case::unknown_setting(ParseCase { text: "[site]\nname = \"x\"\nsettings = { timeout = 5 }\n", line: 3, key: "timeout" })]
#[case::wrong_type(ParseCase { text: "[site]\nname = \"x\"\n\n[site.settings]\nretries = \"two\"\n", line: 5, key: "retries" })]
#[case::unknown_branch_key(ParseCase { text: "[site]\nname = \"x\"\n[site.members.m]\nservise = {}\n", line: 4, key: "servise" })]
fn parse_error_names_line_and_key(#[case] case: ParseCase) {
    let error = SettingsTree::from_toml(case.text).expect_err("refused");
    assert_eq!(error.line, Some(case.line), "{error}");
    assert_eq!(error.key.as_deref(), Some(case.key), "{error}");
}

/// An edit of the Co-op example, and a part of the problem text that validation
/// must report; `None` if the tree must stay valid.
struct ValidateCase {
    branch: &'static str,
    key: &'static str,
    value: &'static str,
    problem: Option<&'static str>,
}

#[rstest]
#[case::fine(ValidateCase { branch: "site", key: "retries", value: "2", problem: None })]
#[case::unknown_service(ValidateCase { branch: "site/north-signs/quoting/quotes", key: "service", value: "ghost", problem: Some("unknown service `ghost`") })]
#[case::bad_path(ValidateCase { branch: "site/north-signs/quoting/quotes", key: "path", value: "quotes", problem: Some("must start with `/`") })]
#[case::duplicate_path(ValidateCase { branch: "site/north-signs/artwork/stock", key: "path", value: "/artwork", problem: Some("same path as") })]
#[case::timeout_zero(ValidateCase { branch: "site/north-signs", key: "timeout_ms", value: "0", problem: Some("timeout_ms = 0 is outside 1..=60000") })]
#[case::retries_high(ValidateCase { branch: "site", key: "retries", value: "9", problem: Some("retries = 9 is outside 0..=5") })]
fn validation_reports_the_problem_caused_by_an_edit(#[case] case: ValidateCase) {
    let mut tree = coop();
    let path = BranchPath::parse(case.branch).expect("a branch");
    tree.set(&path, case.key, case.value)
        .expect("the edit parses");
    match (tree.validate(), case.problem) {
        (Ok(()), None) => {}
        (Err(problems), Some(expected)) => {
            assert!(problems.to_string().contains(expected), "{problems}");
        }
        (outcome, expected) => panic!("expected {expected:?}, got {outcome:?}"),
    }
}

#[rstest]
#[case::route_overrides("site/north-signs/artwork/stock", Some(500), Some(1), Some(9))]
#[case::member_overrides_site("site/north-signs/quoting/quotes", Some(1500), Some(1), Some(9))]
#[case::site_only("site/harbour-signs/quoting/quotes", Some(2000), Some(1), Some(9))]
#[case::route_overrides_retries("site/harbour-signs/quoting/orders", Some(2000), Some(0), Some(9))]
fn branches_inherit_what_they_do_not_override(
    #[case] branch: &str,
    #[case] timeout_ms: Option<u64>,
    #[case] retries: Option<u32>,
    #[case] slots: Option<u32>,
) {
    let resolved = coop()
        .resolved_settings(&BranchPath::parse(branch).expect("a branch"))
        .expect("the branch exists");
    assert_eq!(
        (
            resolved.timeout_ms,
            resolved.retries,
            resolved.slots_per_target
        ),
        (timeout_ms, retries, slots)
    );
}

#[rstest]
#[case::exact("north-signs", "/quotes", Some("site/north-signs/quoting/quotes"))]
#[case::below("north-signs", "/quotes/12", Some("site/north-signs/quoting/quotes"))]
#[case::not_a_segment("north-signs", "/quotesx", None)]
#[case::other_member_lacks_route("harbour-signs", "/stock/1", None)]
#[case::unknown_member("nobody", "/quotes", None)]
fn route_lookup_matches_whole_segments_of_the_callers_member(
    #[case] member: &str,
    #[case] path: &str,
    #[case] route: Option<&str>,
) {
    let table = RouteTable::compile(&coop());
    let found = table
        .lookup(member, path)
        .map(|entry| entry.route.to_string());
    assert_eq!(found.as_deref(), route);
}

#[test]
fn example_trees_are_valid() {
    coop().validate().expect("Co-op example is valid");
    SettingsTree::from_toml(AUTHORITY)
        .expect("Authority example parses")
        .validate()
        .expect("Authority example is valid");
}

#[test]
fn diff_lists_changed_added_and_removed_keys() {
    let old = coop();
    let mut new = old.clone();
    let quotes = BranchPath::parse("site/north-signs/quoting/quotes").expect("a branch");
    new.set(&quotes, "timeout_ms", "900").expect("edit");
    new.set(&BranchPath::Site, "retries", "2").expect("edit");
    new.remove(&BranchPath::parse("site/harbour-signs/artwork").expect("a branch"))
        .expect("remove");
    let lines: Vec<String> = diff_trees(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        lines,
        [
            "~ site.retries = 1 -> 2",
            "- site/harbour-signs/artwork = {}",
            "- site/harbour-signs/artwork/artwork = {}",
            "- site/harbour-signs/artwork/artwork.path = /artwork",
            "+ site/north-signs/quoting/quotes.timeout_ms = 900",
        ]
    );
}

#[test]
fn version_round_trips_and_truncated_bytes_fail_to_decode() {
    let record = VersionRecord {
        number: 7,
        parent: 6,
        restores: None,
        parent_object: Some("versions/6-x".to_owned()),
        tree: coop(),
    };
    let bytes = VersionCodec::encode(&record);
    assert_eq!(VersionCodec::decode(&bytes), Ok(record));
    assert!(VersionCodec::decode(&bytes[..bytes.len() - 1]).is_err());
}
