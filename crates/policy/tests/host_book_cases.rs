//! Word of hosts that comes in any order, late, twice or not at all.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbert_policy::host_book::{HostBook, HostChange, StorePlace};
use proptest::prelude::*;
use rstest::rstest;

const HOSTS: u8 = 6;

fn place(version: u64) -> StorePlace {
    StorePlace { era: 1, version }
}

fn name(host: u8) -> String {
    format!("host-{host}")
}

/// One change of the table of hosts.
#[derive(Clone, Copy, Debug)]
enum RowStep {
    Write(u8),
    Remove(u8),
}

/// Something that is told of the table.
#[derive(Clone, Debug)]
enum Word {
    Written(u8, u64),
    Removed(u8, u64),
    /// All rows with their places, complete up to a place.
    List(BTreeMap<u8, u64>, u64),
}

fn steps() -> impl Strategy<Value = Vec<RowStep>> {
    let step = (0..HOSTS, prop::bool::ANY).prop_map(|(host, writes)| {
        if writes {
            RowStep::Write(host)
        } else {
            RowStep::Remove(host)
        }
    });
    prop::collection::vec(step, 1..40)
}

/// The words that tell of `steps`: one of each, and a list after each.
fn words_of(steps: &[RowStep]) -> (Vec<Word>, Vec<Word>, BTreeMap<u8, u64>) {
    let mut table = BTreeMap::new();
    let (mut changes, mut lists) = (Vec::new(), Vec::new());
    for (version, step) in (1..).zip(steps) {
        match *step {
            RowStep::Write(host) => {
                table.insert(host, version);
                changes.push(Word::Written(host, version));
            }
            RowStep::Remove(host) if table.remove(&host).is_some() => {
                changes.push(Word::Removed(host, version));
            }
            RowStep::Remove(_) => {}
        }
        lists.push(Word::List(table.clone(), version));
    }
    (changes, lists, table)
}

fn hear(book: &mut HostBook<u64>, word: &Word, now: Instant) {
    match word {
        Word::Written(host, version) => {
            book.take_row(&name(*host), 0, place(*version), now);
        }
        Word::Removed(host, version) => {
            book.lose_row(&name(*host), place(*version));
        }
        Word::List(rows, version) => {
            let listed: BTreeSet<String> = rows.keys().map(|host| name(*host)).collect();
            let missing = book.missing_from(|id| listed.contains(id), place(*version));
            let missing: Vec<String> = missing.map(str::to_owned).collect();
            for id in missing {
                book.lose_row(&id, place(*version));
            }
            for (host, at) in rows {
                book.take_row(&name(*host), 0, place(*at), now);
            }
            book.note_complete(place(*version));
        }
    }
}

fn listed(book: &HostBook<u64>) -> BTreeMap<String, u64> {
    book.rows()
        .map(|(id, _, at)| (id.to_owned(), at.version))
        .collect()
}

proptest! {
    /// Guards against an older list that undoes a newer one: all that hear the same
    /// words know the same rows, whatever the order, with words repeated and some
    /// single changes lost, once the last list was among them.
    #[test]
    fn daemons_end_alike_whatever_the_order(
        steps in steps(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 120),
        lost in prop::collection::vec(prop::bool::ANY, 40),
    ) {
        let (changes, lists, table) = words_of(&steps);
        let kept = changes.into_iter().zip(&lost).filter(|(_, lost)| !**lost);
        let mut words: Vec<Word> = kept.map(|(word, _)| word).collect();
        words.extend(lists.iter().cloned());
        let now = Instant::now();
        let mut book = HostBook::default();
        for index in &order {
            hear(&mut book, index.get(&words), now);
        }
        hear(&mut book, lists.last().expect("a list"), now);
        for index in &order {
            hear(&mut book, index.get(&words), now);
        }
        let truth: BTreeMap<String, u64> =
            table.into_iter().map(|(host, at)| (name(host), at)).collect();
        prop_assert_eq!(listed(&book), truth);
    }

    /// Guards against a live host that an old list makes daemons forget: one whose
    /// row stays is never lost after it was heard of.
    #[test]
    fn a_host_that_stays_is_never_lost(
        steps in steps(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 80),
    ) {
        let (changes, lists, table) = words_of(&steps);
        let words: Vec<Word> = changes.into_iter().chain(lists).collect();
        let now = Instant::now();
        let mut book = HostBook::default();
        let mut known = BTreeSet::new();
        for index in &order {
            hear(&mut book, index.get(&words), now);
            for (host, at) in &table {
                let id = name(*host);
                if book.place_of(&id) == Some(place(*at)) {
                    known.insert(id);
                }
            }
            for id in &known {
                prop_assert!(book.place_of(id).is_some(), "{id} was lost");
            }
        }
    }
}

/// A host that was only heard of, and what is told then.
struct HeardCase {
    name: &'static str,
    /// The place of a list without it.
    list: Option<u64>,
    /// Seconds later.
    after: u64,
    is_forgotten: bool,
}

#[rstest]
#[case(HeardCase { name: "a list without it", list: Some(9), after: 1, is_forgotten: false })]
#[case(HeardCase { name: "no row for long", list: None, after: 31, is_forgotten: true })]
fn a_host_without_a_row_stays_for_a_while(#[case] case: HeardCase) {
    let now = Instant::now();
    let mut book = HostBook::default();
    assert_eq!(book.hear("new", 1_u64, now), HostChange::Came);
    assert_eq!(book.hear("new", 1, now), HostChange::None);
    if let Some(version) = case.list {
        hear(&mut book, &Word::List(BTreeMap::new(), version), now);
    }
    assert_eq!(book.get("new"), Some(&1), "{}", case.name);
    let never = book.never_listed(now + Duration::from_secs(case.after));
    assert_eq!(!never.is_empty(), case.is_forgotten, "{}", case.name);
    let written = book.take_row("new", 1, place(12), now);
    assert_eq!(written, HostChange::Listed, "{}", case.name);
}

/// Guards against hosts of before that live on, as the store's versions go back
/// when it returns from an older copy.
#[test]
fn a_later_era_goes_before_a_later_version() {
    let now = Instant::now();
    let mut book = HostBook::default();
    book.take_row("old", 0_u64, place(90), now);
    let later = StorePlace { era: 2, version: 3 };
    let missing: Vec<&str> = book.missing_from(|_| false, later).collect();
    assert_eq!(missing, ["old"]);
    assert_eq!(book.lose_row("old", later), HostChange::Gone);
    assert_eq!(book.take_row("old", 0, place(91), now), HostChange::None);
}
