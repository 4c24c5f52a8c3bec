//! When a connection reads its next call whose former calls were refused.
//!
//! Load pattern: hundreds of connections send calls ahead without end and read no answer.
//! A refused call is answered at once, and the next one stands ready, so that nearly all of
//! the processor's time and of the places that become free at a target go to them. A client
//! that waits for its answers finds no place.

use std::time::Duration;

/// Refusals without an answer of a target in between after which a connection pauses: those
/// of all calls that a client may send ahead.
const MAX_REFUSALS: u32 = 16;
/// Refusals that one answer of a target makes up for.
const REFUSALS_PER_ANSWER: u32 = 4;
/// First pause; each further refusal doubles it.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Number of times that the pause doubles.
const MAX_DOUBLINGS: u32 = 4;

/// The refusals of one connection's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalPause {
    refusals: u32,
}

impl RefusalPause {
    /// Records the answer to a call, which came from a target or from the daemon itself.
    #[must_use]
    pub fn after(self, is_refusal: bool) -> RefusalPause {
        let refusals = if is_refusal {
            (self.refusals + 1).min(MAX_REFUSALS + MAX_DOUBLINGS + 1)
        } else {
            self.refusals.saturating_sub(REFUSALS_PER_ANSWER)
        };
        RefusalPause { refusals }
    }

    /// Time for which a call is left unread that was sent ahead. It is not for one that a
    /// client sends after its answers.
    #[must_use]
    pub fn pause(self) -> Duration {
        match self.refusals.checked_sub(MAX_REFUSALS + 1) {
            Some(doublings) => MIN_PAUSE * 2_u32.pow(doublings.min(MAX_DOUBLINGS)),
            None => Duration::ZERO,
        }
    }
}
