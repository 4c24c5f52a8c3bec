//! Settings file of the daemon (TOML): its identity, the addresses at which it listens,
//! the platform's URL, timeouts, and the zone's relay.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use filbert_tree::ParseError;
use serde::{Deserialize, Serialize};

/// Contents of the daemon's settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Id of the daemon, unique in its zone.
    pub id: String,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Address at which the proxy listens for calls.
    pub proxy_listen: SocketAddr,
    /// Address of the admin port, on which targets announce themselves and operators read
    /// the status and counters.
    pub admin_listen: SocketAddr,
    /// Address of the relay port, to which the zone's other daemons connect while this
    /// daemon is the relay.
    pub relay_listen: SocketAddr,
    /// Address at which other daemons reach the relay port, if it differs from
    /// `relay_listen`.
    #[serde(default)]
    pub relay_advertise: Option<SocketAddr>,
    /// Base URL of the platform's table and object store.
    pub platform: String,
    /// How the daemon gets versions and targets.
    #[serde(default)]
    pub distribution: DistributionMode,
    /// Timeouts and intervals.
    #[serde(default)]
    pub timeouts: DaemonTimeouts,
    /// Lease and links of the zone's relay, and platform reads without one.
    #[serde(default)]
    pub relay: RelaySettings,
}

/// How a daemon gets versions and targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DistributionMode {
    /// From the zone's relay, which is the only daemon of the zone that reads the platform.
    #[default]
    Relay,
    /// Directly from the platform, without a relay.
    Direct,
}

/// Lease and links of the zone's relay, and platform reads without one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RelaySettings {
    /// Time until a lease expires if it is not renewed, in milliseconds.
    pub lease_ms: u64,
    /// Pause between two PINGs on a link, in milliseconds.
    pub ping_ms: u64,
    /// Time without a response to a PING after which the link is closed, in milliseconds.
    pub silence_ms: u64,
    /// Maximum number of platform reads per second that all daemons of a zone make
    /// together while they have no relay.
    pub zone_reads_per_second: u32,
    /// Number of daemons that a zone is assumed to have until a relay sends the number.
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
    /// Returns the time until a lease expires if it is not renewed.
    #[must_use]
    pub fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the pause between two PINGs on a link.
    #[must_use]
    pub fn ping_interval(&self) -> Duration {
        Duration::from_millis(self.ping_ms)
    }

    /// Returns the time without a response to a PING after which a link is closed.
    #[must_use]
    pub fn ping_timeout(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }
}

/// Timeouts and intervals, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DaemonTimeouts {
    /// Interval at which the number of the current version is read from the platform.
    pub poll_ms: u64,
    /// Timeout of one call to the platform.
    pub platform_ms: u64,
    /// Time without an announcement after which a target gets no more calls.
    pub target_expiry_ms: u64,
    /// Maximum time that a new version waits for targets of the services that it starts
    /// to use.
    pub stage_ms: u64,
    /// Maximum time that a graceful shutdown waits for calls in progress.
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
    /// Returns the interval at which the current version's number is read.
    #[must_use]
    pub fn poll_interval(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    /// Returns the timeout of one call to the platform.
    #[must_use]
    pub fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.platform_ms)
    }

    /// Returns the maximum time that a new version waits for targets.
    #[must_use]
    pub fn staging_timeout(&self) -> Duration {
        Duration::from_millis(self.stage_ms)
    }

    /// Returns the time without an announcement after which a target gets no more calls.
    #[must_use]
    pub fn target_expiry(&self) -> Duration {
        Duration::from_millis(self.target_expiry_ms)
    }
}

/// Minimum duration of a lease, in milliseconds. A shorter lease could expire during a
/// slow call to the platform.
const MIN_LEASE_MS: u64 = 500;

/// Why the settings file was rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable,
    /// The text is not valid TOML, or a key is unknown, missing or of the wrong type.
    Invalid(ParseError),
    /// The value of `key` is not allowed, for `reason`.
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
    /// Reads, parses and validates the settings file at `path`.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] with the file's path, and the line and key if known.
    pub fn load(path: &Path) -> Result<DaemonSettings, Report<SettingsError>> {
        let text = std::fs::read_to_string(path)
            .change_context(SettingsError::Unreadable)
            .attach(format!("file {}", path.display()))?;
        Self::parse(&text).attach(format!("file {}", path.display()))
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] with the line and key if known.
    pub fn parse(text: &str) -> Result<DaemonSettings, Report<SettingsError>> {
        let settings: DaemonSettings = toml::from_str(text).map_err(|error| {
            Report::new(SettingsError::Invalid(ParseError::from_toml(text, &error)))
        })?;
        settings.validate()?;
        Ok(settings)
    }

    /// Returns an error for the first value that is not allowed.
    fn validate(&self) -> Result<(), Report<SettingsError>> {
        let rules: [(&'static str, bool, &'static str); 7] = [
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
        match rules.into_iter().find(|(_, violated, _)| *violated) {
            Some((key, _, reason)) => Err(Report::new(SettingsError::OutOfRange { key, reason })),
            None => Ok(()),
        }
    }
}
