//! What daemons say of hosts and of the rows in the table of hosts.

use filbert_policy::host_book::StorePlace;
use serde::{Deserialize, Serialize};

use super::{BadMessage, PeerAddress};
use crate::deflate;
use crate::held_rows::{self, HeldRow};

/// A host whose row was written at a place in the store's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedHost {
    /// Where it is.
    pub address: PeerAddress,
    /// The place.
    pub place: StorePlace,
}

/// Word of a host, with its row's place where it has one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostWord {
    /// Where it is.
    pub address: PeerAddress,
    /// Where its row was written.
    pub place: Option<StorePlace>,
}

impl From<PlacedHost> for HostWord {
    fn from(host: PlacedHost) -> HostWord {
        HostWord {
            address: host.address,
            place: Some(host.place),
        }
    }
}

/// A list of hosts, deflated: their names and addresses are much alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    deflated: Vec<u8>,
    /// The place up to which it holds all rows.
    complete: StorePlace,
}

impl HostList {
    /// Packs `hosts`, all whose rows were there at `complete`.
    ///
    /// # Panics
    /// Never: addresses hold only plain data that bincode always encodes.
    #[must_use]
    pub fn pack(hosts: &[PlacedHost], complete: StorePlace) -> HostList {
        let plain = bincode::serde::encode_to_vec(hosts, bincode::config::standard())
            .expect("addresses always encode");
        HostList {
            deflated: deflate::pack(&plain),
            complete,
        }
    }

    /// The hosts, and the place up to which they are all.
    ///
    /// # Errors
    /// [`BadMessage`] when the bytes are not such a list.
    pub fn unpack(&self) -> Result<(Vec<PlacedHost>, StorePlace), BadMessage> {
        let plain = deflate::unpack(&self.deflated).map_err(|_| BadMessage)?;
        bincode::serde::decode_from_slice(&plain, bincode::config::standard())
            .map(|(hosts, _)| (hosts, self.complete))
            .map_err(|_| BadMessage)
    }
}

/// What became of hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostChanges {
    /// Those that came, changed their address or got a row.
    pub came: Vec<HostWord>,
    /// Names of those whose row was gone, and where.
    pub gone: Vec<(String, StorePlace)>,
    /// Names of those that came and whose row was written for them.
    pub listed: Vec<String>,
}

/// What is to become of a host's row in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// It is missing or wrong.
    Write(PeerAddress),
    /// The host of this name is taken away, or the call of this key let go.
    Remove(String),
    /// A call is held back.
    Hold(HeldRow),
}

impl RowChange {
    /// The key of the row: of a host its name.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            RowChange::Write(address) => address.id.clone(),
            RowChange::Remove(id) => id.clone(),
            RowChange::Hold(held) => held_rows::key_of(held.call),
        }
    }
}
