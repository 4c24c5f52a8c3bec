//! Metrics of settings that have changed and are not in force.

use opentelemetry::metrics::{Gauge, Meter};

/// Gauges of settings that have changed and are not in force.
pub struct SettingsGauges {
    unfollowed_keys: Gauge<u64>,
    unfollowed_store: Gauge<u64>,
}

impl SettingsGauges {
    /// Creates the gauges.
    #[must_use]
    pub fn new(meter: &Meter) -> SettingsGauges {
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        SettingsGauges {
            unfollowed_keys: gauge(
                "filbert.settings.unfollowed_keys",
                "Changed settings that take a restart",
            ),
            unfollowed_store: gauge(
                "filbert.settings.unfollowed_store",
                "1 while the store does not answer at the address that the settings name",
            ),
        }
    }

    /// Sets the number of changed settings that take a restart.
    pub fn set_unfollowed_keys(&self, count: usize) {
        self.unfollowed_keys
            .record(u64::try_from(count).unwrap_or(u64::MAX), &[]);
    }

    /// Sets whether the settings name an address of the store that is not in force.
    pub fn set_unfollowed_store(&self, is_pending: bool) {
        self.unfollowed_store.record(u64::from(is_pending), &[]);
    }
}
