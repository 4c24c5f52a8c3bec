//! `filbertctl mesh rollout`: lists the roll-outs with their stages and the evidence for
//! them.

use error_stack::ResultExt;
use filbert_mesh::rollouts::row::RolloutRow;
use filbert_mesh::rollouts::stage_label;
use filbert_mesh::rows::HOSTS_TABLE;
use filbert_platform::store::StoreClient;
use filbert_policy::rollout::record::RolloutStage;
use serde::Serialize;

use crate::cli::OutputFormat;
use crate::error::CtlError;
use crate::store::{to_json, CtlResult};

/// The roll-out of a service, as listed.
#[derive(Debug, Serialize)]
struct RolloutSummary {
    service: String,
    /// Software version that the service's calls move to.
    to: String,
    /// Stage: `waiting`, `trial`, `moved`, `completed` or `rolled_back`.
    stage: &'static str,
    /// Calls of each thousand that go to the new version.
    per_mille: u16,
    /// Hosts whose new targets get the calls of a trial; all new targets if empty.
    canaries: Vec<String>,
    /// Reason for the stage.
    reason: String,
    /// Host whose daemon decided on the stage.
    decided_by: String,
    /// Evidence for the decision: calls and failures of both versions.
    evidence: String,
    /// Time from the order to the deadline of the roll-out, in milliseconds.
    allowed_ms: u128,
}

impl RolloutSummary {
    fn from_row(row: RolloutRow) -> RolloutSummary {
        const ALL_PER_MILLE: u16 = 1_000;
        let record = row.record;
        RolloutSummary {
            per_mille: match record.stage {
                RolloutStage::Trial { per_mille } => per_mille,
                RolloutStage::Moved | RolloutStage::Completed => ALL_PER_MILLE,
                RolloutStage::RolledBack => 0,
            },
            stage: stage_label(record.stage),
            reason: format!("{:?}", record.reason),
            allowed_ms: record.allowed.as_millis(),
            service: record.service,
            to: record.to,
            canaries: record.canaries,
            decided_by: record.decided_by,
            evidence: row.evidence,
        }
    }
}

/// Lists all roll-outs, or only the one of `service`.
pub(super) async fn list(
    store: &StoreClient,
    service: Option<&str>,
    output: OutputFormat,
) -> CtlResult<()> {
    let batch = store
        .read_table(HOSTS_TABLE)
        .await
        .change_context(CtlError::Platform)?;
    let rollouts: Vec<RolloutSummary> = batch
        .rows
        .iter()
        .filter_map(|row| RolloutRow::decode(row).ok().flatten())
        .map(RolloutSummary::from_row)
        .filter(|summary| service.is_none_or(|service| service == summary.service))
        .collect();
    if output == OutputFormat::Json {
        println!("{}", to_json(&rollouts)?);
        return Ok(());
    }
    if rollouts.is_empty() {
        println!("no roll-outs");
    }
    for summary in rollouts {
        println!(
            "{} to {}: {}, {} of 1000 calls to the new version, deadline {} ms after the order",
            summary.service, summary.to, summary.stage, summary.per_mille, summary.allowed_ms
        );
        println!(
            "  decided by the daemon on {} ({})",
            summary.decided_by, summary.reason
        );
        if !summary.canaries.is_empty() {
            println!("  canary hosts: {}", summary.canaries.join(", "));
        }
        if !summary.evidence.is_empty() {
            println!("  {}", summary.evidence);
        }
    }
    Ok(())
}
