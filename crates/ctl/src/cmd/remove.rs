//! `filbertctl remove BRANCH`: removes a branch from the pending tree.

use error_stack::{Report, ResultExt};
use filbert_store::PlatformClient;

use crate::error::CtlError;
use crate::store::{self, CtlResult};

pub(super) async fn run(platform: &PlatformClient, branch: &str) -> CtlResult<()> {
    let path = store::parse_branch(branch)?;
    let (mut tree, row_version) = store::read_draft(platform).await?;
    tree.remove(&path).change_context(CtlError::BadInput)?;
    tree.validate()
        .map_err(|problems| Report::new(CtlError::BadInput).attach(problems.to_string()))?;
    store::write_draft(platform, &tree, row_version).await?;
    println!("{path} removed (pending)");
    Ok(())
}
