//! The clock interface, passed as a dependency so that tests can control time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{clock_gettime, ClockId};

/// Source of the time for the daemon.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time, for intervals and leases.
    fn now(&self) -> Instant;
    /// Wall-clock time, for timestamps written to the platform's table.
    fn wall(&self) -> SystemTime;

    /// Time since the host booted. It includes time during which the host was
    /// suspended, which monotonic time may not.
    fn since_boot(&self) -> Duration;

    /// Reads the monotonic and the wall clock together.
    fn reading(&self) -> ClockReading {
        ClockReading {
            now: self.now(),
            wall: self.wall(),
        }
    }
}

/// Monotonic and wall-clock time at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time.
    pub now: Instant,
    /// Wall-clock time.
    pub wall: SystemTime,
}

impl ClockReading {
    /// Wall-clock time in milliseconds since the Unix epoch; 0 for earlier times.
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
    /// Only if the kernel has no `CLOCK_BOOTTIME`, which every Linux kernel that
    /// can run the daemon has.
    fn since_boot(&self) -> Duration {
        clock_gettime(ClockId::CLOCK_BOOTTIME)
            .expect("CLOCK_BOOTTIME exists")
            .into()
    }
}
