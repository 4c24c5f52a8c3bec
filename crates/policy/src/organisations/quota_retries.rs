//! The time after which a call that got no token should retry.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::token_queue::TokenQueue;
use super::token_request::{CallClass, TokenRequest};
use crate::return_schedule::ReturnSchedule;

/// Minimum time before a retry. An earlier retry would find the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(40);
/// A caller waits at most this fraction of the time that it has left, as a divisor.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Retry times of one organisation's calls that were refused for want of a token.
///
/// Load pattern: most of the refused calls of an organisation at several times its
/// limit are late when they return, or of a low priority, and get hardly any tokens. If
/// they reserved the times of tokens, calls that can be served would be told to return
/// when they are late. Each class of calls therefore has a schedule of its own, at the
/// rate at which its calls get tokens.
#[derive(Clone, Debug, Default)]
pub struct QuotaRetries {
    schedules: BTreeMap<CallClass, ReturnSchedule>,
}

impl QuotaRetries {
    /// Returns the time until the retry of a call that `queue` refused, not before
    /// `earliest`. A call that cannot return in time is scheduled with the late calls.
    pub fn retry_after(
        &mut self,
        request: &TokenRequest,
        queue: &TokenQueue,
        earliest: Duration,
        now: Instant,
    ) -> Duration {
        let earliest = earliest.max(queue.exhausted_for(now)).max(MIN_RETRY_AFTER);
        let longest = request.deadline.saturating_duration_since(now) / MAX_WAIT_DIVISOR;
        let longest_in_time = longest.min(request.safe_slack(now));
        if let CallClass::InTime(priority) = request.class(now + earliest) {
            // Schedules that start at the next token must not tell the same time.
            let offset = Duration::from_micros(1 + u64::from(priority));
            let class = CallClass::InTime(priority);
            let retry_after = self.reserve(class, queue, earliest + offset, longest_in_time, now);
            if retry_after <= longest_in_time {
                return retry_after;
            }
        }
        let earliest = earliest.max(queue.free_token_in(now));
        self.reserve(CallClass::Late, queue, earliest, longest, now)
    }

    fn reserve(
        &mut self,
        class: CallClass,
        queue: &TokenQueue,
        earliest: Duration,
        longest: Duration,
        now: Instant,
    ) -> Duration {
        let rate_per_s = queue.class_rate(class, now);
        let schedule = self.schedules.entry(class).or_default();
        schedule.reserve(now, rate_per_s, earliest, longest)
    }
}
