//! Entries of another writer in the table of hosts: rows of hosts that do not exist.

#![allow(dead_code)] // Each test binary uses only some of the helpers.

use std::net::SocketAddr;

use filbert_mesh::codec::rows::encode;
use filbert_mesh::messages::PeerAddress;
use filbert_platform_standin::{Host, StandinStore};
use filbert_policy::membership::{plan_links, HostView, LinkLimits, Reachability};
use tokio::net::{TcpListener, TcpStream};

/// Table of the rows with which hosts register.
pub const HOSTS_TABLE: &str = "filbert-hosts";

/// An entry: the key and the value of its row.
pub struct Entry {
    pub key: String,
    pub value: Vec<u8>,
}

impl Entry {
    /// A well-formed row of host `id`.
    pub fn new(id: &str, address: &str, zone: &str, service: &str) -> Entry {
        let row = PeerAddress {
            id: id.to_owned(),
            address: address.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
        };
        Entry {
            key: id.to_owned(),
            value: encode(&row),
        }
    }

    /// A copy of `row` in which `replaced` is `by`, while all lengths in it stay.
    pub fn copy_with(id: &str, row: &[u8], replaced: &str, by: &str) -> Entry {
        let replaced = replaced.as_bytes();
        let at = row
            .windows(replaced.len())
            .position(|part| part == replaced);
        let at = at.expect("the replaced text");
        let rest = &row[at + replaced.len()..];
        Entry {
            key: id.to_owned(),
            value: [&row[..at], by.as_bytes(), rest].concat(),
        }
    }
}

/// Writes `entries` to the table of hosts.
pub fn write(store: &StandinStore, entries: &[Entry]) {
    for entry in entries {
        store.put(HOSTS_TABLE, &entry.key, &entry.value);
    }
}

/// Names of `count` hosts that are elected reader and source before all of `hosts`.
pub fn names_elected_before(hosts: &[Host], count: usize) -> Vec<String> {
    let names = (0..).map(|number| format!("g{number}"));
    let elected = names.filter(|name| {
        let is_before = |host: &Host| is_elected_before(name, &host.spec.name);
        hosts.iter().all(is_before)
    });
    elected.take(count).collect()
}

/// Whether of two hosts of one zone the one named `name` is elected reader.
fn is_elected_before(name: &str, other: &str) -> bool {
    let view = |id| HostView {
        id,
        zone: "a",
        service: "quotes",
        reachability: Reachability::Reachable,
        lost_store: false,
        is_registered: true,
    };
    let limits = LinkLimits {
        readers: 1,
        ..LinkLimits::default()
    };
    plan_links(&view(name), &[view(other)], &[], &limits).is_reader
}

/// A loopback address at which nobody listens.
pub async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

/// A loopback address at which connections are accepted and nothing is said, as long as the
/// test runs.
pub async fn silent_address() -> SocketAddr {
    /// Number of connections that are held; the oldest ends when there are more.
    const MAX_CONNECTIONS: usize = 500;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut connections: Vec<TcpStream> = Vec::new();
        while let Ok((connection, _)) = listener.accept().await {
            if connections.len() >= MAX_CONNECTIONS {
                connections.remove(0);
            }
            connections.push(connection);
        }
    });
    address
}
