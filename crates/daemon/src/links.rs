//! Links between daemons of an availability zone. A link is an HTTP/2 connection with
//! one stream. Its request body carries frames from the peer to the relay, and its
//! response body carries frames from the relay to the peer.

mod pending;

use std::collections::HashMap;
use std::fmt;
use std::future::poll_fn;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbert_store::parse_relay_address;
use h2::{Ping, PingPong, RecvStream, SendStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::counters::DaemonCounters;
use crate::messages::{FrameDecoder, FrameError, PeerMessage, RelayMessage};
use pending::{FirstMessage, PendingLinks};

/// Maximum number of frames that wait to be sent on one link. The link of a peer that
/// falls further behind is closed, and the peer reconnects, so a slow peer cannot take
/// up unlimited memory.
const PEER_QUEUE_FRAMES: usize = 256;
/// Timeout of each step of opening a link: the TCP connection, the HTTP/2 handshake, and the
/// stream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without flow-control capacity from the other side after which a link with data
/// to send is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for sending the last frames when a link is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// HTTP/2 flow-control window of a stream and of a connection, in bytes.
const FLOW_CONTROL_WINDOW: u32 = 1024 * 1024;

/// Why a link ended.
#[derive(Debug)]
pub enum LinkError {
    /// The address is invalid, or the connection could not be opened in time.
    ConnectFailed,
    /// An HTTP/2 error occurred.
    Protocol(h2::Error),
    /// The received bytes are not a valid message.
    Frame(FrameError),
    /// The other side did not respond to a PING, or granted no flow-control capacity, in
    /// time.
    Unresponsive,
    /// The other side closed the stream or the connection.
    Closed,
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::ConnectFailed => {
                formatter.write_str("could not open the connection in time")
            }
            LinkError::Protocol(error) => write!(formatter, "http/2: {error}"),
            LinkError::Frame(error) => write!(formatter, "bad frame: {error:?}"),
            LinkError::Unresponsive => formatter.write_str("no answer to a ping"),
            LinkError::Closed => formatter.write_str("closed by the other side"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<h2::Error> for LinkError {
    fn from(error: h2::Error) -> LinkError {
        LinkError::Protocol(error)
    }
}

/// Interval and timeout of the PINGs that check a link.
#[derive(Clone, Copy, Debug)]
pub struct KeepaliveSettings {
    /// Pause between the response to a PING and the next PING.
    pub interval: Duration,
    /// Time without a response to a PING after which the link is closed.
    pub timeout: Duration,
}

/// Send queues of the links to peers, by peer number. Clones share the queues.
#[derive(Clone, Debug, Default)]
pub struct PeerSenders {
    senders: Arc<std::sync::Mutex<HashMap<u64, mpsc::Sender<Bytes>>>>,
}

impl PeerSenders {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, mpsc::Sender<Bytes>>> {
        // Each operation leaves the map consistent, so a poisoned lock is still usable.
        self.senders
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Queues `frame` for `peer`. Closes the link if its queue is full.
    pub fn send(&self, peer: u64, frame: Bytes) {
        let mut senders = self.lock();
        let queued = senders
            .get(&peer)
            .is_some_and(|sender| sender.try_send(frame).is_ok());
        if !queued {
            senders.remove(&peer);
        }
    }

    /// Closes the link to `peer` after its queued frames have been sent.
    pub fn close(&self, peer: u64) {
        self.lock().remove(&peer);
    }
}

/// Accepts links from peers and serves each in a task of its own. At most `max_pending` links
/// may be without a first message. Does not return: if accepting a connection fails, it tries
/// again after 50 ms.
pub async fn serve_peers(
    listener: TcpListener,
    max_pending: usize,
    senders: PeerSenders,
    events: mpsc::Sender<ControlEvent>,
    counters: Arc<DaemonCounters>,
) {
    let next_peer = AtomicU64::new(1);
    let mut pending_links = PendingLinks::new(max_pending);
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let peer = next_peer.fetch_add(1, Ordering::Relaxed);
        let senders = senders.clone();
        let events = events.clone();
        let counters = Arc::clone(&counters);
        let (first_message, rejected) = pending_links.add();
        tokio::spawn(async move {
            let served = serve_peer(socket, peer, &senders, &events, &counters, &first_message);
            tokio::select! {
                _ = served => {}
                () = rejected => {}
            }
            senders.close(peer);
            let _ = events.send(ControlEvent::PeerDisconnected { peer }).await;
        });
    }
}

/// Serves the link of `peer` until it ends. Passes received messages to `events`.
///
/// # Errors
/// Returns a [`LinkError`] saying why the link ended, unless this side closed it.
async fn serve_peer(
    socket: TcpStream,
    peer: u64,
    senders: &PeerSenders,
    events: &mpsc::Sender<ControlEvent>,
    counters: &DaemonCounters,
    first_message: &FirstMessage,
) -> Result<(), LinkError> {
    let _ = socket.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(FLOW_CONTROL_WINDOW)
        .initial_connection_window_size(FLOW_CONTROL_WINDOW)
        .handshake::<_, Bytes>(socket);
    let mut connection = tokio::time::timeout(OPEN_TIMEOUT, handshake)
        .await
        .map_err(|_| LinkError::ConnectFailed)??;
    let accepted = tokio::time::timeout(OPEN_TIMEOUT, connection.accept())
        .await
        .map_err(|_| LinkError::ConnectFailed)?
        .ok_or(LinkError::Closed)?;
    let (request, mut respond) = accepted?;
    let outgoing = respond.send_response(http::Response::new(()), false)?;
    let (sender, queue) = mpsc::channel(PEER_QUEUE_FRAMES);
    senders.lock().insert(peer, sender);
    let reading = read_frames(request.into_body(), counters, |message: PeerMessage| {
        first_message.record();
        events.send(ControlEvent::PeerMessageReceived { peer, message })
    });
    tokio::select! {
        result = drive_connection(&mut connection) => result,
        result = reading => result,
        result = write_frames(outgoing, queue, counters) => {
            // Sends the queued frames before the connection is dropped. The last one
            // may tell the peer which relay to use instead.
            connection.graceful_shutdown();
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, drive_connection(&mut connection)).await;
            result
        }
    }
}

/// Drives the I/O of a server connection until it is closed. Refuses further streams,
/// since a peer opens only one.
async fn drive_connection(
    connection: &mut h2::server::Connection<TcpStream, Bytes>,
) -> Result<(), LinkError> {
    while let Some(accepted) = connection.accept().await {
        let (_, mut respond) = accepted?;
        respond.send_reset(h2::Reason::REFUSED_STREAM);
    }
    Err(LinkError::Closed)
}

/// Opens link `link` to the relay at `address` and runs it until it ends. Sends the
/// frames in `queue` to the relay, and passes received messages to `events`. Dropping
/// the sender of `queue` closes the link.
///
/// # Errors
/// Returns a [`LinkError`] saying why the link ended. Returns `Ok` if this side closed it,
/// or if the connection was closed without an HTTP/2 error.
pub async fn run_link(
    link: u64,
    address: &str,
    queue: mpsc::Receiver<Bytes>,
    keepalive: KeepaliveSettings,
    events: &mpsc::Sender<ControlEvent>,
    counters: &DaemonCounters,
) -> Result<(), LinkError> {
    let (outgoing, incoming, mut connection) = open_link(address).await?;
    let ping_pong = connection.ping_pong().ok_or(LinkError::Closed)?;
    let reading = async {
        let response = incoming.await?;
        read_frames(response.into_body(), counters, |message: RelayMessage| {
            events.send(ControlEvent::RelayMessageReceived { link, message })
        })
        .await
    };
    tokio::select! {
        result = &mut connection => Ok(result?),
        result = reading => result,
        result = ping_until_unresponsive(ping_pong, keepalive) => result,
        result = write_frames(outgoing, queue, counters) => {
            // Sends the queued frames before the connection is dropped. The last one
            // may tell the relay which other relay this daemon moves to.
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, &mut connection).await;
            result
        }
    }
}

/// Send half of the stream, future of the response, and the connection, which has to be
/// polled for the other two to make progress.
type OpenedLink = (
    SendStream<Bytes>,
    h2::client::ResponseFuture,
    h2::client::Connection<TcpStream, Bytes>,
);

/// Connects to the relay at `address` and starts the stream that carries the frames.
async fn open_link(address: &str) -> Result<OpenedLink, LinkError> {
    let address = parse_relay_address(address).map_err(|_| LinkError::ConnectFailed)?;
    let socket = tokio::time::timeout(OPEN_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| LinkError::ConnectFailed)?
        .map_err(|_| LinkError::ConnectFailed)?;
    let _ = socket.set_nodelay(true);
    let handshake = h2::client::Builder::new()
        .initial_window_size(FLOW_CONTROL_WINDOW)
        .initial_connection_window_size(FLOW_CONTROL_WINDOW)
        .handshake(socket);
    let (mut requests, connection) = tokio::time::timeout(OPEN_TIMEOUT, handshake)
        .await
        .map_err(|_| LinkError::ConnectFailed)??;
    let request = http::Request::post(format!("http://{address}/link"))
        .body(())
        .map_err(|_| LinkError::ConnectFailed)?;
    let (response, outgoing) = requests.send_request(request, false)?;
    Ok((outgoing, response, connection))
}

/// Sends PINGs until one gets no response in time; the link is closed then and the
/// daemon looks for a relay again. Without the PINGs, a daemon would wait for versions
/// forever on a connection that a device in the network has lost track of: no error
/// arrives on such a connection, while new connections work.
async fn ping_until_unresponsive(
    mut ping_pong: PingPong,
    keepalive: KeepaliveSettings,
) -> Result<(), LinkError> {
    loop {
        tokio::time::sleep(keepalive.interval).await;
        tokio::time::timeout(keepalive.timeout, ping_pong.ping(Ping::opaque()))
            .await
            .map_err(|_| LinkError::Unresponsive)??;
    }
}

/// Decodes the messages in `body` and passes each to `deliver`. Returns `Ok` if the
/// receiver of the events is gone, and [`LinkError::Closed`] at the end of the body.
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
    let mut decoder = FrameDecoder::default();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        counters.record_link_bytes_received(chunk.len());
        let _ = body.flow_control().release_capacity(chunk.len());
        decoder.push(&chunk);
        while let Some(message) = decoder.decode_next().map_err(LinkError::Frame)? {
            if deliver(message).await.is_err() {
                return Ok(());
            }
        }
    }
    Err(LinkError::Closed)
}

/// Sends the frames in `queue`, then ends the stream when the queue's sender is dropped.
async fn write_frames(
    mut outgoing: SendStream<Bytes>,
    mut queue: mpsc::Receiver<Bytes>,
    counters: &DaemonCounters,
) -> Result<(), LinkError> {
    while let Some(mut frame) = queue.recv().await {
        counters.record_link_bytes_sent(frame.len());
        while !frame.is_empty() {
            outgoing.reserve_capacity(frame.len());
            let granted = wait_for_capacity(&mut outgoing).await?;
            let chunk = frame.split_to(granted.min(frame.len()));
            outgoing.send_data(chunk, false)?;
        }
    }
    outgoing.send_data(Bytes::new(), true)?;
    Ok(())
}

/// Waits until some of the reserved flow-control capacity is granted, and returns the
/// number of bytes.
///
/// Checks for granted capacity before it polls: `poll_capacity` wakes the task only when
/// the capacity grows. Without the check the link could stay open but carry no data, and
/// a follower would get no more versions. For the same reason the link is closed if no
/// capacity is granted within [`WRITE_TIMEOUT`].
async fn wait_for_capacity(outgoing: &mut SendStream<Bytes>) -> Result<usize, LinkError> {
    let granting = async {
        loop {
            let granted = outgoing.capacity();
            if granted > 0 {
                return Ok(granted);
            }
            poll_fn(|context| outgoing.poll_capacity(context))
                .await
                .ok_or(LinkError::Closed)??;
        }
    };
    tokio::time::timeout(WRITE_TIMEOUT, granting)
        .await
        .map_err(|_| LinkError::Unresponsive)?
}
