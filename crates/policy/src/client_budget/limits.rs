//! The limits that follow from the size of the machine.

use std::fmt;
use std::time::Duration;

/// Memory and descriptors of the machine that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineSize {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Number of descriptors.
    pub descriptors: u64,
}

/// Part of the memory that a client's messages may take, and part that its connections may.
/// The rest is for links, answers that are read from the target, and the daemon's own state.
const CLIENT_MEMORY_FRACTION: u64 = 4;
/// Part of the descriptors that is left for links, targets, the store and other ports.
const RESERVED_DESCRIPTOR_FRACTION: u64 = 4;
/// Part of the descriptors that incoming links may take until their first messages have come.
const PENDING_LINK_DESCRIPTOR_FRACTION: u64 = 8;
/// Memory of the state of a call, besides its head and body, in bytes.
const CALL_BYTES: u64 = 16 * 1024;
/// Copies of a call's head while it is dispatched: as received, with its field ranges, as
/// sent on, and in the buffer of a link.
const HEAD_COPIES: u64 = 4;
/// Copies of a call's body while it is dispatched: as received and as sent on.
const BODY_COPIES: u64 = 2;
/// Calls that all connections together may read ahead of the answer to an earlier one.
const MAX_CALLS_AHEAD: usize = 256;
/// Part of the memory for messages beyond which no call is read ahead.
const AHEAD_MEMORY_FRACTION: u64 = 2;

/// Part of the memory for messages that is left for calls without a long body.
const SHORT_CALL_FRACTION: u64 = 4;

/// Whether a call has a long body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSize {
    /// The body is read before the call is sent on, or there is none.
    Short,
    /// The body is long.
    Long,
}

/// Step of the time within which the first message of a link must have come. A host that stood
/// still may have received the message and not read it: only the step that has begun passes
/// meanwhile.
pub const FIRST_MESSAGE_TIMEOUT_STEP: Duration = Duration::from_secs(1);
/// Number of steps after which a link's first message is late.
pub const FIRST_MESSAGE_TIMEOUT_STEPS: u32 = 3;

/// What the process may hold for its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Maximum number of clients' connections.
    pub connections: usize,
    /// Maximum number of incoming links whose first message has not come.
    pub pending_links: usize,
    /// Maximum size of what is held of calls and answers, in bytes.
    pub held_bytes: u64,
}

impl ResourceLimits {
    /// Limits of a process on a machine of this size, whose connections take
    /// `connection_bytes` each without a call.
    #[must_use]
    pub fn new(machine: MachineSize, connection_bytes: u64) -> ResourceLimits {
        let client_bytes = machine.memory_bytes / CLIENT_MEMORY_FRACTION;
        let reserved = machine.descriptors / RESERVED_DESCRIPTOR_FRACTION;
        let connections = (machine.descriptors - reserved).min(client_bytes / connection_bytes);
        let pending_links = machine.descriptors / PENDING_LINK_DESCRIPTOR_FRACTION;
        let count = |number| usize::try_from(number).unwrap_or(usize::MAX).max(1);
        ResourceLimits {
            connections: count(connections),
            pending_links: count(pending_links),
            held_bytes: client_bytes,
        }
    }

    /// Size of what may be held when a call of this size begins, in bytes. Long bodies leave
    /// room for other calls, which would otherwise end them.
    #[must_use]
    pub fn max_held_bytes(&self, size: CallSize) -> u64 {
        match size {
            CallSize::Short => self.held_bytes,
            CallSize::Long => self.held_bytes - self.held_bytes / SHORT_CALL_FRACTION,
        }
    }

    /// Whether a connection may read a call ahead of the answer to an earlier one, while
    /// the process holds `held_bytes` and `calls_ahead` such calls.
    #[must_use]
    pub fn allows_call_ahead(&self, held_bytes: u64, calls_ahead: usize) -> bool {
        calls_ahead < MAX_CALLS_AHEAD && held_bytes < self.held_bytes / AHEAD_MEMORY_FRACTION
    }
}

/// Memory that a call with a head of `head_bytes` and a buffered body of `body_bytes`
/// takes until it is answered, in bytes.
#[must_use]
pub fn call_bytes(head_bytes: usize, body_bytes: u64) -> u64 {
    CALL_BYTES + head_bytes as u64 * HEAD_COPIES + body_bytes * BODY_COPIES
}

/// No memory is left for a call, and no other connection is to end for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryFull;

impl fmt::Display for MemoryFull {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("no memory is left for the call")
    }
}

impl std::error::Error for MemoryFull {}
