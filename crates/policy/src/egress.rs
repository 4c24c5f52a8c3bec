//! In which order and at which pace answers leave a host with a slow link.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::numbers::bytes_to_f64;

/// Part of the link's rate that answers get. The rest is for packet headers,
/// calls sent elsewhere, news and pings. Short answers are counted within the
/// share.
const PACED_SHARE: f64 = 0.93;
/// Time by which pieces may be handed over before the link is free, so that
/// it does not idle while the next piece is on its way to it.
const AHEAD: Duration = Duration::from_millis(15);

/// Answers up to this length, in bytes, are not paced: they are out in some
/// milliseconds on the slowest link, and are what others wait for most.
pub const MAX_UNPACED_BYTES: u64 = 8 * 1024;

/// How many times as long as an answer's rest takes on the link may be left until
/// it is due when it goes first: others may have to go first as well.
const SPARE: f64 = 1.5;
/// Time between an answer's last piece and the end of its caller's wait that
/// covers the way there, over hosts with a tenth of a core.
const WAY_HOME: Duration = Duration::from_millis(700);

/// Names an answer that waits for the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EgressTicket {
    /// Bytes left of the answer; the shortest goes first.
    left: u64,
    number: u64,
}

/// What becomes of a piece that wants to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EgressDecision {
    /// It may go now.
    Send,
    /// Not before this moment, if nothing changes.
    RetryAt(Instant),
    /// Others that are due go first.
    Blocked,
}

/// A piece in the line.
#[derive(Clone, Copy, Debug)]
struct WaitingPiece {
    /// Its length.
    bytes: u64,
    /// When its answer goes first.
    first_at: Instant,
}

/// The answers that wait for one host's link.
///
/// Load pattern: a host with a link of 7.5 Mbit/s beside a target whose
/// answers have 90 KB. Nine runs end within a moment; written at once, their
/// answers fill the link for a second, and pings, heads and short answers
/// wait behind them: the host looks dead to all others, calls leave it, and
/// what it had done is done again elsewhere. So long answers go out piece by
/// piece at the link's pace, the one with the least left first, which brings
/// most of them home early; what is short goes past them.
///
/// Load pattern: calls for such answers come faster than the link carries them
/// for many seconds. Shortest first by itself, an answer that is longer than
/// most waits for as long as that lasts, past its caller's patience or the end
/// of its caller's host. So one that is nearly due goes first, the first due of
/// several.
#[derive(Debug)]
pub struct EgressQueue {
    /// Bytes a second; `None` when the link is no limit.
    rate: Option<f64>,
    free_at: Instant,
    waiting: BTreeMap<EgressTicket, WaitingPiece>,
    /// Bytes of answers that are still to be made.
    promised: u64,
    next_number: u64,
}

impl EgressQueue {
    /// An idle link of `mbps` Mbit/s; 0 when it is no limit.
    #[must_use]
    pub fn new(mbps: f64, now: Instant) -> EgressQueue {
        let mut queue = EgressQueue {
            rate: None,
            free_at: now,
            waiting: BTreeMap::new(),
            promised: 0,
            next_number: 0,
        };
        queue.set_rate(mbps);
        queue
    }

    /// Sets the link's rate in Mbit/s; 0 when it is no limit.
    pub fn set_rate(&mut self, mbps: f64) {
        const BYTES_OF_MBIT: f64 = 1_000_000.0 / 8.0;
        self.rate = (mbps > 0.0).then_some(mbps * BYTES_OF_MBIT * PACED_SHARE);
    }

    /// Time that `bytes` take on the link.
    #[must_use]
    pub fn transmission_time(&self, bytes: u64) -> Duration {
        match self.rate {
            Some(rate) => Duration::from_secs_f64(bytes_to_f64(bytes) / rate),
            None => Duration::ZERO,
        }
    }

    /// Time until all is out that waits or was promised.
    #[must_use]
    pub fn backlog(&self, now: Instant) -> Duration {
        let waiting: u64 = self.waiting.keys().map(|ticket| ticket.left).sum();
        self.free_at.saturating_duration_since(now)
            + self.transmission_time(waiting + self.promised)
    }

    /// Time that an answer of `bytes` would wait for others before it leaves.
    #[must_use]
    pub fn queueing_delay(&self, bytes: u64, now: Instant) -> Duration {
        if bytes <= MAX_UNPACED_BYTES {
            Duration::ZERO
        } else {
            self.backlog(now)
        }
    }

    /// Counts an answer that will want to leave.
    pub fn reserve(&mut self, bytes: u64) {
        self.promised += bytes;
    }

    /// Takes back a promise: the answer begins to leave, or will not.
    pub fn release(&mut self, bytes: u64) {
        self.promised = self.promised.saturating_sub(bytes);
    }

    /// Counts bytes that leave at once.
    pub fn record_sent(&mut self, bytes: u64, now: Instant) {
        self.free_at = self.free_at.max(now) + self.transmission_time(bytes);
    }

    /// Lines up `bytes` of an answer of which `left` bytes are left, and whose
    /// caller waits until `due`.
    pub fn enqueue(&mut self, bytes: u64, left: u64, due: Instant) -> EgressTicket {
        let left = left.max(bytes);
        let ticket = EgressTicket {
            left,
            number: self.next_number,
        };
        self.next_number += 1;
        let spare = self.transmission_time(left).mul_f64(SPARE) + WAY_HOME;
        let piece = WaitingPiece {
            bytes,
            first_at: due.checked_sub(spare).unwrap_or(due),
        };
        self.waiting.insert(ticket, piece);
        ticket
    }

    /// The piece that leaves next.
    fn front(&self, now: Instant) -> Option<EgressTicket> {
        let is_due = |(_, piece): &(&EgressTicket, &WaitingPiece)| piece.first_at <= now;
        let due = self.waiting.iter().filter(is_due);
        let first_due = due.min_by_key(|(ticket, piece)| (piece.first_at, ticket.number));
        first_due
            .or_else(|| self.waiting.first_key_value())
            .map(|(ticket, _)| *ticket)
    }

    /// Whether the piece of `ticket` may leave; if so it is not lined up any
    /// more.
    pub fn try_send(&mut self, ticket: EgressTicket, now: Instant) -> EgressDecision {
        let Some(WaitingPiece { bytes, first_at }) = self.waiting.get(&ticket).copied() else {
            return EgressDecision::Send;
        };
        if self.rate.is_some() {
            if self.front(now) != Some(ticket) {
                return if first_at > now {
                    EgressDecision::RetryAt(first_at)
                } else {
                    EgressDecision::Blocked
                };
            }
            if self.free_at > now + AHEAD {
                return EgressDecision::RetryAt(self.free_at.checked_sub(AHEAD).unwrap_or(now));
            }
        }
        self.waiting.remove(&ticket);
        self.record_sent(bytes, now);
        EgressDecision::Send
    }

    /// Takes a piece out of the line.
    pub fn cancel(&mut self, ticket: EgressTicket) {
        self.waiting.remove(&ticket);
    }
}
