//! Who relays in this availability zone. One daemon holds the zone's lease in
//! the platform's table; it alone reads new versions there and passes them on
//! to the others, which link to it. When the relay is lost, the others agree
//! on the next one through the lease; while the platform cannot be reached
//! they fall in behind the first successor, which relays without a lease.
//!
//! A relay without a lease does no harm: versions only ever move forward on a
//! daemon, and each host's targets are known from that host alone. The lease
//! keeps the number of platform readers at one per zone, and its fencing
//! token keeps a relay that was paused from being followed again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbert_store::{LeaseRecord, WriteCondition};
use rand::rngs::StdRng;
use rand::Rng;

use super::lease::{HeldLease, LeaseCall, SeenLease};
use super::pace::{spread_window, CANDIDATE_PAUSE, RELAY_HEAD_START};
use super::uplink::RelayLink;
use super::{ControlEffect, ControlSettings, ControlState, StateChange};
use crate::messages::ZoneShape;
use crate::settings::DistributionMode;

/// How often reported loads are passed on in a small zone.
const LOADS_EVERY: Duration = Duration::from_secs(1);
/// Zone size up to which loads are passed on that often. A relay sends every
/// load to every peer, so beyond it the pause grows with the square of the
/// size, which keeps the relay's bytes for loads constant; proxies of large
/// zones go by the loads that answers carry.
const LOADS_ZONE_SIZE: u32 = 16;
/// Without a relay for this long, a daemon keeps its own rows.
const FALL_BACK_AFTER: Duration = Duration::from_secs(3);
/// Longest pause between platform reads while the platform fails.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// A daemon's part in its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneRole {
    /// It has no relay and is looking for one.
    Seeking,
    /// It is linked to a relay.
    Follower,
    /// It relays without a lease: its relay is lost, or it cannot renew.
    Acting,
    /// It holds the lease and relays.
    Leader,
}

impl ZoneRole {
    /// The role's name in status and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            ZoneRole::Seeking => "seeking",
            ZoneRole::Follower => "follower",
            ZoneRole::Acting => "acting",
            ZoneRole::Leader => "leader",
        }
    }

    /// Whether it takes links from peers.
    #[must_use]
    pub fn relays(self) -> bool {
        matches!(self, ZoneRole::Acting | ZoneRole::Leader)
    }
}

/// What this daemon knows of its zone.
#[derive(Debug)]
pub(super) struct ZoneState {
    pub(super) role: ZoneRole,
    /// The highest fencing token seen.
    pub(super) token: u64,
    /// Whether the relay said it reaches the platform.
    pub(super) relay_reaches_platform: bool,
    /// Whether this daemon has been without a relay long enough to keep rows.
    pub(super) fell_back: bool,
    pub(super) shape: ZoneShape,
    pub(super) held: Option<HeldLease>,
    pub(super) seen: Option<SeenLease>,
    pub(super) lease_call: LeaseCall,
    pub(super) link: Option<RelayLink>,
    pub(super) next_link: u64,
    pub(super) candidates: VecDeque<String>,
    pub(super) lost_address: Option<String>,
    pub(super) next_candidate: Instant,
    pub(super) next_lease_read: Instant,
    pub(super) next_current_read: Instant,
    pub(super) next_beat: Instant,
    pub(super) next_loads: Instant,
    pub(super) without_relay_since: Instant,
    pub(super) stopping: bool,
}

impl ZoneState {
    pub(super) fn new(settings: &ControlSettings, now: Instant, rng: &mut StdRng) -> ZoneState {
        let start = now + spread_window(settings, settings.zone_size_hint).mul_f64(rng.random());
        let head_start = match settings.mode {
            DistributionMode::Direct => Duration::ZERO,
            DistributionMode::Relay => RELAY_HEAD_START,
        };
        ZoneState {
            role: ZoneRole::Seeking,
            token: 0,
            relay_reaches_platform: true,
            fell_back: false,
            shape: ZoneShape {
                successors: Vec::new(),
                size: settings.zone_size_hint,
            },
            held: None,
            seen: None,
            lease_call: LeaseCall::Idle,
            link: None,
            next_link: 1,
            candidates: VecDeque::new(),
            lost_address: None,
            next_candidate: now,
            next_lease_read: start,
            next_current_read: start + head_start,
            next_beat: now,
            next_loads: now,
            without_relay_since: now,
            stopping: false,
        }
    }

    /// The call on the lease row failed. A write whose reply is lost may have
    /// taken effect; the next read, or the next write's refusal, tells.
    pub(super) fn lease_call_failed(&mut self) {
        self.lease_call = LeaseCall::Idle;
    }
}

impl ControlState {
    pub(super) fn tick_zone(&mut self, effects: &mut Vec<ControlEffect>) {
        match self.zone.role {
            ZoneRole::Leader => {
                self.renew_lease(effects);
                self.read_current_paced(self.settings.poll_interval, effects);
            }
            ZoneRole::Acting => {
                self.read_lease_paced(effects);
                self.read_current_paced(self.settings.poll_interval, effects);
            }
            ZoneRole::Follower => {
                if !self.zone.relay_reaches_platform {
                    let window = spread_window(&self.settings, self.zone.shape.size);
                    self.read_lease_paced(effects);
                    self.read_current_paced(self.settings.poll_interval.max(window), effects);
                }
                self.beat(effects);
            }
            ZoneRole::Seeking => self.seek(effects),
        }
        self.give_up_silent(effects);
        self.tend_peers(effects);
        if self.at.now >= self.zone.next_loads {
            let scale = (self.zone.shape.size / LOADS_ZONE_SIZE).max(1);
            self.zone.next_loads = self.at.now + LOADS_EVERY * scale.saturating_pow(2);
            self.spread_loads(effects);
        }
    }

    fn seek(&mut self, effects: &mut Vec<ControlEffect>) {
        let without = self
            .at
            .now
            .saturating_duration_since(self.zone.without_relay_since);
        self.zone.fell_back = without >= FALL_BACK_AFTER;
        let window = spread_window(&self.settings, self.zone.shape.size);
        self.read_lease_paced(effects);
        let due = self.read_current_paced(self.settings.poll_interval.max(window), effects);
        if due && self.zone.fell_back {
            self.read_targets(effects);
            self.refresh_rows(effects);
            self.refresh_report(effects);
        }
        self.try_candidate(effects);
    }

    fn try_candidate(&mut self, effects: &mut Vec<ControlEffect>) {
        if self.zone.link.is_some() || self.at.now < self.zone.next_candidate {
            return;
        }
        let Some(address) = self.zone.candidates.pop_front() else {
            return;
        };
        let jitter = CANDIDATE_PAUSE.mul_f64(self.rng.random());
        self.zone.next_candidate = self.at.now + CANDIDATE_PAUSE + jitter;
        if address == self.settings.address {
            self.act(effects);
        } else {
            self.connect(address, effects);
        }
    }

    /// Starts to relay without a lease, and seeks the lease meanwhile.
    fn act(&mut self, effects: &mut Vec<ControlEffect>) {
        self.zone.role = ZoneRole::Acting;
        self.zone.fell_back = false;
        self.zone.next_lease_read = self.at.now;
        self.zone.next_current_read = self.at.now;
        self.seed_owners();
        effects.push(ControlEffect::Note {
            change: StateChange::RelayActing,
        });
    }

    /// Reads the `current` row at most every `pause`, backing off with jitter
    /// while the platform fails. Returns whether it was time to.
    pub(super) fn read_current_paced(
        &mut self,
        pause: Duration,
        effects: &mut Vec<ControlEffect>,
    ) -> bool {
        if self.at.now < self.zone.next_current_read {
            return false;
        }
        let backoff = BACKOFF_LIMIT.min(pause * 2u32.saturating_pow(self.platform_failures.min(8)));
        let pause = pause.max(backoff);
        let jittered = if pause > self.settings.poll_interval {
            pause.mul_f64(0.5 + self.rng.random::<f64>())
        } else {
            pause
        };
        self.zone.next_current_read = self.at.now + jittered;
        self.read_current(effects);
        true
    }

    /// A planned stop: the lease is released and the peers sent on, so that
    /// the zone does not wait for the lease to lapse.
    pub(super) fn on_stopping(&mut self, effects: &mut Vec<ControlEffect>) {
        self.zone.stopping = true;
        if let Some(held) = self.zone.held.take() {
            let record = LeaseRecord {
                address: String::new(),
                ..held.record
            };
            let expect = WriteCondition::Version(held.row_version);
            effects.push(ControlEffect::WriteLease { expect, record });
        }
        if self.zone.role.relays() {
            let next = self.shape_now().successors.first().cloned();
            self.dismiss_peers(next, effects);
        }
    }

    /// Whether a planned stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        self.zone.stopping
    }
}
