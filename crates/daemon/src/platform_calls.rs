//! The daemon's calls to the platform. Each runs as its own task and reports
//! back as an event, so a slow platform never stalls the reducer.

use std::sync::Arc;

use filbert_store::{
    CurrentPointer, DaemonStatus, DeltaPointer, LeaseRecord, PlatformClient, StoreKey, TableRow,
    TargetRecord, WriteCondition, WriteOutcome, ZoneDigest,
};
use filbert_tree::VersionCodec;
use tokio::sync::mpsc;

use crate::control::{ControlEvent, LeaseRow, PlatformStep};
use crate::counters::DaemonCounters;

/// Makes platform calls for one daemon. Cheap to clone.
#[derive(Clone)]
pub struct PlatformCalls {
    /// The platform.
    pub platform: PlatformClient,
    /// The daemon's zone.
    pub zone: String,
    /// Where outcomes go.
    pub events: mpsc::Sender<ControlEvent>,
    /// Counters.
    pub counters: Arc<DaemonCounters>,
}

impl PlatformCalls {
    fn report<F>(&self, call: F)
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

    /// Reads the `current` row.
    pub fn read_current(&self) {
        self.counters.record_platform_read();
        let platform = self.platform.clone();
        self.report(async move {
            let failed = ControlEvent::PlatformFailed {
                step: PlatformStep::ReadCurrent,
            };
            Some(match platform.get(StoreKey::CURRENT).await {
                Ok(None) => ControlEvent::CurrentRead {
                    number: 0,
                    object: String::new(),
                    delta: None,
                },
                Ok(Some(row)) => {
                    serde_json::from_value::<CurrentPointer>(row.value).map_or(failed, |pointer| {
                        ControlEvent::CurrentRead {
                            number: pointer.number,
                            object: pointer.object,
                            delta: pointer.delta,
                        }
                    })
                }
                Err(_) => failed,
            })
        });
    }

    /// Fetches a version object.
    pub fn fetch(&self, number: u64, object: String) {
        self.fetch_object(number, object, VersionCodec::decode, |record, bytes| {
            ControlEvent::VersionFetched {
                record: Arc::new(record),
                bytes,
            }
        });
    }

    /// Fetches the steps to version `number`.
    pub fn fetch_delta(&self, number: u64, pointer: DeltaPointer) {
        let base = pointer.base;
        self.fetch_object(
            number,
            pointer.object,
            VersionCodec::decode_delta,
            move |delta, bytes| ControlEvent::DeltaFetched {
                base,
                number,
                delta,
                bytes,
            },
        );
    }

    fn fetch_object<T: 'static>(
        &self,
        number: u64,
        object: String,
        decode: fn(&[u8]) -> Result<T, String>,
        fetched: impl FnOnce(T, usize) -> ControlEvent + Send + 'static,
    ) {
        self.counters.record_platform_read();
        let platform = self.platform.clone();
        self.report(async move {
            let failed = ControlEvent::PlatformFailed {
                step: PlatformStep::FetchVersion,
            };
            let Ok(Some(bytes)) = platform.get_object(&object).await else {
                return Some(failed);
            };
            Some(match decode(&bytes) {
                Ok(value) => fetched(value, bytes.len()),
                Err(reason) => {
                    log::warn!("event=version_undecodable version={number} reason={reason:?}");
                    failed
                }
            })
        });
    }

    /// Scans the zone's target rows.
    pub fn read_targets(&self) {
        self.counters.record_platform_read();
        let platform = self.platform.clone();
        let prefix = StoreKey::zone_target_prefix(&self.zone);
        self.report(async move {
            Some(match platform.scan(&prefix).await {
                Ok(rows) => ControlEvent::TargetsRead {
                    records: rows
                        .into_iter()
                        .filter_map(|row| serde_json::from_value::<TargetRecord>(row.value).ok())
                        .collect(),
                },
                Err(_) => ControlEvent::PlatformFailed {
                    step: PlatformStep::ReadTargets,
                },
            })
        });
    }

    /// Reads the zone's lease row.
    pub fn read_lease(&self) {
        self.counters.record_platform_read();
        let platform = self.platform.clone();
        let key = StoreKey::lease(&self.zone);
        self.report(async move {
            Some(match platform.get(&key).await {
                Ok(row) => ControlEvent::LeaseRead {
                    row: row.and_then(lease_row),
                },
                Err(_) => ControlEvent::PlatformFailed {
                    step: PlatformStep::Lease,
                },
            })
        });
    }

    /// Writes the zone's lease row if `expect` holds.
    pub fn write_lease(&self, expect: WriteCondition, record: &LeaseRecord) {
        self.counters.record_platform_write();
        let platform = self.platform.clone();
        let key = StoreKey::lease(&self.zone);
        let value = serde_json::to_value(record).unwrap_or_default();
        self.report(async move {
            let failed = ControlEvent::PlatformFailed {
                step: PlatformStep::Lease,
            };
            Some(match platform.put(&key, expect, value).await {
                Ok(WriteOutcome::Written(row)) => {
                    lease_row(row).map_or(failed, |row| ControlEvent::LeaseWritten { row })
                }
                Ok(WriteOutcome::Refused(row)) => ControlEvent::LeaseRefused {
                    row: row.and_then(lease_row),
                },
                Err(_) => failed,
            })
        });
    }

    /// Writes the zone's digest row unless a later lease's holder has.
    pub fn write_digest(&self, digest: ZoneDigest) {
        self.counters.record_platform_read();
        self.counters.record_platform_write();
        let platform = self.platform.clone();
        let key = StoreKey::digest(&self.zone);
        self.report(async move {
            // Guards against a relay paused past its lease writing over its
            // successor's digest (seen as proxies that `filbertctl watch`
            // takes for behind): the stored token is checked, and the write
            // goes through only if the row has not changed since.
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
                Ok(WriteOutcome::Refused(_)) | Err(_) => Some(ControlEvent::DigestUnwritten),
            }
        });
    }

    /// Writes a target's row.
    pub fn write_target(&self, record: &TargetRecord) {
        let key = StoreKey::target(&record.zone, &record.service, &record.address);
        self.write_row(key, serde_json::to_value(record).unwrap_or_default());
    }

    /// Writes this daemon's status row.
    pub fn write_status(&self, status: &DaemonStatus) {
        let key = StoreKey::daemon(&status.zone, &status.id);
        self.write_row(key, serde_json::to_value(status).unwrap_or_default());
    }

    /// Status and target rows are rewritten whole every refresh, so a write
    /// lost here is repaired by the next one.
    fn write_row(&self, key: String, value: serde_json::Value) {
        self.counters.record_platform_write();
        let platform = self.platform.clone();
        self.report(async move {
            let failed = ControlEvent::PlatformFailed {
                step: PlatformStep::Write,
            };
            let written = platform.put(&key, WriteCondition::Any, value).await;
            written.is_err().then_some(failed)
        });
    }
}

fn lease_row(row: TableRow) -> Option<LeaseRow> {
    Some(LeaseRow {
        version: row.version,
        record: serde_json::from_value(row.value).ok()?,
    })
}
