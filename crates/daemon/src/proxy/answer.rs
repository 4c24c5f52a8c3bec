//! Answers to callers, which come from a target or from the daemon itself.

use std::io::Cursor;

use rocket::http::Status;
use rocket::request::Request;
use rocket::response::{self, Responder, Response};

use super::{OUTCOME_HEADER, REQUEST_ID_HEADER};

/// Value of the `Retry-After` header of a `not-run` answer, in seconds.
pub const RETRY_AFTER_SECONDS: u32 = 1;
/// Outcome header value for a call that certainly did not run.
pub const NOT_RUN: &str = "not-run";
/// Outcome header value for a call that may have run.
pub const UNKNOWN: &str = "unknown";
/// Outcome header value for a call that ran before and is answered from its
/// record.
pub const REPLAYED: &str = "replayed";

/// An HTTP answer to a caller.
#[derive(Clone, Debug)]
pub struct ProxyAnswer {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

impl ProxyAnswer {
    /// Creates an answer that comes from the daemon, with `text` as its body.
    pub(super) fn local(status: u16, request_id: &str, text: &str) -> ProxyAnswer {
        let headers = vec![
            (REQUEST_ID_HEADER.to_owned(), request_id.to_owned()),
            (
                "content-type".to_owned(),
                "text/plain; charset=utf-8".to_owned(),
            ),
        ];
        ProxyAnswer {
            status,
            headers,
            body: format!("{text}\n").into_bytes(),
        }
    }

    /// Creates a 503 answer: the call certainly did not run, and the caller may
    /// retry after [`RETRY_AFTER_SECONDS`].
    pub(super) fn not_run(request_id: &str, text: &str) -> ProxyAnswer {
        Self::local(503, request_id, text)
            .with_header(OUTCOME_HEADER, NOT_RUN)
            .with_header("retry-after", &RETRY_AFTER_SECONDS.to_string())
    }

    /// Creates a 504 answer: the call may have run.
    pub(super) fn unknown(request_id: &str, text: &str) -> ProxyAnswer {
        Self::local(504, request_id, text).with_header(OUTCOME_HEADER, UNKNOWN)
    }

    /// Returns the answer with a header added.
    pub(super) fn with_header(mut self, name: &str, value: &str) -> ProxyAnswer {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the value of the first header called `name`. The comparison is
    /// case-sensitive.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header_name, _)| header_name == name)
            .map(|(_, value)| value.as_str())
    }
}

impl<'r> Responder<'r, 'static> for ProxyAnswer {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let mut builder = Response::build();
        builder.status(Status::new(self.status));
        for (name, value) in self.headers {
            builder.raw_header(name, value);
        }
        builder.sized_body(self.body.len(), Cursor::new(self.body));
        Ok(builder.finalize())
    }
}
