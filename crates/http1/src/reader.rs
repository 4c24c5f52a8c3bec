//! Buffered reader of HTTP/1.1 messages.

use std::fmt;
use std::io;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::body::{BodyDecoder, BodyError, DecodeOutcome};
use crate::head::head_length;

/// Free space in bytes that the buffer has at least before each read of the
/// stream.
const MIN_READ_CAPACITY_BYTES: usize = 16 * 1024;

/// Why reading a message failed.
#[derive(Debug)]
pub enum ReadError {
    /// Reading the stream failed.
    Io(io::Error),
    /// The stream ended within a message head.
    Truncated,
    /// The head is longer than the caller's limit.
    HeadTooLong,
    /// The body is malformed or incomplete.
    Body(BodyError),
}

impl fmt::Display for ReadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Io(error) => write!(formatter, "{error}"),
            ReadError::Truncated => formatter.write_str("stream ended within a message head"),
            ReadError::HeadTooLong => formatter.write_str("message head is too long"),
            ReadError::Body(error) => write!(formatter, "{error}"),
        }
    }
}

impl std::error::Error for ReadError {}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> ReadError {
        ReadError::Io(error)
    }
}

impl From<BodyError> for ReadError {
    fn from(error: BodyError) -> ReadError {
        ReadError::Body(error)
    }
}

/// Reads message heads and bodies from a byte stream. Bytes that were read ahead
/// stay in its buffer for the next message.
#[derive(Debug)]
pub struct MessageReader<R> {
    stream: R,
    buffer: BytesMut,
    /// Number of buffered bytes that are known to hold no end of a head.
    scanned: usize,
    /// Number of bytes of empty lines that were skipped ahead of the next head.
    skipped: usize,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Creates a reader of `stream` with an empty buffer.
    pub fn new(stream: R) -> MessageReader<R> {
        MessageReader {
            stream,
            buffer: BytesMut::new(),
            scanned: 0,
            skipped: 0,
        }
    }

    /// Mutable access to the underlying stream.
    pub fn stream(&mut self) -> &mut R {
        &mut self.stream
    }

    /// Whether the buffer holds bytes that no message has consumed yet.
    #[must_use]
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Frees the memory of an empty buffer.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Discards all buffered bytes.
    pub fn discard_buffered(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
        self.skipped = 0;
    }

    /// Reads once from the stream into the buffer and returns false at the end of
    /// the stream. Cancel safe.
    ///
    /// # Errors
    /// [`ReadError::Io`] if reading the stream fails.
    pub async fn fill(&mut self) -> Result<bool, ReadError> {
        self.buffer.reserve(MIN_READ_CAPACITY_BYTES);
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    /// Removes the next head from the buffer; `None` if it is still incomplete.
    ///
    /// # Errors
    /// [`ReadError::HeadTooLong`] if the head exceeds `limit` bytes.
    pub fn buffered_head(&mut self, limit: usize) -> Result<Option<Bytes>, ReadError> {
        // A recipient ignores empty lines before a message (RFC 9112, section 2.2).
        while self.scanned == 0 && self.buffer.starts_with(b"\r\n") {
            let _ = self.buffer.split_to(2);
            self.skipped += 2;
        }
        // A sender of empty lines without end would be read without end.
        let limit = limit
            .checked_sub(self.skipped)
            .ok_or(ReadError::HeadTooLong)?;
        match head_length(&self.buffer, self.scanned) {
            Some(length) if length <= limit => {
                self.scanned = 0;
                self.skipped = 0;
                Ok(Some(self.buffer.split_to(length).freeze()))
            }
            Some(_) => Err(ReadError::HeadTooLong),
            None if self.buffer.len() > limit => Err(ReadError::HeadTooLong),
            None => {
                self.scanned = self.buffer.len();
                Ok(None)
            }
        }
    }

    /// Reads the next head; `None` if the stream ended between two messages.
    /// Cancel safe.
    ///
    /// # Errors
    /// [`ReadError`] if the stream fails or ends within the head, or if the head
    /// exceeds `limit` bytes.
    pub async fn read_head(&mut self, limit: usize) -> Result<Option<Bytes>, ReadError> {
        loop {
            if let Some(head) = self.buffered_head(limit)? {
                return Ok(Some(head));
            }
            if !self.fill().await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ReadError::Truncated)
                };
            }
        }
    }

    /// Reads the next bytes of a body; `None` at the end of the body. Cancel safe.
    ///
    /// # Errors
    /// [`ReadError`] if the stream fails or ends before the body does, or if the
    /// body is malformed.
    pub async fn read_body_data(
        &mut self,
        body: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ReadError> {
        loop {
            match body.decode(&mut self.buffer)? {
                DecodeOutcome::Data(data) => return Ok(Some(data)),
                DecodeOutcome::Done => return Ok(None),
                DecodeOutcome::NeedMore => {
                    if !self.fill().await? {
                        body.end_of_stream()?;
                        return Ok(None);
                    }
                }
            }
        }
    }
}
