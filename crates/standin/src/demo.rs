//! The local demo: starts a mesh of two zones with two daemons each and
//! stand-in targets, applies an example tree, sends calls through every daemon,
//! accepts an edit, watches it roll out and withdraws it.

use std::path::Path;
use std::time::{Duration, Instant};

use clap::Parser;
use filbert_ctl::error::format_report;
use filbert_ctl::{cmd, Cli};

use crate::mesh::LocalMesh;
use crate::spec::MeshSpec;

/// The Co-op example tree.
const COOP_TREE: &str = include_str!("../../../examples/coop.toml");

/// Runs the demo with the `filbertd` binary at `daemon_exe` and prints each step.
///
/// # Errors
/// Returns a message that names the failed step, or the error of the step.
pub async fn run(daemon_exe: &Path) -> Result<(), String> {
    println!(
        "== starting the platform stand-in, 2 zones x 2 daemons, targets for quoting and artwork"
    );
    let mesh = LocalMesh::start(MeshSpec::new(daemon_exe, &["quoting", "artwork"])).await;
    println!(
        "platform at {}; daemon logs in {}",
        mesh.platform.url,
        mesh.dir.display()
    );
    let tree_path = mesh.dir.join("coop.toml");
    std::fs::write(&tree_path, COOP_TREE).map_err(|error| error.to_string())?;
    let tree_arg = tree_path.to_string_lossy().into_owned();

    run_ctl(&mesh, &["edit", "--file", &tree_arg]).await?;
    run_ctl(&mesh, &["diff"]).await?;
    let accepted = Instant::now();
    run_ctl(&mesh, &["accept"]).await?;
    run_ctl(&mesh, &["watch", "--timeout", "10"]).await?;
    print_time_to_apply(&mesh, 1, accepted).await?;

    println!("== calls through every daemon");
    send_example_calls(&mesh).await?;

    println!("== an edit: north-signs quotes get a 900 ms timeout");
    run_ctl(
        &mesh,
        &[
            "set",
            "site/north-signs/quoting/quotes",
            "timeout_ms",
            "900",
        ],
    )
    .await?;
    run_ctl(&mesh, &["diff"]).await?;
    let accepted = Instant::now();
    run_ctl(&mesh, &["accept", "--expect", "1"]).await?;
    run_ctl(&mesh, &["watch", "--timeout", "10"]).await?;
    print_time_to_apply(&mesh, 2, accepted).await?;
    run_ctl(
        &mesh,
        &["show", "site/north-signs/quoting/quotes", "--resolved"],
    )
    .await?;

    println!("== a bad edit is refused: a route to an unknown service");
    if run_ctl(
        &mesh,
        &[
            "set",
            "site/north-signs/quoting/quotes",
            "service",
            "nowhere",
        ],
    )
    .await
    .is_ok()
    {
        return Err("an invalid edit was taken".to_owned());
    }

    println!("== withdrawing version 2");
    let accepted = Instant::now();
    run_ctl(&mesh, &["withdraw", "--expect", "2"]).await?;
    run_ctl(&mesh, &["watch", "--timeout", "10"]).await?;
    print_time_to_apply(&mesh, 3, accepted).await?;
    run_ctl(
        &mesh,
        &["show", "site/north-signs/quoting/quotes", "--resolved"],
    )
    .await?;
    run_ctl(&mesh, &["status"]).await?;

    let stats = mesh.platform.store.stats();
    let placements = mesh.executions.records().len();
    println!("== done: {placements} order placements executed (sent 4); platform served {} reads, {} writes, {} object reads, {} bytes",
        stats.reads, stats.writes, stats.object_reads, stats.bytes_out);
    if placements != 4 {
        return Err(format!("expected 4 order placements, saw {placements}"));
    }
    Ok(())
}

/// Runs a filbertctl command in this process against the mesh's platform and
/// prints the command line, and the error if it fails.
async fn run_ctl(mesh: &LocalMesh, arguments: &[&str]) -> Result<(), String> {
    println!("$ filbertctl {}", arguments.join(" "));
    let mut args = vec!["filbertctl", "--platform", &mesh.platform.url];
    args.extend_from_slice(arguments);
    let cli = Cli::try_parse_from(args).map_err(|error| error.to_string())?;
    cmd::run(cli).await.map_err(|report| {
        let text = format_report(&report);
        println!("filbertctl: {text}");
        text
    })
}

/// Waits until every daemon has applied version `number` and prints the time
/// since `accepted`.
async fn print_time_to_apply(
    mesh: &LocalMesh,
    number: u64,
    accepted: Instant,
) -> Result<(), String> {
    mesh.wait_until_applied(number, Duration::from_secs(10))
        .await
        .ok_or_else(|| format!("version {number} did not come into force"))?;
    println!(
        "version {number} in force on every daemon {} ms after accept",
        accepted.elapsed().as_millis()
    );
    Ok(())
}

/// Sends one quote request and one order through each daemon and prints the
/// responses.
async fn send_example_calls(mesh: &LocalMesh) -> Result<(), String> {
    let http = crate::http::direct_client();
    for (index, daemon) in mesh.daemons.iter().enumerate() {
        let quote = http
            .get(format!("{}/quotes/{index}", daemon.proxy_url))
            .header("x-filbert-member", "north-signs")
            .send()
            .await
            .map_err(|error| error.to_string())?;
        let target = quote
            .headers()
            .get("x-filbert-target")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("-")
            .to_owned();
        println!(
            "GET  {}/quotes/{index} -> {} via target {target}",
            daemon.id,
            quote.status()
        );
        let order = http
            .post(format!("{}/orders", daemon.proxy_url))
            .header("x-filbert-member", "harbour-signs")
            .header("idempotency-key", format!("order-{index}"))
            .body(format!("{{\"order\":{index},\"letters\":\"OPEN\"}}"))
            .send()
            .await
            .map_err(|error| error.to_string())?;
        println!("POST {}/orders -> {}", daemon.id, order.status());
    }
    Ok(())
}
