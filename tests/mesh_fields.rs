//! Properties of the path of a call over two daemons: the target reads what the client
//! meant, once, or the call is refused.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{Answer, Client};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use users::{generated_cases, two_host_fleet, Fleet};

const BAD_REQUEST: u16 = 400;
/// Longest time until a call that can never be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
const SEED: u64 = 497;
const GENERATED_CALLS: usize = 150;

async fn send_raw(fleet: &Fleet, host: usize, bytes: &[u8]) -> Option<Answer> {
    let mut client = Client::connect(fleet.hosts[host].calls).await.ok()?;
    client.send_raw(bytes).await.ok()?;
    client.answer().await
}

/// Guards against a call whose id, deadline or caller the target reads differently, and
/// against tries at several targets of a call that none can run.
#[rstest]
#[case::two_ids("Request-Id: order-1\r\nRequest-Id: order-2\r\nDeadline-Ms: 2000\r\n")]
#[case::two_deadlines("Request-Id: order-1\r\nDeadline-Ms: 2000\r\nDeadline-Ms: 9000\r\n")]
#[case::two_hosts("Host: other.example\r\nRequest-Id: order-1\r\nDeadline-Ms: 2000\r\n")]
#[case::two_keys("Request-Id: order-1\r\nDeadline-Ms: 2000\r\nKey: a\r\nKey: b\r\n")]
#[case::id_not_forwarded("Request-Id: order-1\r\nDeadline-Ms: 2000\r\nConnection: Request-Id\r\n")]
#[case::two_lengths("Request-Id: order-1\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n")]
#[tokio::test]
async fn a_call_with_a_faulty_field_is_refused_at_once(#[case] fields: &str) {
    let fleet = two_host_fleet("a").await;
    let head = format!(
        "POST /order/a HTTP/1.1\r\nHost: shop.example\r\n{fields}Content-Length: 0\r\n\r\n"
    );
    let started = Instant::now();
    let answer = send_raw(&fleet, 0, head.as_bytes()).await;
    assert_eq!(answer.map(|answer| answer.status), Some(BAD_REQUEST));
    assert!(started.elapsed() < REFUSAL_TIME, "{:?}", started.elapsed());
    assert!(fleet.hosts[1].target.arrivals().is_empty());
}

/// A generated call, as sent and as meant.
struct GeneratedCall {
    bytes: Vec<u8>,
    body: Vec<u8>,
    /// Whether it is proper; otherwise it must be refused.
    is_proper: bool,
}

fn generate_call(id: &str, rng: &mut StdRng) -> GeneratedCall {
    let length = *[0, 1, 500, 64 * 1024, 64 * 1024 + 1, 150_000]
        .choose(rng)
        .expect("lengths");
    let body: Vec<u8> = (0..length).map(|_| rng.random()).collect();
    let odd = [
        "X-Original-Transfer-Encoding: chunked",
        "X-Note: Transfer-Encoding: chunked",
        "X-Content-Length: 3",
        "X-Empty:",
        "X-Twice: 1\r\nX-Twice: 2",
        "Connection: keep-alive",
        "Connection: X-Note",
        "TE: trailers",
        "x-bytes: \u{e9}\u{fc}",
    ];
    let illegal = [
        "Request-Id: another",
        "Deadline-Ms: 1",
        "Connection: Request-Id",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding : chunked",
        "Content-Length: +1",
        " folded: line",
        "no colon",
        "Content-Length: 1\r\nContent-Length: 2",
    ];
    let faulty_sizes = ["", ";name=value", "zz", "-1", "0x5"];
    let is_chunked = rng.random_bool(0.5);
    let is_proper = rng.random_bool(0.7);
    let has_faulty_chunk = !is_proper && is_chunked && rng.random_bool(0.4);
    let mut lines = vec![
        format!("POST /order/{id} HTTP/1.1"),
        "Host: shop.example".to_owned(),
        format!("Request-Id: {id}"),
        "Deadline-Ms: 5000".to_owned(),
    ];
    for _ in 0..rng.random_range(0..3) {
        lines.push((*odd.choose(rng).expect("fields")).to_owned());
    }
    if !is_proper && !has_faulty_chunk {
        lines.push((*illegal.choose(rng).expect("fields")).to_owned());
    }
    if is_chunked {
        lines.push("Transfer-Encoding: chunked".to_owned());
    } else if !body.is_empty() {
        lines.push(format!("Content-Length: {length}"));
    }
    let mut bytes = format!("{}\r\n\r\n", lines.join("\r\n")).into_bytes();
    if is_chunked {
        let mut rest = &body[..];
        while !rest.is_empty() {
            let (chunk, tail) = rest.split_at(rng.random_range(1..=rest.len()));
            bytes.extend_from_slice(format!("{:X};ext=1\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
            rest = tail;
        }
        if has_faulty_chunk {
            let size = faulty_sizes.choose(rng).expect("sizes");
            bytes.extend_from_slice(format!("{size}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
    } else {
        bytes.extend_from_slice(&body);
    }
    GeneratedCall {
        bytes,
        body,
        is_proper,
    }
}

/// Guards against a third thing besides the same call once and a refusal, in all framings
/// and with odd and illegal fields, over a link and at the own target.
#[tokio::test]
async fn a_call_arrives_as_it_was_meant_or_is_refused() {
    let fleet = two_host_fleet("a").await;
    let mut rng = StdRng::seed_from_u64(SEED);
    for number in 0..generated_cases(GENERATED_CALLS) {
        let id = format!("order-{number}");
        let call = generate_call(&id, &mut rng);
        let head = String::from_utf8_lossy(&call.bytes[..call.bytes.len().min(300)]).into_owned();
        let status = send_raw(&fleet, number % 2, &call.bytes)
            .await
            .map(|answer| answer.status);
        let runs = fleet.hosts[1].target.runs();
        let of_call: Vec<_> = runs.iter().filter(|run| run.id == id).collect();
        if call.is_proper {
            assert_eq!(status, Some(200), "{head}");
            assert_eq!(of_call.len(), 1, "{head}");
            assert_eq!(of_call[0].line, format!("POST /order/{id}"), "{head}");
            assert!(of_call[0].body == call.body, "changed body: {head}");
        } else {
            // A client that still sends may miss the answer.
            assert!(
                matches!(status, Some(BAD_REQUEST) | None),
                "{status:?}: {head}"
            );
            assert!(of_call.is_empty(), "{head}");
        }
    }
    let sent = |id: &str| {
        id.strip_prefix("order-")
            .is_some_and(|rest| rest.parse::<usize>().is_ok())
    };
    let runs = fleet.hosts[1].target.runs();
    assert!(
        runs.iter().all(|run| sent(&run.id)),
        "a call that no client sent"
    );
}
