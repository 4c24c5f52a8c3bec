//! Heads of requests and answers.

use std::fmt;
use std::ops::Range;

use bytes::Bytes;

use crate::body::BodyFraming;

/// Most header fields of one head; more is refused as malformed.
const MAX_FIELDS: usize = 100;

/// Fields that concern one connection only and are never passed on.
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why bytes are not a usable head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// Not HTTP/1.x at all.
    Malformed,
    /// Two statements of the body's length that could be read in two ways.
    /// Guards against requests smuggled inside another one's body.
    AmbiguousLength,
}

impl fmt::Display for HeadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            HeadError::Malformed => "malformed head",
            HeadError::AmbiguousLength => "ambiguous body length",
        })
    }
}

impl std::error::Error for HeadError {}

#[derive(Clone, Debug)]
struct FieldSpan {
    name: Range<usize>,
    value: Range<usize>,
}

/// A head's fields, kept as spans of the bytes they were read from.
#[derive(Clone, Debug, Default)]
pub struct FieldList {
    raw: Bytes,
    spans: Vec<FieldSpan>,
}

impl FieldList {
    fn from_parsed(raw: &Bytes, parsed: &[httparse::Header<'_>]) -> FieldList {
        let base = raw.as_ptr() as usize;
        let span_of = |part: &[u8]| {
            // An empty value may point outside the head.
            let start = (part.as_ptr() as usize).saturating_sub(base);
            if part.is_empty() {
                0..0
            } else {
                start..start + part.len()
            }
        };
        let spans = parsed
            .iter()
            .map(|field| FieldSpan {
                name: span_of(field.name.as_bytes()),
                value: span_of(field.value),
            })
            .collect();
        FieldList {
            raw: raw.clone(),
            spans,
        }
    }

    /// Every field as name and value, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.spans.iter().map(|span| {
            let name = std::str::from_utf8(&self.raw[span.name.clone()]).unwrap_or_default();
            (name, &self.raw[span.value.clone()])
        })
    }

    /// The first value of `name` (any case), when it is text.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .and_then(|(_, value)| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Whether the comma-separated field `name` holds `token` (any case).
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.iter()
            .filter(|(field, _)| field.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Writes the end-to-end fields, but for those `skip` names, as header lines.
    pub fn write_end_to_end(&self, out: &mut Vec<u8>, skip: impl Fn(&str) -> bool) {
        for (name, value) in self.iter() {
            let of_connection = CONNECTION_FIELDS
                .iter()
                .any(|field| field.eq_ignore_ascii_case(name))
                || name.eq_ignore_ascii_case("content-length")
                || self.has_token("connection", name);
            if !of_connection && !skip(name) {
                out.extend_from_slice(name.as_bytes());
                out.extend_from_slice(b": ");
                out.extend_from_slice(value);
                out.extend_from_slice(b"\r\n");
            }
        }
    }

    fn stated_length(&self) -> Result<Option<u64>, HeadError> {
        let mut stated = None;
        for (name, value) in self.iter() {
            if !name.eq_ignore_ascii_case("content-length") {
                continue;
            }
            let text = std::str::from_utf8(value).map_err(|_| HeadError::Malformed)?;
            let digits = text.trim();
            if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(HeadError::Malformed);
            }
            let length: u64 = digits.parse().map_err(|_| HeadError::Malformed)?;
            if stated.is_some_and(|other| other != length) {
                return Err(HeadError::AmbiguousLength);
            }
            stated = Some(length);
        }
        Ok(stated)
    }

    /// Whether the body is chunked; any other transfer coding is refused.
    fn is_chunked(&self) -> Result<bool, HeadError> {
        let mut codings = self
            .iter()
            .filter(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
        match (codings.next(), codings.next()) {
            (None, _) => Ok(false),
            (Some((_, value)), None) if value.eq_ignore_ascii_case(b"chunked") => Ok(true),
            _ => Err(HeadError::AmbiguousLength),
        }
    }
}

/// A request's head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method as sent.
    pub method: String,
    /// The request target as sent, path and query.
    pub target: String,
    /// Whether the connection stays open after the answer.
    pub keep_alive: bool,
    /// Whether the client speaks HTTP/1.1 (and so understands chunks).
    pub is_http11: bool,
    /// How the body is delimited.
    pub framing: BodyFraming,
    /// Every field as sent.
    pub fields: FieldList,
}

/// An answer's head.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase as sent.
    pub reason: String,
    /// Whether the connection stays open after the body.
    pub keep_alive: bool,
    /// How the body is delimited.
    pub framing: BodyFraming,
    /// Every field as sent.
    pub fields: FieldList,
}

/// Length in bytes of the head that `buffer` starts with, if it is whole.
#[must_use]
pub fn head_length(buffer: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(3);
    buffer[from..]
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|position| from + position + 4)
}

impl RequestHead {
    /// Parses a whole head.
    ///
    /// # Errors
    /// [`HeadError`] when it is no HTTP/1.x request or its length is ambiguous.
    pub fn parse(raw: &Bytes) -> Result<RequestHead, HeadError> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut storage);
        match parsed.parse(raw) {
            Ok(httparse::Status::Complete(_)) => {}
            _ => return Err(HeadError::Malformed),
        }
        let fields = FieldList::from_parsed(raw, parsed.headers);
        let is_http11 = parsed.version == Some(1);
        let chunked = fields.is_chunked()?;
        let length = fields.stated_length()?;
        let framing = match (chunked, length) {
            (true, Some(_)) => return Err(HeadError::AmbiguousLength),
            (true, None) if !is_http11 => return Err(HeadError::AmbiguousLength),
            (true, None) => BodyFraming::Chunked,
            (false, Some(0) | None) => BodyFraming::Empty,
            (false, Some(length)) => BodyFraming::Length(length),
        };
        Ok(RequestHead {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            keep_alive: keeps_alive(is_http11, &fields),
            is_http11,
            framing,
            fields,
        })
    }
}

impl ResponseHead {
    /// Parses a whole head; `to_head` says that the request was a HEAD.
    ///
    /// # Errors
    /// [`HeadError`] when it is no HTTP/1.x answer or its length is ambiguous.
    pub fn parse(raw: &Bytes, to_head: bool) -> Result<ResponseHead, HeadError> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut storage);
        match parsed.parse(raw) {
            Ok(httparse::Status::Complete(_)) => {}
            _ => return Err(HeadError::Malformed),
        }
        let fields = FieldList::from_parsed(raw, parsed.headers);
        let status = parsed.code.unwrap_or_default();
        let chunked = fields.is_chunked()?;
        let length = fields.stated_length()?;
        let bodiless = to_head || status < 200 || status == 204 || status == 304;
        let framing = match (chunked, length) {
            _ if bodiless => BodyFraming::Empty,
            (true, Some(_)) => return Err(HeadError::AmbiguousLength),
            (true, None) => BodyFraming::Chunked,
            (false, Some(0)) => BodyFraming::Empty,
            (false, Some(length)) => BodyFraming::Length(length),
            (false, None) => BodyFraming::UntilClose,
        };
        Ok(ResponseHead {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
            keep_alive: keeps_alive(parsed.version == Some(1), &fields)
                && framing != BodyFraming::UntilClose,
            framing,
            fields,
        })
    }
}

fn keeps_alive(is_http11: bool, fields: &FieldList) -> bool {
    if is_http11 {
        !fields.has_token("connection", "close")
    } else {
        fields.has_token("connection", "keep-alive")
    }
}
