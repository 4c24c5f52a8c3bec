//! `filbertctl status`: every proxy and the version it has in force.

use filbert_platform::PlatformClient;

use super::watch::{live_daemons, now_ms};
use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient) -> CtlResult<()> {
    let in_force = store::in_force(platform).await?;
    println!("version in force: {}", in_force.number());
    let (live, stale) = live_daemons(platform, now_ms()).await?;
    for status in &live {
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
    for status in &stale {
        println!(
            "{}/{} silent (last applied {})",
            status.zone, status.id, status.applied
        );
    }
    Ok(())
}
