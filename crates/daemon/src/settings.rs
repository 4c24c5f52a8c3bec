//! The daemon's own settings file (TOML): who it is, where it listens, where
//! the platform is, and its timeouts.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use filbert_tree::ParseError;
use serde::{Deserialize, Serialize};

/// Everything the daemon reads from its settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The daemon's id, unique in its zone.
    pub id: String,
    /// The availability zone it serves.
    pub zone: String,
    /// Where callers reach the proxy.
    pub proxy_listen: SocketAddr,
    /// Where targets announce themselves and operators read status.
    pub admin_listen: SocketAddr,
    /// Where the zone's other daemons link to this one while it relays.
    pub relay_listen: SocketAddr,
    /// Where the others reach that port, when not at `relay_listen` itself.
    #[serde(default)]
    pub relay_advertise: Option<SocketAddr>,
    /// Base URL of the platform's table and object store.
    pub platform: String,
    /// How versions and targets reach this daemon.
    #[serde(default)]
    pub distribution: DistributionMode,
    /// Timeouts and intervals.
    #[serde(default)]
    pub timeouts: DaemonTimeouts,
    /// The zone relay.
    #[serde(default)]
    pub relay: RelaySettings,
}

/// How versions and targets reach a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DistributionMode {
    /// Through the zone's relay, which alone reads the platform.
    #[default]
    Relay,
    /// From the platform, each daemon for itself.
    Direct,
}

/// The zone relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RelaySettings {
    /// How long a lease lasts without renewal, in milliseconds.
    pub lease_ms: u64,
    /// How often a link is checked with a PING, in milliseconds.
    pub ping_ms: u64,
    /// A PING unanswered for this long ends the link, in milliseconds.
    pub silence_ms: u64,
    /// Platform reads per second a zone's daemons may make together while
    /// they have no relay.
    pub zone_reads_per_second: u32,
    /// Daemons assumed in the zone until a relay says how many there are.
    pub zone_size_hint: u32,
}

impl Default for RelaySettings {
    fn default() -> Self {
        RelaySettings {
            lease_ms: 3_000,
            ping_ms: 1_000,
            silence_ms: 2_000,
            zone_reads_per_second: 50,
            zone_size_hint: 32,
        }
    }
}

impl RelaySettings {
    /// The lease time.
    #[must_use]
    pub fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// The PING interval.
    #[must_use]
    pub fn ping(&self) -> Duration {
        Duration::from_millis(self.ping_ms)
    }

    /// The PING timeout.
    #[must_use]
    pub fn silence(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }
}

/// Timeouts and intervals, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DaemonTimeouts {
    /// How often the platform is asked for the version in force.
    pub poll_ms: u64,
    /// How long one platform call may take.
    pub platform_ms: u64,
    /// A target not heard from for this long is taken out of rotation.
    pub target_expiry_ms: u64,
    /// How long a new version may wait for targets of the services it starts to use.
    pub stage_ms: u64,
    /// How long a planned stop waits for calls in flight.
    pub shutdown_grace_ms: u64,
}

impl Default for DaemonTimeouts {
    fn default() -> Self {
        DaemonTimeouts {
            poll_ms: 200,
            platform_ms: 1_000,
            target_expiry_ms: 3_000,
            stage_ms: 2_000,
            shutdown_grace_ms: 5_000,
        }
    }
}

impl DaemonTimeouts {
    /// The poll interval.
    #[must_use]
    pub fn poll_interval(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    /// The platform call timeout.
    #[must_use]
    pub fn platform(&self) -> Duration {
        Duration::from_millis(self.platform_ms)
    }

    /// The stage limit.
    #[must_use]
    pub fn staging_timeout(&self) -> Duration {
        Duration::from_millis(self.stage_ms)
    }

    /// The target expiry.
    #[must_use]
    pub fn target_expiry(&self) -> Duration {
        Duration::from_millis(self.target_expiry_ms)
    }
}

/// Shortest lease: below it, a slow platform call outlasts the lease.
const MIN_LEASE_MS: u64 = 500;

/// The settings file could not be used.
#[derive(Debug)]
pub enum SettingsError {
    /// It could not be read.
    Unreadable,
    /// It is not valid TOML for these settings.
    Invalid(ParseError),
    /// A value is out of range.
    OutOfRange {
        key: &'static str,
        reason: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable => formatter.write_str("settings file unreadable"),
            SettingsError::Invalid(error) => write!(formatter, "{error}"),
            SettingsError::OutOfRange { key, reason } => write!(formatter, "key `{key}`: {reason}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl DaemonSettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// [`SettingsError`] naming the file, and the line and key where known.
    pub fn load(path: &Path) -> Result<DaemonSettings, Report<SettingsError>> {
        let text = std::fs::read_to_string(path)
            .change_context(SettingsError::Unreadable)
            .attach(format!("file {}", path.display()))?;
        Self::parse(&text).attach(format!("file {}", path.display()))
    }

    /// Parses and checks settings text.
    ///
    /// # Errors
    /// [`SettingsError`] with the line and key where known.
    pub fn parse(text: &str) -> Result<DaemonSettings, Report<SettingsError>> {
        let settings: DaemonSettings = toml::from_str(text).map_err(|error| {
            Report::new(SettingsError::Invalid(ParseError::from_toml(text, &error)))
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Report<SettingsError>> {
        let checks: [(&'static str, bool, &'static str); 7] = [
            ("id", self.id.is_empty(), "must not be empty"),
            ("zone", self.zone.is_empty(), "must not be empty"),
            (
                "platform",
                !self.platform.starts_with("http://"),
                "must be an http:// URL",
            ),
            (
                "timeouts.poll_ms",
                self.timeouts.poll_ms == 0,
                "must be above 0",
            ),
            (
                "relay.lease_ms",
                self.relay.lease_ms < MIN_LEASE_MS,
                "must be at least 500",
            ),
            ("relay.ping_ms", self.relay.ping_ms == 0, "must be above 0"),
            (
                "relay.zone_reads_per_second",
                self.relay.zone_reads_per_second == 0,
                "must be above 0",
            ),
        ];
        match checks.into_iter().find(|(_, failed, _)| *failed) {
            Some((key, _, reason)) => Err(Report::new(SettingsError::OutOfRange { key, reason })),
            None => Ok(()),
        }
    }
}
