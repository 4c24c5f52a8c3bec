//! Free loopback ports for stand-ins and daemons.

use std::net::{SocketAddr, TcpListener};

/// Asks the kernel for a free loopback port. The port is released before it
/// is returned, so another process could take it first; on loopback in tests
/// that race has not been seen to matter.
///
/// # Panics
/// When no loopback port can be bound at all.
#[must_use]
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address: SocketAddr = listener
        .local_addr()
        .expect("a bound socket has an address");
    address.port()
}
