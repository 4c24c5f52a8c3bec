//! Settings file of the mesh daemon (TOML).

pub mod changes;
mod machine;
pub mod reload;
pub mod store_move;

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use filbert_platform::operator::parse_duration;
use filbert_policy::budget::RetryBudgetLimits;
use filbert_policy::membership::DEFAULT_LINKED_SERVICES;
use filbert_policy::organisations::quota::QuotaPolicy;
use filbert_policy::placement::CrossZoneCost;
use filbert_tree::ParseError;
use serde::{Deserialize, Deserializer};

use crate::codec::names::{is_name, is_name_or_empty, NAME_RULE};

pub use machine::MachineSettings;

/// Contents of the daemon's settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    /// Name of the host, unique among all hosts.
    pub id: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Service of the target on this host.
    pub service: String,
    /// Address at which the target on this host listens.
    pub target: SocketAddr,
    /// Address of the platform's store, `IP:PORT`.
    pub store: String,
    /// Whether the whole fleet starts for the first time: the store has no hosts yet, and
    /// there are no calls.
    #[serde(default)]
    pub first_start: bool,
    /// All availability zones of the fleet, if they are known in advance.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Addresses at which the daemon listens.
    pub listen: ListenSettings,
    /// Intervals and time limits that the operators of the platform set.
    pub times: TimeSettings,
    /// Retry budget, shared by all daemons.
    pub retry: RetrySettings,
    /// Limits on the calls that a bad version may get in a roll-out.
    #[serde(default)]
    pub rollout: RolloutSettings,
    /// How the rate limits of organisations are interpreted.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// Guarantee for withdrawn API keys. Without it, each host refuses a withdrawn key as
    /// soon as it learns of the withdrawal.
    pub withdrawal: Option<WithdrawalSettings>,
    /// Cost of sending a call to another availability zone.
    #[serde(default)]
    pub crossing: CrossingSettings,
    /// Network link of the host, and links to other daemons.
    #[serde(default)]
    pub link: LinkSettings,
    /// Size of the host, from which the limits on clients follow.
    #[serde(default)]
    pub machine: MachineSettings,
}

/// Limits on the calls that a bad version may get in a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Share of a service's calls, between the order and its deadline, that a bad version
    /// may get; 0 to 1.
    pub share: f64,
    /// Number of calls that a bad version may get beyond that share.
    pub slack: f64,
}

/// How the rate limits of organisations are interpreted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSettings {
    /// Number of calls by which an organisation may exceed its burst without harm.
    pub slack: f64,
    /// Length of the windows to which limits apply: the calls in any window may reach the
    /// limit's rate times the window, plus its burst. Without it, a burst is not available
    /// again in every window.
    #[serde(deserialize_with = "some_time")]
    pub window: Option<Duration>,
}

/// Guarantee for withdrawn API keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawalSettings {
    /// Longest time from the store's confirmation of a withdrawal until the last call with
    /// the key, on any host.
    #[serde(deserialize_with = "time")]
    pub within: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        RolloutSettings {
            share: 0.1,
            slack: 50.0,
        }
    }
}

/// Network link of the host, and links to other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Rate of the host's network link in Mbit/s; 0 for no limit.
    pub mbps: f64,
    /// Number of services to whose targets the daemon keeps links. If the fleet has more,
    /// these are the services that were called recently.
    pub services: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            mbps: 0.0,
            services: DEFAULT_LINKED_SERVICES,
        }
    }
}

/// Addresses at which the daemon listens.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for calls of clients and of the target on this host.
    pub calls: SocketAddr,
    /// Address for links of other daemons.
    pub peers: SocketAddr,
    /// Address at which other daemons reach `peers`, if it differs from `peers`.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for reports of the target on this host.
    pub control: SocketAddr,
    /// Address at which metrics are served; without it, they are not.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Intervals and time limits that the operators of the platform set.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeSettings {
    /// Time between two reports of a target.
    #[serde(deserialize_with = "time")]
    pub report_every: Duration,
    /// Time from a target's announcement that it leaves until its last call.
    #[serde(deserialize_with = "time")]
    pub drain: Duration,
    /// Time from the order to stop until the platform kills the process.
    #[serde(deserialize_with = "time")]
    pub grace: Duration,
}

/// Retry budget, shared by all daemons.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries per call in any window.
    pub ratio: f64,
    /// Additional retries per window and service.
    pub slack: f64,
    /// Length of the window in which calls and retries are counted.
    #[serde(deserialize_with = "time")]
    pub window: Duration,
}

/// Cost of sending a call to another availability zone, as a fraction of the value of a
/// call that is answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CrossingSettings {
    /// Cost of any call, whatever its size.
    pub base: f64,
    /// Cost of each KiB transferred.
    pub per_kib: f64,
    /// Upper limit of the cost.
    pub most: f64,
}

impl Default for CrossingSettings {
    /// Traffic between zones is billed by the byte. With these costs, a large answer is
    /// fetched within the zone even if it is late, a small one in time from any zone.
    fn default() -> Self {
        CrossingSettings {
            base: 0.25,
            per_kib: 0.2,
            most: 0.9,
        }
    }
}

/// Why the settings file cannot be used.
#[derive(Debug)]
pub enum MeshSettingsError {
    /// The file could not be read.
    Unreadable,
    /// The file is not valid TOML, or has unknown, missing or wrong keys.
    Invalid(ParseError),
    /// A value is out of its range.
    OutOfRange {
        /// Key of the value, such as `retry.ratio`.
        key: &'static str,
        /// Line of the key, counted from 1, if it is in the file.
        line: Option<usize>,
        /// Range of valid values, as a phrase such as `must be above 0`.
        reason: &'static str,
    },
}

impl fmt::Display for MeshSettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MeshSettingsError::Unreadable => formatter.write_str("settings file unreadable"),
            MeshSettingsError::Invalid(error) => {
                write!(formatter, "settings file invalid: {error}")
            }
            MeshSettingsError::OutOfRange {
                key,
                line: Some(line),
                reason,
            } => write!(formatter, "line {line}, key `{key}`: {reason}"),
            MeshSettingsError::OutOfRange { key, reason, .. } => {
                write!(formatter, "key `{key}`: {reason}")
            }
        }
    }
}

impl std::error::Error for MeshSettingsError {}

fn time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_duration(&text).ok_or_else(|| {
        serde::de::Error::custom(format!("`{text}` is no time such as 1500ms or 2s"))
    })
}

fn some_time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
    time(deserializer).map(Some)
}

/// Returns the line of the dotted `key` in the TOML `text`, counted from 1.
fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let (table, name) = key.rsplit_once('.').unwrap_or(("", key));
    let mut current_table = "";
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(header) = line.strip_prefix('[') {
            current_table = header.split(']').next().unwrap_or_default().trim();
        }
        let name_on_line = line.split('=').next().unwrap_or_default().trim();
        if current_table == table && name_on_line == name {
            return Some(index + 1);
        }
    }
    None
}

impl MeshSettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// [`MeshSettingsError`] with the path of the file attached, and with the line and key
    /// if they are known.
    pub fn load(path: &Path) -> Result<MeshSettings, Report<MeshSettingsError>> {
        let text = std::fs::read_to_string(path)
            .change_context(MeshSettingsError::Unreadable)
            .attach(format!("file {}", path.display()))?;
        Self::parse(&text).attach(format!("file {}", path.display()))
    }

    /// Parses and checks settings text.
    ///
    /// # Errors
    /// [`MeshSettingsError`] with the line and key if they are known.
    pub fn parse(text: &str) -> Result<MeshSettings, Report<MeshSettingsError>> {
        let settings: MeshSettings = toml::from_str(text).map_err(|error| {
            let error = ParseError::from_toml(text, &error);
            Report::new(MeshSettingsError::Invalid(error))
        })?;
        settings.check(text)?;
        Ok(settings)
    }

    /// Checks that all values, which were read from `text`, are in range.
    fn check(&self, text: &str) -> Result<(), Report<MeshSettingsError>> {
        let checks = [
            ("id", !is_name(&self.id), NAME_RULE),
            ("zone", !is_name(&self.zone), NAME_RULE),
            ("service", !is_name_or_empty(&self.service), NAME_RULE),
            (
                "retry.ratio",
                !(0.0..=1.0).contains(&self.retry.ratio),
                "must be in 0..=1",
            ),
            (
                "retry.window",
                self.retry.window.is_zero(),
                "must be above 0",
            ),
            (
                "link.mbps",
                !(self.link.mbps >= 0.0 && self.link.mbps.is_finite()),
                "must not be negative",
            ),
            (
                "rollout.share",
                !(0.0..=1.0).contains(&self.rollout.share),
                "must be in 0..=1",
            ),
            (
                "rollout.slack",
                !(self.rollout.slack >= 0.0 && self.rollout.slack.is_finite()),
                "must not be negative",
            ),
            (
                "quota.slack",
                !(self.quota.slack >= 0.0 && self.quota.slack.is_finite()),
                "must not be negative",
            ),
            (
                "quota.window",
                self.quota.window.is_some_and(|window| window.is_zero()),
                "must be above 0",
            ),
            (
                "withdrawal.within",
                self.withdrawal
                    .is_some_and(|withdrawal| withdrawal.within.is_zero()),
                "must be above 0",
            ),
            ("link.services", self.link.services == 0, "must be above 0"),
            ("times.grace", self.times.grace.is_zero(), "must be above 0"),
            (
                "machine.memory_mb",
                !self.machine.has_enough_memory(),
                "must be at least 32",
            ),
            (
                "machine.descriptors",
                !self.machine.has_enough_descriptors(),
                "must be at least 64",
            ),
        ];
        match checks.into_iter().find(|(_, failed, _)| *failed) {
            Some((key, _, reason)) => Err(Report::new(MeshSettingsError::OutOfRange {
                key,
                line: line_of_key(text, key),
                reason,
            })),
            None => Ok(()),
        }
    }

    /// Returns the limits of the retry budget.
    #[must_use]
    pub fn retry_budget_limits(&self) -> RetryBudgetLimits {
        RetryBudgetLimits {
            ratio: self.retry.ratio,
            slack: self.retry.slack,
            window: self.retry.window,
        }
    }

    /// Returns how the rate limits of organisations are interpreted.
    #[must_use]
    pub fn quota_policy(&self) -> QuotaPolicy {
        QuotaPolicy {
            window: self.quota.window,
            slack: self.quota.slack,
        }
    }

    /// Returns the cost that placement assigns to calls to another availability zone.
    #[must_use]
    pub fn cross_zone_cost(&self) -> CrossZoneCost {
        CrossZoneCost {
            base: self.crossing.base,
            per_kib: self.crossing.per_kib,
            most: self.crossing.most,
        }
    }
}
