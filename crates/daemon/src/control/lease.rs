//! The zone's lease: taking, renewing, judging and losing it. The row in the
//! platform's table is written by compare-and-set only.

use std::time::Instant;

use filbert_store::{LeaseRecord, WriteCondition};
use rand::Rng;

use super::pace::spread_window;
use super::{ControlEffect, ControlState, LeaseRow, StateChange, ZoneRole};
use crate::messages::PeerMessage;

/// Renewals per lease time.
const RENEWALS_PER_LEASE: u32 = 3;

/// The lease while held.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    pub(super) record: LeaseRecord,
    pub(super) row_version: u64,
    /// When the write that last took effect was sent.
    pub(super) renewed_at: Instant,
}

/// The lease row as last read, and since when it has not changed.
#[derive(Clone, Debug)]
pub(super) struct SeenLease {
    pub(super) row_version: u64,
    pub(super) since: Instant,
    /// Whether it was seen to change: its holder was alive between two reads.
    pub(super) renewed: bool,
}

/// The call on the lease row under way, if any; one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseCall {
    Idle,
    Reading,
    /// Writing, since this moment.
    Writing(Instant),
}

impl ControlState {
    pub(super) fn read_lease_paced(&mut self, effects: &mut Vec<ControlEffect>) {
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

    pub(super) fn renew_lease(&mut self, effects: &mut Vec<ControlEffect>) {
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
        self.zone.next_current_read = self.at.now;
        self.read_current_paced(self.settings.poll_interval, effects);
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
}
