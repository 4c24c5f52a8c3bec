//! Responses of the store that have no end.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_store::{PlatformClient, WriteCondition};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const TIMEOUT: Duration = Duration::from_secs(5);
/// The most that a client may take of a response, with what the kernel holds.
const MAX_TAKEN_BYTES: usize = 24 * 1024 * 1024;
/// Time within which a response that comes fast is known to be too long.
const MAX_READ_TIME: Duration = Duration::from_secs(3);
const PART_BYTES: usize = 100_000;

/// A store whose response has no end.
struct EndlessStore {
    client: PlatformClient,
    sent_bytes: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl EndlessStore {
    async fn start(head: &'static str, part: Vec<u8>) -> EndlessStore {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let sent_bytes = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&sent_bytes);
        let task = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(head.as_bytes()).await;
            while stream.write_all(&part).await.is_ok() {
                counter.fetch_add(part.len(), Ordering::Relaxed);
            }
        });
        EndlessStore {
            client: PlatformClient::new(&format!("http://{address}"), TIMEOUT),
            sent_bytes,
            task,
        }
    }
}

impl Drop for EndlessStore {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A read or write of the store.
#[derive(Clone, Copy, Debug)]
enum StoreCall {
    Get,
    Scan,
    Object,
    Put,
}

impl StoreCall {
    async fn is_error(self, client: &PlatformClient) -> bool {
        match self {
            StoreCall::Get => client.get("a").await.is_err(),
            StoreCall::Scan => client.scan("a").await.is_err(),
            StoreCall::Object => client.get_object("a").await.is_err(),
            StoreCall::Put => {
                let value = serde_json::json!(1);
                let put = client.put("a", WriteCondition::Absent, value);
                put.await.is_err()
            }
        }
    }
}

fn chunk() -> Vec<u8> {
    let data = "x".repeat(PART_BYTES);
    format!("{PART_BYTES:x}\r\n{data}\r\n").into_bytes()
}

/// Guards against a response that takes the memory of the process, as only its time is bounded.
#[rstest]
#[case::to_the_end("HTTP/1.1 200 OK\r\n\r\n", vec![b' '; PART_BYTES])]
#[case::stated("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", vec![b' '; PART_BYTES])]
#[case::chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk())]
#[case::fields("HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n".repeat(1_000))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_without_end_is_not_kept(
    #[case] head: &'static str,
    #[case] part: Vec<u8>,
    #[values(StoreCall::Get, StoreCall::Scan, StoreCall::Object, StoreCall::Put)] call: StoreCall,
) {
    let store = EndlessStore::start(head, part).await;
    let started = Instant::now();
    assert!(call.is_error(&store.client).await, "read to an end");
    let taken = store.sent_bytes.load(Ordering::Relaxed);
    let took = started.elapsed();
    println!("{taken} bytes, {took:?}");
    assert!(taken <= MAX_TAKEN_BYTES, "{taken} bytes in {took:?}");
    assert!(took <= MAX_READ_TIME, "{took:?}");
}

/// Guards against interim responses that hold a call for ever: each is dropped when it is read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interim_responses_without_end_are_read_until_the_timeout() {
    const END_MARGIN: Duration = Duration::from_secs(1);
    let store = EndlessStore::start("", b"HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000)).await;
    let started = Instant::now();
    assert!(StoreCall::Get.is_error(&store.client).await);
    assert!(started.elapsed() <= TIMEOUT + END_MARGIN);
}

/// Guards against an object that is stored and that no daemon can read.
#[tokio::test]
async fn an_object_that_is_too_long_to_be_read_is_not_sent() {
    let store =
        EndlessStore::start("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Vec::new()).await;
    let object = vec![0; MAX_TAKEN_BYTES];
    assert!(store.client.put_object("a", object).await.is_err());
}
