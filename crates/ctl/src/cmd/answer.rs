//! Reads what daemons answer.

use error_stack::{Report, ResultExt};
use reqwest::{RequestBuilder, StatusCode};

use crate::error::CtlError;
use crate::store::CtlResult;

/// Sends `request` and returns the text of the answer.
///
/// # Errors
/// [`CtlError::Platform`] if no whole answer comes, or one whose status is not 200. The HTTP
/// library also takes statuses that no answer has, up to 999.
pub(super) async fn answer_text(request: RequestBuilder) -> CtlResult<String> {
    let response = request.send().await.change_context(CtlError::Platform)?;
    let status = response.status();
    if status != StatusCode::OK {
        return Err(Report::new(CtlError::Platform).attach(format!("status {status}")));
    }
    response.text().await.change_context(CtlError::Platform)
}
