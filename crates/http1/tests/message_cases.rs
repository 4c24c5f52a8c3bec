//! Messages from byte streams, whole and broken, in pieces of any size.

use bytes::Bytes;
use filbert_http1::{
    BodyDecoder, BodyFraming, HeadError, MessageReader, ReadError, RequestHead, ResponseHead,
};
use proptest::prelude::*;
use rstest::rstest;

/// A request's head, and how its body is delimited.
struct FramingCase {
    fields: &'static str,
    framing: Result<BodyFraming, HeadError>,
}

#[rstest]
#[case(FramingCase { fields: "", framing: Ok(BodyFraming::Empty) })]
#[case(FramingCase { fields: "Content-Length: 5\r\n", framing: Ok(BodyFraming::Length(5)) })]
#[case(FramingCase { fields: "Content-Length: 5\r\nContent-Length: 5\r\n", framing: Ok(BodyFraming::Length(5)) })]
#[case(FramingCase { fields: "Transfer-Encoding: Chunked\r\n", framing: Ok(BodyFraming::Chunked) })]
#[case(FramingCase { fields: "Content-Length: 5\r\nContent-Length: 6\r\n", framing: Err(HeadError::AmbiguousLength) })]
#[case(FramingCase { fields: "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", framing: Err(HeadError::AmbiguousLength) })]
#[case(FramingCase { fields: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", framing: Err(HeadError::AmbiguousLength) })]
#[case(FramingCase { fields: "Transfer-Encoding: gzip, chunked\r\n", framing: Err(HeadError::AmbiguousLength) })]
#[case(FramingCase { fields: "Content-Length: +5\r\n", framing: Err(HeadError::Malformed) })]
#[case(FramingCase { fields: "Content-Length: 5, 5\r\n", framing: Err(HeadError::Malformed) })]
#[case(FramingCase { fields: "Content-Length: 99999999999999999999\r\n", framing: Err(HeadError::Malformed) })]
#[case(FramingCase { fields: "Content Length: 5\r\n", framing: Err(HeadError::Malformed) })]
fn a_body_is_delimited_in_one_way_or_refused(#[case] case: FramingCase) {
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
fn an_answers_head_tells_body_and_connection(
    #[case] text: &'static str,
    #[case] to_head: bool,
    #[case] framing: BodyFraming,
    #[case] keep_alive: bool,
) {
    let head = ResponseHead::parse(&Bytes::from(text), to_head).expect("a head");
    assert_eq!((head.framing, head.keep_alive), (framing, keep_alive));
}

async fn read_all(stream: &[u8], framing: BodyFraming) -> Result<Vec<u8>, ReadError> {
    let mut reader = MessageReader::new(stream);
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    while let Some(piece) = reader.read_body_data(&mut decoder).await? {
        body.extend_from_slice(&piece);
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
async fn a_body_is_whole_or_an_error(
    #[case] framing: BodyFraming,
    #[case] text: &str,
    #[case] is_whole: bool,
) {
    let body = read_all(text.as_bytes(), framing).await;
    assert_eq!(body.is_ok(), is_whole, "{text}");
    if is_whole {
        assert_eq!(body.expect("whole"), b"hello");
    }
}

#[tokio::test]
async fn a_head_beyond_the_limit_is_refused_before_it_is_whole() {
    let text = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(5_000));
    let mut reader = MessageReader::new(text.as_bytes());
    assert!(matches!(
        reader.read_head(4_096).await,
        Err(ReadError::HeadTooLong)
    ));
}

proptest! {
    /// Whatever the sizes of chunks and of the pieces in which they arrive,
    /// the body is the same and what follows it is left alone.
    #[test]
    fn chunks_in_any_pieces_give_the_same_body(
        sizes in prop::collection::vec(1usize..400, 0..12),
        cut in 1usize..64,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let mut wire = Vec::new();
        let mut expected = Vec::new();
        for (index, size) in sizes.iter().enumerate() {
            let piece = vec![b'a' + u8::try_from(index).unwrap_or(0); *size];
            wire.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            wire.extend_from_slice(&piece);
            wire.extend_from_slice(b"\r\n");
            expected.extend_from_slice(&piece);
        }
        wire.extend_from_slice(b"0\r\n\r\nGET / HTTP/1.1\r\n\r\n");
        let (body, next) = runtime.block_on(async {
            let (mut send, receive) = tokio::io::duplex(cut);
            let feed = async move {
                tokio::io::AsyncWriteExt::write_all(&mut send, &wire).await.expect("fed");
            };
            let read = async {
                let mut reader = MessageReader::new(receive);
                let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
                let mut body = Vec::new();
                while let Some(piece) = reader.read_body_data(&mut decoder).await.expect("a piece") {
                    body.extend_from_slice(&piece);
                }
                (body, reader.read_head(1_000).await.expect("the next head"))
            };
            let ((), read) = tokio::join!(feed, read);
            read
        });
        prop_assert_eq!(body, expected);
        prop_assert_eq!(next, Some(Bytes::from("GET / HTTP/1.1\r\n\r\n")));
    }
}
