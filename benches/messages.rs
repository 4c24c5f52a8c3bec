//! Measures the cost of reading and writing one call's messages, in nanoseconds. The
//! figures are printed, never asserted.

use std::hint::black_box;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use filbert_http1::{RequestHead, ResponseHead};
use filbert_mesh::messages::{decode_next, encode, CallHead};
use filbert_platform::headers;
use filbert_policy::identity::{CallIdentity, IdentityParts};

/// Measured operations per figure.
const ROUNDS: u32 = 200_000;

const REQUEST: &str = "POST /order/a?b=c HTTP/1.1\r\nHost: shop.example\r\n\
    Request-Id: 9c41d07be2a35f68\r\nDeadline-Ms: 800\r\nUser-Agent: desk/1.4\r\n\
    Accept: */*\r\nContent-Type: application/json\r\nContent-Length: 4000\r\n\r\n";
const RESPONSE: &str = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\n\
    Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 3,0,8\r\n\
    Keep-Alive: timeout=5\r\nContent-Length: 4000\r\n\r\n";

/// Prints the average time of `operation` under `name`, after a warm-up.
fn measure(name: &str, mut operation: impl FnMut()) {
    for _ in 0..ROUNDS / 10 {
        operation();
    }
    let started = Instant::now();
    for _ in 0..ROUNDS {
        operation();
    }
    let nanos = started.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS);
    println!("{name:<52} {nanos:>8.0} ns");
}

fn call_head(lines: Vec<u8>) -> CallHead {
    CallHead {
        id: "9c41d07be2a35f68".to_owned(),
        identity: CallIdentity::of(&IdentityParts {
            method: "POST",
            host: "shop.example",
            target: "/order/a?b=c",
            caller: &[],
            body_prefix: b"sign",
            body_length: Some(4),
        }),
        service: "quotes".to_owned(),
        method: "POST".to_owned(),
        target: "/order/a?b=c".to_owned(),
        lines,
        body_length: Some(4_000),
        has_body: true,
        deadline_us: 800_000,
        soft_deadline_us: 300_000,
        priority: 1,
        answer_bytes: 200,
        kind: "r-1".to_owned(),
        expected_run_time: None,
        organisation: None,
    }
}

fn main() {
    let request = Bytes::from_static(REQUEST.as_bytes());
    measure("request head: parse", || {
        black_box(RequestHead::parse(&request).expect("a head"));
    });
    let head = RequestHead::parse(&request).expect("a head");
    measure("request head: check the single fields", || {
        black_box(headers::find_call_fault(&head));
    });
    measure("request head: write the target's lines", || {
        black_box(headers::target_header_lines(&head, "art", None));
    });
    let response = Bytes::from_static(RESPONSE.as_bytes());
    measure("response head: parse", || {
        black_box(ResponseHead::parse(&response, false).expect("a head"));
    });
    let answer = ResponseHead::parse(&response, false).expect("a head");
    measure("response head: classify", || {
        black_box(headers::classify_response(&answer, "9c41d07be2a35f68"));
    });
    let lines = headers::target_header_lines(&head, "art", None);
    let message = encode(&call_head(lines));
    measure("head of a call over a link: decode", || {
        let mut buffer = BytesMut::from(&message[..]);
        black_box(decode_next::<CallHead>(&mut buffer).expect("a message"));
    });
}
