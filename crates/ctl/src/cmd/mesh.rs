//! `filbertctl mesh ...`: inspects the configuration, the hosts and the calls on the
//! users' platform. The configuration is read-only here, as the store accepts changes
//! of it only from the platform's own operator interface.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use filbert_mesh::messages::PeerAddress;
use filbert_platform::operator::decode_config;
use filbert_platform::store::{StoreClient, CONFIG_KEY, OPERATOR_TABLE};
use filbert_policy::clock::SystemClock;

use super::answer::answer_text;
use super::{held, organisations, rollout, services};
use crate::cli::{ConfigFormat, MeshCommand, OutputFormat};
use crate::error::CtlError;
use crate::mesh::{ConfigTree, DaemonMetrics, HostStatus};
use crate::store::{to_json, CtlResult};

/// Timeout of a call to the store or to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Path of a daemon's metrics.
pub(super) const METRICS_PATH: &str = "/metrics";
/// Pause between two polls of the daemons' metrics.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(super) async fn run(store: &str, command: MeshCommand) -> CtlResult<()> {
    let store = StoreClient::new(store, CALL_TIMEOUT, Arc::new(SystemClock));
    match command {
        MeshCommand::Show { below, output } => show(&store, &below, output).await,
        MeshCommand::Diff { older } => diff(&store, &older).await,
        MeshCommand::Hosts { output } => hosts(&store, output).await,
        MeshCommand::Status {
            metrics_port,
            output,
        } => status(&store, metrics_port, output).await,
        MeshCommand::Held { output } => held::list(&store, output).await,
        MeshCommand::Rollout { service, output } => {
            rollout::list(&store, service.as_deref(), output).await
        }
        MeshCommand::Organisations {
            metrics_port,
            output,
            json,
        } => {
            let output = if json { OutputFormat::Json } else { output };
            organisations::list(&store, metrics_port, output).await
        }
        MeshCommand::Services {
            metrics_port,
            output,
        } => services::list(&store, metrics_port, output).await,
        MeshCommand::Release { call } => held::release(&store, call).await,
        MeshCommand::Watch {
            version,
            metrics_port,
            timeout,
        } => watch(&store, version, metrics_port, Duration::from_secs(timeout)).await,
    }
}

/// Reads the configuration from the store; returns it as text and as a tree.
pub(super) async fn read_config(store: &StoreClient) -> CtlResult<(Vec<u8>, ConfigTree)> {
    let batch = store
        .read_table(OPERATOR_TABLE)
        .await
        .change_context(CtlError::Platform)?;
    let text = batch
        .rows
        .into_iter()
        .find(|row| row.key == CONFIG_KEY)
        .and_then(|row| row.value)
        .ok_or_else(|| {
            Report::new(CtlError::Platform).attach("the store holds no configuration")
        })?;
    let version = decode_config(&text).change_context(CtlError::Platform)?;
    Ok((text, ConfigTree::from_version(&version)))
}

async fn show(store: &StoreClient, below: &str, output: ConfigFormat) -> CtlResult<()> {
    let (text, tree) = read_config(store).await?;
    match output {
        ConfigFormat::Text => print!("{}", tree.to_text(below)),
        ConfigFormat::Json => println!("{}", to_json(&tree)?),
        ConfigFormat::Raw => println!("{}", String::from_utf8_lossy(&text)),
    }
    Ok(())
}

async fn diff(store: &StoreClient, older: &Path) -> CtlResult<()> {
    let text = std::fs::read(older)
        .change_context(CtlError::BadInput)
        .attach(format!("file {}", older.display()))?;
    let version = decode_config(&text)
        .change_context(CtlError::BadInput)
        .attach(format!("file {}", older.display()))?;
    let older = ConfigTree::from_version(&version);
    let (_, tree) = read_config(store).await?;
    println!("version {:08x} -> {:08x}", older.version, tree.version);
    for line in tree.changes_since(&older) {
        println!("{line}");
    }
    Ok(())
}

/// Reads the hosts that are registered in the store. Rows that do not decode are
/// skipped.
pub(super) async fn read_members(store: &StoreClient) -> CtlResult<Vec<PeerAddress>> {
    let batch = store
        .read_table(filbert_mesh::rows::HOSTS_TABLE)
        .await
        .change_context(CtlError::Platform)?;
    Ok(batch
        .rows
        .iter()
        .filter_map(|row| filbert_mesh::rows::decode_member(row).ok().flatten())
        .collect())
}

async fn hosts(store: &StoreClient, output: OutputFormat) -> CtlResult<()> {
    let members = read_members(store).await?;
    if output == OutputFormat::Json {
        println!("{}", to_json(&members)?);
        return Ok(());
    }
    for member in members {
        println!("{:<32} {:<20} {}", member.id, member.zone, member.address);
    }
    Ok(())
}

async fn status(store: &StoreClient, metrics_port: u16, output: OutputFormat) -> CtlResult<()> {
    let members = read_members(store).await?;
    let metrics = fetch_metrics(members.clone(), metrics_port, METRICS_PATH).await?;
    let daemons = metrics
        .into_iter()
        .map(|(_, text)| text.and_then(|text| DaemonMetrics::parse(&text)));
    let hosts: Vec<HostStatus> = members
        .into_iter()
        .zip(daemons)
        .map(|(member, daemon)| host_status(member, daemon))
        .collect();
    if output == OutputFormat::Json {
        println!("{}", to_json(&hosts)?);
        return Ok(());
    }
    print_statuses(hosts);
    Ok(())
}

fn print_statuses(hosts: Vec<HostStatus>) {
    println!(
        "{:<32} {:<16} {:<16} {:>8} {:>6} {:>8} {:>8} {:>5} {:>8} {:>7} {:>5} {:>7} {:>10} {:>8} {:>8} {:>6}",
        "host",
        "zone",
        "service",
        "version",
        "links",
        "running",
        "waiting",
        "ill",
        "memory",
        "limit",
        "pace",
        "leaving",
        "clients",
        "calls MB",
        "ahead MB",
        "ended"
    );
    for HostStatus {
        host,
        zone,
        service,
        daemon,
    } in hosts
    {
        let columns =
            daemon.map_or_else(|| "does not answer".to_owned(), |daemon| columns(&daemon));
        println!("{host:<32} {zone:<16} {service:<16} {columns}");
    }
}

/// The columns of a status that come from the daemon.
fn columns(daemon: &DaemonMetrics) -> String {
    let text = |value: Option<String>| value.unwrap_or_else(|| "-".to_owned());
    let clients = &daemon.clients;
    format!(
        "{:08x} {:>6} {:>8} {:>8} {:>5.2} {:>5} MB {:>7} {:>5} {:>7} {:>10} {:>8} {:>8} {:>6}",
        daemon.version,
        daemon.links,
        daemon.running,
        daemon.waiting,
        daemon.ill_share,
        daemon.memory_bytes / 1_000_000,
        text(daemon.call_limit.map(|limit| limit.to_string())),
        text(daemon.pace.map(|pace| format!("{pace:.2}"))),
        if daemon.is_leaving { "yes" } else { "-" },
        clients.connections,
        clients.call_bytes.to_mb(),
        clients.answer_bytes.to_mb(),
        clients.ended_count()
    )
}

/// Fetches the metrics of the daemons of `members` in parallel. Returns each host's id
/// and the metrics at `path`, in the order of `members`; the metrics are `None` if the
/// daemon does not answer.
pub(super) async fn fetch_metrics(
    members: Vec<PeerAddress>,
    port: u16,
    path: &'static str,
) -> CtlResult<Vec<(String, Option<String>)>> {
    let http = metrics_client()?;
    let mut requests = tokio::task::JoinSet::new();
    for (index, member) in members.into_iter().enumerate() {
        let http = http.clone();
        requests.spawn(async move {
            let text = fetch_metrics_text(&http, &member, port, path).await;
            (index, member.id, text)
        });
    }
    let mut responses = requests.join_all().await;
    responses.sort_by_key(|(index, ..)| *index);
    Ok(responses
        .into_iter()
        .map(|(_, id, text)| (id, text))
        .collect())
}

fn host_status(member: PeerAddress, daemon: Option<DaemonMetrics>) -> HostStatus {
    HostStatus {
        host: member.id,
        zone: member.zone,
        service: member.service,
        daemon,
    }
}

fn metrics_client() -> CtlResult<reqwest::Client> {
    reqwest::Client::builder()
        .timeout(CALL_TIMEOUT)
        .no_proxy()
        .build()
        .change_context(CtlError::Platform)
}

async fn watch(
    store: &StoreClient,
    version: Option<u64>,
    metrics_port: u16,
    timeout: Duration,
) -> CtlResult<()> {
    let expected = match version {
        Some(version) => version,
        None => read_config(store).await?.1.version,
    };
    let http = metrics_client()?;
    let started = Instant::now();
    let mut behind = read_members(store).await?;
    while !behind.is_empty() && started.elapsed() < timeout {
        let mut still_behind = Vec::new();
        for member in behind {
            let daemon = fetch_daemon_metrics(&http, &member, metrics_port).await;
            if daemon.is_none_or(|daemon| daemon.version < expected) {
                still_behind.push(member);
            }
        }
        behind = still_behind;
        if !behind.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    if behind.is_empty() {
        println!(
            "version {expected:08x} is in force everywhere after {} ms",
            started.elapsed().as_millis()
        );
        return Ok(());
    }
    let names: Vec<String> = behind.into_iter().map(|member| member.id).collect();
    Err(Report::new(CtlError::Incomplete).attach(format!(
        "version {expected:08x} is missing on {}",
        names.join(", ")
    )))
}

/// Fetches and parses the metrics of the daemon of `member`; `None` if it does not
/// answer or has no version.
async fn fetch_daemon_metrics(
    http: &reqwest::Client,
    member: &PeerAddress,
    port: u16,
) -> Option<DaemonMetrics> {
    DaemonMetrics::parse(&fetch_metrics_text(http, member, port, METRICS_PATH).await?)
}

/// Fetches the metrics of the daemon of `member` as text; `None` if it does not answer.
async fn fetch_metrics_text(
    http: &reqwest::Client,
    member: &PeerAddress,
    port: u16,
    path: &str,
) -> Option<String> {
    let host = member.address.rsplit_once(':')?.0;
    let request = http.get(format!("http://{host}:{port}{path}"));
    answer_text(request).await.ok()
}
