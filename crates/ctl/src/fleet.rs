//! Status of all daemons, as the platform's table has it: the digest of each
//! availability zone, written by the zone's relay, and the status rows of daemons that
//! have no relay.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use error_stack::ResultExt;
use filbert_store::{DaemonStatus, LeaseRecord, PlatformClient, StoreKey, TableRow, ZoneDigest};

use crate::error::CtlError;
use crate::store::CtlResult;

/// Maximum age of the last report of a live daemon. In a digest, a daemon's report is
/// as old as the last renewal of the zone's relay lease.
const LIVENESS_TIMEOUT_MS: u64 = 5_000;

/// Statuses of all known daemons, in order of availability zone and id.
#[derive(Debug, Default)]
pub struct FleetStatus {
    /// Daemons that reported within the liveness timeout.
    pub live: Vec<DaemonStatus>,
    /// Daemons that did not.
    pub silent: Vec<DaemonStatus>,
}

/// Reads the statuses of all daemons.
///
/// # Errors
/// [`CtlError::Platform`] if the rows cannot be read.
pub async fn read(platform: &PlatformClient) -> CtlResult<FleetStatus> {
    let leases = scan::<LeaseRecord>(platform, StoreKey::LEASE_PREFIX).await?;
    let digests = scan::<ZoneDigest>(platform, StoreKey::DIGEST_PREFIX).await?;
    let rows = scan::<DaemonStatus>(platform, StoreKey::DAEMON_PREFIX).await?;
    let now_ms = now_ms();
    let mut latest: BTreeMap<(String, String), DaemonStatus> = BTreeMap::new();
    let from_digests = digests.into_iter().flat_map(|(zone, digest)| {
        let reported_at_ms = leases.get(&zone).map_or(0, |lease| lease.renewed_at_ms);
        digest_statuses(&zone, digest, reported_at_ms)
    });
    for status in rows.into_values().chain(from_digests) {
        let key = (status.zone.clone(), status.id.clone());
        let known = latest.get(&key);
        if known.is_none_or(|known| known.reported_at_ms <= status.reported_at_ms) {
            latest.insert(key, status);
        }
    }
    let (live, silent) = latest
        .into_values()
        .partition(|status| now_ms.saturating_sub(status.reported_at_ms) <= LIVENESS_TIMEOUT_MS);
    Ok(FleetStatus { live, silent })
}

/// Reads all rows whose key starts with `prefix`, by the rest of the key. Rows that do
/// not decode as a `T` are skipped.
async fn scan<T: serde::de::DeserializeOwned>(
    platform: &PlatformClient,
    prefix: &str,
) -> CtlResult<BTreeMap<String, T>> {
    let rows = platform
        .scan(prefix)
        .await
        .change_context(CtlError::Platform)?;
    let parse_row = |row: TableRow| {
        let name = row.key.strip_prefix(prefix)?.to_owned();
        Some((name, serde_json::from_value(row.value).ok()?))
    };
    Ok(rows.into_iter().filter_map(parse_row).collect())
}

/// Converts the digest of `zone` to one status per daemon.
fn digest_statuses(zone: &str, digest: ZoneDigest, reported_at_ms: u64) -> Vec<DaemonStatus> {
    let mut rejected: BTreeMap<String, (u64, String)> = digest
        .rejected
        .into_iter()
        .map(|(id, number, reason)| (id, (number, reason)))
        .collect();
    let mut statuses = Vec::new();
    for (applied, ids) in digest.applied {
        for id in ids {
            statuses.push(DaemonStatus {
                rejected: rejected.remove(&id),
                id,
                zone: zone.to_owned(),
                applied,
                reported_at_ms,
            });
        }
    }
    statuses
}

/// Returns the wall-clock time in Unix milliseconds.
fn now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
