//! Remembers which retry times were told to which calls.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::identity::CallIdentity;

/// Maximum number of remembered calls: the refused calls of several seconds at one
/// daemon.
const MAX_CALLS: usize = 4_096;
/// Time after the retry time at which it is forgotten: a later call is more likely an
/// equal call of another caller.
const RETENTION: Duration = Duration::from_secs(1);
/// Time before the retry time from which a call counts as retried at that time. It
/// covers the rounding of the told time to milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(2);
/// Difference below which two deadlines belong to tries of the same caller. It covers
/// the change of the network delay between two tries.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(30);

/// When a call arrives, compared with the retry time that it was told. In order of
/// preference among equal calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryTiming {
    /// The call was refused before, and retried at the time it was told or later.
    AsTold,
    /// The call was not told a time by this daemon.
    New,
    /// The call was retried before the time it was told.
    TooEarly,
}

/// What was told to a refused call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldTime {
    /// Time of the retry.
    pub retry_at: Instant,
    /// Soft deadline of the refused call.
    pub soft_deadline: Instant,
    /// Deadline of the refused call.
    pub deadline: Instant,
}

/// Retry times of recently refused calls, by the identity of the call.
///
/// Load pattern: some callers repeat a refused call at once. Each repetition would
/// reserve another retry time, and would compete with the calls of callers that wait
/// as told.
#[derive(Clone, Debug, Default)]
pub struct ToldTimes {
    calls: HashMap<CallIdentity, ToldTime>,
    /// Calls in the order in which they were recorded, with the retry time told. A call
    /// that was told several times appears several times.
    order: VecDeque<(CallIdentity, Instant)>,
}

impl ToldTimes {
    /// Returns when a call arrives compared with the time that it was told.
    #[must_use]
    pub fn timing(&self, call: CallIdentity, now: Instant) -> RetryTiming {
        match self.remembered(call, now) {
            None => RetryTiming::New,
            Some(told) if now + EARLY_TOLERANCE < told.retry_at => RetryTiming::TooEarly,
            Some(_) => RetryTiming::AsTold,
        }
    }

    /// Returns the time that is left until the retry of a call that comes too early.
    #[must_use]
    pub fn remaining(&self, call: CallIdentity, now: Instant) -> Option<Duration> {
        let told = self.remembered(call, now)?;
        (now + EARLY_TOLERANCE < told.retry_at).then(|| told.retry_at - now)
    }

    /// Returns the soft deadline of an earlier try of the call. A call with another
    /// `deadline` is not a retry but an equal call of another caller.
    #[must_use]
    pub fn soft_deadline(
        &self,
        call: CallIdentity,
        deadline: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let told = self.remembered(call, now)?;
        let difference = told.deadline.max(deadline) - told.deadline.min(deadline);
        (difference <= DEADLINE_TOLERANCE).then_some(told.soft_deadline)
    }

    /// Remembers what was told to a call, and forgets the oldest calls beyond the
    /// maximum number.
    pub fn record(&mut self, call: CallIdentity, told: ToldTime, now: Instant) {
        while let Some((oldest, retry_at)) = self.order.front().copied() {
            if self.order.len() < MAX_CALLS && now < retry_at + RETENTION {
                break;
            }
            self.order.pop_front();
            let is_latest = |told: &ToldTime| told.retry_at == retry_at;
            if self.calls.get(&oldest).is_some_and(is_latest) {
                self.calls.remove(&oldest);
            }
        }
        let previous = self.calls.insert(call, told);
        // A call that keeps its time has its place already, however often it comes.
        if previous.is_none_or(|previous| previous.retry_at != told.retry_at) {
            self.order.push_back((call, told.retry_at));
        }
    }

    fn remembered(&self, call: CallIdentity, now: Instant) -> Option<&ToldTime> {
        let told = self.calls.get(&call)?;
        (now < told.retry_at + RETENTION).then_some(told)
    }
}
