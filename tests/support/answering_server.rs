//! A server that answers each request with the same bytes and closes the connection.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Maximum length in bytes of a request that is read.
const MAX_REQUEST_BYTES: usize = 4_096;

pub struct AnsweringServer {
    /// `IP:PORT`.
    pub address: String,
    task: JoinHandle<()>,
}

impl AnsweringServer {
    pub async fn start(answer: Vec<u8>) -> AnsweringServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let task = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.read(&mut [0; MAX_REQUEST_BYTES]).await;
                let _ = stream.write_all(&answer).await;
            }
        });
        AnsweringServer { address, task }
    }
}

impl Drop for AnsweringServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
