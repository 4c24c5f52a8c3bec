//! Decides whether a daemon that knows no open target of a service may soon hear of one.
//!
//! Load pattern: a daemon is ready as soon as it knows hosts and a version, and gets calls
//! at once. Its links to the hosts come up some 10 to 300 ms later, and the targets on
//! hosts that have just been started report within their interval. A call that is refused
//! in that time could have been served; one to a service that has no target must not wait.

use std::time::{Duration, Instant};

/// What a daemon has heard of the target on a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetNews {
    /// Nothing: the link is not up yet, and no attempt to open it has failed.
    #[default]
    Awaited,
    /// The target has not reported to the daemon beside it, as heard first at this time.
    UnreportedSince(Instant),
    /// The target's status, or that its host cannot be reached.
    Heard,
}

impl TargetNews {
    /// What is known after word that the target has not reported at `now`.
    #[must_use]
    pub fn after_unreported(self, now: Instant) -> TargetNews {
        match self {
            TargetNews::Awaited => TargetNews::UnreportedSince(now),
            known => known,
        }
    }

    /// Whether word of an open target may come soon. A live target reports within
    /// `report_interval`.
    #[must_use]
    pub fn may_bring_target(self, report_interval: Duration, now: Instant) -> bool {
        match self {
            TargetNews::Awaited => true,
            TargetNews::UnreportedSince(since) => now < since + report_interval,
            TargetNews::Heard => false,
        }
    }
}
