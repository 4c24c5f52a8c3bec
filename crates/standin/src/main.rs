//! `filbert-standin`: runs the platform stand-in as a process of its own, or
//! the local demo.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Stand-ins for filbertladder's tests and demo. Not shipped.
#[derive(Debug, Parser)]
#[command(name = "filbert-standin", version, about)]
struct Args {
    #[command(subcommand)]
    command: StandinCommand,
}

#[derive(Debug, Subcommand)]
enum StandinCommand {
    /// Serve the platform stand-in (table and object store) on a port.
    Platform {
        /// Loopback port to listen on.
        #[arg(long, default_value_t = 7000)]
        port: u16,
    },
    /// Run the local demo with the filbertd built beside this binary.
    Demo,
}

#[rocket::main]
async fn main() -> ExitCode {
    error_stack::Report::set_color_mode(error_stack::fmt::ColorMode::None);
    filbert_standin::init_error_logger();
    match Args::parse().command {
        StandinCommand::Platform { port } => {
            let store = std::sync::Arc::default();
            println!("platform stand-in on http://127.0.0.1:{port}");
            match filbert_standin::platform::server(port, store)
                .launch()
                .await
            {
                Ok(_) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("filbert-standin: {error}");
                    ExitCode::FAILURE
                }
            }
        }
        StandinCommand::Demo => {
            let Some(daemon_exe) = std::env::current_exe()
                .ok()
                .and_then(|exe| exe.parent().map(|dir| dir.join("filbertd")))
                .filter(|path| path.exists())
            else {
                eprintln!("filbert-standin: filbertd is not built beside this binary; run `cargo build --release --workspace` first");
                return ExitCode::from(2);
            };
            match filbert_standin::demo::run(&daemon_exe).await {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("filbert-standin: demo failed: {error}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}
