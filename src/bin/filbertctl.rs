//! Entry point of `filbertctl`: parses the arguments, runs the subcommand, and reports
//! errors on standard error.

use std::process::ExitCode;

use clap::Parser;
use filbert_ctl::error::format_report;
use filbert_ctl::{cmd, Cli};

fn main() -> ExitCode {
    error_stack::Report::set_color_mode(error_stack::fmt::ColorMode::None);
    let cli = Cli::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("filbertctl: cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(cmd::run(cli)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("filbertctl: {}", format_report(&report));
            report.current_context().exit_code()
        }
    }
}
