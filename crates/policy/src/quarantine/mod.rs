//! Which calls are held back because the targets that run them end.
//!
//! Load pattern: one call ends each target that begins to run it, and its
//! client brings it again, to any host. Each end takes with it whatever else
//! the target had under way, so most calls that are at work as targets end are
//! bystanders.
//!
//! Each daemon keeps a book of its own. What is in it came from targets that
//! ended beside it, from replies to its own calls, and from other daemons; books
//! are merged in any order and any number of times with the same result.

mod record;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::identity::CallIdentity;
pub use record::{CallRecord, TargetCrash};

/// Strikes from which a call runs once at a time in the whole fleet, and is not
/// sent on by itself.
const SUSPECT_STRIKES: u32 = 2;
/// Time over which daemons spread the first try of a suspect, so that most hear
/// of one before they begin another.
const SUSPECT_SPREAD: Duration = Duration::from_secs(1);
/// Strikes from which a call is held back: two may happen to a bystander of
/// targets that end in series, three in a row hardly.
const HELD_STRIKES: u32 = 3;
/// How long a call is held back at first; up to twice that, as daemons spread
/// its one try. Long enough for a service to be itself again, as its targets are
/// back within seconds, and short for a bystander of all three ends.
const FIRST_HOLD: Duration = Duration::from_secs(5);
/// Each further strike makes the hold longer by this factor: a harmful call gets
/// three more tries within an hour.
const HOLD_GROWTH: u32 = 10;
/// Longest hold.
const LONGEST_HOLD: Duration = Duration::from_hours(8);
/// Time in which no second try of a suspect goes, unless the first has ended:
/// nearly all runs take less.
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// How long a call is remembered after its last strike, or the end of its hold.
const REMEMBERED: Duration = Duration::from_hours(1);
/// Calls remembered. A target that ends adds as many as it has slots.
const MOST_CALLS: usize = 2_048;

/// What may be done with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// Whatever is done with others.
    Unrestricted,
    /// It may run as the only one of its identity.
    ProbeAllowed,
    /// Another of its identity is being tried.
    ProbeInFlight,
    /// It is not to run before that time has passed.
    Held(Duration),
}

/// What a mark or a message changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Strikes before.
    pub before: u32,
    /// Strikes now.
    pub now: u32,
    /// Whether others may not know it yet.
    pub is_new: bool,
    /// Whether the sender lacked what this daemon knew.
    pub is_sender_behind: bool,
}

impl MergeOutcome {
    /// Whether the call came to be held back.
    #[must_use]
    pub fn starts_hold(self) -> bool {
        self.before < HELD_STRIKES && self.now >= HELD_STRIKES
    }

    /// Whether all daemons must know. A first mark is mostly a bystander's.
    #[must_use]
    pub fn needs_broadcast(self) -> bool {
        self.before.max(self.now) >= SUSPECT_STRIKES
    }
}

/// How long a call with `strikes` is held back after the last of them; `jitter`,
/// a fraction of the daemon's own, keeps daemons from trying at one moment.
#[must_use]
pub fn hold_duration(strikes: u32, jitter: f64) -> Duration {
    if strikes < SUSPECT_STRIKES {
        return Duration::ZERO;
    }
    let jitter = jitter.clamp(0.0, 1.0);
    let Some(more) = strikes.checked_sub(HELD_STRIKES) else {
        return SUSPECT_SPREAD.mul_f64(jitter);
    };
    let factor = HOLD_GROWTH.saturating_pow(more);
    FIRST_HOLD
        .saturating_mul(factor)
        .min(LONGEST_HOLD)
        .mul_f64(1.0 + jitter)
}

/// Whether what `record` says is so old that it is not remembered.
#[must_use]
pub fn is_expired(record: &CallRecord, now: Instant) -> bool {
    record.is_over(hold_duration(record.strikes(), 1.0) + REMEMBERED, now)
}

/// A daemon's book of the calls that were at work as targets ended.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    records: HashMap<CallIdentity, CallRecord>,
}

impl QuarantineTable {
    /// Takes over a mark, or what another daemon knows of `call`.
    pub fn merge(&mut self, call: CallIdentity, told: &CallRecord, now: Instant) -> MergeOutcome {
        if !self.records.contains_key(&call) {
            self.make_room(now);
        }
        let record = self.records.entry(call).or_default();
        if is_expired(record, now) {
            *record = CallRecord::default();
        }
        let before = record.strikes();
        let is_sender_behind = record.has_later_clearing(told);
        let is_new = record.merge(told);
        MergeOutcome {
            before,
            now: record.strikes(),
            is_new,
            is_sender_behind,
        }
    }

    /// Notes that a target ran `call` and answered: it harms none. The strikes
    /// that it is cleared of.
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

    /// What may be done with `call`; `jitter` is a random fraction of the
    /// daemon's own. The calls that are held since one moment are tried at
    /// different ones: beside each other they would be told apart by nothing.
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
            Duration::ZERO if record.is_tried(TRIAL_TIME, now) => QuarantineState::ProbeInFlight,
            Duration::ZERO => QuarantineState::ProbeAllowed,
            left => QuarantineState::Held(left),
        }
    }

    /// Time for which no daemon, whatever its spread, lets `call` go.
    #[must_use]
    pub fn remaining_hold(&self, call: CallIdentity, now: Instant) -> Duration {
        self.records.get(&call).map_or(Duration::ZERO, |record| {
            record.remaining_hold(hold_duration(record.strikes(), 0.0), now)
        })
    }

    /// Whether `call` is not to be sent to another target by itself.
    #[must_use]
    pub fn is_suspect(&self, call: CallIdentity) -> bool {
        self.strikes(call) >= SUSPECT_STRIKES
    }

    /// Strikes of `call`.
    #[must_use]
    pub fn strikes(&self, call: CallIdentity) -> u32 {
        self.records.get(&call).map_or(0, CallRecord::strikes)
    }

    /// Notes that the one try of `call` goes; others are to know.
    pub fn begin_probe(&mut self, call: CallIdentity, now: Instant) {
        if let Some(record) = self.records.get_mut(&call) {
            record.set_tried(Some(now));
        }
    }

    /// Notes that it has ended, whatever came of it.
    pub fn end_probe(&mut self, call: CallIdentity) {
        if let Some(record) = self.records.get_mut(&call) {
            record.set_tried(None);
        }
    }

    /// What is known of `call`.
    #[must_use]
    pub fn record(&self, call: CallIdentity) -> Option<&CallRecord> {
        self.records.get(&call)
    }

    /// The calls that all daemons must know of, most strikes first.
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

    /// Calls held back now.
    #[must_use]
    pub fn held(&self, now: Instant) -> usize {
        let calls = self.records.keys();
        calls
            .filter(|call| self.remaining_hold(**call, now) > Duration::ZERO)
            .count()
    }

    /// Guards against a book that grows: callers can make up as many calls as
    /// they like. What is over goes first, then what looks most like a
    /// bystander.
    fn make_room(&mut self, now: Instant) {
        if self.records.len() < MOST_CALLS {
            return;
        }
        self.records.retain(|_, record| !is_expired(record, now));
        while self.records.len() >= MOST_CALLS {
            let least = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.strikes(), record.last_change()))
                .map(|(call, _)| *call);
            let Some(least) = least else { return };
            self.records.remove(&least);
        }
    }
}
