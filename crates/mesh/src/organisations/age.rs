//! How old the version in force is: heard from the store or from the daemons that
//! tell this one, and told further.

use std::time::Duration;

use filbert_platform::store::SnapshotTime;
use filbert_policy::organisations::freshness::Confirmation;

use crate::messages::{micros, LinkMessage, VersionAge};
use crate::peers::Peer;
use crate::state::MeshShared;

impl VersionAge {
    fn of(confirmation: Confirmation) -> VersionAge {
        VersionAge {
            era: confirmation.era,
            version: confirmation.version,
            at_us: micros(confirmation.at),
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
    /// Whether the age of the version matters: keys are withdrawn by newer ones.
    fn keeps_age(&self) -> bool {
        !self.current_index().organisations().is_empty()
    }

    /// Takes word of the store that the version in force is its newest, and tells
    /// those that follow this daemon.
    pub fn version_was_confirmed(&self, snapshot_time: SnapshotTime) {
        if !self.keeps_age() {
            return;
        }
        let SnapshotTime { era, clock, asked } = snapshot_time;
        let version = self.versions.number();
        {
            let mut age = self.organisations.age.borrow_mut();
            age.record_clock_sample(era, clock, asked);
            let at = clock;
            age.confirm(Confirmation { era, version, at }, version);
        }
        self.tell_age();
    }

    /// Takes word of `upstream` on the age of the newest version.
    pub fn hear_age(&self, told: VersionAge, upstream: &Peer) {
        if !self.is_upstream(&upstream.address.id) {
            return;
        }
        let desk = &self.organisations;
        let before = desk.age.borrow().newest_confirmation();
        let version = self.versions.number();
        desk.age.borrow_mut().confirm(told.confirmation(), version);
        let now = self.clock.since_boot();
        if desk.age.borrow().needs_clock_sample(now) {
            upstream.ask_clock(now);
        }
        let is_news = desk.age.borrow().newest_confirmation() != before;
        if is_news && !self.members.is_source() {
            self.tell_age();
        }
    }

    /// Takes word on the store's clock: it showed `latest` at most, by the answer to
    /// a question asked at `asked`, since the own host's start.
    pub fn hear_clock(&self, era: u64, latest: Duration, asked: Duration) {
        let mut age = self.organisations.age.borrow_mut();
        age.record_clock_sample(era, latest, asked);
        age.update_for_version(self.versions.number());
    }

    /// What the store's clock shows, for a daemon that asked at `asked_us` of its own
    /// time; `None` when it is not known here either.
    #[must_use]
    pub fn store_clock(&self, asked_us: u64) -> Option<LinkMessage> {
        let age = self.organisations.age.borrow();
        let (era, latest) = age.store_clock(self.clock.since_boot())?;
        Some(LinkMessage::StoreClock {
            era,
            latest_us: micros(latest),
            asked_us,
        })
    }

    /// What this daemon knows of the age of the newest version.
    #[must_use]
    pub fn version_age(&self) -> Option<LinkMessage> {
        let newest_confirmation = self.organisations.age.borrow().newest_confirmation()?;
        Some(LinkMessage::VersionAge(VersionAge::of(newest_confirmation)))
    }

    fn tell_age(&self) {
        if let (Some(age), true) = (self.version_age(), self.members.is_reader()) {
            self.send_to_followers(&age);
        }
    }
}
