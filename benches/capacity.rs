//! The slopes that `docs/CAPACITY.md` is worked out from: what a daemon costs
//! per route, target, peer, change, reconnect and call. Printed, never
//! asserted; each table carries its own baseline row. Names of tables after
//! `--` run just those: proxy, tree, targets, reconnects, peers.

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
/// How long idle and change windows last.
const WINDOW: Duration = Duration::from_secs(8);
/// How long a wait for a version may take.
const SETTLE: Duration = Duration::from_secs(60);
/// Poll interval of the relay, the daemon's default.
const POLL: Duration = Duration::from_millis(200);
/// Changes in a change window.
const CHANGES: u64 = 8;
/// Calls measured per row of the proxy table.
const CALLS: usize = 4_000;

fn shape(routes: usize) -> TreeShape {
    TreeShape {
        members: routes / 12,
        services: 3,
        routes: 4,
    }
}

fn spec(per_zone: usize) -> MeshSpec {
    MeshSpec::new(Path::new(DAEMON_EXE), &[])
        .zones(&["zone-a"])
        .daemons_per_zone(per_zone)
        .poll_interval(POLL)
}

fn usage(daemon: &DaemonProcess) -> ProcessUsage {
    let pid = daemon.pid().expect("the daemon runs");
    ProcessUsage::read(pid).expect("the daemon runs")
}

async fn link_bytes(daemon: &DaemonProcess) -> u64 {
    daemon.counter("link_bytes_received").await + daemon.counter("link_bytes_sent").await
}

async fn settle(mesh: &LocalMesh, number: u64) {
    mesh.wait_until_applied(number, SETTLE)
        .await
        .expect("the version comes into force");
}

/// The place of the zone's relay and of one of its followers.
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

fn spent(before: ProcessUsage, after: ProcessUsage) -> Duration {
    after.cpu_time.saturating_sub(before.cpu_time)
}

/// Share of a core, in hundredths of a percent of precision.
fn core_share(before: ProcessUsage, after: ProcessUsage, window: Duration) -> f64 {
    spent(before, after).as_secs_f64() / window.as_secs_f64() * 100.0
}

/// Memory and time to apply, by size of the tree.
async fn tree_table() {
    println!("\n[tree] one daemon alone in its zone; version 1 applied");
    println!("routes  whole_bytes  resident_KiB  over_baseline_KiB  apply_change_cpu_ms");
    let mut baseline = None;
    for routes in [12, 480, 4_800, 24_000] {
        let mesh = LocalMesh::start(spec(1)).await;
        let tree = shape(routes).build();
        mesh.publish(1, &tree, None).await;
        settle(&mesh, 1).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = usage(&mesh.daemons[0]);
        let mut base = tree.clone();
        for change in 0..CHANGES {
            let next = with_small_edit(&tree, change);
            mesh.publish(change + 2, &next, Some(&base)).await;
            settle(&mesh, change + 2).await;
            base = next;
        }
        let after = usage(&mesh.daemons[0]);
        let floor = *baseline.get_or_insert(before.resident_kib);
        let spent = spent(before, after).as_millis();
        println!(
            "{routes:>6}  {:>11}  {:>12}  {:>17}  {:>19}",
            VersionCodec::encode_delta(&TreeDelta::between(&SettingsTree::default(), &tree)).len(),
            after.resident_kib,
            after.resident_kib.saturating_sub(floor),
            spent / u128::from(CHANGES),
        );
    }
}

/// Memory, processor time and bytes of a relay and of a follower, by peers.
async fn peer_table() {
    println!("\n[peers] one zone, 480 routes, no targets; idle, then one change a second; shares of one core");
    println!("peers  relay_KiB  relay_idle_%  relay_idle_B/s  relay_change_%  relay_B/change  follower_KiB  follower_idle_%  follower_idle_B/s  follower_B/change  reads/s  writes/s");
    for daemons in [2, 25, 50, 100, 200] {
        let mesh = LocalMesh::start(spec(daemons)).await;
        let tree = shape(480).build();
        mesh.publish(1, &tree, None).await;
        settle(&mesh, 1).await;
        tokio::time::sleep(Duration::from_secs(4)).await;
        let (relay, follower) = relay_and_follower(&mesh).await;
        let (relay, follower) = (&mesh.daemons[relay], &mesh.daemons[follower]);
        let platform = mesh.platform.store.stats();
        let idle = Sample::take(relay, follower).await;
        tokio::time::sleep(WINDOW).await;
        let busy = Sample::take(relay, follower).await;
        let idle_platform = mesh.platform.store.stats();
        let mut base = tree.clone();
        for change in 0..CHANGES {
            let next = with_small_edit(&tree, change);
            mesh.publish(change + 2, &next, Some(&base)).await;
            base = next;
            tokio::time::sleep(WINDOW / u32::try_from(CHANGES).unwrap_or(1)).await;
        }
        let end = Sample::take(relay, follower).await;
        let idle_relay = busy.relay_bytes - idle.relay_bytes;
        let idle_follower = busy.follower_bytes - idle.follower_bytes;
        let changed = |total: u64, idle: u64| total.saturating_sub(idle) / CHANGES;
        println!(
            "{:>5}  {:>9}  {:>12.2}  {:>14.0}  {:>14.2}  {:>14}  {:>12}  {:>15.2}  {:>17.0}  {:>17}  {:>7.1}  {:>8.1}",
            daemons - 1,
            end.relay.resident_kib,
            core_share(idle.relay, busy.relay, WINDOW),
            per_second(idle_relay, WINDOW),
            core_share(busy.relay, end.relay, WINDOW),
            changed(end.relay_bytes - busy.relay_bytes, idle_relay),
            end.follower.resident_kib,
            core_share(idle.follower, busy.follower, WINDOW),
            per_second(idle_follower, WINDOW),
            changed(end.follower_bytes - busy.follower_bytes, idle_follower),
            per_second(idle_platform.since(platform).total_reads(), WINDOW),
            per_second(idle_platform.since(platform).writes, WINDOW),
        );
    }
}

/// What a relay and one follower have used and sent so far.
struct Sample {
    relay: ProcessUsage,
    follower: ProcessUsage,
    relay_bytes: u64,
    follower_bytes: u64,
}

impl Sample {
    async fn take(relay: &DaemonProcess, follower: &DaemonProcess) -> Sample {
        Sample {
            relay: usage(relay),
            follower: usage(follower),
            relay_bytes: link_bytes(relay).await,
            follower_bytes: link_bytes(follower).await,
        }
    }
}

/// Memory and bytes of a relay and of a follower, by targets in the zone.
async fn target_table() {
    println!("\n[targets] one zone of 4 daemons; targets announce every 300 ms, loads still");
    println!("targets  relay_KiB  follower_KiB  relay_idle_%  follower_idle_B/s");
    for per_host in [1, 25, 75] {
        let mesh = LocalMesh::start(spec(4)).await;
        mesh.publish(1, &shape(480).build(), None).await;
        settle(&mesh, 1).await;
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
        tokio::time::sleep(WINDOW).await;
        let after = Sample::take(relay, follower).await;
        println!(
            "{:>7}  {:>9}  {:>12}  {:>12.2}  {:>17.0}",
            per_host * 4,
            after.relay.resident_kib,
            after.follower.resident_kib,
            core_share(before.relay, after.relay, WINDOW),
            per_second(after.follower_bytes - before.follower_bytes, WINDOW),
        );
    }
}

/// Platform calls of a follower's restart, a relay's restart and a herd's.
async fn reconnect_table() {
    println!(
        "\n[reconnects] one zone of 50 daemons, 480 routes; platform calls beyond the idle rate"
    );
    println!("event             reads  writes  in_force_again_ms");
    let mut mesh = LocalMesh::start(spec(50)).await;
    mesh.publish(1, &shape(480).build(), None).await;
    settle(&mesh, 1).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = mesh.platform.store.stats();
    tokio::time::sleep(WINDOW).await;
    let idle = mesh.platform.store.stats();
    let idle_reads = per_second(idle.since(before).total_reads(), WINDOW);
    let idle_writes = per_second(idle.since(before).writes, WINDOW);
    let (relay, follower) = relay_and_follower(&mesh).await;
    let herd: Vec<usize> = (0..mesh.daemons.len()).collect();
    let events: [(&str, Vec<usize>); 3] = [
        ("follower restarts", vec![follower]),
        ("relay restarts", vec![relay]),
        ("all 50 restart", herd),
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
        settle(&mesh, 1).await;
        let took = started.elapsed().as_millis();
        tokio::time::sleep(Duration::from_secs(5)).await;
        let after = mesh.platform.store.stats();
        let window = started.elapsed().as_secs_f64();
        #[allow(clippy::cast_precision_loss)]
        let beyond = |total: u64, idle: f64| (total as f64 - idle * window).max(0.0);
        println!(
            "{name:<17} {:>5.0}  {:>6.0}  {took:>17}",
            beyond(after.since(before).total_reads(), idle_reads),
            beyond(after.since(before).writes, idle_writes),
        );
    }
}

/// Time a call takes directly and through the daemon, and what it costs there.
async fn proxy_table() {
    println!("\n[proxy] one daemon and one target with no work; {CALLS} calls a row");
    println!("callers  path    p50_us  p99_us  daemon_cpu_us/call");
    let services = MeshSpec::new(Path::new(DAEMON_EXE), &["s0"])
        .zones(&["zone-a"])
        .daemons_per_zone(1);
    let mesh = LocalMesh::start(services).await;
    mesh.publish(1, &shape(480).build(), None).await;
    settle(&mesh, 1).await;
    let direct = format!("http://{}/s0/r0/x", mesh.targets[0].address);
    let proxied = format!("{}/s0/r0/x", mesh.daemons[0].proxy_url);
    for callers in [1, 4, 8] {
        let mut added = Vec::new();
        let rows = [
            ("direct", reqwest::Method::GET, &direct),
            ("proxied", reqwest::Method::GET, &proxied),
            ("order", reqwest::Method::POST, &proxied),
        ];
        for (name, method, url) in rows {
            let before = usage(&mesh.daemons[0]);
            let times = call_times(&method, url, callers).await;
            let after = usage(&mesh.daemons[0]);
            let spent = spent(before, after).as_micros();
            println!(
                "{callers:>7}  {name:<7} {:>6}  {:>6}  {:>18}",
                times.value_at_quantile(0.5),
                times.value_at_quantile(0.99),
                spent / u128::from(times.len().max(1)),
            );
            added.push((times.value_at_quantile(0.5), times.value_at_quantile(0.99)));
        }
        println!(
            "{callers:>7}  added: p50 {} us, p99 {} us; to an order, over a fresh connection: p50 {} us, p99 {} us",
            added[1].0.saturating_sub(added[0].0),
            added[1].1.saturating_sub(added[0].1),
            added[2].0.saturating_sub(added[0].0),
            added[2].1.saturating_sub(added[0].1)
        );
    }
}

async fn call_times(method: &reqwest::Method, url: &str, callers: usize) -> Histogram<u64> {
    let mut all = Histogram::new(3).expect("histogram");
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let url = url.to_owned();
            let method = method.clone();
            tokio::spawn(async move {
                let http = reqwest::Client::new();
                let mut times = Vec::new();
                for _ in 0..CALLS / callers {
                    let started = Instant::now();
                    let reply = http
                        .request(method.clone(), &url)
                        .header("x-filbert-member", "m1")
                        .send()
                        .await
                        .expect("an answer");
                    assert_eq!(reply.status(), 200);
                    let _ = reply.bytes().await.expect("a whole answer");
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
    let asked: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with('-'))
        .collect();
    let wanted = |table: &str| asked.is_empty() || asked.iter().any(|name| name == table);
    runtime.block_on(async {
        if wanted("proxy") {
            proxy_table().await;
        }
        if wanted("tree") {
            tree_table().await;
        }
        if wanted("targets") {
            target_table().await;
        }
        if wanted("reconnects") {
            reconnect_table().await;
        }
        if wanted("peers") {
            peer_table().await;
        }
    });
}
