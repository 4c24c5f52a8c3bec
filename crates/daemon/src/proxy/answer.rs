//! Answers to callers: a target's, passed on whole, or the daemon's own.

use std::io::Cursor;

use rocket::http::Status;
use rocket::request::Request;
use rocket::response::{self, Responder, Response};

use super::{OUTCOME_HEADER, REQUEST_ID_HEADER};

/// Seconds a caller should wait before asking again after a `not-run` answer.
pub const RETRY_AFTER_SECONDS: u32 = 1;
/// The outcome of a call that certainly did not run.
pub const NOT_RUN: &str = "not-run";
/// The outcome of a call that may have run.
pub const UNKNOWN: &str = "unknown";
/// The outcome of a call that ran before, whose recorded answer this is.
pub const REPLAYED: &str = "replayed";

/// An answer to a caller.
#[derive(Clone, Debug)]
pub struct ProxyAnswer {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

impl ProxyAnswer {
    /// An answer of the daemon's own.
    pub(super) fn own(status: u16, request_id: &str, text: &str) -> ProxyAnswer {
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

    /// The call certainly reached no target that ran it; come back soon.
    pub(super) fn not_run(request_id: &str, text: &str) -> ProxyAnswer {
        Self::own(503, request_id, text)
            .with(OUTCOME_HEADER, NOT_RUN)
            .with("retry-after", &RETRY_AFTER_SECONDS.to_string())
    }

    /// The call may or may not have run.
    pub(super) fn unknown(request_id: &str, text: &str) -> ProxyAnswer {
        Self::own(504, request_id, text).with(OUTCOME_HEADER, UNKNOWN)
    }

    /// Adds a header.
    pub(super) fn with(mut self, name: &str, value: &str) -> ProxyAnswer {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The first header of this name.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
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
