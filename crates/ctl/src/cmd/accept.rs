//! `filbertctl accept [--expect N]`: make the pending tree a new version.

use filbert_store::PlatformClient;

use super::publish::{check_expected, publish};
use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient, expect: Option<u64>) -> CtlResult<()> {
    let in_force = store::in_force(platform).await?;
    check_expected(&in_force, expect)?;
    let (pending, _) = store::draft(platform).await?;
    let number = publish(platform, &in_force, pending, None).await?;
    println!("accepted version {number}");
    Ok(())
}
