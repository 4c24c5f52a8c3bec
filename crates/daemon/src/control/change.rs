//! Changes of the daemon's state that are worth a log line.

use std::fmt;

/// A change of state worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A version was put in force; `bytes` is its size on the wire.
    Applied { from: u64, to: u64, bytes: usize },
    /// A version waits until its services have known targets.
    Staged { number: u64, services: Vec<String> },
    /// A version was refused whole; the previous one stays in force.
    Rejected { number: u64, reason: String },
    /// The platform stopped answering; the last applied version stays in force.
    PlatformLost { serving: u64 },
    /// The platform answers again.
    PlatformBack,
    /// A target on this host joined.
    TargetJoined { service: String, address: String },
    /// A target on this host is leaving.
    TargetLeaving { service: String, address: String },
    /// This daemon took the zone's lease.
    LeaseTaken { token: u64 },
    /// This daemon's lease lapsed or was taken over.
    LeaseLost { token: u64 },
    /// This daemon relays without a lease, because its relay is lost.
    RelayActing,
    /// This daemon is linked to the zone's relay.
    RelayJoined { address: String, token: u64 },
    /// The link to the relay was lost.
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
            StateChange::PlatformLost { serving } => {
                write!(formatter, "event=platform_lost serving={serving}")
            }
            StateChange::PlatformBack => write!(formatter, "event=platform_back"),
            StateChange::TargetJoined { service, address } => {
                write!(
                    formatter,
                    "event=target_joined service={service} address={address}"
                )
            }
            StateChange::TargetLeaving { service, address } => {
                write!(
                    formatter,
                    "event=target_leaving service={service} address={address}"
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
