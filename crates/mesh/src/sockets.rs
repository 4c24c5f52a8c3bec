//! TCP sockets that detect dead connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Idle time before the first keep-alive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time that sent data may stay unacknowledged before the connection is closed
/// (`TCP_USER_TIMEOUT`).
///
/// Without it, a connection whose state a middlebox has lost would accept data for
/// ever and return none. The time is several times that of two round trips with a
/// lost packet on a lossy link.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of connections that wait to be accepted on a listener.
const LISTEN_BACKLOG: u32 = 1024;

/// Enables keep-alive probes, a limit on unacknowledged data, and `TCP_NODELAY` on a
/// connection to the store, a target or another daemon. A failure is logged.
pub fn set_socket_options(stream: &TcpStream) {
    set_options(stream, TCP_USER_TIMEOUT);
}

/// Sets the options of a client's connection. `idle_timeout` is how long a client may do
/// nothing.
///
/// The kernel counts the time during which a client reads nothing as that of
/// unacknowledged data, though the client's side answers its probes. With the timeout of
/// other connections, a client that pauses for two seconds would be taken for gone.
pub fn set_client_socket_options(stream: &TcpStream, idle_timeout: Duration) {
    set_options(stream, idle_timeout.max(TCP_USER_TIMEOUT));
}

fn set_options(stream: &TcpStream, user_timeout: Duration) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let outcome = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(user_timeout)))
        .and_then(|()| socket.set_tcp_nodelay(true));
    if let Err(error) = outcome {
        // The connection works without the options; it is only detected later that it is
        // dead.
        log::warn!("event=socket_option_refused error=\"{error}\"");
    }
}

/// Sets whether the connection is reset when it is closed, however that comes about. What the
/// client's side has not received then is lost. A failure is logged.
pub fn set_reset_on_close(stream: &TcpStream, resets: bool) {
    let linger = resets.then_some(Duration::ZERO);
    if let Err(error) = SockRef::from(stream).set_linger(linger) {
        log::warn!("event=socket_option_refused error=\"{error}\"");
    }
}

/// Connects to `address` and sets the options of [`set_socket_options`].
///
/// # Errors
/// The error of the connection attempt, or [`io::ErrorKind::TimedOut`] if it takes
/// longer than `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream);
    Ok(stream)
}

/// Listens at `address`. `SO_REUSEADDR` allows binding to a port that an earlier
/// process has just closed.
///
/// # Errors
/// The error of creating, binding or listening on the socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
