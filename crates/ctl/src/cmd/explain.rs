//! `filbertctl explain REQUEST-ID FILE...`: what became of one call.

use std::path::PathBuf;

use error_stack::{Report, ResultExt};

use crate::error::CtlError;
use crate::explain::{story_of, LogLine};
use crate::store::CtlResult;

pub(super) fn run(id: &str, files: &[PathBuf]) -> CtlResult<()> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .change_context(CtlError::BadInput)
            .attach(format!("log file {}", file.display()))?;
        let name = file.display().to_string();
        lines.extend(text.lines().filter_map(|line| LogLine::parse(line, &name)));
    }
    let story = story_of(id, &lines).ok_or_else(|| {
        Report::new(CtlError::BadInput).attach(format!(
            "no line of these logs names request {id}: ordinary successes are only sampled"
        ))
    })?;
    print!("{story}");
    Ok(())
}
