//! Tests how daemons' metrics are added up for `filbertctl mesh organisations`.

use std::collections::BTreeMap;

use filbert_ctl::organisations::add_organisation_samples;
use rstest::rstest;

/// Guards against counts of an unusual name that are lost or added to another
/// organisation.
#[rstest]
#[case("north", "north")]
#[case("a\\\"} 5,verdict=\\\"\\\\b\\n", "a\"} 5,verdict=\"\\b\n")]
fn counts_of_all_daemons_are_added(#[case] label: &str, #[case] name: &str) {
    let text = format!(
        "filbert_version 4\n\
         filbert_organisation_calls{{organisation=\"{label}\",verdict=\"over_quota\"}} 7\n\
         filbert_organisation_calls{{organisation=\"{label}\",verdict=\"token_not_found\"}} 2\n\
         filbert_organisation_tokens{{organisation=\"{label}\",fate=\"lost_full\"}} 3\n\
         filbert_organisation_tokens{{organisation=\"{label}\",fate=\"granted\"}} x\n\
         filbert_organisation_granted_share{{organisation=\"{label}\"}} 0.25\n"
    );
    let mut totals = BTreeMap::new();
    add_organisation_samples(&text, &mut totals);
    add_organisation_samples(&text, &mut totals);
    assert_eq!(totals.len(), 1);
    let totals = &totals[name];
    assert_eq!((totals.over_quota, totals.token_not_found), (14, 4));
    assert_eq!((totals.lost_full, totals.granted), (6, 0));
    assert!((totals.granted_share - 0.5).abs() < 1e-9);
}
