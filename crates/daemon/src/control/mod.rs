//! The daemon's control logic as a pure reducer. Every control event goes
//! through [`ControlState::step`], which updates the state and returns the
//! effects that the control loop executes. The reducer does no I/O and reads no
//! clock.
//!
//! - [`version`] selects the version in force.
//! - [`directory`] keeps the known targets.
//! - [`zone`] and [`lease`] elect the relay of the availability zone.
//! - [`uplink`] keeps the link to the zone's relay.
//! - [`peers`] serves the linked peers while this daemon is the relay.

mod change;
mod directory;
mod floor;
mod lease;
mod pace;
mod peers;
mod recovery;
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
use recovery::PeerRecovery;
pub use settings::ControlSettings;
use version::VersionState;
pub use zone::ZoneRole;
use zone::ZoneState;

/// The platform call that failed, as [`ControlEvent::PlatformFailed`] reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformStep {
    /// Reading the `current` row, which names the version in force.
    ReadCurrent,
    /// Fetching a version object or a delta.
    FetchVersion,
    /// Scanning the zone's target rows.
    ReadTargets,
    /// Reading or writing the zone's lease row.
    Lease,
    /// Writing any row other than the lease row.
    Write,
}

/// The lease row as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// The row's version, for compare-and-set.
    pub version: u64,
    /// The row's value.
    pub record: LeaseRecord,
}

/// The input of [`ControlState::step`].
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// The periodic timer fired.
    Tick,
    /// The `current` row was read. It names version `number` (0 when no version
    /// exists), its `object` in the object store, and a `delta` to it if one is
    /// stored.
    CurrentRead {
        number: u64,
        object: String,
        delta: Option<DeltaPointer>,
    },
    /// The `current` row was read, and its value is not one of ours.
    CurrentUnreadable,
    /// The store has no such object, or one that is not what the `current` row names it: the
    /// whole version `number`, or the delta to it.
    ObjectUnusable { number: u64, is_whole: bool },
    /// The delta from version `base` to version `number` was fetched, `bytes`
    /// long on the wire.
    DeltaFetched {
        base: u64,
        number: u64,
        delta: TreeDelta,
        bytes: usize,
    },
    /// A version object was fetched, `bytes` long on the wire.
    VersionFetched {
        record: Arc<VersionRecord>,
        bytes: usize,
    },
    /// The zone's target rows were scanned.
    TargetsRead { records: Vec<TargetRecord> },
    /// A target on this host announced itself.
    TargetAnnounced { announcement: TargetAnnouncement },
    /// A platform call failed.
    PlatformFailed { step: PlatformStep },
    /// The zone's lease row was read; `None` if it does not exist.
    LeaseRead { row: Option<LeaseRow> },
    /// Writing the zone's digest row failed, or its outcome is unknown.
    DigestWriteFailed,
    /// A lease write succeeded and stored `row`.
    LeaseWritten { row: LeaseRow },
    /// The compare-and-set of a lease write failed; `row` is what is stored, or
    /// `None` if the row does not exist.
    LeaseWriteRefused { row: Option<LeaseRow> },
    /// The relay sent a message on link `link`.
    RelayMessageReceived { link: u64, message: RelayMessage },
    /// Link `link` to the relay failed, was closed, or became unresponsive.
    LinkDown { link: u64 },
    /// A peer sent a message on its link, whose number is `peer`.
    PeerMessageReceived { peer: u64, message: PeerMessage },
    /// The link with number `peer` was closed.
    PeerDisconnected { peer: u64 },
    /// A graceful shutdown began.
    Stopping,
}

/// The output of [`ControlState::step`]: an action for the control loop to
/// execute.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Read the `current` row.
    ReadCurrent,
    /// Fetch version `number` whole, from `object` in the object store.
    FetchVersion { number: u64, object: String },
    /// Fetch the delta to version `number` from the object store.
    FetchDelta { number: u64, pointer: DeltaPointer },
    /// Scan the zone's target rows.
    ReadTargets,
    /// Make the proxy route calls by `table`, compiled from version `number`.
    Apply { number: u64, table: Arc<RouteTable> },
    /// Replace the proxy's view of the zone's targets.
    PublishTargets { targets: Arc<ZoneTargets> },
    /// Write a target's row.
    WriteTarget { record: TargetRecord },
    /// Write this daemon's status row.
    WriteStatus { status: DaemonStatus },
    /// Write the zone's digest row.
    WriteDigest { digest: ZoneDigest },
    /// Read the zone's lease row.
    ReadLease,
    /// Write the zone's lease row by compare-and-set, on condition `expect`.
    WriteLease {
        expect: WriteCondition,
        record: LeaseRecord,
    },
    /// Open a link with number `link` to the relay at `address`.
    Connect { link: u64, address: String },
    /// Close link `link` to the relay.
    Disconnect { link: u64 },
    /// Send `message` to the relay on link `link`.
    SendToRelay { link: u64, message: PeerMessage },
    /// Send `message` to each of `peers`.
    SendToPeers {
        peers: Vec<u64>,
        message: Arc<RelayMessage>,
    },
    /// Close the link of `peer` once the messages queued for it are sent.
    ClosePeer { peer: u64 },
    /// Log a state change and increment its counter, if it has one.
    RecordStateChange { change: StateChange },
}

/// The daemon's status, served as JSON by the admin endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct StatusView {
    /// The daemon's id.
    pub id: String,
    /// The availability zone the daemon belongs to.
    pub zone: String,
    /// The version in force (0 before the first).
    pub applied: u64,
    /// The version that waits for targets of its services, if any.
    pub staged: Option<u64>,
    /// The number of the newest rejected version, with the reason.
    pub rejected: Option<(u64, String)>,
    /// Whether the last platform call succeeded: the relay's for a follower, this
    /// daemon's own for any other role.
    pub platform_reachable: bool,
    /// The daemon's role in the zone: `direct`, `seeking`, `follower`, `acting`
    /// or `leader`.
    pub role: String,
    /// The fencing token of the lease that the daemon holds or last saw.
    pub token: u64,
    /// The number of linked peers, when the daemon is the relay.
    pub peers: usize,
    /// The number of targets that take new calls, per service.
    pub targets: BTreeMap<String, usize>,
}

/// The state of the control reducer.
pub struct ControlState {
    settings: ControlSettings,
    /// The time of the last event; its monotonic part never goes back.
    at: ClockReading,
    versions: VersionState,
    directory: TargetDirectory,
    zone: ZoneState,
    peers: PeerTable,
    recovery: PeerRecovery,
    /// Loads by target address that the next batch passes on.
    pending_loads: BTreeMap<String, u32>,
    current_read_pending: bool,
    target_scan_pending: bool,
    /// Whether the last platform call succeeded.
    platform_reachable: bool,
    /// Platform calls that failed since the last one that succeeded.
    platform_failures: u32,
    status_written_at: Option<Instant>,
    rng: StdRng,
}

impl ControlState {
    /// Returns the state of a daemon that started at `at` and has applied no
    /// version yet.
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
            recovery: PeerRecovery::default(),
            pending_loads: BTreeMap::new(),
            current_read_pending: false,
            target_scan_pending: false,
            platform_reachable: true,
            platform_failures: 0,
            status_written_at: None,
            rng,
            settings,
        }
    }

    /// The number of the version in force (0 before the first).
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.versions.applied
    }

    /// This daemon's role in its zone.
    #[must_use]
    pub fn role(&self) -> ZoneRole {
        self.zone.role
    }

    /// Returns the status for the admin endpoint.
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
            targets: self.directory.published.counts(),
        }
    }

    /// Handles an event that happened at `at` and returns the effects to execute,
    /// in order. An expired lease is given up before the event is handled.
    pub fn step(&mut self, at: ClockReading, event: ControlEvent) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        self.at = ClockReading {
            now: self.at.now.max(at.now),
            wall: at.wall,
        };
        self.expire_held_lease(&mut effects);
        match event {
            ControlEvent::Tick => self.on_tick(&mut effects),
            ControlEvent::CurrentRead {
                number,
                object,
                delta,
            } => self.on_current_read(number, object, delta, &mut effects),
            ControlEvent::CurrentUnreadable => self.on_current_unreadable(&mut effects),
            ControlEvent::ObjectUnusable { number, is_whole } => {
                self.on_object_unusable(number, is_whole, &mut effects);
            }
            ControlEvent::DeltaFetched {
                base,
                number,
                delta,
                bytes,
            } => self.on_delta_fetched(base, number, &delta, bytes, &mut effects),
            ControlEvent::VersionFetched { record, bytes } => {
                self.on_platform_answered(&mut effects);
                self.on_version(&record, bytes, &mut effects);
            }
            ControlEvent::TargetsRead { records } => self.on_targets_read(records, &mut effects),
            ControlEvent::TargetAnnounced { announcement } => {
                self.on_announced(announcement, &mut effects);
            }
            ControlEvent::PlatformFailed { step } => self.on_platform_failed(step, &mut effects),
            ControlEvent::LeaseRead { row } => self.on_lease_read(row, &mut effects),
            ControlEvent::DigestWriteFailed => self.peers.digest_dirty = true,
            ControlEvent::LeaseWritten { row } => self.on_lease_written(row, &mut effects),
            ControlEvent::LeaseWriteRefused { row } => self.on_lease_refused(row, &mut effects),
            ControlEvent::RelayMessageReceived { link, message } => {
                self.on_relay_message(link, message, &mut effects);
            }
            ControlEvent::LinkDown { link } => self.on_link_down(link, &mut effects),
            ControlEvent::PeerMessageReceived { peer, message } => {
                self.on_peer_message(peer, message, &mut effects);
            }
            ControlEvent::PeerDisconnected { peer } => self.on_peer_disconnected(peer),
            ControlEvent::Stopping => self.on_stopping(&mut effects),
        }
        effects
    }

    fn on_tick(&mut self, effects: &mut Vec<ControlEffect>) {
        self.expire_local_targets(effects);
        match self.settings.mode {
            DistributionMode::Direct => self.tick_direct(effects),
            DistributionMode::Relay => self.tick_zone(effects),
        }
        self.apply_staged(effects);
        if self.directory.has_scanned_rows() {
            self.publish_targets(effects);
        }
    }

    /// Handles a tick in direct mode: polls the platform and refreshes this
    /// daemon's own rows there.
    fn tick_direct(&mut self, effects: &mut Vec<ControlEffect>) {
        if self.read_current_if_due(self.settings.poll_interval, effects) {
            self.read_targets(effects);
        }
        self.refresh_target_rows(effects);
        self.refresh_status(effects);
    }

    fn read_current(&mut self, effects: &mut Vec<ControlEffect>) {
        if !self.current_read_pending {
            self.current_read_pending = true;
            effects.push(ControlEffect::ReadCurrent);
        }
    }

    fn read_targets(&mut self, effects: &mut Vec<ControlEffect>) {
        if !self.target_scan_pending {
            self.target_scan_pending = true;
            effects.push(ControlEffect::ReadTargets);
        }
    }

    /// Whether this daemon publishes its targets and status as platform rows:
    /// always in direct mode; in relay mode only after it fell back for lack of a
    /// relay.
    fn publishes_own_rows(&self) -> bool {
        match self.settings.mode {
            DistributionMode::Direct => true,
            DistributionMode::Relay => {
                self.zone.role == ZoneRole::Seeking && self.zone.fallback_active
            }
        }
    }

    fn on_platform_failed(&mut self, step: PlatformStep, effects: &mut Vec<ControlEffect>) {
        match step {
            PlatformStep::ReadCurrent => {
                self.current_read_pending = false;
                self.on_floor_known(effects);
            }
            PlatformStep::FetchVersion => self.versions.on_fetch_failed(),
            PlatformStep::ReadTargets => self.target_scan_pending = false,
            PlatformStep::Lease => self.zone.on_lease_call_failed(),
            PlatformStep::Write => {}
        }
        self.platform_failures = self.platform_failures.saturating_add(1);
        if self.platform_reachable {
            self.platform_reachable = false;
            effects.push(ControlEffect::RecordStateChange {
                change: StateChange::PlatformLost {
                    serving: self.versions.applied,
                },
            });
            self.broadcast_platform_state(effects);
        }
    }

    fn on_platform_answered(&mut self, effects: &mut Vec<ControlEffect>) {
        self.platform_failures = 0;
        if !self.platform_reachable {
            self.platform_reachable = true;
            effects.push(ControlEffect::RecordStateChange {
                change: StateChange::PlatformBack,
            });
            self.broadcast_platform_state(effects);
        }
    }

    /// Reports the applied and the rejected version: to the relay, in the zone's
    /// digest and, where this daemon publishes its own rows, in its status row.
    fn report(&mut self, effects: &mut Vec<ControlEffect>) {
        self.peers.digest_dirty = true;
        let report = PeerMessage::Report {
            applied: self.versions.applied,
            rejected: self.versions.rejected.clone(),
        };
        self.send_to_relay(report, effects);
        if self.publishes_own_rows() {
            self.status_written_at = Some(self.at.now);
            effects.push(ControlEffect::WriteStatus {
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

    fn refresh_status(&mut self, effects: &mut Vec<ControlEffect>) {
        let due = self.status_written_at.is_none_or(|at| {
            self.at.now.saturating_duration_since(at) >= self.settings.row_refresh_interval
        });
        if due {
            self.report(effects);
        }
    }
}

/// Converts to whole milliseconds; a value beyond `u64::MAX` saturates.
fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
