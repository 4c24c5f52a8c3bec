//! A loopback TCP relay that tests put between two ends of a connection, to
//! cut it, slow it down, or let it go silent while new ones work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// What the pipe does to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// Passes them on.
    #[default]
    Forward,
    /// Passes them on after a delay.
    Delay(Duration),
    /// Takes them and passes nothing on; connections stay open.
    Blackhole,
    /// Swallows what comes back; what is sent arrives.
    BlackholeResponses,
    /// Closes connections, also new ones.
    Disconnect,
}

#[derive(Debug, Default)]
struct PipeState {
    mode: Mutex<FaultMode>,
    /// Connections opened before this count of them have gone silent for good.
    silent_before: AtomicU64,
    opened: AtomicU64,
}

impl PipeState {
    fn mode(&self, connection: u64) -> FaultMode {
        if connection < self.silent_before.load(Ordering::SeqCst) {
            return FaultMode::Blackhole;
        }
        // The mode is one value, so a poisoned lock is still usable.
        *self
            .mode
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// A running pipe.
#[derive(Debug)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<PipeState>,
    task: tokio::task::JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a pipe on a free loopback port that leads to `to`.
    ///
    /// # Panics
    /// When the port cannot be bound.
    pub async fn start(to: SocketAddr) -> FaultProxy {
        let address = SocketAddr::from(([127, 0, 0, 1], crate::ports::free_port()));
        let listener = TcpListener::bind(address).await.expect("a free port binds");
        let state = Arc::new(PipeState::default());
        let task = tokio::spawn(accept_loop(listener, to, Arc::clone(&state)));
        FaultProxy {
            address,
            state,
            task,
        }
    }

    /// Sets what happens to the bytes of every connection that is not silent.
    pub fn set_mode(&self, mode: FaultMode) {
        *self
            .state
            .mode
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = mode;
    }

    /// Lets every connection open now go silent for good; new ones work.
    pub fn blackhole_open_connections(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.silent_before.store(opened, Ordering::SeqCst);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_loop(listener: TcpListener, to: SocketAddr, state: Arc<PipeState>) {
    while let Ok((near, _)) = listener.accept().await {
        let connection = state.opened.fetch_add(1, Ordering::SeqCst);
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            if state.mode(connection) == FaultMode::Disconnect {
                return;
            }
            let Ok(far) = TcpStream::connect(to).await else {
                return;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::select! {
                () = pump(near_read, far_write, &state, connection, false) => {}
                () = pump(far_read, near_write, &state, connection, true) => {}
                () = watch_cut(&state, connection) => {}
            }
        });
    }
}

/// Ends once the connection is cut.
async fn watch_cut(state: &PipeState, connection: u64) {
    while state.mode(connection) != FaultMode::Disconnect {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &PipeState,
    connection: u64,
    is_back: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        let mode = match state.mode(connection) {
            FaultMode::BlackholeResponses if is_back => FaultMode::Blackhole,
            FaultMode::BlackholeResponses => FaultMode::Forward,
            mode => mode,
        };
        match mode {
            FaultMode::Disconnect => return,
            // A silent connection tells neither end anything, not even that
            // the other one closed.
            FaultMode::Blackhole if length == 0 => std::future::pending().await,
            FaultMode::Blackhole => continue,
            FaultMode::Delay(delay) => tokio::time::sleep(delay).await,
            FaultMode::Forward | FaultMode::BlackholeResponses => {}
        }
        if length == 0 {
            let _ = to.shutdown().await;
            // The other direction may still have an answer to bring.
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
