//! The pace at which a zone's daemons try relays and read the platform.

use std::time::Duration;

use super::ControlSettings;

/// Pause before the next candidate is tried, at most this much more by jitter.
pub(super) const CANDIDATE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Head start the zone's relay gets before a daemon without one reads the
/// version in force from the platform itself.
pub(super) const PLATFORM_READ_DELAY: Duration = Duration::from_secs(1);

/// The time over which a zone's daemons spread one platform read each, so
/// that together they stay within the zone's read limit.
pub(super) fn read_spread_window(settings: &ControlSettings, daemons: u32) -> Duration {
    Duration::from_secs(1) * daemons / settings.zone_reads_per_second.max(1)
}
