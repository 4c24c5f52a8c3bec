//! Which software versions of a service may take a call, as its roll-out says.

use filbert_policy::rollout::record::{RolloutStage, VersionPreference};

use super::{RolloutEntry, RolloutTable};

/// The versions that one call may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPreference {
    /// Preference between the new version and the others.
    pub version_preference: VersionPreference,
    /// The new version.
    pub to: String,
}

impl RolloutTable {
    /// Returns the versions that the call `id` to `service` may go to; `None` if no
    /// roll-out of the service is known.
    #[must_use]
    pub fn version_preference(&self, service: &str, id: &str) -> Option<CallPreference> {
        if !self.has_any.get() {
            return None;
        }
        let entries = self.entries.borrow();
        let entry = entries.get(service)?;
        Some(CallPreference {
            version_preference: entry
                .record
                .version_preference(id, entry.is_fresh(self.clock.now())),
            to: entry.record.to.clone(),
        })
    }

    /// Whether the roll-out of `service`, if any, lets a target on `host` that runs
    /// version `software` take calls.
    #[must_use]
    pub fn admits(&self, service: &str, software: &str, host: &str) -> bool {
        if !self.has_any.get() {
            return true;
        }
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(service) else {
            return true;
        };
        let record = &entry.record;
        let is_on_trial =
            software == record.to && matches!(record.stage, RolloutStage::Trial { .. });
        let is_excluded = is_on_trial
            && !record.canaries.is_empty()
            && !record.canaries.iter().any(|canary| canary == host);
        !is_excluded && record.admits(software, entry.is_fresh(self.clock.now()))
    }

    /// Whether `software` is on trial in a live roll-out of `service`.
    #[must_use]
    pub fn is_on_trial(&self, service: &str, software: &str) -> bool {
        if !self.has_any.get() {
            return false;
        }
        let entries = self.entries.borrow();
        let entry = entries.get(service);
        entry.is_some_and(|entry| entry.is_live() && entry.record.to == software)
    }

    /// Whether `service` has a live roll-out, during which its runs are counted.
    #[must_use]
    pub fn has_live_rollout(&self, service: &str) -> bool {
        self.has_any.get()
            && self
                .entries
                .borrow()
                .get(service)
                .is_some_and(RolloutEntry::is_live)
    }
}
