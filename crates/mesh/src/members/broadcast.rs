//! Messages to other daemons about hosts and about access to the store.

use std::collections::BTreeSet;

use twox_hash::XxHash64;

use super::{HostChange, MAX_ADDED_HOSTS_SENT};
use crate::messages::{
    encode, HostChanges, HostList, KnownHosts, LinkMessage, PeerAddress, StoreState,
};
use crate::state::MeshShared;

impl MeshShared {
    /// The message that lists every known host, this one included.
    #[must_use]
    pub fn member_list(&self) -> LinkMessage {
        let now = self.clock.now();
        let mut hosts = self.members.hosts();
        let is_unregistered =
            |address: &&PeerAddress| !self.members.is_registered(&address.id, now);
        let mut unregistered: BTreeSet<String> = hosts
            .iter()
            .filter(is_unregistered)
            .map(|address| address.id.clone())
            .collect();
        let own = self.own_address();
        if !self.members.rows.was_own_registered() {
            unregistered.insert(own.id.clone());
        }
        hosts.push(own);
        LinkMessage::Members(HostList::compress(&KnownHosts {
            hosts,
            unregistered,
        }))
    }

    /// Checksum of [`Self::member_list`], independent of the order of the hosts. Lists
    /// differ that disagree on which hosts are registered.
    #[must_use]
    pub fn members_checksum(&self) -> u64 {
        let now = self.clock.now();
        let checksum_of = |address: &PeerAddress, is_registered: bool| {
            XxHash64::oneshot(0, &encode(&(address, is_registered)))
        };
        let is_own_registered = self.members.rows.was_own_registered();
        let hosts = self.members.hosts.borrow();
        hosts
            .values()
            .map(|host| checksum_of(host, self.members.is_registered(&host.id, now)))
            .fold(
                checksum_of(&self.own_address(), is_own_registered),
                |total, checksum| total ^ checksum,
            )
    }

    /// Sends `message` to the daemons that follow this one.
    pub fn send_to_followers(&self, message: &LinkMessage) {
        let zone = self.settings.borrow().zone.clone();
        self.peers.broadcast_to_followers(&zone, &encode(message));
    }

    /// Sends the queued changes to hosts to the followers. Many changes, as
    /// when a fleet starts, go in one message.
    pub fn send_host_changes(&self) {
        let pending_changes = self.members.pending_changes.take();
        if pending_changes.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut changes = HostChanges::default();
        for (id, change) in pending_changes {
            match change {
                HostChange::Added(address) => {
                    if !self.members.is_registered(&address.id, now) {
                        changes.unregistered.insert(address.id.clone());
                    }
                    changes.added.push(address);
                }
                HostChange::Removed => changes.removed.push(id),
                HostChange::Listed if self.members.is_reader() => changes.registered.push(id),
                HostChange::Listed => {}
                HostChange::Registered(address) => {
                    changes.added.push(address);
                    changes.registered.push(id);
                }
            }
        }
        if !self.members.is_reader() {
            // Only readers relay changes to hosts. A daemon reports the rows
            // that it has written itself, even if it is no longer a reader by
            // now.
            changes.added.clear();
            changes.unregistered.clear();
            changes.removed.clear();
        }
        if changes.added.len() > MAX_ADDED_HOSTS_SENT {
            changes.added.clear();
            changes.unregistered.clear();
            self.send_to_followers(&LinkMessage::MembersChecksum(self.members_checksum()));
        }
        if changes != HostChanges::default() {
            self.send_to_followers(&LinkMessage::HostsChanged(changes));
        }
    }

    /// This daemon's access to the store, as last announced.
    #[must_use]
    pub fn store_state(&self) -> StoreState {
        self.members.store.get()
    }

    /// Updates this daemon's access to the store, and announces a change to the
    /// daemons that are linked here.
    pub fn set_store_state(&self, state: StoreState) {
        if self.members.store.replace(state) == state {
            return;
        }
        if state.is_current() {
            // Daemons that linked here earlier were not sent the checksum of
            // the hosts.
            self.send_to_followers(&LinkMessage::MembersChecksum(self.members_checksum()));
        }
        self.peers.broadcast(&encode(&LinkMessage::Store(state)));
    }
}
