//! Decides whether the target on a daemon's host may get calls after the daemon was
//! restarted.
//!
//! A daemon that is killed forgets the shutdowns that its target had announced and that it
//! had acknowledged. A report that the target sent before it announced its shutdown may
//! arrive seconds late, at the new process, and makes the target look ready. Until the new
//! process has read which shutdowns were acknowledged, only a further report is evidence
//! of a live target: late reports come one by one or in a burst, those of a live target at
//! its interval.

use std::time::{Duration, Instant};

use crate::instance::InstanceKey;

/// Fraction of the report interval that a further report must be behind the first one.
/// Reports come only approximately at their interval.
const MIN_SPACING_FRACTION: f64 = 0.5;

/// What a daemon knows about the shutdowns that it acknowledged before its restart.
#[derive(Clone, Debug)]
pub struct RestartCheck {
    /// Whether all shutdowns that were acknowledged before are known.
    are_shutdowns_known: bool,
    /// The instance that reports, and when its first report arrived.
    reporting: Option<(InstanceKey, Instant)>,
    /// Whether a further report has shown that the reporting instance is live.
    is_live: bool,
}

impl RestartCheck {
    /// Creates the check of a daemon that starts for the first time, and so has
    /// acknowledged no shutdown.
    #[must_use]
    pub fn first_start() -> RestartCheck {
        RestartCheck {
            are_shutdowns_known: true,
            reporting: None,
            is_live: false,
        }
    }

    /// Creates the check of a daemon that may have been restarted.
    #[must_use]
    pub fn restarted() -> RestartCheck {
        RestartCheck {
            are_shutdowns_known: false,
            ..RestartCheck::first_start()
        }
    }

    /// Records a report of `instance` that is not outdated. `interval` is the usual time
    /// between two reports.
    pub fn record_report(&mut self, instance: &InstanceKey, interval: Duration, now: Instant) {
        match &self.reporting {
            Some((reporting, first_at)) if reporting == instance => {
                self.is_live |= now >= *first_at + interval.mul_f64(MIN_SPACING_FRACTION);
            }
            _ => {
                self.reporting = Some((instance.clone(), now));
                self.is_live = false;
            }
        }
    }

    /// Records that all shutdowns that were acknowledged before the restart are known.
    pub fn record_shutdowns_known(&mut self) {
        self.are_shutdowns_known = true;
    }

    /// Whether all shutdowns that were acknowledged before the restart are known.
    #[must_use]
    pub fn are_shutdowns_known(&self) -> bool {
        self.are_shutdowns_known
    }

    /// Whether the reporting instance may get calls, unless its shutdown is known.
    #[must_use]
    pub fn allows_calls(&self) -> bool {
        self.are_shutdowns_known || self.is_live
    }
}
