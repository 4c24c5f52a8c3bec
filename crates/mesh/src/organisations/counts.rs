//! Counts the calls of each organisation that were allowed or over quota, for the
//! metrics.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt::Write;

/// Maximum number of organisations in the metrics, where only the busiest appear: the
/// number of time series must not grow with the number of organisations.
const MAX_REPORTED_ORGANISATIONS: usize = 32;

/// Counters of one organisation's calls at this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AdmissionCounts {
    allowed: u64,
    over_quota: u64,
}

impl AdmissionCounts {
    fn total(self) -> u64 {
        self.allowed + self.over_quota
    }
}

/// Counters of all organisations' calls at this daemon.
#[derive(Debug, Default)]
pub struct OrganisationCounts {
    calls: RefCell<HashMap<String, AdmissionCounts>>,
}

impl OrganisationCounts {
    /// Counts a call that is allowed to run.
    pub fn allowed(&self, organisation: &str) {
        self.count(organisation, |counts| counts.allowed += 1);
    }

    /// Counts a call over the organisation's rate limit.
    pub fn over_quota(&self, organisation: &str) {
        self.count(organisation, |counts| counts.over_quota += 1);
    }

    fn count(&self, organisation: &str, add: impl FnOnce(&mut AdmissionCounts)) {
        let mut calls = self.calls.borrow_mut();
        match calls.get_mut(organisation) {
            Some(counts) => add(counts),
            None => add(calls.entry(organisation.to_owned()).or_default()),
        }
    }

    /// Drops the counters of organisations for which `exists` is false.
    pub fn keep(&self, exists: impl Fn(&str) -> bool) {
        self.calls.borrow_mut().retain(|name, _| exists(name));
    }

    /// Returns the counters of the busiest organisations in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let calls = self.calls.borrow();
        let mut busiest: Vec<(&String, AdmissionCounts)> =
            calls.iter().map(|(name, counts)| (name, *counts)).collect();
        busiest.sort_unstable_by_key(|(name, counts)| (Reverse(counts.total()), *name));
        let mut text = String::new();
        for (name, counts) in busiest.into_iter().take(MAX_REPORTED_ORGANISATIONS) {
            let name = escape_label_value(name);
            for (verdict, calls) in [
                ("allowed", counts.allowed),
                ("over_quota", counts.over_quota),
            ] {
                // Writing to a `String` does not fail.
                let _ = writeln!(
                    text,
                    "filbert_organisation_calls{{organisation=\"{name}\",verdict=\"{verdict}\"}} {calls}"
                );
            }
        }
        text
    }
}

fn escape_label_value(name: &str) -> String {
    name.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
