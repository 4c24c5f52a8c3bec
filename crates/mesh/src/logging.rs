//! Log set-up: one `key=value` line per decision or change of belief, on
//! standard output.

use flexi_logger::{DeferredNow, Logger, LoggerHandle};

/// Libraries whose own lines say nothing about the daemon's decisions.
const LIBRARY_LEVELS: &str = "h2=warn,hyper=warn,reqwest=warn,hyper_util=warn";

/// Starts logging at `spec` (such as `info`), overridable with `RUST_LOG`.
/// Returns `None` when a logger was already set, as in tests.
#[must_use]
pub fn start(spec: &str) -> Option<LoggerHandle> {
    Logger::try_with_env_or_str(format!("{spec},{LIBRARY_LEVELS}"))
        .ok()?
        .log_to_stdout()
        .format(line_format)
        .start()
        .ok()
}

fn line_format(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    write!(
        writer,
        "ts={} level={} {}",
        now.format_rfc3339(),
        record.level().as_str().to_lowercase(),
        record.args()
    )
}
