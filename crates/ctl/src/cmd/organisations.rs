//! `filbertctl mesh organisations`: what each organisation may run, and what became
//! of its calls.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use filbert_platform::operator::decode_config;
use filbert_platform::store::StoreClient;
use filbert_policy::organisations::keys::OrganisationRule;
use serde::Serialize;

use super::mesh::{current, members, metrics_of};
use crate::cli::ReadFormat;
use crate::error::CtlError;
use crate::mesh::organisation_calls;
use crate::store::{json, CtlResult};

/// One organisation. Its keys are not shown.
#[derive(Debug, Serialize)]
struct ShownOrganisation {
    name: String,
    keys: usize,
    priority: Option<u8>,
    /// Calls a second; `None` when they are not limited.
    per_s: Option<f64>,
    burst: Option<f64>,
    /// Calls that could run, by the daemons that name it among their busiest.
    allowed: u64,
    /// Calls beyond its limit, by the same.
    over_quota: u64,
}

impl ShownOrganisation {
    fn of(rule: &OrganisationRule, calls: &BTreeMap<(String, String), u64>) -> ShownOrganisation {
        let of_verdict = |verdict: &str| {
            let key = (rule.name.clone(), verdict.to_owned());
            calls.get(&key).copied().unwrap_or_default()
        };
        ShownOrganisation {
            name: rule.name.clone(),
            keys: rule.keys.len(),
            priority: rule.priority,
            per_s: rule.limit.map(|limit| limit.per_s),
            burst: rule.limit.map(|limit| limit.burst),
            allowed: of_verdict("allowed"),
            over_quota: of_verdict("over_quota"),
        }
    }
}

/// Lists the organisations, those that were refused most first.
pub(super) async fn list(
    store: &StoreClient,
    metrics_port: u16,
    output: ReadFormat,
) -> CtlResult<()> {
    let (text, _) = current(store).await?;
    let version = decode_config(&text).change_context(CtlError::Platform)?;
    let mut calls = BTreeMap::new();
    let mut silent = Vec::new();
    for (host, metrics) in metrics_of(members(store).await?, metrics_port).await? {
        match metrics {
            Some(text) => organisation_calls(&text, &mut calls),
            None => silent.push(host),
        }
    }
    let rules: Vec<Arc<OrganisationRule>> = version.organisations;
    let mut shown: Vec<ShownOrganisation> = rules
        .iter()
        .map(|rule| ShownOrganisation::of(rule, &calls))
        .collect();
    shown.sort_by_key(|one| (Reverse(one.over_quota), Reverse(one.allowed)));
    if output == ReadFormat::Json {
        println!("{}", json(&shown)?);
    } else {
        print_table(&shown);
    }
    if silent.is_empty() {
        return Ok(());
    }
    Err(Report::new(CtlError::NotSettled)
        .attach(format!("no word of the daemons on {}", silent.join(", "))))
}

fn print_table(shown: &[ShownOrganisation]) {
    println!(
        "{:<32} {:>5} {:>8} {:>10} {:>10} {:>10} {:>10}",
        "organisation", "keys", "priority", "a second", "at once", "allowed", "over quota"
    );
    let number = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value}"));
    for one in shown {
        let priority = one.priority.map_or("-".to_owned(), |rank| rank.to_string());
        println!(
            "{:<32} {:>5} {priority:>8} {:>10} {:>10} {:>10} {:>10}",
            one.name,
            one.keys,
            number(one.per_s),
            number(one.burst),
            one.allowed,
            one.over_quota
        );
    }
}
