//! The sockets of connections that another library has accepted, found among the process's own.

use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};
use std::os::fd::{AsRawFd, BorrowedFd, OwnedFd, RawFd};

use nix::libc::{c_int, getsockopt, ioctl, socklen_t, FIONREAD, IPPROTO_TCP, TCP_INFO};
use nix::sys::resource::{getrlimit, Resource};
use nix::sys::socket::sockopt::RcvBuf;
use nix::sys::socket::{getpeername, getsockname, setsockopt, shutdown, Shutdown, SockaddrStorage};
use nix::unistd::dup;

/// Most descriptors that are looked at.
const MAX_DESCRIPTORS: u64 = 65_536;

/// Offset of the number of bytes received in what the system says of a TCP connection.
const RECEIVED_OFFSET: usize = 128;
/// Length of what is read of it.
const TCP_INFO_BYTES: usize = RECEIVED_OFFSET + size_of::<u64>();

/// A connection that is open.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenSocket {
    pub(super) descriptor: RawFd,
    pub(super) peer: SocketAddr,
}

/// What has come on a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedBytes {
    /// Number of bytes received from the peer so far.
    pub(super) total: u64,
    /// Whether some of them have not been read.
    pub(super) are_unread: bool,
}

impl OpenSocket {
    /// What has come from the peer so far. `None` if the connection is closed.
    pub(super) fn received(self, port: u16) -> Option<ReceivedBytes> {
        // The descriptor may be another connection's by now.
        if peer_of(self.descriptor, port) != Some(self.peer) {
            return None;
        }
        Some(ReceivedBytes {
            total: received_bytes(self.descriptor)?,
            are_unread: unread_bytes(self.descriptor)? > 0,
        })
    }
}

/// Number of bytes received so far on the connection `descriptor`.
fn received_bytes(descriptor: RawFd) -> Option<u64> {
    let mut info = [0_u8; TCP_INFO_BYTES];
    let mut length = socklen_t::try_from(info.len()).ok()?;
    // SAFETY: the system writes at most `length` bytes, which is the length of `info`.
    let result = unsafe {
        getsockopt(
            descriptor,
            IPPROTO_TCP,
            TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    let received = info.get(RECEIVED_OFFSET..)?;
    (result == 0).then_some(u64::from_ne_bytes(received.try_into().ok()?))
}

/// Number of bytes received on the connection `descriptor` and not read.
fn unread_bytes(descriptor: RawFd) -> Option<c_int> {
    let mut unread: c_int = 0;
    // SAFETY: the system writes one integer, to `unread`.
    let result = unsafe { ioctl(descriptor, FIONREAD, &raw mut unread) };
    (result == 0).then_some(unread)
}

/// The connections to the local `port`.
pub(super) fn open_sockets(port: u16) -> Vec<OpenSocket> {
    listed_descriptors()
        .unwrap_or_else(|_| possible_descriptors())
        .into_iter()
        .filter_map(|descriptor| {
            let peer = peer_of(descriptor, port)?;
            Some(OpenSocket { descriptor, peer })
        })
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

/// Ends the connections of `peers` to the local `port`. Whoever serves them finds them closed.
pub(super) fn shut_down(port: u16, peers: &[SocketAddr]) {
    for socket in open_sockets(port) {
        if peers.contains(&socket.peer) {
            shut_down_one(socket, port);
        }
    }
}

fn shut_down_one(open: OpenSocket, port: u16) {
    let OpenSocket { descriptor, peer } = open;
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
