//! The daemon's one reducer: every control event goes through
//! [`ControlState::step`], which updates the state and returns the effects for
//! the shell to carry out. Nothing here does I/O or reads a clock.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use filbert_platform::{DaemonStatus, TargetAnnouncement, TargetRecord};
use filbert_tree::{RouteTable, VersionRecord};

use crate::targets::ZoneTargets;

/// The platform call an event reports on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformStep {
    /// Reading the `current` row.
    ReadCurrent,
    /// Fetching a version object.
    FetchVersion,
    /// Scanning the zone's target rows.
    ReadTargets,
    /// Writing a row.
    Write,
}

/// Everything that can happen to the daemon's control state.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time passed; `wall_ms` is wall time in milliseconds since the epoch.
    Tick { wall_ms: u64 },
    /// The `current` row names this version and its object (number 0 when
    /// there is none yet).
    CurrentRead { number: u64, object: String },
    /// A version object arrived, `bytes` long on the wire.
    VersionFetched {
        record: Arc<VersionRecord>,
        bytes: usize,
    },
    /// The zone's target rows.
    TargetsRead { records: Vec<TargetRecord> },
    /// A target on this host announced itself.
    Announced {
        announcement: TargetAnnouncement,
        wall_ms: u64,
    },
    /// A platform call failed.
    PlatformFailed { step: PlatformStep },
}

/// What the shell must do after a step.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Read the `current` row.
    ReadCurrent,
    /// Fetch version `number` from the object store.
    FetchVersion { number: u64, object: String },
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
    /// Record a change of state: a log line and, where one applies, a counter.
    Note { change: StateChange },
}

/// A change of state worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A version was put in force.
    Applied { from: u64, to: u64, bytes: usize },
    /// A version was refused whole; the previous one stays in force.
    Rejected { number: u64, reason: String },
    /// The platform stopped answering; the last applied version stays in force.
    PlatformLost { serving: u64 },
    /// The platform answers again.
    PlatformBack,
    /// A target on this host joined.
    TargetJoined { service: String, address: String },
    /// A target on this host is leaving.
    TargetLeaving { service: String, address: String },
}

impl fmt::Display for StateChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateChange::Applied { from, to, bytes } => {
                write!(formatter, "event=applied from={from} to={to} bytes={bytes}")
            }
            StateChange::Rejected { number, reason } => {
                write!(
                    formatter,
                    "event=rejected version={number} reason={reason:?}"
                )
            }
            StateChange::PlatformLost { serving } => {
                write!(formatter, "event=platform_lost serving={serving}")
            }
            StateChange::PlatformBack => write!(formatter, "event=platform_back"),
            StateChange::TargetJoined { service, address } => {
                write!(
                    formatter,
                    "event=target_joined service={service} address={address}"
                )
            }
            StateChange::TargetLeaving { service, address } => {
                write!(
                    formatter,
                    "event=target_leaving service={service} address={address}"
                )
            }
        }
    }
}

/// Fixed inputs of the reducer, from the daemon's settings.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The daemon's id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// A target not heard from for this long is dropped.
    pub target_expiry: Duration,
    /// How often the status row and local target rows are rewritten.
    pub refresh: Duration,
}

/// A target on this host, as last announced.
#[derive(Clone, Debug)]
struct LocalTarget {
    record: TargetRecord,
    written_at_ms: u64,
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
    /// The newest version refused, with the reason.
    pub rejected: Option<(u64, String)>,
    /// Whether the platform answered the last call.
    pub platform_reachable: bool,
    /// Serving targets per service.
    pub targets: BTreeMap<String, usize>,
}

/// The reducer's state.
pub struct ControlState {
    settings: ControlSettings,
    applied: u64,
    rejected: Option<(u64, String)>,
    reading_current: bool,
    reading_targets: bool,
    fetching: Option<u64>,
    platform_reachable: bool,
    local: BTreeMap<String, LocalTarget>,
    remote: Vec<TargetRecord>,
    remote_read_at_ms: u64,
    shown: Arc<ZoneTargets>,
    reported_at_ms: u64,
    wall_ms: u64,
}

impl ControlState {
    /// A daemon that has applied nothing yet.
    #[must_use]
    pub fn new(settings: ControlSettings) -> ControlState {
        ControlState {
            settings,
            applied: 0,
            rejected: None,
            reading_current: false,
            reading_targets: false,
            fetching: None,
            platform_reachable: true,
            local: BTreeMap::new(),
            remote: Vec::new(),
            remote_read_at_ms: 0,
            shown: Arc::new(ZoneTargets::default()),
            reported_at_ms: 0,
            wall_ms: 0,
        }
    }

    /// The version in force.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The status for the admin endpoint.
    #[must_use]
    pub fn view(&self) -> StatusView {
        StatusView {
            id: self.settings.id.clone(),
            zone: self.settings.zone.clone(),
            applied: self.applied,
            rejected: self.rejected.clone(),
            platform_reachable: self.platform_reachable,
            targets: self.shown.counts(),
        }
    }

    /// Applies one event and returns what the shell must do.
    pub fn step(&mut self, event: ControlEvent) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        match event {
            ControlEvent::Tick { wall_ms } => self.on_tick(wall_ms, &mut effects),
            ControlEvent::CurrentRead { number, object } => {
                self.on_current(number, object, &mut effects);
            }
            ControlEvent::VersionFetched { record, bytes } => {
                self.on_version(&record, bytes, &mut effects);
            }
            ControlEvent::TargetsRead { records } => {
                self.reading_targets = false;
                self.platform_answered(&mut effects);
                self.remote = records;
                self.remote_read_at_ms = self.wall_ms;
                self.show_targets(&mut effects);
            }
            ControlEvent::Announced {
                announcement,
                wall_ms,
            } => {
                self.wall_ms = self.wall_ms.max(wall_ms);
                self.on_announced(announcement, &mut effects);
            }
            ControlEvent::PlatformFailed { step } => self.on_platform_failed(step, &mut effects),
        }
        effects
    }

    fn on_tick(&mut self, wall_ms: u64, effects: &mut Vec<ControlEffect>) {
        self.wall_ms = self.wall_ms.max(wall_ms);
        if !self.reading_current {
            self.reading_current = true;
            effects.push(ControlEffect::ReadCurrent);
        }
        if !self.reading_targets {
            self.reading_targets = true;
            effects.push(ControlEffect::ReadTargets);
        }
        let refresh_ms = duration_ms(self.settings.refresh);
        for local in self.local.values_mut() {
            if self.wall_ms.saturating_sub(local.written_at_ms) >= refresh_ms {
                local.written_at_ms = self.wall_ms;
                effects.push(ControlEffect::WriteTarget {
                    record: local.record.clone(),
                });
            }
        }
        if self.wall_ms.saturating_sub(self.reported_at_ms) >= refresh_ms {
            self.report(effects);
        }
        self.show_targets(effects);
    }

    fn on_current(&mut self, number: u64, object: String, effects: &mut Vec<ControlEffect>) {
        self.reading_current = false;
        self.platform_answered(effects);
        let already_refused = self
            .rejected
            .as_ref()
            .is_some_and(|(refused, _)| *refused == number);
        let already_fetching = self.fetching.is_some_and(|fetching| fetching >= number);
        if number > self.applied && !already_refused && !already_fetching {
            self.fetching = Some(number);
            effects.push(ControlEffect::FetchVersion { number, object });
        }
    }

    fn on_version(
        &mut self,
        record: &VersionRecord,
        bytes: usize,
        effects: &mut Vec<ControlEffect>,
    ) {
        if self.fetching == Some(record.number) {
            self.fetching = None;
        }
        self.platform_answered(effects);
        // Guards against moving back: a fetch that was overtaken by a newer
        // version (updates crossing in flight) arrives after the newer one was
        // applied. Applying it would put an older version in force, so it is
        // dropped; `applied` only ever grows.
        if record.number <= self.applied {
            return;
        }
        // Guards against applying a bad version in part: the whole tree is
        // checked before anything is compiled, and only a compiled table is
        // handed to the proxy, in one swap.
        if let Err(problems) = record.tree.validate() {
            let reason = problems.to_string();
            self.rejected = Some((record.number, reason.clone()));
            effects.push(ControlEffect::Note {
                change: StateChange::Rejected {
                    number: record.number,
                    reason,
                },
            });
            self.report(effects);
            return;
        }
        let table = Arc::new(RouteTable::compile(&record.tree));
        let from = self.applied;
        self.applied = record.number;
        effects.push(ControlEffect::Apply {
            number: record.number,
            table,
        });
        effects.push(ControlEffect::Note {
            change: StateChange::Applied {
                from,
                to: record.number,
                bytes,
            },
        });
        self.report(effects);
    }

    fn on_announced(&mut self, announcement: TargetAnnouncement, effects: &mut Vec<ControlEffect>) {
        let record = TargetRecord {
            service: announcement.service.clone(),
            address: announcement.address.clone(),
            zone: self.settings.zone.clone(),
            load: announcement.load,
            leaving: announcement.leaving,
            heard_at_ms: self.wall_ms,
        };
        let previous = self
            .local
            .get(&announcement.address)
            .map(|local| local.record.clone());
        let changed = previous.as_ref().is_none_or(|old| {
            old.leaving != record.leaving
                || old.service != record.service
                || old.load != record.load
        });
        match &previous {
            None => effects.push(ControlEffect::Note {
                change: StateChange::TargetJoined {
                    service: record.service.clone(),
                    address: record.address.clone(),
                },
            }),
            Some(old) if record.leaving && !old.leaving => effects.push(ControlEffect::Note {
                change: StateChange::TargetLeaving {
                    service: record.service.clone(),
                    address: record.address.clone(),
                },
            }),
            Some(_) => {}
        }
        let unchanged_since = previous
            .filter(|_| !changed)
            .map(|_| self.local[&announcement.address].written_at_ms);
        let written_at_ms = unchanged_since.unwrap_or_else(|| {
            effects.push(ControlEffect::WriteTarget {
                record: record.clone(),
            });
            self.wall_ms
        });
        self.local.insert(
            announcement.address,
            LocalTarget {
                record,
                written_at_ms,
            },
        );
        self.show_targets(effects);
    }

    fn on_platform_failed(&mut self, step: PlatformStep, effects: &mut Vec<ControlEffect>) {
        match step {
            PlatformStep::ReadCurrent => self.reading_current = false,
            PlatformStep::FetchVersion => self.fetching = None,
            PlatformStep::ReadTargets => self.reading_targets = false,
            PlatformStep::Write => {}
        }
        if self.platform_reachable {
            self.platform_reachable = false;
            effects.push(ControlEffect::Note {
                change: StateChange::PlatformLost {
                    serving: self.applied,
                },
            });
        }
    }

    fn platform_answered(&mut self, effects: &mut Vec<ControlEffect>) {
        if !self.platform_reachable {
            self.platform_reachable = true;
            effects.push(ControlEffect::Note {
                change: StateChange::PlatformBack,
            });
        }
    }

    fn report(&mut self, effects: &mut Vec<ControlEffect>) {
        self.reported_at_ms = self.wall_ms;
        effects.push(ControlEffect::Report {
            status: DaemonStatus {
                id: self.settings.id.clone(),
                zone: self.settings.zone.clone(),
                applied: self.applied,
                rejected: self.rejected.clone(),
                reported_at_ms: self.wall_ms,
            },
        });
    }

    /// Rebuilds the proxy's view: this host's targets as announced, others'
    /// as last read, both dropped once not heard from within the expiry.
    ///
    /// Guards against a zone cut off from the platform losing its other
    /// hosts' targets: while scans fail, those rows cannot be refreshed, and
    /// judging their age by the clock would expire every live target after
    /// the expiry (seen as 503s for services with no target on this host).
    /// Their age is judged as of the last scan instead; a target that died
    /// meanwhile refuses connections, which the proxy retries elsewhere.
    fn show_targets(&mut self, effects: &mut Vec<ControlEffect>) {
        let expiry_ms = duration_ms(self.settings.target_expiry);
        let fresh_at = |at_ms: u64| {
            move |record: &&TargetRecord| at_ms.saturating_sub(record.heard_at_ms) <= expiry_ms
        };
        let local = self
            .local
            .values()
            .map(|local| &local.record)
            .filter(fresh_at(self.wall_ms));
        let remote = self
            .remote
            .iter()
            .filter(|record| !self.local.contains_key(&record.address))
            .filter(fresh_at(self.remote_read_at_ms));
        let view = ZoneTargets::from_records(local.chain(remote));
        if *self.shown != view {
            self.shown = Arc::new(view);
            effects.push(ControlEffect::ShowTargets {
                targets: Arc::clone(&self.shown),
            });
        }
    }
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
