//! The frames of an HTTP/2 connection, as far as a proxy needs them to end it.

/// Length of what a client sends before its first frame, in bytes.
const PREFACE_BYTES: usize = 24;
/// Length of a frame's header, in bytes.
const HEADER_BYTES: usize = 9;
/// Type of the frames that open a stream.
const HEADERS_TYPE: u8 = 0x1;
/// Type of the frame that ends a connection.
const GO_AWAY_TYPE: u8 = 0x7;
/// Error code of a server that has had too many streams cancelled.
const ENHANCE_YOUR_CALM: u32 = 0xb;

/// Follows the frames in one direction of a connection.
#[derive(Debug)]
pub struct FrameScanner {
    /// Bytes that do not belong to a frame's header: the preface, then the payloads.
    skipped: usize,
    /// The part of a frame's header that has come.
    header: Vec<u8>,
    newest_stream: u32,
}

impl FrameScanner {
    /// Creates a scanner of the client's frames.
    #[must_use]
    pub fn of_client() -> FrameScanner {
        FrameScanner {
            skipped: PREFACE_BYTES,
            header: Vec::new(),
            newest_stream: 0,
        }
    }

    /// Creates a scanner of the server's frames.
    #[must_use]
    pub fn of_server() -> FrameScanner {
        FrameScanner {
            skipped: 0,
            ..FrameScanner::of_client()
        }
    }

    /// Follows further bytes.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let skipped = self.skipped.min(bytes.len());
            self.skipped -= skipped;
            bytes = &bytes[skipped..];
            let missing = HEADER_BYTES - self.header.len();
            let (header, rest) = bytes.split_at(missing.min(bytes.len()));
            self.header.extend_from_slice(header);
            bytes = rest;
            if self.header.len() == HEADER_BYTES {
                self.end_header();
            }
        }
    }

    fn end_header(&mut self) {
        let number = |bytes: &[u8]| {
            bytes
                .iter()
                .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
        };
        let length = number(&self.header[..3]);
        let stream = number(&self.header[5..]) & 0x7fff_ffff;
        if self.header[3] == HEADERS_TYPE {
            self.newest_stream = self.newest_stream.max(stream);
        }
        self.skipped = usize::try_from(length).unwrap_or(usize::MAX);
        self.header.clear();
    }

    /// Whether the bytes so far end with a whole frame.
    #[must_use]
    pub fn is_between_frames(&self) -> bool {
        self.skipped == 0 && self.header.is_empty()
    }

    /// Number of the newest stream that was opened; 0 if none was.
    #[must_use]
    pub fn newest_stream(&self) -> u32 {
        self.newest_stream
    }
}

/// A frame that ends a connection, of whose streams `last_stream` was the last to be read.
#[must_use]
pub fn go_away_frame(last_stream: u32) -> Vec<u8> {
    let mut frame = vec![0, 0, 8, GO_AWAY_TYPE, 0, 0, 0, 0, 0];
    frame.extend_from_slice(&last_stream.to_be_bytes());
    frame.extend_from_slice(&ENHANCE_YOUR_CALM.to_be_bytes());
    frame
}
