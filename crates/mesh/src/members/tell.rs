//! What others are told of hosts and of the store.

use twox_hash::XxHash64;

use super::{HostNews, MOST_CAME};
use crate::messages::{encode, HostChanges, HostList, LinkMessage, PeerAddress, StoreState};
use crate::state::MeshShared;

impl MeshShared {
    /// Every host known, this one included, as told to another daemon.
    #[must_use]
    pub fn member_list(&self) -> LinkMessage {
        let mut hosts = self.members.hosts();
        hosts.push(self.own_address());
        LinkMessage::Members(HostList::pack(&hosts))
    }

    /// A checksum of that list.
    #[must_use]
    pub fn members_sum(&self) -> u64 {
        let sum_of = |address: &PeerAddress| XxHash64::oneshot(0, &encode(address));
        let hosts = self.members.hosts.borrow();
        let others = hosts.values().map(sum_of);
        others.fold(sum_of(&self.own_address()), |sum, one| sum ^ one)
    }

    /// Tells the daemons that follow this one.
    pub fn send_to_followers(&self, message: &LinkMessage) {
        let zone = self.settings.borrow().zone.clone();
        self.peers.broadcast_to_followers(&zone, &encode(message));
    }

    /// Tells those that follow this daemon which hosts came and went. Many at
    /// once, as when a fleet starts, go in one message.
    pub fn tell_changes(&self) {
        let untold = self.members.untold.take();
        if untold.is_empty() {
            return;
        }
        let mut changes = HostChanges::default();
        for (id, news) in untold {
            match news {
                HostNews::Came(address) => changes.came.push(address),
                HostNews::Gone => changes.gone.push(id),
                HostNews::Listed(address) => {
                    changes.came.push(address);
                    changes.listed.push(id);
                }
            }
        }
        if !self.members.is_reader() {
            // Others tell of hosts; of the rows that it wrote it tells itself,
            // also where it has handed that over to another by now.
            changes.came.clear();
            changes.gone.clear();
        }
        if changes.came.len() > MOST_CAME {
            changes.came.clear();
            self.send_to_followers(&LinkMessage::MembersSum(self.members_sum()));
        }
        if changes != HostChanges::default() {
            self.send_to_followers(&LinkMessage::HostsChanged(changes));
        }
    }

    /// What this daemon has of the store.
    #[must_use]
    pub fn store_state(&self) -> StoreState {
        self.members.store.get()
    }

    /// Notes what this daemon has of the store, and tells those linked here.
    pub fn set_store_state(&self, state: StoreState) {
        if self.members.store.replace(state) == state {
            return;
        }
        if state.is_current() {
            // Those that linked here before were not told whom it knows.
            self.send_to_followers(&LinkMessage::MembersSum(self.members_sum()));
        }
        self.peers.broadcast(&encode(&LinkMessage::Store(state)));
    }
}
