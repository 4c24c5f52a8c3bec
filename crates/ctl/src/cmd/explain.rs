//! `filbertctl explain REQUEST LOGS...`: shows what happened to one call.

use std::path::PathBuf;

use error_stack::{Report, ResultExt};

use crate::error::CtlError;
use crate::explain::{trace_call, LogLine};
use crate::store::CtlResult;

pub(super) fn run(id: &str, log_paths: &[PathBuf]) -> CtlResult<()> {
    let mut lines = Vec::new();
    for path in log_paths {
        let text = std::fs::read_to_string(path)
            .change_context(CtlError::BadInput)
            .attach(format!("log file {}", path.display()))?;
        let source = path.display().to_string();
        lines.extend(
            text.lines()
                .filter_map(|line| LogLine::parse(line, &source)),
        );
    }
    let trace = trace_call(id, &lines).ok_or_else(|| {
        Report::new(CtlError::BadInput).attach(format!(
            "no log line mentions request or call {id}; of ordinary successes, only a sample is logged"
        ))
    })?;
    print!("{trace}");
    Ok(())
}
