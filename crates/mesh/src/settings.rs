//! The settings file of the daemon on the users' platform (TOML).

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

/// Everything the daemon reads from its settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    /// The host's name, unique among all hosts.
    pub id: String,
    /// The availability zone it is in.
    pub zone: String,
    /// The service of the target beside the daemon.
    pub service: String,
    /// Where that target listens.
    pub target: SocketAddr,
    /// The platform's store, `IP:PORT`.
    pub store: String,
    /// Whether the whole fleet starts for the first time: the store holds no
    /// hosts yet, and nobody calls.
    #[serde(default)]
    pub first_start: bool,
    /// Every availability zone of the fleet, where that is known ahead.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Where the daemon listens.
    pub listen: ListenSettings,
    /// Times that the users set.
    pub times: TimeSettings,
    /// The retry budget of all daemons together.
    pub retry: RetrySettings,
    /// What a roll-out may risk.
    #[serde(default)]
    pub rollout: RolloutSettings,
    /// What organisations may run.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// How soon a withdrawn key is refused everywhere; without it, as soon as a
    /// host hears of it.
    pub withdrawal: Option<WithdrawalSettings>,
    /// What it costs to leave the availability zone.
    #[serde(default)]
    pub crossing: CrossingSettings,
    /// The host's link.
    #[serde(default)]
    pub link: LinkSettings,
}

/// What a roll-out may risk.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Share of a service's calls, from the order to its deadline, that a bad
    /// version may get; 0 to 1.
    pub share: f64,
    /// Calls that it may get beyond that.
    pub slack: f64,
}

/// What organisations may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSettings {
    /// Calls of an organisation beyond its burst that do no harm.
    pub slack: f64,
    /// Any window of this length may hold a limit's rate and its burst; without it
    /// a burst is used up once.
    #[serde(deserialize_with = "some_time")]
    pub window: Option<Duration>,
}

/// How soon a withdrawn key is refused everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawalSettings {
    /// Time from the store's word that the withdrawal is accepted to the last call
    /// with the key, on any host.
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

/// The host's link.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Its rate in Mbit/s; 0 when it is no limit.
    pub mbps: f64,
    /// Services to whose targets links are kept; with more in the fleet, those
    /// called of late.
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

/// Where the daemon listens.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Calls of the clients and the target on this host.
    pub calls: SocketAddr,
    /// Links of other daemons.
    pub peers: SocketAddr,
    /// Where other daemons reach `peers`, if not at its own address.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Reports of the target beside the daemon.
    pub control: SocketAddr,
    /// Scrapes of the metrics; none are served without it.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Times that the users set.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeSettings {
    /// Between two reports of a target.
    #[serde(deserialize_with = "time")]
    pub report_every: Duration,
    /// From a target's announced leaving to its last call.
    #[serde(deserialize_with = "time")]
    pub drain: Duration,
    /// From the order to stop to the process's end by force.
    #[serde(deserialize_with = "time")]
    pub grace: Duration,
}

/// The retry budget of all daemons together.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeated arrivals per call in any window.
    pub ratio: f64,
    /// Repeated arrivals per window and service on top.
    pub slack: f64,
    /// The window.
    #[serde(deserialize_with = "time")]
    pub window: Duration,
}

/// What it costs to leave the availability zone, as parts of what a call
/// answered in time is worth.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CrossingSettings {
    /// For any call.
    pub base: f64,
    /// For each KiB of its answer.
    pub per_kib: f64,
    /// At most.
    pub most: f64,
}

impl Default for CrossingSettings {
    /// Links between zones are billed by the byte: a large answer is better
    /// had late from the own zone, a small one soon from any.
    fn default() -> Self {
        CrossingSettings {
            base: 0.25,
            per_kib: 0.2,
            most: 0.9,
        }
    }
}

/// The settings file could not be used.
#[derive(Debug)]
pub enum MeshSettingsError {
    /// It could not be read.
    Unreadable,
    /// It is not valid TOML for these settings.
    Invalid(ParseError),
    /// A value is out of range.
    OutOfRange {
        /// The key.
        key: &'static str,
        /// What is expected.
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
            MeshSettingsError::OutOfRange { key, reason } => {
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

impl MeshSettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// [`MeshSettingsError`] with the file, and the line and key where known.
    pub fn load(path: &Path) -> Result<MeshSettings, Report<MeshSettingsError>> {
        let text = std::fs::read_to_string(path)
            .change_context(MeshSettingsError::Unreadable)
            .attach(format!("file {}", path.display()))?;
        Self::parse(&text).attach(format!("file {}", path.display()))
    }

    /// Parses and checks settings text.
    ///
    /// # Errors
    /// [`MeshSettingsError`] with the line and key where known.
    pub fn parse(text: &str) -> Result<MeshSettings, Report<MeshSettingsError>> {
        let settings: MeshSettings = toml::from_str(text).map_err(|error| {
            let error = ParseError::from_toml(text, &error);
            Report::new(MeshSettingsError::Invalid(error))
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Report<MeshSettingsError>> {
        let checks = [
            ("id", self.id.is_empty(), "must not be empty"),
            ("zone", self.zone.is_empty(), "must not be empty"),
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
                self.withdrawal.is_some_and(|terms| terms.within.is_zero()),
                "must be above 0",
            ),
            ("link.services", self.link.services == 0, "must be above 0"),
            ("times.grace", self.times.grace.is_zero(), "must be above 0"),
        ];
        match checks.into_iter().find(|(_, failed, _)| *failed) {
            Some((key, _, reason)) => {
                Err(Report::new(MeshSettingsError::OutOfRange { key, reason }))
            }
            None => Ok(()),
        }
    }

    /// The terms of the retry budget.
    #[must_use]
    pub fn retry_budget_limits(&self) -> RetryBudgetLimits {
        RetryBudgetLimits {
            ratio: self.retry.ratio,
            slack: self.retry.slack,
            window: self.retry.window,
        }
    }

    /// How organisations' limits are meant.
    #[must_use]
    pub fn quota_policy(&self) -> QuotaPolicy {
        QuotaPolicy {
            window: self.quota.window,
            slack: self.quota.slack,
        }
    }

    /// What placement charges for leaving the zone.
    #[must_use]
    pub fn cross_zone_cost(&self) -> CrossZoneCost {
        CrossZoneCost {
            base: self.crossing.base,
            per_kib: self.crossing.per_kib,
            most: self.crossing.most,
        }
    }
}
