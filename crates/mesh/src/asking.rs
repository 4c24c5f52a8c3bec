//! Whom a daemon asks for a version that a peer has and it has not, and when.

use std::cell::Cell;
use std::time::{Duration, Instant};

use crate::members::StoreRole;
use crate::messages::LinkMessage;
use crate::peers::Peer;
use crate::state::MeshShared;

/// How long a newer version may take to come from the store before the peer
/// that has it is asked: longer than the pause between two calls to the store,
/// as a version over a link may cost bytes between zones.
const STORE_HEAD_START: Duration = Duration::from_millis(800);
/// The same for a daemon that does not ask the store itself, before it asks
/// others of its zone and of other zones than those that follow the store for
/// it: these tell a version within some 10 ms.
const NEAR_HEAD_START: Duration = Duration::from_millis(300);
const FAR_HEAD_START: Duration = Duration::from_millis(600);
/// Time for another peer's steps, before the store is asked for a version to
/// which one peer has none.
///
/// Guards against whole versions being read from the store by every daemon in
/// a storm: each of a zone's readers takes the newest after a pause, so they
/// skip different ones, and have no steps from those that they skipped.
const OTHERS_HEAD_START: Duration = Duration::from_millis(600);
/// Time for the store to give a version whose steps a peer has forgotten,
/// before the peer is asked for its text.
const WHOLE_HEAD_START: Duration = Duration::from_millis(700);
/// Time after which a peer that did not answer for its version is asked again.
const LONGEST_ASK: Duration = Duration::from_secs(2);
/// Time for a peer to begin, and to go on, with a whole text before another is
/// asked for it: some round trips, and the turn of a host that has a tenth of
/// a core.
const WHOLE_PIECE_WITHIN: Duration = Duration::from_millis(700);

/// The one ask for a whole text that may be under way.
///
/// Guards against a link that is full of copies: a daemon restarted while the
/// store was away asked every peer that had a version for its text, some 30
/// times 600 KB over 21 Mbit/s. Its links fell silent for three seconds, and
/// the next version came late behind the copies.
#[derive(Debug, Default)]
pub struct FullTextSlot {
    held: Cell<Option<HeldSlot>>,
    next_ticket: Cell<u64>,
}

#[derive(Clone, Copy, Debug)]
struct HeldSlot {
    ticket: u64,
    until: Instant,
}

impl FullTextSlot {
    /// Takes the slot.
    ///
    /// # Errors
    /// When it may be free again, while another ask holds it.
    pub fn take(&self, now: Instant) -> Result<FullTextRequest<'_>, Instant> {
        if let Some(held) = self.held.get() {
            if now < held.until {
                return Err(held.until);
            }
        }
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        let until = now + WHOLE_PIECE_WITHIN;
        self.held.set(Some(HeldSlot { ticket, until }));
        Ok(FullTextRequest { slot: self, ticket })
    }
}

/// An ask for a whole text; dropped when it was answered or its link ended.
#[derive(Debug)]
pub struct FullTextRequest<'a> {
    slot: &'a FullTextSlot,
    ticket: u64,
}

impl FullTextRequest<'_> {
    /// Until when it holds the slot; `None` when another took it over.
    fn held_until(&self) -> Option<Instant> {
        let held = self.slot.held.get()?;
        (held.ticket == self.ticket).then_some(held.until)
    }

    /// Notes that a part of the text came; it keeps the slot.
    pub fn go_on(&self, now: Instant) {
        if self.held_until().is_some() {
            self.slot.held.set(Some(HeldSlot {
                ticket: self.ticket,
                until: now + WHOLE_PIECE_WITHIN,
            }));
        }
    }
}

impl Drop for FullTextRequest<'_> {
    fn drop(&mut self) {
        if self.held_until().is_some() {
            self.slot.held.set(None);
        }
    }
}

/// A newer version that a peer has.
struct WantedVersion {
    number: u64,
    /// When to ask for it, if it has not come from elsewhere.
    next_request_at: Instant,
    stage: AskStage,
}

/// Whom to ask next for a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskStage {
    /// The peer, for steps.
    Steps,
    /// The store: the peer has no steps.
    Store,
    /// The peer, for the whole text, should the store be away.
    Whole,
    /// The peer, for the whole text: this daemon has no version yet.
    First,
}

/// Asks one peer for its versions.
pub struct VersionFetcher<'a> {
    shared: &'a MeshShared,
    peer: &'a Peer,
    wanted: Option<WantedVersion>,
    whole: Option<FullTextRequest<'a>>,
}

impl<'a> VersionFetcher<'a> {
    /// An asker that wants nothing yet.
    #[must_use]
    pub fn new(shared: &'a MeshShared, peer: &'a Peer) -> VersionFetcher<'a> {
        VersionFetcher {
            shared,
            peer,
            wanted: None,
            whole: None,
        }
    }

    /// Takes word that the peer has version `number` in force.
    ///
    /// Guards against a storm of versions that puts the asking off for ever: a
    /// newer one keeps the time of the first.
    pub fn hear(&mut self, number: u64) {
        if number <= self.shared.versions.number() {
            return;
        }
        self.wanted = Some(match self.wanted.take() {
            Some(earlier) => WantedVersion { number, ..earlier },
            None => self.want(number),
        });
    }

    /// Takes word that the peer has no steps to its version, or only steps too
    /// heavy for a link.
    pub fn record_missing_steps(&mut self, are_heavy: bool) {
        let head_start = if are_heavy {
            Duration::ZERO
        } else {
            OTHERS_HEAD_START
        };
        let next_request_at = self.shared.clock.now() + head_start;
        if let Some(wanted) = &mut self.wanted {
            wanted.next_request_at = next_request_at;
            wanted.stage = AskStage::Store;
        }
    }

    /// Notes that the peer answered with steps or a text; what it has beyond
    /// is asked for anew.
    pub fn record_response(&mut self) {
        self.whole = None;
        self.wanted = match self.wanted.take() {
            Some(wanted) if wanted.number > self.shared.versions.number() => {
                Some(self.want(wanted.number))
            }
            _ => None,
        };
    }

    /// Notes that part of a message came from the peer: a text that was asked
    /// for is under way, however slowly.
    pub fn record_partial_message(&self) {
        if let Some(ask) = &self.whole {
            ask.go_on(self.shared.clock.now());
        }
    }

    /// When to ask next; `None` while nothing is wanted of the peer.
    pub fn next_request_at(&mut self) -> Option<Instant> {
        let number = self.shared.versions.number();
        self.wanted.take_if(|wanted| wanted.number <= number);
        if self.wanted.is_none() {
            self.whole = None;
        }
        self.wanted.as_ref().map(|wanted| wanted.next_request_at)
    }

    /// What to ask the peer for now; `None` when the store is asked, or another
    /// peer is giving its text.
    ///
    /// Guards against a text of 600 KB being sent by peers over slow links
    /// while the store is giving it: as long as the store is not known to be
    /// away, it is waited for.
    pub fn ask(&mut self) -> Option<LinkMessage> {
        // It may have come from elsewhere while it was waited for.
        self.next_request_at()?;
        let versions = &self.shared.versions;
        let now = self.shared.clock.now();
        let wanted = self.wanted.as_mut()?;
        let asks_store = match wanted.stage {
            AskStage::Steps | AskStage::First => false,
            AskStage::Store => true,
            AskStage::Whole => !versions.store_is_away.get(),
        };
        if asks_store {
            versions.store_query_requested.notify_one();
            wanted.stage = AskStage::Whole;
            wanted.next_request_at = now + WHOLE_HEAD_START;
            return None;
        }
        let or_whole = matches!(wanted.stage, AskStage::Whole | AskStage::First);
        if or_whole {
            // Its text is still under way, or its time is over.
            let held = self.whole.as_ref().and_then(FullTextRequest::held_until);
            if let Some(until) = held.filter(|until| now < *until) {
                wanted.next_request_at = until;
                return None;
            }
            self.whole = None;
            match versions.full_text_slot.take(now) {
                Ok(ask) => self.whole = Some(ask),
                Err(free_at) => {
                    wanted.next_request_at = free_at;
                    return None;
                }
            }
        }
        // Asked again only behind an answer that did not help.
        wanted.next_request_at = now + LONGEST_ASK;
        log::info!(
            "event=version_asked peer={} have={:08x} wanted={:08x} whole={or_whole}",
            self.peer.address.id,
            versions.number(),
            wanted.number
        );
        Some(LinkMessage::WantVersion {
            have: versions.number(),
            or_whole,
        })
    }

    /// When the peer is asked for its newer version.
    fn want(&self, number: u64) -> WantedVersion {
        let shared = self.shared;
        let is_near = self.peer.address.zone == shared.settings.borrow().zone;
        let has_none = shared.versions.number() == 0;
        let head_start = if has_none {
            // Nobody has steps from nothing, so the whole text is wanted.
            if is_near {
                Duration::ZERO
            } else {
                FAR_HEAD_START
            }
        } else {
            match *shared.members.role.borrow() {
                StoreRole::Reads => STORE_HEAD_START,
                StoreRole::Follows if shared.is_upstream(&self.peer.address.id) => Duration::ZERO,
                StoreRole::Follows if is_near => NEAR_HEAD_START,
                StoreRole::Follows => FAR_HEAD_START,
            }
        };
        WantedVersion {
            number,
            next_request_at: shared.clock.now() + head_start,
            stage: if has_none {
                AskStage::First
            } else {
                AskStage::Steps
            },
        }
    }
}
