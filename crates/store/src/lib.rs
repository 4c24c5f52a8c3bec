//! The platform's table service and object store as this project uses them:
//! the wire types both sides share and an HTTP client. The stand-in server in
//! `filbert-standin` speaks the same types.

mod client;
mod keys;
mod wire;

pub use client::{PlatformClient, PlatformError, WriteOutcome};
pub use keys::StoreKey;
pub use wire::{
    CurrentPointer, DaemonStatus, DeltaPointer, GetRequest, InjectedFaults, LeaseRecord,
    PlatformStats, PutRequest, ScanRequest, TableRow, TargetAnnouncement, TargetRecord,
    WriteCondition, ZoneDigest,
};
