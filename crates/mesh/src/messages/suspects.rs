//! Records of calls that were running as targets crashed, as sent between daemons.

use std::time::{Duration, Instant};

use filbert_policy::identity::CallIdentity;
use filbert_policy::quarantine::{CallRecord, TargetCrash};
use serde::{Deserialize, Serialize};

/// Record of a call that was running as targets crashed, as sent between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCall {
    /// Identity of the call.
    pub call: CallIdentity,
    /// The crashes that count as strikes.
    pub crashes: Vec<AgedCrash>,
    /// Milliseconds since the call was last cleared, as a target ran it to a full
    /// answer or an operator released it; `None` if it never was.
    pub cleared_ago_ms: Option<u64>,
    /// Milliseconds since the start of a probe that has not ended; `None` if there
    /// is none.
    pub probe_started_ago_ms: Option<u64>,
}

/// A [`TargetCrash`] with ages in place of times, as the hosts' clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedCrash {
    id: u64,
    began_ago_ms: u64,
    ended_ago_ms: u64,
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// The time `age_ms` before `now`; `None` if an [`Instant`] of this host cannot
/// represent it, as before the host's start.
fn instant_before(age_ms: u64, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms))
}

impl AgedCrash {
    pub(crate) fn from_crash(crash: &TargetCrash, now: Instant) -> AgedCrash {
        AgedCrash {
            id: crash.id,
            began_ago_ms: age_ms(crash.began, now),
            ended_ago_ms: age_ms(crash.ended, now),
        }
    }

    pub(crate) fn to_crash(self, now: Instant) -> Option<TargetCrash> {
        Some(TargetCrash {
            id: self.id,
            began: instant_before(self.began_ago_ms, now)?,
            ended: instant_before(self.ended_ago_ms, now)?,
        })
    }
}

impl SuspectCall {
    /// Converts the record of `call`, with ages at `now`.
    #[must_use]
    pub fn from_record(call: CallIdentity, record: &CallRecord, now: Instant) -> SuspectCall {
        SuspectCall {
            call,
            crashes: record
                .crashes()
                .map(|crash| AgedCrash::from_crash(crash, now))
                .collect(),
            cleared_ago_ms: record.cleared().map(|at| age_ms(at, now)),
            probe_started_ago_ms: record.probe_started().map(|at| age_ms(at, now)),
        }
    }

    /// Converts back to a record. Crashes that `Instant` cannot represent are left
    /// out.
    pub(crate) fn to_record(&self, now: Instant) -> CallRecord {
        let crashes = self.crashes.iter().filter_map(|crash| crash.to_crash(now));
        let cleared = self.cleared_ago_ms.and_then(|age| instant_before(age, now));
        let probe_started = self
            .probe_started_ago_ms
            .and_then(|age| instant_before(age, now));
        CallRecord::new(crashes.collect(), cleared, probe_started)
    }
}
