//! Measures convergence times, store calls, CPU time and memory of mesh
//! daemons that run against stand-ins of the users' platform. The figures are
//! printed, never asserted.

#[path = "../tests/support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Client, RouteSpec};
use filbert_standin::usage::ProcessUsage;
use hdrhistogram::Histogram;
use users::{fleet, publish, Fleet};

/// Hosts in each run; the users' sites have 10 and 12.
const HOST_COUNTS: [usize; 2] = [4, 12];
/// Routes besides the measured ones, as many as on the users' sites.
const IDLE_ROUTES: usize = 300;
/// Versions published in each run.
const VERSIONS: u64 = 20;
/// Pause after each published version.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Calls made to measure the CPU time per call.
const CALLS: usize = 4_000;
/// Concurrent connections that make the calls.
const CONNECTIONS: usize = 8;

/// Routes of version `version`. Its route `/v{version}/` is in no other version.
fn routes(version: u64) -> Vec<RouteSpec> {
    let mut all: Vec<RouteSpec> = (0..IDLE_ROUTES)
        .map(|number| RouteSpec::reads(&format!("/idle{number}/"), "quotes"))
        .collect();
    all.push(RouteSpec::reads("/read/", "quotes"));
    all.push(RouteSpec::reads(&format!("/v{version}/"), "quotes"));
    all
}

/// Whether the daemon of the host with index `host` serves the route that is only
/// in version `version`.
async fn serves_version(fleet: &Fleet, host: usize, version: u64) -> bool {
    let line = format!("GET /v{version}/a HTTP/1.1");
    fleet.hosts[host]
        .call(&line, "probe", b"")
        .await
        .is_some_and(|answer| answer.status == 200)
}

/// Times from publishing a version until every host serves the version's new route, in
/// milliseconds.
async fn convergence_times(fleet: &Fleet) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("a histogram");
    for version in 2..2 + VERSIONS {
        publish(&fleet.store, version, &routes(version));
        let started = Instant::now();
        for host in 0..fleet.hosts.len() {
            while !serves_version(fleet, host, version).await {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        let took = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        times.record(took.max(1)).expect("in range");
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
    times
}

/// CPU time that all daemons have used so far.
fn total_cpu_time(fleet: &Fleet) -> Duration {
    fleet
        .hosts
        .iter()
        .filter_map(|host| ProcessUsage::read(host.pid()?))
        .map(|usage| usage.cpu_time)
        .sum()
}

/// Makes calls through the first host, which has no target of the service, and
/// returns the CPU time of all daemons per call.
async fn cpu_time_per_call(fleet: &Fleet) -> Duration {
    let before = total_cpu_time(fleet);
    let address = fleet.hosts[0].calls;
    let mut tasks = Vec::new();
    for connection in 0..CONNECTIONS {
        tasks.push(tokio::spawn(async move {
            let mut client = Client::connect(address).await.expect("a connection");
            for number in 0..CALLS / CONNECTIONS {
                let id = format!("c-{connection}-{number}");
                let line = "GET /read/a HTTP/1.1";
                client
                    .send(line, &call_headers(&id), b"")
                    .await
                    .expect("sent");
                client.answer().await.expect("a response");
            }
        }));
    }
    for task in tasks {
        task.await.expect("a client");
    }
    let calls = u32::try_from(CALLS).expect("a count");
    total_cpu_time(fleet).saturating_sub(before) / calls
}

#[tokio::main]
async fn main() {
    println!("hosts  in force everywhere p50/max ms  feed calls/version  us/call  resident MB");
    for size in HOST_COUNTS {
        let names: Vec<String> = (0..size).map(|number| format!("h{number}")).collect();
        let hosts: Vec<(&str, &str, &str)> = names
            .iter()
            .enumerate()
            .map(|(number, name)| {
                let zone = ["a", "b", "c"][number % 3];
                let service = if number == 0 { "art" } else { "quotes" };
                (name.as_str(), zone, service)
            })
            .collect();
        let fleet = fleet(&routes(1), &hosts).await;
        let feeds = fleet.store.calls("/rows-feed");
        let times = convergence_times(&fleet).await;
        let feeds = fleet.store.calls("/rows-feed") - feeds;
        let per_call = cpu_time_per_call(&fleet).await;
        let resident = fleet
            .hosts
            .iter()
            .filter_map(|host| ProcessUsage::read(host.pid()?))
            .map(|usage| usage.resident_kib)
            .max()
            .unwrap_or(0);
        println!(
            "{size:>5}  {:>10} / {:<10}  {:>24}  {:>14}  {:>11}",
            times.value_at_quantile(0.5),
            times.max(),
            feeds / VERSIONS,
            per_call.as_micros(),
            resident / 1024
        );
    }
}
