//! Which hosts are known to have a row in the store. Only those are chosen as upstreams:
//! a host that has just said hello may know no other host yet.

use std::time::{Duration, Instant};

use filbert_policy::membership::registered_from;

use super::{HostChange, MemberTable};
use crate::codec::names::shortened;
use crate::messages::{KnownHosts, PeerAddress};
use crate::state::MeshShared;

impl MemberTable {
    /// Whether the row of host `id` counts as being in the store.
    #[must_use]
    pub fn is_registered(&self, id: &str, now: Instant) -> bool {
        let hellos = self.hellos.borrow();
        hellos
            .get(id)
            .is_none_or(|hello_at| now >= registered_from(*hello_at))
    }

    /// Records that the row of host `id` is in the store. If that is news, requests a new
    /// link plan and queues the news for the followers.
    pub(super) fn mark_registered(&self, id: &str) {
        if self.hellos.borrow_mut().remove(id).is_some() {
            let mut pending_changes = self.pending_changes.borrow_mut();
            // A change that is queued already says that the host is registered.
            pending_changes
                .entry(id.to_owned())
                .or_insert(HostChange::Listed);
            self.changed.notify_one();
        }
    }

    /// Time until the next host counts as registered whose row has not been seen in the
    /// store; `None` if there is no such host.
    #[must_use]
    pub fn next_registration_in(&self, now: Instant) -> Option<Duration> {
        let mut hellos = self.hellos.borrow_mut();
        hellos.retain(|_, hello_at| now < registered_from(*hello_at));
        let next = hellos
            .values()
            .map(|hello_at| registered_from(*hello_at))
            .min()?;
        Some(next.saturating_duration_since(now))
    }
}

impl MeshShared {
    /// Adds a host that has said hello, or of which another daemon has heard that way, or
    /// updates its address. Such a host may know no other host yet, so it is not chosen as
    /// an upstream before its row is in the store.
    pub fn upsert_unregistered_host(&self, address: PeerAddress, from: &str) {
        if !is_host(&address, from) {
            return;
        }
        let id = address.id.clone();
        let hello_at = if self.members.has_host(&id) {
            self.members.hellos.borrow().get(&id).copied()
        } else {
            Some(self.clock.now())
        };
        if let Some(hello_at) = hello_at {
            self.members.hellos.borrow_mut().insert(id, hello_at);
        }
        self.insert_host(address, from);
    }

    /// Adds a registered host or updates its address.
    pub fn upsert_host(&self, address: PeerAddress, from: &str) {
        if !is_host(&address, from) {
            return;
        }
        self.members.mark_registered(&address.id);
        self.insert_host(address, from);
    }

    /// Adds hosts that another daemon knows or updates their addresses.
    pub fn upsert_known_hosts(&self, known: KnownHosts, from: &str) {
        for address in known.hosts {
            if known.unregistered.contains(&address.id) {
                self.upsert_unregistered_host(address, from);
            } else {
                self.upsert_host(address, from);
            }
        }
    }
}

/// Whether `address` could be that of a host; logs it if not. The rows of the store were
/// checked before, the hosts that other daemons name were not.
fn is_host(address: &PeerAddress, from: &str) -> bool {
    let checked = address.check();
    if let Err(error) = checked {
        let host = shortened(&address.id);
        log::warn!("event=host_refused host={host:?} from={from} error=\"{error}\"");
    }
    checked.is_ok()
}
