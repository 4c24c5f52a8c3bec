//! `filbertctl mesh organisations`: lists the organisations with their limits and the
//! counts of their calls and tokens.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use filbert_mesh::metrics::ORGANISATIONS_PATH;
use filbert_platform::operator::decode_config;
use filbert_platform::store::StoreClient;
use filbert_policy::organisations::keys::OrganisationRule;
use serde::Serialize;

use super::mesh::{fetch_metrics, read_config, read_members};
use crate::cli::OutputFormat;
use crate::error::CtlError;
use crate::organisations::{add_organisation_samples, OrganisationTotals};
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
    /// Counts of its calls and tokens, by the daemons that answered.
    #[serde(flatten)]
    totals: OrganisationTotals,
}

impl OrganisationSummary {
    fn from_rule(
        rule: &OrganisationRule,
        totals: &BTreeMap<String, OrganisationTotals>,
    ) -> OrganisationSummary {
        OrganisationSummary {
            name: rule.name.clone(),
            keys: rule.keys.len(),
            priority: rule.priority,
            per_s: rule.limit.map(|limit| limit.per_s),
            burst: rule.limit.map(|limit| limit.burst),
            totals: totals.get(&rule.name).cloned().unwrap_or_default(),
        }
    }
}

/// Lists the organisations, sorted by refused calls, then by allowed calls, largest first.
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
    let mut totals = BTreeMap::new();
    let mut unreachable = Vec::new();
    let members = read_members(store).await?;
    for (host, metrics) in fetch_metrics(members, metrics_port, ORGANISATIONS_PATH).await? {
        match metrics {
            Some(text) => add_organisation_samples(&text, &mut totals),
            None => unreachable.push(host),
        }
    }
    let rules: Vec<Arc<OrganisationRule>> = version.organisations;
    let mut summaries: Vec<OrganisationSummary> = rules
        .iter()
        .map(|rule| OrganisationSummary::from_rule(rule, &totals))
        .collect();
    summaries.sort_by_key(|summary| {
        let totals = &summary.totals;
        (Reverse(totals.refused()), Reverse(totals.allowed))
    });
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
        "{:<32} {:>5} {:>8} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>8} {:>8} {:>6}",
        "organisation",
        "keys",
        "priority",
        "a second",
        "at once",
        "allowed",
        "over quota",
        "not found",
        "generated",
        "granted",
        "lost full",
        "lent",
        "borrowed",
        "used"
    );
    let format_limit =
        |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value}"));
    for summary in summaries {
        let priority = summary
            .priority
            .map_or("-".to_owned(), |priority| priority.to_string());
        let totals = &summary.totals;
        let used = summary.per_s.map_or("-".to_owned(), |_| {
            format!("{:.0}%", totals.granted_share * 100.0)
        });
        println!(
            "{:<32} {:>5} {priority:>8} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>8} {:>8} {used:>6}",
            summary.name,
            summary.keys,
            format_limit(summary.per_s),
            format_limit(summary.burst),
            totals.allowed,
            totals.over_quota,
            totals.token_not_found,
            totals.generated,
            totals.granted,
            totals.lost_full,
            totals.lent,
            totals.borrowed
        );
    }
}
