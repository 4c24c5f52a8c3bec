//! How long the callers of a route wait, and what that tells of one call.

use std::collections::VecDeque;
use std::time::Duration;

/// Calls remembered of a route: at ten a second some 25 s, so that a burst of
/// seconds, in which many calls are second tries, does not pass for the usual.
const MOST_REMEMBERED: usize = 256;
/// Part of the calls that wait less than what is taken as usual. Most calls are
/// first tries; those of the least patient callers are below it by little.
const USUAL_SHARE: usize = 4;

/// The times for which the callers of a route said that they would wait.
///
/// Load pattern: callers differ in how long they wait, by a seventh and more
/// (4.3 to 5 s), and say so with each call. Those that were refused come back
/// with less time left than they had. A call's aim counts from the first try,
/// so what has passed since has to be told from that time alone. Told against
/// the most patient caller, first tries look as if most of their aim were gone:
/// gates put them behind others or turn them away.
#[derive(Clone, Debug, Default)]
pub struct ClientTimeouts {
    /// Waits in the order in which they came, in milliseconds.
    recent: VecDeque<u32>,
    /// The same, the shortest first.
    sorted: Vec<u32>,
}

impl ClientTimeouts {
    /// Notes a call that waits `wait`, and gives the time that has likely passed
    /// since its caller's first try.
    pub fn record(&mut self, wait: Duration) -> Duration {
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        if self.recent.len() == MOST_REMEMBERED {
            if let Some(oldest) = self.recent.pop_front() {
                let at = self.sorted.partition_point(|other| *other < oldest);
                self.sorted.remove(at);
            }
        }
        self.recent.push_back(wait_ms);
        let at = self.sorted.partition_point(|other| *other < wait_ms);
        self.sorted.insert(at, wait_ms);
        let usual_ms = self.sorted[self.sorted.len() / USUAL_SHARE];
        Duration::from_millis(u64::from(usual_ms.saturating_sub(wait_ms)))
    }
}
