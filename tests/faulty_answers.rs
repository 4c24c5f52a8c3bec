//! Tests of answers that are none: no reader of answers takes them for one, in either daemon.

#[path = "support/faulty_heads.rs"]
mod faulty_heads;
#[path = "support/raw_target.rs"]
mod raw_target;
mod support;
#[path = "support/users.rs"]
mod users;

use faulty_heads::faulty_answers;
use filbert_platform_standin::WrittenAnswer;
use filbert_standin::mesh::LocalMesh;
use raw_target::{RawEnd, RawTarget};
use rstest::rstest;
use support::{eventually, get, mesh_spec, start_mesh_with_example, WAIT_TIMEOUT};

const READ: &str = "GET /read/a HTTP/1.1";
const BAD_GATEWAY: u16 = 502;
/// Length of an upload: more than the kernel takes of it.
const UPLOAD_BYTES: usize = 4_000_000;
/// Number of uploads: the order in which the two ends of a connection see a reset varies.
const UPLOADS: usize = 60;

/// Guards against a client that gets an answer whose status or fields are none.
#[rstest]
#[case::over_a_link(0)]
#[case::at_the_target(1)]
#[tokio::test]
async fn a_faulty_head_is_no_answer(#[case] host: usize) {
    let fleet = users::two_host_fleet("a").await;
    let host = &fleet.hosts[host];
    for (number, (fault, _)) in faulty_answers("").into_iter().enumerate() {
        let id = format!("faulty-{number}");
        let (_, bytes) = faulty_answers(&id).swap_remove(number);
        let answer = WrittenAnswer {
            bytes,
            closes: false,
        };
        fleet.hosts[1].target.set_written_answer(&id, answer);
        let answer = host.call("POST /order/a HTTP/1.1", &id, b"order").await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, BAD_GATEWAY, "{fault}");
        let next = host.call(READ, &format!("next-{number}"), b"").await;
        assert_eq!(next.expect("an answer").status, 200, "{fault}");
    }
}

/// A daemon over our own store with one target that answers with given bytes.
async fn start_raw_target() -> (LocalMesh, RawTarget) {
    let spec = mesh_spec(&[]).zones(&["zone-a"]).daemons_per_zone(1);
    let mesh = start_mesh_with_example(spec).await;
    let target = RawTarget::start(&mesh.daemons[0].admin_url).await;
    target.set_answer(whole_answer(), RawEnd::Open);
    check_next_call(&mesh, "the first").await;
    (mesh, target)
}

fn whole_answer() -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole".to_vec()
}

/// A target that failed is not used for a while.
async fn check_next_call(mesh: &LocalMesh, after: &str) {
    let is_answered = || async {
        let answer = get(&mesh.daemons[0].proxy_url, "north-signs", "/quotes/a").await;
        answer.status() == 200
    };
    assert!(eventually(WAIT_TIMEOUT, is_answered).await, "{after}");
}

/// Guards against the same at the proxy over our own store, which reads through a library.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_faulty_head_is_no_answer_over_our_own_store() {
    let (mesh, target) = start_raw_target().await;
    for (fault, bytes) in faulty_answers("a") {
        target.set_answer(bytes, RawEnd::Closed);
        let answer = get(&mesh.daemons[0].proxy_url, "north-signs", "/quotes/a").await;
        assert!(
            matches!(answer.status().as_u16(), 503 | 504),
            "{fault}: {answer:?}"
        );
        assert!(
            !answer.text().await.expect("a body").contains("spoilt"),
            "{fault}"
        );
        target.set_answer(whole_answer(), RawEnd::Open);
        check_next_call(&mesh, &fault).await;
    }
}

/// Guards against a part of an answer that looks complete, as its connection was reset while
/// the call was still being written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_reset_during_an_upload_is_not_complete_over_our_own_store() {
    let (mesh, target) = start_raw_target().await;
    let part = "x".repeat(6_800);
    let bytes = format!("HTTP/1.1 200 OK\r\n\r\n{part}").into_bytes();
    target.set_answer(bytes, RawEnd::Reset);
    let mut taken_for_whole = 0;
    for _ in 0..UPLOADS {
        let answer = filbert_standin::http::direct_client()
            .post(format!("{}/quotes/a", mesh.daemons[0].proxy_url))
            .header("x-filbert-member", "north-signs")
            .body(vec![b'u'; UPLOAD_BYTES])
            .send()
            .await;
        taken_for_whole += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
    }
    assert_eq!(taken_for_whole, 0, "of {UPLOADS}");
}
