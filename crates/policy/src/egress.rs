//! Schedules and paces the answers that a host sends over a slow link.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::fair_share::{FairShares, OrganisationShare, ShareClaim, VirtualTime};
use crate::numbers::bytes_to_f64;

/// Fraction of the link's rate that is used for answers, including short ones.
/// The rest is left for packet headers, outgoing calls, state updates and pings.
const ANSWER_RATE_FRACTION: f64 = 0.93;
/// How long before the link is free a chunk may be sent, so that the link does
/// not idle until the next chunk reaches it.
const SEND_AHEAD: Duration = Duration::from_millis(15);

/// Longest answer, in bytes, that is sent without pacing. An answer of this
/// length takes some milliseconds on the slowest link, and short answers are the
/// ones whose delay matters most to callers.
pub const MAX_UNPACED_BYTES: u64 = 8 * 1024;

/// Factor on the transmission time of an answer's remaining bytes: the answer is
/// urgent when no more than this time, plus [`DELIVERY_TIME`], is left until it
/// is due. It exceeds 1 because several answers may be urgent at once.
const URGENT_TIME_FACTOR: f64 = 1.5;
/// Time reserved between the sending of an answer's last chunk and the moment
/// when the answer is due. It covers the delivery to the caller through hosts
/// that have a tenth of a core.
const DELIVERY_TIME: Duration = Duration::from_millis(700);

/// Bytes by which an organisation may be ahead of its share of the link: one long answer.
const SHARE_BURST_BYTES: f64 = 96.0 * 1024.0;
/// Time without waiting answers after which the shares are forgotten.
const SHARE_MEMORY: Duration = Duration::from_secs(1);

/// Identifies an answer's chunk in the queue. Tickets sort by remaining bytes,
/// then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EgressTicket {
    /// Remaining bytes of the answer; the answer with the fewest is sent first.
    left: u64,
    /// Sequence number, in the order of enqueueing.
    number: u64,
}

/// Whether a chunk may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EgressDecision {
    /// The chunk may be sent now.
    Send,
    /// The chunk may be sent at this time at the earliest, unless the queue
    /// changes; ask again then.
    RetryAt(Instant),
    /// Other chunks that are urgent are sent first; ask again when the queue
    /// changes.
    Blocked,
}

/// A chunk in the queue.
#[derive(Clone, Copy, Debug)]
struct WaitingChunk {
    /// Length of the chunk.
    bytes: u64,
    /// Time from which the chunk's answer is urgent and is sent before those that
    /// are not.
    urgent_at: Instant,
    claim: ShareClaim,
}

/// Queue of the answers that wait to be sent over a host's link.
///
/// Long answers are sent in chunks at the link's rate, in the order of shortest
/// remaining size, so that most of them finish early. Short answers bypass the
/// queue. Without pacing, nine answers of 90 KB that a target finishes at about
/// the same time fill a link of 7.5 Mbit/s for a second. Pings, heads and short
/// answers are delayed behind them, other hosts consider this host dead and move
/// their calls away, and calls that it has already run are run again elsewhere.
///
/// An answer that is nearly due becomes urgent and is sent before all others; of
/// several urgent answers, the one that became urgent first. Without this rule,
/// an answer that is longer than most would starve while shorter ones arrive
/// faster than the link can send them, until its caller times out or the
/// caller's host stops.
///
/// If answers of several organisations wait, those of organisations within their share
/// of the link are sent before those of organisations beyond theirs, also if the latter
/// are urgent. Otherwise an organisation with seven times its usual answers delays the
/// answers of all others.
#[derive(Debug)]
pub struct EgressQueue {
    /// Bytes per second; `None` if the link is not limited.
    rate: Option<f64>,
    /// Time at which the link has sent everything handed over to it.
    free_at: Instant,
    waiting: BTreeMap<EgressTicket, WaitingChunk>,
    /// Expected bytes of answers that are not complete yet.
    reserved: u64,
    next_number: u64,
    shares: FairShares,
    /// Time at which an answer waited last.
    last_wait: Instant,
}

impl EgressQueue {
    /// Creates an empty queue for a link of `mbps` Mbit/s; 0 means no limit.
    #[must_use]
    pub fn new(mbps: f64, now: Instant) -> EgressQueue {
        let mut queue = EgressQueue {
            rate: None,
            free_at: now,
            waiting: BTreeMap::new(),
            reserved: 0,
            next_number: 0,
            shares: FairShares::default(),
            last_wait: now,
        };
        queue.set_rate(mbps);
        queue
    }

    /// Sets the link's rate in Mbit/s; 0 means no limit.
    pub fn set_rate(&mut self, mbps: f64) {
        const BYTES_PER_MBIT: f64 = 1_000_000.0 / 8.0;
        self.rate = (mbps > 0.0).then_some(mbps * BYTES_PER_MBIT * ANSWER_RATE_FRACTION);
    }

    /// Time that the link needs to send `bytes`; zero if the link is not limited.
    #[must_use]
    pub fn transmission_time(&self, bytes: u64) -> Duration {
        match self.rate {
            Some(rate) => Duration::from_secs_f64(bytes_to_f64(bytes) / rate),
            None => Duration::ZERO,
        }
    }

    /// Time until the link has sent all queued and reserved bytes.
    #[must_use]
    pub fn backlog(&self, now: Instant) -> Duration {
        let waiting: u64 = self.waiting.keys().map(|ticket| ticket.left).sum();
        self.free_at.saturating_duration_since(now)
            + self.transmission_time(waiting + self.reserved)
    }

    /// Time that an answer of `bytes` would wait in the queue; zero for an answer
    /// that is not paced.
    #[must_use]
    pub fn queueing_delay(&self, bytes: u64, now: Instant) -> Duration {
        if bytes <= MAX_UNPACED_BYTES {
            Duration::ZERO
        } else {
            self.backlog(now)
        }
    }

    /// Reserves link time for an answer of `bytes` that is not complete yet.
    pub fn reserve(&mut self, bytes: u64) {
        self.reserved += bytes;
    }

    /// Releases a reservation, when the answer starts to be sent or will not be
    /// sent at all.
    pub fn release(&mut self, bytes: u64) {
        self.reserved = self.reserved.saturating_sub(bytes);
    }

    /// Accounts for `bytes` that are sent at `now`.
    pub fn record_sent(&mut self, bytes: u64, now: Instant) {
        self.free_at = self.free_at.max(now) + self.transmission_time(bytes);
    }

    /// Enqueues a chunk of `bytes` of an answer to `organisation` that has `left` bytes
    /// remaining and whose caller waits until `due`.
    pub fn enqueue(
        &mut self,
        bytes: u64,
        left: u64,
        due: Instant,
        organisation: Option<OrganisationShare>,
    ) -> EgressTicket {
        let left = left.max(bytes);
        let ticket = EgressTicket {
            left,
            number: self.next_number,
        };
        self.next_number += 1;
        let urgent_time = self.transmission_time(left).mul_f64(URGENT_TIME_FACTOR) + DELIVERY_TIME;
        let chunk = WaitingChunk {
            bytes,
            urgent_at: due.checked_sub(urgent_time).unwrap_or(due),
            claim: self.shares.claim(organisation),
        };
        self.waiting.insert(ticket, chunk);
        ticket
    }

    /// The chunk to be sent next; `None` if the queue is empty.
    fn next_chunk(&self, now: Instant) -> Option<EgressTicket> {
        let is_contended = self.is_contended();
        let is_beyond_share = |chunk: &WaitingChunk| {
            let work_ahead = self.shares.work_ahead(&chunk.claim);
            is_contended && chunk.claim.is_beyond(work_ahead, SHARE_BURST_BYTES)
        };
        let urgency = |chunk: &WaitingChunk| (chunk.urgent_at <= now).then_some(chunk.urgent_at);
        let next = self.waiting.iter().min_by_key(|(ticket, chunk)| {
            let urgent_at = urgency(chunk);
            // Urgent answers are sent in the order in which they became urgent.
            let left = urgent_at.map_or(ticket.left, |_| 0);
            (
                is_beyond_share(chunk),
                urgent_at.is_none(),
                urgent_at,
                left,
                ticket.number,
            )
        });
        next.map(|(ticket, _)| *ticket)
    }

    /// Whether answers of several organisations wait.
    fn is_contended(&self) -> bool {
        let mut claims = self.waiting.values().map(|chunk| &chunk.claim);
        let first = claims.next();
        first.is_some_and(|first| claims.any(|claim| !claim.has_share_of(first)))
    }

    /// Charges a chunk that is sent to the share of its organisation.
    fn charge(&mut self, chunk: &WaitingChunk, now: Instant) {
        if now.saturating_duration_since(self.last_wait) > SHARE_MEMORY {
            self.shares.clear();
        }
        if !self.waiting.is_empty() {
            self.last_wait = now;
        }
        let time_with_burst =
            |claim: &ShareClaim| self.shares.time_with_burst(claim, SHARE_BURST_BYTES);
        let competing = self.waiting.values();
        let earliest = competing
            .map(|other| time_with_burst(&other.claim))
            .fold(time_with_burst(&chunk.claim), VirtualTime::min);
        let bytes = bytes_to_f64(chunk.bytes);
        self.shares.record_start(&chunk.claim, bytes, earliest);
    }

    /// Checks whether the chunk of `ticket` may be sent, and if so removes it from
    /// the queue. The result is [`EgressDecision::Send`] as well if the chunk is
    /// no longer in the queue.
    pub fn try_send(&mut self, ticket: EgressTicket, now: Instant) -> EgressDecision {
        let Some(chunk) = self.waiting.get(&ticket).copied() else {
            return EgressDecision::Send;
        };
        let WaitingChunk {
            bytes, urgent_at, ..
        } = chunk;
        if self.rate.is_some() {
            if self.next_chunk(now) != Some(ticket) {
                return if urgent_at > now {
                    EgressDecision::RetryAt(urgent_at)
                } else {
                    EgressDecision::Blocked
                };
            }
            if self.free_at > now + SEND_AHEAD {
                return EgressDecision::RetryAt(
                    self.free_at.checked_sub(SEND_AHEAD).unwrap_or(now),
                );
            }
        }
        self.waiting.remove(&ticket);
        if self.rate.is_some() {
            self.charge(&chunk, now);
        }
        self.record_sent(bytes, now);
        EgressDecision::Send
    }

    /// Removes a chunk from the queue.
    pub fn cancel(&mut self, ticket: EgressTicket) {
        self.waiting.remove(&ticket);
    }
}
