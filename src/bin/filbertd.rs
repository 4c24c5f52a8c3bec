//! Entry point of `filbertd`: parses the arguments, loads the settings, and runs the
//! daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use error_stack::Report;
use filbert_ctl::error::format_report;
use filbert_daemon::DaemonSettings;
use filbert_mesh::{logging, MeshSettings};
use nix::sys::signal::{signal, SigHandler, Signal};

/// Number of worker threads of the daemon with filbertladder's own store. It is small, as
/// the host's processors are for the target.
const WORKER_THREADS: usize = 2;

/// The filbertladder daemon, which runs on each host with a target.
#[derive(Debug, Parser)]
#[command(
    name = "filbertd",
    version,
    about,
    args_conflicts_with_subcommands = true
)]
struct Args {
    /// Settings file (TOML) of a daemon with filbertladder's own store.
    #[arg(long, required = true)]
    config: Option<PathBuf>,
    /// Log filter, such as `info` or `debug`; `RUST_LOG` overrides it.
    #[arg(long, default_value = "info")]
    log: String,
    #[command(subcommand)]
    mode: Option<Mode>,
}

#[derive(Debug, Subcommand)]
enum Mode {
    /// Run the daemon on the users' platform.
    Mesh {
        /// Settings file (TOML) of the daemon.
        #[arg(long, env = filbert_platform::SETTINGS_PATH_VARIABLE)]
        settings: PathBuf,
        /// Check the settings file and exit.
        #[arg(long)]
        check: bool,
        /// Log filter, such as `info` or `debug`; `RUST_LOG` overrides it.
        #[arg(long, default_value = "info")]
        log: String,
    },
}

fn main() -> ExitCode {
    ignore_hangups();
    error_stack::Report::set_color_mode(error_stack::fmt::ColorMode::None);
    let args = Args::parse();
    match (args.mode, args.config) {
        (
            Some(Mode::Mesh {
                settings,
                check,
                log,
            }),
            _,
        ) => run_mesh(settings, check, &log),
        (None, Some(config)) => run_with_own_store(&config, &args.log),
        (None, None) => {
            eprintln!("filbertd: no settings file given; use `--config` or the `mesh` subcommand");
            ExitCode::from(2)
        }
    }
}

/// Ignores SIGHUP until a daemon handles it. The settings may change while the process
/// starts, and by default the signal ends it.
fn ignore_hangups() {
    // SAFETY: no handler runs, and no other thread has started. Without the call, the default
    // stays in force.
    let _ = unsafe { signal(Signal::SIGHUP, SigHandler::SigIgn) };
}

/// Runs the daemon on the users' platform, or only checks its settings file.
fn run_mesh(path: PathBuf, check: bool, log: &str) -> ExitCode {
    let settings = match MeshSettings::load(&path) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("filbertd: {}", format_report(&report));
            return ExitCode::from(2);
        }
    };
    if check {
        println!("{}: the settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    let _logger = logging::start(log);
    // A single thread: the host gives the daemon a fifth of a core, and tasks on one
    // thread need no locks.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    run_to_exit_code(runtime, |runtime| {
        runtime.block_on(filbert_mesh::run(settings, path))
    })
}

/// Runs the daemon with filbertladder's own store.
fn run_with_own_store(path: &std::path::Path, log: &str) -> ExitCode {
    let settings = match DaemonSettings::load(path) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("filbertd: {}", format_report(&report));
            return ExitCode::from(2);
        }
    };
    let _logger = logging::start(log);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    run_to_exit_code(runtime, |runtime| {
        runtime.block_on(filbert_daemon::run(settings))
    })
}

/// Calls `run` with the runtime, reports an error on standard error, and returns the exit
/// code of the process.
fn run_to_exit_code<C>(
    runtime: std::io::Result<tokio::runtime::Runtime>,
    run: impl FnOnce(&tokio::runtime::Runtime) -> Result<(), Report<C>>,
) -> ExitCode {
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("filbertd: cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match run(&runtime) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("filbertd: {}", format_report(&report));
            ExitCode::FAILURE
        }
    }
}
