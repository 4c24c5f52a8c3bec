//! The dialing side of links. A link is an HTTP/2 connection to another daemon. It
//! carries this daemon's calls, a stream each, and one long-lived news stream.

use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbert_policy::first_report::TargetNews;
use h2::client::SendRequest;
use h2::{Ping, PingPong};
use rand::Rng;
use tokio::sync::oneshot;

use crate::news;
use crate::peers::Peer;
use crate::sockets;
use crate::state::MeshShared;

/// URL of the streams that carry calls.
pub const CALL_URL: &str = "http://peer/call";
/// URL of the news stream.
pub const NEWS_URL: &str = "http://peer/news";
/// HTTP/2 flow-control window of a stream, in bytes. It is large enough that a
/// large answer keeps flowing over the round trip between zones.
pub const STREAM_WINDOW: u32 = 256 * 1024;
/// HTTP/2 flow-control window of a stream that carries a call's body, in bytes. Many such
/// bodies may wait for the target of one host.
pub const CALL_STREAM_WINDOW: u32 = 64 * 1024;
/// Maximum number of streams of a link that are open at the same time.
pub const MAX_CONCURRENT_STREAMS: u32 = 2_000;
/// HTTP/2 flow-control window of a connection whose streams have `stream_window`, in bytes: as
/// much as that of all its streams. With less, a few bodies that nobody reads would hold up
/// every other call of the link.
#[must_use]
pub const fn connection_window(stream_window: u32) -> u32 {
    stream_window * MAX_CONCURRENT_STREAMS
}

/// Timeout of each step of opening a link: the TCP connection, the HTTP/2
/// handshake, and the response to the news stream's request.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// First delay before a failed link is dialed again; it doubles with each failure.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(60);
/// Maximum delay before a failed link is dialed again.
const MAX_REDIAL_DELAY: Duration = Duration::from_millis(600);
/// Time without received data after which a PING is sent.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a response to a PING, or any other data, after which the peer
/// counts as unresponsive and calls go to other hosts. A host that gets its CPU
/// for 20 ms of every 100 ms still responds in time.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(250);
/// Further time without a response to the PING after which the link is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum time between two PINGs while data arrives. Received data does not show
/// that the peer receives what is sent to it.
const MAX_PING_INTERVAL: Duration = Duration::from_secs(3);
/// Time without a link after which a host counts as unreachable and is replaced by
/// another in the plan of links. A daemon restarts within this time.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(600);

/// Why a link ended.
#[derive(Debug)]
pub enum LinkError {
    /// The peer's address cannot be parsed.
    InvalidAddress,
    /// The connection or the news stream could not be opened in time.
    ConnectFailed,
    /// An HTTP/2 error occurred.
    Protocol(h2::Error),
    /// The received bytes are not a valid message.
    InvalidMessage,
    /// No response to a PING arrived in time.
    PingTimeout,
    /// The other side closed the stream or the connection.
    Closed,
    /// The host's address changed, or the link is not in the plan any more.
    PeerRemoved,
    /// The host's address belongs to another host now.
    HostReplaced,
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::InvalidAddress => formatter.write_str("not an address"),
            LinkError::ConnectFailed => {
                formatter.write_str("could not open the connection in time")
            }
            LinkError::Protocol(error) => write!(formatter, "http/2: {error}"),
            LinkError::InvalidMessage => formatter.write_str("bad message"),
            LinkError::PingTimeout => formatter.write_str("no answer to a ping"),
            LinkError::Closed => formatter.write_str("closed by the other side"),
            LinkError::HostReplaced => formatter.write_str("another host answers there"),
            LinkError::PeerRemoved => formatter.write_str("host moved or removed"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<h2::Error> for LinkError {
    fn from(error: h2::Error) -> LinkError {
        LinkError::Protocol(error)
    }
}

/// Dials `peer`, and dials it again after each failure, until the peer is removed
/// from the table of peers.
pub async fn maintain_link(shared: Rc<MeshShared>, peer: Rc<Peer>) {
    let mut redial_delay = MIN_REDIAL_DELAY;
    let mut down_since = shared.clock.now();
    while !peer.is_removed.get() {
        let was_up = Cell::new(false);
        let end = run_link(&shared, &peer, &was_up).await;
        peer.reset();
        let now = shared.clock.now();
        if was_up.get() {
            redial_delay = MIN_REDIAL_DELAY;
            down_since = now;
            shared.handle_link_down(&peer.address.id);
            log::info!("event=link_down peer={} reason=\"{end}\"", peer.address.id);
        } else {
            peer.target_news.set(TargetNews::Heard);
            shared.peers.target_updated.notify_waiters();
            redial_delay = (redial_delay * 2).min(MAX_REDIAL_DELAY);
            if now >= down_since + UNREACHABLE_AFTER && !peer.is_unreachable.replace(true) {
                shared.members.changed.notify_one();
                log::info!(
                    "event=peer_failing peer={} reason=\"{end}\"",
                    peer.address.id
                );
            }
        }
        // Jitter keeps daemons that lost their links together from redialing at the
        // same moment.
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::select! {
            () = tokio::time::sleep(redial_delay.mul_f64(jitter)) => {}
            () = peer.dial_now.notified() => {}
        }
    }
}

/// Opens a link and runs it until it ends; returns why it ended.
async fn run_link(shared: &Rc<MeshShared>, peer: &Rc<Peer>, was_up: &Cell<bool>) -> LinkError {
    match connect(peer).await {
        Ok((sender, connection)) => {
            let (pings, ended) = spawn_connection(connection);
            let news = news::run_news_stream(shared, peer, sender, was_up);
            tokio::select! {
                end = ended => end.unwrap_or(LinkError::Closed),
                end = monitor_liveness(shared, peer, pings) => end,
                end = news => end,
                () = wait_until_closable(peer) => LinkError::PeerRemoved,
            }
        }
        Err(error) => error,
    }
}

/// Waits until the peer is removed and the last call on its link has ended.
///
/// Closing the link earlier would cut off the calls on it.
async fn wait_until_closable(peer: &Peer) {
    while !peer.is_closable() {
        peer.became_idle.notified().await;
    }
}

type LinkConnection = h2::client::Connection<tokio::net::TcpStream, Bytes>;

async fn connect(peer: &Peer) -> Result<(SendRequest<Bytes>, LinkConnection), LinkError> {
    let address: SocketAddr = peer
        .address
        .address
        .parse()
        .map_err(|_| LinkError::InvalidAddress)?;
    let stream = sockets::connect(address, OPEN_TIMEOUT)
        .await
        .map_err(|_| LinkError::ConnectFailed)?;
    let handshake = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(connection_window(STREAM_WINDOW))
        .max_concurrent_reset_streams(64)
        .handshake(stream);
    tokio::time::timeout(OPEN_TIMEOUT, handshake)
        .await
        .map_err(|_| LinkError::ConnectFailed)?
        .map_err(LinkError::Protocol)
}

/// Runs the connection in a task of its own, which ends when nothing uses the
/// connection any more. Returns the handle for PINGs and a receiver of the reason
/// for the connection's end.
///
/// The task outlives a link that was given up, so that the calls on it are not cut
/// off: a host that stalls for a second still answers the calls that it has, while
/// new calls go to other hosts and a new link is opened.
fn spawn_connection(
    mut connection: LinkConnection,
) -> (Option<PingPong>, oneshot::Receiver<LinkError>) {
    let pings = connection.ping_pong();
    let (sender, ended) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let end = match connection.await {
            Ok(()) => LinkError::Closed,
            Err(error) => LinkError::Protocol(error),
        };
        // The receiver is gone if the link was given up before.
        let _ = sender.send(end);
    });
    (pings, ended)
}

/// Sends PINGs and marks the peer as unresponsive while they get no response;
/// returns once the link is dead.
///
/// Without these checks, calls to a host that is cut off or on a dead connection
/// would hang until their deadlines, although other hosts could run them. A call
/// without an answer requests a PING at once, so that a dead link is detected
/// within half a second.
async fn monitor_liveness(shared: &MeshShared, peer: &Peer, pings: Option<PingPong>) -> LinkError {
    let Some(mut pings) = pings else {
        return LinkError::Closed;
    };
    peer.record_received(shared.clock.now());
    let mut last_ping = shared.clock.now();
    loop {
        let is_requested = tokio::select! {
            () = tokio::time::sleep(
                peer.time_until_idle(PING_INTERVAL, shared.clock.now())
            ) => false,
            () = peer.ping_requested.notified() => true,
        };
        let now = shared.clock.now();
        let is_receiving = peer.received_within(now, PING_INTERVAL);
        if !is_requested && is_receiving && now < last_ping + MAX_PING_INTERVAL {
            continue;
        }
        last_ping = now;
        let pong = pings.ping(Ping::opaque());
        tokio::pin!(pong);
        let answer = if let Some(answer) = await_pong(shared, peer, &mut pong).await {
            answer
        } else {
            peer.mark_unresponsive();
            shared.members.changed.notify_one();
            log::info!("event=link_silent peer={}", peer.address.id);
            match tokio::time::timeout(PING_TIMEOUT, pong).await {
                Ok(answer) => {
                    shared.members.changed.notify_one();
                    answer
                }
                Err(_) => return LinkError::PingTimeout,
            }
        };
        match answer {
            Ok(_) => peer.record_received(shared.clock.now()),
            Err(error) => return LinkError::Protocol(error),
        }
    }
}

/// Waits for the response to a PING. Returns `None` as soon as neither the response
/// nor any other data has arrived for [`UNRESPONSIVE_AFTER`].
///
/// Other data counts because the response queues behind a long answer: a slow link
/// that is busy with one would otherwise be taken for dead.
async fn await_pong<P, O>(shared: &MeshShared, peer: &Peer, pong: &mut P) -> Option<O>
where
    P: Future<Output = O> + Unpin,
{
    loop {
        if let Ok(answer) = tokio::time::timeout(UNRESPONSIVE_AFTER, &mut *pong).await {
            return Some(answer);
        }
        if !peer.received_within(shared.clock.now(), UNRESPONSIVE_AFTER) {
            return None;
        }
    }
}
