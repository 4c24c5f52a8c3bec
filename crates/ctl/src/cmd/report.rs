//! `filbertctl report sample` and `filbertctl report burn`.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};

use crate::cli::{BurnArgs, ReportCommand};
use crate::error::CtlError;
use crate::report::burn::{BurnReport, BurnSettings};
use crate::report::plot::burn_svg;
use crate::report::sample::CallSample;
use crate::store::CtlResult;

/// How long one daemon may take to answer.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) async fn run(command: ReportCommand) -> CtlResult<()> {
    match command {
        ReportCommand::Sample { daemon, out } => sample(&daemon, &out).await,
        ReportCommand::Burn(args) => burn(&args),
    }
}

/// Appends one sample of each daemon to the file. A daemon that does not
/// answer is named and passed over.
async fn sample(daemons: &[String], out: &Path) -> CtlResult<()> {
    let http = reqwest::Client::new();
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs());
    let mut lines = String::new();
    for daemon in daemons {
        match metrics(&http, daemon).await {
            Ok(metrics) => {
                let sample = CallSample::from_metrics(at, daemon, &metrics);
                lines.push_str(&serde_json::to_string(&sample).change_context(CtlError::Platform)?);
                lines.push('\n');
            }
            Err(error) => eprintln!("filbertctl: {daemon} gave no counters: {error}"),
        }
    }
    let taken = lines.lines().count();
    let mut file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(out)
        .change_context(CtlError::BadInput)
        .attach(format!("file {}", out.display()))?;
    file.write_all(lines.as_bytes())
        .change_context(CtlError::BadInput)
        .attach(format!("file {}", out.display()))?;
    println!("{taken} of {} daemons sampled", daemons.len());
    Ok(())
}

async fn metrics(http: &reqwest::Client, daemon: &str) -> reqwest::Result<BTreeMap<String, u64>> {
    let url = format!("{}/metrics", daemon.trim_end_matches('/'));
    http.get(url)
        .timeout(DAEMON_TIMEOUT)
        .send()
        .await?
        .error_for_status()?
        .json()
        .await
}

fn burn(args: &BurnArgs) -> CtlResult<()> {
    if !(0.0..1.0).contains(&args.objective) {
        return Err(Report::new(CtlError::BadInput)
            .attach("the objective must be at least 0 and below 1, such as 0.999"));
    }
    let settings = BurnSettings {
        objective: args.objective,
        short: Duration::from_secs(args.short),
        long: Duration::from_secs(args.long),
    };
    let report = BurnReport::new(&read_samples(&args.samples)?, settings).ok_or_else(|| {
        Report::new(CtlError::BadInput)
            .attach(format!("file {} holds no samples", args.samples.display()))
    })?;
    print!("{report}");
    if let Some(path) = &args.svg {
        write_plot(&report, path)?;
    }
    Ok(())
}

fn read_samples(path: &Path) -> CtlResult<Vec<CallSample>> {
    let text = std::fs::read_to_string(path)
        .change_context(CtlError::BadInput)
        .attach(format!("file {}", path.display()))?;
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| {
            serde_json::from_str(line)
                .change_context(CtlError::BadInput)
                .attach(format!("file {}, line {}", path.display(), index + 1))
        })
        .collect()
}

fn write_plot(report: &BurnReport, path: &PathBuf) -> CtlResult<()> {
    let svg = burn_svg(report).change_context(CtlError::BadInput)?;
    std::fs::write(path, svg)
        .change_context(CtlError::BadInput)
        .attach(format!("file {}", path.display()))?;
    println!("plot written to {}", path.display());
    Ok(())
}
