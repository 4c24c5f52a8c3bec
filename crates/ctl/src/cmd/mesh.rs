//! `filbertctl mesh ...`: the configuration, the hosts and the calls held back
//! on the users' platform. The store takes the configuration from its own
//! operator interface alone, so that is only read.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use filbert_mesh::messages::PeerAddress;
use filbert_platform::operator::decode_config;
use filbert_platform::store::{StoreClient, CONFIG_KEY, OPERATOR_TABLE};
use filbert_policy::clock::SystemClock;

use super::{held, organisations, rollout};
use crate::cli::{ConfigFormat, MeshCommand, ReadFormat};
use crate::error::CtlError;
use crate::mesh::{DaemonReadings, HostStatus, MeshTree};
use crate::store::{json, CtlResult};

/// How long one call to the store or to a daemon may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two looks at the daemons.
const LOOK_EVERY: Duration = Duration::from_millis(100);

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
        } => organisations::list(&store, metrics_port, output).await,
        MeshCommand::Release { call } => held::release(&store, call).await,
        MeshCommand::Watch {
            version,
            metrics_port,
            timeout,
        } => watch(&store, version, metrics_port, Duration::from_secs(timeout)).await,
    }
}

/// The configuration in the store, as text and as a tree.
pub(super) async fn current(store: &StoreClient) -> CtlResult<(Vec<u8>, MeshTree)> {
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
    Ok((text, MeshTree::of(&version)))
}

async fn show(store: &StoreClient, below: &str, output: ConfigFormat) -> CtlResult<()> {
    let (text, tree) = current(store).await?;
    match output {
        ConfigFormat::Text => print!("{}", tree.text(below)),
        ConfigFormat::Json => println!("{}", json(&tree)?),
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
    let older = MeshTree::of(&version);
    let (_, tree) = current(store).await?;
    println!("version {:08x} -> {:08x}", older.version, tree.version);
    for line in tree.changes_since(&older) {
        println!("{line}");
    }
    Ok(())
}

/// The hosts whose rows are in the store.
pub(super) async fn members(store: &StoreClient) -> CtlResult<Vec<PeerAddress>> {
    let batch = store
        .read_table(filbert_mesh::rows::HOSTS_TABLE)
        .await
        .change_context(CtlError::Platform)?;
    Ok(batch
        .rows
        .iter()
        .filter_map(filbert_mesh::rows::decode_member)
        .collect())
}

async fn hosts(store: &StoreClient, output: ReadFormat) -> CtlResult<()> {
    let members = members(store).await?;
    if output == ReadFormat::Json {
        println!("{}", json(&members)?);
        return Ok(());
    }
    for member in members {
        println!("{:<32} {:<20} {}", member.id, member.zone, member.address);
    }
    Ok(())
}

async fn status(store: &StoreClient, metrics_port: u16, output: ReadFormat) -> CtlResult<()> {
    let members = members(store).await?;
    let metrics = metrics_of(members.clone(), metrics_port).await?;
    let readings = metrics
        .into_iter()
        .map(|(_, text)| text.and_then(|text| DaemonReadings::read(&text)));
    let hosts: Vec<HostStatus> = members
        .into_iter()
        .zip(readings)
        .map(|(member, daemon)| host_status(member, daemon))
        .collect();
    if output == ReadFormat::Json {
        println!("{}", json(&hosts)?);
        return Ok(());
    }
    println!(
        "{:<32} {:<16} {:<16} {:>8} {:>6} {:>8} {:>8} {:>5} {:>8}",
        "host", "zone", "service", "version", "links", "running", "waiting", "ill", "memory"
    );
    for HostStatus {
        host,
        zone,
        service,
        daemon,
    } in hosts
    {
        let said = daemon.map_or_else(
            || "does not answer".to_owned(),
            |daemon| {
                format!(
                    "{:08x} {:>6} {:>8} {:>8} {:>5.2} {:>5} MB",
                    daemon.version,
                    daemon.links,
                    daemon.running,
                    daemon.waiting,
                    daemon.ill_share,
                    daemon.memory_bytes / 1_000_000
                )
            },
        );
        println!("{host:<32} {zone:<16} {service:<16} {said}");
    }
    Ok(())
}

/// What the daemons of `members` say in their metrics, by host and in that order;
/// `None` of one that does not answer.
pub(super) async fn metrics_of(
    members: Vec<PeerAddress>,
    port: u16,
) -> CtlResult<Vec<(String, Option<String>)>> {
    let http = metrics_client()?;
    let mut asked = tokio::task::JoinSet::new();
    for (place, member) in members.into_iter().enumerate() {
        let http = http.clone();
        asked.spawn(async move {
            let text = metrics_text(&http, &member, port).await;
            (place, member.id, text)
        });
    }
    let mut told = asked.join_all().await;
    told.sort_by_key(|(place, ..)| *place);
    Ok(told.into_iter().map(|(_, id, text)| (id, text)).collect())
}

fn host_status(member: PeerAddress, daemon: Option<DaemonReadings>) -> HostStatus {
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
    let wanted = match version {
        Some(version) => version,
        None => current(store).await?.1.version,
    };
    let http = metrics_client()?;
    let started = Instant::now();
    let mut behind = members(store).await?;
    while !behind.is_empty() && started.elapsed() < timeout {
        let mut still = Vec::new();
        for member in behind {
            let daemon = readings_of(&http, &member, metrics_port).await;
            if daemon.is_none_or(|daemon| daemon.version < wanted) {
                still.push(member);
            }
        }
        behind = still;
        if !behind.is_empty() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }
    if behind.is_empty() {
        println!(
            "version {wanted:08x} is in force everywhere, {} ms",
            started.elapsed().as_millis()
        );
        return Ok(());
    }
    let names: Vec<String> = behind.into_iter().map(|member| member.id).collect();
    Err(Report::new(CtlError::NotSettled).attach(format!(
        "version {wanted:08x} is missing on {}",
        names.join(", ")
    )))
}

/// What a host's daemon says of itself; `None` when it does not answer.
async fn readings_of(
    http: &reqwest::Client,
    member: &PeerAddress,
    port: u16,
) -> Option<DaemonReadings> {
    DaemonReadings::read(&metrics_text(http, member, port).await?)
}

async fn metrics_text(http: &reqwest::Client, member: &PeerAddress, port: u16) -> Option<String> {
    let host = member.address.rsplit_once(':')?.0;
    let asked = http.get(format!("http://{host}:{port}/metrics")).send();
    asked.await.ok()?.text().await.ok()
}
