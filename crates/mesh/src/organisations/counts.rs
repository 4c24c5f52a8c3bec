//! What became of organisations' calls, for the metrics.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt::Write;

/// Organisations that the metrics name: the busiest, so that their number does not
/// grow with the organisations.
const MOST_NAMED: usize = 32;

/// What became of one organisation's calls at this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct CallCounts {
    allowed: u64,
    over_quota: u64,
}

impl CallCounts {
    fn total(self) -> u64 {
        self.allowed + self.over_quota
    }
}

/// What became of each organisation's calls at this daemon.
#[derive(Debug, Default)]
pub struct OrganisationCounts {
    calls: RefCell<HashMap<String, CallCounts>>,
}

impl OrganisationCounts {
    /// Counts a call that may run.
    pub fn allowed(&self, organisation: &str) {
        self.count(organisation, |counts| counts.allowed += 1);
    }

    /// Counts a call beyond the organisation's limit.
    pub fn over_quota(&self, organisation: &str) {
        self.count(organisation, |counts| counts.over_quota += 1);
    }

    fn count(&self, organisation: &str, add: impl FnOnce(&mut CallCounts)) {
        let mut calls = self.calls.borrow_mut();
        match calls.get_mut(organisation) {
            Some(counts) => add(counts),
            None => add(calls.entry(organisation.to_owned()).or_default()),
        }
    }

    /// Forgets organisations that there are no more.
    pub fn keep(&self, is_there: impl Fn(&str) -> bool) {
        self.calls.borrow_mut().retain(|name, _| is_there(name));
    }

    /// The busiest organisations in the text format of the metrics.
    #[must_use]
    pub fn text(&self) -> String {
        let calls = self.calls.borrow();
        let mut busiest: Vec<(&String, CallCounts)> =
            calls.iter().map(|(name, counts)| (name, *counts)).collect();
        busiest.sort_unstable_by_key(|(name, counts)| (Reverse(counts.total()), *name));
        let mut text = String::new();
        for (name, counts) in busiest.into_iter().take(MOST_NAMED) {
            let name = escaped(name);
            for (verdict, calls) in [
                ("allowed", counts.allowed),
                ("over_quota", counts.over_quota),
            ] {
                // Writing to a text does not fail.
                let _ = writeln!(
                    text,
                    "filbert_organisation_calls{{organisation=\"{name}\",verdict=\"{verdict}\"}} {calls}"
                );
            }
        }
        text
    }
}

fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
