//! What others are told of hosts and of the store.

use twox_hash::XxHash64;

use super::{HostNews, MOST_CAME};
use crate::messages::{
    encode, HostChanges, HostList, LinkMessage, PeerAddress, PlacedHost, StoreState,
};
use crate::state::MeshShared;

impl MeshShared {
    /// The hosts with a row, this one included, as told to another daemon.
    #[must_use]
    pub fn member_list(&self) -> LinkMessage {
        let hosts = self.members.hosts.borrow();
        let rows = hosts.rows().map(|(_, address, place)| PlacedHost {
            address: address.clone(),
            place,
        });
        let listed: Vec<PlacedHost> = rows.chain(self.own_row()).collect();
        LinkMessage::Members(HostList::pack(&listed, hosts.complete()))
    }

    fn own_row(&self) -> Option<PlacedHost> {
        let place = self.members.rows.own_place()?;
        Some(PlacedHost {
            address: self.own_address(),
            place,
        })
    }

    /// A checksum of that list.
    #[must_use]
    pub fn members_sum(&self) -> u64 {
        let sum_of = |address: &PeerAddress| XxHash64::oneshot(0, &encode(address));
        let hosts = self.members.hosts.borrow();
        let others = hosts.rows().map(|(_, address, _)| sum_of(address));
        let own = self.own_row().map(|own| sum_of(&own.address));
        others.chain(own).fold(0, |sum, one| sum ^ one)
    }

    /// Tells the daemons that follow this one.
    pub fn tell_followers(&self, message: &LinkMessage) {
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
                HostNews::Came(word) => changes.came.push(word),
                HostNews::Gone(place) => changes.gone.push((id, place)),
                HostNews::Listed(word) => {
                    changes.came.push(word);
                    changes.listed.push(id);
                }
            }
        }
        if !self.members.is_reader() {
            // Others tell of hosts; of the rows that it wrote it tells itself,
            // also where it has handed that over to another by now.
            let listed = &changes.listed;
            changes
                .came
                .retain(|word| listed.contains(&word.address.id));
            changes.gone.clear();
        }
        if changes.came.len() > MOST_CAME {
            let listed = &changes.listed;
            changes
                .came
                .retain(|word| listed.contains(&word.address.id));
            self.tell_followers(&LinkMessage::MembersSum(self.members_sum()));
        }
        if changes != HostChanges::default() {
            self.tell_followers(&LinkMessage::HostsChanged(changes));
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
            self.tell_followers(&LinkMessage::MembersSum(self.members_sum()));
        }
        self.peers.broadcast(&encode(&LinkMessage::Store(state)));
    }
}
