//! The frames of an HTTP/2 connection, as far as a proxy needs them to end it.

/// Length of what a client sends before its first frame, in bytes.
const PREFACE_BYTES: usize = 24;
/// Length of a frame's header, in bytes.
const HEADER_BYTES: usize = 9;
/// Type of the frames that open a stream.
const HEADERS_TYPE: u8 = 0x1;
/// Type of the frame that cancels a stream.
const RST_STREAM_TYPE: u8 = 0x3;
const SETTINGS_TYPE: u8 = 0x4;
const PING_TYPE: u8 = 0x6;
/// Type of the frame that ends a connection.
const GO_AWAY_TYPE: u8 = 0x7;
/// Error code of a server that has had too many streams cancelled.
const ENHANCE_YOUR_CALM: u32 = 0xb;

/// Error code of a cancelled stream.
const CANCEL: u32 = 0x8;
/// Flag of the last frame with a stream's header fields.
const END_HEADERS: u8 = 0x4;

/// Follows the frames in one direction of a connection.
#[derive(Debug)]
pub struct FrameScanner {
    /// Bytes that do not belong to a frame's header: the preface, then the payloads.
    skipped: usize,
    /// The part of a frame's header that has come.
    header: Vec<u8>,
    newest_stream: u32,
    has_ended: bool,
}

impl FrameScanner {
    /// Creates a scanner of the client's frames.
    #[must_use]
    pub fn of_client() -> FrameScanner {
        FrameScanner {
            skipped: PREFACE_BYTES,
            header: Vec::new(),
            newest_stream: 0,
            has_ended: false,
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
        self.has_ended |= self.header[3] == GO_AWAY_TYPE;
        self.skipped = usize::try_from(length).unwrap_or(usize::MAX);
        self.header.clear();
    }

    /// Whether the bytes so far end with a whole frame.
    #[must_use]
    pub fn is_between_frames(&self) -> bool {
        self.skipped == 0 && self.header.is_empty()
    }

    /// Whether a frame has come that ends the connection.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Number of the newest stream that was opened; 0 if none was.
    #[must_use]
    pub fn newest_stream(&self) -> u32 {
        self.newest_stream
    }
}

/// What a client sends that opens `count` streams and cancels each.
#[must_use]
pub fn cancelled_streams(count: u32) -> Vec<u8> {
    // POST, http, the path `/`, and the authority `peer`, in the header compression's codes.
    const HEADER_BLOCK: &[u8] = b"\x83\x86\x84\x41\x04peer";
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend(frame(SETTINGS_TYPE, 0, 0, &[]));
    for number in 0..count {
        let stream = 2 * number + 1;
        bytes.extend(frame(HEADERS_TYPE, END_HEADERS, stream, HEADER_BLOCK));
        bytes.extend(frame(RST_STREAM_TYPE, 0, stream, &CANCEL.to_be_bytes()));
    }
    bytes
}

/// At least `length` bytes of frames that ask for an answer.
#[must_use]
pub fn ping_frames(length: usize) -> Vec<u8> {
    let ping = frame(PING_TYPE, 0, 0, &[0; 8]);
    ping.repeat(length.div_ceil(ping.len()))
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut bytes = length.to_be_bytes()[1..].to_vec();
    bytes.extend_from_slice(&[kind, flags]);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// A frame that ends a connection, of whose streams `last_stream` was the last to be read.
#[must_use]
pub fn go_away_frame(last_stream: u32) -> Vec<u8> {
    let mut payload = last_stream.to_be_bytes().to_vec();
    payload.extend_from_slice(&ENHANCE_YOUR_CALM.to_be_bytes());
    frame(GO_AWAY_TYPE, 0, 0, &payload)
}
