//! `filbertctl show [BRANCH] [--resolved] [--pending]`: prints the settings tree or one
//! of its branches.

use error_stack::Report;
use filbert_store::PlatformClient;

use crate::cli::OutputFormat;
use crate::error::CtlError;
use crate::store::{self, CtlResult};

pub(super) async fn run(
    platform: &PlatformClient,
    branch: Option<&str>,
    resolved: bool,
    pending: bool,
    output: OutputFormat,
) -> CtlResult<()> {
    let (version, tree) = if pending {
        (None, store::read_draft(platform).await?.0)
    } else {
        let current = store::read_current(platform).await?;
        (Some(current.number()), current.tree())
    };
    let Some(branch) = branch else {
        match output {
            OutputFormat::Text => print!("{}{}", version_comment(version), tree.to_toml()),
            OutputFormat::Json => {
                let document = serde_json::json!({ "version": version, "tree": tree });
                println!("{}", store::to_json(&document)?);
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
    let settings = settings.ok_or_else(|| {
        Report::new(CtlError::BadInput).attach(format!("branch `{path}` does not exist"))
    })?;
    match output {
        OutputFormat::Text => {
            println!("{}[{path}]", version_comment(version));
            for (key, value) in settings.key_values() {
                println!("{key} = {value}");
            }
        }
        OutputFormat::Json => {
            let document = serde_json::json!({
                "version": version, "branch": path.to_string(), "settings": settings,
            });
            println!("{}", store::to_json(&document)?);
        }
    }
    Ok(())
}

/// Returns the comment line that names the version in force; empty for the pending
/// tree, which has no version.
fn version_comment(version: Option<u64>) -> String {
    version.map_or_else(String::new, |version| format!("# version {version}\n"))
}
