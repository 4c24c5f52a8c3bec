//! `filbertctl report sample` and `filbertctl report burn`: samples the daemons' call
//! counters, and reports burn rates from the samples.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};

use super::answer::answer_text;
use crate::cli::{BurnArgs, ReportCommand};
use crate::error::CtlError;
use crate::report::burn::{BurnReport, BurnSettings};
use crate::report::plot::burn_svg;
use crate::report::sample::CallSample;
use crate::store::CtlResult;

/// Timeout of a request for one daemon's metrics.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) async fn run(command: ReportCommand) -> CtlResult<()> {
    match command {
        ReportCommand::Sample { daemon, out } => sample(&daemon, &out).await,
        ReportCommand::Burn(args) => burn(&args),
    }
}

/// Appends one sample of each daemon to the file `out`. Daemons that do not answer are
/// skipped with a message on standard error.
async fn sample(daemons: &[String], out: &Path) -> CtlResult<()> {
    let http = reqwest::Client::builder()
        .no_proxy()
        .build()
        .change_context(CtlError::Platform)?;
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_secs());
    let mut lines = String::new();
    for daemon in daemons {
        match fetch_counters(&http, daemon).await {
            Ok(counters) => {
                let sample = CallSample::from_metrics(at, daemon, &counters);
                lines.push_str(&serde_json::to_string(&sample).change_context(CtlError::Platform)?);
                lines.push('\n');
            }
            Err(error) => eprintln!("filbertctl: cannot read the counters of {daemon}: {error}"),
        }
    }
    let sampled = lines.lines().count();
    let mut file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(out)
        .change_context(CtlError::BadInput)
        .attach(format!("file {}", out.display()))?;
    file.write_all(lines.as_bytes())
        .change_context(CtlError::BadInput)
        .attach(format!("file {}", out.display()))?;
    println!("{sampled} of {} daemons sampled", daemons.len());
    Ok(())
}

/// Fetches the counters in a daemon's `/metrics`, by name.
async fn fetch_counters(http: &reqwest::Client, daemon: &str) -> CtlResult<BTreeMap<String, u64>> {
    let url = format!("{}/metrics", daemon.trim_end_matches('/'));
    let text = answer_text(http.get(url).timeout(DAEMON_TIMEOUT)).await?;
    serde_json::from_str(&text).change_context(CtlError::Platform)
}

fn burn(args: &BurnArgs) -> CtlResult<()> {
    if !(0.0..1.0).contains(&args.objective) {
        return Err(Report::new(CtlError::BadInput)
            .attach("the objective must be at least 0 and below 1, for example 0.999"));
    }
    let settings = BurnSettings {
        objective: args.objective,
        short: Duration::from_secs(args.short),
        long: Duration::from_secs(args.long),
    };
    let report = BurnReport::new(&read_samples(&args.samples)?, settings).ok_or_else(|| {
        Report::new(CtlError::BadInput).attach(format!(
            "file {} contains no samples",
            args.samples.display()
        ))
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
