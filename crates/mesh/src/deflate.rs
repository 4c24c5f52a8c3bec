//! Deflated bytes, for what goes over slow links and says much the same many
//! times over.

use std::io::{self, Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

/// Longest plain bytes that are taken: some ten times the configuration of the
/// largest mesh aimed at.
const MOST_PLAIN: u64 = 64 * 1024 * 1024;

/// Deflates `plain`, quickly rather than well: a configuration of 1,200 routes
/// goes from some 300 KB to some 30 either way.
///
/// # Panics
/// Never: writing to memory does not fail.
#[must_use]
pub fn compress(plain: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder
        .write_all(plain)
        .and_then(|()| encoder.finish())
        .expect("writing to memory does not fail")
}

/// The plain bytes.
///
/// # Errors
/// When the bytes were not deflated, or are too many.
pub fn decompress(deflated: &[u8]) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(deflated).take(MOST_PLAIN);
    decoder.read_to_end(&mut plain)?;
    if decoder.limit() == 0 {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    Ok(plain)
}
