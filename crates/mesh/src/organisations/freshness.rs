//! Keeps track of how old the version in force is. Confirmations of the newest
//! version come from the store or from upstreams, and are forwarded to followers.

use std::time::Duration;

use filbert_platform::store::SnapshotTime;
use filbert_policy::organisations::freshness::Confirmation;

use crate::messages::{to_micros, LinkMessage, VersionConfirmation};
use crate::peers::Peer;
use crate::state::MeshShared;

impl VersionConfirmation {
    fn of(confirmation: Confirmation) -> VersionConfirmation {
        VersionConfirmation {
            era: confirmation.era,
            version: confirmation.version,
            at_us: to_micros(confirmation.at),
        }
    }

    fn confirmation(self) -> Confirmation {
        Confirmation {
            era: self.era,
            version: self.version,
            at: Duration::from_micros(self.at_us),
        }
    }
}

impl MeshShared {
    /// Whether the age of the version in force matters: only if there are
    /// organisations, whose keys a newer version may withdraw.
    fn tracks_freshness(&self) -> bool {
        !self.current_index().organisations().is_empty()
    }

    /// Records that the version in force was the newest in the store at
    /// `snapshot_time`, and forwards this to the followers of this daemon.
    pub fn record_store_confirmation(&self, snapshot_time: SnapshotTime) {
        if !self.tracks_freshness() {
            return;
        }
        let SnapshotTime { era, clock, asked } = snapshot_time;
        let version = self.versions.number();
        {
            let mut freshness = self.organisations.freshness.borrow_mut();
            freshness.record_clock_sample(era, clock, asked);
            let at = clock;
            freshness.confirm(Confirmation { era, version, at }, version);
        }
        self.forward_confirmation();
    }

    /// Records a confirmation of the newest version from the daemon `upstream`, and
    /// forwards it if it is newer than the last one. Ignores daemons that are not
    /// upstreams.
    pub fn record_upstream_confirmation(&self, received: VersionConfirmation, upstream: &Peer) {
        if !self.is_upstream(&upstream.address.id) {
            return;
        }
        let organisations = &self.organisations;
        let before = organisations.freshness.borrow().newest_confirmation();
        let version = self.versions.number();
        organisations
            .freshness
            .borrow_mut()
            .confirm(received.confirmation(), version);
        let now = self.clock.since_boot();
        if organisations.freshness.borrow().needs_clock_sample(now) {
            upstream.request_clock(now);
        }
        let is_newer = organisations.freshness.borrow().newest_confirmation() != before;
        if is_newer && !self.members.is_source() {
            self.forward_confirmation();
        }
    }

    /// Records a sample of the store's clock: it was requested at `requested_at`, since
    /// this host's start, and showed at most `latest` at that time.
    pub fn record_store_clock(&self, era: u64, latest: Duration, requested_at: Duration) {
        let mut freshness = self.organisations.freshness.borrow_mut();
        freshness.record_clock_sample(era, latest, requested_at);
        freshness.update_for_version(self.versions.number());
    }

    /// Returns the response to a daemon that requested the store's clock at `asked_us`
    /// of its own time; `None` if this daemon does not know the store's clock.
    #[must_use]
    pub fn store_clock(&self, asked_us: u64) -> Option<LinkMessage> {
        let freshness = self.organisations.freshness.borrow();
        let (era, latest) = freshness.store_clock(self.clock.since_boot())?;
        Some(LinkMessage::StoreClock {
            era,
            latest_us: to_micros(latest),
            asked_us,
        })
    }

    /// Returns the message with the newest confirmation; `None` before the first.
    #[must_use]
    pub fn version_confirmation(&self) -> Option<LinkMessage> {
        let newest_confirmation = self
            .organisations
            .freshness
            .borrow()
            .newest_confirmation()?;
        Some(LinkMessage::VersionConfirmation(VersionConfirmation::of(
            newest_confirmation,
        )))
    }

    fn forward_confirmation(&self) {
        if let (Some(confirmation), true) = (self.version_confirmation(), self.members.is_reader())
        {
            self.send_to_followers(&confirmation);
        }
    }
}
