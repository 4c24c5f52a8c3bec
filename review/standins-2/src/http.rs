//! Reads HTTP/1.1 messages from a blocking stream.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A message's first line and header fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The start line.
    pub line: String,
    /// The header fields in order.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of a field; empty if it is absent.
    pub fn field(&self, name: &str) -> &str {
        let mut fields = self.fields.iter();
        fields
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value)
    }

    /// Whether there is such a field.
    pub fn has(&self, name: &str) -> bool {
        self.fields
            .iter()
            .any(|(field, _)| field.eq_ignore_ascii_case(name))
    }

    /// A part of the start line.
    pub fn part(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.part(1).parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
    }

    /// The stated length of the body; `None` if there is none.
    pub fn length(&self) -> Option<usize> {
        self.field("content-length").parse().ok()
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// All of it came.
    Complete,
    /// The connection ended first.
    Broken,
}

/// A connection with the bytes that were read ahead.
pub struct Reader {
    /// The connection.
    pub stream: TcpStream,
    /// When reading ends with a time-out; `None` for never.
    pub until: Option<Instant>,
    buffer: Vec<u8>,
}

impl Reader {
    /// Creates a reader of `stream`.
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            until: None,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        if let Some(until) = self.until {
            let left = until.saturating_duration_since(Instant::now());
            let left = left.max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(left))?;
        }
        let mut bytes = [0; 64 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Whether bytes were read that no message has used.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads a head; `None` if the connection ended before it.
    ///
    /// # Errors
    /// The error of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let rest = self.buffer.split_off(end + 4);
                let raw = std::mem::replace(&mut self.buffer, rest);
                let text = String::from_utf8_lossy(&raw).into_owned();
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { line, fields }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads the body that belongs to `head`. Returns its bytes and how it ended.
    pub fn body(&mut self, head: &Head) -> (Vec<u8>, BodyEnd) {
        if head.is_chunked() {
            return self.chunked();
        }
        let length = head.length().unwrap_or(0);
        self.exactly(length)
    }

    fn exactly(&mut self, length: usize) -> (Vec<u8>, BodyEnd) {
        while self.buffer.len() < length {
            if !matches!(self.fill(), Ok(true)) {
                return (std::mem::take(&mut self.buffer), BodyEnd::Broken);
            }
        }
        let rest = self.buffer.split_off(length);
        (std::mem::replace(&mut self.buffer, rest), BodyEnd::Complete)
    }

    fn chunked(&mut self) -> (Vec<u8>, BodyEnd) {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                    break end;
                }
                if !matches!(self.fill(), Ok(true)) {
                    return (body, BodyEnd::Broken);
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let (_, ended) = self.exactly(end + 2);
            if ended == BodyEnd::Broken {
                return (body, ended);
            }
            let (bytes, ended) = self.exactly(size + 2);
            if ended == BodyEnd::Broken {
                body.extend_from_slice(&bytes);
                return (body, ended);
            }
            body.extend_from_slice(&bytes[..size]);
            if size == 0 {
                return (body, BodyEnd::Complete);
            }
        }
    }
}
