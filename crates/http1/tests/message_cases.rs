//! Parsing of heads and decoding of bodies: valid, malformed and truncated
//! messages, in reads of any size.

use bytes::Bytes;
use filbert_http1::{
    BodyDecoder, BodyError, BodyFraming, HeadError, MessageReader, ReadError, RequestHead,
    ResponseHead,
};
use proptest::prelude::*;
use rstest::rstest;

/// Header fields of a request and the body framing expected for them.
struct FramingCase {
    fields: &'static str,
    framing: Result<BodyFraming, HeadError>,
}

#[rstest]
#[case(FramingCase { fields: "", framing: Ok(BodyFraming::Empty) })]
#[case(FramingCase { fields: "Content-Length: 5\r\n", framing: Ok(BodyFraming::Length(5)) })]
#[case(FramingCase { fields: "Content-Length: 5\r\nContent-Length: 5\r\n", framing: Err(HeadError::AmbiguousLength) })]
#[case(FramingCase { fields: "Transfer-Encoding: Chunked\r\n", framing: Ok(BodyFraming::Chunked) })]
#[case(FramingCase { fields: "Content-Length: 5\r\nContent-Length: 6\r\n", framing: Err(HeadError::AmbiguousLength) })]
#[case(FramingCase { fields: "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", framing: Err(HeadError::AmbiguousLength) })]
#[case(FramingCase { fields: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", framing: Err(HeadError::AmbiguousLength) })]
#[case(FramingCase { fields: "Transfer-Encoding: gzip, chunked\r\n", framing: Err(HeadError::AmbiguousLength) })]
#[case(FramingCase { fields: "Content-Length: +5\r\n", framing: Err(HeadError::Malformed) })]
#[case(FramingCase { fields: "Content-Length: 5, 5\r\n", framing: Err(HeadError::Malformed) })]
#[case(FramingCase { fields: "Content-Length: 99999999999999999999\r\n", framing: Err(HeadError::Malformed) })]
#[case(FramingCase { fields: "Content Length: 5\r\n", framing: Err(HeadError::Malformed) })]
fn ambiguous_body_framing_is_rejected(#[case] case: FramingCase) {
    let raw = Bytes::from(format!("POST / HTTP/1.1\r\n{}\r\n", case.fields));
    let framing = RequestHead::parse(&raw).map(|head| head.framing);
    assert_eq!(framing, case.framing, "{}", case.fields);
}

#[rstest]
#[case(
    "HTTP/1.1 204 No\r\nContent-Length: 5\r\n\r\n",
    false,
    BodyFraming::Empty,
    true
)]
#[case(
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
    true,
    BodyFraming::Empty,
    true
)]
#[case("HTTP/1.1 200 OK\r\n\r\n", false, BodyFraming::UntilClose, false)]
#[case(
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: x, Close\r\n\r\n",
    false,
    BodyFraming::Length(5),
    false
)]
#[case(
    "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
    false,
    BodyFraming::Length(5),
    false
)]
fn a_response_head_determines_framing_and_persistence(
    #[case] text: &'static str,
    #[case] request_was_head: bool,
    #[case] framing: BodyFraming,
    #[case] keep_alive: bool,
) {
    let head = ResponseHead::parse(&Bytes::from(text), request_was_head).expect("head parses");
    assert_eq!((head.framing, head.keep_alive), (framing, keep_alive));
}

/// Guards against a head that ends earlier for the parser than for the reader: what stands
/// between the two ends would be dropped, or taken for the start of a body.
#[rstest]
#[case("GET /a HTTP/1.1\nHost: a\n\nGET /b HTTP/1.1\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: a\r\n\nGET /b HTTP/1.1\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: a\n\r\nGET /b HTTP/1.1\r\n\r\n")]
#[tokio::test]
async fn a_head_with_two_ends_is_malformed(#[case] text: &'static str) {
    let mut reader = MessageReader::new(text.as_bytes());
    let raw = reader
        .read_head(1_000)
        .await
        .expect("read")
        .expect("a head");
    let head = RequestHead::parse(&raw).map(|head| head.target);
    assert_eq!(head, Err(HeadError::Malformed));
    let text = text.replacen("GET /a HTTP/1.1", "HTTP/1.1 200 OK", 1);
    let mut reader = MessageReader::new(text.as_bytes());
    let raw = reader
        .read_head(1_000)
        .await
        .expect("read")
        .expect("a head");
    let head = ResponseHead::parse(&raw, false).map(|head| head.status);
    assert_eq!(head, Err(HeadError::Malformed));
}

async fn read_all(stream: &[u8], framing: BodyFraming) -> Result<Vec<u8>, ReadError> {
    let mut reader = MessageReader::new(stream);
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    while let Some(data) = reader.read_body_data(&mut decoder).await? {
        body.extend_from_slice(&data);
    }
    Ok(body)
}

#[rstest]
#[case(BodyFraming::Length(5), "hello", true)]
#[case(BodyFraming::Length(5), "hell", false)]
#[case(BodyFraming::UntilClose, "hello", true)]
#[case(BodyFraming::Chunked, "5\r\nhello\r\n0\r\n\r\n", true)]
#[case(
    BodyFraming::Chunked,
    "2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nTrailer: 1\r\n\r\n",
    true
)]
#[case(BodyFraming::Chunked, "5\r\nhello\r\n", false)]
#[case(BodyFraming::Chunked, "5\r\nhello!\r\n0\r\n\r\n", false)]
#[case(BodyFraming::Chunked, "no size\r\n", false)]
#[tokio::test]
async fn a_truncated_or_malformed_body_is_an_error(
    #[case] framing: BodyFraming,
    #[case] text: &str,
    #[case] is_complete: bool,
) {
    let body = read_all(text.as_bytes(), framing).await;
    assert_eq!(body.is_ok(), is_complete, "{text}");
    if is_complete {
        assert_eq!(body.expect("whole"), b"hello");
    }
}

#[tokio::test]
async fn a_head_over_the_limit_is_rejected_while_incomplete() {
    let text = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(5_000));
    let mut reader = MessageReader::new(text.as_bytes());
    assert!(matches!(
        reader.read_head(4_096).await,
        Err(ReadError::HeadTooLong)
    ));
}

/// Guards against a malformed line of a chunked body that is taken for its end: the body would
/// look whole, and what follows it would be read as the next message.
#[rstest]
#[case::no_size("5\r\nhello\r\n\r\n\r\n")]
#[case::extension_without_a_size("5\r\nhello\r\n;name=value\r\n\r\n")]
#[case::space_before_the_size("5\r\nhello\r\n 0\r\n\r\n")]
#[case::two_sizes("5\r\nhello\r\n0 0\r\n\r\n")]
#[case::sign("5\r\nhello\r\n-0\r\n\r\n")]
#[case::trailer_without_a_colon("0\r\nno colon\r\n\r\n")]
#[case::trailer_without_a_name("0\r\n: value\r\n\r\n")]
#[case::space_behind_the_name("0\r\nX-Trailer : 1\r\n\r\n")]
#[case::folded_trailer("0\r\nX-Trailer: 1\r\n folded\r\n\r\n")]
#[case::nul_in_a_trailer("0\r\nX-Trailer: a\0b\r\n\r\n")]
#[case::line_feed_in_a_trailer("0\r\nX-Trailer: a\nX-Other: b\r\n\r\n")]
#[tokio::test]
async fn a_malformed_line_does_not_end_a_chunked_body(#[case] text: &str) {
    let mut reader = MessageReader::new(text.as_bytes());
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let error = loop {
        match reader.read_body_data(&mut decoder).await {
            Ok(Some(_)) => {}
            Ok(None) => panic!("the end of the body"),
            Err(error) => break error,
        }
    };
    assert!(
        matches!(error, ReadError::Body(BodyError::BadChunk)),
        "{error}"
    );
}

/// Guards against a sender of chunk extensions, trailer fields or empty lines without end.
#[rstest]
#[case::extensions("1;name=value-of-20-bytes\r\nx\r\n", "")]
#[case::trailers("X-Trailer: value-of-20-bytes\r\n", "0\r\n")]
#[tokio::test]
async fn framing_without_end_is_malformed(#[case] repeated: &str, #[case] start: &str) {
    const MAX_OVERHEAD_BYTES: usize = 1_000;
    let text = start.to_owned() + &repeated.repeat(10 * MAX_OVERHEAD_BYTES / repeated.len());
    let mut reader = MessageReader::new(text.as_bytes());
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked).with_max_overhead(MAX_OVERHEAD_BYTES);
    let error = loop {
        match reader.read_body_data(&mut decoder).await {
            Ok(Some(_)) => {}
            Ok(None) => panic!("the end of the body"),
            Err(error) => break error,
        }
    };
    assert!(
        matches!(error, ReadError::Body(BodyError::BadChunk)),
        "{error}"
    );
}

#[tokio::test]
async fn empty_lines_without_end_are_no_head() {
    let text = "\r\n".repeat(5_000);
    let mut reader = MessageReader::new(text.as_bytes());
    assert!(matches!(
        reader.read_head(4_096).await,
        Err(ReadError::HeadTooLong)
    ));
}

proptest! {
    /// The decoded body depends neither on the sizes of the chunks nor on those of
    /// the reads, and the message after the body stays in the buffer.
    #[test]
    fn a_chunked_body_decodes_alike_for_all_chunk_and_read_sizes(
        sizes in prop::collection::vec(1usize..400, 0..12),
        read_size in 1usize..64,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime starts");
        let mut wire = Vec::new();
        let mut expected = Vec::new();
        for (index, size) in sizes.iter().enumerate() {
            let chunk = vec![b'a' + u8::try_from(index).unwrap_or(0); *size];
            wire.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            wire.extend_from_slice(&chunk);
            wire.extend_from_slice(b"\r\n");
            expected.extend_from_slice(&chunk);
        }
        wire.extend_from_slice(b"0\r\n\r\nGET / HTTP/1.1\r\n\r\n");
        let (body, next) = runtime.block_on(async {
            let (mut send, receive) = tokio::io::duplex(read_size);
            let feed = async move {
                tokio::io::AsyncWriteExt::write_all(&mut send, &wire).await.expect("fed");
            };
            let read = async {
                let mut reader = MessageReader::new(receive);
                let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
                let mut body = Vec::new();
                while let Some(data) = reader.read_body_data(&mut decoder).await.expect("body data") {
                    body.extend_from_slice(&data);
                }
                (body, reader.read_head(1_000).await.expect("next head is read"))
            };
            let ((), read) = tokio::join!(feed, read);
            read
        });
        prop_assert_eq!(body, expected);
        prop_assert_eq!(next, Some(Bytes::from("GET / HTTP/1.1\r\n\r\n")));
    }
}
