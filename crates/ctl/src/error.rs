//! Errors of the command line and their exit codes.

use std::fmt;
use std::process::ExitCode;

use error_stack::{AttachmentKind, FrameKind, Report};

/// Reason why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CtlError {
    /// An argument or a file is invalid: a wrong path, branch, key or value. Exit
    /// code 2.
    BadInput,
    /// The platform is unreachable, or its answer is invalid. Exit code 1.
    Platform,
    /// The change was refused: another operator made one first, or the tree is
    /// invalid. Exit code 1.
    Refused,
    /// Not every daemon reported in time: the version that `watch` waits for, or the
    /// metrics that `mesh organisations` adds up. Exit code 1.
    Incomplete,
}

impl fmt::Display for CtlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            CtlError::BadInput => "bad input",
            CtlError::Platform => "platform call failed",
            CtlError::Refused => "refused",
            CtlError::Incomplete => "not every daemon reported in time",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for CtlError {}

impl CtlError {
    /// Returns the exit code of the process for this error.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CtlError::BadInput => ExitCode::from(2),
            CtlError::Platform | CtlError::Refused | CtlError::Incomplete => ExitCode::from(1),
        }
    }
}

/// Formats `report` for people: the failed step with its details on the first line,
/// then one line per cause. Backtraces are left out; `{report:?}` has them.
#[must_use]
pub fn format_report<C>(report: &Report<C>) -> String {
    let mut lines: Vec<String> = Vec::new();
    let mut details: Vec<String> = Vec::new();
    for frame in report.frames() {
        match frame.kind() {
            FrameKind::Context(context) => {
                let text = context.to_string();
                let line = match details.join(", ") {
                    none if none.is_empty() => text,
                    details => format!("{text} ({details})"),
                };
                details.clear();
                lines.push(line.trim_end().to_owned());
            }
            FrameKind::Attachment(AttachmentKind::Printable(attachment)) => {
                details.push(attachment.to_string());
            }
            FrameKind::Attachment(_) => {}
        }
    }
    lines.join("\n  cause: ")
}
