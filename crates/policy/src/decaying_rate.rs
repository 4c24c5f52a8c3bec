//! A rate of events as an exponentially decaying average.

use std::time::{Duration, Instant};

/// Time constant of the average: long enough to span several batches of tokens, short
/// enough to follow a change within the few seconds that a burst of calls lasts.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Exponentially decaying average of the number of events per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    /// Average at the time of the last event, in events per second.
    per_s: f64,
    recorded_at: Option<Instant>,
}

impl DecayingRate {
    /// Records `count` events.
    pub fn record(&mut self, count: u32, now: Instant) {
        self.per_s = self.per_s(now) + f64::from(count) / TIME_CONSTANT.as_secs_f64();
        self.recorded_at = Some(now);
    }

    /// Returns the average number of events per second; 0 before the first event.
    #[must_use]
    pub fn per_s(&self, now: Instant) -> f64 {
        let elapsed = self
            .recorded_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.per_s * (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
