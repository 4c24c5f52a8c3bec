//! `filbertctl diff`: shows what accepting the pending tree would change.

use filbert_store::PlatformClient;
use filbert_tree::diff_trees;

use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient) -> CtlResult<()> {
    let current = store::read_current(platform).await?;
    let (pending, _) = store::read_draft(platform).await?;
    let lines = diff_trees(&current.tree(), &pending);
    if lines.is_empty() {
        println!("no pending change against version {}", current.number());
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}
