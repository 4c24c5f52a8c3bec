//! Tests of a target that sends bytes without end on many calls at once, to clients that read
//! slowly: the daemons keep within the memory of a small host and answer other clients.

#[path = "support/crowd.rs"]
mod crowd;
#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use crowd::{check_usage, run_alone, UsageBounds};
use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, EndlessBytes, Host, RouteSpec, TargetBehaviour};
use rstest::rstest;
use tokio::task::JoinSet;
use users::{fleet, reload_with, Fleet};

const CLIENTS: usize = 50;
/// Slots of the target: the endless answers leave some to other calls.
const SLOTS: u32 = 60;
const ENDLESS: &str = "GET /read/endless HTTP/1.1";
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;
const READER_PAUSE: Duration = Duration::from_millis(20);
const REFUSED_PAUSE: Duration = Duration::from_millis(200);
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Longest time that another call may take.
const MAX_CALL_TIME: Duration = Duration::from_secs(1);
/// Memory of the users' smallest hosts, in MiB.
const SMALL_HOST_MIB: u64 = 88;
const SMALL_HOST: UsageBounds = UsageBounds {
    resident_kib: SMALL_HOST_MIB * 1024,
    descriptors: 4_100,
};

/// Host whose clients call the target on the host with index 1.
const OVER_A_LINK: usize = 0;
const AT_THE_TARGET: usize = 1;

/// A caller, a target that sends without end on a part of its calls, and a sound one.
async fn small_fleet(bytes: EndlessBytes) -> Fleet {
    let routes = [
        RouteSpec::reads("/read/", "quotes"),
        RouteSpec::reads("/print/", "prints"),
    ];
    let hosts = [
        ("caller", "a", "art"),
        ("quoter", "a", "quotes"),
        ("printer", "a", "prints"),
    ];
    let fleet = fleet(&routes, &hosts).await;
    for host in &fleet.hosts {
        reload_with(host, &format!("[machine]\nmemory_mb = {SMALL_HOST_MIB}\n")).await;
    }
    let target = &fleet.hosts[1].target;
    target.set_slots(SLOTS);
    target.set_behaviour_for_prefix("/read/endless", TargetBehaviour::SendsWithoutEnd(bytes));
    // The next report states the slots.
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

/// Clients that call the target, each again when its answer has ended.
fn start_slow_readers(host: &Host) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let address = host.calls;
        clients.spawn(async move {
            for number in 0.. {
                let connected = Client::connect_with_buffer(address, RECEIVE_BUFFER_BYTES).await;
                let Ok(mut connection) = connected else {
                    continue;
                };
                let id = format!("endless-{client}-{number}");
                if connection
                    .send(ENDLESS, &call_headers(&id), b"")
                    .await
                    .is_ok()
                {
                    let answer = connection.answer_slowly(READER_PAUSE).await;
                    assert!(answer.is_none_or(|answer| answer.status != 200));
                }
                tokio::time::sleep(REFUSED_PAUSE).await;
            }
        });
    }
    clients
}

/// Guards against faulty answers that are bounded one by one, and not all of them.
#[rstest]
#[case::fields(EndlessBytes::Fields)]
#[case::other_body(EndlessBytes::OtherBody)]
#[case::trailers(EndlessBytes::Trailers)]
#[case::junk(EndlessBytes::Junk)]
#[case::chunks(EndlessBytes::Chunks)]
#[case::body(EndlessBytes::Body)]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn endless_answers_at_once_leave_a_host_to_others(
    #[case] bytes: EndlessBytes,
    #[values(OVER_A_LINK, AT_THE_TARGET)] host: usize,
) {
    let _alone = run_alone().await;
    let fleet = small_fleet(bytes).await;
    let mut readers = start_slow_readers(&fleet.hosts[host]);
    let until = Instant::now() + CROWD_TIME;
    let mut failed = Vec::new();
    let mut calls = 0;
    while Instant::now() < until {
        for line in ["GET /print/a HTTP/1.1", "GET /read/a HTTP/1.1"] {
            calls += 1;
            let started = Instant::now();
            let answer = fleet.hosts[host]
                .call(line, &format!("call-{calls}"), b"")
                .await;
            let status = answer.map(|answer| answer.status);
            let took = started.elapsed();
            if status != Some(200) || took > MAX_CALL_TIME {
                failed.push((line, status, took));
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    readers.abort_all();
    while readers.join_next().await.is_some() {}
    println!("{} of {calls} failed", failed.len());
    for host in &fleet.hosts {
        check_usage(host.pid().expect("a process"), &host.spec.name, SMALL_HOST);
    }
    assert!(
        failed.is_empty(),
        "{} of {calls}: {:?}",
        failed.len(),
        &failed[..failed.len().min(20)]
    );
}
