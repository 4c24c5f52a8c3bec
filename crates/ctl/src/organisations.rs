//! Totals of organisations' calls and tokens over the metrics of all daemons.

use std::collections::BTreeMap;

use serde::Serialize;

/// Metric of an organisation's calls by verdict.
const CALLS_METRIC: &str = "filbert_organisation_calls";
/// Metric of an organisation's tokens by what became of them.
const TOKENS_METRIC: &str = "filbert_organisation_tokens";
/// Metric of the share of an organisation's limit that a pool granted.
const GRANTED_SHARE_METRIC: &str = "filbert_organisation_granted_share";

/// Calls and tokens of one organisation, added up over the daemons that answered,
/// since the start of each daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OrganisationTotals {
    /// Calls within the quota.
    pub allowed: u64,
    /// Calls refused as the limit was reached: the pools had no token.
    pub over_quota: u64,
    /// Calls refused as no token was found in time.
    pub token_not_found: u64,
    /// Tokens generated in all pools.
    pub generated: u64,
    /// Tokens granted to hosts.
    pub granted: u64,
    /// Tokens discarded because a bucket was full.
    pub lost_full: u64,
    /// Tokens sent to pools of other zones.
    pub lent: u64,
    /// Tokens received from pools of other zones.
    pub borrowed: u64,
    /// Fraction of the limit that all pools granted in their last windows.
    pub granted_share: f64,
}

impl OrganisationTotals {
    /// Number of calls that were refused for want of a token.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.over_quota + self.token_not_found
    }

    fn add_sample(&mut self, metric: &str, label: &str, value: &str) {
        if metric == GRANTED_SHARE_METRIC {
            let share: f64 = value.parse().unwrap_or_default();
            self.granted_share += share;
            return;
        }
        let counter = match (metric, label) {
            (CALLS_METRIC, "allowed") => &mut self.allowed,
            (CALLS_METRIC, "over_quota") => &mut self.over_quota,
            (CALLS_METRIC, "token_not_found") => &mut self.token_not_found,
            (TOKENS_METRIC, "generated") => &mut self.generated,
            (TOKENS_METRIC, "granted") => &mut self.granted,
            (TOKENS_METRIC, "lost_full") => &mut self.lost_full,
            (TOKENS_METRIC, "lent") => &mut self.lent,
            (TOKENS_METRIC, "borrowed") => &mut self.borrowed,
            _ => return,
        };
        *counter += value.parse::<u64>().unwrap_or_default();
    }
}

/// Adds the counts in a daemon's metrics to `totals`, by the organisation's name.
/// Samples that do not parse are skipped.
pub fn add_organisation_samples(text: &str, totals: &mut BTreeMap<String, OrganisationTotals>) {
    for line in text.lines() {
        let Some((metric, rest)) = line.split_once("{organisation=\"") else {
            continue;
        };
        let Some((labels, value)) = rest.rsplit_once("\"} ") else {
            continue;
        };
        // A quote within a label value follows a backslash, and none follows `="`.
        let (name, label) = ["\",verdict=\"", "\",fate=\""]
            .iter()
            .find_map(|separator| labels.rsplit_once(separator))
            .unwrap_or((labels, ""));
        let totals = totals.entry(unescape_label(name)).or_default();
        totals.add_sample(metric, label, value);
    }
}

/// Removes the backslash escapes from a label value of the Prometheus text format.
fn unescape_label(label: &str) -> String {
    let mut text = String::with_capacity(label.len());
    let mut chars = label.chars();
    while let Some(character) = chars.next() {
        if character != '\\' {
            text.push(character);
            continue;
        }
        match chars.next() {
            Some('n') => text.push('\n'),
            Some(escaped) => text.push(escaped),
            None => {}
        }
    }
    text
}
