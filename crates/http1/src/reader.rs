//! Reads messages from a byte stream through one buffer.

use std::fmt;
use std::io;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::body::{BodyDecoder, BodyError, BodyStep};
use crate::head::head_length;

/// Bytes asked of the stream at a time.
const READ_SIZE: usize = 16 * 1024;

/// Why a message cannot be read.
#[derive(Debug)]
pub enum ReadError {
    /// The stream failed.
    Io(io::Error),
    /// The stream ended inside a message.
    Truncated,
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body's framing is malformed.
    Body(BodyError),
}

impl fmt::Display for ReadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Io(error) => write!(formatter, "{error}"),
            ReadError::Truncated => formatter.write_str("stream ended inside a message"),
            ReadError::HeadTooLong => formatter.write_str("head too long"),
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

/// A stream and what was read of it but not yet used.
#[derive(Debug)]
pub struct MessageReader<R> {
    stream: R,
    buffer: BytesMut,
    searched: usize,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Reads from `stream`.
    pub fn new(stream: R) -> MessageReader<R> {
        MessageReader {
            stream,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    /// The stream itself.
    pub fn stream(&mut self) -> &mut R {
        &mut self.stream
    }

    /// Whether bytes were read that no message has used.
    #[must_use]
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets what was read but not used.
    pub fn discard_buffered(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Reads once; false at the end of the stream. Safe to cancel.
    ///
    /// # Errors
    /// [`ReadError::Io`] when the stream fails.
    pub async fn fill(&mut self) -> Result<bool, ReadError> {
        self.buffer.reserve(READ_SIZE);
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    /// The next head if the buffer holds it whole.
    ///
    /// # Errors
    /// [`ReadError::HeadTooLong`] past `limit` bytes.
    pub fn buffered_head(&mut self, limit: usize) -> Result<Option<Bytes>, ReadError> {
        // Empty lines between messages are allowed and mean nothing.
        while self.searched == 0 && self.buffer.starts_with(b"\r\n") {
            let _ = self.buffer.split_to(2);
        }
        match head_length(&self.buffer, self.searched) {
            Some(length) if length <= limit => {
                self.searched = 0;
                Ok(Some(self.buffer.split_to(length).freeze()))
            }
            Some(_) => Err(ReadError::HeadTooLong),
            None if self.buffer.len() > limit => Err(ReadError::HeadTooLong),
            None => {
                self.searched = self.buffer.len();
                Ok(None)
            }
        }
    }

    /// Reads the next head; `None` when the stream ended between messages.
    /// Safe to cancel.
    ///
    /// # Errors
    /// [`ReadError`] when the stream fails, ends inside the head, or the head
    /// is longer than `limit` bytes.
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

    /// Reads the next piece of a body; `None` at its end. Safe to cancel.
    ///
    /// # Errors
    /// [`ReadError`] when the stream fails or ends too soon, or the framing is
    /// malformed.
    pub async fn read_body_data(
        &mut self,
        body: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ReadError> {
        loop {
            match body.step(&mut self.buffer)? {
                BodyStep::Piece(piece) => return Ok(Some(piece)),
                BodyStep::Done => return Ok(None),
                BodyStep::NeedMore => {
                    if !self.fill().await? {
                        body.end_of_stream()?;
                        return Ok(None);
                    }
                }
            }
        }
    }
}
