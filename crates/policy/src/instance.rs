//! The life of the target beside the daemon, as its own calls tell it.

use std::time::{Duration, Instant};

/// What a target says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// The id of this start of the target.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
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
    left_before: bool,
    cold_until: Instant,
}

/// Follows the target beside the daemon.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    current: Option<CurrentInstance>,
    /// Ids that were replaced or said farewell, newest last.
    former: Vec<String>,
}

/// Former ids remembered.
const FORMER_KEPT: usize = 64;

impl InstanceTracker {
    /// Takes a report.
    ///
    /// Guards against a report that was held up on the way and arrives after
    /// its sender ended and another target took the address: an id that was
    /// replaced or left is never taken back, and of one id only reports with
    /// a higher sequence count.
    pub fn report(&mut self, report: InstanceReport, now: Instant) -> InstanceChange {
        if self.former.contains(&report.id) {
            return InstanceChange::Stale;
        }
        let cold_until = now + report.cold_left;
        match &mut self.current {
            Some(current) if current.report.id == report.id => {
                if report.sequence <= current.report.sequence {
                    return InstanceChange::Stale;
                }
                current.cold_until = cold_until;
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
                    left_before: report.is_draining,
                    report,
                    leaving_since,
                    cold_until,
                };
                if let Some(old) = self.current.replace(fresh) {
                    self.forget(old.report.id);
                }
                change
            }
        }
    }

    /// Takes a farewell of `id`.
    pub fn leave(&mut self, id: &str, now: Instant) -> InstanceChange {
        match &mut self.current {
            Some(current) if current.report.id == id => {
                if current.leaving_since.is_some() {
                    return InstanceChange::None;
                }
                current.leaving_since = Some(now);
                InstanceChange::Draining
            }
            _ => {
                if !self.former.iter().any(|former| former == id) {
                    self.forget(id.to_owned());
                }
                InstanceChange::Stale
            }
        }
    }

    /// Takes word that `id` was leaving before this daemon started.
    ///
    /// Guards against a leaving that was acknowledged by this daemon's process
    /// before it was killed: a late report would make the target look ready
    /// again, and calls would reach it after it may have ended.
    pub fn left_before(&mut self, id: &str, now: Instant) {
        match &mut self.current {
            Some(current) if current.report.id == id => {
                if current.leaving_since.is_none() {
                    current.leaving_since = Some(now);
                    current.left_before = true;
                }
            }
            _ if self.former.iter().any(|former| former == id) => {}
            _ => self.forget(id.to_owned()),
        }
    }

    /// Whether the target was leaving before this daemon heard of it: how long
    /// ago its leaving was acknowledged is not known, so it counts as gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.left_before)
    }

    fn forget(&mut self, id: String) {
        if self.former.len() >= FORMER_KEPT {
            self.former.remove(0);
        }
        self.former.push(id);
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
