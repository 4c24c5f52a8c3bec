//! The relay's side of the links to its peers. A relay sends each peer new
//! versions, as deltas against the version that the peer reported as applied,
//! the zone's targets, and the zone's membership.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_store::ZoneDigest;
use filbert_tree::TreeDelta;

use super::uplink::LINK_IDLE_TIMEOUT;
use super::{ControlEffect, ControlState, ZoneRole};
use crate::messages::{
    PeerHello, PeerMessage, RelayMessage, RelayWelcome, TargetChange, VersionUpdate, ZoneMembership,
};

/// Maximum number of successor addresses in the zone's membership.
const MAX_SUCCESSORS: usize = 4;
/// Minimum time between two writes of the zone's digest row.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two broadcasts of the zone's membership.
const MIN_MEMBERSHIP_INTERVAL: Duration = Duration::from_secs(1);

/// State of one linked peer.
#[derive(Debug)]
struct PeerEntry {
    id: String,
    address: String,
    /// How many peers had joined before it.
    join_order: u64,
    /// The version that the peer reported as applied.
    applied: u64,
    /// The newest version that the peer rejected, with the reason.
    rejected: Option<(u64, String)>,
    /// The newest version sent to the peer, or the one that it had applied when it linked.
    sent_version: u64,
    /// When the peer's last message arrived.
    last_received_at: Instant,
}

/// The peers linked to this relay, by link number.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    links: BTreeMap<u64, PeerEntry>,
    /// Number of peers that have joined since the start.
    joined: u64,
    /// Daemons without a link whose targets may still be known, and since when.
    unlinked: BTreeMap<String, Instant>,
    /// Whether the zone's digest row is out of date.
    pub(super) digest_dirty: bool,
    digest_written_at: Option<Instant>,
    /// The membership last broadcast to the peers.
    sent_membership: ZoneMembership,
    membership_sent_at: Option<Instant>,
}

impl PeerTable {
    /// The number of linked peers.
    pub(super) fn len(&self) -> usize {
        self.links.len()
    }

    /// The peer that has applied the newest version, and that version's number.
    pub(super) fn newest_applied(&self) -> Option<(u64, u64)> {
        let applied = self
            .links
            .iter()
            .map(|(peer, entry)| (*peer, entry.applied));
        applied.max_by_key(|(_, applied)| *applied)
    }

    fn link_numbers(&self) -> Vec<u64> {
        self.links.keys().copied().collect()
    }

    fn is_linked(&self, id: &str) -> bool {
        self.links.values().any(|entry| entry.id == id)
    }
}

fn send(peers: Vec<u64>, message: RelayMessage, effects: &mut Vec<ControlEffect>) {
    if !peers.is_empty() {
        effects.push(ControlEffect::SendToPeers {
            peers,
            message: Arc::new(message),
        });
    }
}

impl ControlState {
    pub(super) fn on_peer_message(
        &mut self,
        peer: u64,
        message: PeerMessage,
        effects: &mut Vec<ControlEffect>,
    ) {
        match self.peers.links.get_mut(&peer) {
            Some(entry) => entry.last_received_at = self.at.now,
            None if matches!(message, PeerMessage::Hello(_) | PeerMessage::Moved { .. }) => {}
            // This relay closed the link, and the peer has not noticed yet.
            None => {
                self.refuse_peer(peer, effects);
                return;
            }
        }
        match message {
            PeerMessage::Hello(hello) => self.on_hello(peer, hello, effects),
            PeerMessage::Report { applied, rejected } => {
                self.on_report(peer, applied, rejected, effects);
            }
            PeerMessage::Targets(change) => self.on_peer_targets(peer, &change, effects),
            PeerMessage::RequestFullVersion => self.send_full_version(peer, effects),
            PeerMessage::Moved { relay } => self.on_moved(relay, effects),
            PeerMessage::Version(record) => self.on_peer_version(record, effects),
            PeerMessage::Heartbeat => {
                let newest = self.versions.newest_number();
                send(vec![peer], RelayMessage::Heartbeat { newest }, effects);
            }
        }
    }

    fn refuse_peer(&self, peer: u64, effects: &mut Vec<ControlEffect>) {
        let relay = self.known_relay();
        send(vec![peer], RelayMessage::Refused { relay }, effects);
        effects.push(ControlEffect::ClosePeer { peer });
    }

    fn on_hello(&mut self, peer: u64, hello: PeerHello, effects: &mut Vec<ControlEffect>) {
        if !self.zone.role.is_relay() || self.is_stopping() {
            self.refuse_peer(peer, effects);
            return;
        }
        self.close_older_links(&hello.id, effects);
        self.versions.floor.raise(hello.applied);
        self.peers.unlinked.remove(&hello.id);
        let change = self.host_target_change(&hello);
        let entry = PeerEntry {
            id: hello.id,
            address: hello.address,
            join_order: self.peers.joined,
            applied: hello.applied,
            rejected: hello.rejected,
            sent_version: hello.applied,
            last_received_at: self.at.now,
        };
        self.peers.joined += 1;
        self.peers.links.insert(peer, entry);
        self.peers.digest_dirty = true;
        self.welcome(peer, effects);
        self.directory.apply_change(&change, &self.settings.id);
        self.broadcast_target_change(&change, Some(peer), effects);
        self.publish_targets(effects);
        self.push_newest_version(effects);
    }

    fn welcome(&mut self, peer: u64, effects: &mut Vec<ControlEffect>) {
        let welcome = RelayMessage::Welcome(RelayWelcome {
            token: self.zone.token,
            floor: self.versions.floor.applied().max(self.versions.applied),
            platform_reachable: self.provides_versions(),
            zone: self.current_membership(),
        });
        send(vec![peer], welcome, effects);
        let targets = TargetChange {
            is_snapshot: true,
            upserts: self.directory.zone_records(),
            ..TargetChange::default()
        };
        send(vec![peer], RelayMessage::Targets(targets), effects);
    }

    /// Closes the older links of daemon `id`, which has just opened a new one.
    /// The daemon no longer uses the older links, even if this relay has not
    /// seen them fail.
    fn close_older_links(&mut self, id: &str, effects: &mut Vec<ControlEffect>) {
        let older_links: Vec<u64> = self
            .peers
            .links
            .iter()
            .filter(|(_, entry)| entry.id == id)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in older_links {
            self.peers.links.remove(&peer);
            effects.push(ControlEffect::ClosePeer { peer });
        }
    }

    /// The difference between the known targets of a peer's host and those in its hello.
    fn host_target_change(&self, hello: &PeerHello) -> TargetChange {
        let removed = self
            .directory
            .target_addresses_of(&hello.id)
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
        self.versions.floor.raise(applied);
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
        self.directory.apply_change(change, &self.settings.id);
        if change.upserts.is_empty() && change.removed.is_empty() {
            self.pending_loads.extend(change.loads.iter().cloned());
        } else {
            self.broadcast_target_change(change, Some(peer), effects);
        }
        self.publish_targets(effects);
    }

    fn on_moved(&mut self, relay: String, effects: &mut Vec<ControlEffect>) {
        // The peer has found another holder of the lease, which an acting
        // relay may be unable to read from the platform itself. This daemon
        // follows that holder, and redirects its own peers once it has joined.
        if self.zone.role == ZoneRole::Acting && relay != self.settings.address {
            self.follow_relay(relay, effects);
        }
    }

    pub(super) fn on_peer_disconnected(&mut self, peer: u64) {
        if let Some(entry) = self.peers.links.remove(&peer) {
            self.peers.digest_dirty = true;
            if !self.peers.is_linked(&entry.id) {
                self.peers.unlinked.insert(entry.id, self.at.now);
            }
        }
    }

    /// Starts the expiry of every known host's targets when this daemon
    /// becomes the relay. Each host has `target_expiry` to link to this relay
    /// before its targets are removed, so that no live target is lost when
    /// the relay changes.
    pub(super) fn mark_known_hosts_unlinked(&mut self) {
        self.directory.merge_scanned_rows(&self.settings.id);
        for record in self.directory.zone.values() {
            self.peers
                .unlinked
                .insert(record.daemon.clone(), self.at.now);
        }
    }

    /// Does the relay's periodic work on each tick: closes silent links, expires
    /// targets, and sends or writes what has changed.
    pub(super) fn maintain_peers(&mut self, effects: &mut Vec<ControlEffect>) {
        if !self.zone.role.is_relay() {
            return;
        }
        self.close_silent_peers(effects);
        self.expire_unlinked(effects);
        self.broadcast_membership(effects);
        self.write_digest_if_due(effects);
    }

    fn close_silent_peers(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let silent: Vec<u64> = self
            .peers
            .links
            .iter()
            .filter(|(_, entry)| {
                now.saturating_duration_since(entry.last_received_at) > LINK_IDLE_TIMEOUT
            })
            .map(|(peer, _)| *peer)
            .collect();
        for peer in silent {
            self.on_peer_disconnected(peer);
            effects.push(ControlEffect::ClosePeer { peer });
        }
    }

    fn expire_unlinked(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let expiry = self.settings.target_expiry;
        let expired: Vec<String> = self
            .peers
            .unlinked
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) > expiry)
            .map(|(id, _)| id.clone())
            .collect();
        let mut change = TargetChange::default();
        for id in expired {
            self.peers.unlinked.remove(&id);
            change
                .removed
                .extend(self.directory.target_addresses_of(&id));
        }
        if !change.is_empty() {
            self.directory.apply_change(&change, &self.settings.id);
            self.broadcast_target_change(&change, None, effects);
            self.publish_targets(effects);
        }
    }

    /// The zone's membership according to this relay's links.
    ///
    /// The successors are in the order in which they joined, in which each list begins with
    /// those sent before. By the order of their links, three peers whose hellos overtake each
    /// other could each be told of itself first, and each relay for itself alone when this
    /// relay is lost before the next broadcast.
    pub(super) fn current_membership(&self) -> ZoneMembership {
        let mut joined: Vec<&PeerEntry> = self.peers.links.values().collect();
        joined.sort_unstable_by_key(|entry| entry.join_order);
        ZoneMembership {
            successors: joined
                .into_iter()
                .take(MAX_SUCCESSORS)
                .map(|entry| entry.address.clone())
                .collect(),
            size: u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX),
        }
    }

    fn broadcast_membership(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let is_due = self
            .peers
            .membership_sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= MIN_MEMBERSHIP_INTERVAL);
        let membership = self.current_membership();
        if is_due && membership != self.peers.sent_membership {
            self.peers.membership_sent_at = Some(now);
            self.peers.sent_membership.clone_from(&membership);
            self.zone.membership.size = membership.size;
            send(
                self.peers.link_numbers(),
                RelayMessage::Zone(membership),
                effects,
            );
        }
    }

    fn write_digest_if_due(&mut self, effects: &mut Vec<ControlEffect>) {
        let now = self.at.now;
        let is_due = self
            .peers
            .digest_written_at
            .is_none_or(|at| now.saturating_duration_since(at) >= MIN_DIGEST_INTERVAL);
        if self.zone.role != ZoneRole::Leader || !self.peers.digest_dirty || !is_due {
            return;
        }
        self.peers.digest_dirty = false;
        self.peers.digest_written_at = Some(now);
        let digest = self.build_digest();
        effects.push(ControlEffect::WriteDigest { digest });
    }

    fn build_digest(&self) -> ZoneDigest {
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

    /// Sends a change of targets to every peer except `from`, the peer that reported it.
    pub(super) fn broadcast_target_change(
        &self,
        change: &TargetChange,
        from: Option<u64>,
        effects: &mut Vec<ControlEffect>,
    ) {
        if change.is_empty() || !self.zone.role.is_relay() {
            return;
        }
        let mut peers = self.peers.link_numbers();
        peers.retain(|peer| Some(*peer) != from);
        send(peers, RelayMessage::Targets(change.clone()), effects);
    }

    /// Whether this relay provides new versions to its peers. A relay without
    /// the lease reports that it does not reach the platform, so that a peer
    /// that reaches the platform can take the lease.
    fn provides_versions(&self) -> bool {
        self.platform_reachable && self.zone.role == ZoneRole::Leader
    }

    /// Tells the peers whether this relay provides new versions.
    pub(super) fn broadcast_platform_state(&self, effects: &mut Vec<ControlEffect>) {
        if self.zone.role.is_relay() {
            let reachable = self.provides_versions();
            let message = RelayMessage::Platform { reachable };
            send(self.peers.link_numbers(), message, effects);
        }
    }

    /// Sends the newest version to every peer that has not been sent it yet:
    /// as a delta if this relay still keeps the version that the peer has
    /// applied, and in full otherwise.
    pub(super) fn push_newest_version(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(newest) = self.versions.newest.clone() else {
            return;
        };
        if !self.zone.role.is_relay() {
            return;
        }
        let mut peers_by_base: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        for (peer, entry) in &mut self.peers.links {
            if entry.sent_version < newest.number {
                entry.sent_version = newest.number;
                peers_by_base.entry(entry.applied).or_default().push(*peer);
            }
        }
        for (base, peers) in peers_by_base {
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

    fn send_full_version(&self, peer: u64, effects: &mut Vec<ControlEffect>) {
        if let Some(newest) = &self.versions.newest {
            let update = VersionUpdate::Full((**newest).clone());
            send(vec![peer], RelayMessage::Version(update), effects);
        }
    }

    /// Tells every peer to link to `relay`, if one is known, and closes all links.
    pub(super) fn redirect_peers(
        &mut self,
        relay: Option<String>,
        effects: &mut Vec<ControlEffect>,
    ) {
        let peers = self.peers.link_numbers();
        send(peers.clone(), RelayMessage::Goodbye { relay }, effects);
        for peer in peers {
            effects.push(ControlEffect::ClosePeer { peer });
        }
        self.peers.links.clear();
        self.peers.unlinked.clear();
    }
}
