//! Lifecycle of the target on the daemon's host, as the target reports it.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Fraction of the drain time during which a leaving target still accepts calls.
/// In the rest the accepted calls finish; calls that still wait are declined.
const DRAIN_ACCEPT_FRACTION: f64 = 0.5;

/// Returns whether a target that has been leaving since `since` still accepts calls.
#[must_use]
pub fn accepts_while_leaving(since: Instant, drain_time: Duration, now: Instant) -> bool {
    now < since + drain_time.mul_f64(DRAIN_ACCEPT_FRACTION)
}

/// Identifies an instance, that is one start of a target. A target may restart
/// with the same id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceKey {
    /// The target's id.
    pub id: String,
    /// Start time by the target's own clock, in milliseconds since the Unix epoch;
    /// `None` if the target does not report it.
    pub born: Option<u64>,
}

impl InstanceKey {
    /// Whether `self` and `other` may be the same instance: their ids are equal,
    /// and their start times are equal or one is unknown.
    fn may_equal(&self, other: &InstanceKey) -> bool {
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

/// A report that a target sends about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// The instance that sends the report.
    pub key: InstanceKey,
    /// The service that the target belongs to.
    pub service: String,
    /// The version of the target's software.
    pub software: String,
    /// The address that the target listens on.
    pub address: String,
    /// Maximum number of calls that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is shutting down.
    pub is_draining: bool,
    /// Sequence number, which increases with each report of an instance.
    pub sequence: u64,
    /// Remaining time until the target is warmed up.
    pub cold_left: Duration,
}

/// The change caused by a report or a shutdown notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceChange {
    /// No change that other daemons need to know.
    None,
    /// A new instance has taken the place of the previous one.
    Replaced,
    /// The target no longer accepts new work.
    Draining,
    /// The target accepts work, possibly after a pause.
    Ready,
    /// The report was outdated and is ignored.
    Stale,
}

#[derive(Clone, Debug)]
struct CurrentInstance {
    report: InstanceReport,
    leaving_since: Option<Instant>,
    /// Whether the instance was already shutting down when this daemon first heard
    /// of it, or before this daemon started.
    left_before_restart: bool,
    cold_until: Instant,
    last_report_at: Instant,
}

/// An instance that was replaced or has left.
#[derive(Clone, Debug)]
struct FormerInstance {
    key: InstanceKey,
    /// Whether it announced its shutdown, which is final.
    has_left: bool,
    /// Sequence number of its last report; 0 if it never reported.
    last_sequence: u64,
    /// Time of its first report since the current instance fell silent.
    reporting_since: Option<Instant>,
}

impl FormerInstance {
    /// Whether the instance left without naming its start time, and may be the one with
    /// `key`, which has one.
    fn may_be_left_start(&self, key: &InstanceKey) -> bool {
        let is_unknown_start = self.key.born.is_none() && key.born.is_some();
        self.has_left && is_unknown_start && self.key.id == key.id
    }

    fn left(key: InstanceKey) -> FormerInstance {
        FormerInstance {
            key,
            has_left: true,
            last_sequence: 0,
            reporting_since: None,
        }
    }
}

/// Tracks the current instance of the target on the daemon's host.
///
/// The rules by which reports are believed:
/// - The first report of an instance that is not known makes it the current one.
/// - An instance that has announced its shutdown is never accepted again. Without a start
///   time, that holds for each start of its id that does not go on reporting.
/// - An instance that was replaced is accepted again only if it goes on reporting while
///   the current one is silent. A live target does so; the late reports of one that has
///   ended come to an end.
/// - A report counts only if its sequence number is higher than the last one.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    current: Option<CurrentInstance>,
    /// Instances that were replaced or have left, newest last.
    former: Vec<FormerInstance>,
}

/// Time without a report from the current instance after which another instance
/// with the same id is accepted even if its start time is earlier. Several
/// reports are missing by then, and the target's clock may have been set back
/// between the two starts.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time between two reports of a replaced instance that show that it is live. The
/// late reports of one that has ended come in a burst.
const MIN_REPORT_SPACING: Duration = Duration::from_millis(500);
/// Time for which a target must go on reporting whose id was deregistered without a start
/// time: longer than reports are late, as it may be the one that left.
const UNKNOWN_START_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of former instances that are remembered.
const MAX_FORMER_INSTANCES: usize = 64;

impl InstanceTracker {
    /// Processes a report of the target. A restarted target with the same id starts a new
    /// sequence; it is recognised by its start time.
    pub fn report(&mut self, report: InstanceReport, now: Instant) -> InstanceChange {
        if self.is_outdated(&report.key, now)
            && !self.is_new_start(&report, now)
            && !self.is_live_again(&report, now)
        {
            return InstanceChange::Stale;
        }
        let cold_until = now + report.cold_left;
        match &mut self.current {
            Some(current) if current.report.key == report.key => {
                if report.sequence <= current.report.sequence {
                    return InstanceChange::Stale;
                }
                current.cold_until = cold_until;
                current.last_report_at = now;
                let was_leaving = current.leaving_since.is_some();
                // A shutdown that was acknowledged to the target is final: a
                // later report does not make the target ready again.
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
                let new = CurrentInstance {
                    left_before_restart: report.is_draining,
                    report,
                    leaving_since,
                    cold_until,
                    last_report_at: now,
                };
                if let Some(old) = self.current.replace(new) {
                    self.add_former(FormerInstance {
                        has_left: old.leaving_since.is_some(),
                        last_sequence: old.report.sequence,
                        reporting_since: None,
                        key: old.report.key,
                    });
                }
                change
            }
        }
    }

    /// Whether a report with `key` comes from a former instance, or cannot be
    /// attributed to a new one.
    ///
    /// Guards against a report that has the current instance's id but an earlier
    /// start time or none. If it were accepted as a new instance, it would
    /// replace the live one, whose own reports would count as outdated from then
    /// on. The same holds for a report of another writer without a start time: the
    /// targets of a host all state one, or none does.
    fn is_outdated(&self, key: &InstanceKey, now: Instant) -> bool {
        if let Some(current) = &self.current {
            let current_key = &current.report.key;
            if current_key == key {
                return false;
            }
            let is_earlier = current_key.id == key.id && key.born < current_key.born;
            let lacks_start_time = key.born.is_none() && current_key.born.is_some();
            let is_live = now < current.last_report_at + REPORT_TIMEOUT;
            if is_live && (is_earlier || lacks_start_time) {
                return true;
            }
        }
        let has_no_start_time = key.born.is_none();
        self.former.iter().any(|former| {
            former.key == *key
                || (has_no_start_time && former.key.id == key.id)
                || former.may_be_left_start(key)
        })
    }

    /// Whether `report` shows that the target has started again since its id was
    /// deregistered without a start time: it has gone on reporting for longer than reports
    /// are late.
    ///
    /// Guards against a late report that is taken for that of a new start: the daemon was
    /// restarted and heard of the shutdown before it heard of the target.
    fn is_new_start(&mut self, report: &InstanceReport, now: Instant) -> bool {
        let mut former = self.former.iter_mut();
        let Some(left) = former.find(|former| former.may_be_left_start(&report.key)) else {
            return false;
        };
        if report.is_draining || report.sequence <= left.last_sequence {
            return false;
        }
        left.last_sequence = report.sequence;
        let reporting_since = *left.reporting_since.get_or_insert(now);
        if now < reporting_since + UNKNOWN_START_TIMEOUT {
            return false;
        }
        self.former
            .retain(|former| !former.may_be_left_start(&report.key));
        true
    }

    /// Whether `report` shows that a replaced instance is live: the current one has been
    /// silent for several reports, and the replaced one goes on reporting. If so, it is no
    /// former instance any more.
    ///
    /// Guards against a late report of an instance that has ended, which a restarted daemon
    /// takes for a new target: the reports of the live one would count as outdated for
    /// good, and all calls to it would be declined.
    fn is_live_again(&mut self, report: &InstanceReport, now: Instant) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let silent_since = current.last_report_at;
        let mut former = self.former.iter_mut();
        let Some(replaced) = former.find(|former| former.key == report.key) else {
            return false;
        };
        replaced.has_left |= report.is_draining;
        if replaced.has_left || report.sequence <= replaced.last_sequence {
            return false;
        }
        replaced.last_sequence = report.sequence;
        let reporting_since = replaced
            .reporting_since
            .filter(|since| *since > silent_since);
        replaced.reporting_since = reporting_since.or(Some(now));
        let goes_on = reporting_since.is_some_and(|since| now >= since + MIN_REPORT_SPACING);
        if !goes_on || now < silent_since + REPORT_TIMEOUT {
            return false;
        }
        self.former.retain(|former| former.key != report.key);
        true
    }

    /// Processes the shutdown notice of instance `key`.
    pub fn leave(&mut self, key: &InstanceKey, now: Instant) -> InstanceChange {
        match &mut self.current {
            Some(current) if key.may_equal(&current.report.key) => {
                if current.leaving_since.is_some() {
                    return InstanceChange::None;
                }
                current.leaving_since = Some(now);
                InstanceChange::Draining
            }
            _ => {
                self.remember_left(key);
                InstanceChange::Stale
            }
        }
    }

    fn remember_left(&mut self, key: &InstanceKey) {
        let mut former = self.former.iter_mut();
        match former.find(|former| former.key == *key) {
            Some(known) => known.has_left = true,
            None => self.add_former(FormerInstance::left(key.clone())),
        }
    }

    /// Records that instance `key` was shutting down before this daemon started.
    ///
    /// Guards against a shutdown that this daemon acknowledged before its process
    /// was killed and restarted: a late report would make the target look ready
    /// again, and calls would be sent to it after it may have ended.
    pub fn mark_left_before_restart(&mut self, key: &InstanceKey, now: Instant) {
        match &mut self.current {
            Some(current) if current.report.key == *key => {
                if current.leaving_since.is_none() {
                    current.leaving_since = Some(now);
                    current.left_before_restart = true;
                }
            }
            Some(current) if key.may_equal(&current.report.key) => {
                self.current = None;
                self.remember_left(key);
            }
            _ => self.remember_left(key),
        }
    }

    /// Whether the target was shutting down before this daemon heard of it. The
    /// time of the acknowledgement is unknown then, so the target counts as gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.left_before_restart)
    }

    fn add_former(&mut self, former: FormerInstance) {
        if self.former.len() >= MAX_FORMER_INSTANCES {
            self.former.remove(0);
        }
        self.former.push(former);
    }

    /// The target's last accepted report; `None` before the first one.
    #[must_use]
    pub fn current(&self) -> Option<&InstanceReport> {
        self.current.as_ref().map(|current| &current.report)
    }

    /// The key under which the instance that `key` names has reported itself; `key` if it
    /// names another one. A shutdown notice may lack the start time that reports state.
    #[must_use]
    pub fn reported_key(&self, key: &InstanceKey) -> InstanceKey {
        let reported = self.current.as_ref().map(|current| &current.report.key);
        let same = reported.filter(|reported| key.may_equal(reported));
        same.unwrap_or(key).clone()
    }

    /// The time since which the target is shutting down; `None` if it is not.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Instant> {
        self.current.as_ref()?.leaving_since
    }

    /// Whether the target is still warming up after its start.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| now < current.cold_until)
    }
}
