//! The targets this daemon knows: its host's, as announced; the zone's
//! others, from its relay or its peers; and rows read in direct mode.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use filbert_store::{TargetAnnouncement, TargetRecord};

use super::{duration_ms, ControlEffect, ControlState, StateChange, ZoneRole};
use crate::messages::{PeerMessage, TargetChange};
use crate::settings::DistributionMode;
use crate::targets::ZoneTargets;

/// A target on this host, as last announced.
#[derive(Clone, Debug)]
struct LocalTarget {
    record: TargetRecord,
    heard_at: Instant,
    written_at: Instant,
}

/// Every target this daemon knows.
#[derive(Debug, Default)]
pub(super) struct TargetDirectory {
    local: BTreeMap<String, LocalTarget>,
    /// Other hosts' targets by address, from the relay or from peers.
    pub(super) zone: BTreeMap<String, TargetRecord>,
    direct: Vec<TargetRecord>,
    direct_read_at_ms: u64,
    /// What the proxy was last shown.
    pub(super) shown: Arc<ZoneTargets>,
}

impl TargetDirectory {
    /// Whether rows read in direct mode are known, which age with time.
    pub(super) fn has_rows(&self) -> bool {
        !self.direct.is_empty()
    }

    /// This host's targets.
    pub(super) fn local_records(&self) -> Vec<TargetRecord> {
        self.local
            .values()
            .map(|local| local.record.clone())
            .collect()
    }

    /// Every target of the zone this daemon can vouch for to a peer.
    pub(super) fn zone_records(&self) -> Vec<TargetRecord> {
        let mut records = self.local_records();
        records.extend(self.zone.values().cloned());
        records
    }

    /// Addresses of the zone's targets on `daemon`'s host.
    pub(super) fn addresses_of(&self, daemon: &str) -> Vec<String> {
        self.zone
            .values()
            .filter(|record| record.daemon == daemon)
            .map(|record| record.address.clone())
            .collect()
    }

    /// Takes the targets read from rows into the zone map, where they expire
    /// like those of any host that is not linked.
    ///
    /// Guards against a target that is gone staying in view for good (seen as
    /// calls that go to it and fail): rows are judged as of their last scan,
    /// and a daemon that has a relay again, or is one, scans them no more.
    pub(super) fn adopt_rows(&mut self, own: &str) {
        for record in std::mem::take(&mut self.direct) {
            let known = self.zone.contains_key(&record.address);
            if record.daemon != own && !known {
                self.zone.insert(record.address.clone(), record);
            }
        }
    }

    /// Takes a change of other hosts' targets into the zone map. `own` is this
    /// daemon's id, whose targets it knows better itself.
    pub(super) fn absorb(&mut self, change: &TargetChange, own: &str) {
        if change.is_snapshot {
            self.zone.clear();
            self.direct.clear();
        }
        for address in &change.removed {
            self.zone.remove(address);
        }
        for record in &change.upserts {
            if record.daemon != own {
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
        note_announced(
            previous.as_ref().map(|local| &local.record),
            &record,
            effects,
        );
        let change = local_change(previous.as_ref().map(|local| &local.record), &record);
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
        self.spread(change, effects);
        self.show_targets(effects);
    }

    /// Tells the zone about a change of this host's targets: through the
    /// relay, or to the peers when this daemon is the relay. Loads alone wait
    /// for the next batch.
    fn spread(&mut self, change: TargetChange, effects: &mut Vec<ControlEffect>) {
        if change.upserts.is_empty() && change.removed.is_empty() {
            self.load_moves.extend(change.loads);
            return;
        }
        self.send_behind_hello(PeerMessage::Targets(change.clone()), effects);
        self.tell_peers_of(&change, None, effects);
    }

    /// Sends the loads that moved since the last batch.
    pub(super) fn spread_loads(&mut self, effects: &mut Vec<ControlEffect>) {
        if self.load_moves.is_empty() {
            return;
        }
        let change = TargetChange {
            loads: std::mem::take(&mut self.load_moves).into_iter().collect(),
            ..TargetChange::default()
        };
        self.send_behind_hello(PeerMessage::Targets(change.clone()), effects);
        self.tell_peers_of(&change, None, effects);
    }

    /// Drops this host's targets that stopped announcing themselves.
    pub(super) fn expire_local(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let expiry = self.settings.target_expiry;
        let gone: Vec<String> = self
            .directory
            .local
            .values()
            .filter(|local| now.saturating_duration_since(local.heard_at) > expiry)
            .map(|local| local.record.address.clone())
            .collect();
        if gone.is_empty() {
            return;
        }
        for address in &gone {
            self.directory.local.remove(address);
        }
        let change = TargetChange {
            removed: gone,
            ..TargetChange::default()
        };
        self.spread(change, effects);
        self.show_targets(effects);
    }

    pub(super) fn on_targets_read(
        &mut self,
        records: Vec<TargetRecord>,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.reading_targets = false;
        self.platform_answered(effects);
        // A scan that arrives once there is a relay is not repeated, so what
        // it shows would never age.
        let scans =
            self.settings.mode == DistributionMode::Direct || self.zone.role == ZoneRole::Seeking;
        if !scans {
            return;
        }
        self.directory.direct = records;
        self.directory.direct_read_at_ms = self.at.wall_ms();
        self.show_targets(effects);
    }

    /// Rewrites this host's target rows that are due, in direct mode.
    pub(super) fn refresh_rows(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let wall_ms = self.at.wall_ms();
        for local in self.directory.local.values_mut() {
            if now.saturating_duration_since(local.written_at) < self.settings.refresh {
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
        if self.uses_rows() {
            effects.push(ControlEffect::WriteTarget {
                record: record.clone(),
            });
        }
    }

    /// Rebuilds the proxy's view of the zone's targets.
    ///
    /// Guards against a zone cut off from the platform losing its other
    /// hosts' targets: while scans fail, rows read in direct mode cannot be
    /// refreshed, and judging their age by the clock would expire every live
    /// target after the expiry (seen as 503s for services with no target on
    /// this host). Their age is judged as of the last scan instead; a target
    /// that died meanwhile refuses connections, which the proxy retries
    /// elsewhere.
    pub(super) fn show_targets(&mut self, effects: &mut Vec<ControlEffect>) {
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
        let direct = directory
            .direct
            .iter()
            .filter(|record| !directory.local.contains_key(&record.address))
            .filter(|record| !directory.zone.contains_key(&record.address))
            .filter(|record| {
                directory
                    .direct_read_at_ms
                    .saturating_sub(record.heard_at_ms)
                    <= expiry_ms
            });
        let view = ZoneTargets::from_records(local.chain(zone).chain(direct));
        if *directory.shown != view {
            self.directory.shown = Arc::new(view);
            effects.push(ControlEffect::ShowTargets {
                targets: Arc::clone(&self.directory.shown),
            });
            self.apply_staged(effects);
        }
    }
}

/// What one announcement changes about its target.
fn local_change(old: Option<&TargetRecord>, new: &TargetRecord) -> TargetChange {
    let same_but_load =
        old.is_some_and(|old| old.leaving == new.leaving && old.service == new.service);
    let mut change = TargetChange::default();
    if !same_but_load {
        change.upserts.push(new.clone());
    } else if old.is_some_and(|old| old.load != new.load) {
        change.loads.push((new.address.clone(), new.load));
    }
    change
}

fn note_announced(
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
    effects.push(ControlEffect::Note { change });
}
