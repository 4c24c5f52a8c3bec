//! Fixed inputs of the reducer.

use std::time::Duration;

use crate::settings::{DaemonSettings, DistributionMode};

/// Fixed inputs of the reducer, from the daemon's settings.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The daemon's id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Where its own relay port is, `host:port`.
    pub address: String,
    /// This process's start, unique among the daemon's restarts; also seeds
    /// the jitter.
    pub incarnation: u64,
    /// How versions and targets reach this daemon.
    pub mode: DistributionMode,
    /// How often the version in force is read, by a relay or in direct mode.
    pub poll_interval: Duration,
    /// A target not heard from for this long is dropped.
    pub target_expiry: Duration,
    /// How often rows written in direct mode are refreshed.
    pub refresh: Duration,
    /// How long a lease lasts without renewal.
    pub lease_time: Duration,
    /// Platform reads per second all daemons of a zone may make together
    /// while they have no relay.
    pub zone_reads_per_second: u32,
    /// Daemons assumed in the zone until a relay says how many there are.
    pub zone_size_hint: u32,
    /// How long a version may wait for its services' targets.
    pub stage_limit: Duration,
}

impl ControlSettings {
    /// Default settings for daemon `id` of `zone`, reachable at `address`.
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
            refresh: Duration::from_secs(1),
            lease_time: Duration::from_secs(3),
            zone_reads_per_second: 50,
            zone_size_hint: 32,
            stage_limit: Duration::from_secs(2),
        }
    }

    /// The reducer's inputs for a daemon started with `settings`.
    #[must_use]
    pub fn from_daemon(settings: &DaemonSettings, incarnation: u64) -> ControlSettings {
        let address = settings.relay_advertise.unwrap_or(settings.relay_listen);
        ControlSettings {
            incarnation,
            mode: settings.distribution,
            poll_interval: settings.timeouts.poll_interval(),
            target_expiry: settings.timeouts.target_expiry(),
            lease_time: settings.relay.lease_duration(),
            zone_reads_per_second: settings.relay.zone_reads_per_second,
            zone_size_hint: settings.relay.zone_size_hint,
            stage_limit: settings.timeouts.staging_timeout(),
            ..ControlSettings::new(&settings.id, &settings.zone, &address.to_string())
        }
    }

    /// Sets the distribution mode.
    #[must_use]
    pub fn mode(mut self, mode: DistributionMode) -> ControlSettings {
        self.mode = mode;
        self
    }

    /// Sets the incarnation.
    #[must_use]
    pub fn incarnation(mut self, incarnation: u64) -> ControlSettings {
        self.incarnation = incarnation;
        self
    }
}
