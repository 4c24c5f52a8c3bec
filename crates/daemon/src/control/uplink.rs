//! The link of a daemon to its zone's relay: opening it, what the relay says
//! on it, and what follows when it is lost.

use std::time::{Duration, Instant};

use rand::Rng;

use super::pace::{spread_window, CANDIDATE_PAUSE, RELAY_HEAD_START};
use super::{ControlEffect, ControlState, StateChange, ZoneRole};
use crate::messages::{PeerHello, PeerMessage, RelayMessage, RelayWelcome};

/// How often a linked daemon says it is alive.
const BEAT_EVERY: Duration = Duration::from_secs(2);
/// A link that brought no message for this long is given up, on both sides.
pub(super) const LINK_SILENCE: Duration = BEAT_EVERY.saturating_mul(2);

/// A link to a relay.
#[derive(Clone, Debug)]
pub(super) struct RelayLink {
    pub(super) id: u64,
    pub(super) address: String,
    pub(super) joined: bool,
    /// When it was opened or last brought a message.
    pub(super) heard_at: Instant,
}

impl ControlState {
    /// A follower without its link is one no longer.
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
        let id = self.zone.next_link;
        self.zone.next_link += 1;
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
        effects.push(ControlEffect::SendUp {
            link: id,
            message: hello,
        });
        self.zone.link = Some(RelayLink {
            id,
            address,
            joined: false,
            heard_at: self.at.now,
        });
    }

    /// Guards against a link that is open but brings nothing: a relay that
    /// never answers the hello, whose control loop hangs, or whose messages
    /// no longer get through (seen as a daemon that follows a relay and gets
    /// no more versions, while PINGs are answered). Each beat is answered, so
    /// a link that brought nothing over two beats is given up.
    pub(super) fn give_up_silent(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(link) = &self.zone.link else {
            return;
        };
        if self.at.now.saturating_duration_since(link.heard_at) > LINK_SILENCE {
            let id = link.id;
            effects.push(ControlEffect::Disconnect { link: id });
            self.on_link_down(id, effects);
        }
    }

    pub(super) fn beat(&mut self, effects: &mut Vec<ControlEffect>) {
        if self.at.now >= self.zone.next_beat {
            self.zone.next_beat = self.at.now + BEAT_EVERY;
            self.send_up(PeerMessage::Heartbeat, effects);
        }
    }

    /// Sends to the relay behind this daemon's hello, answered yet or not.
    ///
    /// Guards against a target that its zone never hears of (seen as a relay
    /// that sends every call to the other target): announced between the hello,
    /// which does not name it, and the welcome, it was told to nobody.
    pub(super) fn send_behind_hello(&self, message: PeerMessage, effects: &mut Vec<ControlEffect>) {
        if let Some(link) = &self.zone.link {
            effects.push(ControlEffect::SendUp {
                link: link.id,
                message,
            });
        }
    }

    /// Sends to the relay, when linked.
    pub(super) fn send_up(&self, message: PeerMessage, effects: &mut Vec<ControlEffect>) {
        if let Some(link) = self.zone.link.as_ref().filter(|link| link.joined) {
            effects.push(ControlEffect::SendUp {
                link: link.id,
                message,
            });
        }
    }

    /// Links to the relay that holds the lease, unless linked to it already.
    ///
    /// Guards against leaving a good link for a dead relay (seen as a daemon
    /// that gets no more versions after its relay died): the lease row goes
    /// on naming the dead holder until the lease lapses. A daemon that has a
    /// link leaves it only for a holder it saw renew the lease.
    pub(super) fn follow(&mut self, address: String, effects: &mut Vec<ControlEffect>) {
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
        self.send_up(moved, effects);
        self.connect(address, effects);
    }

    pub(super) fn on_relay_said(
        &mut self,
        link: u64,
        message: RelayMessage,
        effects: &mut Vec<ControlEffect>,
    ) {
        let current = self.zone.link.as_mut();
        let Some(current) = current.filter(|current| current.id == link) else {
            return;
        };
        current.heard_at = self.at.now;
        match message {
            RelayMessage::Welcome(welcome) => self.on_welcome(welcome, effects),
            RelayMessage::Refused { relay } => self.on_refused(relay, effects),
            RelayMessage::Version(update) => self.on_update(update, effects),
            RelayMessage::Targets(change) => {
                self.directory.absorb(&change, &self.settings.id);
                self.show_targets(effects);
            }
            RelayMessage::Zone(shape) => self.zone.shape = shape,
            RelayMessage::Platform { reachable } => self.on_relay_platform(reachable, effects),
            RelayMessage::Heartbeat { newest } => self.on_relay_heartbeat(newest, effects),
            RelayMessage::Goodbye { relay } => self.on_goodbye(relay, effects),
        }
    }

    fn on_welcome(&mut self, welcome: RelayWelcome, effects: &mut Vec<ControlEffect>) {
        let Some(link) = self.zone.link.as_mut() else {
            return;
        };
        // Guards against following a relay that was paused while another one
        // took its lease: its token is lower than the one already seen.
        if welcome.token < self.zone.token {
            let id = link.id;
            effects.push(ControlEffect::Disconnect { link: id });
            self.on_link_down(id, effects);
            return;
        }
        link.joined = true;
        let address = link.address.clone();
        effects.push(ControlEffect::Note {
            change: StateChange::RelayJoined {
                address: address.clone(),
                token: welcome.token,
            },
        });
        if self.zone.role.relays() {
            self.dismiss_peers(Some(address), effects);
        }
        self.zone.token = welcome.token;
        self.zone.role = ZoneRole::Follower;
        self.zone.fell_back = false;
        self.zone.lost_address = None;
        self.zone.seen = None;
        self.zone.candidates.clear();
        self.zone.shape = welcome.zone;
        self.zone.relay_reaches_platform = welcome.platform_reachable;
        self.raise_floor(welcome.floor);
        // Read once by every daemon after its start: see `raise_floor`.
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
        // The lost relay's address may come back from a daemon that has not
        // noticed the loss yet; trying it again would only fail again.
        let hint = relay
            .filter(|address| Some(address) != self.zone.lost_address.as_ref())
            .filter(|address| *address != link.address && *address != self.settings.address);
        match hint {
            Some(address) => self.zone.candidates.push_front(address),
            None => self.zone.candidates.push_front(link.address),
        }
        self.retry_soon();
    }

    /// After a refusal or a failed link, the next candidate is tried only
    /// after a jittered pause.
    fn retry_soon(&mut self) {
        let jitter = CANDIDATE_PAUSE.mul_f64(self.rng.random());
        self.zone.next_candidate = self.at.now + CANDIDATE_PAUSE + jitter;
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
        effects.push(ControlEffect::Note { change });
        let window = spread_window(&self.settings, self.zone.shape.size);
        let start = self.at.now + window.mul_f64(self.rng.random());
        self.zone.next_lease_read = start;
        self.zone.next_current_read = start;
    }

    /// Whether a newer version is sure to come from the relay by itself.
    pub(super) fn relay_brings_versions(&self) -> bool {
        self.zone.role == ZoneRole::Follower && self.zone.relay_reaches_platform
    }

    /// Asks for the newest version when a beat tells of one that did not come.
    fn on_relay_heartbeat(&mut self, newest: u64, effects: &mut Vec<ControlEffect>) {
        if newest > self.versions.newest_number() {
            self.send_up(PeerMessage::RequestFullVersion, effects);
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
            self.retry_soon();
            self.refill_candidates();
            return;
        }
        effects.push(ControlEffect::Note {
            change: StateChange::RelayLost {
                address: lost.address.clone(),
            },
        });
        self.zone.lost_address = Some(lost.address);
        self.zone.seen = None;
        self.start_seeking();
        let window = spread_window(&self.settings, self.zone.shape.size);
        let start = self.at.now + window.mul_f64(self.rng.random());
        // The successors are known here, so the platform is asked only by a
        // daemon that does not find one of them within the head start.
        self.zone.next_lease_read = start + RELAY_HEAD_START;
        self.zone.next_current_read = start + RELAY_HEAD_START;
        self.zone.candidates.clear();
        self.refill_candidates();
    }

    /// Puts the successors back on the list once it has run out.
    fn refill_candidates(&mut self) {
        if self.zone.role == ZoneRole::Seeking && self.zone.candidates.is_empty() {
            self.zone.candidates = self.zone.shape.successors.iter().cloned().collect();
        }
    }

    /// The address of the relay this daemon would send a peer to.
    pub(super) fn known_relay(&self) -> Option<String> {
        self.zone
            .link
            .as_ref()
            .filter(|link| link.joined)
            .map(|link| link.address.clone())
    }
}
