//! The lowest version that a daemon may apply.
//!
//! The floor keeps a restarted daemon from going back to an older version. A
//! daemon keeps no state over a restart, so a relay that lags behind could send
//! it a version older than the one it ran before, and a route change would be
//! undone. The version that it ran had been accepted, so its number is not
//! above that of a `current` row read after the restart.
//!
//! What the row names is only a claim: another writer may have put any number there. It holds
//! until the row names another version, or the store has no such version.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_tree::VersionRecord;

/// Time between two fetches of a version that the store does not have.
const MISSING_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The lowest version that a daemon may apply, and the versions held back by it.
#[derive(Debug, Default)]
pub(super) struct VersionFloor {
    /// The highest version that a daemon of the zone is known to have applied.
    applied: u64,
    /// The version that the `current` row names; 0 if it names none.
    named: u64,
    /// The named version that the store does not have, and when that was seen last.
    missing: Option<(u64, Instant)>,
    /// The newest version that came while the row named a newer one.
    held_back: Option<Arc<VersionRecord>>,
}

impl VersionFloor {
    /// The highest version that a daemon of the zone is known to have applied.
    pub(super) fn applied(&self) -> u64 {
        self.applied
    }

    /// Records that a daemon of the zone has applied `number`.
    pub(super) fn raise(&mut self, number: u64) {
        self.applied = self.applied.max(number);
    }

    /// Records that the `current` row names `number`; 0 for none.
    pub(super) fn set_named(&mut self, number: u64) {
        self.named = number;
        self.missing = self.missing.filter(|(missing, _)| *missing == number);
    }

    /// Records that the store does not have the version `number`, or that the row names none that
    /// can be read (0). Returns whether this was not known yet.
    pub(super) fn set_missing(&mut self, number: u64, now: Instant) -> bool {
        if number != self.named {
            return false;
        }
        self.missing.replace((number, now)).is_none()
    }

    /// Whether to fetch the named version `number` now: not right after it was missing.
    pub(super) fn is_fetch_due(&self, number: u64, now: Instant) -> bool {
        self.missing.is_none_or(|(missing, at)| {
            missing != number || now.saturating_duration_since(at) >= MISSING_RETRY_DELAY
        })
    }

    /// Whether the version that the `current` row names is missing.
    pub(super) fn is_named_missing(&self) -> bool {
        self.missing
            .is_some_and(|(missing, _)| missing == self.named)
    }

    /// Whether version `number` may be applied.
    pub(super) fn allows(&self, number: u64) -> bool {
        number >= self.applied && (self.is_named_missing() || number >= self.named)
    }

    /// Keeps a version that is not allowed now, if it is the newest of them. Returns whether it
    /// waits only for the named version to be found or found missing.
    pub(super) fn hold_back(&mut self, record: &Arc<VersionRecord>) -> bool {
        let is_older = |held: &Arc<VersionRecord>| held.number <= record.number;
        if record.number < self.applied || !self.held_back.as_ref().is_none_or(is_older) {
            return false;
        }
        self.held_back = Some(Arc::clone(record));
        true
    }

    /// Whether a version is held back.
    pub(super) fn holds_back(&self) -> bool {
        self.held_back.is_some()
    }

    /// Removes the version held back, if it is allowed now.
    pub(super) fn take_allowed(&mut self) -> Option<Arc<VersionRecord>> {
        let number = self.held_back.as_ref()?.number;
        if !self.allows(number) {
            return None;
        }
        self.held_back.take()
    }
}
