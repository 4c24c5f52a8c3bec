//! `filbertctl show [BRANCH] [--resolved] [--pending]`: print a branch.

use error_stack::Report;
use filbert_store::PlatformClient;

use crate::error::CtlError;
use crate::store::{self, CtlResult};

pub(super) async fn run(
    platform: &PlatformClient,
    branch: Option<&str>,
    resolved: bool,
    pending: bool,
) -> CtlResult<()> {
    let tree = if pending {
        store::draft(platform).await?.0
    } else {
        let in_force = store::in_force(platform).await?;
        println!("# version {}", in_force.number());
        in_force.tree()
    };
    let Some(branch) = branch else {
        print!("{}", tree.to_toml());
        return Ok(());
    };
    let path = store::parse_branch(branch)?;
    let settings = if resolved {
        tree.resolved_settings(&path)
    } else {
        tree.own_settings(&path).cloned()
    };
    let settings = settings
        .ok_or_else(|| Report::new(CtlError::BadInput).attach(format!("{path}: no such branch")))?;
    println!("[{path}]");
    for (key, value) in settings.pairs() {
        println!("{key} = {value}");
    }
    Ok(())
}
