//! Keys, their holders, and the age of what is known of them.

use std::time::Duration;

use filbert_policy::organisations::freshness::{ClockBound, Confirmation, VersionFreshness};
use filbert_policy::organisations::keys::{KeyHash, KeyIndex, OrganisationRule};
use proptest::prelude::*;
use rstest::rstest;

fn organisation(name: &str, keys: &[&str], priority: Option<u8>) -> OrganisationRule {
    OrganisationRule {
        name: name.to_owned(),
        keys: keys.iter().map(|key| KeyHash::of(key)).collect(),
        priority,
        limit: None,
    }
}

struct KeyCase {
    key: &'static str,
    holder: Option<&'static str>,
}

#[rstest]
#[case(KeyCase { key: "k-1", holder: Some("north") })]
#[case(KeyCase { key: "k-2", holder: Some("north") })]
#[case(KeyCase { key: "k-3", holder: Some("south") })]
#[case(KeyCase { key: "k-4", holder: None })]
#[case(KeyCase { key: "", holder: None })]
#[case(KeyCase { key: "K-1", holder: None })]
fn a_key_names_the_organisation_that_holds_it(#[case] case: KeyCase) {
    let index = KeyIndex::compile(vec![
        organisation("north", &["k-1", "k-2"], Some(0)).into(),
        organisation("south", &["k-3"], Some(3)).into(),
    ]);
    let holder = index.holder(case.key).map(|holder| holder.name.as_str());
    assert_eq!(holder, case.holder);
    assert_eq!(index.lowest_priority(), Some(3));
}

/// Guards against keys in logs: a rule is printed when a test or a line fails.
#[test]
fn a_key_is_never_printed() {
    let rule = organisation("north", &["secret"], None);
    assert!(!format!("{rule:?}").contains("secret"));
}

const S: u64 = 1_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A confirmation of version 7 at 20 s of the store's clock; the store's clock
/// was asked for at 100 s of the own one.
struct AgeCase {
    name: &'static str,
    /// What the store's clock was said to show.
    clock: Option<u64>,
    era: u64,
    in_force: u64,
    /// The age at 103 s.
    age: Option<u64>,
}

#[rstest]
#[case(AgeCase { name: "known", clock: Some(20 * S), era: 1, in_force: 7, age: Some(3 * S) })]
#[case(AgeCase { name: "older", clock: Some(21 * S), era: 1, in_force: 7, age: Some(4 * S) })]
#[case(AgeCase { name: "newer version", clock: Some(20 * S), era: 1, in_force: 8, age: Some(3 * S) })]
#[case(AgeCase { name: "behind", clock: Some(20 * S), era: 1, in_force: 6, age: None })]
#[case(AgeCase { name: "no clock", clock: None, era: 1, in_force: 7, age: None })]
#[case(AgeCase { name: "clock of an older era", clock: Some(20 * S), era: 0, in_force: 7, age: None })]
fn the_age_is_known_only_of_the_newest_version(#[case] case: AgeCase) {
    let mut age = VersionFreshness::default();
    if let Some(clock) = case.clock {
        age.record_clock_sample(case.era, ms(clock), ms(100 * S));
    }
    let confirmation = Confirmation {
        era: 1,
        version: 7,
        at: ms(20 * S),
    };
    age.confirm(confirmation, case.in_force);
    let shown = age.age(ms(103 * S));
    assert_eq!(shown, case.age.map(ms), "{}", case.name);
}

/// Guards against a version that is put in force after its confirmation: its age
/// would stay unknown until the next.
#[test]
fn a_version_that_comes_later_takes_the_age_told_before() {
    let mut age = VersionFreshness::default();
    age.record_clock_sample(1, ms(20 * S), ms(100 * S));
    let at = ms(20 * S);
    age.confirm(
        Confirmation {
            era: 1,
            version: 7,
            at,
        },
        6,
    );
    assert_eq!(age.age(ms(101 * S)), None);
    age.update_for_version(7);
    assert_eq!(age.age(ms(101 * S)), Some(ms(S)));
}

proptest! {
    /// Guards against knowledge that passes for younger than it is: whatever the
    /// delays of question, answer and word, over two hops, the age is no less than
    /// the true one.
    #[test]
    fn no_delay_makes_knowledge_younger(
        skews in prop::array::uniform3(0_u64..100_000),
        hops in prop::collection::vec((0_u64..4_000, 0_u64..4_000, 0_u64..4_000), 1..12),
        looked_after in 0_u64..8_000,
    ) {
        // True time in milliseconds; each clock shows it plus a skew.
        let [store, reader, follower] = skews;
        let mut at = 0;
        let mut reader_clock = ClockBound::default();
        let mut follower_age = VersionFreshness::default();
        let mut newest_read = None;
        for (there, back, told) in hops {
            let asked = at;
            let read = asked + there;
            at = read + back;
            reader_clock.note(ms(read + store), ms(asked + reader));
            // The follower asks the reader for the store's clock.
            let asked = at;
            let answered = asked + there;
            let latest = reader_clock.latest(ms(answered + reader)).expect("a reading");
            at = answered + back;
            follower_age.record_clock_sample(1, latest, ms(asked + follower));
            at += told;
            let confirmation = Confirmation { era: 1, version: 1, at: ms(read + store) };
            follower_age.confirm(confirmation, 1);
            newest_read = Some(read);
        }
        let now = at + looked_after;
        let truly = now - newest_read.expect("one read at least");
        let shown = follower_age.age(ms(now + follower)).expect("an age");
        prop_assert!(shown >= ms(truly), "{shown:?} < {truly} ms");
    }
}
