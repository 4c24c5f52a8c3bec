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

/// Guards against a proper call that is refused for the number of its fields, and against
/// one whose fields take the processor for long.
#[rstest]
#[case(64, 2)]
#[case(101, 2)]
#[case(4_000, 2_000)]
fn a_head_may_have_as_many_fields_as_fit(#[case] fields: usize, #[case] listed: usize) {
    let names: Vec<String> = (0..fields).map(|number| format!("a{number:x}")).collect();
    let lines: String = names.iter().flat_map(|name| [name, ":\r\n"]).collect();
    let list = names[..listed].join(",");
    let raw = Bytes::from(format!(
        "GET / HTTP/1.1\r\nConnection: {list}\r\n{lines}\r\n"
    ));
    let started = std::time::Instant::now();
    let head = RequestHead::parse(&raw).expect("a head");
    let mut forwarded = Vec::new();
    head.fields.write_end_to_end(&mut forwarded, |_| false);
    let count = forwarded.split(|byte| *byte == b'\n').count() - 1;
    assert_eq!(count, fields - listed);
    assert!(started.elapsed() < std::time::Duration::from_secs(1));
}
