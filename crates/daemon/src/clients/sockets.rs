//! The sockets of connections that another library has accepted, found among the process's own.

use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};
use std::os::fd::{AsRawFd, BorrowedFd, OwnedFd, RawFd};

use nix::sys::resource::{getrlimit, Resource};
use nix::sys::socket::sockopt::RcvBuf;
use nix::sys::socket::{getpeername, getsockname, setsockopt, shutdown, Shutdown, SockaddrStorage};
use nix::unistd::dup;

/// Most descriptors that are looked at.
const MAX_DESCRIPTORS: u64 = 65_536;

/// The connections to the local `port`: descriptor and address of the peer.
fn connections_to(port: u16) -> Vec<(RawFd, SocketAddr)> {
    listed_descriptors()
        .unwrap_or_else(|_| possible_descriptors())
        .into_iter()
        .filter_map(|descriptor| Some((descriptor, peer_of(descriptor, port)?)))
        .collect()
}

/// The open descriptors of this process.
///
/// # Errors
/// The error of reading them, which takes a descriptor.
fn listed_descriptors() -> std::io::Result<Vec<RawFd>> {
    let entries = std::fs::read_dir("/proc/self/fd")?;
    let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    Ok(names.filter_map(|name| name.parse().ok()).collect())
}

/// The descriptors that this process may have.
fn possible_descriptors() -> Vec<RawFd> {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(MAX_DESCRIPTORS, |(soft, _)| soft);
    let limit = RawFd::try_from(limit.min(MAX_DESCRIPTORS)).unwrap_or(RawFd::MAX);
    (0..limit).collect()
}

/// Limits the receive buffer of the sockets of the local `port` to `bytes`. Connections take
/// it over from the listening socket. Returns whether there is any socket.
pub(super) fn limit_receive_buffers(port: u16, bytes: usize) -> bool {
    let descriptors = listed_descriptors().unwrap_or_else(|_| possible_descriptors());
    let mut is_any = false;
    for descriptor in descriptors {
        if local_port(descriptor) == Some(port) {
            // SAFETY: the descriptor is borrowed for the call only, which fails if it has been
            // closed meanwhile.
            let socket = unsafe { BorrowedFd::borrow_raw(descriptor) };
            is_any |= setsockopt(&socket, RcvBuf, &bytes).is_ok();
        }
    }
    is_any
}

fn local_port(descriptor: RawFd) -> Option<u16> {
    let local: SockaddrStorage = getsockname(descriptor).ok()?;
    internet_address(&local).map(|address| address.port())
}

/// The peer of the connection `descriptor` to the local `port`; `None` if it is no such
/// connection.
fn peer_of(descriptor: RawFd, port: u16) -> Option<SocketAddr> {
    if local_port(descriptor)? != port {
        return None;
    }
    let peer: SockaddrStorage = getpeername(descriptor).ok()?;
    internet_address(&peer)
}

/// The address, unless it belongs to a socket of another kind than IPv4 or IPv6.
fn internet_address(address: &SockaddrStorage) -> Option<SocketAddr> {
    let four = address.as_sockaddr_in().copied().map(SocketAddrV4::from);
    let six = address.as_sockaddr_in6().copied().map(SocketAddrV6::from);
    four.map(SocketAddr::V4).or(six.map(SocketAddr::V6))
}

/// Peers of the connections to the local `port`.
pub(super) fn open_peers(port: u16) -> Vec<SocketAddr> {
    connections_to(port)
        .into_iter()
        .map(|(_, peer)| peer)
        .collect()
}

/// Ends the connections of `peers` to the local `port`. Whoever serves them finds them closed.
pub(super) fn shut_down(port: u16, peers: &[SocketAddr]) {
    for (descriptor, peer) in connections_to(port) {
        if peers.contains(&peer) {
            shut_down_one(descriptor, port, peer);
        }
    }
}

fn shut_down_one(descriptor: RawFd, port: u16, peer: SocketAddr) {
    // SAFETY: the descriptor is borrowed for the duplication only, which fails if it has been
    // closed meanwhile.
    let copy: Option<OwnedFd> = dup(unsafe { BorrowedFd::borrow_raw(descriptor) }).ok();
    // Without a free descriptor there is no copy, which would keep the number from being used
    // for another socket in between.
    let socket = copy.as_ref().map_or(descriptor, AsRawFd::as_raw_fd);
    if peer_of(socket, port) == Some(peer) {
        // It fails if the peer has closed the connection.
        let _ = shutdown(socket, Shutdown::Both);
    }
}
