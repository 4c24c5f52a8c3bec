//! Counts the calls of each organisation that were allowed or refused, and shows them
//! in the metrics with the accounts of the organisation's tokens.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::fmt::Write;

use filbert_policy::organisations::quota::PoolAccount;

/// Maximum number of organisations in the daemon's metrics, where only the busiest
/// appear: the number of time series must not grow with the number of organisations.
const MAX_REPORTED_ORGANISATIONS: usize = 32;

/// Which organisations appear in a text of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountsRange {
    /// The busiest 32.
    Busiest,
    /// All that had calls or tokens at this daemon.
    All,
}

/// Outcome of requesting an organisation's tokens from all pools of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenSearch {
    /// A pool granted tokens.
    Granted,
    /// At least one pool answered, and none had a token.
    PoolsEmpty,
    /// No pool has answered in time.
    #[default]
    NoAnswer,
}

/// Counters of one organisation's calls at this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AdmissionCounts {
    allowed: u64,
    /// Calls refused as the pools had no token: the limit was reached.
    over_quota: u64,
    /// Calls refused as no token was found in time, while it is not known that the
    /// pools had none.
    token_not_found: u64,
    last_search: TokenSearch,
}

impl AdmissionCounts {
    fn total(self) -> u64 {
        self.allowed + self.over_quota + self.token_not_found
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

    /// Counts a call that was refused for want of a token. The last search for tokens
    /// tells whether the pools had none.
    pub fn over_quota(&self, organisation: &str) {
        self.count(organisation, |counts| match counts.last_search {
            TokenSearch::PoolsEmpty => counts.over_quota += 1,
            TokenSearch::Granted | TokenSearch::NoAnswer => counts.token_not_found += 1,
        });
    }

    /// Records the outcome of a request for the organisation's tokens.
    pub fn record_search(&self, organisation: &str, search: TokenSearch) {
        self.count(organisation, |counts| counts.last_search = search);
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

    /// Returns the counters of the organisations in `range` in the Prometheus text
    /// format, with the `accounts` of this daemon's pool.
    #[must_use]
    pub fn text(&self, accounts: &[(&str, PoolAccount)], range: CountsRange) -> String {
        let calls = self.calls.borrow();
        let accounts: HashMap<&str, PoolAccount> = accounts.iter().copied().collect();
        let names: HashSet<&str> = calls
            .keys()
            .map(String::as_str)
            .chain(accounts.keys().copied())
            .collect();
        let mut busiest: Vec<&str> = names.into_iter().collect();
        busiest.sort_unstable_by_key(|name| {
            let calls = calls.get(*name).map_or(0, |counts| counts.total());
            let granted = accounts.get(name).map_or(0, |account| account.granted);
            (Reverse(calls.max(granted)), *name)
        });
        if range == CountsRange::Busiest {
            busiest.truncate(MAX_REPORTED_ORGANISATIONS);
        }
        let mut text = String::new();
        for name in busiest {
            let label = escape_label_value(name);
            if let Some(counts) = calls.get(name) {
                write_calls(&mut text, &label, *counts);
            }
            if let Some(account) = accounts.get(name) {
                write_account(&mut text, &label, account);
            }
        }
        text
    }
}

fn write_calls(text: &mut String, organisation: &str, counts: AdmissionCounts) {
    for (verdict, calls) in [
        ("allowed", counts.allowed),
        ("over_quota", counts.over_quota),
        ("token_not_found", counts.token_not_found),
    ] {
        // Writing to a `String` does not fail.
        let _ = writeln!(
            text,
            "filbert_organisation_calls{{organisation=\"{organisation}\",verdict=\"{verdict}\"}} {calls}"
        );
    }
}

fn write_account(text: &mut String, organisation: &str, account: &PoolAccount) {
    for (fate, tokens) in [
        ("generated", format!("{:.0}", account.generated)),
        ("granted", account.granted.to_string()),
        ("lost_full", format!("{:.0}", account.lost_full)),
        ("lent", account.lent.to_string()),
        ("borrowed", account.borrowed.to_string()),
    ] {
        let _ = writeln!(
            text,
            "filbert_organisation_tokens{{organisation=\"{organisation}\",fate=\"{fate}\"}} {tokens}"
        );
    }
    let _ = writeln!(
        text,
        "filbert_organisation_granted_share{{organisation=\"{organisation}\"}} {:.4}",
        account.granted_share
    );
}

fn escape_label_value(name: &str) -> String {
    name.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
