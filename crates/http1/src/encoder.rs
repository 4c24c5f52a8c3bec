//! Outgoing bodies: the header line that states a body's framing, and its bytes.

use std::fmt;

use bytes::Bytes;

use crate::body::BodyFraming;

/// The bytes that end a body in the chunked transfer coding, without trailers.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A body has more or fewer bytes than its head states. The peer would take the
/// missing ones from the next message, or the surplus ones for its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LengthMismatch;

impl fmt::Display for LengthMismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the body's length differs from the stated one")
    }
}

impl std::error::Error for LengthMismatch {}

/// Encodes one outgoing body. The framing in the head and that of the bytes both come
/// from the encoder's [`BodyFraming`], so they cannot disagree.
#[derive(Clone, Debug)]
pub struct BodyEncoder {
    framing: BodyFraming,
    /// Bytes of the body that have been encoded.
    encoded: u64,
}

impl BodyEncoder {
    /// Creates an encoder of a body with the given `framing`.
    #[must_use]
    pub fn new(framing: BodyFraming) -> BodyEncoder {
        BodyEncoder {
            framing,
            encoded: 0,
        }
    }

    /// The header line that states the framing; empty if no line does.
    #[must_use]
    pub fn header_line(&self) -> String {
        match self.framing {
            BodyFraming::Empty | BodyFraming::UntilClose => String::new(),
            BodyFraming::Length(length) => format!("Content-Length: {length}\r\n"),
            BodyFraming::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        }
    }

    /// Encodes the next data of the body.
    ///
    /// # Errors
    /// [`LengthMismatch`] if the body becomes longer than stated. The data must not be
    /// sent then.
    pub fn encode(&mut self, data: Bytes) -> Result<Bytes, LengthMismatch> {
        self.encoded += data.len() as u64;
        match self.framing.length() {
            Some(length) if self.encoded > length => Err(LengthMismatch),
            // A chunk without data would end the body.
            None if self.framing == BodyFraming::Chunked && !data.is_empty() => {
                Ok(encode_chunk(&data))
            }
            _ => Ok(data),
        }
    }

    /// Returns the bytes that end the body.
    ///
    /// # Errors
    /// [`LengthMismatch`] if the body is shorter than stated.
    pub fn finish(&self) -> Result<&'static [u8], LengthMismatch> {
        match self.framing {
            BodyFraming::Chunked => Ok(LAST_CHUNK),
            BodyFraming::UntilClose => Ok(&[]),
            BodyFraming::Empty | BodyFraming::Length(_) => {
                let is_complete = self.framing.length() == Some(self.encoded);
                is_complete.then_some(&[][..]).ok_or(LengthMismatch)
            }
        }
    }
}

fn encode_chunk(data: &[u8]) -> Bytes {
    let mut framed = format!("{:x}\r\n", data.len()).into_bytes();
    framed.extend_from_slice(data);
    framed.extend_from_slice(b"\r\n");
    Bytes::from(framed)
}
