//! Responses of the store that are none.

use std::time::Duration;

#[path = "../../../tests/support/answering_server.rs"]
mod answering_server;
#[path = "../../../tests/support/faulty_heads.rs"]
mod faulty_heads;

use answering_server::AnsweringServer;
use faulty_heads::{faulty_heads, FaultyHead};
use filbert_store::{PlatformClient, WriteCondition};

const ROW: &str = r#"{"key": "a", "value": 1, "version": 3}"#;
const TIMEOUT: Duration = Duration::from_secs(1);

/// Guards against a test of faulty heads whose responses fail for another reason.
#[tokio::test]
async fn a_sound_head_is_a_response_of_the_store() {
    let server = AnsweringServer::start(FaultyHead::NONE.answer("", ROW)).await;
    let client = PlatformClient::new(&format!("http://{}", server.address), TIMEOUT);
    assert!(client.get("a").await.expect("a response").is_some());
    assert!(client.get_object("a").await.expect("a response").is_some());
    let put = client.put("a", WriteCondition::Absent, serde_json::json!(1));
    put.await.expect("a response");
}

/// Guards against a row, an object or a write taken from a response whose status or fields are
/// none.
#[tokio::test]
async fn a_faulty_head_is_no_response_of_the_store() {
    for head in faulty_heads() {
        let server = AnsweringServer::start(head.answer("", ROW)).await;
        let client = PlatformClient::new(&format!("http://{}", server.address), TIMEOUT);
        let fault = &head.fault;
        assert!(client.get("a").await.is_err(), "{fault}");
        assert!(client.get_object("a").await.is_err(), "{fault}");
        let put = client.put("a", WriteCondition::Absent, serde_json::json!(1));
        assert!(put.await.is_err(), "{fault}");
    }
}
