//! `filbertctl mesh rollout`: how far roll-outs are, and what they rest on.

use error_stack::ResultExt;
use filbert_mesh::rollouts::row::RolloutRow;
use filbert_mesh::rollouts::stage_label;
use filbert_mesh::rows::HOSTS_TABLE;
use filbert_platform::store::StoreClient;
use filbert_policy::rollout::record::RolloutStage;
use serde::Serialize;

use crate::cli::ReadFormat;
use crate::error::CtlError;
use crate::store::{json, CtlResult};

/// One service's roll-out.
#[derive(Debug, Serialize)]
struct ShownRollout {
    service: String,
    /// The version that its calls move to.
    to: String,
    /// waiting, trial, moved, completed or `rolled_back`.
    stage: &'static str,
    /// Thousandths of the calls that go to the new version.
    per_mille: u16,
    /// New targets' hosts that calls on trial go to; all when empty.
    canaries: Vec<String>,
    /// Why this stage was taken.
    reason: String,
    /// The host whose daemon decided so.
    decided_by: String,
    /// What it went by: calls of both versions, bad ones, the evidence.
    evidence: String,
    allowed_ms: u128,
}

impl ShownRollout {
    fn of(row: RolloutRow) -> ShownRollout {
        const ALL: u16 = 1_000;
        let record = row.record;
        ShownRollout {
            per_mille: match record.stage {
                RolloutStage::Trial { per_mille } => per_mille,
                RolloutStage::Moved | RolloutStage::Completed => ALL,
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

/// Lists the roll-outs, or the one of `service`.
pub(super) async fn list(
    store: &StoreClient,
    service: Option<&str>,
    output: ReadFormat,
) -> CtlResult<()> {
    let batch = store
        .read_table(HOSTS_TABLE)
        .await
        .change_context(CtlError::Platform)?;
    let rollouts: Vec<ShownRollout> = batch
        .rows
        .iter()
        .filter_map(RolloutRow::read)
        .map(ShownRollout::of)
        .filter(|shown| service.is_none_or(|service| service == shown.service))
        .collect();
    if output == ReadFormat::Json {
        println!("{}", json(&rollouts)?);
        return Ok(());
    }
    if rollouts.is_empty() {
        println!("no roll-out was ordered");
    }
    for shown in rollouts {
        println!(
            "{} to {}: {}, {} of 1000 calls to the new version, {} ms allowed",
            shown.service, shown.to, shown.stage, shown.per_mille, shown.allowed_ms
        );
        println!("  decided by {} ({})", shown.decided_by, shown.reason);
        if !shown.canaries.is_empty() {
            println!("  tried on {}", shown.canaries.join(", "));
        }
        if !shown.evidence.is_empty() {
            println!("  {}", shown.evidence);
        }
    }
    Ok(())
}
