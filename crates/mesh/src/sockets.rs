//! Sockets that notice a peer that went silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Pause before and between keep-alive probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const PROBES: u32 = 2;
/// Time that sent bytes may stay unacknowledged.
///
/// Guards against connections that something between the two ends has lost
/// track of: they take bytes for ever and give none. Two round trips of a
/// lossy link with a lost packet fit in several times over.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);
/// Queue of new connections.
const BACKLOG: u32 = 1024;

/// Sets the probes and limits on a connection.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    let outcome = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)))
        .and_then(|()| socket.set_tcp_nodelay(true));
    if let Err(error) = outcome {
        // The connection works without; only its silence is found later.
        log::warn!("event=socket_option_refused error=\"{error}\"");
    }
}

/// Connects within `timeout`.
///
/// # Errors
/// The connection's error, or [`io::ErrorKind::TimedOut`].
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream);
    Ok(stream)
}

/// Listens at `address`; a port left by an earlier process is taken over.
///
/// # Errors
/// The socket's error.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
