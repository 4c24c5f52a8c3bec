//! Cases of what is held for the calls of clients.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use filbert_daemon::clients::reaper::end_spare_connections;
use filbert_daemon::clients::{ClientCall, ClientConnections};
use filbert_daemon::clock::SystemClock;
use filbert_policy::client_budget::CallSize;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

const PEER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// More than half of what may be held.
const LARGE_BYTES: usize = 20 * 1024 * 1024;

/// Guards against an answer that is dropped late and takes the next call of its connection with
/// it: that call was refused, or its answer lost.
#[test]
fn a_call_is_not_ended_by_the_former_one() {
    let connections = Arc::new(ClientConnections::new(Arc::new(SystemClock)));
    let former = ClientCall::begin(&connections, PEER, 0, 0);
    former.charge(CallSize::Short, LARGE_BYTES).expect("room");
    let next = ClientCall::begin(&connections, PEER, 0, 0);
    next.charge(CallSize::Short, LARGE_BYTES).expect("room");
    drop(former);
    next.charge(CallSize::Short, 1).expect("room");
}

/// Guards against memory that stays charged when its call has ended.
#[test]
fn a_call_that_ends_frees_its_memory() {
    let connections = Arc::new(ClientConnections::new(Arc::new(SystemClock)));
    for _ in 0..10 {
        let call = ClientCall::begin(&connections, PEER, 0, 0);
        call.charge(CallSize::Short, LARGE_BYTES).expect("room");
        let second = call.charge(CallSize::Short, LARGE_BYTES);
        assert!(second.is_err(), "beyond the limit");
    }
}

/// Guards against a limit that does not find the connections of one kind of address.
#[rstest]
#[case::four(IpAddr::V4(Ipv4Addr::LOCALHOST))]
#[case::six(IpAddr::V6(Ipv6Addr::LOCALHOST))]
#[tokio::test]
async fn connections_beyond_the_limit_are_ended(#[case] host: IpAddr) {
    const CONNECTIONS: usize = 8;
    const LIMIT: usize = 5;
    let Ok(listener) = TcpListener::bind(SocketAddr::new(host, 0)).await else {
        assert!(host.is_ipv6(), "no IPv4 on this machine");
        println!("no IPv6 on this machine");
        return;
    };
    let address = listener.local_addr().expect("an address");
    let mut accepted = Vec::new();
    let mut ended = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let mut client = TcpStream::connect(address).await.expect("a connection");
        ended.spawn(async move { client.read(&mut [0]).await });
        accepted.push(listener.accept().await.expect("a connection"));
    }
    let limit = ClientConnections::with_uncounted_calls(LIMIT, Arc::new(SystemClock));
    let reaper = tokio::spawn(end_spare_connections(Arc::new(limit), address.port()));
    for _ in LIMIT..CONNECTIONS {
        let end = tokio::time::timeout(Duration::from_secs(20), ended.join_next()).await;
        end.expect("a connection ends");
    }
    assert_eq!(ended.len(), LIMIT);
    reaper.abort();
}

/// Guards against a limit on heads that counts the calls that a connection has brought: it would
/// end honest connections between two calls.
#[tokio::test]
async fn a_connection_is_not_ended_for_its_former_calls() {
    const BODY_BYTES: usize = 200_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let port = listener.local_addr().expect("an address").port();
    let connections = Arc::new(ClientConnections::new(Arc::new(SystemClock)));
    let reaper = tokio::spawn(end_spare_connections(Arc::clone(&connections), port));
    let mut client = TcpStream::connect(("127.0.0.1", port)).await.expect("open");
    let (mut server, peer) = listener.accept().await.expect("a connection");
    let sent_body = vec![0; BODY_BYTES];
    let mut body = vec![0; BODY_BYTES];
    for _ in 0..3 {
        let call = ClientCall::begin(&connections, peer, port, 0);
        let (sent, read) = tokio::join!(client.write_all(&sent_body), server.read_exact(&mut body));
        sent.and(read).expect("a body");
        call.record_read(BODY_BYTES);
        drop(call);
        // Several looks at the connections.
        let end = tokio::time::timeout(Duration::from_millis(300), client.read(&mut [0])).await;
        assert!(end.is_err(), "ended between calls");
    }
    client.write_all(&sent_body).await.expect("a long head");
    let end = tokio::time::timeout(Duration::from_secs(20), client.read(&mut [0])).await;
    assert!(end.is_ok(), "a long head is not ended");
    reaper.abort();
}

const HEAD: &[u8] = b"GET /quotes/a HTTP/1.1\r\nHost: shop\r\n\r\n";
/// More calls than a connection may have refused before it pauses.
const REFUSED_CALLS: usize = 20;

/// A connection that the reaper knows of.
struct KnownConnection {
    connections: Arc<ClientConnections>,
    peer: SocketAddr,
    port: u16,
    client: TcpStream,
    server: TcpStream,
    reaper: JoinHandle<()>,
}

impl KnownConnection {
    async fn open() -> KnownConnection {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = listener.local_addr().expect("an address").port();
        let connections = Arc::new(ClientConnections::new(Arc::new(SystemClock)));
        let client = TcpStream::connect(("127.0.0.1", port)).await.expect("open");
        let (server, peer) = listener.accept().await.expect("a connection");
        // Its first look at the connections ends before it waits.
        let reaper = tokio::spawn(end_spare_connections(Arc::clone(&connections), port));
        tokio::task::yield_now().await;
        KnownConnection {
            connections,
            peer,
            port,
            client,
            server,
            reaper,
        }
    }

    fn begin_call(&self) -> ClientCall {
        ClientCall::begin(&self.connections, self.peer, self.port, HEAD.len())
    }

    fn refuse_call(&self) {
        self.begin_call().record_refusal(true);
    }
}

impl Drop for KnownConnection {
    fn drop(&mut self) {
        self.reaper.abort();
    }
}

/// Guards against clients that send ahead and take each place that becomes free, since a refused
/// call costs them nothing, so that others get no answer.
#[rstest]
#[case::in_the_socket(0, 1)]
#[case::in_the_servers_buffer(2, 0)]
#[tokio::test]
async fn a_call_sent_ahead_waits_after_refusals(
    #[case] heads_read: usize,
    #[case] heads_sent_later: usize,
) {
    let mut connection = KnownConnection::open().await;
    let heads = HEAD.repeat(2);
    connection.client.write_all(&heads).await.expect("sent");
    connection.server.readable().await.expect("received");
    let mut read = vec![0; HEAD.len() * heads_read];
    connection.server.read_exact(&mut read).await.expect("read");
    for _ in 0..REFUSED_CALLS {
        connection.refuse_call();
    }
    let further = HEAD.repeat(heads_sent_later);
    connection.client.write_all(&further).await.expect("sent");
    let call = connection.begin_call();
    assert!(call.may_be_sent_ahead());
    assert!(!call.refusal_pause().is_zero());
}

/// Guards against a pause for a client that waits for each answer before it sends its next call,
/// and is refused as long as its service has no room.
#[tokio::test]
async fn a_call_sent_after_the_answer_does_not_wait() {
    let mut connection = KnownConnection::open().await;
    let mut head = vec![0; HEAD.len()];
    for _ in 0..REFUSED_CALLS {
        connection.client.write_all(HEAD).await.expect("sent");
        connection.server.read_exact(&mut head).await.expect("read");
        let call = connection.begin_call();
        assert!(!call.may_be_sent_ahead());
        assert_eq!(call.refusal_pause(), Duration::ZERO);
        call.record_refusal(true);
    }
}
