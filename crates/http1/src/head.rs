//! Heads of requests and responses: start line and header fields.

use std::fmt;
use std::ops::{Range, RangeInclusive};

use bytes::Bytes;

use crate::body::BodyFraming;

/// Number of header fields that are parsed without an allocation.
const USUAL_FIELD_COUNT: usize = 64;

/// Status codes that a response may have.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Hop-by-hop fields: they apply to one connection and are never forwarded.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
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

/// Why a head was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes are not a valid HTTP/1.x head.
    Malformed,
    /// The length of the body is ambiguous: `Content-Length` is repeated or appears
    /// together with a transfer coding, or the transfer coding is repeated, not plain
    /// chunked, or sent in an HTTP/1.0 request.
    /// Rejecting such a head prevents request smuggling.
    AmbiguousLength,
}

impl fmt::Display for HeadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            HeadError::Malformed => "malformed message head",
            HeadError::AmbiguousLength => "ambiguous body length",
        })
    }
}

impl std::error::Error for HeadError {}

/// What is wrong with a field that has to reach the other end once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldFault<'a> {
    /// The head has several fields of this name, of which receivers may read different
    /// ones.
    Repeated(&'a str),
    /// A `Connection` field names the field, so that the next hop does not get it.
    HopByHop(&'a str),
}

impl fmt::Display for FieldFault<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldFault::Repeated(name) => write!(formatter, "{name} is repeated"),
            FieldFault::HopByHop(name) => write!(formatter, "{name} is named by Connection"),
        }
    }
}

/// Byte ranges of one field's name and value in the raw head.
#[derive(Clone, Debug)]
struct FieldSpan {
    name: Range<usize>,
    value: Range<usize>,
}

/// Space for all fields of a head, whose length the caller limits.
struct FieldStorage<'a> {
    usual: [httparse::Header<'a>; USUAL_FIELD_COUNT],
    many: Vec<httparse::Header<'a>>,
}

impl<'a> FieldStorage<'a> {
    fn for_head(raw: &[u8]) -> FieldStorage<'a> {
        let lines = raw.split(|byte| *byte == b'\n').count();
        let many = if lines > USUAL_FIELD_COUNT {
            vec![httparse::EMPTY_HEADER; lines]
        } else {
            Vec::new()
        };
        FieldStorage {
            usual: [httparse::EMPTY_HEADER; USUAL_FIELD_COUNT],
            many,
        }
    }

    fn slots(&mut self) -> &mut [httparse::Header<'a>] {
        if self.many.is_empty() {
            &mut self.usual
        } else {
            &mut self.many
        }
    }
}

/// The header fields of a head, stored as byte ranges of the raw head.
#[derive(Clone, Debug, Default)]
pub struct FieldList {
    raw: Bytes,
    spans: Vec<FieldSpan>,
}

impl FieldList {
    fn from_parsed(raw: &Bytes, parsed: &[httparse::Header<'_>]) -> FieldList {
        let base = raw.as_ptr() as usize;
        let span_of = |part: &[u8]| {
            // The slice of an empty value may point outside the head.
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

    /// Iterates over all fields as pairs of name and value, in the order received.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.spans.iter().map(|span| {
            let name = std::str::from_utf8(&self.raw[span.name.clone()]).unwrap_or_default();
            (name, &self.raw[span.value.clone()])
        })
    }

    /// The trimmed value of the first field called `name`, which is matched without
    /// regard to case. `None` if there is no such field or its value is not UTF-8.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .and_then(|(_, value)| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// One of `names`, 32 at most, that appears in more than one field, or that a
    /// `Connection` field names, so that the field does not get past this hop.
    #[must_use]
    pub fn find_fault<'a>(&self, names: &[&'a str]) -> Option<FieldFault<'a>> {
        let mut seen = 0_u32;
        let mut has_connection = false;
        for (field, _) in self.iter() {
            let mut known = names.iter();
            if let Some(index) = known.position(|name| name.eq_ignore_ascii_case(field)) {
                let bit = 1 << index;
                if seen & bit != 0 {
                    return Some(FieldFault::Repeated(names[index]));
                }
                seen |= bit;
            } else if field.eq_ignore_ascii_case("connection") {
                has_connection = true;
            }
        }
        if !has_connection {
            return None;
        }
        let dropped = names
            .iter()
            .enumerate()
            .find(|(index, name)| seen & (1 << index) != 0 && self.has_token("connection", name));
        dropped.map(|(_, name)| FieldFault::HopByHop(name))
    }

    /// Whether the comma-separated list in the field `name` contains `token`. Both
    /// are matched without regard to case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.tokens(name)
            .any(|part| part.eq_ignore_ascii_case(token))
    }

    /// The parts of the comma-separated lists in the fields `name`.
    fn tokens<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(str::trim)
    }

    /// Appends the end-to-end fields to `out` as header lines, without
    /// `Content-Length` and without the fields for whose name `skip` returns true.
    pub fn write_end_to_end(&self, out: &mut Vec<u8>, skip: impl Fn(&str) -> bool) {
        // Collected once: a head may have thousands of fields.
        let listed: Vec<&str> = self.tokens("connection").collect();
        for (name, value) in self.iter() {
            let is_hop_by_hop = HOP_BY_HOP_FIELDS
                .iter()
                .chain(&listed)
                .any(|field| field.eq_ignore_ascii_case(name))
                || name.eq_ignore_ascii_case("content-length");
            if !is_hop_by_hop && !skip(name) {
                out.extend_from_slice(name.as_bytes());
                out.extend_from_slice(b": ");
                out.extend_from_slice(value);
                out.extend_from_slice(b"\r\n");
            }
        }
    }

    /// The value of `Content-Length`; `None` if the field is absent.
    fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut lengths = self
            .iter()
            .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let (Some((_, value)), second) = (lengths.next(), lengths.next()) else {
            return Ok(None);
        };
        if second.is_some() {
            return Err(HeadError::AmbiguousLength);
        }
        let text = std::str::from_utf8(value).map_err(|_| HeadError::Malformed)?;
        let digits = text.trim();
        if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(HeadError::Malformed);
        }
        digits.parse().map(Some).map_err(|_| HeadError::Malformed)
    }

    /// Whether the body uses the chunked transfer coding. Any other coding is an
    /// error.
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

/// The parsed head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method as received.
    pub method: String,
    /// The request target as received: path and query.
    pub target: String,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Whether the client speaks HTTP/1.1 and therefore accepts chunked responses.
    pub is_http11: bool,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// All header fields as received.
    pub fields: FieldList,
}

/// The parsed head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase as received.
    pub reason: String,
    /// Whether the connection stays open after the response body.
    pub keep_alive: bool,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// All header fields as received.
    pub fields: FieldList,
}

/// The length in bytes, with the final empty line, of the head at the start of
/// `buffer`; `None` if the head is incomplete. The first `scanned` bytes have been
/// searched by an earlier call and are skipped.
#[must_use]
pub fn head_length(buffer: &[u8], scanned: usize) -> Option<usize> {
    let from = scanned.saturating_sub(3);
    buffer[from..]
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|position| from + position + 4)
}

impl RequestHead {
    /// Parses a complete request head.
    ///
    /// # Errors
    /// [`HeadError`] if `raw` is not an HTTP/1.x request head or the length of the
    /// body is ambiguous.
    pub fn parse(raw: &Bytes) -> Result<RequestHead, HeadError> {
        let mut storage = FieldStorage::for_head(raw);
        let mut parsed = httparse::Request::new(storage.slots());
        check_is_whole(parsed.parse(raw), raw)?;
        let fields = FieldList::from_parsed(raw, parsed.headers);
        let is_http11 = parsed.version == Some(1);
        let chunked = fields.is_chunked()?;
        let length = fields.content_length()?;
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
            keep_alive: is_persistent(is_http11, &fields),
            is_http11,
            framing,
            fields,
        })
    }
}

impl ResponseHead {
    /// Parses a complete response head. `request_was_head` states whether it
    /// responds to a `HEAD` request, in which case it has no body.
    ///
    /// # Errors
    /// [`HeadError`] if `raw` is not an HTTP/1.x response head or the length of the
    /// body is ambiguous.
    pub fn parse(raw: &Bytes, request_was_head: bool) -> Result<ResponseHead, HeadError> {
        let mut storage = FieldStorage::for_head(raw);
        let mut parsed = httparse::Response::new(storage.slots());
        check_is_whole(parsed.parse(raw), raw)?;
        let fields = FieldList::from_parsed(raw, parsed.headers);
        let status = parsed.code.unwrap_or_default();
        if !STATUS_CODES.contains(&status) {
            return Err(HeadError::Malformed);
        }
        let chunked = fields.is_chunked()?;
        let length = fields.content_length()?;
        let has_no_body = request_was_head || status < 200 || status == 204 || status == 304;
        let framing = match (chunked, length) {
            _ if has_no_body => BodyFraming::Empty,
            (true, Some(_)) => return Err(HeadError::AmbiguousLength),
            (true, None) => BodyFraming::Chunked,
            (false, Some(0)) => BodyFraming::Empty,
            (false, Some(length)) => BodyFraming::Length(length),
            (false, None) => BodyFraming::UntilClose,
        };
        Ok(ResponseHead {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
            keep_alive: is_persistent(parsed.version == Some(1), &fields)
                && framing != BodyFraming::UntilClose,
            framing,
            fields,
        })
    }
}

/// Checks that the parser read a head that ends where `raw` does.
///
/// The parser also takes a bare line feed for the end of a line. A head that ends earlier
/// for it than for the reader would hide the bytes in between, such as a request.
fn check_is_whole(parsed: httparse::Result<usize>, raw: &Bytes) -> Result<(), HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length == raw.len() => Ok(()),
        _ => Err(HeadError::Malformed),
    }
}

/// Whether the connection persists after the message, by the version's default and
/// the `Connection` field.
fn is_persistent(is_http11: bool, fields: &FieldList) -> bool {
    if is_http11 {
        !fields.has_token("connection", "close")
    } else {
        fields.has_token("connection", "keep-alive")
    }
}
