//! Bodies, decoded piece by piece from a buffer.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is none.
    Empty,
    /// Exactly so many bytes.
    Length(u64),
    /// Chunks, the last of them empty.
    Chunked,
    /// All until the connection ends (answers only).
    UntilClose,
}

impl BodyFraming {
    /// The body's length in bytes where the head tells it.
    #[must_use]
    pub fn length(self) -> Option<u64> {
        match self {
            BodyFraming::Empty => Some(0),
            BodyFraming::Length(length) => Some(length),
            BodyFraming::Chunked | BodyFraming::UntilClose => None,
        }
    }
}

/// Why a body cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// A chunk's size or end is malformed.
    BadChunk,
    /// The connection ended before the body did.
    Truncated,
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            BodyError::BadChunk => "malformed chunk",
            BodyError::Truncated => "body cut short",
        })
    }
}

impl std::error::Error for BodyError {}

/// What a decoding step found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyStep {
    /// Some bytes of the body.
    Piece(Bytes),
    /// More bytes must be read first.
    NeedMore,
    /// The body is whole.
    Done,
}

/// Longest line that states a chunk's size or a trailer, in bytes: far above
/// what peers send, far below what would hold memory.
const MAX_LINE: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecodeState {
    Counted(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

/// Decodes one body from a connection's buffer.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecodeState,
}

impl BodyDecoder {
    /// A decoder for a body framed so.
    #[must_use]
    pub fn new(framing: BodyFraming) -> BodyDecoder {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecodeState::Done,
            BodyFraming::Length(length) => DecodeState::Counted(length),
            BodyFraming::Chunked => DecodeState::ChunkSize,
            BodyFraming::UntilClose => DecodeState::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Whether the body has been read to its end.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == DecodeState::Done
    }

    /// What the end of the connection means here: the end of the body where
    /// it is delimited so, a cut otherwise.
    ///
    /// # Errors
    /// [`BodyError::Truncated`] when the body was not whole.
    pub fn end_of_stream(&mut self) -> Result<(), BodyError> {
        match self.state {
            DecodeState::UntilClose | DecodeState::Done => {
                self.state = DecodeState::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }

    /// Takes the next piece out of `buffer`.
    ///
    /// # Errors
    /// [`BodyError::BadChunk`] when the chunk framing is malformed.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<BodyStep, BodyError> {
        loop {
            match self.state {
                DecodeState::Done => return Ok(BodyStep::Done),
                DecodeState::Counted(left) => {
                    return Ok(self.take(buffer, left, DecodeState::Counted, DecodeState::Done))
                }
                DecodeState::ChunkData(left) => {
                    return Ok(self.take(
                        buffer,
                        left,
                        DecodeState::ChunkData,
                        DecodeState::ChunkEnd,
                    ))
                }
                DecodeState::UntilClose if buffer.is_empty() => return Ok(BodyStep::NeedMore),
                DecodeState::UntilClose => return Ok(BodyStep::Piece(buffer.split().freeze())),
                DecodeState::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buffer.advance(used);
                        self.state = match size {
                            0 => DecodeState::Trailers,
                            size => DecodeState::ChunkData(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_LINE => {
                        return Ok(BodyStep::NeedMore)
                    }
                    _ => return Err(BodyError::BadChunk),
                },
                DecodeState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(BodyStep::NeedMore);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(BodyError::BadChunk);
                    }
                    buffer.advance(2);
                    self.state = DecodeState::ChunkSize;
                }
                DecodeState::Trailers => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > MAX_LINE {
                            return Err(BodyError::BadChunk);
                        }
                        return Ok(BodyStep::NeedMore);
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        self.state = DecodeState::Done;
                    }
                }
            }
        }
    }

    fn take(
        &mut self,
        buffer: &mut BytesMut,
        left: u64,
        partly: fn(u64) -> DecodeState,
        after: DecodeState,
    ) -> BodyStep {
        if buffer.is_empty() {
            return BodyStep::NeedMore;
        }
        let available = usize::try_from(left)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        let piece = buffer.split_to(available).freeze();
        let rest = left - available as u64;
        self.state = if rest == 0 { after } else { partly(rest) };
        BodyStep::Piece(piece)
    }
}
