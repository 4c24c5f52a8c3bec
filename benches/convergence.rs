//! Convergence time and control bytes of today's design (every daemon polls
//! the platform for the version in force and fetches each version whole).
//! Printed, never asserted. Sizes are loopback stand-ins; the ratios are to
//! the smallest size in the same run.

use std::path::Path;
use std::time::{Duration, Instant};

use clap::Parser;
use filbert_ctl::{cmd, Cli};
use filbert_platform::PlatformStats;
use filbert_standin::mesh::{LocalMesh, MeshSpec};
use hdrhistogram::Histogram;

const DAEMON_EXE: &str = env!("CARGO_BIN_EXE_filbertd");
const COOP_TREE: &str = include_str!("../examples/coop.toml");
/// Daemons per zone in each run (two zones).
const SIZES: [usize; 3] = [2, 8, 16];
/// Changes accepted per run.
const CHANGES: u64 = 10;
/// Idle window for the background polling cost.
const IDLE: Duration = Duration::from_secs(2);

struct RunFigures {
    daemons: usize,
    p50_ms: u64,
    p99_ms: u64,
    max_ms: u64,
    object_bytes_per_change_per_daemon: f64,
    reads_per_change: f64,
    idle_bytes_per_second_per_daemon: f64,
    idle_reads_per_second: f64,
}

async fn ctl(url: &str, words: &[&str]) {
    let mut args = vec!["filbertctl", "--platform", url];
    args.extend_from_slice(words);
    let cli = Cli::try_parse_from(args).expect("bench arguments parse");
    cmd::run(cli).await.expect("bench step succeeds");
}

fn delta(before: PlatformStats, after: PlatformStats) -> PlatformStats {
    PlatformStats {
        reads: after.reads - before.reads,
        writes: after.writes - before.writes,
        object_reads: after.object_reads - before.object_reads,
        bytes_out: after.bytes_out - before.bytes_out,
    }
}

#[allow(clippy::cast_precision_loss)]
async fn run(per_zone: usize) -> RunFigures {
    let mesh = LocalMesh::start(
        MeshSpec::new(Path::new(DAEMON_EXE), &["quoting", "artwork"]).daemons_per_zone(per_zone),
    )
    .await;
    let daemons = mesh.daemons.len();
    let tree_path = mesh.dir.join("coop.toml");
    std::fs::write(&tree_path, COOP_TREE).expect("write tree");
    let url = mesh.platform.url.clone();
    ctl(&url, &["edit", "--file", &tree_path.to_string_lossy()]).await;
    ctl(&url, &["accept"]).await;
    mesh.wait_in_force(1, Duration::from_secs(30))
        .await
        .expect("version 1 in force");

    let before_idle = mesh.platform.store.stats();
    tokio::time::sleep(IDLE).await;
    let idle = delta(before_idle, mesh.platform.store.stats());

    let mut histogram = Histogram::<u64>::new(3).expect("histogram");
    let mut object_bytes = 0.0f64;
    let mut reads = 0u64;
    for change in 0..CHANGES {
        let timeout = (1000 + change).to_string();
        ctl(
            &url,
            &[
                "set",
                "site/north-signs/quoting/quotes",
                "timeout_ms",
                &timeout,
            ],
        )
        .await;
        let before = mesh.platform.store.stats();
        ctl(&url, &["accept"]).await;
        let accepted = Instant::now();
        let took = mesh
            .wait_in_force(change + 2, Duration::from_secs(30))
            .await
            .expect("change in force");
        let during = delta(before, mesh.platform.store.stats());
        histogram
            .record(u64::try_from(took.as_millis()).unwrap_or(u64::MAX))
            .expect("record");
        let idle_share =
            idle.bytes_out as f64 * accepted.elapsed().as_secs_f64() / IDLE.as_secs_f64();
        object_bytes += (during.bytes_out as f64 - idle_share).max(0.0);
        reads += during.reads + during.object_reads;
    }
    let changes = CHANGES as f64;
    RunFigures {
        daemons,
        p50_ms: histogram.value_at_quantile(0.5),
        p99_ms: histogram.value_at_quantile(0.99),
        max_ms: histogram.max(),
        object_bytes_per_change_per_daemon: object_bytes / changes / daemons as f64,
        reads_per_change: reads as f64 / changes,
        idle_bytes_per_second_per_daemon: idle.bytes_out as f64
            / IDLE.as_secs_f64()
            / daemons as f64,
        idle_reads_per_second: idle.reads as f64 / IDLE.as_secs_f64(),
    }
}

#[allow(clippy::cast_precision_loss)]
fn main() {
    filbert_standin::quiet_logs();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let mut figures = Vec::new();
    for per_zone in SIZES {
        figures.push(runtime.block_on(run(per_zone)));
    }
    println!("design: every daemon polls the platform (poll 100 ms) and fetches whole versions");
    println!("daemons  conv_p50_ms  conv_p99_ms  conv_max_ms  ctl_bytes/change/daemon  reads/change  idle_B/s/daemon  idle_reads/s  reads/change_ratio");
    let base = figures[0].reads_per_change;
    for run in &figures {
        println!(
            "{:>7}  {:>11}  {:>11}  {:>11}  {:>23.0}  {:>12.1}  {:>15.0}  {:>12.1}  {:>18.2}",
            run.daemons,
            run.p50_ms,
            run.p99_ms,
            run.max_ms,
            run.object_bytes_per_change_per_daemon,
            run.reads_per_change,
            run.idle_bytes_per_second_per_daemon,
            run.idle_reads_per_second,
            run.reads_per_change / base,
        );
    }
}
