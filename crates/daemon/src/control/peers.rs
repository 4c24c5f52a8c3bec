//! What a relay knows of its peers and sends them: versions as deltas against
//! what each acknowledged, the zone's targets, and the zone's membership.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_store::ZoneDigest;
use filbert_tree::TreeDelta;

use super::uplink::LINK_SILENCE;
use super::{ControlEffect, ControlState, ZoneRole};
use crate::messages::{
    PeerHello, PeerMessage, RelayMessage, RelayWelcome, TargetChange, VersionUpdate, ZoneShape,
};

/// Successors each peer is told of.
const SUCCESSORS: usize = 4;
/// Shortest pause between two writes of the zone's digest.
const DIGEST_PAUSE: Duration = Duration::from_millis(250);
/// Shortest pause between two messages about the zone's membership.
const SHAPE_PAUSE: Duration = Duration::from_secs(1);

/// One linked peer.
#[derive(Debug)]
struct PeerEntry {
    id: String,
    address: String,
    /// The version the peer said it has in force.
    applied: u64,
    rejected: Option<(u64, String)>,
    /// The newest version sent to it.
    sent: u64,
    heard_at: Instant,
}

/// The peers linked to this relay, by link number (so, oldest first).
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    links: BTreeMap<u64, PeerEntry>,
    /// Hosts whose targets are known but which are not linked, since when.
    unlinked: BTreeMap<String, Instant>,
    /// Whether the digest row is out of date.
    pub(super) digest_dirty: bool,
    digest_at: Option<Instant>,
    told_shape: ZoneShape,
    shape_at: Option<Instant>,
}

impl PeerTable {
    /// Peers linked now.
    pub(super) fn len(&self) -> usize {
        self.links.len()
    }

    fn all(&self) -> Vec<u64> {
        self.links.keys().copied().collect()
    }

    fn is_linked(&self, id: &str) -> bool {
        self.links.values().any(|entry| entry.id == id)
    }
}

fn send(peers: Vec<u64>, message: RelayMessage, effects: &mut Vec<ControlEffect>) {
    if !peers.is_empty() {
        effects.push(ControlEffect::SendPeers {
            peers,
            message: Arc::new(message),
        });
    }
}

impl ControlState {
    pub(super) fn on_peer_said(
        &mut self,
        peer: u64,
        message: PeerMessage,
        effects: &mut Vec<ControlEffect>,
    ) {
        match self.peers.links.get_mut(&peer) {
            Some(entry) => entry.heard_at = self.at.now,
            None if matches!(message, PeerMessage::Hello(_) | PeerMessage::Moved { .. }) => {}
            // A peer this relay has dropped, and which has not noticed.
            None => {
                self.refuse(peer, effects);
                return;
            }
        }
        match message {
            PeerMessage::Hello(hello) => self.on_hello(peer, hello, effects),
            PeerMessage::Report { applied, rejected } => {
                self.on_report(peer, applied, rejected, effects);
            }
            PeerMessage::Targets(change) => self.on_peer_targets(peer, &change, effects),
            PeerMessage::RequestFullVersion => self.send_whole(peer, effects),
            PeerMessage::Moved { relay } => self.on_moved(relay, effects),
            PeerMessage::Heartbeat => {
                let newest = self.versions.newest_number();
                send(vec![peer], RelayMessage::Heartbeat { newest }, effects);
            }
        }
    }

    fn refuse(&self, peer: u64, effects: &mut Vec<ControlEffect>) {
        let relay = self.known_relay();
        send(vec![peer], RelayMessage::Refused { relay }, effects);
        effects.push(ControlEffect::DropPeer { peer });
    }

    fn on_hello(&mut self, peer: u64, hello: PeerHello, effects: &mut Vec<ControlEffect>) {
        if !self.zone.role.relays() || self.is_stopping() {
            self.refuse(peer, effects);
            return;
        }
        self.drop_older_links(&hello.id, effects);
        self.raise_floor(hello.applied);
        self.peers.unlinked.remove(&hello.id);
        let change = self.host_change(&hello);
        let entry = PeerEntry {
            id: hello.id,
            address: hello.address,
            applied: hello.applied,
            rejected: hello.rejected,
            sent: hello.applied,
            heard_at: self.at.now,
        };
        self.peers.links.insert(peer, entry);
        self.peers.digest_dirty = true;
        self.welcome(peer, effects);
        self.directory.absorb(&change, &self.settings.id);
        self.tell_peers_of(&change, Some(peer), effects);
        self.show_targets(effects);
        self.push_newest(effects);
    }

    fn welcome(&mut self, peer: u64, effects: &mut Vec<ControlEffect>) {
        let welcome = RelayMessage::Welcome(RelayWelcome {
            token: self.zone.token,
            floor: self.versions.floor.max(self.versions.applied),
            platform_reachable: self.brings_versions(),
            zone: self.shape_now(),
        });
        send(vec![peer], welcome, effects);
        let targets = TargetChange {
            is_snapshot: true,
            upserts: self.directory.zone_records(),
            ..TargetChange::default()
        };
        send(vec![peer], RelayMessage::Targets(targets), effects);
    }

    /// A daemon that links anew has lost its older link, whether or not this
    /// side has noticed.
    fn drop_older_links(&mut self, id: &str, effects: &mut Vec<ControlEffect>) {
        let older: Vec<u64> = self
            .peers
            .links
            .iter()
            .filter(|(_, entry)| entry.id == id)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in older {
            self.peers.links.remove(&peer);
            effects.push(ControlEffect::DropPeer { peer });
        }
    }

    /// What a hello changes about its host's targets.
    fn host_change(&self, hello: &PeerHello) -> TargetChange {
        let removed = self
            .directory
            .addresses_of(&hello.id)
            .into_iter()
            .filter(|address| {
                hello
                    .targets
                    .iter()
                    .all(|record| record.address != *address)
            })
            .collect();
        TargetChange {
            upserts: hello.targets.clone(),
            removed,
            ..TargetChange::default()
        }
    }

    fn on_report(
        &mut self,
        peer: u64,
        applied: u64,
        rejected: Option<(u64, String)>,
        effects: &mut Vec<ControlEffect>,
    ) {
        if let Some(entry) = self.peers.links.get_mut(&peer) {
            entry.applied = applied;
            entry.rejected = rejected;
        }
        self.peers.digest_dirty = true;
        self.raise_floor(applied);
        if applied > self.versions.newest_number() {
            self.read_current(effects);
        }
    }

    fn on_peer_targets(
        &mut self,
        peer: u64,
        change: &TargetChange,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.directory.absorb(change, &self.settings.id);
        if change.upserts.is_empty() && change.removed.is_empty() {
            self.load_moves.extend(change.loads.iter().cloned());
        } else {
            self.tell_peers_of(change, Some(peer), effects);
        }
        self.show_targets(effects);
    }

    fn on_moved(&mut self, relay: String, effects: &mut Vec<ControlEffect>) {
        // A peer found another holder of the lease while this daemon cannot
        // reach the platform to see for itself; it and its peers follow.
        if self.zone.role == ZoneRole::Acting && relay != self.settings.address {
            self.follow(relay, effects);
        }
    }

    pub(super) fn on_peer_gone(&mut self, peer: u64) {
        if let Some(entry) = self.peers.links.remove(&peer) {
            self.peers.digest_dirty = true;
            if !self.peers.is_linked(&entry.id) {
                self.peers.unlinked.insert(entry.id, self.at.now);
            }
        }
    }

    /// On taking over the relay: hosts whose targets were known from the last
    /// relay have the target expiry to link here before their targets are
    /// dropped, so that no live target is lost in the change.
    pub(super) fn seed_owners(&mut self) {
        self.directory.adopt_rows(&self.settings.id);
        for record in self.directory.zone.values() {
            self.peers
                .unlinked
                .insert(record.daemon.clone(), self.at.now);
        }
    }

    /// A relay's duties on each tick.
    pub(super) fn tend_peers(&mut self, effects: &mut Vec<ControlEffect>) {
        if !self.zone.role.relays() {
            return;
        }
        self.drop_silent_peers(effects);
        self.expire_unlinked(effects);
        self.tell_shape(effects);
        self.write_digest(effects);
    }

    fn drop_silent_peers(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let silent: Vec<u64> = self
            .peers
            .links
            .iter()
            .filter(|(_, entry)| now.saturating_duration_since(entry.heard_at) > LINK_SILENCE)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in silent {
            self.on_peer_gone(peer);
            effects.push(ControlEffect::DropPeer { peer });
        }
    }

    fn expire_unlinked(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let expiry = self.settings.target_expiry;
        let gone: Vec<String> = self
            .peers
            .unlinked
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) > expiry)
            .map(|(id, _)| id.clone())
            .collect();
        let mut change = TargetChange::default();
        for id in gone {
            self.peers.unlinked.remove(&id);
            change.removed.extend(self.directory.addresses_of(&id));
        }
        if !change.is_empty() {
            self.directory.absorb(&change, &self.settings.id);
            self.tell_peers_of(&change, None, effects);
            self.show_targets(effects);
        }
    }

    /// The zone's membership as this relay sees it.
    pub(super) fn shape_now(&self) -> ZoneShape {
        ZoneShape {
            successors: self
                .peers
                .links
                .values()
                .take(SUCCESSORS)
                .map(|entry| entry.address.clone())
                .collect(),
            size: u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX),
        }
    }

    fn tell_shape(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let rested = self
            .peers
            .shape_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SHAPE_PAUSE);
        let shape = self.shape_now();
        if rested && shape != self.peers.told_shape {
            self.peers.shape_at = Some(now);
            self.peers.told_shape.clone_from(&shape);
            self.zone.shape.size = shape.size;
            send(self.peers.all(), RelayMessage::Zone(shape), effects);
        }
    }

    fn write_digest(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let rested = self
            .peers
            .digest_at
            .is_none_or(|at| now.saturating_duration_since(at) >= DIGEST_PAUSE);
        if self.zone.role != ZoneRole::Leader || !self.peers.digest_dirty || !rested {
            return;
        }
        self.peers.digest_dirty = false;
        self.peers.digest_at = Some(now);
        let digest = self.digest();
        effects.push(ControlEffect::WriteDigest { digest });
    }

    fn digest(&self) -> ZoneDigest {
        let mut digest = ZoneDigest {
            token: self.zone.token,
            ..ZoneDigest::default()
        };
        let own = (
            &self.settings.id,
            self.versions.applied,
            &self.versions.rejected,
        );
        let linked = self
            .peers
            .links
            .values()
            .map(|entry| (&entry.id, entry.applied, &entry.rejected));
        for (id, applied, rejected) in linked.chain([own]) {
            digest.applied.entry(applied).or_default().push(id.clone());
            if let Some((number, reason)) = rejected {
                digest.rejected.push((id.clone(), *number, reason.clone()));
            }
        }
        digest
    }

    /// Passes a change of targets on to every peer but the one it came from.
    pub(super) fn tell_peers_of(
        &self,
        change: &TargetChange,
        from: Option<u64>,
        effects: &mut Vec<ControlEffect>,
    ) {
        if change.is_empty() || !self.zone.role.relays() {
            return;
        }
        let mut peers = self.peers.all();
        peers.retain(|peer| Some(*peer) != from);
        send(peers, RelayMessage::Targets(change.clone()), effects);
    }

    /// Whether this relay brings its peers new versions. Without a lease it
    /// counts as not reaching the platform, so that a peer which does can
    /// take the lease.
    fn brings_versions(&self) -> bool {
        self.platform_reachable && self.zone.role == ZoneRole::Leader
    }

    /// Tells the peers whether this relay reaches the platform.
    pub(super) fn tell_platform_state(&self, effects: &mut Vec<ControlEffect>) {
        if self.zone.role.relays() {
            let reachable = self.brings_versions();
            let message = RelayMessage::Platform { reachable };
            send(self.peers.all(), message, effects);
        }
    }

    /// Sends the newest version to every peer that was not sent it: as a
    /// delta where the peer's version is still kept, whole otherwise.
    pub(super) fn push_newest(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(newest) = self.versions.newest.clone() else {
            return;
        };
        if !self.zone.role.relays() {
            return;
        }
        let mut by_base: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        for (peer, entry) in &mut self.peers.links {
            if entry.sent < newest.number {
                entry.sent = newest.number;
                by_base.entry(entry.applied).or_default().push(*peer);
            }
        }
        for (base, peers) in by_base {
            let update = match self.versions.base(base) {
                Some(record) => VersionUpdate::Delta {
                    base,
                    number: newest.number,
                    delta: TreeDelta::between(&record.tree, &newest.tree),
                },
                None => VersionUpdate::Full((*newest).clone()),
            };
            send(peers, RelayMessage::Version(update), effects);
        }
    }

    fn send_whole(&self, peer: u64, effects: &mut Vec<ControlEffect>) {
        if let Some(newest) = &self.versions.newest {
            let update = VersionUpdate::Full((**newest).clone());
            send(vec![peer], RelayMessage::Version(update), effects);
        }
    }

    /// Sends every peer on to another relay and closes their links.
    pub(super) fn dismiss_peers(
        &mut self,
        relay: Option<String>,
        effects: &mut Vec<ControlEffect>,
    ) {
        let peers = self.peers.all();
        send(peers.clone(), RelayMessage::Goodbye { relay }, effects);
        for peer in peers {
            effects.push(ControlEffect::DropPeer { peer });
        }
        self.peers.links.clear();
        self.peers.unlinked.clear();
    }
}
