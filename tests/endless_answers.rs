//! Tests of targets that send bytes without end on many calls at once, at a daemon over our own
//! store: it keeps within its memory and answers other callers.

#[path = "support/crowd.rs"]
mod crowd;
#[path = "support/raw_target.rs"]
mod raw_target;
mod support;

use std::time::{Duration, Instant};

use crowd::{check_usage, run_alone, UsageBounds};
use raw_target::{RawEnd, RawTarget, REPEATED_BYTES};
use rstest::rstest;
use support::{eventually, get, mesh_spec, start_mesh_with_example, WAIT_TIMEOUT};
use tokio::task::JoinSet;

const CALLERS: usize = 50;
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Longest time that another call may take.
const MAX_CALL_TIME: Duration = Duration::from_secs(1);
const REFUSED_PAUSE: Duration = Duration::from_millis(200);
const BOUNDS: UsageBounds = UsageBounds::with_descriptors(4_100);

/// The start of an answer, and the bytes that are repeated behind it.
fn endless_answer(start: &str, line: &str) -> Vec<u8> {
    let mut repeated = line.repeat(REPEATED_BYTES / line.len());
    repeated.push_str(&line[..REPEATED_BYTES - repeated.len()]);
    [start.as_bytes(), repeated.as_bytes()].concat()
}

/// Guards against faulty answers that take the memory of the process, or the share of it that
/// the answers to others need.
#[rstest]
#[case::body("HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxx")]
#[case::stated_body("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "xxxxxxxxxx")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "5\r\nxxxxx\r\n"
)]
#[case::fields("HTTP/1.1 200 OK\r\n", "X-Fi: xx\r\n")]
#[case::junk("", "xxxxxxxxxx")]
#[case::interim("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn endless_answers_at_once_leave_the_daemon_to_others(
    #[case] start: &str,
    #[case] line: &str,
) {
    let _alone = run_alone().await;
    let spec = mesh_spec(&["artwork"]).zones(&["zone-a"]);
    let mesh = start_mesh_with_example(spec.daemons_per_zone(1)).await;
    let target = RawTarget::start(&mesh.daemons[0].admin_url).await;
    target.set_answer(
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole".to_vec(),
        RawEnd::Open,
    );
    let url = mesh.daemons[0].proxy_url.clone();
    for path in ["/quotes/a", "/artwork/a"] {
        let is_answered = || async { get(&url, "north-signs", path).await.status() == 200 };
        assert!(eventually(WAIT_TIMEOUT, is_answered).await, "{path}");
    }
    target.set_answer(endless_answer(start, line), RawEnd::Repeated);
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let url = url.clone();
        callers.spawn(async move {
            let client = reqwest::Client::new();
            loop {
                let call = client.get(format!("{url}/quotes/a"));
                let answer = call.header("x-filbert-member", "north-signs").send().await;
                // A connection may be closed to make room.
                assert!(answer.is_err() || answer.is_ok_and(|answer| answer.status() != 200));
                tokio::time::sleep(REFUSED_PAUSE).await;
            }
        });
    }
    let until = Instant::now() + CROWD_TIME;
    let mut failed = Vec::new();
    let mut calls = 0;
    while Instant::now() < until {
        calls += 1;
        let started = Instant::now();
        let status = get(&url, "harbour-signs", "/artwork/a").await.status();
        let took = started.elapsed();
        if status != 200 || took > MAX_CALL_TIME {
            failed.push((status, took));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    callers.abort_all();
    while let Some(end) = callers.join_next().await {
        assert!(end.is_err_and(|error| error.is_cancelled()), "an answer");
    }
    println!("{} of {calls} failed", failed.len());
    let daemon = &mesh.daemons[0];
    check_usage(daemon.pid().expect("a process"), &daemon.id, BOUNDS);
    assert!(failed.is_empty(), "{failed:?}");
}
