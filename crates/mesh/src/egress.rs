//! The pace at which answers leave this host for others.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_policy::clock::Clock;
use filbert_policy::egress::{EgressDecision, EgressQueue, EgressTicket, MAX_UNPACED_BYTES};
use tokio::sync::Notify;

/// The way out of this host.
pub struct EgressPacer {
    queue: RefCell<EgressQueue>,
    clock: Rc<dyn Clock>,
    changed: Notify,
}

impl EgressPacer {
    /// A way out over a link of `mbps` Mbit/s; 0 when it is no limit.
    #[must_use]
    pub fn new(mbps: f64, clock: Rc<dyn Clock>) -> Rc<EgressPacer> {
        Rc::new(EgressPacer {
            queue: RefCell::new(EgressQueue::new(mbps, clock.now())),
            clock,
            changed: Notify::new(),
        })
    }

    /// Takes over a changed rate.
    pub fn set_rate(&self, mbps: f64) {
        self.queue.borrow_mut().set_rate(mbps);
    }

    /// The time by this way's clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Time that `bytes` take on the link.
    #[must_use]
    pub fn transmission_time(&self, bytes: u64) -> Duration {
        self.queue.borrow().transmission_time(bytes)
    }

    /// Time until all is out that waits or was promised.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        self.queue.borrow().backlog(self.clock.now())
    }

    /// Time that an answer of `bytes` would wait for others before it leaves.
    #[must_use]
    pub fn queueing_delay(&self, bytes: u64) -> Duration {
        self.queue.borrow().queueing_delay(bytes, self.clock.now())
    }

    /// Counts an answer of about `bytes` that will want to leave, until the
    /// promise is dropped.
    #[must_use]
    pub fn reserve(self: &Rc<Self>, bytes: u64) -> AnswerReservation {
        self.queue.borrow_mut().reserve(bytes);
        AnswerReservation {
            pacer: Rc::clone(self),
            bytes,
        }
    }

    /// Waits until `bytes` may leave, of an answer of which `left` are left, and
    /// whose caller waits until `due`.
    pub async fn pace(&self, bytes: u64, left: u64, due: Instant) {
        if left <= MAX_UNPACED_BYTES {
            let now = self.clock.now();
            self.queue.borrow_mut().record_sent(bytes, now);
            return;
        }
        let ticket = self.queue.borrow_mut().enqueue(bytes, left, due);
        let place = LinePlace {
            pacer: self,
            ticket,
        };
        loop {
            let changed = self.changed.notified();
            let decision = self.queue.borrow_mut().try_send(ticket, self.clock.now());
            match decision {
                EgressDecision::Send => break,
                EgressDecision::RetryAt(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => {}
                    () = changed => {}
                },
                EgressDecision::Blocked => changed.await,
            }
        }
        drop(place);
    }
}

/// An answer that will want to leave.
pub struct AnswerReservation {
    pacer: Rc<EgressPacer>,
    bytes: u64,
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        self.pacer.queue.borrow_mut().release(self.bytes);
    }
}

/// Guards against a line that stands still behind an answer whose caller has
/// left.
struct LinePlace<'a> {
    pacer: &'a EgressPacer,
    ticket: EgressTicket,
}

impl Drop for LinePlace<'_> {
    fn drop(&mut self) {
        self.pacer.queue.borrow_mut().cancel(self.ticket);
        self.pacer.changed.notify_waiters();
    }
}
