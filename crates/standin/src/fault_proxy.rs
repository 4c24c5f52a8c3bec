//! A loopback TCP proxy that tests put between a client and a server to inject
//! network faults: closed connections, delays, and connections that stay open
//! but carry no more bytes while new ones work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

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
}

#[derive(Debug, Default)]
struct ProxyState {
    mode: Mutex<FaultMode>,
    /// Connections with a number below this one are blackholed for good,
    /// whatever the mode.
    blackholed_below: AtomicU64,
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
        *self
            .mode
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
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
            tokio::select! {
                () = copy_with_faults(client_read, server_write, &state, connection, false) => {}
                () = copy_with_faults(server_read, client_write, &state, connection, true) => {}
                () = wait_for_disconnect(&state, connection) => {}
            }
        });
    }
}

/// Waits until the connection's mode is [`FaultMode::Disconnect`], checking
/// every 10 ms.
async fn wait_for_disconnect(state: &ProxyState, connection: u64) {
    while state.mode(connection) != FaultMode::Disconnect {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Copies bytes from `from` to `to` in the connection's mode until either end
/// fails or the mode closes the connection. `is_response` tells the direction:
/// from the server to the client.
async fn copy_with_faults(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &ProxyState,
    connection: u64,
    is_response: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        let mode = match state.mode(connection) {
            FaultMode::BlackholeResponses if is_response => FaultMode::Blackhole,
            FaultMode::BlackholeResponses => FaultMode::Forward,
            mode => mode,
        };
        match mode {
            FaultMode::Disconnect => return,
            // A blackholed connection doesn't tell either end that the other
            // one has closed.
            FaultMode::Blackhole if length == 0 => std::future::pending().await,
            FaultMode::Blackhole => continue,
            FaultMode::Delay(delay) => tokio::time::sleep(delay).await,
            FaultMode::Forward | FaultMode::BlackholeResponses => {}
        }
        if length == 0 {
            let _ = to.shutdown().await;
            // This direction is closed, but the other one may still carry a
            // response. Returning here would close both.
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
