//! What one connection of a client holds.

use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::Instant;

use filbert_policy::client_budget::eviction::ConnectionUse;
use filbert_policy::client_budget::{CallSize, MemoryFull};
use tokio::sync::Notify;

use super::{ClientTable, MemoryRequest};
use crate::answer_buffer::BufferShare;
use crate::calls::ClientAnswer;

/// Why a connection was ended to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// There are too many connections.
    Connections,
    /// Too much memory is held for clients.
    Memory,
    /// Its client does not read an answer, whose room is needed.
    Unread,
}

impl EndReason {
    /// Name of the reason in log lines and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            EndReason::Connections => "connections",
            EndReason::Memory => "memory",
            EndReason::Unread => "unread",
        }
    }
}

/// What one connection holds, and whether its client makes progress.
pub struct ConnectionAccount {
    id: u64,
    table: Rc<ClientTable>,
    held_bytes: Cell<u64>,
    /// Calls in progress, from their heads to the end of their answers.
    calls: Cell<usize>,
    /// Whether the connection has brought a call.
    is_used: Cell<bool>,
    /// Time at which it was opened or the last answer was written.
    idle_since: Cell<Instant>,
    /// Time since which the client is to send the rest of a message.
    reads_since: Cell<Option<Instant>>,
    /// Time since which the client is to read.
    writes_since: Cell<Option<Instant>>,
    is_ended: Cell<bool>,
    ended: Notify,
}

impl ConnectionAccount {
    pub(super) fn new(id: u64, table: Rc<ClientTable>) -> ConnectionAccount {
        ConnectionAccount {
            id,
            held_bytes: Cell::new(0),
            calls: Cell::new(0),
            is_used: Cell::new(false),
            idle_since: Cell::new(table.clock.now()),
            reads_since: Cell::new(None),
            writes_since: Cell::new(None),
            is_ended: Cell::new(false),
            ended: Notify::new(),
            table,
        }
    }

    /// Waits until the connection is to end, to make room for others.
    pub async fn ended(&self) {
        while !self.is_ended.get() {
            self.ended.notified().await;
        }
    }

    pub(super) fn is_ended(&self) -> bool {
        self.is_ended.get()
    }

    pub(super) fn end(&self) {
        self.is_ended.set(true);
        self.ended.notify_one();
    }

    /// Ends the connection when an answer that waits in it is to end.
    pub fn end_with(self: &Rc<Self>, answer: Rc<BufferShare>) {
        let account = Rc::downgrade(self);
        tokio::task::spawn_local(async move {
            let is_ended = answer.ended().await;
            if let Some(account) = account.upgrade().filter(|_| is_ended) {
                account.table.end(&account, EndReason::Unread);
            }
        });
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    pub(super) fn held_bytes(&self) -> u64 {
        self.held_bytes.get()
    }

    /// Number of calls that were read ahead of the answer to an earlier one.
    pub(super) fn calls_ahead(&self) -> usize {
        self.calls.get().saturating_sub(1)
    }

    pub(super) fn usage(&self) -> ConnectionUse {
        let since = self.idle_since.get();
        if self.held_bytes.get() > 0 {
            ConnectionUse::Active {
                held_bytes: self.held_bytes.get(),
                waits_since: self.reads_since.get().or(self.writes_since.get()),
            }
        } else if self.is_used.get() {
            ConnectionUse::Idle { since }
        } else {
            ConnectionUse::Unused { since }
        }
    }

    /// Whether the connection may read a further call: always when it has none in
    /// progress.
    #[must_use]
    pub fn allows_call(&self) -> bool {
        self.calls.get() == 0 || self.table.allows_call_ahead()
    }

    /// Records that the daemon waits for the client to send, or no longer does.
    pub fn set_reading(&self, reading: bool) {
        let now = self.table.clock.now();
        self.reads_since.set(reading.then_some(now));
    }

    /// Records that the daemon waits for the client to read, or no longer does.
    pub fn set_writing(&self, writing: bool) {
        let now = self.table.clock.now();
        self.writes_since.set(writing.then_some(now));
    }

    /// Charges `bytes` for a part of a message, until the charge is dropped. Ends
    /// connections if too much is held then.
    #[must_use]
    pub fn charge(self: &Rc<Self>, bytes: u64) -> CallCharge {
        let charge = CallCharge::new(self, 0);
        charge.set(bytes);
        charge
    }

    /// Charges `bytes` for a call of this `size` that begins, until the charge is dropped. Ends other
    /// connections if too much is held then.
    ///
    /// # Errors
    /// [`MemoryFull`] if this connection is the one that holds most and progresses least.
    pub fn charge_call(
        self: &Rc<Self>,
        size: CallSize,
        bytes: u64,
    ) -> Result<CallCharge, MemoryFull> {
        let charge = CallCharge::new(self, 1);
        charge.add_unchecked(bytes);
        let request = MemoryRequest::Call(size);
        if self.table.end_for_memory(self.id, request) {
            self.is_used.set(true);
            Ok(charge)
        } else {
            Err(MemoryFull)
        }
    }

    /// Changes the sums of the connection, and of the table while it is in there.
    fn change(&self, change: impl Fn(u64) -> u64) {
        self.held_bytes.set(change(self.held_bytes.get()));
        if !self.is_ended.get() {
            let held = &self.table.held_bytes;
            held.set(change(held.get()));
        }
    }

    fn begin_call(&self) {
        let calls = self.calls.get();
        self.calls.set(calls + 1);
        if calls > 0 && !self.is_ended.get() {
            let ahead = &self.table.calls_ahead;
            ahead.set(ahead.get() + 1);
        }
    }

    fn end_call(&self) {
        let calls = self.calls.get();
        self.calls.set(calls.saturating_sub(1));
        if calls > 1 && !self.is_ended.get() {
            let ahead = &self.table.calls_ahead;
            ahead.set(ahead.get().saturating_sub(1));
        }
        self.idle_since.set(self.table.clock.now());
    }
}

impl Drop for ConnectionAccount {
    fn drop(&mut self) {
        if !self.is_ended.get() {
            self.table.remove(self);
        }
    }
}

/// Memory that is charged to a connection until it is dropped.
pub struct CallCharge {
    account: Weak<ConnectionAccount>,
    bytes: Cell<u64>,
    /// 1 if the charge is that of a call in progress.
    calls: usize,
}

impl CallCharge {
    fn new(account: &Rc<ConnectionAccount>, calls: usize) -> CallCharge {
        if calls > 0 {
            account.begin_call();
        }
        CallCharge {
            account: Rc::downgrade(account),
            bytes: Cell::new(0),
            calls,
        }
    }

    fn add_unchecked(&self, bytes: u64) {
        self.bytes.set(self.bytes.get() + bytes);
        if let Some(account) = self.account.upgrade() {
            account.change(|held| held + bytes);
        }
    }

    /// Charges an answer that waits to be written.
    pub fn add_answer(&self, answer: &ClientAnswer) {
        self.add(answer.held_bytes());
        if let (Some(account), Some(share)) = (self.account.upgrade(), answer.buffer_share()) {
            account.end_with(share);
        }
    }

    /// Adds `bytes` to the charge, and ends connections if too much is held then.
    pub fn add(&self, bytes: u64) {
        self.add_unchecked(bytes);
        if let Some(account) = self.account.upgrade() {
            let request = MemoryRequest::Part;
            account.table.end_for_memory(account.id, request);
        }
    }

    /// Changes the charge to `bytes`, and ends connections if too much is held then.
    pub fn set(&self, bytes: u64) {
        let former = self.bytes.replace(0);
        if let Some(account) = self.account.upgrade() {
            account.change(|held| held.saturating_sub(former));
        }
        self.add(bytes);
    }
}

impl Drop for CallCharge {
    fn drop(&mut self) {
        let bytes = self.bytes.get();
        if let Some(account) = self.account.upgrade() {
            account.change(|held| held.saturating_sub(bytes));
            if self.calls > 0 {
                account.end_call();
            }
        }
    }
}
