//! Per-branch settings: what a branch may override, and the resolved values a
//! route runs with once every ancestor has been applied.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings a branch may set; `None` inherits the parent's value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BranchSettings {
    /// Time a proxied call may take, in milliseconds (1..=60000).
    pub timeout_ms: Option<u64>,
    /// Extra attempts on another target when a call was certainly not run (0..=5).
    pub retries: Option<u32>,
    /// Calls one target may hold at once (1..=1000); the brief's servers have 9.
    pub slots_per_target: Option<u32>,
    /// Marks calls that must run at most once (order placement, berth confirmation).
    pub at_most_once: Option<bool>,
}

/// The names of the settings keys, as operators type them.
pub const SETTING_KEYS: [&str; 4] = ["timeout_ms", "retries", "slots_per_target", "at_most_once"];

impl BranchSettings {
    /// Returns `self` with every unset field taken from `parent`.
    #[must_use]
    pub fn inherit(&self, parent: &BranchSettings) -> BranchSettings {
        BranchSettings {
            timeout_ms: self.timeout_ms.or(parent.timeout_ms),
            retries: self.retries.or(parent.retries),
            slots_per_target: self.slots_per_target.or(parent.slots_per_target),
            at_most_once: self.at_most_once.or(parent.at_most_once),
        }
    }

    /// The set fields as `(key, value)` text pairs, in key order.
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

/// The values a route runs with after inheritance, with defaults for what no
/// branch set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSettings {
    /// Time a proxied call may take.
    pub timeout: Duration,
    /// Extra attempts on another target when a call was certainly not run.
    pub retries: u32,
    /// Calls one target may hold at once.
    pub slots_per_target: u32,
    /// Whether calls on the route must run at most once.
    pub at_most_once: bool,
}

impl RouteSettings {
    /// Default call timeout when no branch sets one.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
    /// Default retries when no branch sets them.
    pub const DEFAULT_RETRIES: u32 = 1;
    /// Default slots per target: the brief's servers have about 9.
    pub const DEFAULT_SLOTS: u32 = 9;

    /// Resolves fully inherited branch settings into the values in force.
    #[must_use]
    pub fn from_branch(settings: &BranchSettings) -> RouteSettings {
        RouteSettings {
            timeout: settings
                .timeout_ms
                .map_or(Self::DEFAULT_TIMEOUT, Duration::from_millis),
            retries: settings.retries.unwrap_or(Self::DEFAULT_RETRIES),
            slots_per_target: settings.slots_per_target.unwrap_or(Self::DEFAULT_SLOTS),
            at_most_once: settings.at_most_once.unwrap_or(false),
        }
    }
}
