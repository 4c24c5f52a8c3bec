//! The zone's lease: acquiring and renewing it, detecting that it expired, and
//! losing it. The lease row in the platform's table is written by
//! compare-and-set only.

use std::time::Instant;

use filbert_store::{LeaseRecord, WriteCondition};
use rand::Rng;

use super::pace::read_spread_window;
use super::{ControlEffect, ControlState, LeaseRow, StateChange, ZoneRole};
use crate::messages::PeerMessage;

/// Number of renewals within one lease duration. The same fraction of the lease
/// duration is the shortest regular interval at which daemons that do not hold
/// the lease read its row.
const RENEWALS_PER_LEASE: u32 = 3;

/// The lease that this daemon holds.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    pub(super) record: LeaseRecord,
    /// Version of the lease row, which the next compare-and-set expects.
    pub(super) row_version: u64,
    /// When the last successful write of the row was sent.
    pub(super) renewed_at: Instant,
}

/// The lease row as last read while this daemon does not hold the lease.
#[derive(Clone, Debug)]
pub(super) struct SeenLease {
    pub(super) row_version: u64,
    /// When the row was first read at this version.
    pub(super) since: Instant,
    /// Whether the row changed between the last two reads, which shows that its
    /// holder was alive.
    pub(super) renewed: bool,
}

/// The platform call on the lease row that is in flight. At most one is at any
/// time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseCall {
    Idle,
    Reading,
    /// The row is being written; the write was sent at this time.
    Writing(Instant),
}

impl ControlState {
    /// Reads the lease row if its next read is due and no call on it is in flight.
    pub(super) fn read_lease_if_due(&mut self, effects: &mut Vec<ControlEffect>) {
        if self.at.now < self.zone.next_lease_read || self.zone.lease_call != LeaseCall::Idle {
            return;
        }
        let window = read_spread_window(&self.settings, self.zone.membership.size);
        let interval = (self.settings.lease_duration / RENEWALS_PER_LEASE).max(window);
        let jitter = interval.mul_f64(self.rng.random::<f64>() * 0.5);
        self.zone.next_lease_read = self.at.now + interval + jitter;
        self.zone.lease_call = LeaseCall::Reading;
        effects.push(ControlEffect::ReadLease);
    }

    /// Gives up the held lease once it has expired. Runs before every event is
    /// handled.
    ///
    /// Guards against a holder that was paused for longer than its lease and
    /// continues as leader, which shows as two relays at once. The monotonic
    /// clock advances during the pause, so the first event after it finds the
    /// lease expired. Messages sent before the pause are fenced by their token.
    pub(super) fn expire_held_lease(&mut self, effects: &mut Vec<ControlEffect>) {
        let expired = self.zone.held.as_ref().is_some_and(|held| {
            self.at.now.saturating_duration_since(held.renewed_at) >= self.settings.lease_duration
        });
        if expired {
            self.lose_lease(effects);
        }
    }

    /// Gives up the held lease. This daemon remains the relay, without a lease,
    /// and reads the lease row at the next tick.
    fn lose_lease(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(held) = self.zone.held.take() else {
            return;
        };
        self.zone.role = ZoneRole::Acting;
        self.zone.next_lease_read = self.at.now;
        effects.push(ControlEffect::RecordStateChange {
            change: StateChange::LeaseLost {
                token: held.record.token,
            },
        });
        self.broadcast_platform_state(effects);
    }

    /// Renews the held lease if it is due, unless a call on the lease row is in
    /// flight or the daemon is stopping.
    pub(super) fn renew_lease_if_due(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(held) = &self.zone.held else {
            return;
        };
        let interval = self.settings.lease_duration / RENEWALS_PER_LEASE;
        let age = self.at.now.saturating_duration_since(held.renewed_at);
        if age < interval || self.zone.lease_call != LeaseCall::Idle || self.zone.stopping {
            return;
        }
        let record = LeaseRecord {
            renewed_at_ms: self.at.wall_ms(),
            ..held.record.clone()
        };
        let expect = WriteCondition::Version(held.row_version);
        self.write_lease(expect, record, effects);
    }

    fn write_lease(
        &mut self,
        expect: WriteCondition,
        record: LeaseRecord,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.zone.lease_call = LeaseCall::Writing(self.at.now);
        effects.push(ControlEffect::WriteLease { expect, record });
    }

    /// Writes this daemon into the lease row as the holder, with a token above
    /// every token seen, provided that the row still is as in `row`.
    fn try_acquire_lease(&mut self, row: Option<&LeaseRow>, effects: &mut Vec<ControlEffect>) {
        if self.zone.lease_call != LeaseCall::Idle || self.zone.stopping {
            return;
        }
        let seen_token = row.map_or(0, |row| row.record.token);
        let record = LeaseRecord {
            holder: self.settings.id.clone(),
            incarnation: self.settings.incarnation,
            token: seen_token.max(self.zone.token).saturating_add(1),
            address: self.settings.address.clone(),
            renewed_at_ms: self.at.wall_ms(),
        };
        let expect = row.map_or(WriteCondition::Absent, |row| {
            WriteCondition::Version(row.version)
        });
        self.write_lease(expect, record, effects);
    }

    pub(super) fn on_lease_read(
        &mut self,
        row: Option<LeaseRow>,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.zone.lease_call = LeaseCall::Idle;
        self.on_platform_answered(effects);
        if self.zone.role == ZoneRole::Leader {
            return;
        }
        self.evaluate_lease_row(row, effects);
    }

    pub(super) fn on_lease_refused(
        &mut self,
        row: Option<LeaseRow>,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.zone.lease_call = LeaseCall::Idle;
        self.on_platform_answered(effects);
        // Guards against giving up a lease that this daemon still holds. A
        // renewal whose response was lost has advanced the row version, so the
        // next renewal is refused although no other daemon acquired the lease.
        let own_row = row.as_ref().filter(|row| self.is_own_lease(&row.record));
        if let (Some(row), Some(held)) = (own_row, self.zone.held.as_mut()) {
            held.row_version = row.version;
            return;
        }
        self.lose_lease(effects);
        self.evaluate_lease_row(row, effects);
    }

    pub(super) fn on_lease_written(&mut self, row: LeaseRow, effects: &mut Vec<ControlEffect>) {
        let LeaseCall::Writing(sent_at) = self.zone.lease_call else {
            return;
        };
        self.zone.lease_call = LeaseCall::Idle;
        self.on_platform_answered(effects);
        if row.record.address.is_empty() {
            return;
        }
        self.record_held_lease(row, sent_at, effects);
    }

    /// Records the lease row that a write sent at `sent_at` stored, and makes
    /// this daemon the leader if it is not already.
    fn record_held_lease(
        &mut self,
        row: LeaseRow,
        sent_at: Instant,
        effects: &mut Vec<ControlEffect>,
    ) {
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
            effects.push(ControlEffect::SendToRelay {
                link: link.id,
                message,
            });
            effects.push(ControlEffect::Disconnect { link: link.id });
        }
        if !self.zone.role.is_relay() {
            self.mark_known_hosts_unlinked();
        }
        self.zone.role = ZoneRole::Leader;
        self.zone.fallback_active = false;
        self.peers.digest_dirty = true;
        effects.push(ControlEffect::RecordStateChange {
            change: StateChange::LeaseTaken { token },
        });
        self.broadcast_platform_state(effects);
        self.zone.next_current_read = self.at.now;
        self.read_current_if_due(self.settings.poll_interval, effects);
        self.expire_held_lease(effects);
    }

    /// Whether this run of the daemon holds the lease that `record` describes. A
    /// released lease has an empty address.
    fn is_own_lease(&self, record: &LeaseRecord) -> bool {
        record.holder == self.settings.id
            && record.incarnation == self.settings.incarnation
            && !record.address.is_empty()
    }

    /// Decides from the lease row, while another daemon may hold the lease,
    /// whether to acquire the lease or to follow its holder.
    ///
    /// The lease has expired when its row has not changed for the lease
    /// duration, measured by this daemon's monotonic clock from the first read
    /// of the unchanged row. The holder measures from before it sent the write,
    /// so it always stops first, even when wall clocks differ.
    fn evaluate_lease_row(&mut self, row: Option<LeaseRow>, effects: &mut Vec<ControlEffect>) {
        let Some(row) = row else {
            self.try_acquire_lease(None, effects);
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
        let expired = self.at.now.saturating_duration_since(since) >= self.settings.lease_duration;
        if released || own || expired {
            self.try_acquire_lease(Some(&row), effects);
        } else {
            self.follow_relay(row.record.address, effects);
        }
    }
}
