//! Client and wire types for the platform's table service and object store.
//!
//! The stand-in server in `filbert-standin` uses the same wire types.

mod address;
mod client;
mod keys;
mod rows;
mod text;
mod wire;

pub use address::{check_target_address, parse_relay_address, AddressFault};
pub use client::{PlatformClient, PlatformError, WriteOutcome};
pub use keys::StoreKey;
pub use text::shortened;
pub use wire::{
    CurrentPointer, DaemonStatus, DeltaPointer, GetRequest, InjectedFaults, LeaseRecord,
    PlatformStats, PutRequest, ScanRequest, TableRow, TargetAnnouncement, TargetRecord,
    WriteCondition, ZoneDigest,
};
