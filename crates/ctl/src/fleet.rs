//! What the platform's table says of every proxy: each zone's digest, written
//! by its relay, and the status rows of daemons without a relay.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use error_stack::ResultExt;
use filbert_store::{DaemonStatus, LeaseRecord, PlatformClient, StoreKey, TableRow, ZoneDigest};

use crate::error::CtlError;
use crate::store::CtlResult;

/// A relay or proxy that has not reported for this long counts as gone.
const LIVE_WINDOW_MS: u64 = 5_000;

/// Every known proxy, in order of zone and id.
#[derive(Debug, Default)]
pub struct FleetStatus {
    /// Proxies heard of within the live window.
    pub live: Vec<DaemonStatus>,
    /// Proxies not heard of within it.
    pub silent: Vec<DaemonStatus>,
}

/// Reads the fleet's status.
///
/// # Errors
/// [`CtlError::Platform`] when the rows cannot be read.
pub async fn read(platform: &PlatformClient) -> CtlResult<FleetStatus> {
    let leases = scan::<LeaseRecord>(platform, StoreKey::LEASE_PREFIX).await?;
    let digests = scan::<ZoneDigest>(platform, StoreKey::DIGEST_PREFIX).await?;
    let rows = scan::<DaemonStatus>(platform, StoreKey::DAEMON_PREFIX).await?;
    let now_ms = now_ms();
    let mut newest: BTreeMap<(String, String), DaemonStatus> = BTreeMap::new();
    let from_digests = digests.into_iter().flat_map(|(zone, digest)| {
        let reported_at_ms = leases.get(&zone).map_or(0, |lease| lease.renewed_at_ms);
        digest_statuses(&zone, digest, reported_at_ms)
    });
    for status in rows.into_values().chain(from_digests) {
        let key = (status.zone.clone(), status.id.clone());
        let known = newest.get(&key);
        if known.is_none_or(|known| known.reported_at_ms <= status.reported_at_ms) {
            newest.insert(key, status);
        }
    }
    let (live, silent) = newest
        .into_values()
        .partition(|status| now_ms.saturating_sub(status.reported_at_ms) <= LIVE_WINDOW_MS);
    Ok(FleetStatus { live, silent })
}

/// Reads every row under `prefix` that holds a `T`, by what follows the prefix.
async fn scan<T: serde::de::DeserializeOwned>(
    platform: &PlatformClient,
    prefix: &str,
) -> CtlResult<BTreeMap<String, T>> {
    let rows = platform
        .scan(prefix)
        .await
        .change_context(CtlError::Platform)?;
    let named = |row: TableRow| {
        let name = row.key.strip_prefix(prefix)?.to_owned();
        Some((name, serde_json::from_value(row.value).ok()?))
    };
    Ok(rows.into_iter().filter_map(named).collect())
}

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

/// Wall time in milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
