//! `filbertctl withdraw [--expect N]`: restore the previous version's
//! content as a new version; numbers never go back.

use error_stack::Report;
use filbert_store::PlatformClient;

use super::publish::{check_expected, publish};
use crate::error::CtlError;
use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient, expect: Option<u64>) -> CtlResult<()> {
    let in_force = store::in_force(platform).await?;
    check_expected(&in_force, expect)?;
    let parent_object = in_force
        .record
        .as_ref()
        .and_then(|record| record.parent_object.clone())
        .ok_or_else(|| {
            Report::new(CtlError::Refused).attach("no earlier version to withdraw to")
        })?;
    let parent = store::fetch_record(platform, &parent_object).await?;
    let number = publish(platform, &in_force, parent.tree, Some(parent.number)).await?;
    println!(
        "withdrew version {}: version {number} restores version {}",
        in_force.number(),
        parent.number
    );
    Ok(())
}
