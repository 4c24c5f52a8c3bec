//! Versions of the settings: which one is applied, which one is staged until its
//! services have targets, and which one was rejected.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use filbert_store::DeltaPointer;
use filbert_tree::{RouteTable, TreeDelta, VersionCodec, VersionRecord};

use super::floor::VersionFloor;
use super::{ControlEffect, ControlState, StateChange};
use crate::messages::{PeerMessage, VersionUpdate};

/// Maximum number of recent versions kept as bases for deltas.
const MAX_DELTA_BASES: usize = 8;

/// A valid version that waits for its services' targets before it is applied.
#[derive(Debug)]
struct StagedVersion {
    record: Arc<VersionRecord>,
    table: Arc<RouteTable>,
    bytes: usize,
    staged_at: Instant,
}

/// A version kept as a base for deltas, in its encoded form: a decoded tree takes
/// about twenty times the memory, and most bases are never used.
#[derive(Debug)]
struct DeltaBase {
    number: u64,
    bytes: Vec<u8>,
}

/// The versions known to this daemon.
#[derive(Debug, Default)]
pub(super) struct VersionState {
    /// The number of the applied version (0 before the first).
    pub(super) applied: u64,
    /// The newest version rejected, with the reason.
    pub(super) rejected: Option<(u64, String)>,
    /// The newest version received, whether applied or not.
    pub(super) newest: Option<Arc<VersionRecord>>,
    /// The lowest version that may be applied.
    pub(super) floor: VersionFloor,
    /// Whether a read of the `current` row has succeeded or failed since the start.
    pub(super) floor_known: bool,
    /// A version from the relay that is held back until the floor is known.
    awaiting_floor: Option<VersionRecord>,
    /// The version being fetched from the platform.
    fetching: Option<u64>,
    /// Set after a failed fetch or a delta that could not be applied: the next
    /// fetch gets the full version.
    needs_full_fetch: bool,
    /// The compiled routes of the applied version.
    active_table: Arc<RouteTable>,
    bases: VecDeque<DeltaBase>,
    staged: Option<StagedVersion>,
}

impl VersionState {
    /// The number of the newest version received (0 for none).
    pub(super) fn newest_number(&self) -> u64 {
        self.newest.as_ref().map_or(0, |record| record.number)
    }

    /// Whether version `number` is kept as a base for a delta.
    fn has_base(&self, number: u64) -> bool {
        self.bases.iter().any(|base| base.number == number)
    }

    /// The version `number`, decoded, if it is kept as a base for a delta.
    pub(super) fn base(&self, number: u64) -> Option<VersionRecord> {
        let base = self.bases.iter().find(|base| base.number == number)?;
        VersionCodec::decode(&base.bytes).ok()
    }

    /// The number of the staged version, if any.
    pub(super) fn staged_number(&self) -> Option<u64> {
        self.staged.as_ref().map(|staged| staged.record.number)
    }

    /// Handles a failed fetch. The next read of `current` starts a fetch of the
    /// full version, since the missing object may be the stored delta.
    pub(super) fn on_fetch_failed(&mut self) {
        self.fetching = None;
        self.needs_full_fetch = true;
    }

    fn add_base(&mut self, record: &VersionRecord) {
        self.bases.push_back(DeltaBase {
            number: record.number,
            bytes: VersionCodec::encode(record),
        });
        while self.bases.len() > MAX_DELTA_BASES {
            self.bases.pop_front();
        }
    }

    /// Applies `delta` to the kept version `base`. Returns `None` if that version
    /// is not kept or the delta cannot be applied to it.
    fn apply_delta(&self, base: u64, number: u64, delta: &TreeDelta) -> Option<VersionRecord> {
        let tree = delta.apply(&self.base(base)?.tree).ok()?;
        Some(VersionRecord {
            number,
            parent: base,
            restores: None,
            parent_object: None,
            tree,
        })
    }

    fn is_known(&self, number: u64) -> bool {
        let rejected = self
            .rejected
            .as_ref()
            .is_some_and(|(rejected, _)| *rejected >= number);
        number <= self.applied || rejected || number <= self.newest_number()
    }
}

impl ControlState {
    pub(super) fn on_current_read(
        &mut self,
        number: u64,
        object: String,
        delta: Option<DeltaPointer>,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.current_read_pending = false;
        self.on_platform_answered(effects);
        self.versions.floor.set_named(number);
        self.on_floor_known(effects);
        self.apply_held_back(effects);
        let already_fetching = self
            .versions
            .fetching
            .is_some_and(|fetching| fetching >= number);
        // A version of the relay that is held back waits for this very fetch.
        let left_to_relay = self.relay_provides_versions() && !self.versions.floor.holds_back();
        let wanted = number > 0
            && !self.versions.is_known(number)
            && self.versions.floor.is_fetch_due(number, self.at.now);
        if wanted && !already_fetching && !left_to_relay {
            self.versions.fetching = Some(number);
            let usable_delta = delta
                .filter(|_| !self.versions.needs_full_fetch)
                .filter(|pointer| self.versions.has_base(pointer.base));
            effects.push(match usable_delta {
                Some(pointer) => ControlEffect::FetchDelta { number, pointer },
                None => ControlEffect::FetchVersion { number, object },
            });
        }
    }

    /// Handles a delta fetched from the platform. If the delta cannot be applied,
    /// the full version is fetched at the next read of `current`.
    pub(super) fn on_delta_fetched(
        &mut self,
        base: u64,
        number: u64,
        delta: &TreeDelta,
        bytes: usize,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.on_platform_answered(effects);
        if let Some(record) = self.versions.apply_delta(base, number, delta) {
            self.on_version(&Arc::new(record), bytes, effects);
        } else {
            self.versions.on_fetch_failed();
        }
    }

    /// Handles a `current` row that is none of ours.
    pub(super) fn on_current_unreadable(&mut self, effects: &mut Vec<ControlEffect>) {
        self.on_current_read(0, String::new(), None, effects);
        self.on_version_missing(0, effects);
    }

    /// Handles an object that the store does not have or that is not what the `current` row
    /// names it: the whole version `number`, or the delta to it.
    pub(super) fn on_object_unusable(
        &mut self,
        number: u64,
        is_whole: bool,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.on_platform_answered(effects);
        self.versions.on_fetch_failed();
        if is_whole {
            self.on_version_missing(number, effects);
        }
    }

    fn on_version_missing(&mut self, number: u64, effects: &mut Vec<ControlEffect>) {
        if self.versions.floor.set_missing(number, self.at.now) {
            let change = StateChange::CurrentUnusable { number };
            effects.push(ControlEffect::RecordStateChange { change });
        }
        self.apply_held_back(effects);
        self.request_version_of_peers(effects);
    }

    /// Handles the version that was held back, if the floor allows it now.
    fn apply_held_back(&mut self, effects: &mut Vec<ControlEffect>) {
        if let Some(record) = self.versions.floor.take_allowed() {
            let bytes = VersionCodec::encode(&record).len();
            self.on_version(&record, bytes, effects);
        }
    }

    /// Marks the floor as known, after a read of `current` that succeeded or
    /// failed, and handles the version that was held back until then.
    pub(super) fn on_floor_known(&mut self, effects: &mut Vec<ControlEffect>) {
        self.versions.floor_known = true;
        if let Some(record) = self.versions.awaiting_floor.take() {
            self.on_version_update(VersionUpdate::Full(record), effects);
        }
    }

    pub(super) fn on_version_update(
        &mut self,
        update: VersionUpdate,
        effects: &mut Vec<ControlEffect>,
    ) {
        match update {
            VersionUpdate::Full(record) if !self.versions.floor_known => {
                self.versions.awaiting_floor = Some(record);
            }
            VersionUpdate::Full(record) => {
                let bytes = VersionCodec::encode(&record).len();
                self.on_version(&Arc::new(record), bytes, effects);
            }
            VersionUpdate::Delta {
                base,
                number,
                delta,
            } => {
                let Some(record) = self.versions.apply_delta(base, number, &delta) else {
                    self.send_to_relay(PeerMessage::RequestFullVersion, effects);
                    return;
                };
                let bytes = VersionCodec::encode_delta(&delta).len();
                self.on_version(&Arc::new(record), bytes, effects);
            }
        }
    }

    pub(super) fn on_version(
        &mut self,
        record: &Arc<VersionRecord>,
        bytes: usize,
        effects: &mut Vec<ControlEffect>,
    ) {
        if self.versions.fetching == Some(record.number) {
            self.versions.fetching = None;
            self.versions.needs_full_fetch = false;
        }
        // Drops an older version, so that `applied` only ever increases. When
        // updates cross in flight, a fetched version can arrive after a newer
        // one has been applied.
        if record.number <= self.versions.applied {
            return;
        }
        if !self.versions.floor.allows(record.number) {
            if self.versions.floor.hold_back(record) {
                self.read_current(effects);
            }
            return;
        }
        if self.versions.staged_number() >= Some(record.number) {
            return;
        }
        if record.number > self.versions.newest_number() {
            self.versions.newest = Some(Arc::clone(record));
        }
        // Validates the whole tree before compiling any of it. The proxy gets
        // only a complete compiled table, in one swap, so an invalid version
        // is never applied in part.
        match record.tree.validate() {
            Ok(()) => {
                self.versions.add_base(record);
                self.stage(record, bytes, effects);
            }
            Err(problems) => self.reject(record.number, &problems.to_string(), effects),
        }
        self.push_newest_version(effects);
    }

    fn reject(&mut self, number: u64, reason: &str, effects: &mut Vec<ControlEffect>) {
        let last_rejected = self.versions.rejected.as_ref();
        if last_rejected.is_some_and(|(rejected, _)| *rejected == number) {
            return;
        }
        self.versions.rejected = Some((number, reason.to_owned()));
        effects.push(ControlEffect::RecordStateChange {
            change: StateChange::Rejected {
                number,
                reason: reason.to_owned(),
            },
        });
        self.report(effects);
    }

    fn stage(
        &mut self,
        record: &Arc<VersionRecord>,
        bytes: usize,
        effects: &mut Vec<ControlEffect>,
    ) {
        let staged = StagedVersion {
            record: Arc::clone(record),
            table: Arc::new(RouteTable::compile(&record.tree)),
            bytes,
            staged_at: self.at.now,
        };
        let missing = self.services_without_targets(&staged.table);
        if !missing.is_empty() {
            effects.push(ControlEffect::RecordStateChange {
                change: StateChange::Staged {
                    number: record.number,
                    services: missing.into_iter().collect(),
                },
            });
        }
        self.versions.staged = Some(staged);
        self.apply_staged(effects);
    }

    /// Applies the staged version once each newly used service has a known
    /// target, or once `staging_timeout` has passed. The first version is
    /// applied at once.
    ///
    /// Until then the old routes stay active. Without this wait, calls are
    /// refused right after a change that routes them to a new service, since
    /// this proxy does not know that service's targets yet. After the timeout
    /// the version is applied regardless, since an accepted version must take
    /// effect; the proxy itself then answers calls to a service without
    /// targets with `not-run`, and sends them to no target.
    pub(super) fn apply_staged(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(staged) = self.versions.staged.take() else {
            return;
        };
        let waited = self.at.now.saturating_duration_since(staged.staged_at);
        let waits = waited < self.settings.staging_timeout
            && self.versions.applied > 0
            && !self.services_without_targets(&staged.table).is_empty();
        if waits {
            self.versions.staged = Some(staged);
            return;
        }
        let from = self.versions.applied;
        let number = staged.record.number;
        self.versions.applied = number;
        self.versions.active_table = Arc::clone(&staged.table);
        effects.push(ControlEffect::Apply {
            number,
            table: staged.table,
        });
        effects.push(ControlEffect::RecordStateChange {
            change: StateChange::Applied {
                from,
                to: number,
                bytes: staged.bytes,
            },
        });
        self.report(effects);
    }

    /// The services that `table` uses, the active table does not use, and no
    /// known target serves.
    fn services_without_targets(&self, table: &RouteTable) -> BTreeSet<String> {
        let used: BTreeSet<&str> = self.versions.active_table.services().into_iter().collect();
        table
            .services()
            .into_iter()
            .filter(|service| !used.contains(service))
            .filter(|service| self.directory.published.serving(service).next().is_none())
            .map(str::to_owned)
            .collect()
    }
}
