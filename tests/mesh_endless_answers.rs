//! Tests of targets that fall silent inside an answer, or send bytes without end.

#[path = "support/users.rs"]
mod users;

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, EndlessBytes, Host, TargetBehaviour};
use filbert_standin::usage::ProcessUsage;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use users::{eventually, two_host_fleet, Fleet};

const READ: &str = "GET /read/a HTTP/1.1";
/// Timeout of the routes, and time that the clients wait.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the timeout within which an answer must have ended.
const END_MARGIN: Duration = Duration::from_millis(500);
/// Time before the timeout in which an answer may end: the way of the client's call.
const EARLY_MARGIN: Duration = Duration::from_millis(100);
/// The most that a daemon may read of bytes that are no answer, besides what the kernel's
/// buffers of a connection hold.
const MAX_SPOILED_BYTES: u64 = 4 * 1024 * 1024;
const KERNEL_BUFFER_BYTES: u64 = 8 * 1024 * 1024;
/// The most processor time of a daemon for a call that is spoiled.
const MAX_SPOILED_CPU_TIME: Duration = Duration::from_millis(50);

/// Host whose client calls the target on the host with index 1.
const OVER_A_LINK: usize = 0;
const AT_THE_TARGET: usize = 1;

/// Sends a call through `host` and reads until its connection ends or `limit` is over.
/// Returns whether a whole answer came, and when it ended.
async fn read_to_the_end(host: &Host, limit: Duration) -> (bool, Duration) {
    let mut client = Client::connect(host.calls).await.expect("a connection");
    let sent_at = Instant::now();
    client
        .send(READ, &call_headers("read-1"), b"")
        .await
        .expect("sent");
    let answer = tokio::time::timeout(limit, client.answer()).await;
    let is_whole = matches!(answer, Ok(Some(answer)) if answer.status == 200);
    (is_whole, sent_at.elapsed())
}

/// The run ends at the target, and a further call is answered: its slot is free.
async fn check_slots(fleet: &Fleet) {
    let target = &fleet.hosts[1].target;
    assert!(eventually(END_MARGIN, || async { target.running() == 0 }).await);
    target.set_behaviour(TargetBehaviour::Responds);
    let answer = fleet.hosts[0].call(READ, "read-2", b"").await;
    assert_eq!(answer.expect("an answer").status, 200);
}

/// Guards against an answer that is kept open for ever because its target has fallen silent.
#[rstest]
#[case::over_a_link(OVER_A_LINK)]
#[case::at_the_target(AT_THE_TARGET)]
#[tokio::test]
async fn an_answer_that_falls_silent_ends_at_its_timeout(#[case] host: usize) {
    let fleet = two_host_fleet("a").await;
    fleet.hosts[1].target.set_body_bytes(540_000);
    fleet.hosts[1]
        .target
        .set_behaviour(TargetBehaviour::FallsSilent);
    let (is_whole, took) = read_to_the_end(&fleet.hosts[host], ROUTE_TIMEOUT * 3).await;
    assert!(!is_whole, "looks complete");
    assert!(took <= ROUTE_TIMEOUT + END_MARGIN, "{took:?}");
    assert!(took + EARLY_MARGIN >= ROUTE_TIMEOUT, "{took:?}");
    check_slots(&fleet).await;
}

/// Guards against a daemon that reads without end what is no answer, or an answer without end.
#[rstest]
#[case::interim(EndlessBytes::Interim)]
#[case::empty_lines(EndlessBytes::EmptyLines)]
#[case::fields(EndlessBytes::Fields)]
#[case::other_answers(EndlessBytes::OtherAnswers)]
#[case::other_body(EndlessBytes::OtherBody)]
#[case::trailers(EndlessBytes::Trailers)]
#[case::chunk_extensions(EndlessBytes::ChunkExtensions)]
#[case::junk(EndlessBytes::Junk)]
#[case::chunks(EndlessBytes::Chunks)]
#[case::body(EndlessBytes::Body)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_without_end_end_with_their_call(
    #[case] bytes: EndlessBytes,
    #[values(OVER_A_LINK, AT_THE_TARGET)] host: usize,
) {
    let fleet = two_host_fleet("a").await;
    let target = &fleet.hosts[1].target;
    target.set_behaviour(TargetBehaviour::SendsWithoutEnd(bytes));
    let cpu_time = || {
        let usage = ProcessUsage::read(fleet.hosts[1].pid().expect("a process"));
        usage.expect("its usage").cpu_time
    };
    let cpu_time_before = cpu_time();
    let (is_whole, took) = read_to_the_end(&fleet.hosts[host], ROUTE_TIMEOUT * 3).await;
    assert!(!is_whole, "looks complete");
    assert!(took <= ROUTE_TIMEOUT + END_MARGIN, "{took:?}");
    // The test's own tasks: the target notices the close with its next write.
    assert!(eventually(END_MARGIN, || async { target.running() == 0 }).await);
    let is_a_body = matches!(bytes, EndlessBytes::Chunks | EndlessBytes::Body);
    if !is_a_body {
        let runs = u64::try_from(target.runs().len()).expect("a few runs");
        let read = target.endless_bytes() / runs.max(1);
        println!("{bytes:?}: {read} bytes of each of {runs} runs, {took:?}");
        assert!(
            read <= MAX_SPOILED_BYTES + KERNEL_BUFFER_BYTES,
            "{read} bytes"
        );
        let cpu_time = cpu_time().saturating_sub(cpu_time_before);
        let most = MAX_SPOILED_CPU_TIME * target.runs().len().try_into().expect("a few runs");
        assert!(cpu_time <= most, "{cpu_time:?}");
    }
    check_slots(&fleet).await;
}

/// Reads slowly an answer that has no end, through `host`. Returns how long it took to end.
async fn read_slowly_to_the_end(host: &Host, pause: Duration) -> Duration {
    const RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;
    let connected = Client::connect_with_buffer(host.calls, RECEIVE_BUFFER_BYTES).await;
    let mut client = connected.expect("a connection");
    let sent_at = Instant::now();
    let headers = call_headers("read-1");
    client.send(READ, &headers, b"").await.expect("sent");
    let answer = tokio::time::timeout(ROUTE_TIMEOUT * 3, client.answer_slowly(pause)).await;
    assert!(!matches!(answer, Ok(Some(_))), "looks complete");
    sent_at.elapsed()
}

/// Guards against an answer that goes on behind its timeout for a client that reads slowly, as the
/// kernel holds megabytes of it.
#[rstest]
#[case::over_a_link(OVER_A_LINK)]
#[case::at_the_target(AT_THE_TARGET)]
#[tokio::test]
async fn a_slow_reader_learns_in_time_that_its_answer_is_cut(#[case] host: usize) {
    const PAUSE: Duration = Duration::from_millis(5);
    let fleet = two_host_fleet("a").await;
    let target = &fleet.hosts[1].target;
    target.set_behaviour(TargetBehaviour::SendsWithoutEnd(EndlessBytes::Body));
    let took = read_slowly_to_the_end(&fleet.hosts[host], PAUSE).await;
    let log = fleet.hosts[host].log();
    assert!(took <= ROUTE_TIMEOUT + END_MARGIN, "{took:?}\n{log}");
    check_slots(&fleet).await;
}

/// Guards against an answer that goes on behind its timeout because the daemon waits for its client
/// and does not see meanwhile that the answer is cut.
#[rstest]
#[case::over_a_link(OVER_A_LINK)]
#[case::at_the_target(AT_THE_TARGET)]
#[tokio::test]
async fn a_reader_that_holds_the_daemon_up_learns_that_its_answer_is_cut(
    #[case] host: usize,
    #[values(EndlessBytes::Body, EndlessBytes::Chunks)] bytes: EndlessBytes,
) {
    const PAUSE: Duration = Duration::from_millis(20);
    let fleet = two_host_fleet("a").await;
    let target = &fleet.hosts[1].target;
    target.set_behaviour(TargetBehaviour::SendsWithoutEnd(bytes));
    let took = read_slowly_to_the_end(&fleet.hosts[host], PAUSE).await;
    let log = fleet.hosts[host].log();
    assert!(took <= ROUTE_TIMEOUT + END_MARGIN, "{took:?}\n{log}");
    check_slots(&fleet).await;
}

/// Guards against a part of an answer that looks complete to a client of HTTP/1.0: it takes the end
/// of the connection for the end of an answer without a length.
#[rstest]
#[case::over_a_link(OVER_A_LINK)]
#[case::at_the_target(AT_THE_TARGET)]
#[tokio::test]
async fn an_answer_that_is_cut_is_not_complete_for_an_older_client(
    #[case] host: usize,
    #[values(0, 2)] pause_ms: u64,
) {
    let pause = Duration::from_millis(pause_ms);
    let fleet = two_host_fleet("a").await;
    let target = &fleet.hosts[1].target;
    target.set_behaviour(TargetBehaviour::SendsWithoutEnd(EndlessBytes::Body));
    let mut stream = TcpStream::connect(fleet.hosts[host].calls)
        .await
        .expect("a connection");
    let call = "GET /read/a HTTP/1.0\r\nHost: shop.example\r\nRequest-Id: read-1\r\nDeadline-Ms: 2000\r\n\r\n";
    stream.write_all(call.as_bytes()).await.expect("sent");
    let end = tokio::time::timeout(ROUTE_TIMEOUT * 3, read_until_end(&mut stream, pause)).await;
    let error = end.expect("an end").expect_err("looks complete");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    check_slots(&fleet).await;
}

/// Reads an answer with status 200 to the end of its connection, with a `pause` before each part.
///
/// # Errors
/// The error with which the connection ends.
async fn read_until_end(stream: &mut TcpStream, pause: Duration) -> std::io::Result<()> {
    let mut part = vec![0; 64 * 1024];
    let first = stream.read(&mut part).await?;
    assert!(part[..first].starts_with(b"HTTP/1.1 200 "), "no answer");
    while stream.read(&mut part).await? > 0 {
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    Ok(())
}
