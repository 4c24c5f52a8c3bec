//! The peer's side of the link to the zone's relay: opening the link, handling
//! the relay's messages, and reconnecting after the link is lost.

use std::time::{Duration, Instant};

use rand::Rng;

use super::pace::{read_spread_window, CANDIDATE_RETRY_DELAY, PLATFORM_READ_DELAY};
use super::{ControlEffect, ControlState, StateChange, ZoneRole};
use crate::messages::{PeerHello, PeerMessage, RelayMessage, RelayWelcome};

/// Time between two heartbeats from a linked daemon to its relay.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Either side closes a link on which no message has arrived for this long.
pub(super) const LINK_IDLE_TIMEOUT: Duration = HEARTBEAT_INTERVAL.saturating_mul(2);

/// A link to a relay.
#[derive(Clone, Debug)]
pub(super) struct RelayLink {
    pub(super) id: u64,
    pub(super) address: String,
    /// Whether the relay has accepted this daemon with a welcome message.
    pub(super) joined: bool,
    /// When the link was opened or its last message arrived.
    pub(super) last_received_at: Instant,
}

impl ControlState {
    /// Moves a follower that has lost its link to the seeking role.
    fn start_seeking(&mut self) {
        if self.zone.role == ZoneRole::Follower {
            self.zone.role = ZoneRole::Seeking;
            self.zone.without_relay_since = self.at.now;
        }
    }

    pub(super) fn connect(&mut self, address: String, effects: &mut Vec<ControlEffect>) {
        if let Some(old) = self.zone.link.take() {
            effects.push(ControlEffect::Disconnect { link: old.id });
            self.start_seeking();
        }
        let id = self.zone.next_link_id;
        self.zone.next_link_id += 1;
        effects.push(ControlEffect::Connect {
            link: id,
            address: address.clone(),
        });
        let hello = PeerMessage::Hello(PeerHello {
            id: self.settings.id.clone(),
            address: self.settings.address.clone(),
            applied: self.versions.applied,
            rejected: self.versions.rejected.clone(),
            targets: self.directory.local_records(),
        });
        effects.push(ControlEffect::SendToRelay {
            link: id,
            message: hello,
        });
        self.zone.link = Some(RelayLink {
            id,
            address,
            joined: false,
            last_received_at: self.at.now,
        });
    }

    /// Closes a link on which no message has arrived for [`LINK_IDLE_TIMEOUT`].
    ///
    /// The relay answers each heartbeat, so silence over two heartbeats means
    /// that it never answered the hello, that its control loop hangs, or that
    /// its messages no longer arrive. Its HTTP/2 PINGs may still be answered;
    /// without this check the daemon would follow that relay and get no more
    /// versions.
    pub(super) fn close_silent_link(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(link) = &self.zone.link else {
            return;
        };
        if self.at.now.saturating_duration_since(link.last_received_at) > LINK_IDLE_TIMEOUT {
            let id = link.id;
            effects.push(ControlEffect::Disconnect { link: id });
            self.on_link_down(id, effects);
        }
    }

    pub(super) fn send_heartbeat_if_due(&mut self, effects: &mut Vec<ControlEffect>) {
        if self.at.now >= self.zone.next_heartbeat {
            self.zone.next_heartbeat = self.at.now + HEARTBEAT_INTERVAL;
            self.send_to_relay(PeerMessage::Heartbeat, effects);
        }
    }

    /// Sends a message to the relay on an open link, even if the relay has not
    /// answered this daemon's hello yet.
    ///
    /// A target announced between the hello, which does not list it, and the
    /// welcome must be reported too. Otherwise the zone never learns of the
    /// target, and the relay's proxy sends every call to the other targets.
    pub(super) fn send_after_hello(&self, message: PeerMessage, effects: &mut Vec<ControlEffect>) {
        if let Some(link) = &self.zone.link {
            effects.push(ControlEffect::SendToRelay {
                link: link.id,
                message,
            });
        }
    }

    /// Sends a message to the relay if it has accepted this daemon; otherwise does nothing.
    pub(super) fn send_to_relay(&self, message: PeerMessage, effects: &mut Vec<ControlEffect>) {
        if let Some(link) = self.zone.link.as_ref().filter(|link| link.joined) {
            effects.push(ControlEffect::SendToRelay {
                link: link.id,
                message,
            });
        }
    }

    /// Links to the relay that holds the lease, unless already linked to it.
    ///
    /// A daemon that has joined a relay leaves it only for a holder that it
    /// has seen renew the lease. The lease row names a dead holder until the
    /// lease expires; a daemon that left a working link for that holder would
    /// get no more versions.
    pub(super) fn follow_relay(&mut self, address: String, effects: &mut Vec<ControlEffect>) {
        let Some(link) = &self.zone.link else {
            self.connect(address, effects);
            return;
        };
        let renewed = self.zone.seen.as_ref().is_some_and(|seen| seen.renewed);
        if link.address == address || (link.joined && !renewed) {
            return;
        }
        let moved = PeerMessage::Moved {
            relay: address.clone(),
        };
        self.send_to_relay(moved, effects);
        self.connect(address, effects);
    }

    pub(super) fn on_relay_message(
        &mut self,
        link: u64,
        message: RelayMessage,
        effects: &mut Vec<ControlEffect>,
    ) {
        let current = self.zone.link.as_mut();
        let Some(current) = current.filter(|current| current.id == link) else {
            return;
        };
        current.last_received_at = self.at.now;
        match message {
            RelayMessage::Welcome(welcome) => self.on_welcome(welcome, effects),
            RelayMessage::Refused { relay } => self.on_refused(relay, effects),
            RelayMessage::Version(update) => self.on_version_update(update, effects),
            RelayMessage::Targets(change) => {
                self.directory.apply_change(&change, &self.settings.id);
                self.publish_targets(effects);
            }
            RelayMessage::Zone(membership) => self.zone.membership = membership,
            RelayMessage::Platform { reachable } => self.on_relay_platform(reachable, effects),
            RelayMessage::Heartbeat { newest } => self.on_relay_heartbeat(newest, effects),
            RelayMessage::RequestVersion => self.on_version_requested(effects),
            RelayMessage::Goodbye { relay } => self.on_goodbye(relay, effects),
        }
    }

    fn on_welcome(&mut self, welcome: RelayWelcome, effects: &mut Vec<ControlEffect>) {
        let Some(link) = self.zone.link.as_mut() else {
            return;
        };
        // A relay that was paused while another daemon took its lease has a
        // lower fencing token than the highest one seen, and is not followed.
        if welcome.token < self.zone.token {
            let id = link.id;
            effects.push(ControlEffect::Disconnect { link: id });
            self.on_link_down(id, effects);
            return;
        }
        link.joined = true;
        let address = link.address.clone();
        effects.push(ControlEffect::RecordStateChange {
            change: StateChange::RelayJoined {
                address: address.clone(),
                token: welcome.token,
            },
        });
        if self.zone.role.is_relay() {
            self.redirect_peers(Some(address), effects);
        }
        self.zone.token = welcome.token;
        self.zone.role = ZoneRole::Follower;
        self.zone.fallback_active = false;
        self.zone.lost_relay_address = None;
        self.zone.seen = None;
        self.zone.candidates.clear();
        self.zone.membership = welcome.zone;
        self.zone.relay_reaches_platform = welcome.platform_reachable;
        self.versions.floor.raise(welcome.floor);
        // Every daemon reads `current` once after its start; [`super::floor`] gives the reason.
        if !self.versions.floor_known {
            self.read_current(effects);
        }
    }

    fn on_refused(&mut self, relay: Option<String>, effects: &mut Vec<ControlEffect>) {
        let Some(link) = self.zone.link.take() else {
            return;
        };
        effects.push(ControlEffect::Disconnect { link: link.id });
        self.start_seeking();
        // A daemon that has not noticed the loss of the relay may still name
        // its address. A link to that address would only fail again.
        let next_relay = relay
            .filter(|address| Some(address) != self.zone.lost_relay_address.as_ref())
            .filter(|address| *address != link.address && *address != self.settings.address);
        match next_relay {
            Some(address) => self.zone.candidates.push_front(address),
            None => self.zone.candidates.push_front(link.address),
        }
        self.delay_next_candidate();
    }

    /// Delays the next candidate, with jitter, after a refusal or a failed link.
    fn delay_next_candidate(&mut self) {
        let jitter = CANDIDATE_RETRY_DELAY.mul_f64(self.rng.random());
        self.zone.next_candidate = self.at.now + CANDIDATE_RETRY_DELAY + jitter;
    }

    fn on_relay_platform(&mut self, reachable: bool, effects: &mut Vec<ControlEffect>) {
        if self.zone.relay_reaches_platform == reachable {
            return;
        }
        self.zone.relay_reaches_platform = reachable;
        let change = if reachable {
            StateChange::PlatformBack
        } else {
            StateChange::PlatformLost {
                serving: self.versions.applied,
            }
        };
        effects.push(ControlEffect::RecordStateChange { change });
        let window = read_spread_window(&self.settings, self.zone.membership.size);
        let start = self.at.now + window.mul_f64(self.rng.random());
        self.zone.next_lease_read = start;
        self.zone.next_current_read = start;
    }

    /// Whether the relay sends newer versions without being asked, so that this
    /// daemon need not fetch them from the platform.
    pub(super) fn relay_provides_versions(&self) -> bool {
        self.zone.role == ZoneRole::Follower && self.zone.relay_reaches_platform
    }

    /// Requests the newest version if the relay's heartbeat names one that has not arrived.
    fn on_relay_heartbeat(&mut self, newest: u64, effects: &mut Vec<ControlEffect>) {
        if newest > self.versions.newest_number() {
            self.send_to_relay(PeerMessage::RequestFullVersion, effects);
        }
    }

    fn on_goodbye(&mut self, relay: Option<String>, effects: &mut Vec<ControlEffect>) {
        let Some(link) = self.zone.link.as_ref().map(|link| link.id) else {
            return;
        };
        effects.push(ControlEffect::Disconnect { link });
        self.on_link_down(link, effects);
        if let Some(address) = relay {
            self.zone.candidates.push_front(address);
        }
    }

    pub(super) fn on_link_down(&mut self, link: u64, effects: &mut Vec<ControlEffect>) {
        let Some(lost) = self.zone.link.take_if(|current| current.id == link) else {
            return;
        };
        self.zone.next_candidate = self.at.now;
        if !lost.joined {
            self.delay_next_candidate();
            self.refill_candidates();
            return;
        }
        effects.push(ControlEffect::RecordStateChange {
            change: StateChange::RelayLost {
                address: lost.address.clone(),
            },
        });
        self.zone.lost_relay_address = Some(lost.address);
        self.zone.seen = None;
        self.start_seeking();
        let window = read_spread_window(&self.settings, self.zone.membership.size);
        let start = self.at.now + window.mul_f64(self.rng.random());
        // The successors are known, so a daemon reads from the platform only
        // if it has not linked to one of them within this delay.
        self.zone.next_lease_read = start + PLATFORM_READ_DELAY;
        self.zone.next_current_read = start + PLATFORM_READ_DELAY;
        self.zone.candidates.clear();
        self.refill_candidates();
    }

    /// Refills an empty candidate list with the known successors while seeking a relay.
    fn refill_candidates(&mut self) {
        if self.zone.role == ZoneRole::Seeking && self.zone.candidates.is_empty() {
            self.zone.candidates = self.zone.membership.successors.iter().cloned().collect();
        }
    }

    /// The address of the relay that this daemon has joined, or `None`. A peer that
    /// this daemon refuses is redirected to that relay.
    pub(super) fn known_relay(&self) -> Option<String> {
        self.zone
            .link
            .as_ref()
            .filter(|link| link.joined)
            .map(|link| link.address.clone())
    }
}
