//! Memory for answers that are read from the target faster than their clients read them.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_policy::client_budget::eviction::{choose_stalled, ConnectionUse};
use filbert_policy::clock::Clock;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Maximum size in KiB of all answer data that a daemon buffers. A slow link of 7.5 Mbit/s
/// sends this much in about 17 s; on the smallest hosts the daemon has 88 MB of memory.
const MAX_BUFFERED_ANSWER_KIB: usize = 16 * 1024;
const KIB: usize = 1024;
/// Interval at which an answer ends that nobody reads, while another waits for room.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The memory for the answers of one target.
pub struct AnswerBuffer {
    /// One permit for each KiB.
    free_kib: Arc<Semaphore>,
    shares: RefCell<Vec<Weak<BufferShare>>>,
    clock: Rc<dyn Clock>,
}

impl AnswerBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new(clock: Rc<dyn Clock>) -> Rc<AnswerBuffer> {
        Rc::new(AnswerBuffer {
            free_kib: Arc::new(Semaphore::new(MAX_BUFFERED_ANSWER_KIB)),
            shares: RefCell::default(),
            clock,
        })
    }

    /// Size of the answer data that it holds, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        let held_kib = MAX_BUFFERED_ANSWER_KIB - self.free_kib.available_permits();
        (held_kib * KIB) as u64
    }

    /// Maximum size of the answer data that it holds, in bytes.
    #[must_use]
    pub fn max_held_bytes(&self) -> u64 {
        (MAX_BUFFERED_ANSWER_KIB * KIB) as u64
    }

    /// Creates the share of an answer that begins.
    #[must_use]
    pub fn share(&self) -> Rc<BufferShare> {
        let share = Rc::new(BufferShare {
            held_bytes: Cell::new(0),
            last_read: Cell::new(self.clock.now()),
            state: Cell::new(ShareState::InUse),
            state_changed: Notify::new(),
        });
        let mut shares = self.shares.borrow_mut();
        shares.retain(|share| share.strong_count() > 0);
        shares.push(Rc::downgrade(&share));
        share
    }

    /// Waits until `bytes` of an answer fit. If that takes a while, ends the answers that hold
    /// most and that nobody has read for long. `None` if the buffer is closed.
    pub async fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let kib = u32::try_from(bytes.div_ceil(KIB)).unwrap_or(u32::MAX);
        let permit = Arc::clone(&self.free_kib).acquire_many_owned(kib);
        tokio::pin!(permit);
        loop {
            tokio::select! {
                biased;
                permit = &mut permit => return permit.ok(),
                () = tokio::time::sleep(FULL_CHECK_INTERVAL) => self.end_one_unread(),
            }
        }
    }

    fn end_one_unread(&self) {
        let shares: Vec<Rc<BufferShare>> = {
            let shares = self.shares.borrow();
            shares.iter().filter_map(Weak::upgrade).collect()
        };
        let uses = shares.iter().map(|share| (share, share.usage()));
        if let Some(share) = choose_stalled(uses, self.clock.now()) {
            log::info!(
                "event=unread_answer_ended held_bytes={}",
                share.held_bytes.get()
            );
            share.end();
        }
    }
}

/// What one answer holds of the buffer.
#[derive(Debug)]
pub struct BufferShare {
    held_bytes: Cell<u64>,
    /// Time at which data was last read out of the buffer.
    last_read: Cell<Instant>,
    state: Cell<ShareState>,
    state_changed: Notify,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShareState {
    InUse,
    /// The answer is to end.
    Ended,
    /// The answer has been read, or is not needed any more.
    Released,
}

impl BufferShare {
    /// Records that `bytes` were put into the buffer.
    pub fn record_written(&self, bytes: usize) {
        self.held_bytes.set(self.held_bytes.get() + bytes as u64);
    }

    /// Records that `bytes` were read out of the buffer.
    pub fn record_read(&self, bytes: usize, now: Instant) {
        let held = self.held_bytes.get();
        self.held_bytes.set(held.saturating_sub(bytes as u64));
        self.last_read.set(now);
    }

    /// Waits until the answer is to end, to make room for others, or is released. Returns
    /// whether it is to end.
    pub async fn ended(&self) -> bool {
        while self.state.get() == ShareState::InUse {
            self.state_changed.notified().await;
        }
        self.state.get() == ShareState::Ended
    }

    /// Records that the answer has been read, or is not needed any more.
    pub fn release(&self) {
        if self.state.get() == ShareState::InUse {
            self.set_state(ShareState::Released);
        }
    }

    fn set_state(&self, state: ShareState) {
        self.state.set(state);
        self.state_changed.notify_waiters();
    }

    fn usage(&self) -> ConnectionUse {
        ConnectionUse::Active {
            held_bytes: self.held_bytes.get(),
            waits_since: Some(self.last_read.get()),
        }
    }

    fn end(&self) {
        self.held_bytes.set(0);
        self.set_state(ShareState::Ended);
    }
}
