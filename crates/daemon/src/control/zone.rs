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

use filbert_platform::{LeaseRecord, RowExpect};
use rand::rngs::StdRng;
use rand::Rng;

use super::{ControlEffect, ControlSettings, ControlState, LeaseRow, StateChange};
use crate::messages::{PeerHello, PeerMessage, RelayMessage, RelayWelcome, ZoneShape};
use crate::settings::DistributionMode;

/// Renewals per lease time.
const RENEWALS_PER_LEASE: u32 = 3;
/// Pause before the next candidate is tried, at most this much more by jitter.
const CANDIDATE_PAUSE: Duration = Duration::from_millis(100);
/// How often a linked daemon says it is alive.
const BEAT_EVERY: Duration = Duration::from_secs(2);
/// A link that brought no message for this long is given up, on both sides.
pub(super) const LINK_SILENCE: Duration = BEAT_EVERY.saturating_mul(2);
/// How often reported loads are passed on in a small zone.
const LOADS_EVERY: Duration = Duration::from_secs(1);
/// Zone size up to which loads are passed on that often. A relay sends every
/// load to every peer, so beyond it the pause grows with the square of the
/// size, which keeps the relay's bytes for loads constant; proxies of large
/// zones go by the loads that answers carry.
const LOADS_ZONE_SIZE: u32 = 16;
/// Head start the zone's relay gets before a daemon without one reads the
/// version in force from the platform itself.
const RELAY_HEAD_START: Duration = Duration::from_secs(1);
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

/// The lease while held.
#[derive(Clone, Debug)]
struct HeldLease {
    record: LeaseRecord,
    row_version: u64,
    /// When the write that last took effect was sent.
    renewed_at: Instant,
}

/// The lease row as last read, and since when it has not changed.
#[derive(Clone, Debug)]
struct SeenLease {
    row_version: u64,
    since: Instant,
    /// Whether it was seen to change: its holder was alive between two reads.
    renewed: bool,
}

/// The call on the lease row under way, if any; one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseCall {
    Idle,
    Reading,
    /// Writing, since this moment.
    Writing(Instant),
}

/// A link to a relay.
#[derive(Clone, Debug)]
struct RelayLink {
    id: u64,
    address: String,
    joined: bool,
    /// When it was opened or last brought a message.
    heard_at: Instant,
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
    held: Option<HeldLease>,
    seen: Option<SeenLease>,
    lease_call: LeaseCall,
    link: Option<RelayLink>,
    next_link: u64,
    candidates: VecDeque<String>,
    lost_address: Option<String>,
    next_candidate: Instant,
    next_lease_read: Instant,
    next_current_read: Instant,
    next_beat: Instant,
    next_loads: Instant,
    without_relay_since: Instant,
    stopping: bool,
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

/// The time over which a zone's daemons spread one platform read each, so
/// that together they stay within the zone's read limit.
fn spread_window(settings: &ControlSettings, daemons: u32) -> Duration {
    Duration::from_secs(1) * daemons / settings.zone_reads_per_second.max(1)
}

impl ControlState {
    pub(super) fn tick_zone(&mut self, effects: &mut Vec<ControlEffect>) {
        match self.zone.role {
            ZoneRole::Leader => {
                self.renew_lease(effects);
                self.read_current_paced(self.settings.poll, effects);
            }
            ZoneRole::Acting => {
                self.read_lease_paced(effects);
                self.read_current_paced(self.settings.poll, effects);
            }
            ZoneRole::Follower => {
                if !self.zone.relay_reaches_platform {
                    let window = spread_window(&self.settings, self.zone.shape.size);
                    self.read_lease_paced(effects);
                    self.read_current_paced(self.settings.poll.max(window), effects);
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
        let due = self.read_current_paced(self.settings.poll.max(window), effects);
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

    /// A follower without its link is one no longer.
    fn start_seeking(&mut self) {
        if self.zone.role == ZoneRole::Follower {
            self.zone.role = ZoneRole::Seeking;
            self.zone.without_relay_since = self.at.now;
        }
    }

    /// Starts to relay without a lease, and seeks the lease meanwhile.
    fn act(&mut self, effects: &mut Vec<ControlEffect>) {
        self.zone.role = ZoneRole::Acting;
        self.zone.fell_back = false;
        self.zone.next_lease_read = self.at.now;
        self.seed_owners();
        effects.push(ControlEffect::Note {
            change: StateChange::RelayActing,
        });
    }

    fn connect(&mut self, address: String, effects: &mut Vec<ControlEffect>) {
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
    fn give_up_silent(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(link) = &self.zone.link else {
            return;
        };
        if self.at.now.saturating_duration_since(link.heard_at) > LINK_SILENCE {
            let id = link.id;
            effects.push(ControlEffect::Disconnect { link: id });
            self.on_link_down(id, effects);
        }
    }

    fn beat(&mut self, effects: &mut Vec<ControlEffect>) {
        if self.at.now >= self.zone.next_beat {
            self.zone.next_beat = self.at.now + BEAT_EVERY;
            self.send_up(PeerMessage::Beat, effects);
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
        let jittered = if pause > self.settings.poll {
            pause.mul_f64(0.5 + self.rng.random::<f64>())
        } else {
            pause
        };
        self.zone.next_current_read = self.at.now + jittered;
        self.read_current(effects);
        true
    }

    fn read_lease_paced(&mut self, effects: &mut Vec<ControlEffect>) {
        if self.at.now < self.zone.next_lease_read || self.zone.lease_call != LeaseCall::Idle {
            return;
        }
        let window = spread_window(&self.settings, self.zone.shape.size);
        let pause = (self.settings.lease_time / RENEWALS_PER_LEASE).max(window);
        let jitter = pause.mul_f64(self.rng.random::<f64>() * 0.5);
        self.zone.next_lease_read = self.at.now + pause + jitter;
        self.zone.lease_call = LeaseCall::Reading;
        effects.push(ControlEffect::ReadLease);
    }

    /// Guards against a holder that was paused past its lease and goes on as
    /// if it held it (seen as two relays at once): the monotonic clock runs
    /// on during the pause, so the first event after it finds the lease
    /// lapsed before anything else is done. What it sent before is fenced by
    /// its token.
    pub(super) fn check_lease(&mut self, effects: &mut Vec<ControlEffect>) {
        let lapsed = self.zone.held.as_ref().is_some_and(|held| {
            self.at.now.saturating_duration_since(held.renewed_at) >= self.settings.lease_time
        });
        if lapsed {
            self.lose_lease(effects);
        }
    }

    fn lose_lease(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(held) = self.zone.held.take() else {
            return;
        };
        self.zone.role = ZoneRole::Acting;
        self.zone.next_lease_read = self.at.now;
        effects.push(ControlEffect::Note {
            change: StateChange::LeaseLost {
                token: held.record.token,
            },
        });
        self.tell_platform_state(effects);
    }

    fn renew_lease(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(held) = &self.zone.held else {
            return;
        };
        let due = self.settings.lease_time / RENEWALS_PER_LEASE;
        let age = self.at.now.saturating_duration_since(held.renewed_at);
        if age < due || self.zone.lease_call != LeaseCall::Idle || self.zone.stopping {
            return;
        }
        let record = LeaseRecord {
            renewed_at_ms: self.at.wall_ms(),
            ..held.record.clone()
        };
        let expect = RowExpect::Version(held.row_version);
        self.write_lease(expect, record, effects);
    }

    fn write_lease(
        &mut self,
        expect: RowExpect,
        record: LeaseRecord,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.zone.lease_call = LeaseCall::Writing(self.at.now);
        effects.push(ControlEffect::WriteLease { expect, record });
    }

    fn take_lease(&mut self, row: Option<&LeaseRow>, effects: &mut Vec<ControlEffect>) {
        if self.zone.lease_call != LeaseCall::Idle || self.zone.stopping {
            return;
        }
        let seen_token = row.map_or(0, |row| row.record.token);
        let record = LeaseRecord {
            holder: self.settings.id.clone(),
            incarnation: self.settings.incarnation,
            token: seen_token.max(self.zone.token) + 1,
            address: self.settings.address.clone(),
            renewed_at_ms: self.at.wall_ms(),
        };
        let expect = row.map_or(RowExpect::Absent, |row| RowExpect::Version(row.version));
        self.write_lease(expect, record, effects);
    }

    pub(super) fn on_lease_read(
        &mut self,
        row: Option<LeaseRow>,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.zone.lease_call = LeaseCall::Idle;
        self.platform_answered(effects);
        if self.zone.role == ZoneRole::Leader {
            return;
        }
        self.judge_lease(row, effects);
    }

    pub(super) fn on_lease_refused(
        &mut self,
        row: Option<LeaseRow>,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.zone.lease_call = LeaseCall::Idle;
        self.platform_answered(effects);
        // Guards against giving up a lease that is still ours: a renewal whose
        // reply was lost moved the row on, so the next one is refused though
        // nobody else took it.
        let still_ours = row.as_ref().filter(|row| self.is_own(&row.record));
        if let (Some(row), Some(held)) = (still_ours, self.zone.held.as_mut()) {
            held.row_version = row.version;
            return;
        }
        self.lose_lease(effects);
        self.judge_lease(row, effects);
    }

    pub(super) fn on_lease_written(&mut self, row: LeaseRow, effects: &mut Vec<ControlEffect>) {
        let LeaseCall::Writing(sent_at) = self.zone.lease_call else {
            return;
        };
        self.zone.lease_call = LeaseCall::Idle;
        self.platform_answered(effects);
        if row.record.address.is_empty() {
            return;
        }
        self.hold_lease(row, sent_at, effects);
    }

    fn hold_lease(&mut self, row: LeaseRow, sent_at: Instant, effects: &mut Vec<ControlEffect>) {
        let token = row.record.token;
        self.zone.held = Some(HeldLease {
            record: row.record,
            row_version: row.version,
            renewed_at: sent_at,
        });
        self.zone.token = self.zone.token.max(token);
        if self.zone.role == ZoneRole::Leader {
            return;
        }
        if let Some(link) = self.zone.link.take() {
            let message = PeerMessage::Moved {
                relay: self.settings.address.clone(),
            };
            effects.push(ControlEffect::SendUp {
                link: link.id,
                message,
            });
            effects.push(ControlEffect::Disconnect { link: link.id });
        }
        if !self.zone.role.relays() {
            self.seed_owners();
        }
        self.zone.role = ZoneRole::Leader;
        self.zone.fell_back = false;
        self.peers.digest_dirty = true;
        effects.push(ControlEffect::Note {
            change: StateChange::LeaseTaken { token },
        });
        self.tell_platform_state(effects);
        self.read_current(effects);
        self.check_lease(effects);
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.settings.id
            && record.incarnation == self.settings.incarnation
            && !record.address.is_empty()
    }

    /// Decides what a lease row read while not holding the lease calls for.
    ///
    /// Whether the lease has lapsed is judged by this daemon's own monotonic
    /// clock: the row has not changed for a lease time since it was first
    /// seen so. The holder counts from before its write, so it always stops
    /// first, whatever either wall clock says.
    fn judge_lease(&mut self, row: Option<LeaseRow>, effects: &mut Vec<ControlEffect>) {
        let Some(row) = row else {
            self.take_lease(None, effects);
            return;
        };
        self.zone.token = self.zone.token.max(row.record.token);
        let seen = self.zone.seen.take();
        let unchanged = seen.as_ref().filter(|seen| seen.row_version == row.version);
        let since = unchanged.map_or(self.at.now, |seen| seen.since);
        let renewed = seen.is_some() && unchanged.is_none();
        self.zone.seen = Some(SeenLease {
            row_version: row.version,
            since,
            renewed,
        });
        let released = row.record.address.is_empty();
        let own = row.record.holder == self.settings.id;
        let lapsed = self.at.now.saturating_duration_since(since) >= self.settings.lease_time;
        if released || own || lapsed {
            self.take_lease(Some(&row), effects);
        } else {
            self.follow(row.record.address, effects);
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
            RelayMessage::Beat { newest } => self.on_relay_beat(newest, effects),
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

    /// After a refusal or a failed link: the same list again, up to the own
    /// address, after a jittered pause.
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
    fn on_relay_beat(&mut self, newest: u64, effects: &mut Vec<ControlEffect>) {
        if newest > self.versions.newest_number() {
            self.send_up(PeerMessage::NeedWhole, effects);
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
        self.zone.next_lease_read = start;
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

    /// A planned stop: the lease is released and the peers sent on, so that
    /// the zone does not wait for the lease to lapse.
    pub(super) fn on_stopping(&mut self, effects: &mut Vec<ControlEffect>) {
        self.zone.stopping = true;
        if let Some(held) = self.zone.held.take() {
            let record = LeaseRecord {
                address: String::new(),
                ..held.record
            };
            let expect = RowExpect::Version(held.row_version);
            effects.push(ControlEffect::WriteLease { expect, record });
        }
        if self.zone.role.relays() {
            let next = self.shape_now().successors.first().cloned();
            self.dismiss_peers(next, effects);
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

    /// Whether a planned stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        self.zone.stopping
    }
}
