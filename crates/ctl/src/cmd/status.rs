//! `filbertctl status`: lists the daemons and the version that each has applied.

use filbert_store::PlatformClient;

use crate::cli::OutputFormat;
use crate::fleet;
use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient, output: OutputFormat) -> CtlResult<()> {
    let current = store::read_current(platform).await?;
    let fleet = fleet::read(platform).await?;
    if output == OutputFormat::Json {
        let document = serde_json::json!({
            "version": current.number(), "live": fleet.live, "silent": fleet.silent,
        });
        println!("{}", store::to_json(&document)?);
        return Ok(());
    }
    println!("version in force: {}", current.number());
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
