//! `filbertctl withdraw [--expect N]`: restores the content of the previous version as
//! a new version, since version numbers only increase.

use error_stack::Report;
use filbert_store::PlatformClient;

use super::publish::{check_expected, publish};
use crate::error::CtlError;
use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient, expect: Option<u64>) -> CtlResult<()> {
    let current = store::read_current(platform).await?;
    check_expected(&current, expect)?;
    let parent_object = current
        .record
        .as_ref()
        .and_then(|record| record.parent_object.clone())
        .ok_or_else(|| {
            Report::new(CtlError::Refused).attach("there is no earlier version to restore")
        })?;
    let parent = store::fetch_record(platform, &parent_object).await?;
    let number = publish(platform, &current, parent.tree, Some(parent.number)).await?;
    println!(
        "withdrew version {}: version {number} restores version {}",
        current.number(),
        parent.number
    );
    Ok(())
}
