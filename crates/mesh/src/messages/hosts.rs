//! Parts of messages on hosts and on the rows in the table of hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{DecodeError, PeerAddress};
use crate::codec::bounded;
use crate::codec::names::{is_name, is_name_or_empty};
use crate::deflate;
use crate::held_rows::row::{held_row_key, HeldRow};

impl PeerAddress {
    /// Checks that this could be a host. What another writer put among the hosts may be none:
    /// it is not dialed, not elected and not passed on.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.address.parse::<SocketAddr>().is_err() {
            return Err("the address is invalid");
        }
        if is_name(&self.id) && is_name(&self.zone) && is_name_or_empty(&self.service) {
            Ok(())
        } else {
            Err("the name of the host, its zone or its service is invalid")
        }
    }
}

/// Hosts that a daemon knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownHosts {
    /// The hosts.
    pub hosts: Vec<PeerAddress>,
    /// Names of those whose row is not known to be in the store.
    pub unregistered: BTreeSet<String>,
}

/// A list of hosts, compressed with DEFLATE: names and addresses are similar to
/// each other and compress well.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    deflated: Vec<u8>,
}

impl HostList {
    /// Compresses `known`.
    ///
    /// # Panics
    /// Never: encoding does not fail, as addresses hold only plain data.
    #[must_use]
    pub fn compress(known: &KnownHosts) -> HostList {
        let plain = bincode::serde::encode_to_vec(known, bincode::config::standard())
            .expect("addresses always encode");
        HostList {
            deflated: deflate::compress(&plain),
        }
    }

    /// Decompresses the hosts.
    ///
    /// # Errors
    /// [`DecodeError`] if the bytes are not a valid list of hosts.
    pub fn decompress(&self) -> Result<KnownHosts, DecodeError> {
        let plain = deflate::decompress(&self.deflated).map_err(|_| DecodeError)?;
        bounded::decode(&plain)
    }
}

/// Changes to the set of hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostChanges {
    /// Hosts that were added, or whose address changed.
    pub added: Vec<PeerAddress>,
    /// Names of the added hosts whose row is not known to be in the store.
    pub unregistered: BTreeSet<String>,
    /// Names of the hosts whose row was deleted.
    pub removed: Vec<String>,
    /// Names of the hosts whose row was written on their behalf.
    pub registered: Vec<String>,
}

/// A change of a row in the store's table of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// Writes a host's row, which is missing or wrong.
    Write(PeerAddress),
    /// Deletes the row with this key: that of a host by its name, or that of a held
    /// call, which is thereby released.
    Remove(String),
    /// Writes the row of a call that is held back.
    Hold(HeldRow),
}

impl RowChange {
    /// Key of the row; the key of a host's row is the host's name.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            RowChange::Write(address) => address.id.clone(),
            RowChange::Remove(id) => id.clone(),
            RowChange::Hold(held) => held_row_key(held.call),
        }
    }
}
