//! Command-line arguments.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use filbert_policy::identity::CallIdentity;

/// Port of the daemons' metrics, unless told otherwise.
const METRICS_PORT: u16 = 9464;

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
    /// The command.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Replace the pending tree with a TOML file's tree.
    Edit {
        /// The settings tree file.
        #[arg(long)]
        file: PathBuf,
    },
    /// Set one key of a branch in the pending tree.
    Set {
        /// The branch: site, site/MEMBER, site/MEMBER/SERVICE or site/MEMBER/SERVICE/ROUTE.
        branch: String,
        /// The key, such as `timeout_ms`.
        key: String,
        /// The new value.
        value: String,
    },
    /// Remove a branch and everything below it from the pending tree.
    Remove {
        /// The branch.
        branch: String,
    },
    /// Show a branch of the version in force (or of the pending tree).
    Show {
        /// The branch; the whole tree when left out.
        branch: Option<String>,
        /// Show settings after inheritance.
        #[arg(long)]
        resolved: bool,
        /// Show the pending tree instead of the version in force.
        #[arg(long)]
        pending: bool,
        /// How to print it.
        #[arg(long, value_enum, default_value_t = ReadFormat::Text)]
        output: ReadFormat,
    },
    /// Show what accepting the pending tree would change.
    Diff,
    /// Accept the pending tree as a new version.
    Accept {
        /// Refuse unless the version in force is this one.
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Wait until every proxy reports a version in force.
    Watch {
        /// The version to wait for; the current one when left out.
        version: Option<u64>,
        /// Give up after this many seconds.
        #[arg(long, default_value_t = 30)]
        timeout: u64,
    },
    /// Put the previous version's content back in force, as a new version.
    Withdraw {
        /// Refuse unless the version in force is this one.
        #[arg(long)]
        expect: Option<u64>,
    },
    /// List the proxies and the version each has in force.
    Status {
        /// How to print them.
        #[arg(long, value_enum, default_value_t = ReadFormat::Text)]
        output: ReadFormat,
    },
    /// Print the completions of a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Read the configuration and the hosts on the users' platform.
    Mesh {
        /// The platform's store, IP:PORT.
        #[arg(long, env = "FILBERT_STORE")]
        store: String,
        /// The command.
        #[command(subcommand)]
        command: MeshCommand,
    },
    /// Tell what became of one call, from the logs of the daemons it crossed.
    Explain {
        /// The call's request id.
        request: String,
        /// Log files, of one daemon or of several.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Reports made from the daemons' counters.
    Report {
        /// The report.
        #[command(subcommand)]
        report: ReportCommand,
    },
}

/// The commands on the users' platform. All but `release` read only.
#[derive(Debug, Subcommand)]
pub enum MeshCommand {
    /// Show the configuration in the store as a tree.
    Show {
        /// Only what lies below this path: HOST, HOST/SERVICE or HOST/SERVICE/ROUTE.
        #[arg(default_value = "")]
        below: String,
        /// How to print it; `raw` as the operator wrote it, for `diff`.
        #[arg(long, value_enum, default_value_t = ConfigFormat::Text)]
        output: ConfigFormat,
    },
    /// Show what changed from a configuration saved earlier with `--output raw`.
    Diff {
        /// The saved configuration.
        older: PathBuf,
    },
    /// List the hosts and where their daemons are.
    Hosts {
        /// How to print them.
        #[arg(long, value_enum, default_value_t = ReadFormat::Text)]
        output: ReadFormat,
    },
    /// Show what each host's daemon has in force and how busy its target is.
    Status {
        /// Port of the daemons' metrics.
        #[arg(long, default_value_t = METRICS_PORT)]
        metrics_port: u16,
        /// How to print it.
        #[arg(long, value_enum, default_value_t = ReadFormat::Text)]
        output: ReadFormat,
    },
    /// List the calls that are held back because targets ended under them.
    Held {
        /// How to print them.
        #[arg(long, value_enum, default_value_t = ReadFormat::Text)]
        output: ReadFormat,
    },
    /// Show how far roll-outs of software versions are, and why.
    Rollout {
        /// Only this service's.
        service: Option<String>,
        /// How to print them.
        #[arg(long, value_enum, default_value_t = ReadFormat::Text)]
        output: ReadFormat,
    },
    /// List the organisations: their limits, and what became of their calls.
    Organisations {
        /// Port of the daemons' metrics.
        #[arg(long, default_value_t = METRICS_PORT)]
        metrics_port: u16,
        /// How to print them.
        #[arg(long, value_enum, default_value_t = ReadFormat::Text)]
        output: ReadFormat,
    },
    /// Let a call that is held back go.
    Release {
        /// The call, as `held` lists it and logs name it (`call=`).
        call: CallIdentity,
    },
    /// Wait until a version is in force on every host.
    Watch {
        /// The version's number; the one in the store when left out.
        version: Option<u64>,
        /// Port of the daemons' metrics.
        #[arg(long, default_value_t = METRICS_PORT)]
        metrics_port: u16,
        /// Give up after this many seconds.
        #[arg(long, default_value_t = 30)]
        timeout: u64,
    },
}

/// How a reading command prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ReadFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// How a configuration is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ConfigFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
    /// As it lies in the store.
    Raw,
}

/// The reports.
#[derive(Debug, Subcommand)]
pub enum ReportCommand {
    /// Append one sample of each daemon's call counters to a file.
    Sample {
        /// Admin URL of a daemon, such as `http://10.0.0.5:7101`; once per daemon.
        #[arg(long, required = true)]
        daemon: Vec<String>,
        /// The file, one JSON object a line.
        #[arg(long)]
        out: PathBuf,
    },
    /// Show how fast each service uses up its error budget.
    Burn(BurnArgs),
}

/// Arguments of `report burn`.
#[derive(Debug, Args)]
pub struct BurnArgs {
    /// The file that `report sample` wrote.
    #[arg(long)]
    pub samples: PathBuf,
    /// Share of calls that must end well.
    #[arg(long, default_value_t = 0.999)]
    pub objective: f64,
    /// The short window, in seconds.
    #[arg(long, default_value_t = 300)]
    pub short: u64,
    /// The long window, in seconds.
    #[arg(long, default_value_t = 3_600)]
    pub long: u64,
    /// Also draw the burn rates over time into this SVG file.
    #[arg(long)]
    pub svg: Option<PathBuf>,
}
