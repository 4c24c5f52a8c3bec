//! A loopback TCP proxy that tests put between a client and a server to inject
//! network faults: closed connections, delays, and connections that stay open
//! but carry no more bytes while new ones work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::http2_frames::{go_away_frame, FrameScanner};

/// What the proxy does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// Forwards them.
    #[default]
    Forward,
    /// Forwards each read after a delay.
    Delay(Duration),
    /// Reads and discards them in both directions; connections stay open.
    Blackhole,
    /// Discards bytes from the server to the client, as `Blackhole` does, and
    /// forwards bytes from the client to the server.
    BlackholeResponses,
    /// Closes open connections, and new ones as soon as they are accepted.
    Disconnect,
    /// Reads no more of open HTTP/2 connections, and ends them as a server does that tells
    /// the client which of its streams were read. Forwards new connections.
    GoAway,
}

#[derive(Debug, Default)]
struct ProxyState {
    mode: Mutex<FaultMode>,
    /// Connections with a number below this one are blackholed for good,
    /// whatever the mode.
    blackholed_below: AtomicU64,
    /// Connections with a number below this one are ended when the mode is
    /// [`FaultMode::GoAway`].
    ended_below: AtomicU64,
    /// Number of connections accepted so far; the next connection's number.
    accepted: AtomicU64,
}

impl ProxyState {
    /// The mode that applies to the connection with this number.
    fn mode(&self, connection: u64) -> FaultMode {
        if connection < self.blackholed_below.load(Ordering::SeqCst) {
            return FaultMode::Blackhole;
        }
        // The mode is a single value that no panic can leave half written, so
        // a poisoned lock is still usable.
        let mode = *self
            .mode
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        match mode {
            FaultMode::GoAway if connection >= self.ended_below.load(Ordering::SeqCst) => {
                FaultMode::Forward
            }
            mode => mode,
        }
    }
}

/// A running fault proxy. Dropping it stops it from accepting connections;
/// those already open go on.
#[derive(Debug)]
pub struct FaultProxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    state: Arc<ProxyState>,
    task: tokio::task::JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port that connects to `upstream`.
    ///
    /// # Panics
    /// When the port cannot be bound.
    pub async fn start(upstream: SocketAddr) -> FaultProxy {
        let address = SocketAddr::from(([127, 0, 0, 1], crate::ports::free_port()));
        let listener = TcpListener::bind(address)
            .await
            .expect("failed to bind a free port");
        let state = Arc::new(ProxyState::default());
        let task = tokio::spawn(accept_loop(listener, upstream, Arc::clone(&state)));
        FaultProxy {
            address,
            state,
            task,
        }
    }

    /// Sets the mode of all connections, open and new, except those that
    /// [`FaultProxy::blackhole_open_connections`] has blackholed.
    pub fn set_mode(&self, mode: FaultMode) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.ended_below.store(accepted, Ordering::SeqCst);
        *self
            .state
            .mode
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = mode;
    }

    /// Blackholes every connection accepted so far, for good; connections
    /// accepted later follow the mode.
    pub fn blackhole_open_connections(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state
            .blackholed_below
            .store(accepted, Ordering::SeqCst);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_loop(listener: TcpListener, upstream: SocketAddr, state: Arc<ProxyState>) {
    while let Ok((client, _)) = listener.accept().await {
        let connection = state.accepted.fetch_add(1, Ordering::SeqCst);
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            if state.mode(connection) == FaultMode::Disconnect {
                return;
            }
            let Ok(server) = TcpStream::connect(upstream).await else {
                return;
            };
            let _ = client.set_nodelay(true);
            let _ = server.set_nodelay(true);
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let newest_stream = AtomicU32::new(0);
            let to_server = Direction {
                state: &state,
                connection,
                is_response: false,
                newest_stream: &newest_stream,
            };
            let to_client = Direction {
                is_response: true,
                ..to_server
            };
            tokio::select! {
                () = to_server.copy(client_read, server_write) => {}
                () = to_client.copy(server_read, client_write) => {}
                () = wait_for_mode(&state, connection, FaultMode::Disconnect) => {}
            }
        });
    }
}

/// Waits until the connection's mode is `mode`, checking every 10 ms.
async fn wait_for_mode(state: &ProxyState, connection: u64, mode: FaultMode) {
    while state.mode(connection) != mode {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// One direction of a connection.
#[derive(Clone, Copy)]
struct Direction<'a> {
    state: &'a ProxyState,
    connection: u64,
    /// Whether it leads from the server to the client.
    is_response: bool,
    /// Number of the newest HTTP/2 stream of which the server was sent the beginning.
    newest_stream: &'a AtomicU32,
}

impl Direction<'_> {
    fn mode(&self) -> FaultMode {
        match self.state.mode(self.connection) {
            FaultMode::BlackholeResponses if self.is_response => FaultMode::Blackhole,
            FaultMode::BlackholeResponses => FaultMode::Forward,
            mode => mode,
        }
    }

    /// Copies bytes from `from` to `to` in the connection's mode until either end fails or
    /// the mode closes the connection.
    async fn copy(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; 16 * 1024];
        let mut frames = if self.is_response {
            FrameScanner::of_server()
        } else {
            FrameScanner::of_client()
        };
        loop {
            let may_end = self.is_response && frames.is_between_frames();
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                () = wait_for_mode(self.state, self.connection, FaultMode::GoAway), if may_end => {
                    return self.end_with_go_away(to).await;
                }
            };
            let Ok(length) = read else {
                return;
            };
            match self.mode() {
                FaultMode::Disconnect => return,
                // A blackholed connection doesn't tell either end that the other
                // one has closed.
                FaultMode::Blackhole if length == 0 => std::future::pending().await,
                FaultMode::Blackhole => continue,
                FaultMode::GoAway if !self.is_response && length == 0 => return,
                FaultMode::GoAway if !self.is_response => continue,
                FaultMode::Delay(delay) => tokio::time::sleep(delay).await,
                FaultMode::Forward | FaultMode::BlackholeResponses | FaultMode::GoAway => {}
            }
            if length == 0 {
                let _ = to.shutdown().await;
                // This direction is closed, but the other one may still carry a
                // response. Returning here would close both.
                std::future::pending::<()>().await;
            }
            frames.scan(&buffer[..length]);
            if !self.is_response {
                self.newest_stream
                    .store(frames.newest_stream(), Ordering::SeqCst);
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    /// Tells the client which of its streams were read, and closes this direction. The other
    /// one ends the connection once the client has closed it.
    async fn end_with_go_away(self, mut to: OwnedWriteHalf) {
        let frame = go_away_frame(self.newest_stream.load(Ordering::SeqCst));
        let _ = to.write_all(&frame).await;
        let _ = to.shutdown().await;
        std::future::pending::<()>().await;
    }
}
