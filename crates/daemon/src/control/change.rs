//! State changes that the daemon logs.

use std::fmt;

use filbert_store::shortened;

/// A state change that is logged. [`Display`](fmt::Display) writes the log
/// line: the `event=` name, then its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// Version `to` replaced version `from` as the one in force; `bytes` is its
    /// size on the wire.
    Applied { from: u64, to: u64, bytes: usize },
    /// A valid version uses `services` that the version in force does not use
    /// and that have no known target.
    Staged { number: u64, services: Vec<String> },
    /// A version failed validation; no part of it is applied and the previous
    /// version stays in force.
    Rejected { number: u64, reason: String },
    /// The `current` row names version `number`, which the store does not have, or no version
    /// that can be read (0).
    CurrentUnusable { number: u64 },
    /// The platform became unreachable; version `serving` stays in force.
    PlatformLost { serving: u64 },
    /// The platform is reachable again.
    PlatformBack,
    /// A target on this host announced itself for the first time.
    TargetJoined { service: String, address: String },
    /// A target on this host announced that it is leaving.
    TargetLeaving { service: String, address: String },
    /// This daemon acquired the zone's lease, with this fencing token.
    LeaseTaken { token: u64 },
    /// This daemon's lease expired or was acquired by another daemon.
    LeaseLost { token: u64 },
    /// This daemon lost its relay and became the relay itself, without a lease.
    RelayActing,
    /// The relay at `address` accepted this daemon's link; `token` is the
    /// fencing token of the relay's lease.
    RelayJoined { address: String, token: u64 },
    /// The link to the relay at `address` was lost.
    RelayLost { address: String },
}

impl fmt::Display for StateChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateChange::Applied { from, to, bytes } => {
                write!(formatter, "event=applied from={from} to={to} bytes={bytes}")
            }
            StateChange::Staged { number, services } => {
                let services = services.join(",");
                write!(
                    formatter,
                    "event=staged version={number} without_targets={services}"
                )
            }
            StateChange::Rejected { number, reason } => {
                write!(
                    formatter,
                    "event=rejected version={number} reason={reason:?}"
                )
            }
            StateChange::CurrentUnusable { number } => {
                write!(formatter, "event=current_unusable version={number}")
            }
            StateChange::PlatformLost { serving } => {
                write!(formatter, "event=platform_lost serving={serving}")
            }
            StateChange::PlatformBack => write!(formatter, "event=platform_back"),
            StateChange::TargetJoined { service, address } => {
                write!(
                    formatter,
                    "event=target_joined service={} address={address}",
                    shortened(service)
                )
            }
            StateChange::TargetLeaving { service, address } => {
                write!(
                    formatter,
                    "event=target_leaving service={} address={address}",
                    shortened(service)
                )
            }
            StateChange::LeaseTaken { token } => {
                write!(formatter, "event=lease_taken token={token}")
            }
            StateChange::LeaseLost { token } => {
                write!(formatter, "event=lease_lost token={token}")
            }
            StateChange::RelayActing => write!(formatter, "event=relay_acting"),
            StateChange::RelayJoined { address, token } => {
                write!(
                    formatter,
                    "event=relay_joined address={address} token={token}"
                )
            }
            StateChange::RelayLost { address } => {
                write!(formatter, "event=relay_lost address={address}")
            }
        }
    }
}
