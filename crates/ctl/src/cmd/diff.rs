//! `filbertctl diff`: what accepting the pending tree would change.

use filbert_store::PlatformClient;
use filbert_tree::diff_trees;

use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient) -> CtlResult<()> {
    let in_force = store::in_force(platform).await?;
    let (pending, _) = store::draft(platform).await?;
    let lines = diff_trees(&in_force.tree(), &pending);
    if lines.is_empty() {
        println!("no pending change against version {}", in_force.number());
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}
