//! What a process holds for its clients: memory and descriptors, over all connections.
//!
//! Load pattern: many clients open connections, send calls ahead without reading an answer,
//! announce long bodies, or send nothing. What one connection may hold is bounded, but what
//! fits on one connection times the connections is several times the memory of a host.
//!
//! From calm to full there are three steps. Connections read fewer calls ahead
//! ([`ResourceLimits::allows_call_ahead`]). Then the connection ends that holds most and
//! progresses least ([`eviction`]), which is hardly ever the one that came last. A
//! connection that would have to end itself refuses the call that it is reading. Beside these,
//! a connection whose calls are refused reads those that were sent ahead after a
//! [`RefusalPause`], and [`slots_for_calls_ahead`] leaves room at a target for others.

mod calls_ahead;
pub mod eviction;
mod limits;
mod refusal_pause;

pub use calls_ahead::slots_for_calls_ahead;
pub use limits::{
    call_bytes, CallSize, MachineSize, MemoryFull, ResourceLimits, FIRST_MESSAGE_TIMEOUT_STEP,
    FIRST_MESSAGE_TIMEOUT_STEPS,
};
pub use refusal_pause::RefusalPause;
