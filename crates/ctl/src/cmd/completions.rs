//! `filbertctl completions SHELL`: prints the completion script of a shell.

use clap::CommandFactory;
use clap_complete::Shell;

use crate::cli::Cli;

pub(super) fn run(shell: Shell) {
    let mut command = Cli::command();
    let name = command.get_name().to_owned();
    clap_complete::generate(shell, &mut command, name, &mut std::io::stdout());
}
