//! The daemon's one reducer: every control event goes through
//! [`ControlState::step`], which updates the state and returns the effects for
//! the shell to carry out. Nothing here does I/O or reads a clock.
//!
//! [`version`] decides what is in force, [`directory`] what targets there are,
//! [`zone`] who relays in this availability zone (by its [`lease`]), [`uplink`]
//! follows the relay, [`peers`] is the relay's side.

mod change;
mod directory;
mod lease;
mod pace;
mod peers;
mod settings;
mod uplink;
mod version;
mod zone;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_store::{
    DaemonStatus, DeltaPointer, LeaseRecord, TargetAnnouncement, TargetRecord, WriteCondition,
    ZoneDigest,
};
use filbert_tree::{RouteTable, TreeDelta, VersionRecord};
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::clock::ClockReading;
use crate::messages::{PeerMessage, RelayMessage};
use crate::settings::DistributionMode;
use crate::targets::ZoneTargets;
pub use change::StateChange;
use directory::TargetDirectory;
use peers::PeerTable;
pub use settings::ControlSettings;
use version::VersionState;
pub use zone::ZoneRole;
use zone::ZoneState;

/// The platform call an event reports on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformStep {
    /// Reading the `current` row.
    ReadCurrent,
    /// Fetching a version object.
    FetchVersion,
    /// Scanning the zone's target rows.
    ReadTargets,
    /// Reading or writing the zone's lease row.
    Lease,
    /// Writing another row.
    Write,
}

/// A lease row as read: the row's version and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// The row's version, for compare-and-set.
    pub version: u64,
    /// Its value.
    pub record: LeaseRecord,
}

/// Everything that can happen to the daemon's control state.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time passed.
    Tick,
    /// The `current` row names this version and its object (number 0 when
    /// there is none yet), and where the steps to it are, if anywhere.
    CurrentRead {
        number: u64,
        object: String,
        delta: Option<DeltaPointer>,
    },
    /// The steps to version `number` from `base` arrived, `bytes` long.
    DeltaFetched {
        base: u64,
        number: u64,
        delta: TreeDelta,
        bytes: usize,
    },
    /// A version object arrived, `bytes` long on the wire.
    VersionFetched {
        record: Arc<VersionRecord>,
        bytes: usize,
    },
    /// The zone's target rows.
    TargetsRead { records: Vec<TargetRecord> },
    /// A target on this host announced itself.
    Announced { announcement: TargetAnnouncement },
    /// A platform call failed.
    PlatformFailed { step: PlatformStep },
    /// The zone's lease row, or `None` when there is none.
    LeaseRead { row: Option<LeaseRow> },
    /// The zone's digest was not written, or its outcome is unknown.
    DigestUnwritten,
    /// A lease write took effect; the row as stored.
    LeaseWritten { row: LeaseRow },
    /// A lease write was refused; the row as it is now.
    LeaseRefused { row: Option<LeaseRow> },
    /// The relay at the end of link `link` sent a message.
    RelaySaid { link: u64, message: RelayMessage },
    /// Link `link` failed, was closed, or went silent.
    LinkDown { link: u64 },
    /// A peer sent a message.
    PeerSaid { peer: u64, message: PeerMessage },
    /// A peer's link closed.
    PeerGone { peer: u64 },
    /// A planned stop began.
    Stopping,
}

/// What the shell must do after a step.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Read the `current` row.
    ReadCurrent,
    /// Fetch version `number` from the object store.
    FetchVersion { number: u64, object: String },
    /// Fetch the steps to version `number` from the object store.
    FetchDelta { number: u64, pointer: DeltaPointer },
    /// Scan the zone's target rows.
    ReadTargets,
    /// Put this compiled version in force for the proxy.
    Apply { number: u64, table: Arc<RouteTable> },
    /// Give the proxy this view of the zone's targets.
    ShowTargets { targets: Arc<ZoneTargets> },
    /// Write a target's row.
    WriteTarget { record: TargetRecord },
    /// Write this daemon's status row.
    Report { status: DaemonStatus },
    /// Write the zone's digest row.
    WriteDigest { digest: ZoneDigest },
    /// Read the zone's lease row.
    ReadLease,
    /// Write the zone's lease row by compare-and-set.
    WriteLease {
        expect: WriteCondition,
        record: LeaseRecord,
    },
    /// Open link `link` to the relay at `address`.
    Connect { link: u64, address: String },
    /// Close link `link`.
    Disconnect { link: u64 },
    /// Send to the relay on link `link`.
    SendUp { link: u64, message: PeerMessage },
    /// Send to these peers.
    SendPeers {
        peers: Vec<u64>,
        message: Arc<RelayMessage>,
    },
    /// Close a peer's link once what was sent to it has left.
    DropPeer { peer: u64 },
    /// Record a change of state: a log line and, where one applies, a counter.
    Note { change: StateChange },
}

/// The status shown on the admin endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct StatusView {
    /// The daemon's id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// The version in force (0 before the first).
    pub applied: u64,
    /// A version that waits for its services' targets.
    pub staged: Option<u64>,
    /// The newest version refused, with the reason.
    pub rejected: Option<(u64, String)>,
    /// Whether the platform answered the last call, here or at the relay.
    pub platform_reachable: bool,
    /// Its part in the zone: `direct`, `seeking`, `follower`, `acting` or `leader`.
    pub role: String,
    /// The fencing token of the lease it holds or last saw.
    pub token: u64,
    /// Daemons linked to it, when it relays.
    pub peers: usize,
    /// Serving targets per service.
    pub targets: BTreeMap<String, usize>,
}

/// The reducer's state.
pub struct ControlState {
    settings: ControlSettings,
    at: ClockReading,
    versions: VersionState,
    directory: TargetDirectory,
    zone: ZoneState,
    peers: PeerTable,
    load_moves: BTreeMap<String, u32>,
    reading_current: bool,
    reading_targets: bool,
    platform_reachable: bool,
    platform_failures: u32,
    reported_at: Option<Instant>,
    rng: StdRng,
}

impl ControlState {
    /// A daemon that has applied nothing yet, started at `at`.
    #[must_use]
    pub fn new(settings: ControlSettings, at: ClockReading) -> ControlState {
        let mut rng = StdRng::seed_from_u64(settings.incarnation);
        let zone = ZoneState::new(&settings, at.now, &mut rng);
        ControlState {
            at,
            versions: VersionState::default(),
            directory: TargetDirectory::default(),
            zone,
            peers: PeerTable::default(),
            load_moves: BTreeMap::new(),
            reading_current: false,
            reading_targets: false,
            platform_reachable: true,
            platform_failures: 0,
            reported_at: None,
            rng,
            settings,
        }
    }

    /// The version in force.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.versions.applied
    }

    /// This daemon's part in its zone.
    #[must_use]
    pub fn role(&self) -> ZoneRole {
        self.zone.role
    }

    /// The status for the admin endpoint.
    #[must_use]
    pub fn view(&self) -> StatusView {
        StatusView {
            id: self.settings.id.clone(),
            zone: self.settings.zone.clone(),
            applied: self.versions.applied,
            staged: self.versions.staged_number(),
            rejected: self.versions.rejected.clone(),
            platform_reachable: match self.zone.role {
                ZoneRole::Follower => self.zone.relay_reaches_platform,
                _ => self.platform_reachable,
            },
            role: match self.settings.mode {
                DistributionMode::Direct => "direct".to_owned(),
                DistributionMode::Relay => self.zone.role.label().to_owned(),
            },
            token: self.zone.token,
            peers: self.peers.len(),
            targets: self.directory.shown.counts(),
        }
    }

    /// Applies one event, which happened at `at`, and returns what the shell
    /// must do.
    pub fn step(&mut self, at: ClockReading, event: ControlEvent) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        self.at = ClockReading {
            now: self.at.now.max(at.now),
            wall: at.wall,
        };
        self.check_lease(&mut effects);
        match event {
            ControlEvent::Tick => self.on_tick(&mut effects),
            ControlEvent::CurrentRead {
                number,
                object,
                delta,
            } => self.on_current(number, object, delta, &mut effects),
            ControlEvent::DeltaFetched {
                base,
                number,
                delta,
                bytes,
            } => self.on_delta_fetched(base, number, &delta, bytes, &mut effects),
            ControlEvent::VersionFetched { record, bytes } => {
                self.platform_answered(&mut effects);
                self.on_version(&record, bytes, &mut effects);
            }
            ControlEvent::TargetsRead { records } => self.on_targets_read(records, &mut effects),
            ControlEvent::Announced { announcement } => {
                self.on_announced(announcement, &mut effects);
            }
            ControlEvent::PlatformFailed { step } => self.on_platform_failed(step, &mut effects),
            ControlEvent::LeaseRead { row } => self.on_lease_read(row, &mut effects),
            ControlEvent::DigestUnwritten => self.peers.digest_dirty = true,
            ControlEvent::LeaseWritten { row } => self.on_lease_written(row, &mut effects),
            ControlEvent::LeaseRefused { row } => self.on_lease_refused(row, &mut effects),
            ControlEvent::RelaySaid { link, message } => {
                self.on_relay_said(link, message, &mut effects);
            }
            ControlEvent::LinkDown { link } => self.on_link_down(link, &mut effects),
            ControlEvent::PeerSaid { peer, message } => {
                self.on_peer_said(peer, message, &mut effects);
            }
            ControlEvent::PeerGone { peer } => self.on_peer_gone(peer),
            ControlEvent::Stopping => self.on_stopping(&mut effects),
        }
        effects
    }

    fn on_tick(&mut self, effects: &mut Vec<ControlEffect>) {
        self.expire_local(effects);
        match self.settings.mode {
            DistributionMode::Direct => self.tick_direct(effects),
            DistributionMode::Relay => self.tick_zone(effects),
        }
        self.apply_staged(effects);
        if self.directory.has_rows() {
            self.show_targets(effects);
        }
    }

    /// Every daemon for itself: polls the platform and keeps its own rows.
    fn tick_direct(&mut self, effects: &mut Vec<ControlEffect>) {
        if self.read_current_paced(self.settings.poll_interval, effects) {
            self.read_targets(effects);
        }
        self.refresh_rows(effects);
        self.refresh_report(effects);
    }

    fn read_current(&mut self, effects: &mut Vec<ControlEffect>) {
        if !self.reading_current {
            self.reading_current = true;
            effects.push(ControlEffect::ReadCurrent);
        }
    }

    fn read_targets(&mut self, effects: &mut Vec<ControlEffect>) {
        if !self.reading_targets {
            self.reading_targets = true;
            effects.push(ControlEffect::ReadTargets);
        }
    }

    /// Whether this daemon keeps its own rows in the platform: always in
    /// direct mode, and while it has no relay otherwise.
    fn uses_rows(&self) -> bool {
        match self.settings.mode {
            DistributionMode::Direct => true,
            DistributionMode::Relay => self.zone.role == ZoneRole::Seeking && self.zone.fell_back,
        }
    }

    fn on_platform_failed(&mut self, step: PlatformStep, effects: &mut Vec<ControlEffect>) {
        match step {
            PlatformStep::ReadCurrent => {
                self.reading_current = false;
                self.settle_floor(effects);
            }
            PlatformStep::FetchVersion => self.versions.fetch_failed(),
            PlatformStep::ReadTargets => self.reading_targets = false,
            PlatformStep::Lease => self.zone.lease_call_failed(),
            PlatformStep::Write => {}
        }
        self.platform_failures = self.platform_failures.saturating_add(1);
        if self.platform_reachable {
            self.platform_reachable = false;
            effects.push(ControlEffect::Note {
                change: StateChange::PlatformLost {
                    serving: self.versions.applied,
                },
            });
            self.tell_platform_state(effects);
        }
    }

    fn platform_answered(&mut self, effects: &mut Vec<ControlEffect>) {
        self.platform_failures = 0;
        if !self.platform_reachable {
            self.platform_reachable = true;
            effects.push(ControlEffect::Note {
                change: StateChange::PlatformBack,
            });
            self.tell_platform_state(effects);
        }
    }

    /// Reports what is in force: to the relay, in the digest, or in a row.
    fn report(&mut self, effects: &mut Vec<ControlEffect>) {
        self.peers.digest_dirty = true;
        let report = PeerMessage::Report {
            applied: self.versions.applied,
            rejected: self.versions.rejected.clone(),
        };
        self.send_up(report, effects);
        if self.uses_rows() {
            self.reported_at = Some(self.at.now);
            effects.push(ControlEffect::Report {
                status: DaemonStatus {
                    id: self.settings.id.clone(),
                    zone: self.settings.zone.clone(),
                    applied: self.versions.applied,
                    rejected: self.versions.rejected.clone(),
                    reported_at_ms: self.at.wall_ms(),
                },
            });
        }
    }

    fn refresh_report(&mut self, effects: &mut Vec<ControlEffect>) {
        let due = self
            .reported_at
            .is_none_or(|at| self.at.now.saturating_duration_since(at) >= self.settings.refresh);
        if due {
            self.report(effects);
        }
    }
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
