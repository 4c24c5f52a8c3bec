//! The command line's errors and the exit codes they map to.

use std::fmt;
use std::process::ExitCode;

use error_stack::{AttachmentKind, FrameKind, Report};

/// Why a command did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CtlError {
    /// The input was wrong: a bad file, branch, key or value. Exit code 2.
    BadInput,
    /// The platform could not be reached or answered badly. Exit code 1.
    Platform,
    /// The request was refused: another operator won a race, or the tree is
    /// invalid. Exit code 1.
    Refused,
    /// A watch ran out of time before every proxy reported. Exit code 1.
    NotSettled,
}

impl fmt::Display for CtlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            CtlError::BadInput => "bad input",
            CtlError::Platform => "platform call failed",
            CtlError::Refused => "refused",
            CtlError::NotSettled => "not settled in time",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for CtlError {}

impl CtlError {
    /// The process exit code for this error.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CtlError::BadInput => ExitCode::from(2),
            CtlError::Platform | CtlError::Refused | CtlError::NotSettled => ExitCode::from(1),
        }
    }
}

/// A report as a person reads it: what failed and where in one line, the causes
/// below it, no backtrace (that is for `{report:?}`).
#[must_use]
pub fn format_report<C>(report: &Report<C>) -> String {
    let mut lines: Vec<String> = Vec::new();
    let mut details: Vec<String> = Vec::new();
    for frame in report.frames() {
        match frame.kind() {
            FrameKind::Context(context) => {
                let text = context.to_string();
                let whole = match details.join(", ") {
                    none if none.is_empty() => text,
                    details => format!("{text} ({details})"),
                };
                details.clear();
                lines.push(whole.trim_end().to_owned());
            }
            FrameKind::Attachment(AttachmentKind::Printable(attachment)) => {
                details.push(attachment.to_string());
            }
            FrameKind::Attachment(_) => {}
        }
    }
    lines.join("\n  cause: ")
}
