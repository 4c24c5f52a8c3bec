//! Gets the version in force from a peer, when this daemon has become the relay and the
//! `current` row leads to no version: a zone whose daemons still have one serves on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_tree::{VersionCodec, VersionRecord};

use super::{ControlEffect, ControlState};
use crate::messages::{PeerMessage, RelayMessage};

/// Minimum time between two requests for a version.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// When a peer was asked for its version.
#[derive(Debug, Default)]
pub(super) struct PeerRecovery {
    asked_at: Option<Instant>,
}

impl PeerRecovery {
    /// Whether a request is due; if so, it counts as sent.
    fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self
            .asked_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REQUEST_INTERVAL);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }
}

impl ControlState {
    /// Asks the peer with the newest version for it, if this relay has none as new and the store
    /// does not give it.
    pub(super) fn request_version_of_peers(&mut self, effects: &mut Vec<ControlEffect>) {
        if !self.zone.role.is_relay() || !self.versions.floor.is_named_missing() {
            return;
        }
        let Some((peer, applied)) = self.peers.newest_applied() else {
            return;
        };
        if applied > self.versions.newest_number() && self.recovery.is_due(self.at.now) {
            let message = Arc::new(RelayMessage::RequestVersion);
            let peers = vec![peer];
            effects.push(ControlEffect::SendToPeers { peers, message });
        }
    }

    /// Sends the newest version to the relay that asked for it.
    pub(super) fn on_version_requested(&mut self, effects: &mut Vec<ControlEffect>) {
        if let Some(newest) = &self.versions.newest {
            let message = PeerMessage::Version((**newest).clone());
            self.send_to_relay(message, effects);
        }
    }

    /// Handles the version that a peer sent on request.
    pub(super) fn on_peer_version(
        &mut self,
        record: VersionRecord,
        effects: &mut Vec<ControlEffect>,
    ) {
        let bytes = VersionCodec::encode(&record).len();
        self.on_version(&Arc::new(record), bytes, effects);
    }
}
