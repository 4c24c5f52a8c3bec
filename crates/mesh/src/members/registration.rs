//! Which hosts are known to have a row in the store. Only those are chosen as upstreams:
//! a host that has just said hello may know no other host yet.

use std::time::Instant;

use filbert_policy::membership::counts_as_registered;

use super::MemberTable;
use crate::messages::{KnownHosts, PeerAddress};
use crate::state::MeshShared;

impl MemberTable {
    /// Whether the row of host `id` counts as being in the store.
    #[must_use]
    pub fn is_registered(&self, id: &str, now: Instant) -> bool {
        counts_as_registered(self.hellos.borrow().get(id).copied(), now)
    }

    /// Records that the row of host `id` is in the store, and requests a new link plan if
    /// that is news.
    pub(super) fn mark_registered(&self, id: &str) {
        if self.hellos.borrow_mut().remove(id).is_some() {
            self.changed.notify_one();
        }
    }
}

impl MeshShared {
    /// Adds a host that has said hello, or of which another daemon has heard that way, or
    /// updates its address. Such a host may know no other host yet, so it is not chosen as
    /// an upstream before its row is in the store.
    pub fn upsert_unregistered_host(&self, address: PeerAddress, from: &str) {
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
