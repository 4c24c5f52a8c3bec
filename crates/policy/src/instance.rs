//! The life of the target beside the daemon, as its own calls tell it.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Names one start of a target: a target may start again under its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceKey {
    /// The id that it goes by.
    pub id: String,
    /// Unix millisecond of its start by its own clock, where it tells.
    pub born: Option<u64>,
}

impl InstanceKey {
    /// Whether word about `self` may be about `other`: the same id, and no
    /// other start of it.
    fn may_be(&self, other: &InstanceKey) -> bool {
        self.id == other.id
            && (self.born.is_none() || other.born.is_none() || self.born == other.born)
    }
}

impl fmt::Display for InstanceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(formatter, "{}@{born}", self.id),
            None => formatter.write_str(&self.id),
        }
    }
}

/// What a target says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// Which start of the target it is.
    pub key: InstanceKey,
    /// The service it belongs to.
    pub service: String,
    /// The version of its software.
    pub software: String,
    /// Where it listens.
    pub address: String,
    /// Calls it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Grows with each report of one start.
    pub sequence: u64,
    /// How much longer it stays slow after its start.
    pub cold_left: Duration,
}

/// What a report or a farewell changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceChange {
    /// Nothing that others need to know.
    None,
    /// Another start of the target is in place.
    Replaced,
    /// The target stops taking work.
    Draining,
    /// The target takes work (again).
    Ready,
    /// An outdated report; ignored.
    Stale,
}

#[derive(Clone, Debug)]
struct CurrentInstance {
    report: InstanceReport,
    leaving_since: Option<Instant>,
    /// Whether it was leaving already when it was first heard of.
    mark_left_before_restart: bool,
    cold_until: Instant,
    heard: Instant,
}

/// Follows the target beside the daemon.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    current: Option<CurrentInstance>,
    /// Starts that were replaced or said farewell, newest last.
    former: Vec<InstanceKey>,
}

/// Silence of the target in place after which another start under its id is
/// taken though its clock says that it is the earlier one: several reports are
/// missing then. The clock may have been set back between the two.
const SILENT_AFTER: Duration = Duration::from_secs(5);
/// Former starts remembered.
const FORMER_KEPT: usize = 64;

impl InstanceTracker {
    /// Takes a report.
    ///
    /// Guards against a report that was held up on the way and arrives after
    /// its sender ended and another target took the address: a start that was
    /// replaced or left is never taken back, and of one start only reports with
    /// a higher sequence count. A target that starts again under its id counts
    /// from the beginning: it is told by its birth.
    pub fn report(&mut self, report: InstanceReport, now: Instant) -> InstanceChange {
        if self.is_outdated(&report.key, now) {
            return InstanceChange::Stale;
        }
        let cold_until = now + report.cold_left;
        match &mut self.current {
            Some(current) if current.report.key == report.key => {
                if report.sequence <= current.report.sequence {
                    return InstanceChange::Stale;
                }
                current.cold_until = cold_until;
                current.heard = now;
                let was_leaving = current.leaving_since.is_some();
                // Once a target has said that it leaves, it stays leaving:
                // its acknowledgement binds.
                let is_leaving = was_leaving || report.is_draining;
                if is_leaving && !was_leaving {
                    current.leaving_since = Some(now);
                }
                current.report = report;
                if is_leaving && !was_leaving {
                    InstanceChange::Draining
                } else {
                    InstanceChange::None
                }
            }
            _ => {
                let change = if report.is_draining {
                    InstanceChange::Draining
                } else {
                    InstanceChange::Replaced
                };
                let leaving_since = report.is_draining.then_some(now);
                let fresh = CurrentInstance {
                    mark_left_before_restart: report.is_draining,
                    report,
                    leaving_since,
                    cold_until,
                    heard: now,
                };
                if let Some(old) = self.current.replace(fresh) {
                    self.forget(old.report.key);
                }
                change
            }
        }
    }

    /// Whether word of `key` comes from a start that is over, or from none.
    ///
    /// Guards against a report without a birth, or with that of an earlier
    /// start, that goes by the id of the target in place: taken for another
    /// start it would replace the live one, whose own reports were outdated
    /// from then on.
    fn is_outdated(&self, key: &InstanceKey, now: Instant) -> bool {
        if let Some(current) = &self.current {
            let place = &current.report.key;
            if place == key {
                return false;
            }
            let is_earlier = place.id == key.id && key.born < place.born;
            if is_earlier && now < current.heard + SILENT_AFTER {
                return true;
            }
        }
        let no_birth = key.born.is_none();
        self.former
            .iter()
            .any(|former| former == key || (no_birth && former.id == key.id))
    }

    /// Takes a farewell of `key`.
    pub fn leave(&mut self, key: &InstanceKey, now: Instant) -> InstanceChange {
        match &mut self.current {
            Some(current) if key.may_be(&current.report.key) => {
                if current.leaving_since.is_some() {
                    return InstanceChange::None;
                }
                current.leaving_since = Some(now);
                InstanceChange::Draining
            }
            _ => {
                self.remember_former(key);
                InstanceChange::Stale
            }
        }
    }

    fn remember_former(&mut self, key: &InstanceKey) {
        if !self.former.contains(key) {
            self.forget(key.clone());
        }
    }

    /// Takes word that `key` was leaving before this daemon started.
    ///
    /// Guards against a leaving that was acknowledged by this daemon's process
    /// before it was killed: a late report would make the target look ready
    /// again, and calls would reach it after it may have ended.
    pub fn mark_left_before_restart(&mut self, key: &InstanceKey, now: Instant) {
        match &mut self.current {
            Some(current) if current.report.key == *key => {
                if current.leaving_since.is_none() {
                    current.leaving_since = Some(now);
                    current.mark_left_before_restart = true;
                }
            }
            _ => self.remember_former(key),
        }
    }

    /// Whether the target was leaving before this daemon heard of it: how long
    /// ago its leaving was acknowledged is not known, so it counts as gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.mark_left_before_restart)
    }

    fn forget(&mut self, key: InstanceKey) {
        if self.former.len() >= FORMER_KEPT {
            self.former.remove(0);
        }
        self.former.push(key);
    }

    /// What the target last said; `None` before its first report.
    #[must_use]
    pub fn current(&self) -> Option<&InstanceReport> {
        self.current.as_ref().map(|current| &current.report)
    }

    /// Since when the target is leaving.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Instant> {
        self.current.as_ref()?.leaving_since
    }

    /// Whether the target is still slow from its start.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| now < current.cold_until)
    }
}
