//! Tests of daemons with a store that sends more than a host has memory for.

#[path = "support/crowd.rs"]
mod crowd;
#[path = "support/users.rs"]
mod users;

use std::time::{Duration, Instant};

use crowd::{check_usage, run_alone, UsageBounds};
use filbert_platform_standin::{RepeatedBody, RouteSpec, StoreFault};
use rstest::rstest;
use users::{eventually_logs, publish, two_host_fleet};

/// Memory of the users' smallest hosts.
const SMALL_HOST: UsageBounds = UsageBounds {
    resident_kib: 88 * 1024,
    descriptors: 4_100,
};
/// How long the store sends such responses.
const FAULT_TIME: Duration = Duration::from_secs(3);
const MILLION: usize = 1_000_000;
const EMPTY_END: &str = r#"],"row_version":1}"#;

const fn body(
    start: &'static str,
    repeated: &'static str,
    times: usize,
    end: &'static str,
) -> RepeatedBody {
    RepeatedBody {
        start,
        repeated,
        times,
        end,
    }
}

/// Guards against a daemon that ends because what it reads of the store takes its memory: as
/// bytes, as rows that are not decoded yet, and as decoded ones.
#[rstest]
#[case::endless(body(" ", "                ", 400 * MILLION, ""))]
#[case::small_rows(body(r#"{"rows":[0"#, ",0", 30 * MILLION, EMPTY_END))]
#[case::fewer_small_rows(body(r#"{"rows":[0"#, ",0", 7 * MILLION, EMPTY_END))]
#[case::empty_rows(body(r#"{"rows":[{}"#, ",{}", 5 * MILLION, EMPTY_END))]
#[case::long_value(body(
    r#"{"rows":[{"key":"a","row_version":1,"value":""#, "AAAA", 15 * MILLION, r#""}],"row_version":1}"#
))]
#[case::shorter_value(body(
    r#"{"rows":[{"key":"a","row_version":1,"value":""#, "AAAA", 4 * MILLION, r#""}],"row_version":1}"#
))]
#[case::whole_rows(body(
    r#"{"rows":[{"key":"a","row_version":1,"value":""}"#,
    r#",{"key":"a","row_version":1,"value":"AAAA"}"#,
    MILLION,
    EMPTY_END
))]
#[case::nested(body(r#"{"rows":["#, "[", 10 * MILLION, ""))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_response_of_the_store_does_not_take_a_host(#[case] body: RepeatedBody) {
    let _alone = run_alone().await;
    let fleet = two_host_fleet("a").await;
    fleet.store.set_fault(StoreFault::SendsBody(body));
    // Watches that wait are answered, so that the daemons read again.
    fleet.store.put("op", "other", b"");
    fleet.store.put("filbert-hosts", "other", b"");
    let until = Instant::now() + FAULT_TIME;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("read-{number}");
        let answer = fleet.hosts[0].call("GET /read/a HTTP/1.1", &id, b"").await;
        let status = answer.map(|answer| answer.status);
        assert_eq!(status, Some(200), "{}", fleet.hosts[0].log());
    }
    let log = fleet.hosts[0].log();
    assert!(log.contains("event=store_lost") || log.contains("event=table_read"));
    for host in &fleet.hosts {
        check_usage(host.pid().expect("a process"), &host.spec.name, SMALL_HOST);
    }
    fleet.store.set_fault(StoreFault::None);
    publish(&fleet.store, 2, &[RouteSpec::reads("/read/", "quotes")]);
    assert!(eventually_logs(&fleet.hosts[0], "event=version_in_force version=00000002").await);
}
