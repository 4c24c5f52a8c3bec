//! The clients' connections of this process, and what is held for them.

mod account;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};

use filbert_policy::client_budget::eviction::{choose_for_memory, choose_for_room};
use filbert_policy::client_budget::{CallSize, MachineSize, ResourceLimits};
use filbert_policy::clock::Clock;

use crate::logging::{LinePriority, LogRateLimiter};
use crate::metrics::MeshMetrics;
pub use account::{CallCharge, ConnectionAccount, EndReason};

/// Memory of a connection without a call: its tasks and its socket, in bytes.
const CONNECTION_BYTES: u64 = 16 * 1024;

/// What memory is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemoryRequest {
    /// A call of this size that begins.
    Call(CallSize),
    /// A part of a message that has been read.
    Part,
}

/// All connections of clients, with what is held for them.
pub struct ClientTable {
    limits: Cell<ResourceLimits>,
    connections: RefCell<HashMap<u64, Weak<ConnectionAccount>>>,
    next_connection: Cell<u64>,
    /// Bytes held for the connections in the table.
    held_bytes: Cell<u64>,
    /// Calls that were read ahead of the answer to an earlier one.
    calls_ahead: Cell<usize>,
    metrics: Rc<MeshMetrics>,
    log_limiter: LogRateLimiter,
    clock: Rc<dyn Clock>,
}

impl ClientTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(
        machine: MachineSize,
        metrics: Rc<MeshMetrics>,
        clock: Rc<dyn Clock>,
    ) -> Rc<ClientTable> {
        Rc::new(ClientTable {
            limits: Cell::new(ResourceLimits::new(machine, CONNECTION_BYTES)),
            connections: RefCell::default(),
            next_connection: Cell::new(0),
            held_bytes: Cell::new(0),
            calls_ahead: Cell::new(0),
            log_limiter: LogRateLimiter::new(clock.now()),
            metrics,
            clock,
        })
    }

    /// Applies a changed size of the machine.
    pub fn set_machine(&self, machine: MachineSize) {
        self.limits
            .set(ResourceLimits::new(machine, CONNECTION_BYTES));
    }

    /// The limits in force.
    #[must_use]
    pub fn limits(&self) -> ResourceLimits {
        self.limits.get()
    }

    /// Number of connections.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Number of calls that were read ahead of the answer to an earlier one.
    #[must_use]
    pub fn calls_ahead(&self) -> usize {
        self.calls_ahead.get()
    }

    /// Bytes held for all connections.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes.get()
    }

    /// Adds a connection that was just accepted. Ends others if there are too many.
    #[must_use]
    pub fn add(self: &Rc<Self>) -> Rc<ConnectionAccount> {
        while self.connection_count() >= self.limits.get().connections {
            if !self.end_one_for_room() {
                break;
            }
        }
        let id = self.next_connection.get();
        self.next_connection.set(id + 1);
        let account = Rc::new(ConnectionAccount::new(id, Rc::clone(self)));
        let mut connections = self.connections.borrow_mut();
        connections.insert(id, Rc::downgrade(&account));
        account
    }

    /// Ends the connection that can best be spared; false if there is none.
    pub fn end_one_for_room(&self) -> bool {
        let uses = self.open().into_iter().map(|account| {
            let usage = account.usage();
            (account, usage)
        });
        let chosen = choose_for_room(uses, self.clock.now());
        if let Some(account) = &chosen {
            self.end(account, EndReason::Connections);
        }
        chosen.is_some()
    }

    /// Whether a connection may read a call ahead of the answer to an earlier one.
    fn allows_call_ahead(&self) -> bool {
        let limits = self.limits.get();
        limits.allows_call_ahead(self.held_bytes.get(), self.calls_ahead.get())
    }

    /// Ends connections until the others may hold what they do. If the connection
    /// `requester` is the one to end and asks for a call, which it can refuse, it is left as
    /// it is, and the result is false.
    fn end_for_memory(&self, requester: u64, request: MemoryRequest) -> bool {
        let limits = self.limits.get();
        let max = match request {
            MemoryRequest::Call(size) => limits.max_held_bytes(size),
            MemoryRequest::Part => limits.held_bytes,
        };
        while self.held_bytes.get() > max {
            let connections = self.open();
            let uses = connections
                .iter()
                .map(|account| (account.id(), account.usage()));
            let Some(id) = choose_for_memory(uses, &requester, self.clock.now()) else {
                return true;
            };
            if id == requester && request != MemoryRequest::Part {
                return false;
            }
            if let Some(account) = connections.iter().find(|account| account.id() == id) {
                self.end(account, EndReason::Memory);
            }
        }
        true
    }

    /// The connections in the table.
    fn open(&self) -> Vec<Rc<ConnectionAccount>> {
        let connections = self.connections.borrow();
        connections.values().filter_map(Weak::upgrade).collect()
    }

    /// Ends a connection, unless it has been ended before.
    fn end(&self, account: &ConnectionAccount, reason: EndReason) {
        if account.is_ended() {
            return;
        }
        self.remove(account);
        account.end();
        self.metrics.record_ended_connection(reason.label());
        if !self
            .log_limiter
            .allows(LinePriority::Notable, self.clock.now())
        {
            return;
        }
        log::info!(
            "event=client_connection_ended reason={} usage=\"{:?}\" connections={} held_bytes={} max_held_bytes={}",
            reason.label(),
            account.usage(),
            self.connection_count(),
            self.held_bytes.get(),
            self.limits.get().held_bytes
        );
    }

    /// Removes a connection that is in the table, with what it holds.
    fn remove(&self, account: &ConnectionAccount) {
        self.connections.borrow_mut().remove(&account.id());
        self.subtract(account.held_bytes(), account.calls_ahead());
    }

    fn subtract(&self, bytes: u64, calls_ahead: usize) {
        let held = self.held_bytes.get();
        self.held_bytes.set(held.saturating_sub(bytes));
        let ahead = self.calls_ahead.get();
        self.calls_ahead.set(ahead.saturating_sub(calls_ahead));
    }
}
