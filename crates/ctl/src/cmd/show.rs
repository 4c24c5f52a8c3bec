//! `filbertctl show [BRANCH] [--resolved] [--pending]`: print a branch.

use error_stack::Report;
use filbert_store::PlatformClient;

use crate::cli::ReadFormat;
use crate::error::CtlError;
use crate::store::{self, CtlResult};

pub(super) async fn run(
    platform: &PlatformClient,
    branch: Option<&str>,
    resolved: bool,
    pending: bool,
    output: ReadFormat,
) -> CtlResult<()> {
    let (version, tree) = if pending {
        (None, store::draft(platform).await?.0)
    } else {
        let in_force = store::in_force(platform).await?;
        (Some(in_force.number()), in_force.tree())
    };
    let Some(branch) = branch else {
        match output {
            ReadFormat::Text => print!("{}{}", heading(version), tree.to_toml()),
            ReadFormat::Json => {
                let shown = serde_json::json!({ "version": version, "tree": tree });
                println!("{}", store::json(&shown)?);
            }
        }
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
    match output {
        ReadFormat::Text => {
            println!("{}[{path}]", heading(version));
            for (key, value) in settings.key_values() {
                println!("{key} = {value}");
            }
        }
        ReadFormat::Json => {
            let shown = serde_json::json!({
                "version": version, "branch": path.to_string(), "settings": settings,
            });
            println!("{}", store::json(&shown)?);
        }
    }
    Ok(())
}

/// The line on the version in force; none for the pending tree.
fn heading(version: Option<u64>) -> String {
    version.map_or_else(String::new, |version| format!("# version {version}\n"))
}
