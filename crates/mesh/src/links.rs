//! The dialing side of the links: one `h2` connection to each other daemon,
//! which carries this daemon's calls, and one long stream on it for news.

use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Ping, PingPong};
use rand::Rng;
use tokio::sync::oneshot;

use crate::news;
use crate::peers::Peer;
use crate::sockets;
use crate::state::MeshShared;

/// Path of a call's stream.
pub const CALL_PATH: &str = "http://peer/call";
/// Path of the stream for news.
pub const NEWS_PATH: &str = "http://peer/news";
/// HTTP/2 window of a stream, in bytes: a large answer keeps flowing over the
/// round trip between zones.
pub const STREAM_WINDOW: u32 = 256 * 1024;
/// HTTP/2 window of a connection, in bytes.
pub const CONNECTION_WINDOW: u32 = 2 * 1024 * 1024;
/// Time to connect and complete the HTTP/2 handshake.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Pauses between attempts to link: the first and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// Pause between PINGs.
const PING_EVERY: Duration = Duration::from_secs(1);
/// A PING unanswered for this long makes the link doubtful: calls go
/// elsewhere. A host that has its processor for a fifth of each tenth of a
/// second still answers in time.
const PING_DOUBT: Duration = Duration::from_millis(250);
/// Further time after which the link is given up.
const PING_SILENCE: Duration = Duration::from_millis(900);
/// Longest time without a PING, also while the other side is heard: it may be
/// heard and not hear.
const PING_AT_LEAST: Duration = Duration::from_secs(3);
/// Time without a link after which a host counts as failing, and another is
/// linked to in its place: a restart takes less.
const FAILING_AFTER: Duration = Duration::from_millis(600);
/// Why a link ended.
#[derive(Debug)]
pub enum LinkError {
    /// The address is none.
    Address,
    /// The connection could not be opened in time.
    Open,
    /// HTTP/2 failed.
    Protocol(h2::Error),
    /// The bytes were not messages.
    Frame,
    /// A PING was not answered in time.
    Silent,
    /// The other side ended the stream.
    Ended,
    /// The host moved or was removed.
    Dropped,
    /// The host's address is another's now.
    Replaced,
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Address => formatter.write_str("not an address"),
            LinkError::Open => formatter.write_str("could not open the connection in time"),
            LinkError::Protocol(error) => write!(formatter, "http/2: {error}"),
            LinkError::Frame => formatter.write_str("bad message"),
            LinkError::Silent => formatter.write_str("no answer to a ping"),
            LinkError::Ended => formatter.write_str("closed by the other side"),
            LinkError::Replaced => formatter.write_str("another host answers there"),
            LinkError::Dropped => formatter.write_str("host moved or removed"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<h2::Error> for LinkError {
    fn from(error: h2::Error) -> LinkError {
        LinkError::Protocol(error)
    }
}

/// Keeps a link to `peer` for as long as it is wanted.
pub async fn keep_linked(shared: Rc<MeshShared>, peer: Rc<Peer>) {
    let mut pause = FIRST_PAUSE;
    let mut down_since = shared.clock.now();
    while !peer.is_dropped.get() {
        let was_up = Cell::new(false);
        let end = link(&shared, &peer, &was_up).await;
        peer.reset();
        let now = shared.clock.now();
        if was_up.get() {
            pause = FIRST_PAUSE;
            down_since = now;
            shared.handle_link_down(&peer.address.id);
            log::info!("event=link_down peer={} reason=\"{end}\"", peer.address.id);
        } else {
            pause = (pause * 2).min(LONGEST_PAUSE);
            if now >= down_since + FAILING_AFTER && !peer.is_failing.replace(true) {
                shared.members.changed.notify_one();
                log::info!(
                    "event=peer_failing peer={} reason=\"{end}\"",
                    peer.address.id
                );
            }
        }
        // Spread, so that a herd that was cut off does not return in step.
        let spread = rand::rng().random_range(0.5..1.5);
        tokio::select! {
            () = tokio::time::sleep(pause.mul_f64(spread)) => {}
            () = peer.nudge.notified() => {}
        }
    }
}

async fn link(shared: &Rc<MeshShared>, peer: &Rc<Peer>, was_up: &Cell<bool>) -> LinkError {
    match open(peer).await {
        Ok((sender, connection)) => {
            let (pings, ended) = drive(connection);
            let news = news::follow(shared, peer, sender, was_up);
            tokio::select! {
                end = ended => end.unwrap_or(LinkError::Ended),
                end = check_silence(shared, peer, pings) => end,
                end = news => end,
                () = until_done(peer) => LinkError::Dropped,
            }
        }
        Err(error) => error,
    }
}

/// Guards against calls that are cut because their link is not wanted any
/// more: it ends with the last of them.
async fn until_done(peer: &Peer) {
    while !peer.is_done() {
        peer.unused.notified().await;
    }
}

type LinkConnection = h2::client::Connection<tokio::net::TcpStream, Bytes>;

async fn open(peer: &Peer) -> Result<(SendRequest<Bytes>, LinkConnection), LinkError> {
    let address: SocketAddr = peer
        .address
        .address
        .parse()
        .map_err(|_| LinkError::Address)?;
    let stream = sockets::connect(address, OPEN_TIMEOUT)
        .await
        .map_err(|_| LinkError::Open)?;
    let handshake = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_reset_streams(64)
        .handshake(stream);
    tokio::time::timeout(OPEN_TIMEOUT, handshake)
        .await
        .map_err(|_| LinkError::Open)?
        .map_err(LinkError::Protocol)
}

/// Moves the connection's bytes until nothing uses it any more; the way to
/// check that the other side still answers, and how the connection ends.
///
/// Guards against calls that are cut with a link that was given up: a host
/// that is slow for a second still answers what it has, while new calls go
/// elsewhere and a new link is made.
fn drive(mut connection: LinkConnection) -> (Option<PingPong>, oneshot::Receiver<LinkError>) {
    let pings = connection.ping_pong();
    let (sender, ended) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let end = match connection.await {
            Ok(()) => LinkError::Ended,
            Err(error) => LinkError::Protocol(error),
        };
        // Nobody listens any more where the link was given up before.
        let _ = sender.send(end);
    });
    (pings, ended)
}

/// Guards against a connection that went silent for good, or a host that was
/// cut off: calls on it would hang until their deadlines while other hosts
/// work. A call without an answer asks for a PING at once, so that the silence
/// shows within half a second.
async fn check_silence(shared: &MeshShared, peer: &Peer, pings: Option<PingPong>) -> LinkError {
    let Some(mut pings) = pings else {
        return LinkError::Ended;
    };
    peer.hear(shared.clock.now());
    let mut last_ping = shared.clock.now();
    loop {
        let is_doubted = tokio::select! {
            () = tokio::time::sleep(peer.quiet_until(PING_EVERY, shared.clock.now())) => false,
            () = peer.doubted.notified() => true,
        };
        let now = shared.clock.now();
        let is_heard = peer.heard_within(now, PING_EVERY);
        if !is_doubted && is_heard && now < last_ping + PING_AT_LEAST {
            continue;
        }
        last_ping = now;
        let pong = pings.ping(Ping::opaque());
        tokio::pin!(pong);
        let answer = if let Some(answer) = await_pong(shared, peer, &mut pong).await {
            answer
        } else {
            peer.mark_silent();
            shared.members.changed.notify_one();
            log::info!("event=link_silent peer={}", peer.address.id);
            match tokio::time::timeout(PING_SILENCE, pong).await {
                Ok(answer) => {
                    shared.members.changed.notify_one();
                    answer
                }
                Err(_) => return LinkError::Silent,
            }
        };
        match answer {
            Ok(_) => peer.hear(shared.clock.now()),
            Err(error) => return LinkError::Protocol(error),
        }
    }
}

/// Waits for the answer to a PING for as long as that, or anything else, comes
/// within [`PING_DOUBT`]; `None` when nothing does.
///
/// Guards against a slow link that is busy with a long answer being taken for
/// a dead one: the PING's answer comes behind it.
async fn await_pong<P, O>(shared: &MeshShared, peer: &Peer, pong: &mut P) -> Option<O>
where
    P: Future<Output = O> + Unpin,
{
    loop {
        if let Ok(answer) = tokio::time::timeout(PING_DOUBT, &mut *pong).await {
            return Some(answer);
        }
        if !peer.heard_within(shared.clock.now(), PING_DOUBT) {
            return None;
        }
    }
}
