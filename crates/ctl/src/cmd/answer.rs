//! Reads what daemons answer.

use error_stack::{Report, ResultExt};
use reqwest::{RequestBuilder, StatusCode};

use crate::error::CtlError;
use crate::store::CtlResult;

/// Maximum size in bytes of an answer: far above the metrics of a daemon that knows all hosts.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Sends `request` and returns the text of the answer.
///
/// # Errors
/// [`CtlError::Platform`] if no whole answer comes, one that is longer than [`MAX_ANSWER_BYTES`],
/// or one whose status is not 200. The HTTP library also takes statuses that no answer has, up to
/// 999.
pub(super) async fn answer_text(request: RequestBuilder) -> CtlResult<String> {
    let mut response = request.send().await.change_context(CtlError::Platform)?;
    let status = response.status();
    if status != StatusCode::OK {
        return Err(Report::new(CtlError::Platform).attach(format!("status {status}")));
    }
    let mut body = Vec::new();
    while let Some(part) = response.chunk().await.change_context(CtlError::Platform)? {
        if body.len() + part.len() > MAX_ANSWER_BYTES {
            return Err(Report::new(CtlError::Platform).attach("the answer is too long"));
        }
        body.extend_from_slice(&part);
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}
