//! Tests of answers that end with their connection: one that is reset is not complete.

#[path = "support/users.rs"]
mod users;

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::server::UNREAD_ANSWER_BYTES;
use filbert_platform_standin::{config_text, Answer, AnswerEnd, RouteSpec, TargetBehaviour};
use rstest::rstest;
use users::{eventually_logs, two_host_fleet, Fleet};

/// Length of an upload: more than the kernel takes of it.
const UPLOAD_BYTES: usize = 4_000_000;
/// Number of uploads: the order in which the two ends of a connection see a reset varies.
const UPLOADS: usize = 60;

/// Host whose client calls the target on the host with index 1.
const OVER_A_LINK: usize = 0;
const AT_THE_TARGET: usize = 1;

/// Starts two hosts, of which the target of one answers uploads unread, with this `end`.
async fn fleet_that_answers_unread(end: AnswerEnd) -> Fleet {
    let fleet = two_host_fleet("a").await;
    allow_uploads(&fleet).await;
    let target = &fleet.hosts[1].target;
    target.set_behaviour(TargetBehaviour::AnswersUnread(end));
    fleet
}

/// Allows long bodies.
async fn allow_uploads(fleet: &Fleet) {
    let routes = [RouteSpec::reads("/read/", "quotes")];
    let text = String::from_utf8(config_text(2, &routes)).expect("JSON");
    let long = text.replace(r#""body_bytes":1048576"#, r#""body_bytes":67108864"#);
    assert_ne!(text, long);
    fleet.store.put("op", "config", long.as_bytes());
    for host in &fleet.hosts {
        assert!(eventually_logs(host, "event=version_in_force version=00000002").await);
    }
}

/// The whole answer to an upload of a client that speaks `version`; `None` if it is cut.
async fn upload(fleet: &Fleet, host: usize, number: usize, version: &str) -> Option<Answer> {
    let mut client = fleet.connect(host).await;
    let id = format!("upload-{number}");
    let body = vec![b'u'; UPLOAD_BYTES];
    // The daemon may answer, and close the connection, before it has read all.
    let headers = call_headers(&id);
    let line = format!("POST /read/a {version}");
    let sent = client.send(&line, &headers, &body);
    let _ = sent.await;
    client.answer().await
}

/// Guards against a part of an answer that looks complete: its connection was reset while the
/// call was still being written, and whoever writes took the error from whoever reads.
#[rstest]
#[case::over_a_link(OVER_A_LINK)]
#[case::at_the_target(AT_THE_TARGET)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_reset_during_an_upload_is_not_complete(
    #[case] host: usize,
    #[values("HTTP/1.1", "HTTP/1.0")] version: &str,
) {
    let fleet = fleet_that_answers_unread(AnswerEnd::Reset).await;
    let mut taken_for_whole = 0;
    for number in 0..UPLOADS {
        let answer = upload(&fleet, host, number, version).await;
        taken_for_whole += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }
    assert_eq!(taken_for_whole, 0, "of {UPLOADS}");
    let target = &fleet.hosts[1].target;
    target.set_behaviour(TargetBehaviour::Responds);
    let answer = fleet.hosts[host]
        .call("GET /read/a HTTP/1.1", "read-1", b"")
        .await;
    assert_eq!(answer.expect("an answer").status, 200);
}

/// Guards against a whole answer that is refused because its target does not read on.
#[rstest]
#[case::over_a_link(OVER_A_LINK)]
#[case::at_the_target(AT_THE_TARGET)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_ends_with_its_connection_is_whole(#[case] host: usize) {
    let fleet = fleet_that_answers_unread(AnswerEnd::Closed).await;
    for number in 0..UPLOADS / 3 {
        let answer = upload(&fleet, host, number, "HTTP/1.1").await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{}", fleet.hosts[1].log());
        assert_eq!(answer.body.len(), UNREAD_ANSWER_BYTES);
    }
}
