//! `filbertctl accept [--expect N]`: accepts the pending tree as a new version.

use filbert_store::PlatformClient;

use super::publish::{check_expected, publish};
use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient, expect: Option<u64>) -> CtlResult<()> {
    let current = store::read_current(platform).await?;
    check_expected(&current, expect)?;
    let (pending, _) = store::read_draft(platform).await?;
    let number = publish(platform, &current, pending, None).await?;
    println!("accepted version {number}");
    Ok(())
}
