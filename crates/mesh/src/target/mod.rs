//! Connection pool for the local target. [`exchange`] sends a call over one of its
//! connections, [`response`] and [`run_body`] read the answer.

mod exchange;
mod response;
mod run_body;

use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbert_http1::MessageReader;
use filbert_policy::clock::Clock;
use socket2::SockRef;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::sockets;
pub use exchange::{ExchangeOutcome, ExchangeParams, TargetRejection};
pub use run_body::RunBody;

/// Timeout for connecting to the target. A live target, which is on this host,
/// accepts a connection within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle timeout of a connection if the target states none in `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections in the pool, besides those in use. Reuse saves
/// the handshake of a new connection.
const MAX_IDLE_CONNECTIONS: usize = 32;
#[derive(Debug)]
struct TargetConnection {
    reader: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    idle_since: Instant,
    idle_timeout: Duration,
}

impl TargetConnection {
    /// Returns whether the connection is open and has no unread bytes.
    ///
    /// Unread bytes are an answer without a request, which would be taken for the
    /// answer to the next call. A call sent on a closed connection would be lost.
    fn is_usable(&mut self) -> bool {
        if self.reader.has_buffered_bytes() {
            return false;
        }
        let half: &OwnedReadHalf = self.reader.stream();
        let stream: &tokio::net::TcpStream = half.as_ref();
        let mut byte = [MaybeUninit::uninit(); 1];
        match SockRef::from(stream).peek(&mut byte) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }
}

/// Pool of idle connections to the local target.
#[derive(Debug, Default)]
pub struct TargetConnectionPool {
    idle: RefCell<Vec<TargetConnection>>,
}

impl TargetConnectionPool {
    /// Closes all idle connections, for example after the target was replaced or
    /// went down.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes the most recently used idle connection that is still usable. It is the
    /// one least likely to have been dropped by the target or a device in between.
    fn take_idle(&self, now: Instant) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| now < connection.idle_since + connection.idle_timeout);
        while let Some(mut connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, or closes it if it is not usable or the
    /// pool is full.
    fn put_back(&self, mut connection: TargetConnection, now: Instant) {
        connection.idle_since = now;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && connection.is_usable() {
            idle.push(connection);
        }
    }

    /// Takes an idle connection, or opens one if there is none.
    ///
    /// # Errors
    /// The error of the connect.
    async fn acquire(
        &self,
        address: SocketAddr,
        clock: &dyn Clock,
    ) -> io::Result<TargetConnection> {
        match self.take_idle(clock.now()) {
            Some(idle) => Ok(idle),
            None => TargetConnectionPool::open(address, clock).await,
        }
    }

    /// Checks that the target accepts a new connection. The connection goes to the
    /// pool, in place of the one whose loss made the check necessary.
    ///
    /// # Errors
    /// The error of the connect.
    pub async fn check_accepts(
        &self,
        address: SocketAddr,
        clock: &Rc<dyn Clock>,
    ) -> io::Result<()> {
        let fresh = TargetConnectionPool::open(address, clock.as_ref()).await?;
        self.put_back(fresh, clock.now());
        Ok(())
    }

    async fn open(address: SocketAddr, clock: &dyn Clock) -> io::Result<TargetConnection> {
        let (read, write) = sockets::connect(address, CONNECT_TIMEOUT)
            .await?
            .into_split();
        Ok(TargetConnection {
            reader: MessageReader::new(read),
            writer: write,
            idle_since: clock.now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }
}
