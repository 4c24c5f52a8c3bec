//! The clock, passed in so that tests can drive time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{clock_gettime, ClockId};

/// Where the daemon reads time from.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time, for intervals and leases.
    fn now(&self) -> Instant;
    /// Wall time, for times written to the platform's table.
    fn wall(&self) -> SystemTime;

    /// Time since the host's start. It goes on while the host is suspended, as
    /// monotonic time may not.
    fn since_boot(&self) -> Duration;

    /// Both clocks, read together.
    fn reading(&self) -> ClockReading {
        ClockReading {
            now: self.now(),
            wall: self.wall(),
        }
    }
}

/// Both clocks at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time.
    pub now: Instant,
    /// Wall time.
    pub wall: SystemTime,
}

impl ClockReading {
    /// Wall time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        let since = self
            .wall
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    /// # Panics
    /// Never: every Linux kernel that runs the daemon has this clock.
    fn since_boot(&self) -> Duration {
        clock_gettime(ClockId::CLOCK_BOOTTIME)
            .expect("the clock exists")
            .into()
    }
}
