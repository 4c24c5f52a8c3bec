//! Log set-up: one `key=value` line per change of state, on standard error.

use flexi_logger::{DeferredNow, Logger, LoggerHandle};

/// Libraries whose own lines are not changes of the daemon's state: only
/// their warnings, and of rocket its errors, are kept.
const LIBRARY_LEVELS: &str = "rocket=error,_=error,hyper=warn,reqwest=warn";

/// Starts logging at `spec` (such as `info`), overridable with `RUST_LOG`.
/// Returns `None` when a logger was already set, as in tests.
#[must_use]
pub fn start(spec: &str) -> Option<LoggerHandle> {
    Logger::try_with_env_or_str(format!("{spec},{LIBRARY_LEVELS}"))
        .ok()?
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
        "ts={} level={} module={} {}",
        now.format_rfc3339(),
        record.level().as_str().to_lowercase(),
        record.module_path().unwrap_or("-"),
        record.args()
    )
}
