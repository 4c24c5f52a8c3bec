//! The settings that a branch may override, and the resolved settings of a route.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The settings of a branch. A field that is `None` inherits the parent's value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BranchSettings {
    /// Time limit of a proxied call, in milliseconds (1..=60000).
    pub timeout_ms: Option<u64>,
    /// Maximum number of attempts after the first (0..=5). A call that may have
    /// run is attempted again only if running it twice is harmless.
    pub retries: Option<u32>,
    /// Maximum number of concurrent calls to one target (1..=1000). A typical
    /// target server handles 9.
    pub slots_per_target: Option<u32>,
    /// Whether a call must run at most once, such as one that places an order or
    /// confirms a berth.
    pub at_most_once: Option<bool>,
}

/// The keys of the settings, as operators write them.
pub const SETTING_KEYS: [&str; 4] = ["timeout_ms", "retries", "slots_per_target", "at_most_once"];

impl BranchSettings {
    /// Returns `self` with each unset field replaced by that of `parent`.
    #[must_use]
    pub fn inherit_from(&self, parent: &BranchSettings) -> BranchSettings {
        BranchSettings {
            timeout_ms: self.timeout_ms.or(parent.timeout_ms),
            retries: self.retries.or(parent.retries),
            slots_per_target: self.slots_per_target.or(parent.slots_per_target),
            at_most_once: self.at_most_once.or(parent.at_most_once),
        }
    }

    /// The key and the value, as text, of each field that is set, in the order of
    /// [`SETTING_KEYS`].
    #[must_use]
    pub fn key_values(&self) -> Vec<(&'static str, String)> {
        let mut key_values = Vec::new();
        if let Some(timeout) = self.timeout_ms {
            key_values.push(("timeout_ms", timeout.to_string()));
        }
        if let Some(retries) = self.retries {
            key_values.push(("retries", retries.to_string()));
        }
        if let Some(slots) = self.slots_per_target {
            key_values.push(("slots_per_target", slots.to_string()));
        }
        if let Some(once) = self.at_most_once {
            key_values.push(("at_most_once", once.to_string()));
        }
        key_values
    }
}

/// The resolved settings of a route: inherited values, and defaults where no
/// branch sets a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSettings {
    /// Time limit of a proxied call.
    pub timeout: Duration,
    /// Maximum number of attempts after the first.
    pub retries: u32,
    /// Maximum number of concurrent calls to one target.
    pub slots_per_target: u32,
    /// Whether a call on the route must run at most once.
    pub at_most_once: bool,
}

impl RouteSettings {
    /// Time limit of a call if no branch sets one.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
    /// Maximum number of attempts after the first if no branch sets one.
    pub const DEFAULT_RETRIES: u32 = 1;
    /// Maximum number of concurrent calls to one target if no branch sets one. A
    /// typical target server handles about 9.
    pub const DEFAULT_SLOTS_PER_TARGET: u32 = 9;

    /// Converts resolved branch settings, with defaults for unset fields.
    #[must_use]
    pub fn from_resolved(settings: &BranchSettings) -> RouteSettings {
        RouteSettings {
            timeout: settings
                .timeout_ms
                .map_or(Self::DEFAULT_TIMEOUT, Duration::from_millis),
            retries: settings.retries.unwrap_or(Self::DEFAULT_RETRIES),
            slots_per_target: settings
                .slots_per_target
                .unwrap_or(Self::DEFAULT_SLOTS_PER_TARGET),
            at_most_once: settings.at_most_once.unwrap_or(false),
        }
    }
}
