//! How many slots of a target the calls may take that clients send ahead.
//!
//! Load pattern: a few hundred connections send calls ahead without end. They take each slot that
//! becomes free, and a client that waits for its answers finds one as seldom as one of their calls
//! does.

/// Part of a target's slots that is left to clients that wait for their answers.
const RESERVED_PART: u32 = 8;

/// Number of the `slots` of a target that calls sent ahead may hold: all but an eighth, and all
/// but one at least. The only slot is everybody's.
#[must_use]
pub fn slots_for_calls_ahead(slots: u32) -> u32 {
    let reserved = (slots / RESERVED_PART).max(1);
    slots.saturating_sub(reserved).max(1)
}
