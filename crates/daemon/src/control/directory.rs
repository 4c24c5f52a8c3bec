//! The targets that this daemon knows, from three sources: announcements of
//! targets on its own host, changes of other hosts' targets sent by the relay or
//! by peers, and scans of the zone's target rows in the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use filbert_store::{check_target_address, TargetAnnouncement, TargetRecord};

use super::{duration_ms, ControlEffect, ControlState, StateChange, ZoneRole};
use crate::messages::{PeerMessage, TargetChange};
use crate::settings::DistributionMode;
use crate::targets::ZoneTargets;

/// A target on this host.
#[derive(Clone, Debug)]
struct LocalTarget {
    /// The target as it last announced itself.
    record: TargetRecord,
    /// When it last announced itself.
    heard_at: Instant,
    /// When its row was last due to be written.
    written_at: Instant,
}

/// All targets that this daemon knows.
#[derive(Debug, Default)]
pub(super) struct TargetDirectory {
    /// This host's targets by address.
    local: BTreeMap<String, LocalTarget>,
    /// Other hosts' targets by address, from the relay or from peers, and from
    /// the last scan once it was merged.
    pub(super) zone: BTreeMap<String, TargetRecord>,
    /// The zone's target rows as of the last scan.
    scanned: Vec<TargetRecord>,
    /// When the last scan arrived, by the wall clock.
    scanned_at_ms: u64,
    /// The view of the targets that the proxy has.
    pub(super) published: Arc<ZoneTargets>,
}

impl TargetDirectory {
    /// Whether targets from a scan are known.
    pub(super) fn has_scanned_rows(&self) -> bool {
        !self.scanned.is_empty()
    }

    /// Returns this host's targets.
    pub(super) fn local_records(&self) -> Vec<TargetRecord> {
        self.local
            .values()
            .map(|local| local.record.clone())
            .collect()
    }

    /// Returns the targets that a peer is sent: this host's and those received
    /// for other hosts, without rows from a scan that was not merged.
    pub(super) fn zone_records(&self) -> Vec<TargetRecord> {
        let mut records = self.local_records();
        records.extend(self.zone.values().cloned());
        records
    }

    /// Returns the addresses of the targets that the daemon with id `daemon`
    /// announced.
    pub(super) fn target_addresses_of(&self, daemon: &str) -> Vec<String> {
        self.zone
            .values()
            .filter(|record| record.daemon == daemon)
            .map(|record| record.address.clone())
            .collect()
    }

    /// Moves the targets of the last scan to the other hosts' targets, where they
    /// expire unless their host links to this relay. Targets of the daemon
    /// `own_id` and addresses that are already known are dropped.
    ///
    /// Guards against a dead target that is never removed, which shows as calls
    /// that are sent to it and fail. The age of a row is measured at the last
    /// scan, and a daemon stops scanning once it has a relay or is one.
    pub(super) fn merge_scanned_rows(&mut self, own_id: &str) {
        for record in std::mem::take(&mut self.scanned) {
            let known = self.zone.contains_key(&record.address);
            if record.daemon != own_id && !known {
                self.zone.insert(record.address.clone(), record);
            }
        }
    }

    /// Applies a change of other hosts' targets. Added or updated targets of this
    /// daemon, whose id is `own_id`, are ignored: its own announcements are newer. So are
    /// targets to whose address no call can be sent.
    pub(super) fn apply_change(&mut self, change: &TargetChange, own_id: &str) {
        if change.is_snapshot {
            self.zone.clear();
            self.scanned.clear();
        }
        for address in &change.removed {
            self.zone.remove(address);
        }
        for record in &change.upserts {
            let is_usable = check_target_address(&record.address).is_ok();
            if record.daemon != own_id && is_usable {
                self.zone.insert(record.address.clone(), record.clone());
            }
        }
        for (address, load) in &change.loads {
            if let Some(record) = self.zone.get_mut(address) {
                record.load = *load;
            }
        }
    }
}

impl ControlState {
    /// Handles an announcement by a target on this host.
    pub(super) fn on_announced(
        &mut self,
        announcement: TargetAnnouncement,
        effects: &mut Vec<ControlEffect>,
    ) {
        let record = TargetRecord {
            service: announcement.service,
            address: announcement.address,
            zone: self.settings.zone.clone(),
            daemon: self.settings.id.clone(),
            load: announcement.load,
            leaving: announcement.leaving,
            heard_at_ms: self.at.wall_ms(),
        };
        let previous = self.directory.local.get(&record.address).cloned();
        record_announcement(
            previous.as_ref().map(|local| &local.record),
            &record,
            effects,
        );
        let change = announcement_change(previous.as_ref().map(|local| &local.record), &record);
        let written_at = match previous {
            Some(local) if change.is_empty() => local.written_at,
            _ => {
                self.write_target(&record, effects);
                self.at.now
            }
        };
        self.directory.local.insert(
            record.address.clone(),
            LocalTarget {
                record,
                heard_at: self.at.now,
                written_at,
            },
        );
        self.propagate_local_change(change, effects);
        self.publish_targets(effects);
    }

    /// Propagates a change of this host's targets to the zone: to the relay, and
    /// to the peers when this daemon is the relay. A change of loads only waits
    /// for the next batch.
    fn propagate_local_change(&mut self, change: TargetChange, effects: &mut Vec<ControlEffect>) {
        if change.upserts.is_empty() && change.removed.is_empty() {
            self.pending_loads.extend(change.loads);
            return;
        }
        self.send_after_hello(PeerMessage::Targets(change.clone()), effects);
        self.broadcast_target_change(&change, None, effects);
    }

    /// Sends the loads that changed since the last batch to the relay, and to the
    /// peers when this daemon is the relay.
    pub(super) fn broadcast_loads(&mut self, effects: &mut Vec<ControlEffect>) {
        if self.pending_loads.is_empty() {
            return;
        }
        let change = TargetChange {
            loads: std::mem::take(&mut self.pending_loads)
                .into_iter()
                .collect(),
            ..TargetChange::default()
        };
        self.send_after_hello(PeerMessage::Targets(change.clone()), effects);
        self.broadcast_target_change(&change, None, effects);
    }

    /// Removes this host's targets that have not announced themselves within the
    /// target expiry.
    pub(super) fn expire_local_targets(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let expiry = self.settings.target_expiry;
        let expired: Vec<String> = self
            .directory
            .local
            .values()
            .filter(|local| now.saturating_duration_since(local.heard_at) > expiry)
            .map(|local| local.record.address.clone())
            .collect();
        if expired.is_empty() {
            return;
        }
        for address in &expired {
            self.directory.local.remove(address);
        }
        let change = TargetChange {
            removed: expired,
            ..TargetChange::default()
        };
        self.propagate_local_change(change, effects);
        self.publish_targets(effects);
    }

    pub(super) fn on_targets_read(
        &mut self,
        records: Vec<TargetRecord>,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.target_scan_pending = false;
        self.on_platform_answered(effects);
        // A daemon that is the relay or is linked to one ignores the scan: it
        // scans no more, so targets from this scan would never expire.
        let uses_scans =
            self.settings.mode == DistributionMode::Direct || self.zone.role == ZoneRole::Seeking;
        if !uses_scans {
            return;
        }
        self.directory.scanned = records;
        self.directory.scanned_at_ms = self.at.wall_ms();
        self.publish_targets(effects);
    }

    /// Rewrites those of this host's target rows that are due for a refresh. The
    /// caller checks that this daemon publishes its own rows.
    pub(super) fn refresh_target_rows(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let wall_ms = self.at.wall_ms();
        for local in self.directory.local.values_mut() {
            if now.saturating_duration_since(local.written_at) < self.settings.row_refresh_interval
            {
                continue;
            }
            local.written_at = now;
            local.record.heard_at_ms = wall_ms;
            effects.push(ControlEffect::WriteTarget {
                record: local.record.clone(),
            });
        }
    }

    fn write_target(&self, record: &TargetRecord, effects: &mut Vec<ControlEffect>) {
        if self.publishes_own_rows() {
            effects.push(ControlEffect::WriteTarget {
                record: record.clone(),
            });
        }
    }

    /// Rebuilds the proxy's view of the zone's targets, and publishes it if it
    /// changed. The age of a scanned row is measured at the last scan, not now.
    ///
    /// Guards against a zone that loses all targets on other hosts while it is
    /// disconnected from the platform, which shows as 503 responses for services
    /// with no target on this host. Scans fail during that time, so by the
    /// current time every live target would pass the target expiry. A target
    /// that died since the last scan refuses connections, and the proxy retries
    /// such calls on another target.
    pub(super) fn publish_targets(&mut self, effects: &mut Vec<ControlEffect>) {
        let directory = &self.directory;
        let expiry_ms = duration_ms(self.settings.target_expiry);
        let now = self.at.now;
        let local = directory
            .local
            .values()
            .filter(|local| {
                now.saturating_duration_since(local.heard_at) <= self.settings.target_expiry
            })
            .map(|local| &local.record);
        let zone = directory
            .zone
            .values()
            .filter(|record| !directory.local.contains_key(&record.address));
        let scanned = directory
            .scanned
            .iter()
            .filter(|record| !directory.local.contains_key(&record.address))
            .filter(|record| !directory.zone.contains_key(&record.address))
            .filter(|record| {
                directory.scanned_at_ms.saturating_sub(record.heard_at_ms) <= expiry_ms
            });
        let view = ZoneTargets::from_records(local.chain(zone).chain(scanned));
        if *directory.published != view {
            self.directory.published = Arc::new(view);
            effects.push(ControlEffect::PublishTargets {
                targets: Arc::clone(&self.directory.published),
            });
            self.apply_staged(effects);
        }
    }
}

/// Returns what the announcement `new` changes about its target: nothing, its
/// load only, or the whole record.
fn announcement_change(old: Option<&TargetRecord>, new: &TargetRecord) -> TargetChange {
    let only_load_may_differ =
        old.is_some_and(|old| old.leaving == new.leaving && old.service == new.service);
    let mut change = TargetChange::default();
    if !only_load_may_differ {
        change.upserts.push(new.clone());
    } else if old.is_some_and(|old| old.load != new.load) {
        change.loads.push((new.address.clone(), new.load));
    }
    change
}

/// Records the state change of a target that joins or starts to leave.
fn record_announcement(
    old: Option<&TargetRecord>,
    new: &TargetRecord,
    effects: &mut Vec<ControlEffect>,
) {
    let service = new.service.clone();
    let address = new.address.clone();
    let change = match old {
        None => StateChange::TargetJoined { service, address },
        Some(old) if new.leaving && !old.leaving => StateChange::TargetLeaving { service, address },
        Some(_) => return,
    };
    effects.push(ControlEffect::RecordStateChange { change });
}
