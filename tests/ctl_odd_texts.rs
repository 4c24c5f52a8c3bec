//! Commands of `filbertctl` beside rows of other writers.

use std::time::Duration;

use filbert_mesh::codec::rows::encode;
use filbert_mesh::messages::PeerAddress;
use filbert_platform_standin::{StandinStore, StoreFault};
use filbert_policy::rollout::record::{OrderId, RolloutRecord};

const HOSTS_TABLE: &str = "filbert-hosts";

async fn filbertctl(store: &StandinStore, command: &str) -> String {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["mesh", "--store", &store.address.to_string(), command])
        .output()
        .await
        .expect("filbertctl does not start");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Guards against a row of another writer that changes what an operator's terminal shows.
#[tokio::test]
async fn a_roll_out_of_another_writer_sends_nothing_to_the_terminal() {
    let store = StandinStore::start().await;
    let order = OrderId { era: 0, version: 1 };
    let to = "v2\u{1b}[2J\nquotes to v3: completed";
    let record = RolloutRecord::ordered("quotes", to, Duration::from_secs(1), order);
    let row = encode(&(record, Duration::ZERO, "\u{1b}]0;x\u{7}".to_owned()));
    store.put(HOSTS_TABLE, "rollout/quotes", &row);
    let text = filbertctl(&store, "rollout").await;
    assert!(text.contains("quotes to v2"), "{text:?}");
    for line in text.lines() {
        assert!(!line.contains(char::is_control), "{line:?}");
        assert!(!line.starts_with("quotes to v3"), "{line:?}");
    }
}

/// Guards against a list of hosts of which nothing is shown because its end cannot be read.
#[tokio::test]
async fn hosts_before_an_unreadable_page_are_listed() {
    let store = StandinStore::start().await;
    let host = PeerAddress {
        id: "one".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        zone: "a".to_owned(),
        service: "quotes".to_owned(),
    };
    store.put(HOSTS_TABLE, "one", &encode(&host));
    for number in 0..500 {
        let key = format!("z{number:04}");
        store.put(HOSTS_TABLE, &key, b"of another writer");
    }
    store.set_fault(StoreFault::FailsLaterPages);
    let text = filbertctl(&store, "hosts").await;
    assert!(text.contains("127.0.0.1:9"), "{text:?}");
}
