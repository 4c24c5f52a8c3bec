//! `filbertctl watch [VERSION]`: wait until every live proxy reports the
//! version in force, and say how long it took.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use filbert_platform::{DaemonStatus, PlatformClient, TableKey};

use crate::error::CtlError;
use crate::store::{self, CtlResult};

/// A proxy that has not reported for this long counts as gone, not behind.
const LIVE_WINDOW_MS: u64 = 5_000;
/// Pause between reads of the status rows.
const POLL: Duration = Duration::from_millis(50);

pub(super) async fn run(
    platform: &PlatformClient,
    version: Option<u64>,
    timeout: Duration,
) -> CtlResult<()> {
    let target = match version {
        Some(number) => number,
        None => store::in_force(platform).await?.number(),
    };
    let started = Instant::now();
    loop {
        let (live, _) = live_daemons(platform, now_ms()).await?;
        let behind: Vec<&DaemonStatus> = live
            .iter()
            .filter(|status| status.applied < target)
            .collect();
        if !live.is_empty() && behind.is_empty() {
            println!(
                "version {target} in force on all {} proxies after {} ms",
                live.len(),
                started.elapsed().as_millis()
            );
            return Ok(());
        }
        if started.elapsed() > timeout {
            let names: Vec<String> = behind
                .iter()
                .map(|status| format!("{}/{} at {}", status.zone, status.id, status.applied))
                .collect();
            return Err(Report::new(CtlError::NotSettled).attach(format!(
                "version {target} not in force after {} s on: {}",
                timeout.as_secs(),
                names.join(", ")
            )));
        }
        tokio::time::sleep(POLL).await;
    }
}

/// The daemons' status rows, split into live and silent ones.
///
/// # Errors
/// [`CtlError::Platform`] when the rows cannot be read.
pub(super) async fn live_daemons(
    platform: &PlatformClient,
    now_ms: u64,
) -> CtlResult<(Vec<DaemonStatus>, Vec<DaemonStatus>)> {
    let rows = platform
        .scan(TableKey::DAEMONS)
        .await
        .change_context(CtlError::Platform)?;
    let statuses = rows
        .into_iter()
        .filter_map(|row| serde_json::from_value::<DaemonStatus>(row.value).ok());
    Ok(statuses.partition(|status| now_ms.saturating_sub(status.reported_at_ms) <= LIVE_WINDOW_MS))
}

/// Wall time in milliseconds since the Unix epoch.
pub(super) fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
