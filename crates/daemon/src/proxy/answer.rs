//! Answers to callers, which come from a target or from the daemon itself.

use std::io::{self, Cursor, SeekFrom};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use rocket::http::Status;
use rocket::request::Request;
use rocket::response::{self, Responder, Response};
use rocket::tokio::io::{AsyncRead, AsyncSeek, ReadBuf};

use super::{OUTCOME_HEADER, REQUEST_ID_HEADER};
use crate::clients::ClientCall;

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
    /// Whether it comes from the daemon, and not from a target or a record of its answer.
    pub(super) is_local: bool,
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
            is_local: true,
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

impl ProxyAnswer {
    /// The response, whose body belongs to `call` until it is written.
    fn into_response(self, call: Option<Arc<ClientCall>>) -> Response<'static> {
        let mut builder = Response::build();
        builder.status(Status::new(self.status));
        for (name, value) in self.headers {
            builder.raw_header(name, value);
        }
        let length = self.body.len();
        let body = HeldBody {
            bytes: Cursor::new(self.body),
            _call: call,
        };
        builder.sized_body(length, body);
        builder.finalize()
    }
}

impl<'r> Responder<'r, 'static> for ProxyAnswer {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        Ok(self.into_response(None))
    }
}

/// An answer whose call goes on until the answer is written.
pub(super) struct HeldAnswer {
    answer: ProxyAnswer,
    call: Arc<ClientCall>,
}

impl HeldAnswer {
    pub(super) fn new(answer: ProxyAnswer, call: Arc<ClientCall>) -> HeldAnswer {
        HeldAnswer { answer, call }
    }
}

impl<'r> Responder<'r, 'static> for HeldAnswer {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        Ok(self.answer.into_response(Some(self.call)))
    }
}

/// Body of a response, which keeps its call in progress.
struct HeldBody {
    bytes: Cursor<Vec<u8>>,
    _call: Option<Arc<ClientCall>>,
}

impl AsyncRead for HeldBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.bytes).poll_read(context, buffer)
    }
}

impl AsyncSeek for HeldBody {
    fn start_seek(mut self: Pin<&mut Self>, position: SeekFrom) -> io::Result<()> {
        Pin::new(&mut self.bytes).start_seek(position)
    }

    fn poll_complete(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Pin::new(&mut self.bytes).poll_complete(context)
    }
}
