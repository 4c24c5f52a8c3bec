//! Assigns to each refused caller a retry time of its own.

use std::ops::Range;
use std::time::{Duration, Instant};

/// Lowest rate of the schedule, used for a rate that is lower or is not a number.
const MIN_RATE_PER_S: f64 = 1.0;
/// Highest rate of the schedule, in retries per second. It keeps the interval above zero;
/// above 1,000 per second several calls are told the same millisecond.
const MAX_RATE_PER_S: f64 = 100_000.0;
/// Longest time to the earliest retry that is taken into account.
const MAX_EARLIEST: Duration = Duration::from_mins(1);
/// Conjugate of the golden ratio: its multiples modulo 1 are evenly spread and never
/// repeat.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_9;

/// A virtual schedule of the retries of one scarce resource: the tokens of an
/// organisation, or the slots of a service.
///
/// Load pattern: hundreds of calls are refused while a few can be served in a second.
/// If all are told the time at which the next one can be served, they return at once
/// and all but one are refused again. The schedule therefore gives each call the time
/// at which its capacity is expected, after that of the calls refused before it.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// Time of the next retry after all reserved ones; `None` before the first.
    end: Option<Instant>,
    /// Time before `end` that no call has reserved, as a call with a later earliest
    /// retry passed over it.
    gap: Option<Range<Instant>>,
    /// Number of calls that were told a time without reserving it.
    unreserved: u32,
}

impl ReturnSchedule {
    /// Returns the time until the retry of a call refused at `now`, and reserves it.
    ///
    /// Capacity for `rate_per_s` calls is expected to become free each second, and none
    /// before `earliest` has passed. A call whose retry would be more than `longest`
    /// away reserves nothing, as its caller cannot wait so long, and is told about
    /// that time. No two calls reserve the same time.
    pub fn reserve(
        &mut self,
        now: Instant,
        rate_per_s: f64,
        earliest: Duration,
        longest: Duration,
    ) -> Duration {
        let interval = interval(rate_per_s);
        let first = now + earliest.min(MAX_EARLIEST);
        if let Some(retry_at) = self.reserve_in_gap(first, now + longest.min(MAX_EARLIEST)) {
            let gap_end = self.gap.as_ref().map(|gap| gap.end);
            self.gap = gap_end
                .map(|end| retry_at + interval..end)
                .filter(|gap| !gap.is_empty());
            return retry_at - now;
        }
        let end = self.end.unwrap_or(now).max(now);
        let retry_at = end.max(first);
        let retry_after = retry_at - now;
        if retry_after > longest {
            self.unreserved = self.unreserved.wrapping_add(1);
            let part = (f64::from(self.unreserved) * GOLDEN_RATIO_CONJUGATE).fract();
            return retry_after + interval.mul_f64(part);
        }
        if retry_at > end {
            self.gap = Some(end..retry_at);
        }
        self.end = Some(retry_at + interval);
        retry_after
    }

    /// Whether all reserved times have passed, so that the schedule can be dropped.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.end.is_none_or(|end| end <= now)
    }

    /// Returns the first time from `first` to `last` in the gap, if there is one.
    fn reserve_in_gap(&self, first: Instant, last: Instant) -> Option<Instant> {
        let gap = self.gap.as_ref()?;
        let retry_at = gap.start.max(first);
        (retry_at < gap.end && retry_at <= last).then_some(retry_at)
    }
}

/// Returns the time between two retries at a rate.
fn interval(rate_per_s: f64) -> Duration {
    let rate_per_s = if rate_per_s.is_finite() {
        rate_per_s.clamp(MIN_RATE_PER_S, MAX_RATE_PER_S)
    } else {
        MIN_RATE_PER_S
    };
    Duration::from_secs_f64(rate_per_s.recip())
}
