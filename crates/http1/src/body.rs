//! Message body framing and an incremental body decoder.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The message has no body.
    Empty,
    /// The body has exactly this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes (responses only).
    UntilClose,
}

impl BodyFraming {
    /// The body's length in bytes; `None` if the head does not state it.
    #[must_use]
    pub fn length(self) -> Option<u64> {
        match self {
            BodyFraming::Empty => Some(0),
            BodyFraming::Length(length) => Some(length),
            BodyFraming::Chunked | BodyFraming::UntilClose => None,
        }
    }
}

/// Why decoding a body failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// A chunk-size line, the end of a chunk or a trailer line is malformed or
    /// too long, or all of them together are.
    BadChunk,
    /// The connection closed before the end of the body.
    Truncated,
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            BodyError::BadChunk => "malformed chunked body",
            BodyError::Truncated => "connection closed before the end of the body",
        })
    }
}

impl std::error::Error for BodyError {}

/// Result of one call of [`BodyDecoder::decode`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeOutcome {
    /// The next bytes of the body.
    Data(Bytes),
    /// The buffer holds too few bytes; read more from the stream first.
    NeedMore,
    /// The body is complete.
    Done,
}

/// Maximum length in bytes of a chunk-size line or a trailer line. Real peers
/// send far shorter lines; the limit bounds the memory that a connection holds.
const MAX_CHUNK_LINE_BYTES: usize = 4096;
/// Length in bytes of the longest chunk-size line without extensions.
const PLAIN_CHUNK_LINE_BYTES: usize = 18;
/// Default maximum of the bytes of chunk extensions and trailer fields in one body.
const DEFAULT_MAX_OVERHEAD_BYTES: usize = 64 * 1024;

/// Characters of a token besides letters and digits (RFC 9110, section 5.6.2).
const TOKEN_MARKS: &[u8] = b"!#$%&'*+-.^_`|~";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecodeState {
    FixedLength(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

/// Incremental decoder of one body. It takes its input from the connection's
/// read buffer and leaves the bytes after the body in place.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecodeState,
    /// Number of bytes of chunk extensions and trailer fields that may still follow.
    overhead_left: usize,
}

impl BodyDecoder {
    /// Creates a decoder for a body with the given `framing`.
    #[must_use]
    pub fn new(framing: BodyFraming) -> BodyDecoder {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecodeState::Done,
            BodyFraming::Length(length) => DecodeState::FixedLength(length),
            BodyFraming::Chunked => DecodeState::ChunkSize,
            BodyFraming::UntilClose => DecodeState::UntilClose,
        };
        BodyDecoder {
            state,
            overhead_left: DEFAULT_MAX_OVERHEAD_BYTES,
        }
    }

    /// Sets the maximum of the bytes of chunk extensions and trailer fields in the body.
    /// A sender that adds them without end would be read without end.
    #[must_use]
    pub fn with_max_overhead(self, bytes: usize) -> BodyDecoder {
        BodyDecoder {
            overhead_left: bytes,
            ..self
        }
    }

    /// Counts `bytes` of chunk extensions or trailer fields.
    fn count_overhead(&mut self, bytes: usize) -> Result<(), BodyError> {
        let left = self.overhead_left.checked_sub(bytes);
        self.overhead_left = left.ok_or(BodyError::BadChunk)?;
        Ok(())
    }

    /// Whether the whole body has been decoded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == DecodeState::Done
    }

    /// Tells the decoder that the connection has closed. This ends a body that
    /// is delimited by the close of the connection.
    ///
    /// # Errors
    /// [`BodyError::Truncated`] if the body is incomplete.
    pub fn end_of_stream(&mut self) -> Result<(), BodyError> {
        match self.state {
            DecodeState::UntilClose | DecodeState::Done => {
                self.state = DecodeState::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }

    /// Removes the next bytes of the body from `buffer` and returns them.
    ///
    /// # Errors
    /// [`BodyError::BadChunk`] if the chunked coding is malformed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<DecodeOutcome, BodyError> {
        loop {
            match self.state {
                DecodeState::Done => return Ok(DecodeOutcome::Done),
                DecodeState::FixedLength(remaining) => {
                    return Ok(self.take_data(
                        buffer,
                        remaining,
                        DecodeState::FixedLength,
                        DecodeState::Done,
                    ))
                }
                DecodeState::ChunkData(remaining) => {
                    return Ok(self.take_data(
                        buffer,
                        remaining,
                        DecodeState::ChunkData,
                        DecodeState::ChunkEnd,
                    ))
                }
                DecodeState::UntilClose if buffer.is_empty() => return Ok(DecodeOutcome::NeedMore),
                DecodeState::UntilClose => return Ok(DecodeOutcome::Data(buffer.split().freeze())),
                // The parser takes a line without a digit for that of the last chunk.
                DecodeState::ChunkSize if !starts_with_digit(buffer) => {
                    return Err(BodyError::BadChunk)
                }
                DecodeState::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buffer.advance(used);
                        self.count_overhead(used.saturating_sub(PLAIN_CHUNK_LINE_BYTES))?;
                        self.state = match size {
                            0 => DecodeState::Trailers,
                            size => DecodeState::ChunkData(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE_BYTES => {
                        return Ok(DecodeOutcome::NeedMore)
                    }
                    _ => return Err(BodyError::BadChunk),
                },
                DecodeState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(DecodeOutcome::NeedMore);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(BodyError::BadChunk);
                    }
                    buffer.advance(2);
                    self.state = DecodeState::ChunkSize;
                }
                DecodeState::Trailers => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > MAX_CHUNK_LINE_BYTES {
                            return Err(BodyError::BadChunk);
                        }
                        return Ok(DecodeOutcome::NeedMore);
                    };
                    self.count_overhead(end)?;
                    if end == 0 {
                        self.state = DecodeState::Done;
                    } else if !is_field_line(&buffer[..end]) {
                        return Err(BodyError::BadChunk);
                    }
                    buffer.advance(end + 2);
                }
            }
        }
    }

    /// Takes at most `remaining` bytes out of `buffer`. The next state is
    /// `next_state` once all of them are taken, otherwise `incomplete_state` of
    /// the bytes that remain.
    fn take_data(
        &mut self,
        buffer: &mut BytesMut,
        remaining: u64,
        incomplete_state: fn(u64) -> DecodeState,
        next_state: DecodeState,
    ) -> DecodeOutcome {
        if buffer.is_empty() {
            return DecodeOutcome::NeedMore;
        }
        let available = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        let data = buffer.split_to(available).freeze();
        let remaining = remaining - available as u64;
        self.state = if remaining == 0 {
            next_state
        } else {
            incomplete_state(remaining)
        };
        DecodeOutcome::Data(data)
    }
}

/// Whether a chunk-size line that has begun to arrive begins with a digit.
fn starts_with_digit(line: &[u8]) -> bool {
    line.first().is_none_or(u8::is_ascii_hexdigit)
}

/// Whether `line` is a field: a token, a colon, and a value without control characters.
fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = line.split_at(colon);
    let is_token = |byte: &u8| byte.is_ascii_alphanumeric() || TOKEN_MARKS.contains(byte);
    let is_text = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    !name.is_empty() && name.iter().all(is_token) && value.iter().all(is_text)
}
