//! The links between daemons of a zone: one `h2` stream each, carrying the
//! peer's messages one way and the relay's the other, framed `bincode`.

use std::collections::HashMap;
use std::fmt;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::{Ping, PingPong, RecvStream, SendStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::counters::DaemonCounters;
use crate::messages::{FrameDecoder, FrameError, PeerMessage, RelayMessage};

/// Frames that may wait on one link; a peer that falls this far behind is
/// dropped and links anew, so that one slow peer cannot hold memory.
const OUTGOING_QUEUE: usize = 256;
/// Time to connect and complete the HTTP/2 handshake.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// A link that takes no bytes for this long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for the last frames to leave when a link is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// HTTP/2 window of a stream and of a connection, in bytes.
const WINDOW: u32 = 1024 * 1024;

/// Why a link ended.
#[derive(Debug)]
pub enum LinkError {
    /// The connection could not be opened in time.
    Open,
    /// HTTP/2 failed.
    Protocol(h2::Error),
    /// The bytes were not messages.
    Frame(FrameError),
    /// A PING was not answered in time.
    Silent,
    /// The other side ended the stream.
    Ended,
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Open => formatter.write_str("could not open the connection in time"),
            LinkError::Protocol(error) => write!(formatter, "http/2: {error}"),
            LinkError::Frame(error) => write!(formatter, "bad frame: {error:?}"),
            LinkError::Silent => formatter.write_str("no answer to a ping"),
            LinkError::Ended => formatter.write_str("closed by the other side"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<h2::Error> for LinkError {
    fn from(error: h2::Error) -> LinkError {
        LinkError::Protocol(error)
    }
}

/// When a link is checked and given up.
#[derive(Clone, Copy, Debug)]
pub struct PingTimes {
    /// Pause between PINGs.
    pub every: Duration,
    /// A PING unanswered for this long ends the link.
    pub silence: Duration,
}

/// The sending halves of the links to peers, by link number.
#[derive(Clone, Debug, Default)]
pub struct PeerSenders {
    senders: Arc<std::sync::Mutex<HashMap<u64, mpsc::Sender<Bytes>>>>,
}

impl PeerSenders {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, mpsc::Sender<Bytes>>> {
        // Entries are whole per operation, so a poisoned lock is still usable.
        self.senders
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Queues `frame` for `peer`; one that cannot take it is dropped.
    pub fn send(&self, peer: u64, frame: Bytes) {
        let mut senders = self.lock();
        let taken = senders
            .get(&peer)
            .is_some_and(|sender| sender.try_send(frame).is_ok());
        if !taken {
            senders.remove(&peer);
        }
    }

    /// Closes the link to `peer` once what is queued has left.
    pub fn close(&self, peer: u64) {
        self.lock().remove(&peer);
    }
}

/// Takes links from peers until the listener fails for good.
pub async fn serve_peers(
    listener: TcpListener,
    senders: PeerSenders,
    events: mpsc::Sender<ControlEvent>,
    counters: Arc<DaemonCounters>,
) {
    let next_peer = AtomicU64::new(1);
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let peer = next_peer.fetch_add(1, Ordering::Relaxed);
        let senders = senders.clone();
        let events = events.clone();
        let counters = Arc::clone(&counters);
        tokio::spawn(async move {
            let _ = serve_peer(socket, peer, &senders, &events, &counters).await;
            senders.close(peer);
            let _ = events.send(ControlEvent::PeerGone { peer }).await;
        });
    }
}

async fn serve_peer(
    socket: TcpStream,
    peer: u64,
    senders: &PeerSenders,
    events: &mpsc::Sender<ControlEvent>,
    counters: &DaemonCounters,
) -> Result<(), LinkError> {
    let _ = socket.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake::<_, Bytes>(socket);
    let mut connection = tokio::time::timeout(OPEN_TIMEOUT, handshake)
        .await
        .map_err(|_| LinkError::Open)??;
    let Some(accepted) = connection.accept().await else {
        return Err(LinkError::Ended);
    };
    let (request, mut respond) = accepted?;
    let outgoing = respond.send_response(http::Response::new(()), false)?;
    let (sender, queue) = mpsc::channel(OUTGOING_QUEUE);
    senders.lock().insert(peer, sender);
    let reading = read_frames(request.into_body(), counters, |message: PeerMessage| {
        events.send(ControlEvent::PeerSaid { peer, message })
    });
    tokio::select! {
        ended = drive(&mut connection) => ended,
        ended = reading => ended,
        ended = write_frames(outgoing, queue, counters) => {
            // What was sent must leave before the connection is dropped, so
            // that a peer gets the answer it is dismissed with.
            connection.graceful_shutdown();
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, drive(&mut connection)).await;
            ended
        }
    }
}

/// Keeps a server connection going; a peer opens one stream only.
async fn drive(connection: &mut h2::server::Connection<TcpStream, Bytes>) -> Result<(), LinkError> {
    while let Some(accepted) = connection.accept().await {
        let (_, mut respond) = accepted?;
        respond.send_reset(h2::Reason::REFUSED_STREAM);
    }
    Err(LinkError::Ended)
}

/// Opens link `link` to the relay at `address` and runs it until it ends.
/// What is put in `queue` goes to the relay; dropping its sender ends the link.
///
/// # Errors
/// [`LinkError`] saying why the link ended, unless this side ended it.
pub async fn run_link(
    link: u64,
    address: &str,
    queue: mpsc::Receiver<Bytes>,
    pings: PingTimes,
    events: &mpsc::Sender<ControlEvent>,
    counters: &DaemonCounters,
) -> Result<(), LinkError> {
    let (outgoing, incoming, mut connection) = open_link(address).await?;
    let ping_pong = connection.ping_pong().ok_or(LinkError::Ended)?;
    let reading = async {
        let response = incoming.await?;
        read_frames(response.into_body(), counters, |message: RelayMessage| {
            events.send(ControlEvent::RelaySaid { link, message })
        })
        .await
    };
    tokio::select! {
        ended = &mut connection => Ok(ended?),
        ended = reading => ended,
        ended = check_alive(ping_pong, pings) => ended,
        ended = write_frames(outgoing, queue, counters) => {
            // The last message (such as where this daemon moves to) must
            // leave before the connection is dropped.
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, &mut connection).await;
            ended
        }
    }
}

type OpenedLink = (
    SendStream<Bytes>,
    h2::client::ResponseFuture,
    h2::client::Connection<TcpStream, Bytes>,
);

async fn open_link(address: &str) -> Result<OpenedLink, LinkError> {
    let address: SocketAddr = address.parse().map_err(|_| LinkError::Open)?;
    let socket = tokio::time::timeout(OPEN_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| LinkError::Open)?
        .map_err(|_| LinkError::Open)?;
    let _ = socket.set_nodelay(true);
    let handshake = h2::client::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake(socket);
    let (mut requests, connection) = tokio::time::timeout(OPEN_TIMEOUT, handshake)
        .await
        .map_err(|_| LinkError::Open)??;
    let request = http::Request::post(format!("http://{address}/link"))
        .body(())
        .map_err(|_| LinkError::Open)?;
    let (response, outgoing) = requests.send_request(request, false)?;
    Ok((outgoing, response, connection))
}

/// Guards against a connection that goes silent for good while new ones work
/// (something between the two ends lost track of it): no error ever arrives
/// and the daemon would wait for versions that cannot come. An unanswered
/// PING ends the link, and the daemon looks for the relay anew.
async fn check_alive(mut ping_pong: PingPong, times: PingTimes) -> Result<(), LinkError> {
    loop {
        tokio::time::sleep(times.every).await;
        tokio::time::timeout(times.silence, ping_pong.ping(Ping::opaque()))
            .await
            .map_err(|_| LinkError::Silent)??;
    }
}

async fn read_frames<M, F, Fut>(
    mut body: RecvStream,
    counters: &DaemonCounters,
    mut deliver: F,
) -> Result<(), LinkError>
where
    M: serde::de::DeserializeOwned,
    F: FnMut(M) -> Fut,
    Fut: std::future::Future<Output = Result<(), mpsc::error::SendError<ControlEvent>>>,
{
    let mut reader = FrameDecoder::default();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        counters.record_link_bytes_received(chunk.len());
        let _ = body.flow_control().release_capacity(chunk.len());
        reader.push(&chunk);
        while let Some(message) = reader.decode_next().map_err(LinkError::Frame)? {
            if deliver(message).await.is_err() {
                return Ok(());
            }
        }
    }
    Err(LinkError::Ended)
}

async fn write_frames(
    mut outgoing: SendStream<Bytes>,
    mut queue: mpsc::Receiver<Bytes>,
    counters: &DaemonCounters,
) -> Result<(), LinkError> {
    while let Some(mut frame) = queue.recv().await {
        counters.record_link_bytes_sent(frame.len());
        while !frame.is_empty() {
            outgoing.reserve_capacity(frame.len());
            let granted = capacity(&mut outgoing).await?;
            let part = frame.split_to(granted.min(frame.len()));
            outgoing.send_data(part, false)?;
        }
    }
    outgoing.send_data(Bytes::new(), true)?;
    Ok(())
}

/// Waits until some of the reserved capacity is granted; returns how much.
///
/// Guards against a link that stays open and carries nothing (seen as a
/// follower that gets no more versions). `poll_capacity` wakes only when the
/// capacity grows, so capacity granted before the call has to be looked for
/// first; and a peer that grants none for a while is given up.
async fn capacity(outgoing: &mut SendStream<Bytes>) -> Result<usize, LinkError> {
    let granting = async {
        loop {
            let granted = outgoing.capacity();
            if granted > 0 {
                return Ok(granted);
            }
            poll_fn(|context| outgoing.poll_capacity(context))
                .await
                .ok_or(LinkError::Ended)??;
        }
    };
    tokio::time::timeout(WRITE_TIMEOUT, granting)
        .await
        .map_err(|_| LinkError::Silent)?
}
