//! Holds back calls that crash the targets that run them.
//!
//! Load pattern: one call (a "query of death") crashes each target that begins
//! to run it, and its client sends it again, to any host. A crash also ends
//! every other call that the target was running, so most calls that were running
//! during a crash are bystanders.
//!
//! Each daemon has a [`QuarantineTable`] of its own. Its entries come from
//! crashes of the target on the same host, from replies to the daemon's own
//! calls, and from other daemons. Entries may arrive in any order and more than
//! once: merged tables agree, except for clearings within half a second of each
//! other, which are taken for one.

mod record;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::identity::CallIdentity;
pub use record::{CallRecord, TargetCrash};

/// Strikes from which a call is a suspect: it runs once at a time in the whole
/// fleet, and daemons do not retry it by themselves.
const SUSPECT_STRIKES: u32 = 2;
/// Window over which daemons spread the first probe of a suspect, so that most
/// have heard of one probe before they begin another.
const SUSPECT_JITTER_WINDOW: Duration = Duration::from_secs(1);
/// Strikes from which a call is held back. A bystander of targets that crash one
/// after another may well get two strikes, but hardly three in a row.
const HELD_STRIKES: u32 = 3;
/// Shortest first hold; jitter makes it up to twice as long, so that daemons
/// spread their probes. Long enough for a service to recover, as its targets are
/// back within seconds, and short for a bystander of all three crashes.
const FIRST_HOLD: Duration = Duration::from_secs(5);
/// Factor by which each further strike lengthens the hold. With 10, a harmful
/// call gets three more probes within an hour.
const HOLD_GROWTH: u32 = 10;
/// Longest hold, before jitter.
const MAX_HOLD: Duration = Duration::from_hours(8);
/// Time after which a probe no longer blocks the next one, even if it has not
/// ended; nearly all runs take less.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a record is kept after its last change, or after the end of its hold.
const RECORD_RETENTION: Duration = Duration::from_hours(1);
/// Most calls in a table. A target that crashes adds as many as it has slots.
const MAX_RECORDS: usize = 2_048;

/// Whether the quarantine lets a call run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// The call runs like any other.
    Unrestricted,
    /// The call may run as a probe: the only run of its identity in the fleet.
    ProbeAllowed,
    /// Another run of the same identity is being probed; the call has to wait.
    ProbeInFlight,
    /// The call is held back for this much longer.
    Held(Duration),
}

/// What merging a crash, or another daemon's record, changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Strikes before the merge.
    pub before: u32,
    /// Strikes after the merge.
    pub now: u32,
    /// Whether the record changed, so that other daemons may not know it yet.
    pub is_new: bool,
    /// Whether the sender still counts crashes of which this daemon's record was
    /// cleared; the sender should be told.
    pub is_sender_behind: bool,
}

impl MergeOutcome {
    /// Whether the merge raised the call to the strikes at which it is held back.
    #[must_use]
    pub fn starts_hold(self) -> bool {
        self.before < HELD_STRIKES && self.now >= HELD_STRIKES
    }

    /// Whether all daemons must be told, as the call is or was a suspect. A first
    /// strike is not broadcast: it is mostly a bystander's.
    #[must_use]
    pub fn needs_broadcast(self) -> bool {
        self.before.max(self.now) >= SUSPECT_STRIKES
    }
}

/// How long a call with `strikes` is held back after its last crash.
///
/// `jitter`, a fraction between 0 and 1 that differs between daemons, keeps them
/// from probing at the same moment. Values outside that range are clamped.
#[must_use]
pub fn hold_duration(strikes: u32, jitter: f64) -> Duration {
    if strikes < SUSPECT_STRIKES {
        return Duration::ZERO;
    }
    let jitter = jitter.clamp(0.0, 1.0);
    let Some(extra_strikes) = strikes.checked_sub(HELD_STRIKES) else {
        return SUSPECT_JITTER_WINDOW.mul_f64(jitter);
    };
    let factor = HOLD_GROWTH.saturating_pow(extra_strikes);
    FIRST_HOLD
        .saturating_mul(factor)
        .min(MAX_HOLD)
        .mul_f64(1.0 + jitter)
}

/// Whether `record` is old enough to be dropped: its longest possible hold and
/// the retention time after it have passed.
#[must_use]
pub fn is_expired(record: &CallRecord, now: Instant) -> bool {
    record.is_unchanged_for(hold_duration(record.strikes(), 1.0) + RECORD_RETENTION, now)
}

/// One daemon's records of the calls that were running as targets crashed.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    records: HashMap<CallIdentity, CallRecord>,
}

impl QuarantineTable {
    /// Merges a crash, or another daemon's record, into the record of `call`. An
    /// expired record is replaced.
    pub fn merge(
        &mut self,
        call: CallIdentity,
        received: &CallRecord,
        now: Instant,
    ) -> MergeOutcome {
        if !self.records.contains_key(&call) {
            self.make_room(now);
        }
        let record = self.records.entry(call).or_default();
        if is_expired(record, now) {
            *record = CallRecord::default();
        }
        let before = record.strikes();
        let is_sender_behind = record.has_later_clearing(received);
        let is_new = record.merge(received);
        MergeOutcome {
            before,
            now: record.strikes(),
            is_new,
            is_sender_behind,
        }
    }

    /// Clears `call` of its strikes, as a target ran it to a full answer. Returns
    /// the strikes that it had.
    pub fn record_success(&mut self, call: CallIdentity, now: Instant) -> u32 {
        let Some(record) = self.records.get_mut(&call) else {
            return 0;
        };
        let strikes = record.strikes();
        if strikes > 0 {
            record.clear(now);
        }
        strikes
    }

    /// Whether `call` may run now; `jitter` is the daemon's own random fraction.
    ///
    /// Calls that are held since the same moment are probed at different moments,
    /// as each call's identity shifts the jitter. Probed together, a crash would
    /// not show which of them caused it.
    #[must_use]
    pub fn quarantine_state(
        &self,
        call: CallIdentity,
        jitter: f64,
        now: Instant,
    ) -> QuarantineState {
        let Some(record) = self.records.get(&call) else {
            return QuarantineState::Unrestricted;
        };
        let strikes = record.strikes();
        if strikes < SUSPECT_STRIKES || is_expired(record, now) {
            return QuarantineState::Unrestricted;
        }
        let jitter = (jitter + call.fraction()).fract();
        match record.remaining_hold(hold_duration(strikes, jitter), now) {
            Duration::ZERO if record.is_probe_in_flight(PROBE_TIMEOUT, now) => {
                QuarantineState::ProbeInFlight
            }
            Duration::ZERO => QuarantineState::ProbeAllowed,
            left => QuarantineState::Held(left),
        }
    }

    /// Time for which no daemon lets `call` run, whatever its jitter; zero if the
    /// call is not held.
    #[must_use]
    pub fn remaining_hold(&self, call: CallIdentity, now: Instant) -> Duration {
        self.records.get(&call).map_or(Duration::ZERO, |record| {
            record.remaining_hold(hold_duration(record.strikes(), 0.0), now)
        })
    }

    /// Whether `call` is a suspect: daemons must not retry it by themselves.
    #[must_use]
    pub fn is_suspect(&self, call: CallIdentity) -> bool {
        self.strikes(call) >= SUSPECT_STRIKES
    }

    /// Strikes of `call`; 0 for one without a record.
    #[must_use]
    pub fn strikes(&self, call: CallIdentity) -> u32 {
        self.records.get(&call).map_or(0, CallRecord::strikes)
    }

    /// Records that a probe of `call` starts. The caller tells other daemons.
    pub fn begin_probe(&mut self, call: CallIdentity, now: Instant) {
        if let Some(record) = self.records.get_mut(&call) {
            record.set_probe_started(Some(now));
        }
    }

    /// Records that this daemon's probe of `call` ended, whatever its outcome.
    pub fn end_probe(&mut self, call: CallIdentity) {
        if let Some(record) = self.records.get_mut(&call) {
            record.set_probe_started(None);
        }
    }

    /// The record of `call`; `None` if it was in no crash that is still remembered.
    #[must_use]
    pub fn record(&self, call: CallIdentity) -> Option<&CallRecord> {
        self.records.get(&call)
    }

    /// The suspects, which all daemons must know of; most strikes first.
    #[must_use]
    pub fn suspects(&self) -> Vec<(CallIdentity, &CallRecord)> {
        let mut calls: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.strikes() >= SUSPECT_STRIKES)
            .map(|(call, record)| (*call, record))
            .collect();
        calls.sort_by_key(|(call, record)| (std::cmp::Reverse(record.strikes()), *call));
        calls
    }

    /// Number of calls that are held back now.
    #[must_use]
    pub fn held(&self, now: Instant) -> usize {
        let calls = self.records.keys();
        calls
            .filter(|call| self.remaining_hold(**call, now) > Duration::ZERO)
            .count()
    }

    /// Makes room for one more record.
    ///
    /// Bounds the table's memory, as callers can make up any number of calls.
    /// Expired records are dropped first, then those with the fewest strikes,
    /// which are most likely bystanders.
    fn make_room(&mut self, now: Instant) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| !is_expired(record, now));
        while self.records.len() >= MAX_RECORDS {
            let weakest = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.strikes(), record.last_change()))
                .map(|(call, _)| *call);
            let Some(weakest) = weakest else { return };
            self.records.remove(&weakest);
        }
    }
}
