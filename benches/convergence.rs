//! Measures convergence times and control bytes of the zone relay and of a
//! baseline in which every daemon polls the platform for whole versions, both in
//! this run. The figures are printed, never asserted. Convergence times come from
//! the daemons' own logs (`event=applied`, wall clock of this machine), so that
//! the measurement adds no load.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use filbert_daemon::settings::DistributionMode;
use filbert_standin::history::{applied_history, AppliedVersion};
use filbert_standin::mesh::LocalMesh;
use filbert_standin::spec::MeshSpec;
use filbert_standin::trees::{with_small_edit, TreeShape};
use filbert_tree::TreeDelta;
use hdrhistogram::Histogram;

const DAEMON_EXE: &str = env!("CARGO_BIN_EXE_filbertd");
/// Daemons in each run, spread over two zones.
const DAEMON_COUNTS: [usize; 3] = [50, 100, 200];
/// Changes accepted per run.
const CHANGES: u64 = 8;
/// Pause after each change, in which the mesh is otherwise idle.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Poll interval of each daemon that reads the platform. With 200 daemons, the
/// baseline makes 2,000 reads a second, which is what the platform can serve.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Shape of the settings tree, which has 480 routes.
const TREE_SHAPE: TreeShape = TreeShape {
    members: 40,
    services: 3,
    routes: 4,
};

/// Figures of one run. Convergence times are in milliseconds. `version_bytes` and
/// `object_reads` are per change, `version_bytes` and `bytes_per_second` per daemon.
struct RunResults {
    daemons: usize,
    mode: DistributionMode,
    daemon_convergence: Histogram<u64>,
    mesh_convergence: Histogram<u64>,
    version_bytes: f64,
    object_reads: f64,
    reads_per_second: f64,
    writes_per_second: f64,
    bytes_per_second: f64,
}

/// Sum of a counter over all daemons.
async fn total(mesh: &LocalMesh, counter: &str) -> u64 {
    let mut sum = 0;
    for daemon in &mesh.daemons {
        sum += daemon.counter(counter).await;
    }
    sum
}

#[allow(clippy::cast_precision_loss)]
async fn run(daemons: usize, mode: DistributionMode) -> RunResults {
    let spec = MeshSpec::new(Path::new(DAEMON_EXE), &["s0", "s1", "s2"])
        .daemons_per_zone(daemons / 2)
        .target_hosts_per_zone(2)
        .poll_interval(POLL_INTERVAL)
        .mode(mode);
    let mesh = LocalMesh::start(spec).await;
    let tree = TREE_SHAPE.build();
    mesh.publish(1, &tree, None).await;
    mesh.wait_until_applied(1, Duration::from_secs(60))
        .await
        .expect("version 1 in force");
    tokio::time::sleep(CHANGE_INTERVAL).await;
    let before = mesh.platform.store.stats();
    let before_links = total(&mesh, "link_bytes_received").await;
    let before_version_bytes = total(&mesh, "control_bytes").await;
    let started = SystemTime::now();
    let mut accepts = Vec::new();
    let mut in_force = tree.clone();
    for change in 0..CHANGES {
        let next = with_small_edit(&tree, change);
        // The baseline reads whole versions, so no delta is stored for it.
        let base = (mode == DistributionMode::Relay).then_some(&in_force);
        let accepted = mesh.publish(change + 2, &next, base).await;
        accepts.push((change + 2, accepted));
        in_force = next;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    mesh.wait_until_applied(CHANGES + 1, Duration::from_secs(60))
        .await
        .expect("every change in force");
    let elapsed = started.elapsed().unwrap_or_default().as_secs_f64();
    let platform = mesh.platform.store.stats().since(before);
    let links = total(&mesh, "link_bytes_received").await - before_links;
    let version_bytes = total(&mesh, "control_bytes").await - before_version_bytes;
    let (daemon_convergence, mesh_convergence) =
        convergence_times(&applied_history(&mesh), &accepts);
    let changes = CHANGES as f64;
    RunResults {
        daemons,
        mode,
        daemon_convergence,
        mesh_convergence,
        version_bytes: version_bytes as f64 / changes / daemons as f64,
        object_reads: platform.object_reads as f64 / changes,
        reads_per_second: platform.total_reads() as f64 / elapsed,
        writes_per_second: platform.writes as f64 / elapsed,
        bytes_per_second: (platform.bytes_out + links) as f64 / elapsed / daemons as f64,
    }
}

/// Milliseconds from accepting a version until it is in force: on each daemon, and
/// on the last of them.
fn convergence_times(
    history: &[AppliedVersion],
    accepts: &[(u64, SystemTime)],
) -> (Histogram<u64>, Histogram<u64>) {
    let mut daemon_convergence = Histogram::new(3).expect("histogram");
    let mut mesh_convergence = Histogram::new(3).expect("histogram");
    for (number, accepted) in accepts {
        let accepted_ms = accepted
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
        let mut last = 0;
        for record in history.iter().filter(|record| record.to == *number) {
            let took = record.at_ms.saturating_sub(accepted_ms);
            daemon_convergence.record(took).expect("record");
            last = last.max(took);
        }
        mesh_convergence.record(last).expect("record");
    }
    (daemon_convergence, mesh_convergence)
}

#[allow(clippy::cast_precision_loss)]
fn main() {
    filbert_standin::init_error_logger();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let tree = TREE_SHAPE.build();
    let edit = TreeDelta::between(&with_small_edit(&tree, 0), &with_small_edit(&tree, 1));
    let edit_bytes = filbert_daemon::messages::encode_frame(&edit).len();
    println!(
        "tree of {} routes, {} bytes whole, {edit_bytes} bytes the delta; poll {} ms; {CHANGES} changes",
        TREE_SHAPE.route_count(),
        filbert_daemon::messages::encode_frame(&tree).len(),
        POLL_INTERVAL.as_millis()
    );
    println!("daemons  mode    each_p50_ms  each_p99_ms  everywhere_p50_ms  everywhere_max_ms  version_B/change/daemon  object_reads/change  reads/s  writes/s  control_B/s/daemon");
    for daemons in DAEMON_COUNTS {
        let mut figures = Vec::new();
        for mode in [DistributionMode::Direct, DistributionMode::Relay] {
            let run = runtime.block_on(run(daemons, mode));
            print_run(&run);
            figures.push(run);
        }
        let (direct, relay) = (&figures[0], &figures[1]);
        println!(
            "{daemons:>7}  ratio relay/direct: everywhere_p50 {:.2}, version bytes {:.3}, object reads {:.3}, reads {:.3}, writes {:.3}, control bytes {:.3}; version bytes are {:.2}x the delta",
            relay.mesh_convergence.value_at_quantile(0.5) as f64
                / direct.mesh_convergence.value_at_quantile(0.5) as f64,
            relay.version_bytes / direct.version_bytes,
            relay.object_reads / direct.object_reads,
            relay.reads_per_second / direct.reads_per_second,
            relay.writes_per_second / direct.writes_per_second,
            relay.bytes_per_second / direct.bytes_per_second,
            relay.version_bytes / edit_bytes as f64,
        );
    }
}

fn print_run(run: &RunResults) {
    let mode = match run.mode {
        DistributionMode::Direct => "direct",
        DistributionMode::Relay => "relay",
    };
    println!(
        "{:>7}  {mode:<6}  {:>11}  {:>11}  {:>17}  {:>17}  {:>23.0}  {:>19.1}  {:>7.0}  {:>8.1}  {:>18.0}",
        run.daemons,
        run.daemon_convergence.value_at_quantile(0.5),
        run.daemon_convergence.value_at_quantile(0.99),
        run.mesh_convergence.value_at_quantile(0.5),
        run.mesh_convergence.max(),
        run.version_bytes,
        run.object_reads,
        run.reads_per_second,
        run.writes_per_second,
        run.bytes_per_second,
    );
}
