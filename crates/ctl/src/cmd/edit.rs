//! `filbertctl edit --file TREE.toml`: replaces the pending tree.

use std::path::Path;

use error_stack::{Report, ResultExt};
use filbert_store::PlatformClient;
use filbert_tree::SettingsTree;

use crate::error::CtlError;
use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient, file: &Path) -> CtlResult<()> {
    let text = std::fs::read_to_string(file)
        .change_context(CtlError::BadInput)
        .attach(format!("file {}", file.display()))?;
    let tree = SettingsTree::from_toml(&text)
        .change_context(CtlError::BadInput)
        .attach(format!("file {}", file.display()))?;
    tree.validate()
        .map_err(|problems| Report::new(CtlError::BadInput).attach(problems.to_string()))
        .attach(format!("file {}", file.display()))?;
    let (_, row_version) = store::read_draft(platform).await?;
    store::write_draft(platform, &tree, row_version).await?;
    println!(
        "pending tree replaced from {} ({} routes)",
        file.display(),
        tree.route_count()
    );
    Ok(())
}
