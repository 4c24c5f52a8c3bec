//! The configuration of the control reducer.

use std::time::Duration;

use crate::settings::{DaemonSettings, DistributionMode};

/// The configuration of [`ControlState`](super::ControlState), which stays the
/// same for the life of the process.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The daemon's id.
    pub id: String,
    /// The availability zone the daemon belongs to.
    pub zone: String,
    /// The `host:port` at which peers reach this daemon's relay listener.
    pub address: String,
    /// Identifies this run of the daemon, unique across its restarts. Also the
    /// seed of the random generator for jitter.
    pub incarnation: u64,
    /// Whether versions and targets come from the platform directly or through
    /// the zone's relay.
    pub mode: DistributionMode,
    /// Interval at which the `current` row is read by a relay, or by every
    /// daemon in direct mode.
    pub poll_interval: Duration,
    /// Time without an announcement after which a target is removed.
    pub target_expiry: Duration,
    /// Interval at which a daemon that publishes its own rows rewrites them.
    pub row_refresh_interval: Duration,
    /// How long a lease is valid after its last renewal.
    pub lease_duration: Duration,
    /// Limit on the platform reads per second of all daemons of the zone
    /// together, while no relay reads the platform for them.
    pub zone_reads_per_second: u32,
    /// Number of daemons assumed in the zone until a relay reports it.
    pub zone_size_hint: u32,
    /// Longest time a staged version waits for targets of its services before
    /// it is applied without them.
    pub staging_timeout: Duration,
}

impl ControlSettings {
    /// Returns the default settings for daemon `id` in `zone`, whose relay
    /// listener is reachable at `address`.
    #[must_use]
    pub fn new(id: &str, zone: &str, address: &str) -> ControlSettings {
        ControlSettings {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: address.to_owned(),
            incarnation: 1,
            mode: DistributionMode::Relay,
            poll_interval: Duration::from_millis(200),
            target_expiry: Duration::from_secs(3),
            row_refresh_interval: Duration::from_secs(1),
            lease_duration: Duration::from_secs(3),
            zone_reads_per_second: 50,
            zone_size_hint: 32,
            staging_timeout: Duration::from_secs(2),
        }
    }

    /// Derives the reducer's settings from the daemon's `settings`; those that
    /// the daemon's settings lack keep their defaults.
    #[must_use]
    pub fn from_daemon_settings(settings: &DaemonSettings, incarnation: u64) -> ControlSettings {
        let address = settings.relay_advertise.unwrap_or(settings.relay_listen);
        ControlSettings {
            incarnation,
            mode: settings.distribution,
            poll_interval: settings.timeouts.poll_interval(),
            target_expiry: settings.timeouts.target_expiry(),
            lease_duration: settings.relay.lease_duration(),
            zone_reads_per_second: settings.relay.zone_reads_per_second,
            zone_size_hint: settings.relay.zone_size_hint,
            staging_timeout: settings.timeouts.staging_timeout(),
            ..ControlSettings::new(&settings.id, &settings.zone, &address.to_string())
        }
    }

    #[must_use]
    pub fn mode(mut self, mode: DistributionMode) -> ControlSettings {
        self.mode = mode;
        self
    }

    #[must_use]
    pub fn incarnation(mut self, incarnation: u64) -> ControlSettings {
        self.incarnation = incarnation;
        self
    }
}
