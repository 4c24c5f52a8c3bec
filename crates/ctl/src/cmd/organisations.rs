//! `filbertctl mesh organisations`: lists the organisations with their limits and call
//! counts.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use filbert_platform::operator::decode_config;
use filbert_platform::store::StoreClient;
use filbert_policy::organisations::keys::OrganisationRule;
use serde::Serialize;

use super::mesh::{fetch_metrics, read_config, read_members};
use crate::cli::OutputFormat;
use crate::error::CtlError;
use crate::mesh::add_organisation_calls;
use crate::store::{to_json, CtlResult};

/// An organisation, as listed. Its API keys are counted, but not shown.
#[derive(Debug, Serialize)]
struct OrganisationSummary {
    name: String,
    /// Number of API keys.
    keys: usize,
    /// Priority of its calls; `None` if that of the route applies.
    priority: Option<u8>,
    /// Allowed calls per second; `None` if they are not limited.
    per_s: Option<f64>,
    /// Maximum number of calls in a burst; `None` if they are not limited.
    burst: Option<f64>,
    /// Calls within the quota, as counted by the daemons that report the organisation:
    /// each daemon reports only its busiest ones.
    allowed: u64,
    /// Calls over the quota, as counted by the same daemons.
    over_quota: u64,
}

impl OrganisationSummary {
    fn from_rule(
        rule: &OrganisationRule,
        calls: &BTreeMap<(String, String), u64>,
    ) -> OrganisationSummary {
        let count_of = |verdict: &str| {
            let key = (rule.name.clone(), verdict.to_owned());
            calls.get(&key).copied().unwrap_or_default()
        };
        OrganisationSummary {
            name: rule.name.clone(),
            keys: rule.keys.len(),
            priority: rule.priority,
            per_s: rule.limit.map(|limit| limit.per_s),
            burst: rule.limit.map(|limit| limit.burst),
            allowed: count_of("allowed"),
            over_quota: count_of("over_quota"),
        }
    }
}

/// Lists the organisations, sorted by calls over quota, then by allowed calls, largest
/// first.
///
/// # Errors
/// [`CtlError::Incomplete`], after the list, if a daemon does not answer.
pub(super) async fn list(
    store: &StoreClient,
    metrics_port: u16,
    output: OutputFormat,
) -> CtlResult<()> {
    let (text, _) = read_config(store).await?;
    let version = decode_config(&text).change_context(CtlError::Platform)?;
    let mut calls = BTreeMap::new();
    let mut unreachable = Vec::new();
    for (host, metrics) in fetch_metrics(read_members(store).await?, metrics_port).await? {
        match metrics {
            Some(text) => add_organisation_calls(&text, &mut calls),
            None => unreachable.push(host),
        }
    }
    let rules: Vec<Arc<OrganisationRule>> = version.organisations;
    let mut summaries: Vec<OrganisationSummary> = rules
        .iter()
        .map(|rule| OrganisationSummary::from_rule(rule, &calls))
        .collect();
    summaries.sort_by_key(|summary| (Reverse(summary.over_quota), Reverse(summary.allowed)));
    if output == OutputFormat::Json {
        println!("{}", to_json(&summaries)?);
    } else {
        print_table(&summaries);
    }
    if unreachable.is_empty() {
        return Ok(());
    }
    Err(Report::new(CtlError::Incomplete).attach(format!(
        "no metrics from the daemons on {}",
        unreachable.join(", ")
    )))
}

/// Prints the organisations as a table.
fn print_table(summaries: &[OrganisationSummary]) {
    println!(
        "{:<32} {:>5} {:>8} {:>10} {:>10} {:>10} {:>10}",
        "organisation", "keys", "priority", "a second", "at once", "allowed", "over quota"
    );
    let format_limit =
        |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value}"));
    for summary in summaries {
        let priority = summary
            .priority
            .map_or("-".to_owned(), |priority| priority.to_string());
        println!(
            "{:<32} {:>5} {priority:>8} {:>10} {:>10} {:>10} {:>10}",
            summary.name,
            summary.keys,
            format_limit(summary.per_s),
            format_limit(summary.burst),
            summary.allowed,
            summary.over_quota
        );
    }
}
