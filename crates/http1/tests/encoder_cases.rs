//! Encoding of outgoing bodies: what the peer decodes by the head is what was encoded.

use bytes::{Bytes, BytesMut};
use filbert_http1::body::DecodeOutcome;
use filbert_http1::{BodyDecoder, BodyEncoder, BodyFraming, LengthMismatch, RequestHead};
use proptest::prelude::*;
use rstest::rstest;

fn encode(framing: BodyFraming, parts: &[&[u8]]) -> Result<Vec<u8>, LengthMismatch> {
    let mut encoder = BodyEncoder::new(framing);
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend_from_slice(&encoder.encode(Bytes::copy_from_slice(part))?);
    }
    bytes.extend_from_slice(encoder.finish()?);
    Ok(bytes)
}

/// Guards against a body that the peer would take into the next message, or the other
/// way round.
#[rstest]
#[case(BodyFraming::Empty, &[], Some(""))]
#[case(BodyFraming::Empty, &["x"], None)]
#[case(BodyFraming::Length(0), &[], Some(""))]
#[case(BodyFraming::Length(5), &["he", "llo"], Some("hello"))]
#[case(BodyFraming::Length(5), &["hell"], None)]
#[case(BodyFraming::Length(5), &["hello", "!"], None)]
#[case(BodyFraming::Chunked, &[], Some("0\r\n\r\n"))]
#[case(BodyFraming::Chunked, &["he", "", "llo"], Some("2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"))]
#[case(BodyFraming::UntilClose, &["he", "llo"], Some("hello"))]
fn a_body_of_another_length_than_stated_is_an_error(
    #[case] framing: BodyFraming,
    #[case] parts: &[&str],
    #[case] expected: Option<&str>,
) {
    let parts: Vec<&[u8]> = parts.iter().map(|part| part.as_bytes()).collect();
    let encoded = encode(framing, &parts).ok();
    assert_eq!(encoded.as_deref(), expected.map(str::as_bytes));
}

proptest! {
    /// A peer that reads the encoder's header line decodes the body that was meant, and
    /// finds the next message behind it.
    #[test]
    fn a_peer_decodes_the_body_that_was_encoded(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 0..8),
        is_chunked: bool,
    ) {
        let body = parts.concat();
        let framing = if is_chunked {
            BodyFraming::Chunked
        } else {
            BodyFraming::Length(body.len() as u64)
        };
        let slices: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        let encoded = encode(framing, &slices).expect("the length is right");
        let line = BodyEncoder::new(framing).header_line();
        let head = RequestHead::parse(&Bytes::from(format!("POST / HTTP/1.1\r\n{line}\r\n")));
        let mut decoder = BodyDecoder::new(head.expect("a head").framing);
        let mut buffer = BytesMut::from(&encoded[..]);
        buffer.extend_from_slice(b"next");
        let mut decoded = Vec::new();
        while let Ok(DecodeOutcome::Data(data)) = decoder.decode(&mut buffer) {
            decoded.extend_from_slice(&data);
        }
        prop_assert!(decoder.is_done());
        prop_assert_eq!(decoded, body);
        prop_assert_eq!(&buffer[..], b"next");
    }
}
