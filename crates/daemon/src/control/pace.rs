//! Limits the rate at which a zone's daemons try relays and read the platform.

use std::time::Duration;

use super::ControlSettings;

/// Minimum delay between two attempts to connect to a relay candidate. Jitter
/// adds up to the same amount again.
pub(super) const CANDIDATE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a daemon without a relay waits for one before it reads the platform
/// itself. The delay applies to the version in force and, after a lost relay
/// link, also to the lease row.
pub(super) const PLATFORM_READ_DELAY: Duration = Duration::from_secs(1);

/// Returns the period in which each of the zone's `daemons` may read the
/// platform once without exceeding the zone's read limit
/// ([`ControlSettings::zone_reads_per_second`]).
pub(super) fn read_spread_window(settings: &ControlSettings, daemons: u32) -> Duration {
    Duration::from_secs(1) * daemons / settings.zone_reads_per_second.max(1)
}
