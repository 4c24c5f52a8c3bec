//! What a daemon remembers of the target on another host.
//!
//! The daemon beside a target forgets what the target has stated when it is restarted.
//! The daemons that forwarded the target's answers remember it, keep to it themselves
//! and remind that daemon.

use std::time::Instant;

use crate::instance::InstanceKey;
use crate::target_limit::CallRate;

/// Maximum number of leaving instances remembered for a host, whose instances are
/// seldom replaced.
const MAX_LEAVING_INSTANCES: usize = 8;
/// Maximum number of instances for which reported limits are kept.
const MAX_REPORTED_LIMITS: usize = 8;

/// What one daemon has heard of the instances of the target on another host.
#[derive(Clone, Debug, Default)]
pub struct TargetMemory {
    /// Leaving instances and the time at which each was first heard to leave, newest
    /// last.
    leaving: Vec<(InstanceKey, Instant)>,
    /// The instance heard of last, if it had a limit on the rate of calls.
    limit: Option<(InstanceKey, CallRate)>,
}

impl TargetMemory {
    /// Records that `instance` is leaving, unless that is known.
    pub fn record_leaving(&mut self, instance: &InstanceKey, now: Instant) {
        if self.leaving_since(instance).is_some() {
            return;
        }
        if self.leaving.len() >= MAX_LEAVING_INSTANCES {
            self.leaving.remove(0);
        }
        self.leaving.push((instance.clone(), now));
    }

    /// Time at which `instance` was first heard to leave; `None` if it was not.
    #[must_use]
    pub fn leaving_since(&self, instance: &InstanceKey) -> Option<Instant> {
        let mut known = self.leaving.iter();
        known
            .find(|(key, _)| key == instance)
            .map(|(_, since)| *since)
    }

    /// The leaving instances, newest last.
    #[must_use]
    pub fn leaving_instances(&self) -> Vec<InstanceKey> {
        self.leaving.iter().map(|(key, _)| key.clone()).collect()
    }

    /// Records the limit of `instance`; `None` if it has none.
    pub fn record_limit(&mut self, instance: &InstanceKey, rate: Option<CallRate>) {
        match (&mut self.limit, rate) {
            (Some((known, known_rate)), Some(rate)) if known == instance => *known_rate = rate,
            (_, rate) => self.limit = rate.map(|rate| (instance.clone(), rate)),
        }
    }

    /// The instance heard of last and its limit, if it had one.
    #[must_use]
    pub fn limit(&self) -> Option<(InstanceKey, CallRate)> {
        self.limit.clone()
    }
}

/// Limits of the local target's instances, as other daemons have reported them since this
/// daemon started.
#[derive(Clone, Debug, Default)]
pub struct ReportedLimits {
    /// The lowest limit reported of each instance, newest instance last.
    limits: Vec<(InstanceKey, CallRate)>,
}

impl ReportedLimits {
    /// Records that a daemon remembers `rate` as the limit of `instance`. Some daemons may
    /// remember an instance that was replaced.
    pub fn record(&mut self, instance: &InstanceKey, rate: CallRate) {
        if let Some((_, lowest)) = self.limits.iter_mut().find(|(key, _)| key == instance) {
            if rate < *lowest {
                *lowest = rate;
            }
            return;
        }
        if self.limits.len() >= MAX_REPORTED_LIMITS {
            self.limits.remove(0);
        }
        self.limits.push((instance.clone(), rate));
    }

    /// The lowest limit reported of `instance`; `None` if there was none.
    #[must_use]
    pub fn of(&self, instance: &InstanceKey) -> Option<CallRate> {
        let mut limits = self.limits.iter();
        limits
            .find(|(key, _)| key == instance)
            .map(|(_, rate)| *rate)
    }
}
