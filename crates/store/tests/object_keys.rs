//! Keys of objects in the URL of a request.

use std::time::Duration;

use filbert_store::PlatformClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\nconnection: close\r\n\r\na";

/// A key, and the path at which its object is read; `None` if no object has that key.
const CASES: [(&str, Option<&str>); 11] = [
    (
        "versions/000000000001-0a",
        Some("/object/versions/000000000001-0a"),
    ),
    ("a b", Some("/object/a%20b")),
    ("a?b=c#d", Some("/object/a%3Fb=c%23d")),
    ("%41", Some("/object/%2541")),
    ("a\r\nhost: b", Some("/object/a%0D%0Ahost:%20b")),
    ("r\u{e9}seau", Some("/object/r%C3%A9seau")),
    ("..", None),
    ("../table", None),
    ("a/./b", None),
    ("a/%2e%2E/b", Some("/object/a/%252e%252E/b")),
    ("", None),
];

/// Guards against a key of another writer that makes a request of another kind.
#[tokio::test]
async fn odd_object_key_stays_one_path() {
    for (key, expected) in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let url = format!("http://{}", listener.local_addr().expect("an address"));
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a request");
            let mut head = vec![0; 4_096];
            let length = stream.read(&mut head).await.expect("a head");
            stream.write_all(RESPONSE).await.expect("a response");
            let head = String::from_utf8_lossy(&head[..length]).into_owned();
            head.split(' ').nth(1).unwrap_or_default().to_owned()
        });
        let client = PlatformClient::new(&url, TIMEOUT);
        let object = client.get_object(key).await.expect(key);
        if let Some(path) = expected {
            assert_eq!(server.await.expect("a path"), path, "{key:?}");
        } else {
            assert!(object.is_none(), "{key:?}");
            assert!(client.put_object(key, Vec::new()).await.is_err(), "{key:?}");
            server.abort();
        }
    }
}
