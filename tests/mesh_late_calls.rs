//! Tests of calls that come late in the grace time of one host's planned stop, in calm: each ends
//! in an answer, and none runs whose answer the process cannot wait for.

#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::{Client, RouteSpec, TargetBehaviour};
use nix::sys::signal::Signal;
use rstest::rstest;
use tokio::task::JoinSet;
use users::{fleet, Fleet};

/// Grace time of the stand-in hosts.
const GRACE_TIME: Duration = Duration::from_secs(6);
/// Interval of the calls, and of the platform's readiness checks.
const CALL_INTERVAL: Duration = Duration::from_millis(500);
const LATE_CALLS: u32 = 13;
/// Length of a long body.
const BODY_BYTES: usize = 300_000;
const SLOTS: u32 = 64;
/// Calls before the stop, from which the usual run time is known.
const CALLS_BEFORE: usize = 6;
/// Run time of the calls that keep a stopping process up: they end within the grace time.
const LONG_RUN_TIME: Duration = Duration::from_millis(4_800);
/// Number of such calls, so that each target has some.
const LONG_CALLS: usize = 6;
/// Time within which a refusal must come.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Who stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopping {
    /// The callers' host; the targets are elsewhere.
    Caller,
    /// The host of one of two targets; the callers are elsewhere.
    OneOfTwoTargets,
    /// The host of the only target; the callers are elsewhere.
    OnlyTarget,
    /// The host of the callers and of one of two targets.
    CallerAndTarget,
}

impl Stopping {
    /// Index of the host that stops.
    fn host(self) -> usize {
        usize::from(self != Stopping::Caller)
    }

    /// Index of the host that is called.
    fn called(self) -> usize {
        usize::from(self == Stopping::CallerAndTarget)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    New,
    Kept,
}

/// A late call and how it ended.
#[derive(Debug)]
struct LateCall {
    id: String,
    connection: Connection,
    /// Time from the signal to the call, and from the call to its end.
    sent_after: Duration,
    took: Duration,
    /// Status and whether a time to return is stated; `None` if the connection ended.
    answer: Option<(u16, bool)>,
    runs: usize,
}

impl LateCall {
    /// Whether the target was at work in the last sixth of the grace time on a call that came
    /// early in it, of which the outcome may stay unknown.
    fn is_excused(&self, run_time: Duration) -> bool {
        const EARLY: Duration = Duration::from_secs(3);
        self.runs == 1
            && self.sent_after <= EARLY
            && self.sent_after + run_time >= GRACE_TIME * 5 / 6
    }

    /// What is wrong with the end of the call; empty if nothing is.
    fn fault(&self, run_time: Duration) -> &'static str {
        match self.answer {
            Some((200, _)) if self.runs == 1 => "",
            Some((200, _)) => "answered, and run twice or not at all",
            Some((503, _)) if self.runs > 0 => "refused, and run",
            Some((503, false)) => "refused without a time to return",
            Some((503, true)) if self.took > REFUSAL_TIME => "refused late",
            Some((503, true)) => "",
            Some((502 | 504, _)) if self.is_excused(run_time) => "",
            Some(_) => "neither its own answer nor a refusal",
            None if self.runs > 0 => "run, and cut",
            None if self.connection == Connection::New => "accepted, and cut",
            // It crossed the close of an idle connection.
            None => "",
        }
    }
}

const KINDS: [(&str, usize); 3] = [
    ("GET /read/a HTTP/1.1", 0),
    ("POST /order/a HTTP/1.1", 4),
    ("POST /order/a HTTP/1.1", BODY_BYTES),
];

async fn start(stopping: Stopping, run_time: Duration) -> Fleet {
    let mut routes = [
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::orders("/order/", "quotes"),
        RouteSpec::reads("/long/", "quotes"),
    ];
    for route in &mut routes {
        // Longer than the grace time.
        route.timeout_ms = 20_000;
    }
    let mut hosts = vec![("caller", "a", "art"), ("quoter-1", "a", "quotes")];
    if stopping != Stopping::OnlyTarget {
        hosts.push(("quoter-2", "a", "quotes"));
    }
    let fleet = fleet(&routes, &hosts).await;
    for host in &fleet.hosts {
        host.target.set_slots(SLOTS);
        let target = &host.target;
        target.set_behaviour(TargetBehaviour::RespondsAfter(run_time));
        target.set_behaviour_for_prefix("/long/", TargetBehaviour::RespondsAfter(LONG_RUN_TIME));
    }
    // The next report states the slots.
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

/// Sends a call on `client` and reads its answer.
async fn call(mut client: Client, line: &str, id: &str, body: &[u8]) -> Option<(u16, bool)> {
    let headers = [
        ("Host", "shop.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "15000"),
    ];
    // A refusal may come before the body is sent.
    let _ = client.send(line, &headers, body).await;
    let answer = client.answer().await?;
    Some((answer.status, !answer.header("Retry-After").is_empty()))
}

/// Calls of each kind, several at once, so that run times are known.
async fn call_before(fleet: &Fleet, host: usize) {
    let mut calls = JoinSet::new();
    for number in 0..CALLS_BEFORE {
        for (kind, (line, bytes)) in KINDS.into_iter().enumerate() {
            let client = fleet.connect(host).await;
            let id = format!("before-{kind}-{number}");
            calls.spawn(async move { call(client, line, &id, &vec![b'b'; bytes]).await });
        }
    }
    while let Some(answer) = calls.join_next().await {
        let answer = answer.expect("a call");
        assert_eq!(
            answer.map(|(status, _)| status),
            Some(200),
            "before the stop"
        );
    }
}

/// Starts calls that run for most of the grace time.
async fn start_long_calls(fleet: &Fleet, host: usize) -> JoinSet<Option<(u16, bool)>> {
    let mut calls = JoinSet::new();
    for number in 0..LONG_CALLS {
        let client = fleet.connect(host).await;
        let id = format!("long-{number}");
        calls.spawn(async move { call(client, "GET /long/a HTTP/1.1", &id, b"").await });
    }
    // They run before the signal.
    tokio::time::sleep(Duration::from_millis(200)).await;
    calls
}

/// Sends calls of all kinds at each [`CALL_INTERVAL`] after the signal.
async fn call_late(fleet: &Fleet, stopping: Stopping) -> Vec<LateCall> {
    let called = stopping.called();
    let mut kept = Vec::new();
    for _ in 0..LATE_CALLS {
        for _ in KINDS {
            kept.push(fleet.connect(called).await);
        }
    }
    let signal_at = Instant::now();
    fleet.hosts[stopping.host()].signal(Signal::SIGTERM);
    let address = fleet.hosts[called].calls;
    let mut calls = JoinSet::new();
    for number in 0..LATE_CALLS {
        tokio::time::sleep_until((signal_at + CALL_INTERVAL * number).into()).await;
        fleet.hosts[stopping.host()].is_ready().await;
        for (kind, (line, bytes)) in KINDS.into_iter().enumerate() {
            for connection in [Connection::New, Connection::Kept] {
                let client = match connection {
                    Connection::Kept => kept.pop().expect("one a call"),
                    Connection::New => match Client::connect(address).await {
                        Ok(client) => client,
                        // The process has ended.
                        Err(_) => continue,
                    },
                };
                let id = format!("late-{number}-{kind}-{connection:?}");
                let sent_at = Instant::now();
                calls.spawn(async move {
                    let answer = call(client, line, &id, &vec![b'b'; bytes]).await;
                    LateCall {
                        id,
                        connection,
                        sent_after: sent_at - signal_at,
                        took: sent_at.elapsed(),
                        answer,
                        runs: 0,
                    }
                });
            }
        }
    }
    calls.join_all().await
}

/// Stops a host while calls come, and checks how each of them ends.
async fn check_late_calls(stopping: Stopping, run_ms: u64, is_kept_up: bool) {
    let run_time = Duration::from_millis(run_ms);
    let mut fleet = start(stopping, run_time).await;
    call_before(&fleet, stopping.called()).await;
    if is_kept_up {
        let long_calls = start_long_calls(&fleet, stopping.called()).await;
        long_calls.join_all().await;
    }
    let long_calls = if is_kept_up {
        start_long_calls(&fleet, stopping.called()).await
    } else {
        JoinSet::new()
    };
    let mut calls = call_late(&fleet, stopping).await;
    for answer in long_calls.join_all().await {
        assert_eq!(answer.map(|(status, _)| status), Some(200), "a long call");
    }
    for call in &mut calls {
        call.runs = fleet.run_count(&call.id);
    }
    let served = calls
        .iter()
        .filter(|call| call.answer.is_some_and(|(status, _)| status == 200));
    println!(
        "{stopping:?} {run_ms} {is_kept_up}: {} of {} served",
        served.count(),
        calls.len()
    );
    let faults: Vec<String> = calls
        .iter()
        .filter(|call| !call.fault(run_time).is_empty())
        .map(|call| format!("{}: {call:?}", call.fault(run_time)))
        .collect();
    let host = &mut fleet.hosts[stopping.host()];
    let is_ended = host.exited_cleanly_within(GRACE_TIME).await;
    assert!(
        faults.is_empty(),
        "{} of {}\n{}",
        faults.len(),
        calls.len(),
        faults.join("\n")
    );
    assert!(is_ended, "{}", host.log());
}

/// Guards against calls that a stopping daemon takes and passes on though they cannot end before
/// the process does, which a long call keeps up.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_call_is_answered_or_not_run(
    #[values(
        Stopping::Caller,
        Stopping::OneOfTwoTargets,
        Stopping::OnlyTarget,
        Stopping::CallerAndTarget
    )]
    stopping: Stopping,
    #[values(200, 1_000, 2_500, 5_000)] run_ms: u64,
) {
    check_late_calls(stopping, run_ms, true).await;
}

/// Guards against the same while nothing but these calls keeps the process up.
#[rstest]
#[case::caller(Stopping::Caller)]
#[case::one_of_two_targets(Stopping::OneOfTwoTargets)]
#[case::only_target(Stopping::OnlyTarget)]
#[case::caller_and_target(Stopping::CallerAndTarget)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_to_an_idle_host_that_stops_is_answered_or_not_run(#[case] stopping: Stopping) {
    check_late_calls(stopping, 1_000, false).await;
}
