//! Request and reply bodies of the platform's HTTP protocol, and the rows
//! this project keeps in the table.

use serde::{Deserialize, Serialize};

/// One row of the table. `version` grows by one on every write of the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The row's key.
    pub key: String,
    /// The row's version, from 1.
    pub version: u64,
    /// The stored value.
    pub value: serde_json::Value,
}

/// The condition a write must meet to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteCondition {
    /// Write whatever is there.
    Any,
    /// Write only if the key is absent (conditional insert).
    Absent,
    /// Write only if the row is at this version (compare-and-set).
    Version(u64),
}

/// Body of `POST /table/get`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// The key to read.
    pub key: String,
}

/// Body of `POST /table/put`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key to write.
    pub key: String,
    /// The condition for the write.
    pub expect: WriteCondition,
    /// The new value.
    pub value: serde_json::Value,
}

/// Body of `POST /table/scan`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Every key starting with this is returned, in key order.
    pub prefix: String,
}

/// The stand-in's fault switches (`POST /_faults`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InjectedFaults {
    /// Every request fails with 503 while set.
    pub down: bool,
    /// Every request waits this long first, in milliseconds.
    pub delay_ms: u64,
    /// The next this many writes take effect but their reply is lost.
    pub lose_replies: u32,
}

/// Counts the stand-in keeps (`GET /_stats`), for benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Table reads and scans served.
    pub reads: u64,
    /// Table writes that took effect.
    pub writes: u64,
    /// Objects served.
    pub object_reads: u64,
    /// Bytes of reply bodies sent.
    pub bytes_out: u64,
}

impl PlatformStats {
    /// What was counted since `earlier`.
    #[must_use]
    pub fn since(self, earlier: PlatformStats) -> PlatformStats {
        PlatformStats {
            reads: self.reads - earlier.reads,
            writes: self.writes - earlier.writes,
            object_reads: self.object_reads - earlier.object_reads,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }

    /// Reads of the table and of objects together.
    #[must_use]
    pub fn total_reads(self) -> u64 {
        self.reads + self.object_reads
    }
}

/// What a daemon reports about itself in its row `daemons/ZONE/ID`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The daemon's id from its settings.
    pub id: String,
    /// Its availability zone.
    pub zone: String,
    /// The version in force on it (0 before the first).
    pub applied: u64,
    /// The newest version it refused as invalid, if any, with the reason.
    pub rejected: Option<(u64, String)>,
    /// Its clock at the report, in milliseconds since the Unix epoch.
    pub reported_at_ms: u64,
}

/// A target's announcement as kept in the row `targets/ZONE/SERVICE/ADDRESS`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The service the target serves.
    pub service: String,
    /// Where to reach it, as `host:port`.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Id of the daemon on its host, which it announces itself to.
    pub daemon: String,
    /// Its last reported load: calls in flight.
    pub load: u32,
    /// Set once it announced that it is leaving: it must get no new work.
    pub leaving: bool,
    /// When the announcing daemon last heard from it, in milliseconds since the Unix epoch.
    pub heard_at_ms: u64,
}

/// A zone's lease, in the row `leases/ZONE`: who relays versions and targets
/// to the zone's other daemons. Renewed by compare-and-set on the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder's daemon id.
    pub holder: String,
    /// The holder's start, unique per process, so that a restarted daemon
    /// does not take its predecessor's lease for its own.
    pub incarnation: u64,
    /// The fencing token: grows by one with every new holder.
    pub token: u64,
    /// Where the holder's relay port is, `host:port`; empty once released.
    pub address: String,
    /// The holder's wall clock at the renewal, in milliseconds since the Unix
    /// epoch; for operators only, never used to judge the lease.
    pub renewed_at_ms: u64,
}

/// What a zone's relay reports of the daemons linked to it, in the row
/// `digests/ZONE`; rewritten when it changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// The fencing token of the lease it was written under.
    pub token: u64,
    /// Daemon ids by the version each has in force.
    pub applied: std::collections::BTreeMap<u64, Vec<String>>,
    /// Daemons that refused a version: id, number, reason.
    pub rejected: Vec<(String, u64, String)>,
}

/// What a target sends its host's daemon (`POST /announce` on the daemon's
/// admin port) to join, report load, and leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetAnnouncement {
    /// The service the target serves.
    pub service: String,
    /// Where to reach it, as `host:port`.
    pub address: String,
    /// Calls in flight on it now.
    pub load: u32,
    /// Set when it is leaving and must get no new work.
    pub leaving: bool,
}

/// The value of the `current` row: which version is in force and where its
/// object is. The object key is unique per accept, so racing operators never
/// overwrite each other's objects; only the winner of the compare-and-set on
/// this row is named here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentPointer {
    /// The version number in force.
    pub number: u64,
    /// Object store key of its [`filbert_tree::VersionRecord`].
    pub object: String,
    /// Where the steps from the version before are, when they were stored.
    #[serde(default)]
    pub delta: Option<DeltaPointer>,
}

/// Where the steps from one version to the next are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaPointer {
    /// The version the steps start from.
    pub base: u64,
    /// Object store key of the [`filbert_tree::TreeDelta`].
    pub object: String,
}
