//! `filbertctl status`: every proxy and the version it has in force.

use filbert_store::PlatformClient;

use crate::cli::ReadFormat;
use crate::fleet;
use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient, output: ReadFormat) -> CtlResult<()> {
    let in_force = store::in_force(platform).await?;
    let fleet = fleet::read(platform).await?;
    if output == ReadFormat::Json {
        let shown = serde_json::json!({
            "version": in_force.number(), "live": fleet.live, "silent": fleet.silent,
        });
        println!("{}", store::json(&shown)?);
        return Ok(());
    }
    println!("version in force: {}", in_force.number());
    for status in &fleet.live {
        let rejected = status
            .rejected
            .as_ref()
            .map(|(number, reason)| format!(" refused {number}: {reason}"))
            .unwrap_or_default();
        println!(
            "{}/{} applied {}{rejected}",
            status.zone, status.id, status.applied
        );
    }
    for status in &fleet.silent {
        println!(
            "{}/{} silent (last applied {})",
            status.zone, status.id, status.applied
        );
    }
    Ok(())
}
