//! Fields that must reach the other end once, and status codes.

use bytes::Bytes;
use filbert_http1::{FieldFault, HeadError, RequestHead, ResponseHead};
use rstest::rstest;

const SINGLE: [&str; 2] = ["Request-Id", "Deadline-Ms"];

/// Guards against a field that two receivers read differently, and one that the next hop
/// does not get.
#[rstest]
#[case("Request-Id: a\r\nDeadline-Ms: 5\r\nX: 1\r\nX: 2\r\n", None)]
#[case(
    "Request-Id: a\r\nrequest-id: b\r\n",
    Some(FieldFault::Repeated("Request-Id"))
)]
#[case(
    "Request-Id: a\r\nRequest-Id: a\r\n",
    Some(FieldFault::Repeated("Request-Id"))
)]
#[case(
    "Request-Id: a\r\nConnection: close, REQUEST-ID\r\n",
    Some(FieldFault::HopByHop("Request-Id"))
)]
#[case(
    "Connection: deadline-ms\r\nDeadline-Ms: 5\r\n",
    Some(FieldFault::HopByHop("Deadline-Ms"))
)]
#[case("Connection: Deadline-Ms\r\nRequest-Id: a\r\n", None)]
#[case("Connection: keep-alive, X\r\nRequest-Id: a\r\nX: 1\r\n", None)]
fn a_field_that_must_be_single_is_checked(
    #[case] fields: &str,
    #[case] fault: Option<FieldFault<'static>>,
) {
    let raw = Bytes::from(format!("GET / HTTP/1.1\r\n{fields}\r\n"));
    let head = RequestHead::parse(&raw).expect("a head");
    assert_eq!(head.fields.find_fault(&SINGLE), fault);
}

/// Guards against bytes that look like a response with a status that no server gives.
#[rstest]
#[case(0, false)]
#[case(99, false)]
#[case(100, true)]
#[case(599, true)]
#[case(600, false)]
#[case(999, false)]
fn a_status_out_of_range_is_no_response(#[case] status: u16, #[case] is_valid: bool) {
    let raw = Bytes::from(format!(
        "HTTP/1.1 {status:03} X\r\nContent-Length: 0\r\n\r\n"
    ));
    let parsed = ResponseHead::parse(&raw, false).map(|head| head.status);
    let expected = is_valid.then_some(status).ok_or(HeadError::Malformed);
    assert_eq!(parsed, expected);
}
