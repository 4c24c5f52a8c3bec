//! Tests of a planned stop under clients that cannot go elsewhere, as the clients of a zone
//! all of whose hosts stop: each call that reaches the daemon ends in words.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::steady_clients::{CallEnd, CallPattern, EndedCall, SteadyClients};
use filbert_platform_standin::{RouteSpec, TargetBehaviour};
use nix::sys::signal::Signal;
use rstest::rstest;
use users::{fleet, Fleet};

/// Time for which the clients call before the stop: enough for usual run times to be known.
const CALM: Duration = Duration::from_secs(2);
/// Grace time of the stand-in hosts.
const GRACE_TIME: Duration = Duration::from_secs(6);
/// Interval of the platform's readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the calls sent to a process that still accepts which may end with a closed
/// connection.
const MAX_CUT_SHARE: f64 = 0.01;
/// Time besides two usual runs that a call may need before the process ends.
const REFUSAL_MARGIN: Duration = Duration::from_millis(500);
const READ: &str = "GET /read";
const ORDER: &str = "POST /order";

/// Clients of a host that stops, and the target that runs their calls elsewhere.
#[derive(Clone, Copy, Debug)]
struct StopCase {
    pattern: CallPattern,
    run_time: Duration,
    answer_bytes: usize,
}

const fn paced(interval_ms: u64, run_ms: u64) -> StopCase {
    StopCase {
        pattern: CallPattern {
            clients: 2,
            interval: Duration::from_millis(interval_ms),
            burst: 1,
            pipelined: 16,
            line: READ,
            id_header: "Request-Id",
            headers: "Deadline-Ms: 4000\r\n",
            body_bytes: 0,
        },
        run_time: Duration::from_millis(run_ms),
        answer_bytes: 5_000,
    }
}

const fn alternating(run_ms: u64) -> StopCase {
    let case = paced(1, run_ms);
    StopCase {
        pattern: CallPattern {
            pipelined: 1,
            ..case.pattern
        },
        ..case
    }
}

/// Guards against calls that a stopping daemon reads and drops, and against connections that
/// it accepts and closes with no word.
#[rstest]
#[case::pipelined(paced(80, 220))]
#[case::long_pipelined(paced(300, 900))]
#[case::short_gaps(alternating(220))]
#[case::short_calls(alternating(5))]
#[case::large_answers(StopCase { answer_bytes: 400_000, ..paced(120, 60) })]
#[case::bursts(StopCase {
    pattern: CallPattern { burst: 8, ..paced(500, 60).pattern },
    ..paced(500, 60)
})]
#[case::uploads(StopCase {
    pattern: CallPattern { line: ORDER, body_bytes: 100_000, pipelined: 1, ..paced(50, 60).pattern },
    ..paced(50, 60)
})]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_at_a_stop_end_in_words(#[case] case: StopCase) {
    let mut fleet = start_fleet(case).await;
    let clients = SteadyClients::start("c", fleet.hosts[0].calls, case.pattern);
    tokio::time::sleep(CALM).await;
    let stopped_at = Instant::now();
    fleet.hosts[0].signal(Signal::SIGTERM);
    let checks = async {
        for _ in 0..2 {
            tokio::time::sleep(READINESS_INTERVAL / 2).await;
            assert!(!fleet.hosts[0].is_ready().await, "ready during a stop");
        }
    };
    checks.await;
    let left = GRACE_TIME.saturating_sub(stopped_at.elapsed());
    let exited = fleet.hosts[0].exited_cleanly_within(left).await;
    let exited_at = Instant::now();
    let log = fleet.hosts[0].log();
    assert!(exited, "outlived its grace time:\n{log}");
    let ended = clients.stop().await;
    let stop = ObservedStop {
        stopped_at,
        exited_at,
        log,
    };
    check_ends(&fleet, &ended, case, &stop);
}

/// When the daemon was told to stop and when it had ended, and its log.
struct ObservedStop {
    stopped_at: Instant,
    exited_at: Instant,
    log: String,
}

/// Starts a host whose clients call the targets of two others.
async fn start_fleet(case: StopCase) -> Fleet {
    let routes = [
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
    ];
    let hosts = [
        ("caller", "a", "art"),
        ("quoter-1", "b", "quotes"),
        ("quoter-2", "b", "quotes"),
    ];
    let fleet = fleet(&routes, &hosts).await;
    for host in &fleet.hosts[1..] {
        host.target
            .set_behaviour(TargetBehaviour::RespondsAfter(case.run_time));
        host.target.set_body_bytes(case.answer_bytes);
    }
    fleet
}

/// Checks that no call that ran is without an answer, that hardly any call was dropped, and
/// that a call was refused only if it could not end before the process.
fn check_ends(fleet: &Fleet, ended: &[EndedCall], case: StopCase, stop: &ObservedStop) {
    let log = &stop.log;
    let is_around_stop =
        |call: &&EndedCall| call.sent_at + Duration::from_secs(1) > stop.stopped_at;
    let around_stop: Vec<&EndedCall> = ended.iter().filter(is_around_stop).collect();
    let refusal_time = case.run_time * 2 + REFUSAL_MARGIN;
    let (mut served, mut refused, mut behind, mut cut) = (0, 0, 0, 0);
    for call in &around_stop {
        let has_run = fleet.run_count(&call.id) > 0;
        match call.end {
            CallEnd::Answered { status: 200, .. } => served += 1,
            CallEnd::Answered {
                status: 503,
                retry_after,
                closes,
            } => {
                refused += 1;
                assert!(!has_run, "refused, and run: {call:?}\n{log}");
                let is_late = call.sent_at + refusal_time >= stop.exited_at;
                assert!(is_late, "refused early: {call:?}\n{log}");
                assert!(retry_after.is_some() && closes, "{call:?}\n{log}");
            }
            CallEnd::Answered { .. } => panic!("{call:?}\n{log}"),
            CallEnd::Behind => {
                behind += 1;
                assert!(!has_run, "to be sent again, and run: {call:?}\n{log}");
            }
            CallEnd::Cut => {
                cut += 1;
                assert!(!has_run, "run without an answer: {call:?}\n{log}");
            }
        }
    }
    let sent = around_stop.len();
    println!("sent={sent} served={served} refused={refused} behind={behind} cut={cut}");
    let cut_share = f64::from(cut) / f64::from(u32::try_from(sent).expect("a few thousand"));
    assert!(cut_share < MAX_CUT_SHARE, "{cut} of {sent} cut\n{log}");
    assert!(served > 0, "{log}");
}
