//! Rows that other writers left in the table, in responses of the store.

use std::time::Duration;

#[path = "../../../tests/support/answering_server.rs"]
mod answering_server;

use answering_server::AnsweringServer;
use filbert_store::{PlatformClient, WriteCondition, WriteOutcome};

const TIMEOUT: Duration = Duration::from_secs(1);
/// Nesting of a value, above what a decoder reads by recursion.
const DEPTH: usize = 200;

/// An answer of the store with `body`.
fn answer(status: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    [head.as_bytes(), body].concat()
}

async fn client_of(status: &str, body: &[u8]) -> (AnsweringServer, PlatformClient) {
    let server = AnsweringServer::start(answer(status, body)).await;
    let client = PlatformClient::new(&format!("http://{}", server.address), TIMEOUT);
    (server, client)
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Values that the JSON decoder does not read.
fn unreadable_values() -> Vec<Vec<u8>> {
    vec![
        nested(DEPTH).into_bytes(),
        nested(50_000).into_bytes(),
        b"1e999".to_vec(),
        b"[-1e400]".to_vec(),
        b"\"\\ud800\"".to_vec(),
    ]
}

fn row(key: &str, value: &[u8]) -> Vec<u8> {
    let head = format!("{{\"key\":\"{key}\",\"version\":3,\"value\":");
    [head.as_bytes(), value, b"}"].concat()
}

/// Rows of which no key or no version can be read.
const NO_ROWS: [&str; 7] = [
    "null",
    "7",
    "{}",
    r#"{"key": 1, "version": 1, "value": 1}"#,
    r#"{"key": "b", "version": -1, "value": 1}"#,
    r#"{"key": "b", "version": 1e999, "value": 1}"#,
    r#"{"key": "\ud800", "version": 1, "value": 1}"#,
];

/// Guards against one row of another writer that hides all rows of a scan.
#[tokio::test]
async fn unreadable_row_hides_no_other() {
    let mut odd: Vec<Vec<u8>> = unreadable_values()
        .iter()
        .map(|value| row("b", value))
        .collect();
    odd.push(row("b", b"\"\xff\""));
    odd.extend(NO_ROWS.iter().map(|text| text.as_bytes().to_vec()));
    for odd_row in odd {
        let (first, last) = (row("a", b"1"), row("c", b"2"));
        let body = [b"[", &first[..], b",", &odd_row, b",", &last, b"]"].concat();
        let (_server, client) = client_of("200 OK", &body).await;
        let shown: String = String::from_utf8_lossy(&odd_row).chars().take(60).collect();
        let rows = client.scan("").await.expect(&shown);
        let kept = |key| rows.iter().any(|row| row.key == key && row.version == 3);
        assert!(kept("a") && kept("c"), "{shown}");
    }
}

/// Guards against a row that can be neither read nor replaced, as its version is not known.
#[tokio::test]
async fn row_with_an_unreadable_value_has_its_version() {
    for value in unreadable_values() {
        let body = row("a", &value);
        let (_server, client) = client_of("200 OK", &body).await;
        let shown: String = String::from_utf8_lossy(&value).chars().take(60).collect();
        let found = client.get("a").await.expect(&shown).expect(&shown);
        assert_eq!((found.version, found.value), (3, serde_json::Value::Null));
        let (_server, client) = client_of("409 Conflict", &body).await;
        let put = client.put("a", WriteCondition::Absent, serde_json::json!(1));
        let Ok(WriteOutcome::Refused(Some(found))) = put.await else {
            panic!("no row in the refusal: {shown}");
        };
        assert_eq!(found.version, 3, "{shown}");
    }
}

/// Guards against a body that is no list of rows and is taken for an empty table.
#[tokio::test]
async fn body_without_rows_is_no_scan() {
    for body in ["", "null", "{}", "[", r#"[{"key": "a"}"#, "[1]]"] {
        let (_server, client) = client_of("200 OK", body.as_bytes()).await;
        assert!(client.scan("").await.is_err(), "{body}");
    }
}
