//! Targets that have announced their shutdown: how long they still accept calls, and
//! which of them a caller's daemon remembers.

use std::time::{Duration, Instant};

use crate::instance::InstanceKey;

/// Fraction of the drain time during which a leaving target still accepts calls.
/// In the rest the accepted calls finish; calls that still wait are declined.
const DRAIN_ACCEPT_FRACTION: f64 = 0.5;
/// Maximum number of leaving instances remembered for a host, whose instances are
/// seldom replaced.
const MAX_LEAVING_INSTANCES: usize = 8;

/// Returns whether a target that has been leaving since `since` still accepts calls.
#[must_use]
pub fn accepts_while_leaving(since: Instant, drain_time: Duration, now: Instant) -> bool {
    now < since + drain_time.mul_f64(DRAIN_ACCEPT_FRACTION)
}

/// The leaving instances of one host, as another daemon has heard of them.
///
/// The daemon beside the target can forget that the target leaves when it is restarted.
/// Each daemon that has forwarded such an answer remembers it for itself.
#[derive(Clone, Debug, Default)]
pub struct LeavingInstances {
    /// Instances and the time at which each was first heard to leave, newest last.
    instances: Vec<(InstanceKey, Instant)>,
}

impl LeavingInstances {
    /// Records that `instance` is leaving, unless that is known.
    pub fn record(&mut self, instance: &InstanceKey, now: Instant) {
        if self.since(instance).is_some() {
            return;
        }
        if self.instances.len() >= MAX_LEAVING_INSTANCES {
            self.instances.remove(0);
        }
        self.instances.push((instance.clone(), now));
    }

    /// Time at which `instance` was first heard to leave; `None` if it was not.
    #[must_use]
    pub fn since(&self, instance: &InstanceKey) -> Option<Instant> {
        let mut known = self.instances.iter();
        known
            .find(|(key, _)| key == instance)
            .map(|(_, since)| *since)
    }

    /// The leaving instances, newest last.
    #[must_use]
    pub fn keys(&self) -> Vec<InstanceKey> {
        self.instances.iter().map(|(key, _)| key.clone()).collect()
    }
}
