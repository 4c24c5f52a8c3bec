//! Lookup of API keys, and the age of a daemon's version of the configuration.

use std::time::Duration;

use filbert_policy::organisations::freshness::{Confirmation, RemoteClock, VersionFreshness};
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
fn a_key_identifies_the_organisation_that_holds_it(#[case] case: KeyCase) {
    let index = KeyIndex::compile(vec![
        organisation("north", &["k-1", "k-2"], Some(0)).into(),
        organisation("south", &["k-3"], Some(3)).into(),
    ]);
    let holder = index.holder(case.key).map(|holder| holder.name.as_str());
    assert_eq!(holder, case.holder);
    assert_eq!(index.lowest_priority(), Some(3));
}

/// Guards against keys in logs and test output, where rules may be printed with
/// `Debug`.
#[test]
fn debug_output_of_a_rule_contains_no_key() {
    let rule = organisation("north", &["secret"], None);
    assert!(!format!("{rule:?}").contains("secret"));
}

const MS_PER_S: u64 = 1_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Case in which version 7 is confirmed at 20 s on the store's clock, in era 1. The
/// store's clock was requested at 100 s on the local clock.
struct AgeCase {
    name: &'static str,
    /// Time in milliseconds that the store's clock showed; `None` without a sample.
    clock_ms: Option<u64>,
    /// Era of the clock sample.
    era: u64,
    /// Version in force.
    in_force: u64,
    /// Expected age in milliseconds at 103 s on the local clock.
    age_ms: Option<u64>,
}

#[rstest]
#[case(AgeCase { name: "clock at the time of the confirmation", clock_ms: Some(20 * MS_PER_S), era: 1, in_force: 7, age_ms: Some(3 * MS_PER_S) })]
#[case(AgeCase { name: "clock past the time of the confirmation", clock_ms: Some(21 * MS_PER_S), era: 1, in_force: 7, age_ms: Some(4 * MS_PER_S) })]
#[case(AgeCase { name: "later version in force", clock_ms: Some(20 * MS_PER_S), era: 1, in_force: 8, age_ms: Some(3 * MS_PER_S) })]
#[case(AgeCase { name: "earlier version in force", clock_ms: Some(20 * MS_PER_S), era: 1, in_force: 6, age_ms: None })]
#[case(AgeCase { name: "no clock sample", clock_ms: None, era: 1, in_force: 7, age_ms: None })]
#[case(AgeCase { name: "clock sample of an earlier era", clock_ms: Some(20 * MS_PER_S), era: 0, in_force: 7, age_ms: None })]
fn the_age_is_known_only_if_the_confirmed_version_is_in_force(#[case] case: AgeCase) {
    let mut age = VersionFreshness::default();
    if let Some(clock_ms) = case.clock_ms {
        age.record_clock_sample(case.era, ms(clock_ms), ms(100 * MS_PER_S));
    }
    let confirmation = Confirmation {
        era: 1,
        version: 7,
        at: ms(20 * MS_PER_S),
    };
    age.confirm(confirmation, case.in_force);
    let reported = age.age(ms(103 * MS_PER_S));
    assert_eq!(reported, case.age_ms.map(ms), "{}", case.name);
}

/// Guards against an age that stays unknown until the next confirmation, when a
/// version comes into force only after its confirmation was received.
#[test]
fn an_earlier_confirmation_applies_once_its_version_is_in_force() {
    let mut age = VersionFreshness::default();
    age.record_clock_sample(1, ms(20 * MS_PER_S), ms(100 * MS_PER_S));
    let at = ms(20 * MS_PER_S);
    age.confirm(
        Confirmation {
            era: 1,
            version: 7,
            at,
        },
        6,
    );
    assert_eq!(age.age(ms(101 * MS_PER_S)), None);
    age.update_for_version(7);
    assert_eq!(age.age(ms(101 * MS_PER_S)), Some(ms(MS_PER_S)));
}

proptest! {
    /// Guards against an age that is lower than the true one. Requests, responses and
    /// confirmations are delayed at random over two hops, from the store to a reader
    /// and from the reader to a follower.
    #[test]
    fn no_delay_makes_the_age_lower_than_the_true_one(
        skews in prop::array::uniform3(0_u64..100_000),
        hops in prop::collection::vec((0_u64..4_000, 0_u64..4_000, 0_u64..4_000), 1..12),
        checked_after in 0_u64..8_000,
    ) {
        // `at` is the true time in milliseconds; each clock shows it plus a skew.
        let [store, reader, follower] = skews;
        let mut at = 0;
        let mut reader_clock = RemoteClock::default();
        let mut follower_age = VersionFreshness::default();
        let mut newest_read = None;
        for (request_delay, response_delay, confirmation_delay) in hops {
            let asked = at;
            let read = asked + request_delay;
            at = read + response_delay;
            reader_clock.record(ms(read + store), ms(asked + reader));
            // The follower requests the store's clock from the reader.
            let asked = at;
            let answered = asked + request_delay;
            let latest = reader_clock.latest_remote(ms(answered + reader)).expect("the reader has a clock sample");
            at = answered + response_delay;
            follower_age.record_clock_sample(1, latest, ms(asked + follower));
            at += confirmation_delay;
            let confirmation = Confirmation { era: 1, version: 1, at: ms(read + store) };
            follower_age.confirm(confirmation, 1);
            newest_read = Some(read);
        }
        let now = at + checked_after;
        let true_age = now - newest_read.expect("there is at least one hop");
        let reported = follower_age.age(ms(now + follower)).expect("a confirmation was received");
        prop_assert!(reported >= ms(true_age), "{reported:?} < {true_age} ms");
    }
}
