//! Paces the answers that this host sends over its link.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::clock::Clock;
use filbert_policy::egress::{EgressDecision, EgressQueue, EgressTicket, MAX_UNPACED_BYTES};
use filbert_policy::fair_share::OrganisationShare;
use tokio::sync::Notify;

/// Makes senders of answers wait for their turn on this host's link.
pub struct EgressPacer {
    queue: RefCell<EgressQueue>,
    clock: Rc<dyn Clock>,
    /// Signals that a chunk was removed from the queue.
    queue_changed: Notify,
}

impl EgressPacer {
    /// Creates a pacer for a link of `mbps` Mbit/s; 0 means no limit.
    #[must_use]
    pub fn new(mbps: f64, clock: Rc<dyn Clock>) -> Rc<EgressPacer> {
        Rc::new(EgressPacer {
            queue: RefCell::new(EgressQueue::new(mbps, clock.now())),
            clock,
            queue_changed: Notify::new(),
        })
    }

    /// Sets the link's rate in Mbit/s; 0 means no limit.
    pub fn set_rate(&self, mbps: f64) {
        self.queue.borrow_mut().set_rate(mbps);
    }

    /// Current time of the pacer's clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Time that the link needs to send `bytes`.
    #[must_use]
    pub fn transmission_time(&self, bytes: u64) -> Duration {
        self.queue.borrow().transmission_time(bytes)
    }

    /// Time until the link has sent all queued and reserved bytes.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        self.queue.borrow().backlog(self.clock.now())
    }

    /// Time that an answer of `bytes` would wait in the queue before it is sent.
    #[must_use]
    pub fn queueing_delay(&self, bytes: u64) -> Duration {
        self.queue.borrow().queueing_delay(bytes, self.clock.now())
    }

    /// Reserves link time for an answer of about `bytes` until the reservation is
    /// dropped.
    #[must_use]
    pub fn reserve(self: &Rc<Self>, bytes: u64) -> AnswerReservation {
        self.queue.borrow_mut().reserve(bytes);
        AnswerReservation {
            pacer: Rc::clone(self),
            bytes,
        }
    }

    /// Waits until the next chunk of an answer, `bytes` long, may be sent. The
    /// answer has `remaining` bytes left, this chunk included, and should be sent
    /// completely by `due`. The link is shared between organisations.
    pub async fn pace(
        &self,
        bytes: u64,
        remaining: u64,
        due: Instant,
        organisation: Option<OrganisationShare>,
    ) {
        if remaining <= MAX_UNPACED_BYTES {
            let now = self.clock.now();
            self.queue.borrow_mut().record_sent(bytes, now);
            return;
        }
        let ticket = self
            .queue
            .borrow_mut()
            .enqueue(bytes, remaining, due, organisation);
        let queued_chunk = QueuedChunk {
            pacer: self,
            ticket,
        };
        loop {
            let queue_changed = self.queue_changed.notified();
            let decision = self.queue.borrow_mut().try_send(ticket, self.clock.now());
            match decision {
                EgressDecision::Send => break,
                EgressDecision::RetryAt(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => {}
                    () = queue_changed => {}
                },
                EgressDecision::Blocked => queue_changed.await,
            }
        }
        drop(queued_chunk);
    }
}

/// Link time reserved for an answer that is not complete yet. Dropping it
/// releases the reservation.
pub struct AnswerReservation {
    pacer: Rc<EgressPacer>,
    bytes: u64,
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        self.pacer.queue.borrow_mut().release(self.bytes);
    }
}

/// A chunk's place in the queue. Dropping the `QueuedChunk` removes the chunk, so
/// that an answer whose client has disconnected does not block the queue.
struct QueuedChunk<'a> {
    pacer: &'a EgressPacer,
    ticket: EgressTicket,
}

impl Drop for QueuedChunk<'_> {
    fn drop(&mut self) {
        self.pacer.queue.borrow_mut().cancel(self.ticket);
        self.pacer.queue_changed.notify_waiters();
    }
}
