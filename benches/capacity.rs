//! Measures the slopes from which `docs/CAPACITY.md` is calculated: the cost of a
//! daemon per route, target, peer, change, reconnect and call. The figures are
//! printed, never asserted; each table has its own baseline row. Names of tables
//! after `--` run only those tables: proxy, tree, targets, reconnects, peers.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_standin::mesh::LocalMesh;
use filbert_standin::process::DaemonProcess;
use filbert_standin::spec::MeshSpec;
use filbert_standin::target::{ExecutionLog, TargetHandle, TargetSpec};
use filbert_standin::trees::{with_small_edit, TreeShape};
use filbert_standin::usage::ProcessUsage;
use filbert_tree::{SettingsTree, TreeDelta, VersionCodec};
use hdrhistogram::Histogram;

const DAEMON_EXE: &str = env!("CARGO_BIN_EXE_filbertd");
/// Length of each window in which idle daemons or changes are measured.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(8);
/// Longest wait for a version to come into force on every daemon.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Poll interval of the relay, which is the default of the daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Changes published in a measurement window.
const CHANGES: u64 = 8;
/// Calls measured for each row of the proxy table.
const CALLS: usize = 4_000;

/// Shape of a settings tree with `routes` routes.
fn tree_shape(routes: usize) -> TreeShape {
    TreeShape {
        members: routes / 12,
        services: 3,
        routes: 4,
    }
}

/// A mesh of one zone with `daemon_count` daemons and no targets.
fn mesh_spec(daemon_count: usize) -> MeshSpec {
    MeshSpec::new(Path::new(DAEMON_EXE), &[])
        .zones(&["zone-a"])
        .daemons_per_zone(daemon_count)
        .poll_interval(POLL_INTERVAL)
}

fn process_usage(daemon: &DaemonProcess) -> ProcessUsage {
    let pid = daemon.pid().expect("the daemon runs");
    ProcessUsage::read(pid).expect("the daemon runs")
}

/// Bytes that a daemon has received and sent over its links so far.
async fn link_bytes(daemon: &DaemonProcess) -> u64 {
    daemon.counter("link_bytes_received").await + daemon.counter("link_bytes_sent").await
}

/// Waits until every daemon has version `number` in force.
///
/// # Panics
/// When that takes longer than [`IN_FORCE_TIMEOUT`].
async fn wait_until_applied(mesh: &LocalMesh, number: u64) {
    mesh.wait_until_applied(number, IN_FORCE_TIMEOUT)
        .await
        .expect("the version comes into force");
}

/// Indices of the zone's relay and of one of its followers.
async fn relay_and_follower(mesh: &LocalMesh) -> (usize, usize) {
    for (index, daemon) in mesh.daemons.iter().enumerate() {
        if daemon.counter("lease_changes").await > 0 {
            return (index, (index + 1) % mesh.daemons.len());
        }
    }
    panic!("the zone has no relay");
}

#[allow(clippy::cast_precision_loss)]
fn per_second(amount: u64, window: Duration) -> f64 {
    amount as f64 / window.as_secs_f64()
}

/// CPU time that a process used between two readings.
fn cpu_time_between(before: ProcessUsage, after: ProcessUsage) -> Duration {
    after.cpu_time.saturating_sub(before.cpu_time)
}

/// Share of one core that a process used in `window`, in percent.
fn cpu_percent(before: ProcessUsage, after: ProcessUsage, window: Duration) -> f64 {
    cpu_time_between(before, after).as_secs_f64() / window.as_secs_f64() * 100.0
}

/// Prints the memory of a daemon and its CPU time to apply a change, by size
/// of the tree.
async fn print_tree_table() {
    println!("\n[tree] one daemon alone in its zone; version 1 applied");
    println!("routes  whole_bytes  resident_KiB  over_baseline_KiB  apply_change_cpu_ms");
    let mut baseline = None;
    for routes in [12, 480, 4_800, 24_000] {
        let mesh = LocalMesh::start(mesh_spec(1)).await;
        let tree = tree_shape(routes).build();
        mesh.publish(1, &tree, None).await;
        wait_until_applied(&mesh, 1).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = process_usage(&mesh.daemons[0]);
        let mut base = tree.clone();
        for change in 0..CHANGES {
            let next = with_small_edit(&tree, change);
            mesh.publish(change + 2, &next, Some(&base)).await;
            wait_until_applied(&mesh, change + 2).await;
            base = next;
        }
        let after = process_usage(&mesh.daemons[0]);
        let baseline_kib = *baseline.get_or_insert(before.resident_kib);
        let cpu_ms = cpu_time_between(before, after).as_millis();
        println!(
            "{routes:>6}  {:>11}  {:>12}  {:>17}  {:>19}",
            VersionCodec::encode_delta(&TreeDelta::between(&SettingsTree::default(), &tree)).len(),
            after.resident_kib,
            after.resident_kib.saturating_sub(baseline_kib),
            cpu_ms / u128::from(CHANGES),
        );
    }
}

/// Prints memory, CPU time and link bytes of a relay and of a follower, by
/// number of peers.
async fn print_peer_table() {
    println!("\n[peers] one zone, 480 routes, no targets; idle, then one change a second; shares of one core");
    println!("peers  relay_KiB  relay_idle_%  relay_idle_B/s  relay_change_%  relay_B/change  follower_KiB  follower_idle_%  follower_idle_B/s  follower_B/change  reads/s  writes/s");
    for daemons in [2, 25, 50, 100, 200] {
        let mesh = LocalMesh::start(mesh_spec(daemons)).await;
        let tree = tree_shape(480).build();
        mesh.publish(1, &tree, None).await;
        wait_until_applied(&mesh, 1).await;
        tokio::time::sleep(Duration::from_secs(4)).await;
        let (relay, follower) = relay_and_follower(&mesh).await;
        let (relay, follower) = (&mesh.daemons[relay], &mesh.daemons[follower]);
        let platform = mesh.platform.store.stats();
        let idle = Sample::take(relay, follower).await;
        tokio::time::sleep(MEASUREMENT_WINDOW).await;
        let busy = Sample::take(relay, follower).await;
        let idle_platform = mesh.platform.store.stats();
        let mut base = tree.clone();
        for change in 0..CHANGES {
            let next = with_small_edit(&tree, change);
            mesh.publish(change + 2, &next, Some(&base)).await;
            base = next;
            tokio::time::sleep(MEASUREMENT_WINDOW / u32::try_from(CHANGES).unwrap_or(1)).await;
        }
        let end = Sample::take(relay, follower).await;
        let idle_relay = busy.relay_bytes - idle.relay_bytes;
        let idle_follower = busy.follower_bytes - idle.follower_bytes;
        let bytes_per_change = |total: u64, idle: u64| total.saturating_sub(idle) / CHANGES;
        println!(
            "{:>5}  {:>9}  {:>12.2}  {:>14.0}  {:>14.2}  {:>14}  {:>12}  {:>15.2}  {:>17.0}  {:>17}  {:>7.1}  {:>8.1}",
            daemons - 1,
            end.relay.resident_kib,
            cpu_percent(idle.relay, busy.relay, MEASUREMENT_WINDOW),
            per_second(idle_relay, MEASUREMENT_WINDOW),
            cpu_percent(busy.relay, end.relay, MEASUREMENT_WINDOW),
            bytes_per_change(end.relay_bytes - busy.relay_bytes, idle_relay),
            end.follower.resident_kib,
            cpu_percent(idle.follower, busy.follower, MEASUREMENT_WINDOW),
            per_second(idle_follower, MEASUREMENT_WINDOW),
            bytes_per_change(end.follower_bytes - busy.follower_bytes, idle_follower),
            per_second(idle_platform.since(platform).total_reads(), MEASUREMENT_WINDOW),
            per_second(idle_platform.since(platform).writes, MEASUREMENT_WINDOW),
        );
    }
}

/// Usage and link bytes of a relay and of one follower so far.
struct Sample {
    relay: ProcessUsage,
    follower: ProcessUsage,
    relay_bytes: u64,
    follower_bytes: u64,
}

impl Sample {
    async fn take(relay: &DaemonProcess, follower: &DaemonProcess) -> Sample {
        Sample {
            relay: process_usage(relay),
            follower: process_usage(follower),
            relay_bytes: link_bytes(relay).await,
            follower_bytes: link_bytes(follower).await,
        }
    }
}

/// Prints memory, CPU time and link bytes of a relay and of a follower, by
/// number of targets in the zone.
async fn print_target_table() {
    println!("\n[targets] one zone of 4 daemons; targets announce every 300 ms, loads still");
    println!("targets  relay_KiB  follower_KiB  relay_idle_%  follower_idle_B/s");
    for per_host in [1, 25, 75] {
        let mesh = LocalMesh::start(mesh_spec(4)).await;
        mesh.publish(1, &tree_shape(480).build(), None).await;
        wait_until_applied(&mesh, 1).await;
        let log = Arc::new(ExecutionLog::default());
        let mut targets = Vec::new();
        for daemon in &mesh.daemons {
            for target in 0..per_host {
                let spec = TargetSpec {
                    service: format!("s{}", target % 3),
                    daemon_admin_url: daemon.admin_url.clone(),
                    delay: Duration::ZERO,
                };
                targets.push(TargetHandle::start(&spec, Arc::clone(&log)).await);
            }
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let (relay, follower) = relay_and_follower(&mesh).await;
        let (relay, follower) = (&mesh.daemons[relay], &mesh.daemons[follower]);
        let before = Sample::take(relay, follower).await;
        tokio::time::sleep(MEASUREMENT_WINDOW).await;
        let after = Sample::take(relay, follower).await;
        println!(
            "{:>7}  {:>9}  {:>12}  {:>12.2}  {:>17.0}",
            per_host * 4,
            after.relay.resident_kib,
            after.follower.resident_kib,
            cpu_percent(before.relay, after.relay, MEASUREMENT_WINDOW),
            per_second(
                after.follower_bytes - before.follower_bytes,
                MEASUREMENT_WINDOW
            ),
        );
    }
}

/// Prints the platform calls that the restart of a follower, of a relay and of all
/// daemons at once causes.
async fn print_reconnect_table() {
    println!(
        "\n[reconnects] one zone of 50 daemons, 480 routes; platform calls beyond the idle rate"
    );
    println!("event             reads  writes  in_force_again_ms");
    let mut mesh = LocalMesh::start(mesh_spec(50)).await;
    mesh.publish(1, &tree_shape(480).build(), None).await;
    wait_until_applied(&mesh, 1).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = mesh.platform.store.stats();
    tokio::time::sleep(MEASUREMENT_WINDOW).await;
    let idle = mesh.platform.store.stats();
    let idle_reads = per_second(idle.since(before).total_reads(), MEASUREMENT_WINDOW);
    let idle_writes = per_second(idle.since(before).writes, MEASUREMENT_WINDOW);
    let (relay, follower) = relay_and_follower(&mesh).await;
    let every_daemon: Vec<usize> = (0..mesh.daemons.len()).collect();
    let events: [(&str, Vec<usize>); 3] = [
        ("follower restarts", vec![follower]),
        ("relay restarts", vec![relay]),
        ("all 50 restart", every_daemon),
    ];
    for (name, restarted) in events {
        let before = mesh.platform.store.stats();
        let started = Instant::now();
        for index in &restarted {
            mesh.daemons[*index].kill();
        }
        for index in &restarted {
            mesh.daemons[*index].start(Path::new(DAEMON_EXE));
        }
        wait_until_applied(&mesh, 1).await;
        let took = started.elapsed().as_millis();
        tokio::time::sleep(Duration::from_secs(5)).await;
        let after = mesh.platform.store.stats();
        let window = started.elapsed().as_secs_f64();
        #[allow(clippy::cast_precision_loss)]
        let above_idle = |total: u64, idle: f64| (total as f64 - idle * window).max(0.0);
        println!(
            "{name:<17} {:>5.0}  {:>6.0}  {took:>17}",
            above_idle(after.since(before).total_reads(), idle_reads),
            above_idle(after.since(before).writes, idle_writes),
        );
    }
}

/// Prints the latency of calls sent directly and through the daemon, and the
/// CPU time of the daemon per call.
async fn print_proxy_table() {
    println!("\n[proxy] one daemon and one target with no work; {CALLS} calls a row");
    println!("callers  path    p50_us  p99_us  daemon_cpu_us/call");
    let services = MeshSpec::new(Path::new(DAEMON_EXE), &["s0"])
        .zones(&["zone-a"])
        .daemons_per_zone(1);
    let mesh = LocalMesh::start(services).await;
    mesh.publish(1, &tree_shape(480).build(), None).await;
    wait_until_applied(&mesh, 1).await;
    let direct = format!("http://{}/s0/r0/x", mesh.targets[0].address);
    let proxied = format!("{}/s0/r0/x", mesh.daemons[0].proxy_url);
    for callers in [1, 4, 8] {
        let mut percentiles = Vec::new();
        let rows = [
            ("direct", reqwest::Method::GET, &direct),
            ("proxied", reqwest::Method::GET, &proxied),
            ("order", reqwest::Method::POST, &proxied),
        ];
        for (name, method, url) in rows {
            let before = process_usage(&mesh.daemons[0]);
            let times = call_times(&method, url, callers).await;
            let after = process_usage(&mesh.daemons[0]);
            let cpu_us = cpu_time_between(before, after).as_micros();
            println!(
                "{callers:>7}  {name:<7} {:>6}  {:>6}  {:>18}",
                times.value_at_quantile(0.5),
                times.value_at_quantile(0.99),
                cpu_us / u128::from(times.len().max(1)),
            );
            percentiles.push((times.value_at_quantile(0.5), times.value_at_quantile(0.99)));
        }
        println!(
            "{callers:>7}  added: p50 {} us, p99 {} us; to an order, over a fresh connection: p50 {} us, p99 {} us",
            percentiles[1].0.saturating_sub(percentiles[0].0),
            percentiles[1].1.saturating_sub(percentiles[0].1),
            percentiles[2].0.saturating_sub(percentiles[0].0),
            percentiles[2].1.saturating_sub(percentiles[0].1)
        );
    }
}

/// Times of [`CALLS`] calls to `url` by concurrent callers, in microseconds.
async fn call_times(method: &reqwest::Method, url: &str, callers: usize) -> Histogram<u64> {
    let mut all = Histogram::new(3).expect("histogram");
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let url = url.to_owned();
            let method = method.clone();
            tokio::spawn(async move {
                let http = filbert_standin::http::direct_client();
                let mut times = Vec::new();
                for _ in 0..CALLS / callers {
                    let started = Instant::now();
                    let response = http
                        .request(method.clone(), &url)
                        .header("x-filbert-member", "m1")
                        .send()
                        .await
                        .expect("a response");
                    assert_eq!(response.status(), 200);
                    let _ = response.bytes().await.expect("a whole response");
                    times.push(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX));
                }
                times
            })
        })
        .collect();
    for task in tasks {
        for time in task.await.expect("a caller ends") {
            all.record(time).expect("record");
        }
    }
    all
}

fn main() {
    filbert_standin::init_error_logger();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with('-'))
        .collect();
    let is_selected =
        |table: &str| selected.is_empty() || selected.iter().any(|name| name == table);
    runtime.block_on(async {
        if is_selected("proxy") {
            print_proxy_table().await;
        }
        if is_selected("tree") {
            print_tree_table().await;
        }
        if is_selected("targets") {
            print_target_table().await;
        }
        if is_selected("reconnects") {
            print_reconnect_table().await;
        }
        if is_selected("peers") {
            print_peer_table().await;
        }
    });
}
