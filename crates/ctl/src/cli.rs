//! Command-line arguments.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use filbert_policy::identity::CallIdentity;

/// Default port on which daemons serve their metrics.
const DEFAULT_METRICS_PORT: u16 = 9464;

/// Edit, accept, watch and withdraw filbertladder settings.
#[derive(Debug, Parser)]
#[command(name = "filbertctl", version, about)]
pub struct Cli {
    /// Base URL of the platform's table and object store.
    #[arg(
        long,
        env = "FILBERT_PLATFORM",
        default_value = "http://127.0.0.1:7000"
    )]
    pub platform: String,
    /// The subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands of `filbertctl`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Replace the pending tree with the settings tree in a TOML file.
    Edit {
        /// Path of the TOML file.
        #[arg(long)]
        file: PathBuf,
    },
    /// Set one key of a branch in the pending tree.
    Set {
        /// Branch to edit: site, site/MEMBER, site/MEMBER/SERVICE or site/MEMBER/SERVICE/ROUTE.
        branch: String,
        /// Key to set, such as `timeout_ms`.
        key: String,
        /// New value of the key.
        value: String,
    },
    /// Remove a branch and everything below it from the pending tree.
    Remove {
        /// Branch to remove.
        branch: String,
    },
    /// Show a branch of the version in force, or of the pending tree.
    Show {
        /// Branch to show; the whole tree by default.
        branch: Option<String>,
        /// Include the settings that the branch inherits.
        #[arg(long)]
        resolved: bool,
        /// Show the pending tree instead of the version in force.
        #[arg(long)]
        pending: bool,
        /// Output format.
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        output: OutputFormat,
    },
    /// Show what accepting the pending tree would change.
    Diff,
    /// Accept the pending tree as a new version.
    Accept {
        /// Fail unless the version in force has this number.
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Wait until every live daemon has applied a version.
    Watch {
        /// Number of the version to wait for; the version in force by default.
        version: Option<u64>,
        /// Maximum time to wait, in seconds.
        #[arg(long, default_value_t = 30)]
        timeout: u64,
    },
    /// Restore the content of the previous version, as a new version.
    Withdraw {
        /// Fail unless the version in force has this number.
        #[arg(long)]
        expect: Option<u64>,
    },
    /// List the daemons and the version that each has applied.
    Status {
        /// Output format.
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        output: OutputFormat,
    },
    /// Print the completion script of a shell.
    Completions {
        /// Shell to print the script for.
        shell: Shell,
    },
    /// Inspect the configuration, hosts and calls on the users' platform.
    Mesh {
        /// Address of the platform's store, as IP:PORT.
        #[arg(long, env = "FILBERT_STORE")]
        store: String,
        /// The subcommand to run.
        #[command(subcommand)]
        command: MeshCommand,
    },
    /// Show what happened to one call, from the logs of the daemons that handled it.
    Explain {
        /// Request id, or the identity of a call (`call=` in the logs).
        request: String,
        /// Log files of one or more daemons.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Create reports from the daemons' call counters.
    Report {
        /// The report to create.
        #[command(subcommand)]
        report: ReportCommand,
    },
}

/// The subcommands of `filbertctl mesh`. Only `release` writes to the store.
#[derive(Debug, Subcommand)]
pub enum MeshCommand {
    /// Show the configuration in the store as a tree.
    Show {
        /// Show only routes whose path starts with this: HOST, HOST/SERVICE or HOST/SERVICE/ROUTE.
        #[arg(default_value = "")]
        below: String,
        /// Output format; `raw` is the text that `diff` reads.
        #[arg(long, value_enum, default_value_t = ConfigFormat::Text)]
        output: ConfigFormat,
    },
    /// Show what changed since a configuration saved with `show --output raw`.
    Diff {
        /// File with the saved configuration.
        older: PathBuf,
    },
    /// List the hosts with their availability zones and daemon addresses.
    Hosts {
        /// Output format.
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        output: OutputFormat,
    },
    /// Show each daemon's version in force and the load of its target.
    Status {
        /// Port on which the daemons serve their metrics.
        #[arg(long, default_value_t = DEFAULT_METRICS_PORT)]
        metrics_port: u16,
        /// Output format.
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        output: OutputFormat,
    },
    /// List the calls that are held back because they crashed targets.
    Held {
        /// Output format.
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        output: OutputFormat,
    },
    /// Show the stage of each software roll-out and the reason for it.
    Rollout {
        /// Show only the roll-out of this service.
        service: Option<String>,
        /// Output format.
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        output: OutputFormat,
    },
    /// List the organisations with their limits and the counts of their calls and tokens.
    Organisations {
        /// Port on which the daemons serve their metrics.
        #[arg(long, default_value_t = DEFAULT_METRICS_PORT)]
        metrics_port: u16,
        /// Output format.
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        output: OutputFormat,
        /// Short for `--output json`.
        #[arg(long, conflicts_with = "output")]
        json: bool,
    },
    /// List the load of the services that use most of their capacity, by availability zone.
    Services {
        /// Port on which the daemons serve their metrics.
        #[arg(long, default_value_t = DEFAULT_METRICS_PORT)]
        metrics_port: u16,
        /// Output format.
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        output: OutputFormat,
    },
    /// Release a call that is held back.
    Release {
        /// Identity of the call, as listed by `held` and logged as `call=`.
        call: CallIdentity,
    },
    /// Wait until a version is in force on every host.
    Watch {
        /// Number of the version; the version in the store by default.
        version: Option<u64>,
        /// Port on which the daemons serve their metrics.
        #[arg(long, default_value_t = DEFAULT_METRICS_PORT)]
        metrics_port: u16,
        /// Maximum time to wait, in seconds.
        #[arg(long, default_value_t = 30)]
        timeout: u64,
    },
}

/// Output format of the commands that show or list something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

/// Output format of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ConfigFormat {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
    /// Text as stored, unchanged.
    Raw,
}

/// The subcommands of `filbertctl report`.
#[derive(Debug, Subcommand)]
pub enum ReportCommand {
    /// Append a sample of each daemon's call counters to a file.
    Sample {
        /// Admin URL of a daemon, such as `http://10.0.0.5:7101`; repeat it for each daemon.
        #[arg(long, required = true)]
        daemon: Vec<String>,
        /// File to append to, with one JSON object per line.
        #[arg(long)]
        out: PathBuf,
    },
    /// Show the rate at which each service uses up its error budget.
    Burn(BurnArgs),
}

/// Arguments of `report burn`.
#[derive(Debug, Args)]
pub struct BurnArgs {
    /// File written by `report sample`.
    #[arg(long)]
    pub samples: PathBuf,
    /// Fraction of calls that must succeed: at least 0 and below 1.
    #[arg(long, default_value_t = 0.999)]
    pub objective: f64,
    /// Length of the short window in seconds.
    #[arg(long, default_value_t = 300)]
    pub short: u64,
    /// Length of the long window in seconds.
    #[arg(long, default_value_t = 3_600)]
    pub long: u64,
    /// Also plot the burn rates over time to this SVG file.
    #[arg(long)]
    pub svg: Option<PathBuf>,
}
