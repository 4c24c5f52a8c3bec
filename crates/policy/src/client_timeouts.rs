//! The timeouts that the callers of a route state with their calls, from which the
//! time since a call was first tried is estimated.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of a route's latest calls that are recorded. At ten calls per second they
/// cover about 25 s, so that a burst of a few seconds, in which many calls are
/// retries, does not determine the estimate.
const MAX_RECORDED_CALLS: usize = 256;
/// One in this many recorded calls has a shorter timeout than the one taken as the
/// timeout of a first try. Most calls are first tries, so the lower quartile is the
/// timeout of a first try, and the shortest timeouts of first tries are only a
/// little below it.
const FIRST_TRY_TIMEOUT_DIVISOR: usize = 4;

/// Timeouts of the latest calls of a route.
///
/// Load pattern: the timeouts of callers differ by a seventh and more (4.3 to 5 s).
/// A caller that was refused retries with the time that it has left as the
/// timeout. A call's soft deadline counts from its first try, so the time since
/// the first try must be estimated from the timeout alone. If it were estimated
/// against the longest timeout, first tries with shorter timeouts would appear to
/// have used up most of the time to their soft deadlines, and admission control
/// would put them behind other calls or decline them.
#[derive(Clone, Debug, Default)]
pub struct ClientTimeouts {
    /// Timeouts in order of arrival, in milliseconds.
    recent: VecDeque<u32>,
    /// The same timeouts in ascending order.
    sorted: Vec<u32>,
}

impl ClientTimeouts {
    /// Returns the estimated time since a call was first tried: that which
    /// [`ClientTimeouts::record`] would return for it now.
    #[must_use]
    pub fn estimate(&self, timeout: Duration) -> Duration {
        let timeout_ms = to_ms(timeout);
        let is_full = self.recent.len() == MAX_RECORDED_CALLS;
        let replaced = self
            .recent
            .front()
            .filter(|_| is_full)
            .map(|oldest| self.sorted.partition_point(|other| other < oldest));
        let count = self.sorted.len() - usize::from(replaced.is_some());
        // The recorded timeouts without the one that this call would replace.
        let kept = |index: usize| {
            let is_after = replaced.is_some_and(|replaced| index >= replaced);
            self.sorted[index + usize::from(is_after)]
        };
        // The timeout of rank `index` once this call's timeout has been inserted.
        let index = (count + 1) / FIRST_TRY_TIMEOUT_DIVISOR;
        let at_most = |index: usize| if index < count { kept(index) } else { u32::MAX };
        let first_try_ms = match index.checked_sub(1).map(kept) {
            Some(before) => timeout_ms.clamp(before, at_most(index)),
            None => timeout_ms.min(at_most(index)),
        };
        Duration::from_millis(u64::from(first_try_ms.saturating_sub(timeout_ms)))
    }

    /// Records the timeout of a call and returns the estimated time since the call
    /// was first tried.
    pub fn record(&mut self, timeout: Duration) -> Duration {
        let timeout_ms = to_ms(timeout);
        if self.recent.len() == MAX_RECORDED_CALLS {
            if let Some(oldest) = self.recent.pop_front() {
                let index = self.sorted.partition_point(|other| *other < oldest);
                self.sorted.remove(index);
            }
        }
        self.recent.push_back(timeout_ms);
        let index = self.sorted.partition_point(|other| *other < timeout_ms);
        self.sorted.insert(index, timeout_ms);
        let first_try_ms = self.sorted[self.sorted.len() / FIRST_TRY_TIMEOUT_DIVISOR];
        Duration::from_millis(u64::from(first_try_ms.saturating_sub(timeout_ms)))
    }
}

fn to_ms(timeout: Duration) -> u32 {
    u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX)
}
