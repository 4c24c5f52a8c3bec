//! Tables of the store that are read page by page, with keys and pages that no daemon wrote.

#[path = "support/answering_server.rs"]
mod answering_server;

use std::sync::Arc;
use std::time::Duration;

use answering_server::AnsweringServer;
use filbert_platform::store::{StoreClient, StoreError, WatchResponse};
use filbert_platform_standin::StandinStore;
use filbert_policy::clock::SystemClock;
use rstest::rstest;

const TABLE: &str = "rows";
/// Number of rows in a page of the store.
const PAGE_ROWS: usize = 500;
/// Time that all pages of a small table take at most.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn client(address: &str) -> StoreClient {
    StoreClient::new(address, Duration::from_secs(1), Arc::new(SystemClock))
}

/// Guards against a page that is asked for again without end, or rows that are left out,
/// because the key behind it is put into the query as it is.
#[rstest]
#[case::plain("k")]
#[case::separator("k&limit=1")]
#[case::fragment("k#")]
#[case::escape("k%00")]
#[case::broken_escape("k%zz")]
#[case::plus("k+")]
#[case::blank("k ")]
#[case::slash("k/?")]
#[case::line_break("k\r\nHost: x")]
#[case::zero("k\0")]
#[case::letters("k\u{e9}\u{10ffff}")]
#[tokio::test]
async fn a_key_at_the_end_of_a_page_hides_no_row(#[case] last_key: &str) {
    let store = StandinStore::start().await;
    for number in 1..PAGE_ROWS {
        store.put(TABLE, &format!("a{number:04}"), b"value");
    }
    store.put(TABLE, last_key, b"value");
    store.put(TABLE, "z", b"value");
    let client = client(&store.address.to_string());
    let read = tokio::time::timeout(READ_TIMEOUT, client.read_table(TABLE)).await;
    let batch = read.expect("read in time").expect("a table");
    let keys: Vec<&str> = batch.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys.len(), PAGE_ROWS + 1);
    assert_eq!(keys[PAGE_ROWS - 1..], [last_key, "z"]);
    assert_eq!(store.calls("/rows-get"), 2);
}

/// Guards against a host whose name is put into a query as it is: it would read other rows.
#[rstest]
#[case::separator("a&b")]
#[case::escape("a%41")]
#[case::plus("a+b")]
#[tokio::test]
async fn a_prefix_is_asked_for_as_it_is_written(#[case] host: &str) {
    let store = StandinStore::start().await;
    let prefix = format!("shutdown/{host}/");
    store.put(TABLE, &format!("{prefix}1"), b"value");
    store.put(TABLE, "shutdown/a/2", b"value");
    let client = client(&store.address.to_string());
    let rows = client.read_prefix(TABLE, &prefix).await.expect("rows");
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, [format!("{prefix}1")]);
}

/// A page that says that there are more rows and does not show which.
struct StuckPage {
    rows: &'static str,
    /// Number of rows that can be used.
    kept: usize,
}

/// Guards against a reader that asks for the same page for ever, and against one that
/// forgets the rows that it has.
#[rstest]
#[case::no_row(StuckPage { rows: "", kept: 0 })]
#[case::last_row_without_a_key(StuckPage {
    rows: r#"{"key": "a", "value": "YQ==", "row_version": 1}, {"row_version": 2}"#,
    kept: 1,
})]
#[case::the_same_page_again(StuckPage {
    rows: r#"{"key": "a", "value": "YQ==", "row_version": 1}"#,
    kept: 2,
})]
#[tokio::test]
async fn a_page_that_leads_nowhere_ends_the_read(#[case] page: StuckPage) {
    let body = format!(
        r#"{{"rows": [{}], "has_more": true, "row_version": 3, "now": "5s"}}"#,
        page.rows
    );
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n", body.len());
    let answer = format!("{head}Connection: close\r\n\r\n{body}");
    let server = AnsweringServer::start(answer.into_bytes()).await;
    let client = client(&server.address);
    let read = tokio::time::timeout(READ_TIMEOUT, client.read_table(TABLE)).await;
    let partial = read.expect("an end").expect_err("a part of a table");
    assert_eq!(*partial.cause.current_context(), StoreError::Stuck);
    assert_eq!(partial.rows.len(), page.kept);
}

/// Guards against a table of another writer that takes the memory of the host.
#[tokio::test]
async fn a_table_without_end_is_read_to_a_bound() {
    let store = StandinStore::start().await;
    let value = vec![0; 60_000];
    for number in 0..400 {
        store.put(TABLE, &format!("{number:04}"), &value);
    }
    let client = client(&store.address.to_string());
    let read = client.read_table(TABLE).await;
    let partial = read.expect_err("a part of a table");
    assert_eq!(*partial.cause.current_context(), StoreError::TooLong);
    let bytes = partial.rows.len() * value.len();
    assert!((16_000_000..18_000_000).contains(&bytes), "{bytes}");
}

/// Guards against rows of other partitions that are taken for the daemons' own.
#[tokio::test]
async fn a_watch_leaves_out_rows_of_other_partitions() {
    let store = StandinStore::start().await;
    store.put(TABLE, "host", b"ours");
    store.put_in_part(TABLE, "other", "host", b"theirs");
    store.delete(TABLE, "other", "host");
    let client = client(&store.address.to_string());
    let watch = client.watch_table(TABLE, 0, Duration::ZERO).await;
    let WatchResponse::Changes(batch) = watch.expect("changes") else {
        panic!("the history is gone");
    };
    let values: Vec<&[u8]> = batch
        .rows
        .iter()
        .filter_map(|row| row.value.as_deref())
        .collect();
    assert_eq!(values, [b"ours"]);
    assert_eq!(batch.rows.len(), 1);
    assert_eq!(batch.received, 3);
}
