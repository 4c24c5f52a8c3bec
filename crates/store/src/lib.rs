//! Client and wire types for the platform's table service and object store.
//!
//! The stand-in server in `filbert-standin` uses the same wire types.

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
