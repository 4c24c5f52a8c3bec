//! Which version is in force, which one waits, and which ones are refused.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use filbert_store::DeltaPointer;
use filbert_tree::{RouteTable, TreeDelta, VersionCodec, VersionRecord};

use super::{ControlEffect, ControlState, StateChange};
use crate::messages::{PeerMessage, VersionUpdate};

/// Older versions kept as bases for deltas to peers.
const BASES_KEPT: usize = 8;

/// A version that waits for its services' targets.
#[derive(Debug)]
struct StagedVersion {
    record: Arc<VersionRecord>,
    table: Arc<RouteTable>,
    bytes: usize,
    since: Instant,
}

/// An older version kept as a base for deltas. Kept encoded: a decoded tree
/// takes some twenty times the memory, and most bases are never used.
#[derive(Debug)]
struct KeptBase {
    number: u64,
    bytes: Vec<u8>,
}

/// The versions this daemon knows.
#[derive(Debug, Default)]
pub(super) struct VersionState {
    /// The version in force (0 before the first).
    pub(super) applied: u64,
    /// The newest version refused, with the reason.
    pub(super) rejected: Option<(u64, String)>,
    /// The newest version received, in force or not.
    pub(super) newest: Option<Arc<VersionRecord>>,
    /// No version below this is applied (see [`ControlState::raise_floor`]).
    pub(super) floor: u64,
    /// Whether the `current` row was read, or found unreadable, since the start.
    pub(super) floor_known: bool,
    /// A relay's version that waits for the floor to be known.
    awaiting_floor: Option<VersionRecord>,
    fetching: Option<u64>,
    /// Set when steps from the platform did not fit; the next fetch is whole.
    delta_misfit: bool,
    in_force: Arc<RouteTable>,
    bases: VecDeque<KeptBase>,
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

    /// The kept version `number`, as a base for a delta.
    pub(super) fn base(&self, number: u64) -> Option<VersionRecord> {
        let base = self.bases.iter().find(|base| base.number == number)?;
        VersionCodec::decode(&base.bytes).ok()
    }

    /// The version that waits for targets, if any.
    pub(super) fn staged_number(&self) -> Option<u64> {
        self.staged.as_ref().map(|staged| staged.record.number)
    }

    /// The fetch under way failed; the next read of `current` starts another,
    /// of the whole version, since stored steps may be what is missing.
    pub(super) fn fetch_failed(&mut self) {
        self.fetching = None;
        self.delta_misfit = true;
    }

    fn keep_base(&mut self, record: &VersionRecord) {
        self.bases.push_back(KeptBase {
            number: record.number,
            bytes: VersionCodec::encode(record),
        });
        while self.bases.len() > BASES_KEPT {
            self.bases.pop_front();
        }
    }

    /// The version that `delta` makes of the kept version `base`, if it fits.
    fn rebuild(&self, base: u64, number: u64, delta: &TreeDelta) -> Option<VersionRecord> {
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
        let refused = self
            .rejected
            .as_ref()
            .is_some_and(|(refused, _)| *refused >= number);
        number <= self.applied || refused || number <= self.newest_number()
    }
}

impl ControlState {
    pub(super) fn on_current(
        &mut self,
        number: u64,
        object: String,
        delta: Option<DeltaPointer>,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.reading_current = false;
        self.platform_answered(effects);
        self.raise_floor(number);
        self.settle_floor(effects);
        let already_fetching = self
            .versions
            .fetching
            .is_some_and(|fetching| fetching >= number);
        let left_to_relay = self.relay_brings_versions();
        let wanted = number > 0 && !self.versions.is_known(number);
        if wanted && !already_fetching && !left_to_relay {
            self.versions.fetching = Some(number);
            let usable = delta
                .filter(|_| !self.versions.delta_misfit)
                .filter(|pointer| self.versions.has_base(pointer.base));
            effects.push(match usable {
                Some(pointer) => ControlEffect::FetchDelta { number, pointer },
                None => ControlEffect::FetchVersion { number, object },
            });
        }
    }

    /// Steps fetched from the platform. Where they do not fit, the version is
    /// fetched whole at the next read of `current`.
    pub(super) fn on_delta_fetched(
        &mut self,
        base: u64,
        number: u64,
        delta: &TreeDelta,
        bytes: usize,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.platform_answered(effects);
        if let Some(record) = self.versions.rebuild(base, number, delta) {
            self.on_version(&Arc::new(record), bytes, effects);
        } else {
            self.versions.fetch_failed();
        }
    }

    /// Guards against a restarted daemon moving back: it keeps nothing, so a
    /// relay that lags could hand it a version older than the one it ran
    /// before the restart (seen as a route change that comes undone). The
    /// highest number known from the `current` row or the zone's relay is a
    /// lower bound for what it may apply; what it ran before was accepted, so
    /// it cannot lie above a `current` row read after the restart.
    pub(super) fn raise_floor(&mut self, number: u64) {
        self.versions.floor = self.versions.floor.max(number);
    }

    /// The floor is as well known as it will be: a version that waited for it
    /// is looked at now.
    pub(super) fn settle_floor(&mut self, effects: &mut Vec<ControlEffect>) {
        self.versions.floor_known = true;
        if let Some(record) = self.versions.awaiting_floor.take() {
            self.on_update(VersionUpdate::Full(record), effects);
        }
    }

    pub(super) fn on_update(&mut self, update: VersionUpdate, effects: &mut Vec<ControlEffect>) {
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
                let Some(record) = self.versions.rebuild(base, number, &delta) else {
                    self.send_up(PeerMessage::RequestFullVersion, effects);
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
            self.versions.delta_misfit = false;
        }
        // Guards against moving back: a fetch that was overtaken by a newer
        // version (updates crossing in flight) arrives after the newer one was
        // applied. Applying it would put an older version in force, so it is
        // dropped; `applied` only ever grows.
        if record.number <= self.versions.applied || record.number < self.versions.floor {
            return;
        }
        if self.versions.staged_number() >= Some(record.number) {
            return;
        }
        if record.number > self.versions.newest_number() {
            self.versions.newest = Some(Arc::clone(record));
        }
        // Guards against applying a bad version in part: the whole tree is
        // checked before anything is compiled, and only a compiled table is
        // handed to the proxy, in one swap.
        match record.tree.validate() {
            Ok(()) => {
                self.versions.keep_base(record);
                self.stage(record, bytes, effects);
            }
            Err(problems) => self.reject(record.number, &problems.to_string(), effects),
        }
        self.push_newest(effects);
    }

    fn reject(&mut self, number: u64, reason: &str, effects: &mut Vec<ControlEffect>) {
        let refused_before = self.versions.rejected.as_ref();
        if refused_before.is_some_and(|(refused, _)| *refused == number) {
            return;
        }
        self.versions.rejected = Some((number, reason.to_owned()));
        effects.push(ControlEffect::Note {
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
            since: self.at.now,
        };
        let lacking = self.lacking_services(&staged.table);
        if !lacking.is_empty() {
            effects.push(ControlEffect::Note {
                change: StateChange::Staged {
                    number: record.number,
                    services: lacking.into_iter().collect(),
                },
            });
        }
        self.versions.staged = Some(staged);
        self.apply_staged(effects);
    }

    /// Puts the staged version in force once it may be.
    ///
    /// Guards against a route that points at a service whose targets this
    /// proxy does not know yet, seen as refusals right after a change that
    /// moves calls to a new service. The whole version waits until each newly
    /// used service has a target, the old routes serving meanwhile; after the
    /// stage limit it is applied all the same, since an accepted version must
    /// come into force, and calls on such a route are answered `not-run` by
    /// the proxy itself rather than sent anywhere.
    pub(super) fn apply_staged(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(staged) = self.versions.staged.take() else {
            return;
        };
        let waited = self.at.now.saturating_duration_since(staged.since);
        let waits = waited < self.settings.stage_limit
            && self.versions.applied > 0
            && !self.lacking_services(&staged.table).is_empty();
        if waits {
            self.versions.staged = Some(staged);
            return;
        }
        let from = self.versions.applied;
        let number = staged.record.number;
        self.versions.applied = number;
        self.versions.in_force = Arc::clone(&staged.table);
        effects.push(ControlEffect::Apply {
            number,
            table: staged.table,
        });
        effects.push(ControlEffect::Note {
            change: StateChange::Applied {
                from,
                to: number,
                bytes: staged.bytes,
            },
        });
        self.report(effects);
    }

    /// Services that `table` uses, the table in force does not, and no known
    /// target serves.
    fn lacking_services(&self, table: &RouteTable) -> BTreeSet<String> {
        let used: BTreeSet<&str> = self.versions.in_force.services().into_iter().collect();
        table
            .services()
            .into_iter()
            .filter(|service| !used.contains(service))
            .filter(|service| self.directory.shown.serving(service).next().is_none())
            .map(str::to_owned)
            .collect()
    }
}
