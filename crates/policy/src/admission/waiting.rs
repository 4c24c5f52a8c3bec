//! The waiting calls of an admission queue.

use std::time::{Duration, Instant};

use super::{AdmissionRequest, WaitTicket};
use crate::fair_share::ShareClaim;

#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingCall {
    pub(super) ticket: WaitTicket,
    pub(super) request: AdmissionRequest,
    pub(super) enqueued_at: Instant,
    /// Whether the call was expected to miss its soft deadline when it arrived.
    pub(super) is_likely_late: bool,
    pub(super) claim: ShareClaim,
}

impl WaitingCall {
    /// Work of the call, in seconds of run time.
    pub(super) fn work(&self) -> f64 {
        self.request.run.mean.as_secs_f64()
    }
}

/// Waiting calls that start before another one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallsAhead {
    pub(super) count: usize,
    /// Sum of the run times.
    pub(super) run: Duration,
}

impl CallsAhead {
    pub(super) fn of<'a>(calls: impl Iterator<Item = &'a WaitingCall>) -> CallsAhead {
        let mut ahead = CallsAhead::default();
        for call in calls {
            ahead.add(call);
        }
        ahead
    }

    pub(super) fn add(&mut self, call: &WaitingCall) {
        self.count += 1;
        self.run += call.request.run.mean;
    }
}
