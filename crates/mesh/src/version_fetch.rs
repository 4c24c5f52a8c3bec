//! Decides when a daemon requests a newer version, and whether from the peer
//! that has it or from the store.

use std::cell::Cell;
use std::time::{Duration, Instant};

use crate::members::StoreRole;
use crate::messages::LinkMessage;
use crate::peers::Peer;
use crate::state::MeshShared;

/// Time for a newer version to arrive from the store before the peer that has
/// it is asked, on a daemon that reads the store itself. Longer than the pause
/// between two calls to the store, because a version over a link may cost
/// traffic between zones.
const READER_REQUEST_DELAY: Duration = Duration::from_millis(800);
/// Time for a newer version to arrive from an upstream before another peer of
/// the same zone is asked, on a daemon that does not read the store. Upstreams
/// deliver a version within about 10 ms.
const SAME_ZONE_REQUEST_DELAY: Duration = Duration::from_millis(300);
/// Like `SAME_ZONE_REQUEST_DELAY`, for a peer in another zone.
const OTHER_ZONE_REQUEST_DELAY: Duration = Duration::from_millis(600);
/// Time for the deltas of other peers to arrive after one peer had none, before
/// the store is queried.
///
/// In a burst of versions each reader of a zone takes the newest one after a
/// pause, so readers skip different versions and have no deltas from those that
/// they skipped. Without this delay every daemon would then read whole versions
/// from the store.
const STORE_QUERY_DELAY: Duration = Duration::from_millis(600);
/// Time for the store to deliver a version whose deltas a peer no longer has,
/// before the peer is asked for the full text.
const FULL_TEXT_REQUEST_DELAY: Duration = Duration::from_millis(700);
/// Time after which a peer that has not answered is asked again.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time until a full text begins to arrive, and between two of its
/// parts, before another peer is asked for it: a few round trips plus the
/// scheduling delay of a host with a tenth of a core.
const FULL_TEXT_IDLE_TIMEOUT: Duration = Duration::from_millis(700);

/// Lease that permits one request for a full text at a time, over all peers.
///
/// A daemon restarted while the store was unreachable requested the text from
/// every peer that had a version, some 30 times 600 KB over 21 Mbit/s. Its
/// links were unresponsive for three seconds, and the next version arrived late
/// behind the copies.
#[derive(Debug, Default)]
pub struct FullTextSlot {
    lease: Cell<Option<SlotLease>>,
    last_lease_id: Cell<u64>,
}

#[derive(Clone, Copy, Debug)]
struct SlotLease {
    lease_id: u64,
    expires_at: Instant,
}

impl FullTextSlot {
    /// Acquires the slot for a new request.
    ///
    /// # Errors
    /// The time at which the slot may be free again, while another request
    /// holds it.
    pub fn try_acquire(&self, now: Instant) -> Result<FullTextRequest<'_>, Instant> {
        if let Some(lease) = self.lease.get() {
            if now < lease.expires_at {
                return Err(lease.expires_at);
            }
        }
        let lease_id = self.last_lease_id.get() + 1;
        self.last_lease_id.set(lease_id);
        let expires_at = now + FULL_TEXT_IDLE_TIMEOUT;
        self.lease.set(Some(SlotLease {
            lease_id,
            expires_at,
        }));
        Ok(FullTextRequest {
            slot: self,
            lease_id,
        })
    }
}

/// A request for a full text. Dropped, which frees the slot, once it has been
/// answered or its link has ended.
#[derive(Debug)]
pub struct FullTextRequest<'a> {
    slot: &'a FullTextSlot,
    lease_id: u64,
}

impl FullTextRequest<'_> {
    /// When this request's lease expires; `None` when another request has taken
    /// over the slot.
    fn lease_expiry(&self) -> Option<Instant> {
        let lease = self.slot.lease.get()?;
        (lease.lease_id == self.lease_id).then_some(lease.expires_at)
    }

    /// Extends the lease after a part of the text has arrived. Has no effect
    /// when another request has taken over the slot.
    pub fn renew(&self, now: Instant) {
        if self.lease_expiry().is_some() {
            self.slot.lease.set(Some(SlotLease {
                lease_id: self.lease_id,
                expires_at: now + FULL_TEXT_IDLE_TIMEOUT,
            }));
        }
    }
}

impl Drop for FullTextRequest<'_> {
    fn drop(&mut self) {
        if self.lease_expiry().is_some() {
            self.slot.lease.set(None);
        }
    }
}

/// A newer version that the peer has announced.
struct PendingFetch {
    number: u64,
    /// When to request it, unless it has arrived from elsewhere.
    next_request_at: Instant,
    stage: FetchStage,
}

/// What to request next in order to get the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchStage {
    /// Deltas from the peer.
    Steps,
    /// The version from the store, because the peer has no deltas.
    Store,
    /// The full text from the peer, if the store is unreachable.
    FullText,
    /// The full text from the peer, because this daemon has no version yet.
    Bootstrap,
}

/// Fetches newer versions from one peer.
pub struct VersionFetcher<'a> {
    shared: &'a MeshShared,
    peer: &'a Peer,
    pending: Option<PendingFetch>,
    full_text_request: Option<FullTextRequest<'a>>,
}

impl<'a> VersionFetcher<'a> {
    /// Creates a fetcher with nothing to fetch.
    #[must_use]
    pub fn new(shared: &'a MeshShared, peer: &'a Peer) -> VersionFetcher<'a> {
        VersionFetcher {
            shared,
            peer,
            pending: None,
            full_text_request: None,
        }
    }

    /// Records that the peer has announced version `number`.
    ///
    /// A newer announcement keeps the request time of the first pending one, so
    /// that a burst of versions cannot postpone the request indefinitely.
    pub fn hear(&mut self, number: u64) {
        if number <= self.shared.versions.number() {
            return;
        }
        self.pending = Some(match self.pending.take() {
            Some(pending) => PendingFetch { number, ..pending },
            None => self.schedule(number),
        });
    }

    /// Records that the peer has no deltas to its version, or only deltas that
    /// are too large for a link (`are_too_large`). The store is queried next: at
    /// once if they are too large.
    pub fn record_missing_steps(&mut self, are_too_large: bool) {
        let delay = if are_too_large {
            Duration::ZERO
        } else {
            STORE_QUERY_DELAY
        };
        let next_request_at = self.shared.clock.now() + delay;
        if let Some(pending) = &mut self.pending {
            pending.next_request_at = next_request_at;
            pending.stage = FetchStage::Store;
        }
    }

    /// Records that the peer has answered with deltas or a full text. If the
    /// peer's version is still newer, another request is scheduled.
    pub fn record_response(&mut self) {
        self.full_text_request = None;
        self.pending = match self.pending.take() {
            Some(pending) if pending.number > self.shared.versions.number() => {
                Some(self.schedule(pending.number))
            }
            _ => None,
        };
    }

    /// Records that part of a message has arrived from the peer, which shows
    /// that a requested full text is still being received.
    pub fn record_partial_message(&self) {
        if let Some(request) = &self.full_text_request {
            request.renew(self.shared.clock.now());
        }
    }

    /// When to send the next request; `None` while there is nothing to fetch.
    pub fn next_request_at(&mut self) -> Option<Instant> {
        let number = self.shared.versions.number();
        self.pending.take_if(|pending| pending.number <= number);
        if self.pending.is_none() {
            self.full_text_request = None;
        }
        self.pending.as_ref().map(|pending| pending.next_request_at)
    }

    /// The request to send to the peer now; `None` when the store is queried
    /// instead, or while another peer sends its full text.
    ///
    /// While the store is not known to be unreachable, the version is awaited
    /// from there: otherwise peers would send a text of 600 KB over slow links
    /// while the store is sending it too.
    pub fn ask(&mut self) -> Option<LinkMessage> {
        // Drops the pending fetch if the version has arrived from elsewhere.
        self.next_request_at()?;
        let versions = &self.shared.versions;
        let now = self.shared.clock.now();
        let pending = self.pending.as_mut()?;
        let queries_store = match pending.stage {
            FetchStage::Steps | FetchStage::Bootstrap => false,
            FetchStage::Store => true,
            FetchStage::FullText => !versions.is_store_unreachable.get(),
        };
        if queries_store {
            versions.store_query_requested.notify_one();
            pending.stage = FetchStage::FullText;
            pending.next_request_at = now + FULL_TEXT_REQUEST_DELAY;
            return None;
        }
        let or_whole = matches!(pending.stage, FetchStage::FullText | FetchStage::Bootstrap);
        if or_whole {
            // The text is still being received unless its lease has expired.
            let lease = self
                .full_text_request
                .as_ref()
                .and_then(FullTextRequest::lease_expiry);
            if let Some(expires_at) = lease.filter(|expires_at| now < *expires_at) {
                pending.next_request_at = expires_at;
                return None;
            }
            self.full_text_request = None;
            match versions.full_text_slot.try_acquire(now) {
                Ok(request) => self.full_text_request = Some(request),
                Err(retry_at) => {
                    pending.next_request_at = retry_at;
                    return None;
                }
            }
        }
        // Another request follows earlier only if the answer does not help.
        pending.next_request_at = now + REQUEST_TIMEOUT;
        log::info!(
            "event=version_asked peer={} have={:08x} wanted={:08x} whole={or_whole}",
            self.peer.address.id,
            versions.number(),
            pending.number
        );
        Some(LinkMessage::RequestVersion {
            have: versions.number(),
            or_whole,
        })
    }

    /// Schedules the fetch of version `number`.
    fn schedule(&self, number: u64) -> PendingFetch {
        let shared = self.shared;
        let is_same_zone = self.peer.address.zone == shared.settings.borrow().zone;
        let has_no_version = shared.versions.number() == 0;
        let delay = if has_no_version {
            // No peer has deltas from version 0, so the full text is needed.
            if is_same_zone {
                Duration::ZERO
            } else {
                OTHER_ZONE_REQUEST_DELAY
            }
        } else {
            match *shared.members.role.borrow() {
                StoreRole::Reads => READER_REQUEST_DELAY,
                StoreRole::Follows if shared.is_upstream(&self.peer.address.id) => Duration::ZERO,
                StoreRole::Follows if is_same_zone => SAME_ZONE_REQUEST_DELAY,
                StoreRole::Follows => OTHER_ZONE_REQUEST_DELAY,
            }
        };
        PendingFetch {
            number,
            next_request_at: shared.clock.now() + delay,
            stage: if has_no_version {
                FetchStage::Bootstrap
            } else {
                FetchStage::Steps
            },
        }
    }
}
