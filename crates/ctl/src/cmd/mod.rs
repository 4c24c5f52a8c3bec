//! The subcommands, one module each, and their dispatch in [`run`].

mod accept;
mod answer;
mod completions;
mod diff;
mod edit;
mod explain;
mod held;
mod mesh;
mod organisations;
mod publish;
mod remove;
mod report;
mod rollout;
mod services;
mod set;
mod show;
mod status;
mod watch;
mod withdraw;

use filbert_store::PlatformClient;

use crate::cli::{Cli, Command};
use crate::store::CtlResult;

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Runs the command `cli` and prints its results on standard output.
///
/// # Errors
/// A [`crate::CtlError`] with details for the operator.
pub async fn run(cli: Cli) -> CtlResult<()> {
    let platform = PlatformClient::new(&cli.platform, PLATFORM_TIMEOUT);
    match cli.command {
        Command::Edit { file } => edit::run(&platform, &file).await,
        Command::Set { branch, key, value } => set::run(&platform, &branch, &key, &value).await,
        Command::Remove { branch } => remove::run(&platform, &branch).await,
        Command::Show {
            branch,
            resolved,
            pending,
            output,
        } => show::run(&platform, branch.as_deref(), resolved, pending, output).await,
        Command::Diff => diff::run(&platform).await,
        Command::Accept { expect } => accept::run(&platform, expect).await,
        Command::Watch { version, timeout } => {
            watch::run(&platform, version, std::time::Duration::from_secs(timeout)).await
        }
        Command::Withdraw { expect } => withdraw::run(&platform, expect).await,
        Command::Status { output } => status::run(&platform, output).await,
        Command::Completions { shell } => {
            completions::run(shell);
            Ok(())
        }
        Command::Report { report } => report::run(report).await,
        Command::Mesh { store, command } => mesh::run(&store, command).await,
        Command::Explain { request, logs } => explain::run(&request, &logs),
    }
}
