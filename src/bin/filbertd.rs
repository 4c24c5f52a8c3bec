//! filbertd: parses its arguments, loads its settings, and runs the daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use filbert_daemon::{logging, DaemonSettings};

/// Threads that run the daemon's tasks. Its host's processors belong to the
/// target beside it.
const WORKER_THREADS: usize = 2;

/// The filbertladder daemon: one per target host.
#[derive(Debug, Parser)]
#[command(name = "filbertd", version, about)]
struct Args {
    /// The daemon's settings file (TOML).
    #[arg(long)]
    config: PathBuf,
    /// Log filter, such as `info` or `debug`; `RUST_LOG` overrides it.
    #[arg(long, default_value = "info")]
    log: String,
}

fn main() -> ExitCode {
    error_stack::Report::set_color_mode(error_stack::fmt::ColorMode::None);
    let args = Args::parse();
    let settings = match DaemonSettings::load(&args.config) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("filbertd: {report:?}");
            return ExitCode::from(2);
        }
    };
    let _logger = logging::start(&args.log);
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("filbertd: cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(filbert_daemon::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("filbertd: {report:?}");
            ExitCode::FAILURE
        }
    }
}
