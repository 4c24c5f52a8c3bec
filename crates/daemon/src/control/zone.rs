//! Election of the relay in this availability zone. One daemon holds the zone's
//! lease in the platform's table. Only this leader reads new versions from the
//! platform, and it sends them to the other daemons, which link to it. When the
//! relay is lost, the other daemons elect the next one through the lease. While
//! the platform cannot be reached, they link to the first successor, which
//! relays without a lease.
//!
//! A relay without a lease is safe: a daemon never goes back to an older
//! version, and each host's targets are reported by that host alone. The lease
//! limits the platform's readers to one per zone, and its fencing token keeps
//! daemons from following a relay again that was paused past its lease.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbert_store::{LeaseRecord, WriteCondition};
use rand::rngs::StdRng;
use rand::Rng;

use super::lease::{HeldLease, LeaseCall, SeenLease};
use super::pace::{read_spread_window, CANDIDATE_RETRY_DELAY, PLATFORM_READ_DELAY};
use super::uplink::RelayLink;
use super::{ControlEffect, ControlSettings, ControlState, StateChange};
use crate::messages::ZoneMembership;
use crate::settings::DistributionMode;

/// Time between two reports of changed target loads in a small zone.
const LOAD_BROADCAST_INTERVAL: Duration = Duration::from_secs(1);
/// Zone size, in daemons, for which [`LOAD_BROADCAST_INTERVAL`] applies. A relay
/// sends every load to every peer, so in larger zones the interval grows with the
/// square of the size, in whole multiples of this one, which keeps the bytes that
/// the relay sends for loads constant. Proxies of large zones rely on the loads
/// that answers carry.
const SMALL_ZONE_SIZE: u32 = 16;
/// A daemon that has had no relay for this long writes its own rows to the platform.
const FALLBACK_DELAY: Duration = Duration::from_secs(3);
/// Maximum backoff, before jitter, between platform reads while the platform fails.
const MAX_READ_BACKOFF: Duration = Duration::from_secs(2);

/// A daemon's role in its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneRole {
    /// The daemon has no relay and is looking for one.
    Seeking,
    /// The daemon has joined a relay.
    Follower,
    /// The daemon relays without a lease, since its relay was lost or since it
    /// lost its own lease.
    Acting,
    /// The daemon holds the lease and relays.
    Leader,
}

impl ZoneRole {
    /// The role's name in the status.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            ZoneRole::Seeking => "seeking",
            ZoneRole::Follower => "follower",
            ZoneRole::Acting => "acting",
            ZoneRole::Leader => "leader",
        }
    }

    /// Whether a daemon in this role accepts links from peers.
    #[must_use]
    pub fn is_relay(self) -> bool {
        matches!(self, ZoneRole::Acting | ZoneRole::Leader)
    }
}

/// This daemon's state in its zone.
#[derive(Debug)]
pub(super) struct ZoneState {
    pub(super) role: ZoneRole,
    /// The highest fencing token seen, including that of this daemon's own lease.
    pub(super) token: u64,
    /// Whether the relay reported that it reaches the platform.
    pub(super) relay_reaches_platform: bool,
    /// Whether this daemon writes its own rows, after [`FALLBACK_DELAY`] without a relay.
    pub(super) fallback_active: bool,
    /// The zone's membership: as the relay last reported it or, on a relay, with
    /// the size last broadcast.
    pub(super) membership: ZoneMembership,
    pub(super) held: Option<HeldLease>,
    pub(super) seen: Option<SeenLease>,
    pub(super) lease_call: LeaseCall,
    pub(super) link: Option<RelayLink>,
    pub(super) next_link_id: u64,
    /// Relay addresses to try next, in order, while seeking.
    pub(super) candidates: VecDeque<String>,
    /// The address of the relay that was lost last.
    pub(super) lost_relay_address: Option<String>,
    /// When the next candidate may be tried.
    pub(super) next_candidate: Instant,
    pub(super) next_lease_read: Instant,
    pub(super) next_current_read: Instant,
    pub(super) next_heartbeat: Instant,
    pub(super) next_load_broadcast: Instant,
    pub(super) without_relay_since: Instant,
    pub(super) stopping: bool,
}

impl ZoneState {
    pub(super) fn new(settings: &ControlSettings, now: Instant, rng: &mut StdRng) -> ZoneState {
        let start =
            now + read_spread_window(settings, settings.zone_size_hint).mul_f64(rng.random());
        let read_delay = match settings.mode {
            DistributionMode::Direct => Duration::ZERO,
            DistributionMode::Relay => PLATFORM_READ_DELAY,
        };
        ZoneState {
            role: ZoneRole::Seeking,
            token: 0,
            relay_reaches_platform: true,
            fallback_active: false,
            membership: ZoneMembership {
                successors: Vec::new(),
                size: settings.zone_size_hint,
            },
            held: None,
            seen: None,
            lease_call: LeaseCall::Idle,
            link: None,
            next_link_id: 1,
            candidates: VecDeque::new(),
            lost_relay_address: None,
            next_candidate: now,
            next_lease_read: start,
            next_current_read: start + read_delay,
            next_heartbeat: now,
            next_load_broadcast: now,
            without_relay_since: now,
            stopping: false,
        }
    }

    /// Handles a failed read or write of the lease row. A write whose reply was
    /// lost may have taken effect; the next read, or the refusal of the next
    /// write, shows whether it did.
    pub(super) fn on_lease_call_failed(&mut self) {
        self.lease_call = LeaseCall::Idle;
    }
}

impl ControlState {
    pub(super) fn tick_zone(&mut self, effects: &mut Vec<ControlEffect>) {
        match self.zone.role {
            ZoneRole::Leader => {
                self.renew_lease_if_due(effects);
                self.read_current_if_due(self.settings.poll_interval, effects);
            }
            ZoneRole::Acting => {
                self.read_lease_if_due(effects);
                self.read_current_if_due(self.settings.poll_interval, effects);
            }
            ZoneRole::Follower => {
                if !self.zone.relay_reaches_platform {
                    let window = read_spread_window(&self.settings, self.zone.membership.size);
                    self.read_lease_if_due(effects);
                    self.read_current_if_due(self.settings.poll_interval.max(window), effects);
                }
                self.send_heartbeat_if_due(effects);
            }
            ZoneRole::Seeking => self.tick_seeking(effects),
        }
        self.close_silent_link(effects);
        self.maintain_peers(effects);
        if self.at.now >= self.zone.next_load_broadcast {
            let scale = (self.zone.membership.size / SMALL_ZONE_SIZE).max(1);
            self.zone.next_load_broadcast =
                self.at.now + LOAD_BROADCAST_INTERVAL * scale.saturating_pow(2);
            self.broadcast_loads(effects);
        }
    }

    fn tick_seeking(&mut self, effects: &mut Vec<ControlEffect>) {
        let without = self
            .at
            .now
            .saturating_duration_since(self.zone.without_relay_since);
        self.zone.fallback_active = without >= FALLBACK_DELAY;
        let window = read_spread_window(&self.settings, self.zone.membership.size);
        self.read_lease_if_due(effects);
        let due = self.read_current_if_due(self.settings.poll_interval.max(window), effects);
        if due && self.zone.fallback_active {
            self.read_targets(effects);
            self.refresh_target_rows(effects);
            self.refresh_status(effects);
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
        let jitter = CANDIDATE_RETRY_DELAY.mul_f64(self.rng.random());
        self.zone.next_candidate = self.at.now + CANDIDATE_RETRY_DELAY + jitter;
        if address == self.settings.address {
            self.start_acting(effects);
        } else {
            self.connect(address, effects);
        }
    }

    /// Starts to relay without a lease. The daemon keeps reading the lease row and
    /// takes the lease when it can.
    fn start_acting(&mut self, effects: &mut Vec<ControlEffect>) {
        self.zone.role = ZoneRole::Acting;
        self.zone.fallback_active = false;
        self.zone.next_lease_read = self.at.now;
        self.zone.next_current_read = self.at.now;
        self.mark_known_hosts_unlinked();
        effects.push(ControlEffect::RecordStateChange {
            change: StateChange::RelayActing,
        });
    }

    /// Reads the `current` row at most once per `interval`, with exponential
    /// backoff and jitter while the platform fails. Returns whether a read was due.
    pub(super) fn read_current_if_due(
        &mut self,
        interval: Duration,
        effects: &mut Vec<ControlEffect>,
    ) -> bool {
        if self.at.now < self.zone.next_current_read {
            return false;
        }
        let backoff =
            MAX_READ_BACKOFF.min(interval * 2u32.saturating_pow(self.platform_failures.min(8)));
        let interval = interval.max(backoff);
        let jittered = if interval > self.settings.poll_interval {
            interval.mul_f64(0.5 + self.rng.random::<f64>())
        } else {
            interval
        };
        self.zone.next_current_read = self.at.now + jittered;
        self.read_current(effects);
        true
    }

    /// Handles a planned stop: releases the lease and redirects the peers, so that
    /// the zone does not wait for the lease to expire.
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
        if self.zone.role.is_relay() {
            let next = self.current_membership().successors.first().cloned();
            self.redirect_peers(next, effects);
        }
    }

    /// Whether a planned stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        self.zone.stopping
    }
}
