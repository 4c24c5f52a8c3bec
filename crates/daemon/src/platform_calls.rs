//! Calls of the daemon to the platform. Each call runs in a task of its own and returns
//! its outcome as an event, so a slow platform does not block the control loop.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use filbert_store::{
    check_target_address, parse_relay_address, shortened, CurrentPointer, DaemonStatus,
    DeltaPointer, LeaseRecord, PlatformClient, StoreKey, TableRow, TargetRecord, WriteCondition,
    WriteOutcome, ZoneDigest,
};
use filbert_tree::VersionCodec;
use tokio::sync::mpsc;

use crate::control::{ControlEvent, LeaseRow, PlatformStep};
use crate::counters::DaemonCounters;

/// Starts calls to the platform for one daemon. Clones are cheap.
#[derive(Clone)]
pub struct PlatformCalls {
    /// Client of the platform's table and object store.
    pub platform: PlatformClient,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Receives the outcomes of the calls.
    pub events: mpsc::Sender<ControlEvent>,
    /// Counts reads and writes.
    pub counters: Arc<DaemonCounters>,
    /// Number of target rows that the last scan skipped.
    pub skipped_targets: Arc<AtomicUsize>,
}

impl PlatformCalls {
    /// Runs `call` in a task of its own and sends the event that it returns, if any.
    fn spawn_call<F>(&self, call: F)
    where
        F: std::future::Future<Output = Option<ControlEvent>> + Send + 'static,
    {
        let events = self.events.clone();
        tokio::spawn(async move {
            if let Some(event) = call.await {
                let _ = events.send(event).await;
            }
        });
    }

    /// Reads the row `current`, which points to the current version. The event has
    /// number 0 if there is no such row.
    pub fn read_current(&self) {
        self.counters.record_platform_read();
        let platform = self.platform.clone();
        self.spawn_call(async move {
            Some(match platform.get(StoreKey::CURRENT).await {
                Ok(None) => ControlEvent::CurrentRead {
                    number: 0,
                    object: String::new(),
                    delta: None,
                },
                Ok(Some(row)) => serde_json::from_value::<CurrentPointer>(row.value).map_or(
                    ControlEvent::CurrentUnreadable,
                    |pointer| ControlEvent::CurrentRead {
                        number: pointer.number,
                        object: pointer.object,
                        delta: pointer.delta,
                    },
                ),
                Err(_) => ControlEvent::PlatformFailed {
                    step: PlatformStep::ReadCurrent,
                },
            })
        });
    }

    /// Fetches version `number` in full from the object with the key `object`.
    pub fn fetch_full(&self, number: u64, object: String) {
        let unusable = ControlEvent::ObjectUnusable {
            number,
            is_whole: true,
        };
        let other_version = unusable.clone();
        self.fetch_object(
            object,
            unusable,
            VersionCodec::decode,
            move |record, bytes| {
                if record.number != number {
                    return other_version;
                }
                ControlEvent::VersionFetched {
                    record: Arc::new(record),
                    bytes,
                }
            },
        );
    }

    /// Fetches the delta to version `number` that `pointer` points to.
    pub fn fetch_delta(&self, number: u64, pointer: DeltaPointer) {
        let base = pointer.base;
        let unusable = ControlEvent::ObjectUnusable {
            number,
            is_whole: false,
        };
        self.fetch_object(
            pointer.object,
            unusable,
            VersionCodec::decode_delta,
            move |delta, bytes| ControlEvent::DeltaFetched {
                base,
                number,
                delta,
                bytes,
            },
        );
    }

    /// Fetches an object and decodes it. `fetched` makes the event from the decoded value
    /// and its encoded size in bytes; `unusable` is the event if there is no such object.
    fn fetch_object<T: 'static>(
        &self,
        object: String,
        unusable: ControlEvent,
        decode: fn(&[u8]) -> Result<T, String>,
        fetched: impl FnOnce(T, usize) -> ControlEvent + Send + 'static,
    ) {
        self.counters.record_platform_read();
        let platform = self.platform.clone();
        self.spawn_call(async move {
            Some(match platform.get_object(&object).await {
                Ok(Some(bytes)) => match decode(&bytes) {
                    Ok(value) => fetched(value, bytes.len()),
                    Err(reason) => {
                        let reason = shortened(&reason);
                        log::warn!("event=version_undecodable reason=\"{reason}\"");
                        unusable
                    }
                },
                Ok(None) => unusable,
                Err(_) => ControlEvent::PlatformFailed {
                    step: PlatformStep::FetchVersion,
                },
            })
        });
    }

    /// Reads the target rows of the zone. Rows that name no target are skipped.
    pub fn read_targets(&self) {
        self.counters.record_platform_read();
        let platform = self.platform.clone();
        let prefix = StoreKey::zone_target_prefix(&self.zone);
        let skipped_targets = Arc::clone(&self.skipped_targets);
        self.spawn_call(async move {
            Some(match platform.scan(&prefix).await {
                Ok(rows) => {
                    let row_count = rows.len();
                    let records: Vec<_> = rows.into_iter().filter_map(decode_target_row).collect();
                    log_skipped_targets(row_count - records.len(), &skipped_targets);
                    ControlEvent::TargetsRead { records }
                }
                Err(_) => ControlEvent::PlatformFailed {
                    step: PlatformStep::ReadTargets,
                },
            })
        });
    }

    /// Reads the lease row of the zone. A row that is no lease counts as released.
    pub fn read_lease(&self) {
        self.counters.record_platform_read();
        let platform = self.platform.clone();
        let key = StoreKey::lease(&self.zone);
        self.spawn_call(async move {
            Some(match platform.get(&key).await {
                Ok(row) => ControlEvent::LeaseRead {
                    row: row.map(decode_lease_row),
                },
                Err(_) => ControlEvent::PlatformFailed {
                    step: PlatformStep::Lease,
                },
            })
        });
    }

    /// Writes the lease row of the zone if `expect` holds.
    pub fn write_lease(&self, expect: WriteCondition, record: &LeaseRecord) {
        self.counters.record_platform_write();
        let platform = self.platform.clone();
        let key = StoreKey::lease(&self.zone);
        let value = serde_json::to_value(record).unwrap_or_default();
        self.spawn_call(async move {
            Some(match platform.put(&key, expect, value).await {
                Ok(WriteOutcome::Written(row)) => ControlEvent::LeaseWritten {
                    row: decode_lease_row(row),
                },
                Ok(WriteOutcome::Refused(row)) => ControlEvent::LeaseWriteRefused {
                    row: row.map(decode_lease_row),
                },
                Err(_) => ControlEvent::PlatformFailed {
                    step: PlatformStep::Lease,
                },
            })
        });
    }

    /// Writes the digest row of the zone, unless the stored digest has a higher fencing
    /// token.
    pub fn write_digest(&self, digest: ZoneDigest) {
        self.counters.record_platform_read();
        self.counters.record_platform_write();
        let platform = self.platform.clone();
        let key = StoreKey::digest(&self.zone);
        self.spawn_call(async move {
            // Checks the stored token and writes only if the row has not changed
            // since. Otherwise a relay that was paused until its lease expired could
            // overwrite the digest of its successor, and `filbertctl watch` would show
            // proxies as behind that are not.
            let failed = ControlEvent::PlatformFailed {
                step: PlatformStep::Write,
            };
            let Ok(row) = platform.get(&key).await else {
                return Some(failed);
            };
            let stored = row
                .as_ref()
                .and_then(|row| serde_json::from_value::<ZoneDigest>(row.value.clone()).ok());
            if stored.is_some_and(|stored| stored.token > digest.token) {
                return None;
            }
            let expect = row.map_or(WriteCondition::Absent, |row| {
                WriteCondition::Version(row.version)
            });
            let value = serde_json::to_value(digest).unwrap_or_default();
            match platform.put(&key, expect, value).await {
                Ok(WriteOutcome::Written(_)) => None,
                Ok(WriteOutcome::Refused(_)) | Err(_) => Some(ControlEvent::DigestWriteFailed),
            }
        });
    }

    /// Writes the row of a target.
    pub fn write_target(&self, record: &TargetRecord) {
        let key = StoreKey::target(&record.zone, &record.service, &record.address);
        self.write_row(key, serde_json::to_value(record).unwrap_or_default());
    }

    /// Writes the status row of this daemon.
    pub fn write_status(&self, status: &DaemonStatus) {
        let key = StoreKey::daemon(&status.zone, &status.id);
        self.write_row(key, serde_json::to_value(status).unwrap_or_default());
    }

    /// Writes a status or target row unconditionally. A failed write is not retried: each
    /// refresh writes the complete rows again.
    fn write_row(&self, key: String, value: serde_json::Value) {
        self.counters.record_platform_write();
        let platform = self.platform.clone();
        self.spawn_call(async move {
            let failed = ControlEvent::PlatformFailed {
                step: PlatformStep::Write,
            };
            let written = platform.put(&key, WriteCondition::Any, value).await;
            written.is_err().then_some(failed)
        });
    }
}

/// Decodes the row of a target. Returns `None` if its value names no target.
fn decode_target_row(row: TableRow) -> Option<TargetRecord> {
    let record: TargetRecord = serde_json::from_value(row.value).ok()?;
    check_target_address(&record.address).ok()?;
    Some(record)
}

/// Logs how many target rows a scan skipped, if the number has changed since the last scan.
fn log_skipped_targets(count: usize, last_count: &AtomicUsize) {
    if last_count.swap(count, Ordering::Relaxed) != count {
        log::warn!("event=target_rows_skipped rows={count}");
    }
}

/// Decodes a lease row. A value that is no lease, or whose holder cannot be reached, is read as
/// a released one: the next holder then replaces the row at its version. Read as no row, it could
/// never be replaced.
fn decode_lease_row(row: TableRow) -> LeaseRow {
    let record = serde_json::from_value(row.value)
        .ok()
        .filter(|record: &LeaseRecord| {
            record.address.is_empty() || parse_relay_address(&record.address).is_ok()
        })
        .unwrap_or_else(|| {
            log::warn!("event=lease_unreadable row_version={}", row.version);
            LeaseRecord::default()
        });
    LeaseRow {
        version: row.version,
        record,
    }
}
