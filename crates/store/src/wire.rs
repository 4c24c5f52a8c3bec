//! Request and response bodies of the platform's HTTP protocol, and the values
//! of the rows in its table.

use serde::{Deserialize, Serialize};

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The row's key.
    pub key: String,
    /// The version of the row: 1 at its first write, one more with each write.
    pub version: u64,
    /// The stored value.
    pub value: serde_json::Value,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteCondition {
    /// Write unconditionally.
    Any,
    /// Write only if there is no row at the key (conditional insert).
    Absent,
    /// Write only if the row has this version (compare-and-set).
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
    /// The prefix of the keys whose rows are returned, in key order.
    pub prefix: String,
}

/// Faults that the stand-in server injects (body of `POST /_faults`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InjectedFaults {
    /// Whether every request to the table or the object store fails with status 503.
    pub down: bool,
    /// Delay before each request to the table or the object store is served,
    /// in milliseconds.
    pub delay_ms: u64,
    /// Number of coming writes that take effect but get status 504 as their
    /// response.
    pub lose_replies: u32,
}

/// Counters of the stand-in server (body of `GET /_stats`), for benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Row reads and scans served, whether or not a row was found.
    pub reads: u64,
    /// Row and object writes that took effect.
    pub writes: u64,
    /// Object reads that found an object.
    pub object_reads: u64,
    /// Bytes sent in response bodies of the table and the object store.
    pub bytes_out: u64,
}

impl PlatformStats {
    /// The increase of each counter since the earlier reading `earlier`.
    ///
    /// `earlier` must come from the same run of the server, so that no counter
    /// in it is higher.
    #[must_use]
    pub fn since(self, earlier: PlatformStats) -> PlatformStats {
        PlatformStats {
            reads: self.reads - earlier.reads,
            writes: self.writes - earlier.writes,
            object_reads: self.object_reads - earlier.object_reads,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }

    /// The number of reads of rows and objects together.
    #[must_use]
    pub fn total_reads(self) -> u64 {
        self.reads + self.object_reads
    }
}

/// The status that a daemon reports in its row `daemons/ZONE/ID`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The id of the daemon, from its settings.
    pub id: String,
    /// The availability zone of the daemon.
    pub zone: String,
    /// The number of the version that the daemon has in force; 0 before the
    /// first.
    pub applied: u64,
    /// The number of the newest version that the daemon rejected as invalid,
    /// with the reason; `None` if it rejected none.
    pub rejected: Option<(u64, String)>,
    /// The daemon's wall clock at the report, in milliseconds since the Unix
    /// epoch.
    pub reported_at_ms: u64,
}

/// A target as its daemon registers it in the row
/// `targets/ZONE/SERVICE/ADDRESS`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The service the target serves.
    pub service: String,
    /// The address of the target, as `host:port`.
    pub address: String,
    /// The availability zone of the target.
    pub zone: String,
    /// The id of the daemon on the target's host, which receives its
    /// announcements.
    pub daemon: String,
    /// Calls in flight on the target, as it last reported.
    pub load: u32,
    /// Whether the target announced that it is leaving; it must get no new
    /// calls.
    pub leaving: bool,
    /// The daemon's wall clock when the target last announced itself or the
    /// daemon last refreshed the row, in milliseconds since the Unix epoch.
    pub heard_at_ms: u64,
}

/// The lease of a zone, in the row `leases/ZONE`. Its holder relays versions
/// and targets to the other daemons of the zone, and renews the lease by
/// compare-and-set on the row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The daemon id of the holder.
    pub holder: String,
    /// A number unique to each start of a daemon process. It keeps a restarted
    /// daemon from taking the lease of its previous process for its own.
    pub incarnation: u64,
    /// The fencing token, which increases by one with each new holder.
    pub token: u64,
    /// The relay address of the holder, as `host:port`; empty once the lease is
    /// released.
    pub address: String,
    /// The holder's wall clock at the last renewal, in milliseconds since the
    /// Unix epoch. It is shown to operators only; expiry is never judged by it.
    pub renewed_at_ms: u64,
}

/// The summary of the daemons linked to a zone's relay, which the relay
/// writes to the row `digests/ZONE` when the summary has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// The fencing token of the lease that the relay held at the write.
    pub token: u64,
    /// Ids of the linked daemons, by the number of the version in force on them.
    pub applied: std::collections::BTreeMap<u64, Vec<String>>,
    /// Daemons that rejected a version: daemon id, version number and reason.
    pub rejected: Vec<(String, u64, String)>,
}

/// The message by which a target joins, reports its load and leaves. It is the
/// body of `POST /announce` to the admin port of the daemon on the target's
/// host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetAnnouncement {
    /// The service the target serves.
    pub service: String,
    /// The address of the target, as `host:port`.
    pub address: String,
    /// Calls in flight on the target.
    pub load: u32,
    /// Whether the target is leaving and must get no new calls.
    pub leaving: bool,
}

/// The value of the `current` row: the version in force and the key of its
/// object.
///
/// Each attempt to accept a version stores its object under a unique key and
/// then points this row to it by compare-and-set. Operators who accept at the
/// same time therefore never overwrite each other's objects, and only one of
/// them changes the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentPointer {
    /// The number of the version in force.
    pub number: u64,
    /// Key of the object that holds its [`filbert_tree::VersionRecord`].
    pub object: String,
    /// The delta from the previous version; `None` if none was stored.
    #[serde(default)]
    pub delta: Option<DeltaPointer>,
}

/// The location of the delta from one version to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaPointer {
    /// The number of the version that the delta applies to.
    pub base: u64,
    /// Key of the object that holds the [`filbert_tree::TreeDelta`].
    pub object: String,
}
