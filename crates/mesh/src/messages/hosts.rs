//! What daemons say of hosts and of the rows in the table of hosts.

use serde::{Deserialize, Serialize};

use super::{BadMessage, PeerAddress};
use crate::deflate;
use crate::held_rows::{self, HeldRow};

/// A list of hosts, deflated: their names and addresses are much alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    deflated: Vec<u8>,
}

impl HostList {
    /// Packs `hosts`.
    ///
    /// # Panics
    /// Never: addresses hold only plain data that bincode always encodes.
    #[must_use]
    pub fn pack(hosts: &[PeerAddress]) -> HostList {
        let plain = bincode::serde::encode_to_vec(hosts, bincode::config::standard())
            .expect("addresses always encode");
        HostList {
            deflated: deflate::pack(&plain),
        }
    }

    /// The hosts.
    ///
    /// # Errors
    /// [`BadMessage`] when the bytes are not such a list.
    pub fn unpack(&self) -> Result<Vec<PeerAddress>, BadMessage> {
        let plain = deflate::unpack(&self.deflated).map_err(|_| BadMessage)?;
        bincode::serde::decode_from_slice(&plain, bincode::config::standard())
            .map(|(hosts, _)| hosts)
            .map_err(|_| BadMessage)
    }
}

/// What became of hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostChanges {
    /// Those that came, or changed their address.
    pub came: Vec<PeerAddress>,
    /// Names of those whose row is gone.
    pub gone: Vec<String>,
    /// Names of those whose row was written for them.
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
            RowChange::Hold(held) => held_rows::held_row_key(held.call),
        }
    }
}
